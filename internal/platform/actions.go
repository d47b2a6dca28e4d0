package platform

import (
	"strconv"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// The methods in this file implement session.Actions.

// SetRung sets the rung of a playback, and notifies its server if it is playing.
func (m *Manager) SetRung(number, rung int) {
	pb := m.byNumber[number]
	pb.rung = rung
	if pb.phase == phasePlaying {
		m.sendToServer(pb.server, &boxes.Message{Op: boxes.Set, SessionID: pb.id, Fields: map[string]string{"rung": strconv.Itoa(rung)}})
	}
}

// Try starts a set-up try at a server. It ends after limit, or at the viewer's abandon time if limit is 0 or later.
func (m *Manager) Try(number, server int, limit core.Time) {
	pb, srv := m.byNumber[number], m.serverByIndex[server]
	pb.try++
	pb.phase, pb.server, pb.phaseSince, pb.offerSent = phaseTrying, srv, m.now, false
	srv.tries++
	remaining := pb.request.AbandonAt - m.now
	if limit == 0 || limit > remaining {
		limit = remaining
	}
	if limit <= 0 || srv.state != session.Ready {
		m.deferred = append(m.deferred, func() { m.reportEnd(pb, session.NotSent, "") })
		return
	}
	conn := m.connFor(srv)
	if conn == nil {
		m.deferred = append(m.deferred, func() { m.reportEnd(pb, session.NoConnection, "") })
		return
	}
	pb.conn = conn
	conn.setups = append(conn.setups, pb)
	pb.timer = m.timers.Set(pb.timer, m.now+limit, func() { m.reportEnd(pb, session.TimedOut, "") })
	if conn.up {
		m.sendOffer(pb)
	}
}

// Reject answers a set-up with 503 and advises the viewer to come again after comeAgain, if that is not 0.
func (m *Manager) Reject(number int, comeAgain core.Time) {
	pb := m.byNumber[number]
	m.stats.Refused++
	reply := rtsp.NewResponse(rtsp.StatusUnavailable, setupCSeq)
	if comeAgain > 0 {
		reply.With("Come-Back-Ms", strconv.FormatInt(comeAgain/core.Millisecond, 10))
	}
	m.answerSetup(pb, reply)
}

// Abort answers a set-up with 500.
func (m *Manager) Abort(number int) {
	m.stats.Failed++
	m.answerSetup(m.byNumber[number], rtsp.NewResponse(rtsp.StatusInternal, setupCSeq))
}

// Move asks the viewer of a playback to set it up again, so that it is placed on another server.
func (m *Manager) Move(number int) {
	pb := m.byNumber[number]
	if pb.phase != phasePlaying {
		return
	}
	m.stats.Moved++
	pb.moving = true
	if viewer := m.notifyConn(pb.viewer, nil); viewer != nil {
		viewer.hasNotices = true
		m.sendToViewer(viewer, rtsp.NewRequest(rtsp.Redirect, "rtsp://media/"+pb.titleKey, 4).With("Session", pb.id))
	}
	pb.timer = m.timers.Set(pb.timer, m.now+core.Second, func() { // the server normally ends it first
		m.sendToServer(pb.server, &boxes.Message{Op: boxes.End, SessionID: pb.id, Cause: causeMoved})
		m.reportEnd(pb, session.Cancelled, "")
	})
}

// Probe sends a probe to a server.
func (m *Manager) Probe(server int) {
	m.stats.Probes++
	m.probeServer(m.serverByIndex[server])
}

// Wake sets a timer for the module.
func (m *Manager) Wake(at core.Time, token uint64) {
	m.wakeups[token] = m.timers.Set(m.wakeups[token], at, func() { m.module.Woken(token) })
}

// Watch does nothing: the bus delivers the server list without a subscription.
func (m *Manager) Watch() {}

// Forget releases the module's number of a playback for reuse.
func (m *Manager) Forget(number int) {
	pb := m.byNumber[number]
	m.byNumber[number] = nil
	m.freeNumbers = append(m.freeNumbers, number)
	m.removePlayback(pb)
	if title := m.titles[pb.request.TitleID]; title != nil {
		if title.refs--; title.refs == 0 {
			delete(m.titles, pb.request.TitleID)
			m.freeTitles = append(m.freeTitles, title.index)
		}
	}
}
