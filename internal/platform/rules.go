package platform

import (
	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/session"
)

// What the session manager decides by itself: who keeps a connection, how long it waits for what the module does not
// time, and what it gives up at a bound. Where playbacks go, at which rung, and whether they are taken is the module's.

const leastSockets = 64

// The shares of the told limits. What is left of the descriptors is the reserve for connections that come and go.
const (
	viewerShare = 2  // one part in so many of the descriptors is for viewers at most
	serverShare = 4  // and for servers
	comingShare = 16 // and for viewers that have just come, while room is made for them
	comingMost  = 16 // of these
	own         = 20 // descriptors of the process itself: its standard streams, pollers, the listener with its reserve, the
	// bus at two addresses while it moves, and for a moment a second one of what is accepted or dialled
	serverMost = 4  // connections to one server
	heldShare  = 8  // one part in so many of the memory is for what has come and waits
	wayShare   = 64 // one part in so many of a viewer's patience is left for the way there and back

	unreadMost = 4 * boxes.Longest // bytes that wait for a viewer that does not read
	waitMost   = 1024              // messages that wait for a connection to a server
)

// Times that follow from the platform's own.
const (
	forgiven  = 8 * core.Second        // what stood and is over is released by then, or not at all
	forgotten = forgiven - core.Second // a server that says nothing of what stands there for so long knows of it no more
	silence   = forgiven / 4           // one that says nothing at all is looked for after so long
	lost      = 5 * forgiven / 8       // and taken for gone when it could not be found for so long
	owedIn    = 3 * core.Second        // a bad client is owed a word or a close by then
	hush      = owedIn / 2             // a connection that owes a whole message and brings nothing for so long is closed
	slowest   = owedIn - 2*sweep       // as is one whose message is not whole by then, though more of it keeps coming
	grace     = core.Second / 20       // what may cross on the way; a newcomer has so long to say something
	sweep     = core.Second / 4        // between two looks after all that
	linger    = core.Second            // what a server sent before it knew that a connection is left has come by then
	shut      = core.Second            // a server that refuses all connections for so long has ended
	kept      = 6 * core.Second        // viewers close what carries no session for 4 s; one that does not goes then
	unheard   = core.Second / 4        // a release that is not answered by then is sent again
	most      = 4                      // times at most
)

const (
	busBeat = 5 * core.Second / 2 // an empty frame comes each second
	busWait = core.Second / 20    // before the first further connect; it grows to busMost
	busMost = core.Second
)

// The platform kills no sooner than the longest patience of a viewer, counted as mostStop where it is longer, and
// 0.7 s after its word; part of the latter is for what is sent last.
const (
	mostStop  = 3 * core.Second
	afterStop = core.Second / 5
	comeStop  = 7 * core.Second / 10 // nothing new comes later than that
)

// tells is whether a server with sessions of this manager sends notes of one of them often enough to miss them: a
// machine that was away and is back lets connections come up, and knows nothing of what stood.
func (m *Manager) tells() bool {
	t := m.given.Told
	return t.Tell > 0 && t.Tell+t.Site.Fleet.NoteDelay < forgiven-2*core.Second
}

// Coming is how many connections from viewers are accepted beyond those held, while the core makes room.
func Coming(g *Given) int { return min(g.Sockets/comingShare, comingMost) }

// Viewers is how many connections from viewers are held at most: all kinds together stay within the limit.
func Viewers(g *Given) int {
	return min(g.Sockets/viewerShare, g.Sockets-g.Sockets/serverShare-Coming(g)-own)
}

// perServer is how many connections a server may have while so many are ready.
func perServer(g *Given, ready int) int {
	return min(max(g.Sockets/serverShare/max(ready, 1), 1), serverMost)
}

// owedMost is how many releases may be owed: as many as ever stood at once, twice.
func owedMost(stood int) int { return 2*stood + leastSockets }

// overdue tells that a connection has kept a whole message waiting for too long.
func (v *viewer) overdue(now core.Time) bool {
	begun := v.partAt
	if v.spoke == 0 {
		begun = v.came
	}
	return begun > 0 && (now-max(v.heard, begun) > hush || now-begun > slowest)
}

// idle tells that a connection to a server has carried nothing for so long that the server may close it before what is
// written now is there, which then may or may not run. What takes longer than a connect may is not waited for anyway.
func (m *Manager) idle(l *link) bool {
	t := m.given.Told
	return l.up && m.now-l.used > max(t.Idle-t.Connect-sweep, t.Idle/2)
}

// dead tells whether a server that refuses connections has ended, and all that stood there with it. A process that ends
// resets its connections and listens no more; one that has no room for newcomers refuses for a while too, one that drains
// for good. Where none was reset, as none was up, it is waited for longer.
func (m *Manager) dead(b *box) bool {
	wait := shut
	if b.brokenAt > 0 {
		wait = sweep / 2
	}
	return b.state == session.Ready && m.now-b.refusedAt >= wait
}

// missed ranks a connection by how much it would be: the lowest goes first, and of equals the one with the least time.
func (v *viewer) missed(now core.Time) (int, core.Time) {
	switch {
	case v.open > 0:
		return 4, -v.came
	case v.partAt > 0 && (v.spoke > 0 || now-v.heard <= grace):
		return 3, v.partAt
	case v.spoke > 0 && v.standing > 0: // what stands is told of on another, if there is one
		return 2, v.used
	case v.spoke > 0:
		return 1, v.used
	case now-v.came > grace:
		return 0, v.came
	}
	return 3, v.came
}
