package lab

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/standin/player"
)

// LoopbackEnvironment plays a day in real time on loopback sockets. Each host has an event loop of its own, as it
// would have as a process.
type LoopbackEnvironment struct {
	recording *Recording
	mu        sync.Mutex
	hosts     map[string]*loopbackHost
	hostNames map[string]string // by listening address
	wait      sync.WaitGroup    // for scheduled functions
	stopped   chan struct{}     // closed by Close
	Err       error             // what went wrong, such as a listener that could not be opened
}

type loopbackHost struct {
	name   string
	addr   string
	loop   *edge.Loop
	core   core.Core
	player bool
	down   bool
}

// NewLoopbackEnvironment returns an environment without hosts.
func NewLoopbackEnvironment(recording *Recording) *LoopbackEnvironment {
	return &LoopbackEnvironment{recording: recording, hosts: map[string]*loopbackHost{}, hostNames: map[string]string{}, stopped: make(chan struct{})}
}

// Now returns the current time.
func (l *LoopbackEnvironment) Now() Time { return edge.Now() }

// At schedules a function for a time. Such functions run one at a time.
func (l *LoopbackEnvironment) At(at Time, call func()) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		select {
		case <-time.After(time.Duration(at-edge.Now()) * time.Microsecond):
		case <-l.stopped:
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		call()
	}()
}

func (l *LoopbackEnvironment) host(name string) *loopbackHost {
	host := l.hosts[name]
	if host == nil {
		host = &loopbackHost{name: name, addr: "127.0.0.1:0"}
		l.hosts[name] = host
	}
	return host
}

// MarkPlayers marks a host as a group of players, which has no listener.
func (l *LoopbackEnvironment) MarkPlayers(name string) {
	host := l.host(name)
	host.player, host.addr = true, ""
}

// Start runs a core on a socket. A host that is started again keeps its address.
func (l *LoopbackEnvironment) Start(name, _ string, build func(core.Net) core.Core) {
	host := l.host(name)
	loop, err := edge.New(host.addr, func(network core.Net) core.Core {
		tapped := &tappedCore{net: network, recording: l.recording, name: name, player: host.player, connTaps: map[*core.Conn]*connTap{}, env: l}
		tapped.Core = build(tapped)
		host.core = tapped.Core
		return tapped
	})
	if err != nil {
		l.Err = err
		return
	}
	host.loop, host.down = loop, false
	if host.addr != "" {
		host.addr = loop.Addr()
		l.hostNames[host.addr] = name
	}
}

// Addr returns the listening address of a host.
func (l *LoopbackEnvironment) Addr(name string) string { return l.host(name).addr }

// Kill resets a host's connections and refuses new ones. A silent kill does nothing here: the script has already
// made the host stop answering.
func (l *LoopbackEnvironment) Kill(name string, silent bool) {
	host := l.hosts[name]
	if silent || host.down || host.loop == nil {
		return
	}
	host.down = true
	host.loop.Stop(true)
}

// Call runs a function in a turn of a host's loop.
func (l *LoopbackEnvironment) Call(name string, call func(core.Core)) {
	if host := l.hosts[name]; host.loop != nil && !host.down {
		hostCore := host.core
		host.loop.Post(func() { call(hostCore) })
	}
}

// Pause blocks a host's loop for a time.
func (l *LoopbackEnvironment) Pause(name string, length Time) {
	if host := l.hosts[name]; host.loop != nil && !host.down {
		host.loop.Post(func() { time.Sleep(time.Duration(length) * time.Microsecond) })
	}
}

// CutZones does nothing: loopback has no links between zones.
func (l *LoopbackEnvironment) CutZones(string, string, Time) {}

// Drain waits until the functions passed to Call have run.
func (l *LoopbackEnvironment) Drain() {
	l.mu.Lock()
	hosts := slices.Collect(maps.Values(l.hosts))
	l.mu.Unlock()
	for _, host := range hosts {
		if host.loop != nil && !host.down {
			host.loop.Do(func() {})
		}
	}
}

// Close cancels scheduled functions and stops all hosts.
func (l *LoopbackEnvironment) Close() {
	close(l.stopped)
	l.wait.Wait()
	for _, host := range l.hosts {
		if host.loop != nil {
			host.loop.Stop(false)
		}
	}
}

