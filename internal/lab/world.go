// Package lab is the project's laboratory: cores of session managers and stand-ins on a virtual network
// under a virtual clock, or on loopback sockets, the days that are played there, and the checkers that
// judge the rules from what passed on the connections.
package lab

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"pierlink/internal/core"
)

// Time is a clock value or span in microseconds.
type Time = core.Time

// Links are how the virtual network behaves. Chances are drawn from the world's seed.
type Links struct {
	Latency, Jitter Time    // one way: Latency plus up to Jitter
	Across          Time    // more between zones
	Split           float64 // chance that what is sent arrives in pieces, cut at any byte
	Cut             float64 // chance that a connection breaks at any byte of what is sent
	Window          int     // bytes on their way before a sender is held back
}

// World is the virtual network and clock. All of it runs on one goroutine; the same seed and the same
// calls give the same day, byte for byte.
type World struct {
	Links
	now    Time
	queue  worldQueue
	order  uint64
	rng    *rand.Rand
	hosts  map[string]*host
	digest *xxhash.Digest
	turn   *host
	tape   *Tape
	cuts   map[[2]string]Time // zones cut off from each other until
	Cuts   int
	Splits int

	Sent, Arrived, Dropped int64 // bytes
}

// host is one core's place on the network.
type host struct {
	w      *World
	name   string
	zone   string
	core   core.Core
	ends   []*end
	down   bool // refuses
	silent bool // drops
	still  Time // stands still until
	wakeAt Time
	life   int
	player bool
}

// end is one side of a connection.
type end struct {
	conn   *core.Conn
	host   *host
	life   int
	peer   *end
	id     int
	open   bool // for its core
	dead   bool
	last   Time // when the latest of what it sent arrives
	flying int
	held   bool // its core waits for Drained
	tap    *tap
}

type happening struct {
	at    Time
	order uint64
	host  *host
	life  int
	what  int
	end   *end
	data  []byte
	err   error
	call  func()
	from  string
}

const (
	hWake = iota
	hAccept
	hDialed
	hData
	hDrained
	hClosed
	hCall
)

type worldQueue []*happening

func (q worldQueue) Len() int { return len(q) }
func (q worldQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q worldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *worldQueue) Push(x any)   { *q = append(*q, x.(*happening)) }
func (q *worldQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return x
}

// NewWorld makes an empty network. The clock starts at a moment that is not zero, as clocks do.
func NewWorld(l Links, seed uint64, tape *Tape) *World {
	return &World{Links: l, now: 1_000_000_000, rng: rand.New(rand.NewPCG(seed, 0x10e7)), hosts: map[string]*host{},
		digest: xxhash.New(), tape: tape, cuts: map[[2]string]Time{}}
}

// Now is the clock.
func (w *World) Now() Time { return w.now }

// Digest is a hash of all that was delivered so far, with its times.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

func (w *World) push(h *happening) {
	w.order++
	h.order = w.order
	heap.Push(&w.queue, h)
}

// At has a function run at a moment, outside of any core.
func (w *World) At(at Time, call func()) {
	w.push(&happening{at: max(at, w.now), what: hCall, call: call})
}

// Start puts a core on the network, in place of one that was killed. Names are addresses.
func (w *World) Start(name, zone string, build func(core.Net) core.Core) {
	h := w.host(name, zone)
	h.life++
	h.down, h.silent, h.still, h.wakeAt = false, false, 0, core.Never
	h.core = build(h)
	w.push(&happening{at: w.now, what: hWake, host: h, life: h.life})
	h.wakeAt = w.now
}

// Addr is where a host is reached.
func (w *World) Addr(name string) string { return name }

// Core is what runs at a host, nil for nothing.
func (w *World) Core(name string) core.Core {
	if h := w.hosts[name]; h != nil {
		return h.core
	}
	return nil
}

// Flying is the bytes that are on their way.
func (w *World) Flying() (n int64) {
	for _, x := range w.queue {
		if x.what == hData {
			n += int64(len(x.data))
		}
	}
	return n
}

// Kill ends a host's process. Its peers hear of it, or, if silent, hear nothing any more.
func (w *World) Kill(name string, silent bool) {
	h := w.hosts[name]
	h.core, h.life = nil, h.life+1
	h.down, h.silent = true, silent
	for _, e := range h.ends {
		if !silent && !e.dead {
			w.breakEnd(e, w.now)
		}
		if e.tap != nil {
			e.tap.closed(w.now, true)
		}
		e.dead, e.open = true, false
	}
	h.ends = nil
}

