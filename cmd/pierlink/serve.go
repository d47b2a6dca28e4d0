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
	fileWatchInterval = 250 * time.Millisecond // interval of checks for changed files
	saveInterval      = time.Second            // interval of saving the tenants' standing
	standingKind      = "tenants standing 1"
)

// process is the daemon around one front. It executes what the front's lifecycle requests.
type process struct {
	settingsFile string
	takeover     bool

	site                *settings.Config // current settings, replaced on reload; used only by the main goroutine
	listen              string
	advertised          string
	controlPath         string // path of the control socket
	log                 *zap.Logger
	secret              []byte
	loop                *edge.Loop
	front               *front.Front
	registryClient      *client.Client
	control             *edge.Control
	journal             *kept.Journal
	state               atomic.Int64
	registrationChanged chan struct{} // signals that the registry entry has to be written again
	registration        sync.WaitGroup
	failure             error // error that ends the process
	exit                chan struct{}
	authorizer          *authorizer
	tlsKeys             *edge.KeyPair      // certificates of the TLS listener, nil without one
	handedOver          atomic.Bool        // another process has taken over the listeners
	deregister          context.CancelFunc // stops registering with the registry
}

// dialogueJournal records the dialogues of the front.
type dialogueJournal struct{ *kept.Journal }

func (j dialogueJournal) Opened(orphan life.Orphan) { j.Journal.Opened(kept.Entry(orphan)) }

// resolvePath returns path relative to the settings file's directory, if it is not absolute.
func (p *process) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(p.settingsFile), path)
}

// serve builds the parts of the daemon from the settings and runs it until it is stopped.
func (p *process) serve() error {
	site, list, err := readSettings(p.settingsFile)
	if err != nil {
		return err
	}
	p.site, p.exit, p.registrationChanged, p.secret = site, make(chan struct{}), make(chan struct{}, 1), make([]byte, 40)
	logs := zap.NewProductionConfig()
	logs.DisableStacktrace = true // operators' mistakes need no stack trace
	if p.log, err = logs.Build(); err != nil {
		return err
	}
	defer func() { _ = p.log.Sync() }()
	p.listen, p.advertised, p.controlPath = site.Listen, site.Life.Address, p.resolvePath(site.Life.Control)
	if p.controlPath != "" && !p.takeover && edge.Running(p.controlPath) {
		return fmt.Errorf("a session manager already runs with these settings (%s answers): stop it, or replace it with --takeover", p.controlPath)
	}
	if p.takeover && site.Life.Control == "" {
		return errors.New("life.control: expected a path, as --takeover is set")
	}
	if _, err := rand.Read(p.secret); err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	service := site.FrontConfig(p.secret[8:])
	orphans := p.readOrphans()
	if dir := p.resolvePath(site.Life.Kept); dir != "" {
		dialogues, err := kept.NewJournal(dir, func(err error) { p.log.Error("writing the journal of dialogues failed", zap.Error(err)) })
		if err != nil {
			p.log.Error("opening the journal of dialogues failed; serving without it", zap.Error(err))
		} else {
			p.journal = dialogues
			service.Journal = dialogueJournal{dialogues}
			defer dialogues.Close()
		}
	}
	if options := site.Trace; options != nil {
		writer, err := trace.NewWriter(p.resolvePath(options.File), options.SampledShare)
		if err != nil {
			return err
		}
		defer func() {
			if err := writer.Close(); err != nil {
				p.log.Error("the trace file is incomplete", zap.Error(err))
			}
			if lost := writer.Lost.Load(); lost > 0 {
				p.log.Warn("playbacks missing from the trace file, which was written too slowly", zap.Int64("stories", lost))
			}
		}()
		service.OnAnswered = writer.Record
	}
	if options := site.TLS; options != nil {
		if p.tlsKeys, err = edge.LoadKeyPair(p.resolvePath(options.Cert), p.resolvePath(options.Key)); err != nil {
			return fmt.Errorf("tls: %w", err)
		}
	}
	if site.Directory != nil {
		if err := p.openDirectory(service); err != nil {
			return err
		}
		defer p.closeDirectory()
	}
	lifecycle := life.New(site.LifeConfig(), edge.Now())
	p.loop, err = edge.New("", func(network core.Net) core.Core {
		now := edge.Now()
		module := policy.New(&service.Site, binary.BigEndian.Uint64(p.secret), now)
		p.front = front.New(service, module, network, p.log, now)
		p.front.OtherManagers().Set(site.Life.Others)
		p.restoreStanding(now)
		return p.front
	})
	if err != nil {
		return err
	}
	defer p.loop.Stop(false)
	watchTurns(p.loop, p.log)
	ctx, cancel := context.WithCancel(context.Background())
	defer p.registration.Wait()
	defer cancel()
	p.deregister = cancel
	if p.authorizer != nil {
		p.authorizer.loop.Bind(p.loop)
	}
	p.loop.Do(func() {
		p.adoptOrphans(orphans)
		if site.Registry == nil {
			p.front.UpdateList(list.ListUpdate)
			lifecycle.Satisfy(life.ServerListLoaded)
		}
		lifecycle.Satisfy(life.SettingsLoaded)
		lifecycle.Satisfy(life.PolicyLoaded)
		p.front.AttachLifecycle(lifecycle, p)
	})
	p.warnDescriptorLimit()
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	if p.tlsKeys != nil {
		p.tlsKeys.Watch(fileWatchInterval, stopped.Done(), p.log)
	}
	if site.Registry != nil {
		if p.registryClient, err = p.followRegistry(ctx); err != nil {
			return err
		}
		defer p.registryClient.Close()
	} else {
		go p.watchServerList(list.version, stopped.Done())
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
	var figures front.Stats
	p.loop.Do(func() { figures = p.front.Figures })
	p.log.Info("stopped", zap.Any("figures", figures))
	return nil
}

// serveMetrics serves the metrics. After a takeover the previous process may still use the port, so listening is retried.
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

// waitForSignals handles signals and periodic work until the process exits.
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
			p.log.Info("received a signal to stop", zap.String("signal", received.String()))
			p.loop.Post(func() { p.front.Lifecycle().Stop() })
		case <-tick.C:
			p.saveStanding()
			p.saveDirectoryView()
		case <-watchdog:
			p.loop.Do(func() {}) // a blocked loop must not report itself alive
			p.notifySupervisor(daemon.SdNotifyWatchdog)
		}
	}
}

