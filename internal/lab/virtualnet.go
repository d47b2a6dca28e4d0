// Package lab is the project's test bed. It runs the cores of session managers and stand-ins on a virtual network
// under a virtual clock, or on loopback sockets, plays scripted days of load and faults there, and checks the
// rules from the traffic on the connections.
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

// Links are the delays and faults of the virtual network. Chances are drawn from the network's seed.
type Links struct {
	Latency, Jitter Time    // one way, Latency plus up to Jitter
	CrossZone       Time    // additional latency between zones
	SplitChance     float64 // chance that sent bytes arrive in pieces, split at any byte
	CutChance       float64 // chance per send that the connection breaks, at any byte of what is sent
	WindowBytes     int     // bytes in flight above which a sender gets backpressure
}

// VirtualNet is the virtual network and its clock. It runs on one goroutine; the same seed and the same
// calls give the same traffic, byte for byte.
type VirtualNet struct {
	Links
	now       Time
	queue     eventQueue
	sequence  uint64
	rng       *rand.Rand
	hosts     map[string]*hostState
	digest    *xxhash.Digest
	turnHost  *hostState
	recording *Recording
	zoneCuts  map[[2]string]Time // pairs of zones that are partitioned, and until when
	Cuts      int
	Splits    int

	Sent, Arrived, Dropped int64 // bytes
}

// hostState is an address on the network that runs one core.
type hostState struct {
	net         *VirtualNet
	name        string
	zone        string
	core        core.Core
	endpoints   []*connEnd
	down        bool // refuses connections
	silent      bool // drops what is sent to it
	pausedUntil Time // handles nothing before this time
	wakeAt      Time
	generation  int
	isPlayer    bool
}

// connEnd is one side of a connection.
type connEnd struct {
	conn        *core.Conn
	host        *hostState
	generation  int
	peer        *connEnd
	id          int
	open        bool // open as seen by its core
	closed      bool
	lastArrival Time // arrival time of the last bytes that it sent
	inFlight    int
	blocked     bool // its core waits for Drained
	tap         *connTap
}

// netEvent is something that happens at a time: at a host, or, without one, outside of any core.
type netEvent struct {
	at         Time
	sequence   uint64
	host       *hostState
	generation int
	kind       int
	end        *connEnd
	data       []byte
	err        error
	call       func()
	from       string
}

// The kinds of network events.
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

// NewVirtualNet returns an empty network. Its clock starts at a time other than zero, as real clocks do.
func NewVirtualNet(links Links, seed uint64, recording *Recording) *VirtualNet {
	return &VirtualNet{Links: links, now: 1_000_000_000, rng: rand.New(rand.NewPCG(seed, 0x10e7)), hosts: map[string]*hostState{},
		digest: xxhash.New(), recording: recording, zoneCuts: map[[2]string]Time{}}
}

// Now returns the virtual time.
func (w *VirtualNet) Now() Time { return w.now }

// Digest returns a hash of all bytes delivered so far, with their times.
func (w *VirtualNet) Digest() uint64 { return w.digest.Sum64() }

func (w *VirtualNet) enqueue(event *netEvent) {
	w.sequence++
	event.sequence = w.sequence
	heap.Push(&w.queue, event)
}

// At runs a function at a time, outside of any core.
func (w *VirtualNet) At(at Time, run func()) {
	w.enqueue(&netEvent{at: max(at, w.now), kind: eventCall, call: run})
}

// Start runs a core at a host, in place of one that was killed. Host names are addresses.
func (w *VirtualNet) Start(name, zone string, build func(core.Net) core.Core) {
	host := w.host(name, zone)
	host.generation++
	host.down, host.silent, host.pausedUntil, host.wakeAt = false, false, 0, core.Never
	host.core = build(host)
	w.enqueue(&netEvent{at: w.now, kind: eventWake, host: host, generation: host.generation})
	host.wakeAt = w.now
}

// Addr returns the address of a host, which is its name.
func (w *VirtualNet) Addr(name string) string { return name }