// Call runs a function within a turn of a host.
func (w *World) Call(name string, call func(core.Core)) {
	h := w.hosts[name]
	w.push(&happening{at: w.now, what: hCall, host: h, life: h.life, call: func() { call(h.core) }})
}

// Stand has a host stand still: what comes to it waits.
func (w *World) Stand(name string, span Time) { w.hosts[name].still = w.now + span }

// CutZones holds back all that passes between two zones, for a span.
func (w *World) CutZones(a, b string, span Time) {
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = w.now+span, w.now+span
}

// Run plays until a moment, or until nothing is left to happen.
func (w *World) Run(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		x := heap.Pop(&w.queue).(*happening)
		if h := x.host; h != nil && h.still > x.at && x.life == h.life {
			x.at = h.still
			heap.Push(&w.queue, x) // its place among what waits stays
			continue
		}
		w.now = max(w.now, x.at)
		if w.turn != nil && w.turn != x.host {
			w.settle()
		}
		w.happen(x)
		if w.turn != nil && (len(w.queue) == 0 || w.queue[0].at != w.now || w.queue[0].host != w.turn) {
			w.settle()
		}
	}
	w.now = max(w.now, until)
}

func (w *World) settle() {
	h := w.turn
	w.turn = nil
	if h.core == nil {
		return
	}
	if next := max(h.core.EndTurn(), w.now+1); next != core.Never && next != h.wakeAt {
		h.wakeAt = next
		w.push(&happening{at: next, what: hWake, host: h, life: h.life})
	}
}

func (w *World) happen(x *happening) {
	h := x.host
	if h == nil {
		x.call()
		return
	}
	if x.life != h.life || h.core == nil {
		if x.what == hData {
			w.Dropped += int64(len(x.data))
		}
		if (x.what == hData || x.what == hAccept) && !h.silent {
			w.breakEnd(x.end, w.now) // nobody is there any more
		}
		return
	}
	if x.what == hWake && h.wakeAt != x.at && x.at != w.now {
		return
	}
	if w.turn == nil {
		w.turn = h
		h.core.BeginTurn(w.now)
	}
	e := x.end
	switch x.what {
	case hWake:
		if h.wakeAt <= w.now {
			h.wakeAt = core.Never
		}
	case hCall:
		x.call()
	case hAccept:
		e.open = true
		if e.tap != nil {
			e.tap.opened(w.now, x.from)
		}
		h.core.Accepted(e.conn, x.from)
	case hDialed:
		if e.dead {
			return
		}
		e.open = x.err == nil
		if e.open && e.tap != nil {
			e.tap.opened(w.now, x.from)
		}
		h.core.Dialed(e.conn, x.err)
	case hData:
		if !e.open {
			w.Dropped += int64(len(x.data))
			return
		}
		w.Arrived += int64(len(x.data))
		w.note(x)
		w.landed(e.peer, len(x.data))
		if e.tap != nil && h.player {
			e.tap.received(w.now, x.data)
		}
		h.core.Received(e.conn, x.data)
	case hDrained:
		if e.open {
			h.core.Drained(e.conn)
		}
	case hClosed:
		if e.dead {
			return
		}
		was := e.open
		e.open, e.dead = false, true
		h.forget(e)
		if e.tap != nil {
			e.tap.closed(w.now, false)
		}
		if was {
			h.core.Closed(e.conn, x.err)
		}
	}
}

func (w *World) note(x *happening) {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], uint64(w.now))
	binary.BigEndian.PutUint64(b[8:], uint64(x.end.id))
	binary.BigEndian.PutUint64(b[16:], uint64(len(x.data)))
	_, _ = w.digest.Write(b[:])
	_, _ = w.digest.Write(x.data)
}

// landed takes bytes that have arrived out of a sender's window.
func (w *World) landed(e *end, n int) {
	e.flying -= n
	if e.held && e.flying <= w.Window && e.host.life == e.life {
		e.held = false
		w.push(&happening{at: w.now, what: hDrained, host: e.host, life: e.life, end: e})
	}
}

func (h *host) forget(e *end) {
	for i, x := range h.ends {
		if x == e {
			h.ends[i] = h.ends[len(h.ends)-1]
			h.ends = h.ends[:len(h.ends)-1]
			return
		}
	}
}

// arrival is when something sent now arrives.
func (w *World) arrival(from, to *host) Time {
	d := w.Latency
	if w.Jitter > 0 {
		d += w.rng.Int64N(w.Jitter)
	}
	at := w.now
	if from.zone != to.zone && from.zone != "" && to.zone != "" {
		d += w.Across
		at = max(at, w.cuts[[2]string{from.zone, to.zone}])
	}
	return at + d
}

