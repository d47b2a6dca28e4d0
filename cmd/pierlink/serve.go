package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coreos/go-systemd/v22/daemon"
	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/internal/kept"
	"pierlink/internal/life"
	"pierlink/internal/registry/client"
	"pierlink/internal/settings"
	"pierlink/internal/trace"
	"pierlink/policy"
)

const (
	fileWatchInterval = 250 * time.Millisecond // the server list's file is looked at
	saveInterval      = time.Second            // the tenants' standing is kept
	standingKind      = "tenants standing 1"
)

// process is the daemon round one front: it carries out what the front's life wants.
type process struct {
	settingsFile string
	takeover     bool

	site                *settings.Site // the main goroutine's: a reload replaces it
	listen              string
	advertised          string
	controlPath         string // the control socket's path
	log                 *zap.Logger
	secret              []byte
	loop                *edge.Loop
	front               *front.Front
	registryClient      *client.Client
	control             *edge.Control
	journal             *kept.Journal
	state               atomic.Int64
	registrationChanged chan struct{} // the registry's key is to be written anew
	registration        sync.WaitGroup
	failure             error
	exit                chan struct{}
	authorizer          *authorizer
	tlsKeys             *edge.Keys         // of the door under TLS, nil without one
	handedOver          atomic.Bool        // another process has this one's place
	deregister          context.CancelFunc // the registry
}

// journal is what the front writes its dialogues to.
type dialogueJournal struct{ *kept.Journal }

func (j dialogueJournal) Opened(orphan life.Orphan) { j.Journal.Opened(kept.Open(orphan)) }

// near is a path beside the settings file.
func (p *process) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(p.settingsFile), path)
}

// serve is the whole wiring: settings, module, front, loop, what was kept, list, signals.
func (p *process) serve() error {
	site, list, err := readSettings(p.settingsFile)
	if err != nil {
		return err
	}
	p.site, p.exit, p.registrationChanged, p.secret = site, make(chan struct{}), make(chan struct{}, 1), make([]byte, 40)
	logs := zap.NewProductionConfig()
	logs.DisableStacktrace = true // what operators can mend has no line in the program
	if p.log, err = logs.Build(); err != nil {
		return err
	}
	defer func() { _ = p.log.Sync() }()
	p.listen, p.advertised, p.controlPath = site.Listen, site.Life.Address, p.resolvePath(site.Life.Control)
	if p.controlPath != "" && !p.takeover && edge.Running(p.controlPath) {
		return fmt.Errorf("a session manager runs with these settings (%s answers): stop it, or take its place with --takeover", p.controlPath)
	}
	if p.takeover && site.Life.Control == "" {
		return errors.New("life.control: a path is expected for --takeover")
	}
	if _, err := rand.Read(p.secret); err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	service := site.Service(p.secret[8:])
	orphans := p.readOrphans()
	if dir := p.resolvePath(site.Life.Kept); dir != "" {
		dialogues, err := kept.NewJournal(dir, func(err error) { p.log.Error("what is open at boxes cannot be kept", zap.Error(err)) })
		if err != nil {
			p.log.Error("what is open at boxes is not kept", zap.Error(err))
		} else {
			p.journal = dialogues
			service.Journal = dialogueJournal{dialogues}
			defer dialogues.Close()
		}
	}
	if options := site.Trace; options != nil {
		writer, err := trace.NewFile(p.resolvePath(options.File), options.Part)
		if err != nil {
			return err
		}
		defer func() {
			if err := writer.Close(); err != nil {
				p.log.Error("the trace file is not whole", zap.Error(err))
			}
			if lost := writer.Lost.Load(); lost > 0 {
				p.log.Warn("stories that the trace file was too slow for", zap.Int64("stories", lost))
			}
		}()
		service.Told = writer.Tell
	}
	if options := site.TLS; options != nil {
		if p.tlsKeys, err = edge.ReadKeys(p.resolvePath(options.Cert), p.resolvePath(options.Key)); err != nil {
			return fmt.Errorf("tls: %w", err)
		}
	}
	if site.Directory != nil {
		if err := p.openDirectory(service); err != nil {
			return err
		}
		defer p.closeDirectory()
	}
	lifecycle := life.New(site.Lifetimes(), edge.Now())
	p.loop, err = edge.New("", func(network core.Net) core.Core {
		now := edge.Now()
		module := policy.New(&service.Site, binary.BigEndian.Uint64(p.secret), now)
		p.front = front.New(service, module, network, p.log, now)
		p.front.Others().Set(site.Life.Others)
		p.restoreStanding(now)
		return p.front
	})
	if err != nil {
		return err
	}
	defer p.loop.Stop(false)
	ctx, cancel := context.WithCancel(context.Background())
	defer p.registration.Wait()
	defer cancel()
	p.deregister = cancel
	if p.authorizer != nil {
		p.authorizer.loop.To(p.loop)
	}
	p.loop.Do(func() {
		p.adoptOrphans(orphans)
		if site.Registry == nil {
			p.front.Listed(list)
			lifecycle.Has(life.List)
		}
		lifecycle.Has(life.Settings)
		lifecycle.Has(life.Module)
		p.front.Live(lifecycle, p)
	})
	p.warnDescriptorLimit()
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	if p.tlsKeys != nil {
		p.tlsKeys.Follow(fileWatchInterval, stopped.Done(), p.log)
	}
	if site.Registry != nil {
		if p.registryClient, err = p.followRegistry(ctx); err != nil {
			return err
		}
		defer p.registryClient.Close()
	} else {
		go p.watchServerList(stopped.Done())
	}
	if site.Metrics != "" {
		labels := 0
		if site.Door != nil {
			labels = site.Door.Labels
		}
		metrics, err := p.serveMetrics(labels)
		if err != nil {
			return err
		}
		if metrics != nil {
			defer metrics.Close()
		}
	}
	p.waitForSignals(signals)
	if p.control != nil {
		p.control.Close()
	}
	if p.failure != nil {
		return p.failure
	}
	p.saveStanding()
	var figures front.Figures
	p.loop.Do(func() { figures = p.front.Figures })
	p.log.Info("stopped", zap.Any("figures", figures))
	return nil
}

