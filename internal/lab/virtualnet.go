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
	CrossZone       Time    // more between zones
	SplitChance     float64 // chance that what is sent arrives in pieces, cut at any byte
	CutChance       float64 // chance that a connection breaks at any byte of what is sent
	WindowBytes     int     // bytes on their way before a sender is held back
}

// World is the virtual network and clock. All of it runs on one goroutine; the same seed and the same
// calls give the same day, byte for byte.
type World struct {
	Links
	now      Time
	queue    eventQueue
	sequence uint64
	rng      *rand.Rand
	hosts    map[string]*host
	digest   *xxhash.Digest
	turnHost *host
	tape     *Tape
	zoneCuts map[[2]string]Time // zones cut off from each other until
	Cuts     int
	Splits   int

	Sent, Arrived, Dropped int64 // bytes
}

// host is one core's place on the network.
type host struct {
	net         *World
	name        string
	zone        string
	core        core.Core
	endpoints   []*endpoint
	down        bool // refuses
	silent      bool // drops
	pausedUntil Time // stands still until
	wakeAt      Time
	generation  int
	isPlayer    bool
}

// end is one side of a connection.
type endpoint struct {
	conn        *core.Conn
	host        *host
	generation  int
	peer        *endpoint
	id          int
	open        bool // for its core
	closed      bool
	lastArrival Time // when the latest of what it sent arrives
	inFlight    int
	blocked     bool // its core waits for Drained
	tap         *tap
}

type netEvent struct {
	at         Time
	sequence   uint64
	host       *host
	generation int
	kind       int
	end        *endpoint
	data       []byte
	err        error
	call       func()
	from       string
}

const (
	eventWake = iota
	eventAccept
	eventDialed
	eventData
	eventDrained
	eventClosed
	eventCall
)

type eventQueue []*netEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*netEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return x
}

// NewWorld makes an empty network. The clock starts at a moment that is not zero, as clocks do.
func NewWorld(l Links, seed uint64, tape *Tape) *World {
	return &World{Links: l, now: 1_000_000_000, rng: rand.New(rand.NewPCG(seed, 0x10e7)), hosts: map[string]*host{},
		digest: xxhash.New(), tape: tape, zoneCuts: map[[2]string]Time{}}
}

// Now is the clock.
func (w *World) Now() Time { return w.now }

// Digest is a hash of all that was delivered so far, with its times.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

func (w *World) enqueue(h *netEvent) {
	w.sequence++
	h.sequence = w.sequence
	heap.Push(&w.queue, h)
}

// At has a function run at a moment, outside of any core.
func (w *World) At(at Time, call func()) {
	w.enqueue(&netEvent{at: max(at, w.now), kind: eventCall, call: call})
}

// Start puts a core on the network, in place of one that was killed. Names are addresses.
func (w *World) Start(name, zone string, build func(core.Net) core.Core) {
	h := w.host(name, zone)
	h.generation++
	h.down, h.silent, h.pausedUntil, h.wakeAt = false, false, 0, core.Never
	h.core = build(h)
	w.enqueue(&netEvent{at: w.now, kind: eventWake, host: h, generation: h.generation})
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
func (w *World) InFlight() (n int64) {
	for _, x := range w.queue {
		if x.kind == eventData {
			n += int64(len(x.data))
		}
	}
	return n
}

// Kill ends a host's process. Its peers hear of it, or, if silent, hear nothing any more.
func (w *World) Kill(name string, silent bool) {
	h := w.hosts[name]
	h.core, h.generation = nil, h.generation+1
	h.down, h.silent = true, silent
	for _, e := range h.endpoints {
		if !silent && !e.closed {
			w.notifyPeerClosed(e, w.now)
		}
		if e.tap != nil {
			e.tap.closed(w.now, true)
		}
		e.closed, e.open = true, false
	}
	h.endpoints = nil
}

// Call runs a function within a turn of a host.
func (w *World) Call(name string, call func(core.Core)) {
	h := w.hosts[name]
	w.enqueue(&netEvent{at: w.now, kind: eventCall, host: h, generation: h.generation, call: func() { call(h.core) }})
}

// Stand has a host stand still: what comes to it waits.
func (w *World) Stand(name string, span Time) { w.hosts[name].pausedUntil = w.now + span }

// CutZones holds back all that passes between two zones, for a span.
func (w *World) CutZones(a, b string, span Time) {
	w.zoneCuts[[2]string{a, b}], w.zoneCuts[[2]string{b, a}] = w.now+span, w.now+span
}

// Run plays until a moment, or until nothing is left to happen.
func (w *World) Run(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		x := heap.Pop(&w.queue).(*netEvent)
		if h := x.host; h != nil && h.pausedUntil > x.at && x.generation == h.generation {
			x.at = h.pausedUntil
			heap.Push(&w.queue, x) // its place among what waits stays
			continue
		}
		w.now = max(w.now, x.at)
		if w.turnHost != nil && w.turnHost != x.host {
			w.endTurn()
		}
		w.dispatch(x)
		if w.turnHost != nil && (len(w.queue) == 0 || w.queue[0].at != w.now || w.queue[0].host != w.turnHost) {
			w.endTurn()
		}
	}
	w.now = max(w.now, until)
}

