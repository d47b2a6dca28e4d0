package platform

import (
	"slices"
	"strconv"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
)

// teardownNotice is a TEARDOWN that tells a viewer of the end of its playback. It is sent until the viewer answers.
type teardownNotice struct {
	id        string
	cause     int
	since     core.Time   // end of the playback
	sentAt    core.Time   // time of the last send
	conn      *viewerConn // connection used for the last send; nil if none
	sendCount int         // sends on connections on which a playback was served; others may belong to a different client
	unknown   bool        // no server has confirmed that the session played
}

// notifyConn returns a connection on which a viewer can be notified: the preferred one or, because sessions are not bound
// to connections, another on which a playback was served. If there is none, any on which a client has asked for something
// may be the viewer's. The previous one, which was used in vain, comes after others of its kind.
func (m *Manager) notifyConn(preferred, previous *viewerConn) *viewerConn {
	for _, viewer := range []*viewerConn{preferred, m.lastServed} {
		if viewer != nil && !viewer.closing && viewer != previous {
			return viewer
		}
	}
	next := slices.Index(m.viewers, previous) + 1
	candidates := slices.Concat(m.viewers[next:], m.viewers[:next])
	for _, suitable := range []func(*viewerConn) bool{
		func(viewer *viewerConn) bool { return viewer.hasServed },
		func(viewer *viewerConn) bool { return viewer.hasAsked },
	} {
		for _, viewer := range candidates {
			if suitable(viewer) && !viewer.closing {
				return viewer
			}
		}
	}
	return nil
}

// notifyEnded sends a viewer the end of its playback.
func (m *Manager) notifyEnded(viewer *viewerConn, id string, cause int) {
	m.sendNotice(&teardownNotice{id: id, cause: cause, since: m.now, conn: viewer}, viewer)
}

// notifyUnknownEnded sends a client the end of a playback that it handed over and that no server has confirmed. As any
// client can name such sessions, they may displace no other notices: of those above their limit each is sent once, on the
// client's connection.
func (m *Manager) notifyUnknownEnded(viewer *viewerConn, id string) {
	notice := &teardownNotice{id: id, cause: causeReset, since: m.now, conn: viewer, unknown: true}
	if m.unknownNotices < maxUnknownNotices {
		m.unknownNotices++
		m.sendNotice(notice, viewer)
	} else if viewer != nil && !viewer.closing {
		m.writeTeardown(notice, viewer)
	}
}

// removeNotices removes the notices that match selects.
func (m *Manager) removeNotices(match func(*teardownNotice) bool) {
	m.teardowns = slices.DeleteFunc(m.teardowns, func(notice *teardownNotice) bool {
		removed := match(notice)
		if removed && notice.unknown {
			m.unknownNotices--
		}
		return removed
	})
}

// sendNotice sends a teardown, on the given connection if that is open, and keeps it until it is acknowledged.
func (m *Manager) sendNotice(notice *teardownNotice, viewer *viewerConn) {
	if len(m.teardowns) > maxTeardowns(len(m.byNumber)) { // more than the peak number of playbacks explains: drop the oldest
		oldest := m.teardowns[0]
		m.removeNotices(func(other *teardownNotice) bool { return other == oldest })
	}
	m.teardowns = append(m.teardowns, notice)
	if viewer == nil || viewer.closing {
		notice.conn = nil
	}
	m.writeTeardown(notice, m.notifyConn(notice.conn, nil))
}

// resendTeardown sends a teardown again, on another connection if there is one.
func (m *Manager) resendTeardown(notice *teardownNotice) {
	viewer := m.notifyConn(nil, notice.conn)
	if notice.sentAt > 0 && viewer != nil {
		m.stats.Unheard++
		m.trace("sending teardown of %s again", notice.id)
	}
	m.writeTeardown(notice, viewer)
}

func (m *Manager) writeTeardown(notice *teardownNotice, viewer *viewerConn) {
	if viewer == nil {
		notice.conn = nil
		return
	}
	notice.conn, notice.sentAt, viewer.hasNotices = viewer, m.now, true
	if viewer.hasServed {
		notice.sendCount++
	}
	m.sendToViewer(viewer, rtsp.NewRequest(rtsp.Teardown, uriPrefix+notice.id, teardownCSeq).With("Session", notice.id).With("Reason", "cause="+strconv.Itoa(notice.cause)))
}

// retryTeardowns repeats unanswered teardowns and drops those whose deadline or send limit is reached.
func (m *Manager) retryTeardowns() {
	m.removeNotices(func(notice *teardownNotice) bool {
		return m.now-notice.since > endNoticeDeadline || notice.sendCount >= maxTeardownSends && m.now-notice.sentAt > teardownRetryInterval
	})
	for _, notice := range slices.Clone(m.teardowns) {
		if notice.conn == nil || m.now-notice.sentAt > teardownRetryInterval {
			m.resendTeardown(notice)
		}
	}
}
