package platform

import (
	"errors"

	"pierlink/internal/core"
	"pierlink/internal/platform/feed"
)

// busConn is the connection to the event bus.
type busConn struct {
	address     string
	reader      feed.Reader
	transport   *core.Conn
	up          bool
	lastHeardAt core.Time // last received bytes, or start of the connection attempt
	reconnectAt core.Time // earliest time of the next connect
	backoff     core.Time
	previous    previousBus
}

// previousBus is the connection to the previously configured address. Its events count until the new connection delivers
// its first bytes.
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

// closePreviousBus closes the connection to the previous address.
func (m *Manager) closePreviousBus() {
	if conn := m.bus.previous.transport; conn != nil {
		m.network.Close(conn)
	}
	m.bus.previous = previousBus{}
}

// reconnectBus closes the connection and schedules the next connect, with exponential backoff.
func (m *Manager) reconnectBus() {
	bus := &m.bus
	if bus.transport != nil {
		m.network.Close(bus.transport)
	}
	bus.transport, bus.up = nil, false
	bus.reconnectAt = m.now + bus.backoff/2 + core.Time(m.randomFraction()*float64(bus.backoff/2)) // jitter: all managers may have lost the bus at once
	bus.backoff = min(2*bus.backoff, busBackoffMax)
	m.timers.Set(nil, bus.reconnectAt, m.checkBus)
}

func (m *Manager) checkBus() {
	bus := &m.bus
	switch {
	case bus.transport == nil && m.now >= bus.reconnectAt:
		m.connectBus()
	case bus.transport != nil && !bus.up && m.now-bus.lastHeardAt > m.config.Settings.ConnectTimeout, bus.transport != nil && m.now-bus.lastHeardAt > busHeartbeatTimeout:
		m.reconnectBus()
	}
	if bus.previous.transport != nil && m.now-bus.previous.lastHeardAt > busHeartbeatTimeout {
		m.closePreviousBus()
	}
}

// Reconfigure applies the bus address of a new configuration. An established connection is kept until the new one delivers
// its first bytes, so that no event is missed meanwhile.
func (m *Manager) Reconfigure(config *Config) error {
	if config.Bus == "" {
		return errors.New("bus: expected address:port, got an empty address")
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
