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

// Live is the stage of loopback sockets in real time: each host is a loop of its own, as a process has.
type LoopbackEnvironment struct {
	tape      *Tape
	mu        sync.Mutex
	hosts     map[string]*loopbackHost
	hostNames map[string]string // by address
	wait      sync.WaitGroup
	stopped   chan struct{}
	Err       error
}

type loopbackHost struct {
	name   string
	addr   string
	loop   *edge.Loop
	core   core.Core
	player bool
	down   bool
}

// NewLive makes an empty stage.
func NewLoopbackEnvironment(tape *Tape) *LoopbackEnvironment {
	return &LoopbackEnvironment{tape: tape, hosts: map[string]*loopbackHost{}, hostNames: map[string]string{}, stopped: make(chan struct{})}
}

// Now is the clock.
func (l *LoopbackEnvironment) Now() Time { return edge.Now() }

// At has a function run at a moment. Such functions run one at a time.
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
	h := l.hosts[name]
	if h == nil {
		h = &loopbackHost{name: name, addr: "127.0.0.1:0"}
		l.hosts[name] = h
	}
	return h
}

// Player says that a host is a crowd of players.
func (l *LoopbackEnvironment) Player(name string) {
	h := l.host(name)
	h.player, h.addr = true, ""
}

// Start runs a core on a socket; one that comes back has the address that it had.
func (l *LoopbackEnvironment) Start(name, _ string, build func(core.Net) core.Core) {
	h := l.host(name)
	loop, err := edge.New(h.addr, func(n core.Net) core.Core {
		t := &tappedCore{net: n, tape: l.tape, name: name, player: h.player, connTaps: map[*core.Conn]*tap{}, env: l}
		t.Core = build(t)
		h.core = t.Core
		return t
	})
	if err != nil {
		l.Err = err
		return
	}
	h.loop, h.down = loop, false
	if h.addr != "" {
		h.addr = loop.Addr()
		l.hostNames[h.addr] = name
	}
}

// Addr is where a host is reached.
func (l *LoopbackEnvironment) Addr(name string) string { return l.host(name).addr }

// Kill resets a host's connections and refuses new ones; a silent one is made deaf before, by its script.
func (l *LoopbackEnvironment) Kill(name string, silent bool) {
	h := l.hosts[name]
	if silent || h.down || h.loop == nil {
		return
	}
	h.down = true
	h.loop.Stop(true)
}

// Call runs a function within a turn of a host.
func (l *LoopbackEnvironment) Call(name string, call func(core.Core)) {
	if h := l.hosts[name]; h.loop != nil && !h.down {
		c := h.core
		h.loop.Post(func() { call(c) })
	}
}

// Stand has a host's loop stand still.
func (l *LoopbackEnvironment) Stand(name string, span Time) {
	if h := l.hosts[name]; h.loop != nil && !h.down {
		h.loop.Post(func() { time.Sleep(time.Duration(span) * time.Microsecond) })
	}
}

// CutZones is for the virtual network only: loopback has no links to cut.
func (l *LoopbackEnvironment) CutZones(string, string, Time) {}

// Drain waits until what was called has run.
func (l *LoopbackEnvironment) Drain() {
	l.mu.Lock()
	hosts := slices.Collect(maps.Values(l.hosts))
	l.mu.Unlock()
	for _, h := range hosts {
		if h.loop != nil && !h.down {
			h.loop.Do(func() {})
		}
	}
}

// Close ends all hosts.
func (l *LoopbackEnvironment) Close() {
	close(l.stopped)
	l.wait.Wait()
	for _, h := range l.hosts {
		if h.loop != nil {
			h.loop.Stop(false)
		}
	}
}

// tapped puts a core on its network with what passes taken down, if it is a stand-in's.
type tappedCore struct {
	core.Core
	net       core.Net
	tape      *Tape
	name      string
	player    bool
	connTaps  map[*core.Conn]*tap
	env       *LoopbackEnvironment
	arrivedAt Time // what is handled now reached the process: a loop that is late does not make others' work late
}

// Came tells when what is handled next came in.
func (t *tappedCore) Came(at Time) { t.arrivedAt = at }

// Turned has nothing to measure here.
func (t *tappedCore) Turned(Time, Time) {}

func (t *tappedCore) Accepted(c *core.Conn, from string) {
	if !t.player && t.name[0] == 'b' {
		t.connTaps[c] = t.tape.tap(t.name, from, false)
		t.connTaps[c].opened(t.arrivedAt, from)
	}
	t.Core.Accepted(c, from)
}

func (t *tappedCore) Dial(c *core.Conn, addr string) {
	if t.player {
		t.env.mu.Lock()
		name := t.env.hostNames[addr]
		t.env.mu.Unlock()
		t.connTaps[c] = t.tape.tap(t.name, name, true)
	}
	t.net.Dial(c, addr)
}

func (t *tappedCore) Dialed(c *core.Conn, err error) {
	if p := t.connTaps[c]; p != nil && err == nil {
		p.opened(t.arrivedAt, "")
	}
	t.Core.Dialed(c, err)
}

func (t *tappedCore) Received(c *core.Conn, b []byte) {
	if p := t.connTaps[c]; p != nil {
		p.received(t.arrivedAt, b)
	}
	t.Core.Received(c, b)
}

func (t *tappedCore) Closed(c *core.Conn, err error) {
	t.closeTap(c, false, t.arrivedAt)
	t.Core.Closed(c, err)
}

func (t *tappedCore) Send(c *core.Conn, b []byte) {
	if p := t.connTaps[c]; p != nil {
		p.sent(edge.Now(), b)
	}
	t.net.Send(c, b)
}

func (t *tappedCore) Pending(c *core.Conn) int { return t.net.Pending(c) }

func (t *tappedCore) Close(c *core.Conn) {
	t.closeTap(c, true, edge.Now())
	t.net.Close(c)
}

func (t *tappedCore) closeTap(c *core.Conn, own bool, at Time) {
	if p := t.connTaps[c]; p != nil {
		p.closed(at, own)
		delete(t.connTaps, c)
	}
}

// Loopback plays a day on sockets. What comes after runs while all still stands.
func Loopback(d *Day, build func(*LoopbackEnvironment, *Tape) *Play, after ...func(*Play) error) (*Play, *Tape, error) {
	tape := &Tape{}
	l := NewLoopbackEnvironment(tape)
	l.mu.Lock()
	p := build(l, tape)
	l.mu.Unlock()
	if p == nil {
		return nil, tape, l.Err
	}
	time.Sleep(time.Duration(d.Length) * time.Microsecond)
	for end := p.began + p.Length(); edge.Now() < end; time.Sleep(100 * time.Millisecond) {
		open := make(chan int, 1)
		l.mu.Lock()
		l.Call("players", func(c core.Core) { open <- c.(*player.Group).Open() })
		l.mu.Unlock()
		if <-open == 0 {
			break
		}
	}
	time.Sleep(200 * time.Millisecond) // what was closed last is on its way
	for _, f := range after {
		if err := f(p); err != nil {
			l.Err = errors.Join(l.Err, err)
		}
	}
	l.mu.Lock()
	p.End()
	l.mu.Unlock()
	l.Drain()
	l.Close()
	return p, tape, l.Err
}