// Core returns the core that runs at a host, or nil.
func (w *VirtualNet) Core(name string) core.Core {
	if host := w.hosts[name]; host != nil {
		return host.core
	}
	return nil
}

// InFlight returns the number of bytes in flight.
func (w *VirtualNet) InFlight() (n int64) {
	for _, event := range w.queue {
		if event.kind == eventData {
			n += int64(len(event.data))
		}
	}
	return n
}

// Kill ends a host's process. Its peers see their connections close or, if silent, receive nothing more.
func (w *VirtualNet) Kill(name string, silent bool) {
	host := w.hosts[name]
	host.core, host.generation = nil, host.generation+1
	host.down, host.silent = true, silent
	for _, endpoint := range host.endpoints {
		if !silent && !endpoint.closed {
			w.notifyPeerClosed(endpoint, w.now)
		}
		if endpoint.tap != nil {
			endpoint.tap.closed(w.now, true)
		}
		endpoint.closed, endpoint.open = true, false
	}
	host.endpoints = nil
}

// Call runs a function within one of a host's event loop turns.
func (w *VirtualNet) Call(name string, run func(core.Core)) {
	host := w.hosts[name]
	w.enqueue(&netEvent{at: w.now, kind: eventCall, host: host, generation: host.generation, call: func() { run(host.core) }})
}

// Pause pauses a host: events for it wait until the pause ends.
func (w *VirtualNet) Pause(name string, duration Time) { w.hosts[name].pausedUntil = w.now + duration }

// CutZones delays all traffic between two zones until the duration has passed.
func (w *VirtualNet) CutZones(a, b string, duration Time) {
	w.zoneCuts[[2]string{a, b}], w.zoneCuts[[2]string{b, a}] = w.now+duration, w.now+duration
}

// Run handles events up to a time, or until none is left.
func (w *VirtualNet) Run(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		event := heap.Pop(&w.queue).(*netEvent)
		if host := event.host; host != nil && host.pausedUntil > event.at && event.generation == host.generation {
			event.at = host.pausedUntil
			heap.Push(&w.queue, event) // keeps its sequence number, so order is kept
			continue
		}
		w.now = max(w.now, event.at)
		if w.turnHost != nil && w.turnHost != event.host {
			w.endTurn()
		}
		w.dispatch(event)
		if w.turnHost != nil && (len(w.queue) == 0 || w.queue[0].at != w.now || w.queue[0].host != w.turnHost) {
			w.endTurn()
		}
	}
	w.now = max(w.now, until)
}

func (w *VirtualNet) endTurn() {
	host := w.turnHost
	w.turnHost = nil
	if host.core == nil {
		return
	}
	if next := max(host.core.EndTurn(), w.now+1); next != core.Never && next != host.wakeAt {
		host.wakeAt = next
		w.enqueue(&netEvent{at: next, kind: eventWake, host: host, generation: host.generation})
	}
}

func (w *VirtualNet) dispatch(event *netEvent) {
	host := event.host
	if host == nil {
		event.call()
		return
	}
	if event.generation != host.generation || host.core == nil {
		if event.kind == eventData {
			w.Dropped += int64(len(event.data))
		}
		if (event.kind == eventData || event.kind == eventAccept) && !host.silent {
			w.notifyPeerClosed(event.end, w.now) // the process that the connection led to has ended
		}
		return
	}
	if event.kind == eventWake && host.wakeAt != event.at && event.at != w.now {
		return
	}
	if w.turnHost == nil {
		w.turnHost = host
		host.core.BeginTurn(w.now)
	}
	endpoint := event.end
	switch event.kind {
	case eventWake:
		if host.wakeAt <= w.now {
			host.wakeAt = core.Never
		}
	case eventCall:
		event.call()
	case eventAccept:
		endpoint.open = true
		if endpoint.tap != nil {
			endpoint.tap.opened(w.now, event.from)
		}
		host.core.Accepted(endpoint.conn, event.from)
	case eventDialed:
		if endpoint.closed {
			return
		}
		endpoint.open = event.err == nil
		if endpoint.open && endpoint.tap != nil {
			endpoint.tap.opened(w.now, event.from)
		}
		host.core.Dialed(endpoint.conn, event.err)
	case eventData:
		if !endpoint.open {
			w.Dropped += int64(len(event.data))
			return
		}
		w.Arrived += int64(len(event.data))
		w.hashDelivery(event)
		w.delivered(endpoint.peer, len(event.data))
		if endpoint.tap != nil && host.isPlayer {
			endpoint.tap.received(w.now, event.data)
		}
		host.core.Received(endpoint.conn, event.data)
	case eventDrained:
		if endpoint.open {
			host.core.Drained(endpoint.conn)
		}
	case eventClosed:
		if endpoint.closed {
			return
		}
		wasOpen := endpoint.open
		endpoint.open, endpoint.closed = false, true
		host.removeEndpoint(endpoint)
		if endpoint.tap != nil {
			endpoint.tap.closed(w.now, false)
		}
		if wasOpen {
			host.core.Closed(endpoint.conn, event.err)
		}
	}
}