func (w *World) endTurn() {
	h := w.turnHost
	w.turnHost = nil
	if h.core == nil {
		return
	}
	if next := max(h.core.EndTurn(), w.now+1); next != core.Never && next != h.wakeAt {
		h.wakeAt = next
		w.enqueue(&netEvent{at: next, kind: eventWake, host: h, generation: h.generation})
	}
}

func (w *World) dispatch(x *netEvent) {
	h := x.host
	if h == nil {
		x.call()
		return
	}
	if x.generation != h.generation || h.core == nil {
		if x.kind == eventData {
			w.Dropped += int64(len(x.data))
		}
		if (x.kind == eventData || x.kind == eventAccept) && !h.silent {
			w.notifyPeerClosed(x.end, w.now) // nobody is there any more
		}
		return
	}
	if x.kind == eventWake && h.wakeAt != x.at && x.at != w.now {
		return
	}
	if w.turnHost == nil {
		w.turnHost = h
		h.core.BeginTurn(w.now)
	}
	e := x.end
	switch x.kind {
	case eventWake:
		if h.wakeAt <= w.now {
			h.wakeAt = core.Never
		}
	case eventCall:
		x.call()
	case eventAccept:
		e.open = true
		if e.tap != nil {
			e.tap.opened(w.now, x.from)
		}
		h.core.Accepted(e.conn, x.from)
	case eventDialed:
		if e.closed {
			return
		}
		e.open = x.err == nil
		if e.open && e.tap != nil {
			e.tap.opened(w.now, x.from)
		}
		h.core.Dialed(e.conn, x.err)
	case eventData:
		if !e.open {
			w.Dropped += int64(len(x.data))
			return
		}
		w.Arrived += int64(len(x.data))
		w.hashDelivery(x)
		w.delivered(e.peer, len(x.data))
		if e.tap != nil && h.isPlayer {
			e.tap.received(w.now, x.data)
		}
		h.core.Received(e.conn, x.data)
	case eventDrained:
		if e.open {
			h.core.Drained(e.conn)
		}
	case eventClosed:
		if e.closed {
			return
		}
		was := e.open
		e.open, e.closed = false, true
		h.removeEndpoint(e)
		if e.tap != nil {
			e.tap.closed(w.now, false)
		}
		if was {
			h.core.Closed(e.conn, x.err)
		}
	}
}

func (w *World) hashDelivery(x *netEvent) {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], uint64(w.now))
	binary.BigEndian.PutUint64(b[8:], uint64(x.end.id))
	binary.BigEndian.PutUint64(b[16:], uint64(len(x.data)))
	_, _ = w.digest.Write(b[:])
	_, _ = w.digest.Write(x.data)
}

// landed takes bytes that have arrived out of a sender's window.
func (w *World) delivered(e *endpoint, n int) {
	e.inFlight -= n
	if e.blocked && e.inFlight <= w.WindowBytes && e.host.generation == e.generation {
		e.blocked = false
		w.enqueue(&netEvent{at: w.now, kind: eventDrained, host: e.host, generation: e.generation, end: e})
	}
}

func (h *host) removeEndpoint(e *endpoint) {
	for i, x := range h.endpoints {
		if x == e {
			h.endpoints[i] = h.endpoints[len(h.endpoints)-1]
			h.endpoints = h.endpoints[:len(h.endpoints)-1]
			return
		}
	}
}

// arrival is when something sent now arrives.
func (w *World) arrivalTime(from, to *host) Time {
	d := w.Latency
	if w.Jitter > 0 {
		d += w.rng.Int64N(w.Jitter)
	}
	at := w.now
	if from.zone != to.zone && from.zone != "" && to.zone != "" {
		d += w.CrossZone
		at = max(at, w.zoneCuts[[2]string{from.zone, to.zone}])
	}
	return at + d
}

