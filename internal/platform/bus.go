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
	former  former
}

// former is the connection to the address that the configuration named before: what it tells counts until the new one
// speaks.
type former struct {
	reader feed.Reader
	conn   *core.Conn
	heard  core.Time
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
	switch {
	case c == b.conn:
		b.heard, b.wait = m.now, busWait
		if err := b.reader.Feed(p, m.listed); err != nil {
			m.trace("bus: %v", err)
			m.breakBus()
			return
		}
		m.leaveBus()
	case c == b.former.conn:
		b.former.heard, b.former.reader.Last = m.now, b.reader.Last
		err := b.former.reader.Feed(p, m.listed)
		b.reader.Last = b.former.reader.Last
		if err != nil {
			m.leaveBus()
		}
	}
}

func (m *Manager) busGone(c *core.Conn) {
	switch c {
	case m.bus.conn:
		m.breakBus()
	case m.bus.former.conn:
		m.leaveBus()
	}
}

// leaveBus gives up the connection to the former address.
func (m *Manager) leaveBus() {
	if c := m.bus.former.conn; c != nil {
		m.net.Close(c)
	}
	m.bus.former = former{}
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
	if b.former.conn != nil && m.now-b.former.heard > busBeat {
		m.leaveBus()
	}
}

// Renew takes a new configuration: the bus is where that says. The connection that is up goes on until the new one
// speaks, so that nothing is missed meanwhile.
func (m *Manager) Renew(g *Given) error {
	if g.Bus == "" {
		return errors.New("bus: an address is expected")
	}
	if g.Bus == m.bus.address {
		return nil
	}
	b := &m.bus
	b.address, b.wait = g.Bus, busWait
	switch {
	case b.up && b.former.conn == nil:
		b.former = former{b.reader, b.conn, b.heard}
	case b.conn != nil:
		m.net.Close(b.conn)
	}
	m.connectBus()
	return nil
}