// metrics serves the figures. A port that the process whose place this one takes still has is waited for.
func (p *process) serveMetrics(labels int) (*edge.Metrics, error) {
	metrics, err := edge.NewMetrics(p.site.Metrics, p.loop, p.front, p.registryClient, labels)
	if err == nil || !p.takeover {
		return metrics, err
	}
	go func() {
		for {
			select {
			case <-p.exit:
				return
			case <-time.After(saveInterval):
			}
			if metrics, err := edge.NewMetrics(p.site.Metrics, p.loop, p.front, p.registryClient, labels); err == nil {
				<-p.exit
				metrics.Close()
				return
			}
		}
	}()
	return nil, nil
}

// run follows signals until the life is over.
func (p *process) waitForSignals(signals <-chan os.Signal) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	watchdog := make(<-chan time.Time)
	if interval, err := daemon.SdWatchdogEnabled(false); err == nil && interval > 0 {
		ticker := time.NewTicker(interval / 2)
		defer ticker.Stop()
		watchdog = ticker.C
	}
	for {
		select {
		case <-p.exit:
			return
		case received := <-signals:
			if received == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.log.Info("told to stop", zap.String("signal", received.String()))
			p.loop.Post(func() { p.front.Life().Stop() })
		case <-tick.C:
			p.saveStanding()
			p.saveDirectoryView()
		case <-watchdog:
			p.loop.Do(func() {}) // a loop that stands still does not say that it lives
			p.notifySupervisor(daemon.SdNotifyWatchdog)
		}
	}
}

func (p *process) notifySupervisor(state string) {
	if _, err := daemon.SdNotify(false, state); err != nil {
		p.log.Warn("the supervisor cannot be told", zap.Error(err))
	}
}

// fail ends the process with an error.
func (p *process) fail(err error) {
	p.failure = err
	p.Exit()
}

// Listen accepts connections, on a listener of its own or on that of the process whose place it takes.
func (p *process) Listen() {
	if p.takeover {
		handover, err := edge.TakeOver(p.controlPath)
		if err != nil {
			p.fail(err)
			return
		}
		p.front.Succeed()
		for i, listener := range handover.Listeners { // the first is that without TLS
			switch {
			case i == 0:
				p.loop.Accept(listener, nil)
			case p.tlsKeys != nil:
				p.loop.Accept(listener, p.tlsKeys.Door())
			default:
				_ = listener.Close()
			}
		}
		if p.tlsKeys != nil && len(handover.Listeners) == 1 { // a door that the other did not have
			if err := p.loop.Listen(p.site.TLS.Listen, p.tlsKeys.Door()); err != nil {
				p.fail(err)
				return
			}
		}
		err = handover.Serving(func(seats map[life.Seat]int) { p.loop.Post(func() { p.front.Heir().Hold(seats) }) })
		if err != nil {
			p.fail(err)
			return
		}
		p.log.Info("took over", zap.Int("from", handover.From.PID), zap.Int("playing there", handover.From.Playing))
	} else {
		err := p.loop.Listen(p.listen, nil)
		if err == nil && p.tlsKeys != nil {
			err = p.loop.Listen(p.site.TLS.Listen, p.tlsKeys.Door())
		}
		if err != nil {
			p.fail(err)
			return
		}
	}
	if p.controlPath == "" {
		return
	}
	control, err := edge.NewControl(p.controlPath, p.loop, p.front, p.status)
	if err != nil {
		p.log.Error("no control socket", zap.Error(err))
		return
	}
	p.control = control
}