// breakEnd has the peer of an end hear that the connection is gone.
func (w *World) notifyPeerClosed(e *endpoint, at Time) {
	p := e.peer
	if p == nil || p.closed {
		return
	}
	e.lastArrival = max(e.lastArrival, w.arrivalTime(e.host, p.host), at)
	w.enqueue(&netEvent{at: e.lastArrival, kind: eventClosed, host: p.host, generation: p.generation, end: p, err: core.ErrClosedByPeer})
}

// Dial connects to a host by its name.
func (h *host) Dial(c *core.Conn, addr string) {
	w := h.net
	to := w.hosts[addr]
	w.sequence++
	e := &endpoint{conn: c, host: h, generation: h.generation, id: int(w.sequence)}
	c.Socket = e
	h.endpoints = append(h.endpoints, e)
	if to == nil || to.down && !to.silent {
		w.enqueue(&netEvent{at: w.now + 2*w.Latency + 1, kind: eventDialed, host: h, generation: h.generation, end: e, err: core.ErrRefused})
		return
	}
	if to.silent {
		return
	}
	there := w.arrivalTime(h, to)
	p := &endpoint{conn: &core.Conn{}, host: to, generation: to.generation, peer: e, id: -e.id}
	p.conn.Socket = p
	e.peer = p
	to.endpoints = append(to.endpoints, p)
	if w.tape != nil {
		if h.isPlayer {
			e.tap = w.tape.tap(h.name, addr, true)
		} else {
			p.tap = w.tape.tap(addr, h.name, false)
		}
	}
	back := there + w.arrivalTime(to, h) - w.now
	e.lastArrival, p.lastArrival = there, back
	from := h.name
	if c.SourceAddr != "" {
		from = c.SourceAddr
	}
	w.enqueue(&netEvent{at: there, kind: eventAccept, host: to, generation: to.generation, end: p, from: from})
	w.enqueue(&netEvent{at: back, kind: eventDialed, host: h, generation: h.generation, end: e, from: addr})
}

// Send has bytes arrive at the other side, in order, whole or in pieces.
func (h *host) Send(c *core.Conn, b []byte) {
	w := h.net
	e, ok := c.Socket.(*endpoint)
	if !ok || !e.open || len(b) == 0 {
		return
	}
	p := e.peer
	if t := e.tap; t != nil { // a box's or a player's own sending
		t.sent(w.now, b)
	}
	if t := p.tap; t != nil && !p.host.isPlayer { // what leaves for a box
		t.received(w.now, b)
	}
	b = append([]byte(nil), b...)
	w.Sent += int64(len(b))
	e.inFlight += len(b)
	broken := false
	if w.CutChance > 0 && w.rng.Float64() < w.CutChance {
		w.Cuts++
		broken = true
		n := w.rng.IntN(len(b) + 1)
		w.Dropped += int64(len(b) - n)
		b = b[:n]
	}
	for len(b) > 0 {
		n := len(b)
		if n > 1 && w.SplitChance > 0 && w.rng.Float64() < w.SplitChance {
			w.Splits++
			n = 1 + w.rng.IntN(n-1)
		}
		e.lastArrival = max(e.lastArrival, w.arrivalTime(h, p.host))
		w.enqueue(&netEvent{at: e.lastArrival, kind: eventData, host: p.host, generation: p.generation, end: p, data: b[:n]})
		b = b[n:]
	}
	if broken {
		for _, t := range []*tap{e.tap, p.tap} {
			if t != nil {
				t.networkBroken = true
			}
		}
		w.notifyPeerClosed(e, w.now)
		w.notifyPeerClosed(p, w.now)
	}
}

// Pending is what does not fit the window.
func (h *host) Pending(c *core.Conn) int {
	e, ok := c.Socket.(*endpoint)
	if !ok || !e.open || e.inFlight <= h.net.WindowBytes {
		return 0
	}
	e.blocked = true
	return e.inFlight - h.net.WindowBytes
}

// Close ends a connection; what was sent still arrives.
func (h *host) Close(c *core.Conn) {
	e, ok := c.Socket.(*endpoint)
	if !ok || e.closed {
		return
	}
	e.closed, e.open = true, false
	h.removeEndpoint(e)
	if e.tap != nil {
		e.tap.closed(h.net.now, true)
	}
	if p := e.peer; p != nil {
		if p.tap != nil && !p.host.isPlayer {
			p.tap.closed(h.net.now, false)
		}
		h.net.notifyPeerClosed(e, h.net.now)
	}
}

// Player says that a host is a crowd of players: its connections are taken down as theirs.
func (w *World) Player(name string) { w.host(name, "").isPlayer = true }

func (w *World) host(name, zone string) *host {
	h := w.hosts[name]
	if h == nil {
		h = &host{net: w, name: name, zone: zone, down: true}
		w.hosts[name] = h
	}
	return h
}
