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
	readBufferSize     = 4 << 10         // bytes; a message has at most 16 KiB
	receiveWindow      = 64 << 10        // bytes; several messages
	inboxMemoryDivisor = 8               // 1/8 of the memory is for received data that has not been processed
	statsTimeout       = 2 * time.Second // wait for the figures of a busy loop
	heapMemoryShare    = 0.6             // share of the memory set as the Go runtime's soft limit, above which it collects more often
)

// platformConfig reads the platform's configuration file and environment variables.
func platformConfig() (*platform.Config, error) {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG: expected the path of the configuration file, got none")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	config, err := platform.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if name := os.Getenv("GW_NAME"); name != "" {
		config.Name = name
	}
	if listen := os.Getenv("GW_LISTEN"); listen != "" {
		config.Listen = listen
	}
	return config, nil
}

// logStats logs the counters of the session manager and the memory in use. It skips them if a turn does not end, which
// watchTurns reports.
func logStats(log *zap.Logger, loop *edge.Loop, manager *platform.Manager) {
	stats := make(chan platform.Stats, 1)
	if !loop.DoWithin(statsTimeout, func() { stats <- manager.Stats() }) {
		return
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	log.Info("stands", zap.Any("figures", <-stats), zap.Uint64("heap", mem.HeapAlloc), zap.Uint64("from_system", mem.Sys))
}

// servePlatform runs one session manager under the hosting platform.
func servePlatform(traced bool) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config, err := platformConfig()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(2, int(config.Cores+0.99))) // one more than compute, as waiting in the poller occupies one
	debug.SetMemoryLimit(int64(float64(config.MemoryBytes) * heapMemoryShare))
	logs := zap.NewProductionConfig()
	logs.DisableStacktrace = true
	logs.Sampling = nil
	log, err := logs.Build()
	if err != nil {
		return err
	}
	log = log.With(zap.String("manager", config.Name))
	exit := make(chan struct{})
	var manager *platform.Manager
	var loop *edge.Loop
	room := edge.Limits{ReadBuffer: readBufferSize, MailboxBytes: int(config.MemoryBytes / inboxMemoryDivisor), DialTimeout: time.Duration(config.Settings.ConnectTimeout)*time.Microsecond + time.Second,
		MaxConnections: platform.MaxViewers(config) + platform.MaxArriving(config), ReceiveWindow: receiveWindow}
	loop, err = edge.NewWithLimits(room, "", func(network core.Net) core.Core {
		manager = platform.New(network, config, edge.Now(), policy.New)
		manager.Exit = func() { close(exit) }
		manager.StopAccepting = func() { go loop.StopAccepting() }
		if traced {
			manager.Trace = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
		}
		return manager
	})
	if err != nil {
		return err
	}
	watchTurns(loop, log)
	if err := loop.Listen(config.Listen, nil); err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	log.Info("session manager is serving", zap.String("address", config.Listen), zap.Int("sockets", config.Sockets), zap.Int64("memory", config.MemoryBytes))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-exit:
			log.Info("stopped")
			loop.Stop(false)
			return nil
		case <-tick.C:
			logStats(log, loop, manager)
		case received := <-signals:
			if received != syscall.SIGHUP {
				log.Info("received a signal to stop")
				loop.Post(manager.Stop)
				continue
			}
			next, err := platformConfig()
			if err != nil {
				log.Error("new configuration rejected; keeping the current one", zap.Error(err))
				continue
			}
			loop.Do(func() { err = manager.Reconfigure(next) })
			log.Info("applied the new configuration", zap.String("bus", next.Bus), zap.Error(err))
		}
	}
}