func (w *VirtualNet) hashDelivery(event *netEvent) {
	var header [24]byte
	binary.BigEndian.PutUint64(header[:], uint64(w.now))
	binary.BigEndian.PutUint64(header[8:], uint64(event.end.id))
	binary.BigEndian.PutUint64(header[16:], uint64(len(event.data)))
	_, _ = w.digest.Write(header[:])
	_, _ = w.digest.Write(event.data)
}

// delivered takes bytes that have arrived out of their sender's window.
func (w *VirtualNet) delivered(endpoint *connEnd, n int) {
	endpoint.inFlight -= n
	if endpoint.blocked && endpoint.inFlight <= w.WindowBytes && endpoint.host.generation == endpoint.generation {
		endpoint.blocked = false
		w.enqueue(&netEvent{at: w.now, kind: eventDrained, host: endpoint.host, generation: endpoint.generation, end: endpoint})
	}
}

func (h *hostState) removeEndpoint(target *connEnd) {
	for i, end := range h.endpoints {
		if end == target {
			h.endpoints[i] = h.endpoints[len(h.endpoints)-1]
			h.endpoints = h.endpoints[:len(h.endpoints)-1]
			return
		}
	}
}

// arrivalTime returns when something sent now arrives.
func (w *VirtualNet) arrivalTime(from, to *hostState) Time {
	delay := w.Latency
	if w.Jitter > 0 {
		delay += w.rng.Int64N(w.Jitter)
	}
	at := w.now
	if from.zone != to.zone && from.zone != "" && to.zone != "" {
		delay += w.CrossZone
		at = max(at, w.zoneCuts[[2]string{from.zone, to.zone}])
	}
	return at + delay
}

// notifyPeerClosed schedules the close of the connection at the peer of an endpoint.
func (w *VirtualNet) notifyPeerClosed(endpoint *connEnd, at Time) {
	peer := endpoint.peer
	if peer == nil || peer.closed {
		return
	}
	endpoint.lastArrival = max(endpoint.lastArrival, w.arrivalTime(endpoint.host, peer.host), at)
	w.enqueue(&netEvent{at: endpoint.lastArrival, kind: eventClosed, host: peer.host, generation: peer.generation, end: peer, err: core.ErrClosedByPeer})
}

