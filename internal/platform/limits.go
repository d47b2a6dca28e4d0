package platform

import (
	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/session"
)

// What the session manager decides by itself: who keeps a connection, how long it waits for what the module does not
// time, and what it gives up at a bound. Where playbacks go, at which rung, and whether they are taken is the module's.

const minSockets = 64

// The shares of the told limits. What is left of the descriptors is the reserve for connections that come and go.
const (
	viewerSocketsDivisor   = 2  // one part in so many of the descriptors is for viewers at most
	serverSocketsDivisor   = 4  // and for servers
	arrivingSocketsDivisor = 16 // and for viewers that have just come, while room is made for them
	maxArrivingSockets     = 16 // of these
	reservedDescriptors    = 20 // descriptors of the process itself: its standard streams, pollers, the listener with its reserve, the
	// bus at two addresses while it moves, and for a moment a second one of what is accepted or dialled
	maxConnsPerServer     = 4  // connections to one server
	bufferedMemoryDivisor = 8  // one part in so many of the memory is for what has come and waits
	networkMarginDivisor  = 64 // one part in so many of a viewer's patience is left for the way there and back

	maxUnreadBytes    = 4 * boxes.MaxMessageSize // bytes that wait for a viewer that does not read
	maxQueuedMessages = 1024                     // messages that wait for a connection to a server
)

// Times that follow from the platform's own.
const (
	endNoticeDeadline     = 8 * core.Second                     // what stood and is over is released by then, or not at all
	noteTimeout           = endNoticeDeadline - core.Second     // a server that says nothing of what stands there for so long knows of it no more
	silenceBeforeRedial   = endNoticeDeadline / 4               // one that says nothing at all is looked for after so long
	serverLostTimeout     = 5 * endNoticeDeadline / 8           // and taken for gone when it could not be found for so long
	badClientDeadline     = 3 * core.Second                     // a bad client is owed a word or a close by then
	partialIdleTimeout    = badClientDeadline / 2               // a connection that owes a whole message and brings nothing for so long is closed
	partialTotalTimeout   = badClientDeadline - 2*sweepInterval // as is one whose message is not whole by then, though more of it keeps coming
	newcomerGrace         = core.Second / 20                    // what may cross on the way; a newcomer has so long to say something
	sweepInterval         = core.Second / 4                     // between two looks after all that
	drainTimeout          = core.Second                         // what a server sent before it knew that a connection is left has come by then
	refusalTimeout        = core.Second                         // a server that refuses all connections for so long has ended
	viewerIdleTimeout     = 6 * core.Second                     // viewers close what carries no session for 4 s; one that does not goes then
	teardownRetryInterval = core.Second / 4                     // a release that is not answered by then is sent again
	maxTeardownSends      = 4                                   // times at most
)

const (
	busHeartbeatTimeout = 5 * core.Second / 2 // an empty frame comes each second
	busBackoffMin       = core.Second / 20    // before the first further connect; it grows to busMost
	busBackoffMax       = core.Second
)

// The platform kills no sooner than the longest patience of a viewer, counted as mostStop where it is longer, and
// 0.7 s after its word; part of the latter is for what is sent last.
const (
	maxStopWait        = 3 * core.Second
	finalSendTime      = core.Second / 5
	stopAcceptingAfter = 7 * core.Second / 10 // nothing new comes later than that
)

// tells is whether a server with sessions of this manager sends notes of one of them often enough to miss them: a
// machine that was away and is back lets connections come up, and knows nothing of what stood.
func (m *Manager) notesExpected() bool {
	settings := m.config.Settings
	return settings.Tell > 0 && settings.Tell+settings.Site.Fleet.NoteDelay < endNoticeDeadline-2*core.Second
}

// Coming is how many connections from viewers are accepted beyond those held, while the core makes room.
func MaxArriving(config *Config) int {
	return min(config.Sockets/arrivingSocketsDivisor, maxArrivingSockets)
}

// Viewers is how many connections from viewers are held at most: all kinds together stay within the limit.
func MaxViewers(config *Config) int {
	return min(config.Sockets/viewerSocketsDivisor, config.Sockets-config.Sockets/serverSocketsDivisor-MaxArriving(config)-reservedDescriptors)
}

// perServer is how many connections a server may have while so many are ready.
func connsPerServer(config *Config, ready int) int {
	return min(max(config.Sockets/serverSocketsDivisor/max(ready, 1), 1), maxConnsPerServer)
}

// owedMost is how many releases may be owed: as many as ever stood at once, twice.
func maxTeardowns(peakPlaybacks int) int { return 2*peakPlaybacks + minSockets }

// overdue tells that a connection has kept a whole message waiting for too long.
func (viewer *viewerConn) messageOverdue(now core.Time) bool {
	startedAt := viewer.partialSince
	if viewer.lastMessageAt == 0 {
		startedAt = viewer.acceptedAt
	}
	return startedAt > 0 && (now-max(viewer.lastReadAt, startedAt) > partialIdleTimeout || now-startedAt > partialTotalTimeout)
}

// idle tells that a connection to a server has carried nothing for so long that the server may close it before what is
// written now is there, which then may or may not run. What takes longer than a connect may is not waited for anyway.
func (m *Manager) nearIdleTimeout(conn *serverConn) bool {
	settings := m.config.Settings
	return conn.up && m.now-conn.lastUsedAt > max(settings.Idle-settings.Connect-sweepInterval, settings.Idle/2)
}

// dead tells whether a server that refuses connections has ended, and all that stood there with it. A process that ends
// resets its connections and listens no more; one that has no room for newcomers refuses for a while too, one that drains
// for good. Where none was reset, as none was up, it is waited for longer.
func (m *Manager) hasExited(srv *server) bool {
	wait := refusalTimeout
	if srv.resetAt > 0 {
		wait = sweepInterval / 2
	}
	return srv.state == session.Ready && m.now-srv.firstRefusedAt >= wait
}

// missed ranks a connection by how much it would be: the lowest goes first, and of equals the one with the least time.
func (viewer *viewerConn) evictionRank(now core.Time) (int, core.Time) {
	switch {
	case viewer.pendingSetups > 0:
		return 4, -viewer.acceptedAt
	case viewer.partialSince > 0 && (viewer.lastMessageAt > 0 || now-viewer.lastReadAt <= newcomerGrace):
		return 3, viewer.partialSince
	case viewer.lastMessageAt > 0 && viewer.playing > 0: // what stands is told of on another, if there is one
		return 2, viewer.lastActiveAt
	case viewer.lastMessageAt > 0:
		return 1, viewer.lastActiveAt
	case now-viewer.acceptedAt > newcomerGrace:
		return 0, viewer.acceptedAt
	}
	return 3, viewer.acceptedAt
}
