package platform

import (
	"cmp"
	"errors"
	"slices"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/session"
)

// serverConn is a connection to a server. Set-ups of many playbacks share it.
type serverConn struct {
	server     *server
	transport  *core.Conn
	reader     boxes.Reader
	up         bool
	closing    bool
	draining   bool        // half-closed: nothing is sent, but messages are read until the server closes
	drainedAt  core.Time   // when it was half-closed
	stale      bool        // a set-up on it timed out: it is used for no further ones
	setups     []*playback // whose offer was sent on it, or waits for it to come up
	timer      *core.Timer
	upAt       core.Time
	lastUsedAt core.Time // last sent or received bytes
}

// connFor returns the usable connection with the fewest pending set-ups, or dials a new one if the limits permit.
func (m *Manager) connFor(srv *server) *serverConn {
	if srv.replaced {
		return nil
	}
	var best *serverConn
	for _, conn := range srv.conns {
		if conn.stale || m.nearIdleTimeout(conn) {
			continue
		}
		if best == nil || len(conn.setups) < len(best.setups) {
			best = conn
		}
	}
	if best == nil || len(best.setups) > 0 && len(srv.conns) < m.connsPerServer {
		if conn := m.dial(srv); conn != nil {
			return conn
		}
	}
	if best != nil && m.config.Settings.StreamsPerConn > 0 && len(best.setups) >= m.config.Settings.StreamsPerConn {
		return nil
	}
	return best
}

// dial opens a connection to a server. It returns nil if the server has left the list or its address, or a limit is reached: besides the
// connections that a server may have there may be as many that are being closed or used for nothing new, and one that
// checks whether the machine can be reached.
func (m *Manager) dial(srv *server) *serverConn {
	if srv.replaced || srv.state == session.Gone || len(srv.conns)+len(srv.draining) > 2*m.connsPerServer {
		return nil
	}
	if m.serverConnCount >= m.config.Sockets/serverSocketsDivisor && !m.evictIdleConn() {
		return nil
	}
	conn := &serverConn{server: srv, transport: &core.Conn{}, lastUsedAt: m.now}
	conn.transport.Owner = conn
	srv.conns = append(srv.conns, conn)
	srv.lastDialAt = m.now
	m.serverConnCount++
	conn.timer = m.timers.Set(nil, m.now+m.config.Settings.ConnectTimeout, func() { m.serverConnUp(conn, errors.New("connect timeout")) })
	m.network.Dial(conn.transport, srv.address)
	return conn
}

// evictIdleConn closes the connection with the lowest eviction rank and, among those, the one that has been unused for the
// longest time. It reports whether there was one.
func (m *Manager) evictIdleConn() bool {
	var victim *serverConn
	for _, srv := range m.servers {
		for _, conn := range slices.Concat(srv.conns, srv.draining) {
			if conn.evictionRank() != neverEvicted && (victim == nil || conn.evictedBefore(victim)) {
				victim = conn
			}
		}
	}
	if victim != nil {
		m.closeServerConn(victim)
	}
	return victim != nil
}

// neverEvicted is the eviction rank of connections that are needed.
const neverEvicted = 3

// evictionRank returns the order in which connections are closed where descriptors are short: the lowest first. What a
// server is just writing about its playbacks is lost with a connection that is closed at once.
func (conn *serverConn) evictionRank() int {
	srv := conn.server
	switch {
	case conn.draining && len(srv.playing) > 0:
		return 1
	case len(conn.setups) > 0 || len(srv.probes) > 0:
		return neverEvicted
	case len(srv.playing) == 0:
		return 0
	case len(srv.conns) > 1:
		return 2
	}
	return neverEvicted
}

func (conn *serverConn) evictedBefore(other *serverConn) bool {
	return cmp.Or(cmp.Compare(conn.evictionRank(), other.evictionRank()), cmp.Compare(conn.lastUsedAt, other.lastUsedAt),
		cmp.Compare(conn.server.id, other.server.id)) < 0
}

// drainConn closes a connection gracefully, by a half-close: what the server writes about its playbacks before it has
// read of that would otherwise be lost, as it is sent only once. Nothing happens if the server has not answered as many
// half-closes as it may have connections; checkServers tries again.
func (m *Manager) drainConn(conn *serverConn) {
	srv := conn.server
	if conn.closing || conn.draining {
		return
	}
	if !conn.up || len(srv.playing) == 0 || m.halfCloser == nil {
		m.closeServerConn(conn)
		return
	}
	if len(srv.draining) >= m.connsPerServer {
		return
	}
	conn.draining, conn.drainedAt = true, m.now
	srv.conns = slices.DeleteFunc(srv.conns, func(other *serverConn) bool { return other == conn })
	srv.draining = append(srv.draining, conn)
	m.halfCloser.CloseWrite(conn.transport)
	conn.timer = m.timers.Set(conn.timer, m.now+drainTimeout, func() { m.endDraining(conn) })
}

// endDraining closes a half-closed connection that the server has not ended in time. While playbacks stand at a server
// that has not been heard since, it waits on: the server may hang, and write their ends there when it goes on.
func (m *Manager) endDraining(conn *serverConn) {
	srv := conn.server
	if len(srv.playing) > 0 && srv.lastSignAt < conn.drainedAt+drainTimeout/2 {
		m.timers.Set(conn.timer, m.now+drainTimeout, func() { m.endDraining(conn) })
		return
	}
	m.closeServerConn(conn)
}

func (m *Manager) closeServerConn(conn *serverConn) {
	if conn.closing {
		return
	}
	conn.closing = true
	conn.reader.Stop()
	m.timers.Stop(conn.timer)
	isConn := func(other *serverConn) bool { return other == conn }
	conn.server.conns = slices.DeleteFunc(conn.server.conns, isConn)
	conn.server.draining = slices.DeleteFunc(conn.server.draining, isConn)
	m.serverConnCount--
	m.network.Close(conn.transport)
}