func (p *process) notifySupervisor(state string) {
	if _, err := daemon.SdNotify(false, state); err != nil {
		p.log.Warn("notifying the supervisor failed", zap.Error(err))
	}
}

// fail makes the process exit with an error.
func (p *process) fail(err error) {
	p.failure = err
	p.Exit()
}

// Listen opens the listeners, or takes over those of the running process.
func (p *process) Listen() {
	if p.takeover {
		handover, err := edge.TakeOver(p.controlPath)
		if err != nil {
			p.fail(err)
			return
		}
		p.front.TakeOver()
		for i, listener := range handover.Listeners { // the first listener is the one without TLS
			switch {
			case i == 0:
				p.loop.Accept(listener, nil)
			case p.tlsKeys != nil:
				p.loop.Accept(listener, p.tlsKeys.TLSConfig())
			default:
				_ = listener.Close()
			}
		}
		if p.tlsKeys != nil && len(handover.Listeners) == 1 { // the previous process had no TLS listener
			if err := p.loop.Listen(p.site.TLS.Listen, p.tlsKeys.TLSConfig()); err != nil {
				p.fail(err)
				return
			}
		}
		err = handover.ConfirmServing(func(seats map[life.Seat]int) { p.loop.Post(func() { p.front.Handover().SetHeldSeats(seats) }) })
		if err != nil {
			p.fail(err)
			return
		}
		p.log.Info("took over the listeners", zap.Int("from", handover.PeerStatus.PID), zap.Int("playing there", handover.PeerStatus.Playing))
	} else {
		err := p.loop.Listen(p.listen, nil)
		if err == nil && p.tlsKeys != nil {
			err = p.loop.Listen(p.site.TLS.Listen, p.tlsKeys.TLSConfig())
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
		p.log.Error("opening the control socket failed", zap.Error(err))
		return
	}
	p.control = control
}

// StopAccepting stops accepting connections.
func (p *process) StopAccepting() {
	if lifecycle := p.front.Lifecycle(); lifecycle.HandedOver() {
		p.handedOver.Store(true)
		p.deregister()                           // the registry entry now belongs to the other process
		addresses := []string{p.playerAddress()} // the process that took over has the same address
		if secure := p.secureAddress(); secure != "" {
			addresses = append(addresses, life.SecureScheme+secure)
		}
		p.front.OtherManagers().Set(addresses)
	}
	go func() {
		p.loop.StopAccepting()
		p.loop.Post(p.front.Lifecycle().AcceptStopped)
	}()
}

// StateChanged reports a change of the lifecycle state to the supervisor, the registry and the log.
func (p *process) StateChanged(state life.State) {
	p.state.Store(int64(state))
	if !p.handedOver.Load() { // otherwise the registry entry belongs to the other process
		p.refreshRegistration()
	}
	address := p.loop.Addr()
	servers := 0
	p.front.ForEachServer(func() { servers++ })
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

// playerAddress returns the address at which players reach this process.
func (p *process) playerAddress() string {
	if p.advertised != "" {
		return p.advertised
	}
	return p.loop.Addr()
}

// secureAddress returns the address of the TLS listener for players, or "" without one.
func (p *process) secureAddress() string {
	if options := p.site.TLS; options != nil && options.Address != "" {
		return options.Address
	}
	return p.loop.SecureAddr()
}

// status returns the status reported on the control socket.
func (p *process) status() edge.Status {
	status := edge.Status{Name: p.front.Name, PID: os.Getpid(), Address: p.loop.Addr(), DescriptorRejects: p.loop.DescriptorRejects(), RegistryAgeSeconds: -1, DirectoryAgeSeconds: -1,
		Secure: p.loop.SecureAddr(), BrokenHandshakes: p.loop.BrokenHandshakes()}
	if p.tlsKeys != nil {
		status.CertificateExpires = p.tlsKeys.NotAfter()
	}
	p.loop.Do(func() {
		state, since := p.front.Lifecycle().State()
		carried := p.front.OpenWork()
		now := edge.Now()
		status.State, status.StateSeconds = state.String(), float64(now-since)/1e6
		status.Waiting, status.Playing, status.Redirected, status.Orphans = carried.Unanswered, carried.Playing, carried.Redirected, p.front.Orphans().Remaining()
		status.LagMS = float64(p.front.Lag().Lag(now)) / 1e3
		status.Figures = p.front.Figures
		if access := p.front.Access; access != nil {
			status.DirectoryAgeSeconds, status.DirectoryEntries = float64(access.Core.Age())/1e6, access.Core.Size()
		}
	})
	if p.registryClient != nil {
		status.RegistryAgeSeconds = p.registryClient.Age().Seconds()
	}
	return status
}

// warnDescriptorLimit logs a warning if the system allows fewer descriptors than the settings may need.
func (p *process) warnDescriptorLimit() {
	var limit syscall.Rlimit
	needed := uint64(p.site.Bounds.Connections + p.site.Bounds.Playbacks)
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < needed {
		p.log.Warn("the limit of file descriptors is lower than the settings may need", zap.Uint64("allowed", limit.Cur), zap.Uint64("needed", needed))
	}
}

// readOrphans reads the journals that processes left behind when they died.
func (p *process) readOrphans() []*kept.OrphanedJournal {
	dir := p.resolvePath(p.site.Life.Kept)
	if dir == "" {
		return nil
	}
	orphans, err := kept.FindOrphaned(dir)
	if err != nil {
		p.log.Error("reading the journals of earlier processes failed; continuing without them", zap.Error(err))
	}
	return orphans
}

// adoptOrphans passes the dialogues that dead processes left open to the front, which ends them. Their journals are
// removed afterwards.
func (p *process) adoptOrphans(files []*kept.OrphanedJournal) {
	var orphans []life.Orphan
	unreadable := 0
	for _, file := range files {
		unreadable += file.BadLines
		for _, orphan := range file.Entries {
			orphans = append(orphans, life.Orphan(orphan))
		}
	}
	if unreadable > 0 {
		p.log.Warn("unreadable lines in the journals of earlier processes are skipped", zap.Int("lines", unreadable))
	}
	if len(orphans) > 0 {
		p.log.Info("ending dialogues that an earlier process left open", zap.Int("dialogues", len(orphans)))
	}
	p.front.AdoptOrphans(orphans, func() {
		for _, file := range files {
			file.Remove()
		}
	})
}

// savedStanding is the file that holds the standing of the admission queue's tenants.
type savedStanding struct {
	SavedAt core.Time   `json:"at"`
	Tenants []fair.Lead `json:"all"`
}

func (p *process) standingPath() string {
	if dir := p.resolvePath(p.site.Life.Kept); dir != "" && p.site.Door != nil {
		return filepath.Join(dir, "standing")
	}
	return ""
}

// restoreStanding loads the saved standing of the tenants, unless it is too old.
func (p *process) restoreStanding(now core.Time) {
	path := p.standingPath()
	scheduler, _ := p.front.Admission()
	if path == "" || scheduler == nil {
		return
	}
	var saved savedStanding
	switch err := kept.Load(path, standingKind, &saved); {
	case errors.Is(err, kept.ErrNotFound):
	case err != nil:
		p.log.Warn("loading the tenants' standing failed; starting without it", zap.Error(err))
	case !p.front.Lag().Recent(saved.SavedAt, now):
		p.log.Info("the saved standing of the tenants is too old and is ignored")
	default:
		scheduler.RestoreLeads(saved.Tenants)
		p.log.Info("restored the tenants' standing", zap.Int("tenants", len(saved.Tenants)), zap.Duration("age", time.Duration(now-saved.SavedAt)*time.Microsecond))
	}
}

// saveStanding saves the standing of the tenants.
func (p *process) saveStanding() {
	path := p.standingPath()
	if path == "" || p.handedOver.Load() {
		return
	}
	saved := savedStanding{SavedAt: edge.Now()}
	p.loop.Do(func() {
		if scheduler, _ := p.front.Admission(); scheduler != nil {
			saved.Tenants = scheduler.Leads()
		}
	})
	if err := kept.Save(path, standingKind, saved); err != nil {
		p.log.Error("saving the tenants' standing failed", zap.Error(err))
	}
}

// reload applies new settings as a whole, or rejects them as a whole and logs the reason.
func (p *process) reload() {
	p.notifySupervisor(daemon.SdNotifyReloading)
	defer p.notifySupervisor(daemon.SdNotifyReady)
	next, err := settings.Read(p.settingsFile)
	if err != nil {
		p.log.Error("new settings rejected; keeping the current ones", zap.Error(err))
		return
	}
	if fixed := p.site.RestartKeys(next); len(fixed) > 0 {
		p.log.Error("new settings rejected, as these keys need a restart; keeping the current ones", zap.Strings("keys", fixed))
		return
	}
	reloaded := next.Reload(p.secret[8:])
	p.loop.Do(func() {
		p.front.Reload(reloaded)
		if next.Registry == nil {
			p.front.OtherManagers().Set(next.Life.Others)
		}
	})
	p.site = next
	p.log.Info("settings reloaded")
}

// watchServerList applies changes of the server list's file.
func (p *process) watchServerList(inForce edge.FileVersion, stop <-chan struct{}) {
	path := serversPath(p.settingsFile, p.site)
	edge.WatchFile(path, inForce, fileWatchInterval, stop, func(text []byte) {
		list, err := settings.ParseServerList(text, p.site)
		if err != nil {
			p.log.Error("new server list rejected; keeping the current one", zap.String("file", path), zap.Error(err))
			return
		}
		p.loop.Post(func() { p.front.UpdateList(list) })
		p.log.Info("server list reloaded", zap.Int("servers", len(list.Servers)))
	}, func(err error) {
		p.log.Error("reading the server list failed; keeping the current one", zap.String("file", path), zap.Error(err))
	})
}
