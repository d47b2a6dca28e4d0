package platform

import (
	"errors"

	"pierlink/internal/core"
	"pierlink/internal/platform/feed"
)

// bus is the connection to the event bus.
type bus struct {
	address string
	reader  feed.Reader
	conn    *core.Conn
	up      bool
	heard   core.Time
	again   core.Time // when to connect next
	wait    core.Time
}

func (b *bus) at(g *Given) {
	b.address, b.wait = g.Bus, busWait
	b.reader.Zones, b.reader.Kinds = len(g.Told.Zones), len(g.Told.Kinds)
}

func (m *Manager) connectBus() {
	b := &m.bus
	b.conn, b.up, b.heard, b.again = &core.Conn{Owner: b}, false, m.now, core.Never
	m.net.Dial(b.conn, b.address)
}

func (m *Manager) busUp(err error) {
	b := &m.bus
	if err != nil {
		m.breakBus()
		return
	}
	b.up, b.heard = true, m.now
	m.net.Send(b.conn, b.reader.Hello())
}

func (m *Manager) busSays(c *core.Conn, p []byte) {
	b := &m.bus
	if c != b.conn {
		return
	}
	b.heard, b.wait = m.now, busWait
	if err := b.reader.Feed(p, m.listed); err != nil {
		m.trace("bus: %v", err)
		m.breakBus()
	}
}

func (m *Manager) busGone(c *core.Conn) {
	if c == m.bus.conn {
		m.breakBus()
	}
}

// breakBus gives the connection up; the next one is made at once, and where that fails after a growing wait.
func (m *Manager) breakBus() {
	b := &m.bus
	if b.conn != nil {
		m.net.Close(b.conn)
	}
	b.conn, b.up = nil, false
	b.again = m.now + b.wait/2 + core.Time(m.chance()*float64(b.wait/2)) // all lost it at once; they do not ask at once
	b.wait = min(2*b.wait, busMost)
	m.timers.Set(nil, b.again, m.lookAfterBus)
}

func (m *Manager) lookAfterBus() {
	b := &m.bus
	switch {
	case b.conn == nil && m.now >= b.again:
		m.connectBus()
	case b.conn != nil && !b.up && m.now-b.heard > m.given.Told.Connect, b.conn != nil && m.now-b.heard > busBeat:
		m.breakBus()
	}
}

// Renew takes a new configuration: from here on the bus is where that says.
func (m *Manager) Renew(g *Given) error {
	if g.Bus == "" {
		return errors.New("bus: an address is expected")
	}
	if g.Bus == m.bus.address {
		return nil
	}
	m.bus.address, m.bus.wait = g.Bus, busWait
	if m.bus.conn != nil {
		m.net.Close(m.bus.conn)
	}
	m.connectBus()
	return nil
}
