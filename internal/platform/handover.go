package platform

import (
	"container/list"

	"pierlink/internal/platform/boxes"
	"pierlink/internal/platform/feed"
	"pierlink/session"
)

// handoverTable holds the playbacks that were handed over by a client and that their servers have not mentioned since. Any
// client can name sessions that no server knows, so their number is limited, and at the limit they make way for each
// other. Those whose connection is open are listed there (viewerConn.unconfirmed).
type handoverTable struct {
	count    int
	orphaned list.List // of *playback: those whose connection has closed, oldest first
}

// listOf returns the list of a connection's unconfirmed playbacks; the connection is nil once it has closed.
func (t *handoverTable) listOf(viewer *viewerConn) *list.List {
	if viewer == nil {
		return &t.orphaned
	}
	return &viewer.unconfirmed
}

func (t *handoverTable) add(pb *playback) {
	pb.unconfirmed = t.listOf(pb.viewer).PushBack(pb)
	t.count++
}

// remove takes a playback out of the table; it does nothing for one that is not in it.
func (t *handoverTable) remove(pb *playback) {
	if pb.unconfirmed == nil {
		return
	}
	t.listOf(pb.viewer).Remove(pb.unconfirmed)
	pb.unconfirmed = nil
	t.count--
}

// connClosed moves the playbacks of a connection to those without one.
func (t *handoverTable) connClosed(viewer *viewerConn) {
	for element := viewer.unconfirmed.Front(); element != nil; element = element.Next() {
		pb := element.Value.(*playback)
		pb.unconfirmed = t.orphaned.PushBack(pb)
	}
	viewer.unconfirmed.Init()
}

// victim returns the playback that makes way for one that a connection hands over: the oldest without a connection, or
// else the oldest of the connection that has handed over most, if that is more than this one has. Otherwise it returns nil.
func (t *handoverTable) victim(viewers []*viewerConn, newcomer *viewerConn) *playback {
	fullest := &newcomer.unconfirmed
	if t.orphaned.Len() > 0 {
		fullest = &t.orphaned
	} else {
		for _, viewer := range viewers {
			if viewer.unconfirmed.Len() > fullest.Len() {
				fullest = &viewer.unconfirmed
			}
		}
	}
	if fullest == &newcomer.unconfirmed {
		return nil
	}
	return fullest.Front().Value.(*playback)
}

// adoptPlaying takes over a playback that plays already.
func (m *Manager) adoptPlaying(viewer *viewerConn, pb *playback, serverName string) {
	if m.playbacks[pb.id] != nil {
		return
	}
	serverID, err := feed.ParseServerID(serverName)
	srv := m.servers[serverID]
	if err != nil || srv == nil || srv.state == session.Gone || m.finalized {
		m.notifyUnknownEnded(viewer, pb.id)
		return
	}
	if !m.makeRoomForHandover(viewer) {
		m.stats.HandoversRefused++
		m.notifyUnknownEnded(viewer, pb.id)
		m.sendToServer(srv, &boxes.Message{Op: boxes.End, SessionID: pb.id, Cause: causeNormal})
		return
	}
	pb.viewer, pb.description, pb.try, pb.server = viewer, "", 0, srv
	m.register(pb)
	m.markPlaying(pb)
	m.handovers.add(pb)
	m.module.Opened(pb.request, srv.index)
	if len(srv.conns) == 0 {
		m.dial(srv)
	}
}

// makeRoomForHandover ends an unconfirmed playback if there are as many as there may be. It reports whether a connection
// may hand over another one.
func (m *Manager) makeRoomForHandover(viewer *viewerConn) bool {
	limit := maxPlaybacks(m.config)
	if m.numbersInUse() >= limit {
		return false
	}
	if m.handovers.count < limit/unconfirmedDivisor {
		return true
	}
	victim := m.handovers.victim(m.viewers, viewer)
	if victim == nil {
		return false
	}
	m.stats.HandoversRefused++
	m.trace("too many unconfirmed playbacks: ending %s", victim.id)
	m.notifyUnknownEnded(victim.viewer, victim.id)
	m.sendToServer(victim.server, &boxes.Message{Op: boxes.End, SessionID: victim.id, Cause: causeNormal})
	m.reportEnd(victim, session.Cancelled, "")
	return true
}

// confirmHandover records that a server has mentioned a playback that was handed over. Only then its connection counts as
// one on which viewers are served.
func (m *Manager) confirmHandover(pb *playback) {
	if pb.unconfirmed == nil {
		return
	}
	m.handovers.remove(pb)
	if pb.viewer != nil {
		m.markServed(pb.viewer)
	}
}