// tappedCore stands between a core and its network, and records what passes if the core is a stand-in's.
type tappedCore struct {
	core.Core
	net       core.Net
	recording *Recording
	name      string
	player    bool
	connTaps  map[*core.Conn]*connTap
	env       *LoopbackEnvironment
	arrivedAt Time // when the current event reached the process; unlike the current time it is not shifted by a late loop, which would make others look late
}

// EventArrived sets the arrival time of the event that is handled next.
func (t *tappedCore) EventArrived(at Time) { t.arrivedAt = at }

// TurnFinished does nothing: turn times are not measured here.
func (t *tappedCore) TurnFinished(Time, Time) {}

func (t *tappedCore) Accepted(conn *core.Conn, from string) {
	if !t.player && t.name[0] == 'b' {
		t.connTaps[conn] = t.recording.tap(t.name, from, false)
		t.connTaps[conn].opened(t.arrivedAt, from)
	}
	t.Core.Accepted(conn, from)
}

func (t *tappedCore) Dial(conn *core.Conn, addr string) {
	if t.player {
		t.env.mu.Lock()
		name := t.env.hostNames[addr]
		t.env.mu.Unlock()
		t.connTaps[conn] = t.recording.tap(t.name, name, true)
	}
	t.net.Dial(conn, addr)
}

func (t *tappedCore) Dialed(conn *core.Conn, err error) {
	if connTap := t.connTaps[conn]; connTap != nil && err == nil {
		connTap.opened(t.arrivedAt, "")
	}
	t.Core.Dialed(conn, err)
}

func (t *tappedCore) Received(conn *core.Conn, message []byte) {
	if connTap := t.connTaps[conn]; connTap != nil {
		connTap.received(t.arrivedAt, message)
	}
	t.Core.Received(conn, message)
}

func (t *tappedCore) Closed(conn *core.Conn, err error) {
	t.closeTap(conn, false, t.arrivedAt)
	t.Core.Closed(conn, err)
}

func (t *tappedCore) Send(conn *core.Conn, message []byte) {
	if connTap := t.connTaps[conn]; connTap != nil {
		connTap.sent(edge.Now(), message)
	}
	t.net.Send(conn, message)
}

func (t *tappedCore) Pending(conn *core.Conn) int { return t.net.Pending(conn) }

func (t *tappedCore) Close(conn *core.Conn) {
	t.closeTap(conn, true, edge.Now())
	t.net.Close(conn)
}

func (t *tappedCore) closeTap(conn *core.Conn, local bool, at Time) {
	if connTap := t.connTaps[conn]; connTap != nil {
		connTap.closed(at, local)
		delete(t.connTaps, conn)
	}
}

// Loopback plays a day on loopback sockets. The checks run at the end of the day, while all hosts still run.
func Loopback(day *Day, build func(*LoopbackEnvironment, *Recording) *DayRun, checks ...func(*DayRun) error) (*DayRun, *Recording, error) {
	recording := &Recording{}
	env := NewLoopbackEnvironment(recording)
	env.mu.Lock()
	play := build(env, recording)
	env.mu.Unlock()
	if play == nil {
		return nil, recording, env.Err
	}
	time.Sleep(time.Duration(day.Length) * time.Microsecond)
	for end := play.startedAt + play.Duration(); edge.Now() < end; time.Sleep(100 * time.Millisecond) {
		open := make(chan int, 1)
		env.mu.Lock()
		env.Call("players", func(c core.Core) { open <- c.(*player.Group).Open() })
		env.mu.Unlock()
		if <-open == 0 {
			break
		}
	}
	if edge.Now() >= play.startedAt+play.Duration() { // some viewers are still there
		env.mu.Lock()
		play.endRetries()
		env.mu.Unlock()
		time.Sleep(time.Duration(play.longestAbandon()) * time.Microsecond)
	}
	time.Sleep(200 * time.Millisecond) // for the last closes to arrive
	for _, check := range checks {
		if err := check(play); err != nil {
			env.Err = errors.Join(env.Err, err)
		}
	}
	env.mu.Lock()
	play.Finish()
	env.mu.Unlock()
	env.Drain()
	env.Close()
	return play, recording, env.Err
}
