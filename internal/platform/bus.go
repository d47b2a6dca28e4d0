package platform

import (
	"errors"

	"pierlink/internal/core"
	"pierlink/internal/platform/feed"
)

// bus is the connection to the event bus.
type busConn struct {
	address     string
	reader      feed.Reader
	transport   *core.Conn
	up          bool
	lastHeardAt core.Time
	reconnectAt core.Time // when to connect next
	backoff     core.Time
	previous    previousBus
}

// former is the connection to the address that the configuration named before: what it tells counts until the new one
// speaks.
type previousBus struct {
	reader      feed.Reader
	transport   *core.Conn
	lastHeardAt core.Time
}

func (bus *busConn) configure(config *Config) {
	bus.address, bus.backoff = config.Bus, busBackoffMin
	bus.reader.ZoneCount, bus.reader.KindCount = len(config.Settings.Zones), len(config.Settings.Kinds)
}

func (m *Manager) connectBus() {
	bus := &m.bus
	bus.transport, bus.up, bus.lastHeardAt, bus.reconnectAt = &core.Conn{Owner: bus}, false, m.now, core.Never
	m.network.Dial(bus.transport, bus.address)
}

func (m *Manager) busUp(err error) {
	bus := &m.bus
	if err != nil {
		m.reconnectBus()
		return
	}
	bus.up, bus.lastHeardAt = true, m.now
	m.network.Send(bus.transport, bus.reader.ResumeRequest())
}

func (m *Manager) busData(conn *core.Conn, data []byte) {
	bus := &m.bus
	switch {
	case conn == bus.transport:
		bus.lastHeardAt, bus.backoff = m.now, busBackoffMin
		if err := bus.reader.Feed(data, m.applyEvent); err != nil {
			m.trace("bus: %v", err)
			m.reconnectBus()
			return
		}
		m.closePreviousBus()
	case conn == bus.previous.transport:
		bus.previous.lastHeardAt, bus.previous.reader.LastOffset = m.now, bus.reader.LastOffset
		err := bus.previous.reader.Feed(data, m.applyEvent)
		bus.reader.LastOffset = bus.previous.reader.LastOffset
		if err != nil {
			m.closePreviousBus()
		}
	}
}

func (m *Manager) busClosed(conn *core.Conn) {
	switch conn {
	case m.bus.transport:
		m.reconnectBus()
	case m.bus.previous.transport:
		m.closePreviousBus()
	}
}

// leaveBus gives up the connection to the former address.
func (m *Manager) closePreviousBus() {
	if conn := m.bus.previous.transport; conn != nil {
		m.network.Close(conn)
	}
	m.bus.previous = previousBus{}
}

// breakBus gives the connection up; the next one is made at once, and where that fails after a growing wait.
func (m *Manager) reconnectBus() {
	bus := &m.bus
	if bus.transport != nil {
		m.network.Close(bus.transport)
	}
	bus.transport, bus.up = nil, false
	bus.reconnectAt = m.now + bus.backoff/2 + core.Time(m.randomFraction()*float64(bus.backoff/2)) // all lost it at once; they do not ask at once
	bus.backoff = min(2*bus.backoff, busBackoffMax)
	m.timers.Set(nil, bus.reconnectAt, m.checkBus)
}

func (m *Manager) checkBus() {
	bus := &m.bus
	switch {
	case bus.transport == nil && m.now >= bus.reconnectAt:
		m.connectBus()
	case bus.transport != nil && !bus.up && m.now-bus.lastHeardAt > m.config.Settings.Connect, bus.transport != nil && m.now-bus.lastHeardAt > busHeartbeatTimeout:
		m.reconnectBus()
	}
	if bus.previous.transport != nil && m.now-bus.previous.lastHeardAt > busHeartbeatTimeout {
		m.closePreviousBus()
	}
}

// Renew takes a new configuration: the bus is where that says. The connection that is up goes on until the new one
// speaks, so that nothing is missed meanwhile.
func (m *Manager) Reconfigure(config *Config) error {
	if config.Bus == "" {
		return errors.New("bus: an address is expected")
	}
	if config.Bus == m.bus.address {
		return nil
	}
	bus := &m.bus
	bus.address, bus.backoff = config.Bus, busBackoffMin
	switch {
	case bus.up && bus.previous.transport == nil:
		bus.previous = previousBus{bus.reader, bus.transport, bus.lastHeardAt}
	case bus.transport != nil:
		m.network.Close(bus.transport)
	}
	m.connectBus()
	return nil
}
