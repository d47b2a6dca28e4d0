// Package platform implements one session manager of a fleet that is run by a hosting platform. It performs no I/O:
// viewers are served over RTSP, video servers are addressed in JSON lines, and an event bus delivers the server list.
// The manager carries out the actions of the decision module (package session) and reports their outcomes to it. It
// chooses no server and no rung, and rejects no playback on its own, except at resource limits and while it stops.
package platform

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// Stats holds counters since the start (Taken to Unheard), current levels (Viewers to BusUp) and the longest turn.
//
// Taken counts set-ups passed to the module, Served those answered with 200, Refused with 503, Failed with 500 and
// Left those given up by the viewer; Bad counts protocol errors of viewers. Tries counts set-up tries by outcome.
// Over counts playbacks that ended, Cut those that ended by a fault, Spoilt unreadable server connections, and Unheard
// retransmitted teardowns. HandoversRefused counts playbacks handed over that were ended for want of memory. Open and
// Standing are playbacks being set up and playing, Unconfirmed those of the latter that were handed over and that their
// servers have not mentioned, Links connections to servers, and Position is the offset of the last bus event.
type Stats struct {
	Taken, Served, Refused, Failed, Left, Bad       int
	Tries                                           [session.NotSent + 1]int
	Probes, Over, Cut, Moved, Spoilt, Unheard       int
	HandoversRefused                                int
	Viewers, Links, Open, Standing, Servers, Titles int
	Unconfirmed                                     int
	Position                                        uint64
	BusUp                                           bool
	Longest                                         core.Time // longest turn since the previous call of Stats
}

// Manager is the state of the session manager. It implements core.Core, and session.Actions for its module.
type Manager struct {
	Trace         func(format string, a ...any) // receives protocol traces; nil disables tracing
	Exit          func()                        // called when the process may exit, after Stop
	StopAccepting func()                        // called when no further connections should be accepted, after Stop

	config     *Config
	network    core.Net
	halfCloser core.HalfCloser // nil if the network does not support half-closing
	module     session.Manager
	now        core.Time
	eventAt    core.Time // arrival time of the event being handled
	timers     core.Timers
	deferred   []func()               // results of the module's actions, delivered after the module returns
	wakeups    map[uint64]*core.Timer // timers requested by the module, by token
	drawCount  uint32                 // random numbers drawn so far
	stats      Stats

	playbacks     map[string]*playback   // by session ID
	byNumber      []*playback            // indexed by the module's playback numbers
	freeNumbers   []int                  // unused entries of byNumber
	titles        map[uint64]*titleEntry // by title ID
	freeTitles    []int                  // title numbers free for reuse
	bufferedBytes int                    // session descriptions and incomplete messages held in memory
	handovers     handoverTable          // playbacks that no server has confirmed
	usedIDs       usedIDs                // session IDs of set-ups that may have run, must not run twice, and are over

	viewers    []*viewerConn
	lastServed *viewerConn       // the connection on which a playback was served last
	teardowns  []*teardownNotice // end notices that a viewer has not acknowledged

	unknownNotices int // of teardowns: those of sessions that no server has confirmed

	servers           map[uint32]*server // by server ID
	serverByIndex     []*server          // indexed by the module's server numbers
	freeServerIndexes []int              // unused entries of serverByIndex
	serverConnCount   int
	connsPerServer    int // maximum number of connections to one server
	bus               busConn

	stoppingSince core.Time // 0 while not stopping
	finalized     bool      // all playbacks are ended; the module is not called any more
}

// titleEntry is a title's number in the module, and how many playbacks use it.
type titleEntry struct{ index, refs int }

// phase is the progress of a playback.
type phase uint8

const (
	phasePending phase = iota // no try is running
	phaseTrying
	phasePlaying
	phaseDone
)

// playback is one playback and its session, from the set-up request to its end.
type playback struct {
	id, plan, titleKey, description string
	request                         session.Request
	viewer                          *viewerConn // connection that sent the set-up; nil once it is closed
	phase                           phase
	server                          *server
	conn                            *serverConn // connection used by the current try
	offerSent                       bool        // the offer of the current try has been written
	try, rung                       int
	phaseSince                      core.Time // start of the current try or of the playing
	timer                           *core.Timer
	moving, endedByServer           bool          // endedByServer: the server ended the try, so there is nothing to withdraw
	mayHaveRun                      bool          // at a server, as a set-up of this manager
	unconfirmed                     *list.Element // its entry in the table of hand-overs; nil unless it was handed over and its server has not mentioned it
}