// Dial opens a connection to a host by its name.
func (h *hostState) Dial(c *core.Conn, addr string) {
	network := h.net
	target := network.hosts[addr]
	network.sequence++
	local := &connEnd{conn: c, host: h, generation: h.generation, id: int(network.sequence)}
	c.Socket = local
	h.endpoints = append(h.endpoints, local)
	if target == nil || target.down && !target.silent {
		network.enqueue(&netEvent{at: network.now + 2*network.Latency + 1, kind: eventDialed, host: h, generation: h.generation, end: local, err: core.ErrRefused})
		return
	}
	if target.silent {
		return
	}
	acceptedAt := network.arrivalTime(h, target)
	peer := &connEnd{conn: &core.Conn{}, host: target, generation: target.generation, peer: local, id: -local.id}
	peer.conn.Socket = peer
	local.peer = peer
	target.endpoints = append(target.endpoints, peer)
	if network.recording != nil {
		if h.isPlayer {
			local.tap = network.recording.tap(h.name, addr, true)
		} else {
			peer.tap = network.recording.tap(addr, h.name, false)
		}
	}
	dialedAt := acceptedAt + network.arrivalTime(target, h) - network.now
	local.lastArrival, peer.lastArrival = acceptedAt, dialedAt
	source := h.name
	if c.SourceAddr != "" {
		source = c.SourceAddr
	}
	network.enqueue(&netEvent{at: acceptedAt, kind: eventAccept, host: target, generation: target.generation, end: peer, from: source})
	network.enqueue(&netEvent{at: dialedAt, kind: eventDialed, host: h, generation: h.generation, end: local, from: addr})
}

// Send schedules the arrival of bytes at the peer, in order, whole or in pieces.
func (h *hostState) Send(c *core.Conn, data []byte) {
	network := h.net
	local, ok := c.Socket.(*connEnd)
	if !ok || !local.open || len(data) == 0 {
		return
	}
	peer := local.peer
	if tap := local.tap; tap != nil { // sent by a box or a player
		tap.sent(network.now, data)
	}
	if tap := peer.tap; tap != nil && !peer.host.isPlayer { // sent to a box
		tap.received(network.now, data)
	}
	data = append([]byte(nil), data...)
	network.Sent += int64(len(data))
	local.inFlight += len(data)
	broken := false
	if network.CutChance > 0 && network.rng.Float64() < network.CutChance {
		network.Cuts++
		broken = true
		n := network.rng.IntN(len(data) + 1)
		network.Dropped += int64(len(data) - n)
		data = data[:n]
	}
	for len(data) > 0 {
		n := len(data)
		if n > 1 && network.SplitChance > 0 && network.rng.Float64() < network.SplitChance {
			network.Splits++
			n = 1 + network.rng.IntN(n-1)
		}
		local.lastArrival = max(local.lastArrival, network.arrivalTime(h, peer.host))
		network.enqueue(&netEvent{at: local.lastArrival, kind: eventData, host: peer.host, generation: peer.generation, end: peer, data: data[:n]})
		data = data[n:]
	}
	if broken {
		for _, tap := range []*connTap{local.tap, peer.tap} {
			if tap != nil {
				tap.networkBroken = true
			}
		}
		network.notifyPeerClosed(local, network.now)
		network.notifyPeerClosed(peer, network.now)
	}
}

// Pending returns the bytes in flight beyond the window.
func (h *hostState) Pending(c *core.Conn) int {
	local, ok := c.Socket.(*connEnd)
	if !ok || !local.open || local.inFlight <= h.net.WindowBytes {
		return 0
	}
	local.blocked = true
	return local.inFlight - h.net.WindowBytes
}

// Close closes a connection; what was sent before still arrives.
func (h *hostState) Close(c *core.Conn) {
	local, ok := c.Socket.(*connEnd)
	if !ok || local.closed {
		return
	}
	local.closed, local.open = true, false
	h.removeEndpoint(local)
	if local.tap != nil {
		local.tap.closed(h.net.now, true)
	}
	if peer := local.peer; peer != nil {
		if peer.tap != nil && !peer.host.isPlayer {
			peer.tap.closed(h.net.now, false)
		}
		h.net.notifyPeerClosed(local, h.net.now)
	}
}

// MarkPlayers marks a host as players, so that its connections are recorded as players' connections.
func (w *VirtualNet) MarkPlayers(name string) { w.host(name, "").isPlayer = true }

func (w *VirtualNet) host(name, zone string) *hostState {
	host := w.hosts[name]
	if host == nil {
		host = &hostState{net: w, name: name, zone: zone, down: true}
		w.hosts[name] = host
	}
	return host
}