// Hush accepts no more.
func (p *process) Hush() {
	if lifecycle := p.front.Life(); lifecycle.Handed() {
		p.handedOver.Store(true)
		p.deregister()                           // the key is the other's
		addresses := []string{p.playerAddress()} // the process that took over has the same address
		if secure := p.secureAddress(); secure != "" {
			addresses = append(addresses, life.SecureMark+secure)
		}
		p.front.Others().Set(addresses)
	}
	go func() {
		p.loop.Hush()
		p.loop.Post(p.front.Life().Hushed)
	}()
}

// News tells the supervisor, the registry and the log.
func (p *process) News(state life.State) {
	p.state.Store(int64(state))
	if !p.handedOver.Load() { // the key is the other's by now
		p.refreshRegistration()
	}
	address := p.loop.Addr()
	servers := 0
	p.front.Each(func() { servers++ })
	switch state {
	case life.Ready:
		p.log.Info("ready", zap.String("name", p.front.Name), zap.String("address", address), zap.String("secure", p.loop.SecureAddr()), zap.Int("servers", servers))
		p.notifySupervisor(daemon.SdNotifyReady + "\nMAINPID=" + fmt.Sprint(os.Getpid()) + "\nSTATUS=ready at " + address)
	case life.Draining, life.Stopping:
		p.log.Info(state.String(), zap.Bool("taken over", p.handedOver.Load()))
		if !p.handedOver.Load() {
			p.notifySupervisor(daemon.SdNotifyStopping + "\nSTATUS=" + state.String())
		}
	}
}

// Exit ends the process.
func (p *process) Exit() {
	select {
	case <-p.exit:
	default:
		close(p.exit)
	}
}

// address is where players reach this process.
func (p *process) playerAddress() string {
	if p.advertised != "" {
		return p.advertised
	}
	return p.loop.Addr()
}

// secureAddress is where they reach its door under TLS; empty without one.
func (p *process) secureAddress() string {
	if options := p.site.TLS; options != nil && options.Address != "" {
		return options.Address
	}
	return p.loop.SecureAddr()
}

// status is what the control socket tells.
func (p *process) status() edge.Status {
	status := edge.Status{Name: p.front.Name, PID: os.Getpid(), Address: p.loop.Addr(), Starved: p.loop.Starved(), ListAge: -1, Directory: -1,
		Secure: p.loop.SecureAddr(), Unshaken: p.loop.Unshaken()}
	if p.tlsKeys != nil {
		status.KeysEnd = p.tlsKeys.Until()
	}
	p.loop.Do(func() {
		state, since := p.front.Life().State()
		carried := p.front.Carried()
		now := edge.Now()
		status.State, status.For = state.String(), float64(now-since)/1e6
		status.Waiting, status.Playing, status.SentOn, status.Orphans = carried.Waiting, carried.Playing, carried.Sent, p.front.Orphans().Left()
		status.BehindMS = float64(p.front.Behind().Late(now)) / 1e3
		status.Figures = p.front.Figures
		if gate := p.front.Gate; gate != nil {
			status.Directory, status.Entries = float64(gate.Core.Age())/1e6, gate.Core.Size()
		}
	})
	if p.registryClient != nil {
		status.ListAge = p.registryClient.Age().Seconds()
	}
	return status
}

// descriptors says at the start what the bounds need and the system does not allow.
func (p *process) warnDescriptorLimit() {
	var limit syscall.Rlimit
	needed := uint64(p.site.Bounds.Connections + p.site.Bounds.Playbacks)
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < needed {
		p.log.Warn("the system allows fewer descriptors than the bounds may need", zap.Uint64("allowed", limit.Cur), zap.Uint64("needed", needed))
	}
}