// New returns a session manager that uses the given network. The decision module is created by newModule with the
// site, the seed and the time.
func New(network core.Net, config *Config, now core.Time, newModule func(*session.Site, uint64, core.Time) session.Manager) *Manager {
	m := &Manager{config: config, network: network, now: now, wakeups: map[uint64]*core.Timer{}, playbacks: map[string]*playback{}, titles: map[uint64]*titleEntry{},
		servers: map[uint32]*server{}, usedIDs: newUsedIDs(maxPlaybacks(config))}
	m.halfCloser, _ = network.(core.HalfCloser)
	config.Settings.Site.StartsListed = true
	m.module = newModule(config.Settings.Site, config.Seed, now)
	m.module.BeginTurn(now)
	m.bus.configure(config)
	for _, event := range config.KnownEvents {
		m.applyEvent(event)
		m.bus.reader.LastOffset = event.Offset
	}
	m.settleModule()
	m.timers.Set(nil, now, m.checkBus) // the network can be used from the first turn on
	m.timers.Set(nil, now+sweepInterval, m.sweep)
	return m
}

// Stats returns the counters and the current levels, and restarts the measurement of the longest turn.
func (m *Manager) Stats() Stats {
	stats := m.stats
	stats.Viewers, stats.Links, stats.Servers, stats.Titles = len(m.viewers), m.serverConnCount, len(m.servers), len(m.titles)
	stats.Unconfirmed = m.handovers.count
	stats.Position, stats.BusUp = m.bus.reader.LastOffset, m.bus.up
	stats.Open, stats.Standing = 0, 0
	for _, pb := range m.playbacks {
		if pb.phase == phasePlaying {
			stats.Standing++
		} else {
			stats.Open++
		}
	}
	m.stats.Longest = 0
	return stats
}

func (m *Manager) trace(format string, args ...any) {
	if m.Trace != nil {
		m.Trace("%d "+format, append([]any{m.now}, args...)...)
	}
}

// BeginTurn begins a turn.
func (m *Manager) BeginTurn(now core.Time) {
	m.now, m.eventAt = now, now
	m.module.BeginTurn(now)
}

// TurnFinished records the duration of a turn.
func (m *Manager) TurnFinished(_, took core.Time) { m.stats.Longest = max(m.stats.Longest, took) }

// EventArrived sets the arrival time of the next event, which may precede the turn.
func (m *Manager) EventArrived(at core.Time) { m.eventAt = min(at, m.now) }

// EndTurn ends a turn and returns the time at which the next one is due. Received events are handled before timers
// fire, because after a pause of the process both may be waiting.
func (m *Manager) EndTurn() core.Time {
	m.timers.Run(m.now)
	m.evictViewers()
	m.settleModule()
	return m.timers.Next()
}

func (m *Manager) settleModule() {
	for {
		if !m.finalized {
			m.module.Settle(m)
		}
		if len(m.deferred) == 0 {
			return
		}
		queue := m.deferred
		m.deferred = nil
		for _, action := range queue {
			action()
		}
	}
}

// The following methods pass the events of a connection to its owner.

// Accepted registers a connection from viewers.
func (m *Manager) Accepted(conn *core.Conn, from string) { m.acceptViewer(conn, from) }

// Dialed handles the outcome of a connection attempt.
func (m *Manager) Dialed(conn *core.Conn, err error) {
	switch owner := conn.Owner.(type) {
	case *serverConn:
		m.serverConnUp(owner, err)
	case *busConn:
		m.busUp(err)
	}
}

// Received handles received bytes.
func (m *Manager) Received(conn *core.Conn, data []byte) {
	switch owner := conn.Owner.(type) {
	case *viewerConn:
		m.viewerData(owner, data)
	case *serverConn:
		m.serverData(owner, data)
	case *busConn:
		m.busData(conn, data)
	}
}

// Drained does nothing: a connection with too many unsent bytes is closed instead.
func (m *Manager) Drained(*core.Conn) {}

// PeerClosed handles that the peer has closed a connection of which bytes are still to be read.
func (m *Manager) PeerClosed(conn *core.Conn) {
	if viewer, ok := conn.Owner.(*viewerConn); ok {
		m.viewerLeft(viewer)
	}
}

// Closed handles the end of a connection.
func (m *Manager) Closed(conn *core.Conn, err error) {
	switch owner := conn.Owner.(type) {
	case *viewerConn:
		m.viewerClosed(owner)
	case *serverConn:
		m.serverConnLost(owner, err)
	case *busConn:
		m.busClosed(conn)
	}
}

// newID returns a new session ID for probes of this manager.
func (m *Manager) newID() string {
	seed := m.nextDraw()
	return fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE(seed), crc32.ChecksumIEEE(append(seed, 1)))
}

// randomFraction returns the next pseudo-random number in [0,1).
func (m *Manager) randomFraction() float64 {
	return float64(xxhash.Sum64(m.nextDraw())>>11) / (1 << 53)
}

// nextDraw returns the seed followed by the next draw counter.
func (m *Manager) nextDraw() []byte {
	m.drawCount++
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, m.config.Seed), m.drawCount)
}

