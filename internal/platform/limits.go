package platform

import (
	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
)

// The limits and timeouts that the session manager applies by itself: which connections it keeps, how long it waits where
// the module sets no time limit, and what it drops at a resource limit. Placement, rungs and admission of playbacks are
// decided by the module.

// minSockets is the smallest accepted limit of descriptors.
const minSockets = 64

// Shares of the configured resource limits. The descriptors that are left are a reserve for connections being opened and
// closed.
const (
	viewerSocketsDivisor   = 2  // viewers may hold 1/2 of the descriptors
	serverSocketsDivisor   = 4  // connections to servers may hold 1/4
	arrivingSocketsDivisor = 16 // 1/16 is for new connections from viewers, until others have been evicted
	maxArrivingSockets     = 16 // upper bound of that share
	reservedDescriptors    = 20 // for the process itself: standard streams, pollers, the listener and its spare descriptor,
	// two bus connections while the bus address changes, and briefly a second one per connection accepted or dialled
	maxConnsPerServer     = 4
	bufferedMemoryDivisor = 8  // 1/8 of the memory is for incomplete messages and descriptions of waiting set-ups
	networkMarginDivisor  = 64 // 1/64 of a viewer's answer time is reserved for network transit

	playbackBytes         = 1 << 10 // memory of one playback in all tables, with its timer and its place in the module
	playbackMemoryDivisor = 4       // 1/4 of the memory is for playbacks
	unconfirmedDivisor    = 2       // at most 1/2 of the playbacks may be handed over and not confirmed by their servers
	maxUnknownNotices     = 1024    // unacknowledged teardowns of sessions that no server has confirmed

	minUnreadBytes      = boxes.MaxMessageSize     // bounds of the unsent bytes of a connection
	maxUnreadBytes      = 4 * boxes.MaxMessageSize // beyond which it is closed
	unreadMemoryDivisor = 8                        // between them, 1/8 of the memory is for those of all viewers, and of all servers
	maxQueuedMessages   = 1024                     // messages per server that wait for a connection
)

// Timeouts, most of which follow from the platform's rules.
const (
	endNoticeDeadline     = 8 * core.Second                     // the end of a playback has to be reported within this time; later reports do not count
	noteTimeout           = endNoticeDeadline - core.Second     // a server has lost its playbacks if for this long it is not certain that their process runs
	minProcessCheckAfter  = noteTimeout - 2*core.Second         // a server that is quiet for this long, or longer than notes need, is asked whether it does
	processCheckInterval  = core.Second / 2                     // between such tests
	silenceBeforeRedial   = endNoticeDeadline / 4               // a new connection is tried to a server that has sent nothing at all for this long
	serverLostTimeout     = 5 * endNoticeDeadline / 8           // a server that could not be reached for this long is treated as failed
	badClientDeadline     = 3 * core.Second                     // a misbehaving client must get an answer or a close within this time
	partialIdleTimeout    = badClientDeadline / 2               // an incomplete message with no further bytes for this long closes the connection
	partialTotalTimeout   = badClientDeadline - 2*sweepInterval // an incomplete message closes the connection after this time even while bytes arrive
	newcomerGrace         = core.Second / 20                    // allowance for messages in transit; a new connection may stay silent for this long
	sweepInterval         = core.Second / 4                     // period of the checks in sweep
	drainTimeout          = core.Second                         // time to read what a server sent before it saw the half-close
	refusalTimeout        = core.Second                         // a server that refuses all connections for this long is treated as exited
	viewerIdleTimeout     = 6 * core.Second                     // viewers close connections without sessions after 4 s; others are closed after this time
	teardownRetryInterval = core.Second / 4                     // an unacknowledged teardown is sent again after this time
	maxTeardownSends      = 4                                   // sends of one teardown, including the first
)

// Timing of the connection to the event bus.
const (
	busHeartbeatTimeout = 5 * core.Second / 2 // the bus sends an empty frame each second
	busBackoffMin       = core.Second / 20    // wait before the first reconnect; doubles up to busBackoffMax
	busBackoffMax       = core.Second
)

