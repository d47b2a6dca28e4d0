package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/platform"
	"pierlink/policy"
)

const (
	pieceRead = 4 << 10 // of a message of 16 KiB at most
	mailShare = 8       // one part in so many of the memory is for what has come and is not looked at
	heapShare = 0.6     // of the memory is Go's to fill before it collects harder
)

// given reads what the platform tells at the start.
func given() (*platform.Given, error) {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG: the path of the configuration is expected")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	g, err := platform.Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if name := os.Getenv("GW_NAME"); name != "" {
		g.Name = name
	}
	if listen := os.Getenv("GW_LISTEN"); listen != "" {
		g.Listen = listen
	}
	return g, nil
}

// servePlatform runs one session manager on the operators' platform.
func servePlatform(traced bool) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	g, err := given()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(2, int(g.Cores+0.99))) // one more than computes: the poller's wait holds one
	debug.SetMemoryLimit(int64(float64(g.Memory) * heapShare))
	logs := zap.NewProductionConfig()
	logs.DisableStacktrace = true
	logs.Sampling = nil
	log, err := logs.Build()
	if err != nil {
		return err
	}
	log = log.With(zap.String("manager", g.Name))
	exit := make(chan struct{})
	var m *platform.Manager
	var loop *edge.Loop
	room := edge.Room{Read: pieceRead, Mail: int(g.Memory / mailShare), Dials: time.Duration(g.Told.Connect)*time.Microsecond + time.Second,
		Doors: platform.Viewers(g) + platform.Coming(g)}
	loop, err = edge.NewIn(room, "", func(n core.Net) core.Core {
		m = platform.New(n, g, edge.Now(), policy.New)
		m.Exit = func() { close(exit) }
		m.Hush = func() { go loop.Hush() }
		if traced {
			m.Trace = func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }
		}
		return m
	})
	if err != nil {
		return err
	}
	if err := loop.Listen(g.Listen, nil); err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	log.Info("it serves", zap.String("address", g.Listen), zap.Int("sockets", g.Sockets), zap.Int64("memory", g.Memory))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-exit:
			log.Info("it ends")
			loop.Stop(false)
			return nil
		case <-tick.C:
			var f platform.Figures
			loop.Do(func() { f = m.Figures() })
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			log.Info("stands", zap.Any("figures", f), zap.Uint64("heap", mem.HeapAlloc), zap.Uint64("from_system", mem.Sys))
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("it is to end")
				loop.Post(m.Stop)
				continue
			}
			next, err := given()
			if err != nil {
				log.Error("the new configuration is not taken", zap.Error(err))
				continue
			}
			loop.Do(func() { err = m.Renew(next) })
			log.Info("configuration taken", zap.String("bus", next.Bus), zap.Error(err))
		}
	}
}
