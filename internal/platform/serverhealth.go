package platform

import (
	"slices"
	"strconv"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/session"
)

// What shows that a server, its process and the playbacks there are still there, and what is concluded if nothing does.

// checkServers redials servers that have playbacks and are silent, retires connections before the servers close them for
// idleness, ends playbacks of lost servers, and forgets servers that have left the list.
func (m *Manager) checkServers() {
	for id, srv := range m.servers {
		for _, conn := range slices.Clone(srv.conns) {
			idle := len(srv.probes) == 0 && m.nearIdleTimeout(conn) && (len(srv.playing) == 0 || len(srv.conns) > 1)
			if conn.up && len(conn.setups) == 0 && (idle || conn.stale) {
				m.drainConn(conn)
			}
		}
		srv.outbox = slices.DeleteFunc(srv.outbox, func(queued queuedMessage) bool { return m.now > queued.expires })
		if len(srv.conns) == 0 && srv.state != session.Gone && len(srv.outbox)+len(srv.playing) > 0 && m.now-srv.lastDialAt > sweepInterval/2 {
			m.dial(srv)
		}
		switch silentFor := m.now - srv.lastReachedAt; {
		case len(srv.playing) == 0:
		case m.notesExpected() && m.now-srv.sameProcessAt > noteTimeout:
			m.endPlaybacks(srv, "no messages about its playbacks", nil)
		case srv.state == session.Gone && (len(srv.conns) == 0 || silentFor > serverLostTimeout), silentFor > serverLostTimeout:
			m.endPlaybacks(srv, "nothing received for "+strconv.FormatInt(silentFor/core.Millisecond, 10)+" ms", nil)
		case silentFor > silenceBeforeRedial && m.now-srv.lastDialAt > silenceBeforeRedial/4:
			m.checkReachable(srv)
		}
		m.checkProcess(srv)
		if srv.state == session.Gone && len(srv.playing) == 0 && srv.tries == 0 && len(srv.probes) == 0 && m.now-srv.goneAt > endNoticeDeadline {
			for _, conn := range slices.Concat(srv.conns, srv.draining) {
				m.closeServerConn(conn)
			}
			delete(m.servers, id)
			m.freeServerIndexes = append(m.freeServerIndexes, srv.index)
		}
	}
}

// endPlaybacks ends the playbacks of a server that match selects, or all if match is nil.
func (m *Manager) endPlaybacks(srv *server, reason string, match func(*playback) bool) {
	m.trace("ending playbacks of server %s, %d playing: %s", srv.name, len(srv.playing), reason)
	for pb := range srv.playing {
		if match == nil || match(pb) {
			m.notifyEnded(pb.viewer, pb.id, causeReset)
			m.reportEnd(pb, session.Reset, "")
		}
	}
}

// confirmProcess records that a server has written something on a connection. If that was up when the process was last
// certain to run at which its playbacks stand, it is a connection of that process, which so runs still.
func (m *Manager) confirmProcess(conn *serverConn) {
	if srv := conn.server; conn.upAt <= srv.sameProcessAt {
		srv.sameProcessAt = m.now
	}
}

// checkProcess sends a test to a server that has been quiet for long although notes are expected, on a connection of the
// process at which its playbacks stand. Notes that are late, or stay out, are no sign that the process has ended; a
// connection that it does not answer on may be one.
func (m *Manager) checkProcess(srv *server) {
	if len(srv.playing) == 0 || !m.config.Settings.Site.Terms.Probes || !m.notesExpected() ||
		m.now-srv.sameProcessAt <= m.processCheckAfter() || m.now-srv.lastCheckAt <= processCheckInterval {
		return
	}
	for _, conn := range srv.conns {
		if conn.up && conn.upAt <= srv.sameProcessAt && !m.nearIdleTimeout(conn) {
			srv.lastCheckAt = m.now
			m.stats.Probes++
			m.send(conn, &boxes.Message{Op: boxes.Test, SessionID: m.newID()})
			return
		}
	}
}

// processCheckAfter returns for how long a server may be quiet before it is tested: no test is sent before a note is overdue.
func (m *Manager) processCheckAfter() core.Time {
	settings := m.config.Settings
	return max(minProcessCheckAfter, settings.NoteInterval+settings.Site.Fleet.NoteDelay+sweepInterval)
}

// checkReachable opens a connection to a silent server: whether it comes up shows whether the machine can be reached. It
// takes the place of the newest one if that was opened for the same purpose, or if there are as many as there may be.
func (m *Manager) checkReachable(srv *server) {
	if srv.state == session.Gone {
		return
	}
	var newest *serverConn
	for _, conn := range srv.conns {
		if conn.up && len(conn.setups) == 0 && (newest == nil || conn.upAt >= newest.upAt) {
			newest = conn
		}
	}
	unread := newest != nil && newest.upAt > srv.lastSignAt // the server may not even have accepted it
	if newest != nil && (unread || len(srv.conns) >= m.connsPerServer) {
		m.drainConn(newest)
		if unread && !newest.draining {
			m.closeServerConn(newest)
		}
	}
	m.dial(srv)
}

// signOfLife records that the process of a server has written something, or has ended a connection. After a silence it
// gets the time again to write on half-closed connections.
func (m *Manager) signOfLife(srv *server) {
	if m.now-srv.lastSignAt > drainTimeout {
		for _, conn := range srv.draining {
			m.timers.Set(conn.timer, m.now+drainTimeout, func() { m.endDraining(conn) })
		}
	}
	srv.lastSignAt, srv.lastReachedAt = m.now, m.now
}

// notesExpected reports whether a server with playbacks of this manager sends notes often enough that their absence shows
// the loss of the playbacks: a machine that was unreachable and came back accepts connections, but has lost its playbacks.
func (m *Manager) notesExpected() bool {
	settings := m.config.Settings
	return settings.NoteInterval > 0 && settings.NoteInterval+settings.Site.Fleet.NoteDelay < endNoticeDeadline-2*core.Second
}

// hasExited reports whether a server that refuses connections has exited, together with its playbacks. A process that
// exits resets its connections and stops listening. A server at its connection limit also refuses for a while, and a
// draining one until it exits. If no connection was reset, because none was up, the wait is longer.
func (m *Manager) hasExited(srv *server) bool {
	wait := refusalTimeout
	if srv.resetAt > 0 {
		wait = sweepInterval / 2
	}
	return srv.state == session.Ready && m.now-srv.firstRefusedAt >= wait
}