// Timing of a stop. The platform kills the process no sooner than 0.7 s plus the longest answer time of any plan (at most
// maxStopWait) after its stop signal; part of the 0.7 s is needed to send the last messages.
const (
	maxStopWait        = 3 * core.Second
	finalizeMargin     = core.Second / 5      // added to the longest answer time before the remaining playbacks are ended
	stopAcceptingAfter = 7 * core.Second / 10 // no new connections arrive later than this
)

// MaxArriving returns how many connections from viewers are accepted beyond MaxViewers until others have been evicted.
func MaxArriving(config *Config) int {
	return min(config.Sockets/arrivingSocketsDivisor, maxArrivingSockets)
}

// MaxViewers returns how many connections from viewers are kept, so that all kinds of connections together stay within
// the limit of descriptors.
func MaxViewers(config *Config) int {
	return min(config.Sockets/viewerSocketsDivisor, config.Sockets-config.Sockets/serverSocketsDivisor-MaxArriving(config)-reservedDescriptors)
}

// maxPlaybacks returns how many playbacks may be pending or playing at a time.
func maxPlaybacks(config *Config) int {
	return int(config.MemoryBytes / playbackMemoryDivisor / playbackBytes)
}

// unreadLimit returns how many bytes may wait for a viewer that does not read before its connection is closed.
func unreadLimit(config *Config) int { return unreadShare(config, MaxViewers(config)) }

// serverUnreadLimit is the same for a connection to a server.
func serverUnreadLimit(config *Config) int {
	return unreadShare(config, config.Sockets/serverSocketsDivisor)
}

func unreadShare(config *Config, connections int) int {
	share := int(config.MemoryBytes) / unreadMemoryDivisor / connections
	return min(max(share, minUnreadBytes), maxUnreadBytes)
}

// serverConnLimit returns how many connections one server may have while the given number of servers is ready.
func serverConnLimit(config *Config, ready int) int {
	return min(max(config.Sockets/serverSocketsDivisor/max(ready, 1), 1), maxConnsPerServer)
}

// maxTeardowns returns how many unacknowledged teardowns are kept: twice the peak number of concurrent playbacks, plus a
// constant.
func maxTeardowns(peakPlaybacks int) int { return 2*peakPlaybacks + minSockets }

// messageOverdue reports whether the connection has left a message incomplete, or sent none at all, for too long.
func (v *viewerConn) messageOverdue(now core.Time) bool {
	startedAt := v.partialSince
	if v.lastMessageAt == 0 {
		startedAt = v.acceptedAt
	}
	return startedAt > 0 && (now-max(v.lastReadAt, startedAt) > partialIdleTimeout || now-startedAt > partialTotalTimeout)
}

// nearIdleTimeout reports whether a connection to a server has been unused for so long that the server may close it before
// a message written now arrives; it would be unknown whether that message took effect. The margin is the connect timeout,
// as longer transit times are not waited for either.
func (m *Manager) nearIdleTimeout(conn *serverConn) bool {
	settings := m.config.Settings
	return conn.up && m.now-conn.lastUsedAt > max(settings.IdleTimeout-settings.ConnectTimeout-sweepInterval, settings.IdleTimeout/2)
}

// evictionRank returns the eviction class of a connection and a time: the lowest class is evicted first, and within a
// class the connection with the earliest time.
func (v *viewerConn) evictionRank(now core.Time) (int, core.Time) {
	switch {
	case v.pendingSetups > 0:
		return 4, -v.acceptedAt
	case v.partialSince > 0 && (v.lastMessageAt > 0 || now-v.lastReadAt <= newcomerGrace):
		return 3, v.partialSince
	case v.lastMessageAt > 0 && v.playing > 0: // its viewer can be notified on another connection, if there is one
		return 2, v.lastActiveAt
	case v.lastMessageAt > 0:
		return 1, v.lastActiveAt
	case now-v.acceptedAt > newcomerGrace:
		return 0, v.acceptedAt
	}
	return 3, v.acceptedAt
}