// The following methods implement session.Actions.

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

// removePlayback deletes a playback from the tables and stops its timer.
func (m *Manager) removePlayback(pb *playback) {
	if pb.phase == phaseDone {
		return
	}
	m.recordUse(pb)
	m.timers.Stop(pb.timer)
	if pb.viewer != nil && pb.phase != phasePlaying {
		pb.viewer.pendingSetups--
	}
	if pb.phase == phaseTrying {
		pb.server.tries--
	}
	m.unmarkPlaying(pb)
	if m.playbacks[pb.id] == pb {
		delete(m.playbacks, pb.id)
	}
	m.bufferedBytes -= len(pb.description)
	pb.phase, pb.description, pb.viewer, pb.conn = phaseDone, "", nil, nil
}

// recordUse records the ID of a playback that is over, if it may have run and must not run twice.
func (m *Manager) recordUse(pb *playback) {
	if pb.mayHaveRun && m.config.Settings.Site.Plans[pb.request.Plan].Repeat != session.Harmless {
		m.usedIDs.add(pb.id)
	}
}

// numbersInUse returns how many playbacks the module knows: those that are over stay until it releases their numbers.
func (m *Manager) numbersInUse() int { return len(m.byNumber) - len(m.freeNumbers) }

// markPlaying records a playback as playing at its server and on its viewer's connection.
func (m *Manager) markPlaying(pb *playback) {
	pb.phase, pb.phaseSince = phasePlaying, m.now
	if len(pb.server.playing) == 0 { // the server's silence counts from here; later sessions that clients hand over are no sign of it
		pb.server.sameProcessAt, pb.server.lastReachedAt = m.now, m.now
	}
	pb.server.playing[pb] = struct{}{}
	pb.viewer.playing++
}

// markServed records that a viewer has been served on a connection.
func (m *Manager) markServed(viewer *viewerConn) {
	viewer.hasServed = true
	m.lastServed = viewer
}

// unmarkPlaying reverts markPlaying; it does nothing for a playback that is not playing.
func (m *Manager) unmarkPlaying(pb *playback) {
	if pb.phase != phasePlaying {
		return
	}
	m.handovers.remove(pb)
	delete(pb.server.playing, pb)
	if pb.viewer != nil {
		pb.viewer.playing--
		pb.viewer.lastActiveAt = m.now
	}
}

// register assigns the module's playback and title numbers to a playback and adds it to the tables.
func (m *Manager) register(pb *playback) {
	request := &pb.request
	title := m.titles[request.TitleID]
	if title == nil {
		title = &titleEntry{index: len(m.titles) + len(m.freeTitles)}
		if count := len(m.freeTitles); count > 0 {
			title.index, m.freeTitles = m.freeTitles[count-1], m.freeTitles[:count-1]
		}
		m.titles[request.TitleID] = title
	}
	title.refs++
	request.Title = title.index
	request.Playback = len(m.byNumber)
	if count := len(m.freeNumbers); count > 0 {
		request.Playback, m.freeNumbers = m.freeNumbers[count-1], m.freeNumbers[:count-1]
		m.byNumber[request.Playback] = pb
	} else {
		m.byNumber = append(m.byNumber, pb)
	}
	m.playbacks[pb.id] = pb
	m.bufferedBytes += len(pb.description)
}

// reportEnd reports the outcome of a try, or the end of a playing playback, to the module.
func (m *Manager) reportEnd(pb *playback, outcome session.Outcome, load string) {
	if pb.phase != phaseTrying && pb.phase != phasePlaying {
		return
	}
	m.timers.Stop(pb.timer)
	result := session.Result{Playback: pb.request.Playback, Try: max(pb.try, 0), Server: pb.server.index, Outcome: outcome, Took: m.now - pb.phaseSince,
		Load: m.parseLoad(load)}
	m.trace("%s: outcome %d at server %s", pb.id, outcome, pb.server.name)
	if pb.phase == phasePlaying {
		result.Final = true
		m.stats.Over++
		if outcome != session.OK && outcome != session.Cancelled {
			m.stats.Cut++
		}
		m.unmarkPlaying(pb)
		m.recordUse(pb)
		delete(m.playbacks, pb.id)
		pb.phase = phaseDone
	} else {
		m.stats.Tries[outcome]++
		pb.mayHaveRun = pb.mayHaveRun || pb.offerSent && mayHaveRun(outcome)
		if outcome == session.TimedOut && pb.offerSent {
			pb.conn.stale = true
		}
		m.withdrawOffer(pb)
		pb.server.tries--
		pb.phase = phasePending
		if pb.viewer == nil { // the viewer has disconnected
			result.Final = true
			m.removePlayback(pb)
		}
	}
	m.module.Ended(result)
}