// breakEnd has the peer of an end hear that the connection is gone.
func (w *World) breakEnd(e *end, at Time) {
	p := e.peer
	if p == nil || p.dead {
		return
	}
	e.last = max(e.last, w.arrival(e.host, p.host), at)
	w.push(&happening{at: e.last, what: hClosed, host: p.host, life: p.life, end: p, err: core.ErrClosedByPeer})
}

// Dial connects to a host by its name.
func (h *host) Dial(c *core.Conn, addr string) {
	w := h.w
	to := w.hosts[addr]
	w.order++
	e := &end{conn: c, host: h, life: h.life, id: int(w.order)}
	c.Socket = e
	h.ends = append(h.ends, e)
	if to == nil || to.down && !to.silent {
		w.push(&happening{at: w.now + 2*w.Latency + 1, what: hDialed, host: h, life: h.life, end: e, err: core.ErrRefused})
		return
	}
	if to.silent {
		return
	}
	there := w.arrival(h, to)
	p := &end{conn: &core.Conn{}, host: to, life: to.life, peer: e, id: -e.id}
	p.conn.Socket = p
	e.peer = p
	to.ends = append(to.ends, p)
	if w.tape != nil {
		if h.player {
			e.tap = w.tape.tap(h.name, addr, true)
		} else {
			p.tap = w.tape.tap(addr, h.name, false)
		}
	}
	back := there + w.arrival(to, h) - w.now
	e.last, p.last = there, back
	from := h.name
	if c.SourceAddr != "" {
		from = c.SourceAddr
	}
	w.push(&happening{at: there, what: hAccept, host: to, life: to.life, end: p, from: from})
	w.push(&happening{at: back, what: hDialed, host: h, life: h.life, end: e, from: addr})
}

// Send has bytes arrive at the other side, in order, whole or in pieces.
func (h *host) Send(c *core.Conn, b []byte) {
	w := h.w
	e, ok := c.Socket.(*end)
	if !ok || !e.open || len(b) == 0 {
		return
	}
	p := e.peer
	if t := e.tap; t != nil { // a box's or a player's own sending
		t.sent(w.now, b)
	}
	if t := p.tap; t != nil && !p.host.player { // what leaves for a box
		t.received(w.now, b)
	}
	b = append([]byte(nil), b...)
	w.Sent += int64(len(b))
	e.flying += len(b)
	broken := false
	if w.Cut > 0 && w.rng.Float64() < w.Cut {
		w.Cuts++
		broken = true
		n := w.rng.IntN(len(b) + 1)
		w.Dropped += int64(len(b) - n)
		b = b[:n]
	}
	for len(b) > 0 {
		n := len(b)
		if n > 1 && w.Split > 0 && w.rng.Float64() < w.Split {
			w.Splits++
			n = 1 + w.rng.IntN(n-1)
		}
		e.last = max(e.last, w.arrival(h, p.host))
		w.push(&happening{at: e.last, what: hData, host: p.host, life: p.life, end: p, data: b[:n]})
		b = b[n:]
	}
	if broken {
		for _, t := range []*tap{e.tap, p.tap} {
			if t != nil {
				t.broken = true
			}
		}
		w.breakEnd(e, w.now)
		w.breakEnd(p, w.now)
	}
}

// Pending is what does not fit the window.
func (h *host) Pending(c *core.Conn) int {
	e, ok := c.Socket.(*end)
	if !ok || !e.open || e.flying <= h.w.Window {
		return 0
	}
	e.held = true
	return e.flying - h.w.Window
}

// Close ends a connection; what was sent still arrives.
func (h *host) Close(c *core.Conn) {
	e, ok := c.Socket.(*end)
	if !ok || e.dead {
		return
	}
	e.dead, e.open = true, false
	h.forget(e)
	if e.tap != nil {
		e.tap.closed(h.w.now, true)
	}
	if p := e.peer; p != nil {
		if p.tap != nil && !p.host.player {
			p.tap.closed(h.w.now, false)
		}
		h.w.breakEnd(e, h.w.now)
	}
}

// Player says that a host is a crowd of players: its connections are taken down as theirs.
func (w *World) Player(name string) { w.host(name, "").player = true }

func (w *World) host(name, zone string) *host {
	h := w.hosts[name]
	if h == nil {
		h = &host{w: w, name: name, zone: zone, down: true}
		w.hosts[name] = h
	}
	return h
}