// found is what dead processes left behind.
func (p *process) readOrphans() []*kept.Left {
	dir := p.resolvePath(p.site.Life.Kept)
	if dir == "" {
		return nil
	}
	orphans, err := kept.Behind(dir)
	if err != nil {
		p.log.Error("what was kept cannot be read, it is done without", zap.Error(err))
	}
	return orphans
}

// adopt has the front end what dead processes left at boxes; their files go once that is done.
func (p *process) adoptOrphans(files []*kept.Left) {
	var orphans []life.Orphan
	unreadable := 0
	for _, file := range files {
		unreadable += file.Bad
		for _, orphan := range file.Open {
			orphans = append(orphans, life.Orphan(orphan))
		}
	}
	if unreadable > 0 {
		p.log.Warn("lines of an earlier process's journal cannot be read, they are done without", zap.Int("lines", unreadable))
	}
	if len(orphans) > 0 {
		p.log.Info("an earlier process left dialogues at boxes, they are ended", zap.Int("dialogues", len(orphans)))
	}
	p.front.Adopt(orphans, func() {
		for _, file := range files {
			file.Done()
		}
	})
}

// kept standing of the door's tenants
type savedStanding struct {
	SavedAt core.Time       `json:"at"`
	Tenants []fair.Standing `json:"all"`
}

func (p *process) standingPath() string {
	if dir := p.resolvePath(p.site.Life.Kept); dir != "" && p.site.Door != nil {
		return filepath.Join(dir, "standing")
	}
	return ""
}

// resume takes up the tenants' standing where one is kept that still means something.
func (p *process) restoreStanding(now core.Time) {
	path := p.standingPath()
	scheduler, _ := p.front.Door()
	if path == "" || scheduler == nil {
		return
	}
	var saved savedStanding
	switch err := kept.Load(path, standingKind, &saved); {
	case errors.Is(err, kept.ErrNone):
	case err != nil:
		p.log.Warn("the tenants' standing is not taken up", zap.Error(err))
	case !p.front.Behind().Fresh(saved.SavedAt, now):
		p.log.Info("the tenants' standing is too old to be taken up")
	default:
		scheduler.Resume(saved.Tenants)
		p.log.Info("tenants' standing taken up", zap.Int("tenants", len(saved.Tenants)), zap.Duration("age", time.Duration(now-saved.SavedAt)*time.Microsecond))
	}
}

// keep writes the tenants' standing down.
func (p *process) saveStanding() {
	path := p.standingPath()
	if path == "" || p.handedOver.Load() {
		return
	}
	saved := savedStanding{SavedAt: edge.Now()}
	p.loop.Do(func() {
		if scheduler, _ := p.front.Door(); scheduler != nil {
			saved.Tenants = scheduler.Standing()
		}
	})
	if err := kept.Save(path, standingKind, saved); err != nil {
		p.log.Error("the tenants' standing cannot be kept", zap.Error(err))
	}
}

// reload takes new settings as a whole, or refuses them as a whole and says why.
func (p *process) reload() {
	p.notifySupervisor(daemon.SdNotifyReloading)
	defer p.notifySupervisor(daemon.SdNotifyReady)
	next, err := settings.Read(p.settingsFile)
	if err != nil {
		p.log.Error("settings refused, the old ones are kept", zap.Error(err))
		return
	}
	if fixed := p.site.Fixed(next); len(fixed) > 0 {
		p.log.Error("settings refused, the old ones are kept: these keys need a restart", zap.Strings("keys", fixed))
		return
	}
	reloaded := next.Next(p.secret[8:])
	p.loop.Do(func() {
		p.front.Reload(reloaded)
		if next.Registry == nil {
			p.front.Others().Set(next.Life.Others)
		}
	})
	p.site = next
	p.log.Info("settings taken")
}

// watch follows the server list's file.
func (p *process) watchServerList(stop <-chan struct{}) {
	path := serversPath(p.settingsFile, p.site)
	edge.Watch(path, fileWatchInterval, stop, func(text []byte) {
		list, err := settings.ParseServers(text, p.site)
		if err != nil {
			p.log.Error("server list refused, the old one is kept", zap.String("file", path), zap.Error(err))
			return
		}
		p.loop.Post(func() { p.front.Listed(list) })
		p.log.Info("server list taken", zap.Int("servers", len(list.Servers)))
	}, func(err error) {
		p.log.Error("server list cannot be read, the old one is kept", zap.String("file", path), zap.Error(err))
	})
}
