package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// The states of a video server in the list.
const (
	ready    = 0
	draining = 1
	gone     = 2
)

var stateNames = []string{"Ready", "Terminating", "Gone"}

// entry is a video server in an event of the bus.
type entry struct {
	id            uint32
	addr          string
	state         int
	zone, kind    int
	cell          int
	weight        float64
	startedMillis int64
}

type busEvent struct {
	whole   bool
	entries []entry
}

// bus is the event bus, as one session manager reaches it.
type bus struct {
	w      *world
	ln     net.Listener
	mu     sync.Mutex
	events []busEvent
	conns  map[net.Conn]uint64 // number of the last event written
}

func newBus(w *world) *bus {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	b := &bus{w: w, ln: ln, conns: map[net.Conn]uint64{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	go func() {
		for range time.Tick(time.Second) {
			b.mu.Lock()
			for conn, last := range b.conns {
				_, _ = conn.Write(frame(last, 0, nil))
			}
			b.mu.Unlock()
		}
	}()
	return b
}

func (b *bus) addr() string { return b.ln.Addr().String() }

func (b *bus) serve(conn net.Conn) {
	var position [8]byte
	if _, err := io.ReadFull(conn, position[:]); err != nil {
		_ = conn.Close()
		return
	}
	b.w.rec.log("bus: %s asks for what follows event %d", conn.RemoteAddr(), binary.BigEndian.Uint64(position[:]))
	b.mu.Lock()
	b.conns[conn] = binary.BigEndian.Uint64(position[:])
	b.flush(conn)
	b.mu.Unlock()
	_, _ = io.Copy(io.Discard, conn)
	b.mu.Lock()
	delete(b.conns, conn)
	b.w.rec.log("bus: connection %s ended", conn.RemoteAddr())
	b.mu.Unlock()
	_ = conn.Close()
}

func (b *bus) flush(conn net.Conn) {
	for last := b.conns[conn]; last < uint64(len(b.events)); {
		event := b.events[last]
		last++
		b.conns[conn] = last
		kind := byte(2)
		if event.whole {
			kind = 1
		}
		_, _ = conn.Write(frame(last, kind, event.entries))
	}
}

// tell adds an event, which counts as told from now on.
func (b *bus) tell(event busEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, event)
	for conn := range b.conns {
		b.flush(conn)
	}
}

func frame(number uint64, kind byte, entries []entry) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, number), kind)
	for _, e := range entries {
		addr, err := net.ResolveTCPAddr("tcp4", e.addr)
		if err != nil {
			cannotRun("%v", err)
		}
		body = binary.BigEndian.AppendUint32(body, e.id)
		body = append(body, addr.IP.To4()...)
		body = binary.BigEndian.AppendUint16(body, uint16(addr.Port))
		body = append(body, byte(e.state), byte(e.zone), byte(e.kind))
		body = binary.BigEndian.AppendUint16(body, uint16(e.cell))
		body = binary.BigEndian.AppendUint32(body, uint32(e.weight*1000))
		body = binary.BigEndian.AppendUint64(body, uint64(e.startedMillis))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// known returns the events up to now, as the configuration holds them.
func (b *bus) known() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []any
	for i, event := range b.events {
		var targets []any
		for _, e := range event.entries {
			targets = append(targets, map[string]any{"uid": serverName(e.id), "endpoint": e.addr, "az": b.w.site.zones[e.zone], "model": b.w.site.kinds[e.kind],
				"pod_group": e.cell, "state": stateNames[e.state], "capacity_hint": e.weight, "boot_ms": e.startedMillis})
		}
		batch = append(batch, map[string]any{"offset": i + 1, "topology": map[string]any{"rev": i + 1, "all": event.whole, "targets": targets}})
	}
	return map[string]any{"offset": len(b.events), "batch": batch}
}
