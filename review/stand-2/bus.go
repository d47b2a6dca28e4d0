//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// listed is the entry of a video server in an event of the bus.
type listed struct {
	id                          uint32
	addr                        string
	state, zone, kind           int // state: 0 ready, 1 draining, 2 gone
	cell                        int
	weight                      float64
	startedMS                   int64
	zoneName, kindName, stateOf string // for the JSON form
}

type busEvent struct {
	whole   bool
	servers []listed
}

// eventBus tells each session manager the same events, numbered from 1.
type eventBus struct {
	ln     net.Listener
	mu     sync.Mutex
	events []busEvent
	grown  chan struct{} // closed and replaced when an event is added
	rec    *record
}

func newBus(rec *record) (*eventBus, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &eventBus{ln: ln, grown: make(chan struct{}), rec: rec}
	go b.accept()
	return b, nil
}

func (b *eventBus) addr() string { return b.ln.Addr().String() }

// add appends an event and tells it to all that are connected.
func (b *eventBus) add(event busEvent) {
	b.mu.Lock()
	b.events = append(b.events, event)
	close(b.grown)
	b.grown = make(chan struct{})
	number := len(b.events)
	b.mu.Unlock()
	b.rec.line("bus: event %d, whole list %v: %d entries", number, event.whole, len(event.servers))
}

func (b *eventBus) accept() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *eventBus) serve(conn net.Conn) {
	defer conn.Close()
	var ask [8]byte
	if _, err := io.ReadFull(conn, ask[:]); err != nil {
		return
	}
	next := int(binary.BigEndian.Uint64(ask[:]))
	for {
		b.mu.Lock()
		events, grown := b.events, b.grown
		b.mu.Unlock()
		for ; next < len(events); next++ {
			if _, err := conn.Write(events[next].frame(uint64(next + 1))); err != nil {
				return
			}
		}
		select {
		case <-grown:
		case <-time.After(time.Second):
			if _, err := conn.Write((&busEvent{}).empty(uint64(next))); err != nil {
				return
			}
		}
	}
}

func (e *busEvent) empty(number uint64) []byte {
	frame := binary.BigEndian.AppendUint32(nil, 9)
	return append(binary.BigEndian.AppendUint64(frame, number), 0)
}

func (e *busEvent) frame(number uint64) []byte {
	payload := binary.BigEndian.AppendUint64(nil, number)
	if e.whole {
		payload = append(payload, 1)
	} else {
		payload = append(payload, 2)
	}
	for _, s := range e.servers {
		ap := netip.MustParseAddrPort(s.addr)
		payload = binary.BigEndian.AppendUint32(payload, s.id)
		payload = append(payload, ap.Addr().AsSlice()...)
		payload = binary.BigEndian.AppendUint16(payload, ap.Port())
		payload = append(payload, byte(s.state), byte(s.zone), byte(s.kind))
		payload = binary.BigEndian.AppendUint16(payload, uint16(s.cell))
		payload = binary.BigEndian.AppendUint32(payload, uint32(s.weight*1000))
		payload = binary.BigEndian.AppendUint64(payload, uint64(s.startedMS))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// known returns the events up to now in the form of the configuration.
func (b *eventBus) known(zones, kinds []string) json.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := []any{}
	for i, event := range b.events {
		targets := []any{}
		for _, s := range event.servers {
			targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", s.id), "endpoint": s.addr, "az": zones[s.zone], "model": kinds[s.kind],
				"pod_group": s.cell, "state": []string{"Ready", "Terminating", "Gone"}[s.state], "capacity_hint": s.weight, "boot_ms": s.startedMS})
		}
		batch = append(batch, map[string]any{"offset": i + 1, "topology": map[string]any{"rev": i + 1, "all": event.whole, "targets": targets}})
	}
	text, _ := json.Marshal(map[string]any{"offset": len(b.events), "batch": batch})
	return text
}
