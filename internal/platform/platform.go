// Package platform is one session manager on the operators' platform, free of I/O: viewers speak RTSP, video servers
// JSON lines, and the event bus tells the list of servers. It carries out what the decision module wants and tells
// the module what comes of it; it chooses no server, no rung and no rejection of its own.
package platform

import (
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

// Figures are counts since the start, and levels.
type Stats struct {
	Taken, Served, Refused, Failed, Left, Bad       int
	Tries                                           [session.NotSent + 1]int
	Probes, Over, Cut, Moved, Spoilt, Unheard       int
	Viewers, Links, Open, Standing, Servers, Titles int
	Position                                        uint64
	BusUp                                           bool
	Longest                                         core.Time // turn
}

// Manager is the core.
type Manager struct {
	Trace         func(format string, a ...any) // nil for none
	Exit          func()
	StopAccepting func() // accept no more

	config     *Config
	network    core.Net
	halfCloser core.HalfCloser // nil where the network cannot
	module     session.Manager
	now        core.Time
	eventAt    core.Time // when the event at hand did
	timers     core.Timers
	deferred   []func() // outcomes that a turn's own actions had
	wakeups    map[uint64]*core.Timer
	drawCount  uint32
	stats      Stats

	playbacks     map[string]*playback
	byNumber      []*playback // by the module's numbers
	freeNumbers   []int
	titles        map[uint64]*titleEntry
	freeTitles    []int // numbers of titles that nobody plays
	bufferedBytes int   // bytes of descriptions and of messages that are not whole

	viewers    []*viewerConn
	lastServed *viewerConn // the last on which something was served
	teardowns  []*teardownNotice

	servers           map[uint32]*server
	serverByIndex     []*server
	freeServerIndexes []int
	serverConnCount   int
	connsPerServer    int
	bus               busConn

	stoppingSince core.Time // 0 while it serves
	finalized     bool      // all is answered and released; the module is not asked any more
}

type titleEntry struct{ index, refs int }

type phase uint8

const (
	phasePending phase = iota
	phaseTrying
	phasePlaying
	phaseDone
)

// call is one playback's session.
type playback struct {
	id, plan, titleKey, description string
	request                         session.Request
	viewer                          *viewerConn // which sent it; nil once that is closed
	phase                           phase
	server                          *server
	conn                            *serverConn // that the set-up is on
	offerSent                       bool
	try, rung                       int
	phaseSince                      core.Time
	timer                           *core.Timer
	moving, endedByServer           bool
}

// New makes a session manager. The module is made with the clock.
func New(network core.Net, config *Config, now core.Time, newModule func(*session.Site, uint64, core.Time) session.Manager) *Manager {
	m := &Manager{config: config, network: network, now: now, wakeups: map[uint64]*core.Timer{}, playbacks: map[string]*playback{}, titles: map[uint64]*titleEntry{},
		servers: map[uint32]*server{}}
	m.halfCloser, _ = network.(core.HalfCloser)
	config.Settings.Site.StartsTold = true
	m.module = newModule(config.Settings.Site, config.Seed, now)
	m.module.At(now)
	m.bus.configure(config)
	for _, event := range config.KnownEvents {
		m.applyEvent(event)
		m.bus.reader.LastOffset = event.Offset
	}
	m.settleModule()
	m.timers.Set(nil, now, m.checkBus) // the network is there from the first turn on
	m.timers.Set(nil, now+sweepInterval, m.sweep)
	return m
}

// Figures tells how it stands.
func (m *Manager) Stats() Stats {
	stats := m.stats
	stats.Viewers, stats.Links, stats.Servers, stats.Titles = len(m.viewers), m.serverConnCount, len(m.servers), len(m.titles)
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

// At begins a turn.
func (m *Manager) At(now core.Time) {
	m.now, m.eventAt = now, now
	m.module.At(now)
}

// Turned counts how long a turn took.
func (m *Manager) Turned(_, took core.Time) { m.stats.Longest = max(m.stats.Longest, took) }

// Came is when an event came, which the turn may find late.
func (m *Manager) Came(at core.Time) { m.eventAt = min(at, m.now) }

// Settle ends a turn. What has come is looked at before time runs out for anything: a manager that stood still finds
// both.
func (m *Manager) Settle() core.Time {
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

// Accepted, Dialed, Received, Drained and Closed sort the connections.

// Accepted takes a viewer's connection in.
func (m *Manager) Accepted(conn *core.Conn, from string) { m.acceptViewer(conn, from) }

// Dialed tells how a connect came out.
func (m *Manager) Dialed(conn *core.Conn, err error) {
	switch owner := conn.Owner.(type) {
	case *serverConn:
		m.serverConnUp(owner, err)
	case *busConn:
		m.busUp(err)
	}
}

// Received takes bytes.
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

// Drained is of no matter here: what waits for a connection is bounded by closing it.
func (m *Manager) Drained(*core.Conn) {}

// Closed takes the end of a connection.
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

// number is an id of this manager's own making.
func (m *Manager) newID() string {
	seed := m.nextDraw()
	return fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE(seed), crc32.ChecksumIEEE(append(seed, 1)))
}

// chance is the next number in [0,1).
func (m *Manager) randomFraction() float64 {
	return float64(xxhash.Sum64(m.nextDraw())>>11) / (1 << 53)
}

// draw is the seed and the next place in its row.
func (m *Manager) nextDraw() []byte {
	m.drawCount++
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, m.config.Seed), m.drawCount)
}

// The module's actions.

// SetRung sets a playback's rung.
func (m *Manager) SetRung(number, rung int) {
	pb := m.byNumber[number]
	pb.rung = rung
	if pb.phase == phasePlaying {
		m.sendToServer(pb.server, &boxes.Message{Op: boxes.Set, SessionID: pb.id, Fields: map[string]string{"rung": strconv.Itoa(rung)}})
	}
}

// Try sends a playback to a server.
func (m *Manager) Try(number, server int, limit core.Time) {
	pb, srv := m.byNumber[number], m.serverByIndex[server]
	pb.try++
	pb.phase, pb.server, pb.phaseSince, pb.offerSent = phaseTrying, srv, m.now, false
	srv.tries++
	remaining := pb.request.Abandon - m.now
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

// Reject refuses a playback.
func (m *Manager) Reject(number int, comeAgain core.Time) {
	pb := m.byNumber[number]
	m.stats.Refused++
	reply := rtsp.Answer(rtsp.StatusUnavailable, setupCSeq)
	if comeAgain > 0 {
		reply.With("Come-Back-Ms", strconv.FormatInt(comeAgain/core.Millisecond, 10))
	}
	m.answerSetup(pb, reply)
}

// Abort answers a playback as failed.
func (m *Manager) Abort(number int) {
	m.stats.Failed++
	m.answerSetup(m.byNumber[number], rtsp.Answer(rtsp.StatusInternal, setupCSeq))
}

// Move takes a playback off its server: its viewer comes again.
func (m *Manager) Move(number int) {
	pb := m.byNumber[number]
	if pb.phase != phasePlaying {
		return
	}
	m.stats.Moved++
	pb.moving = true
	if viewer := m.notifyConn(pb.viewer, nil); viewer != nil {
		m.sendToViewer(viewer, rtsp.Request(rtsp.Redirect, "rtsp://media/"+pb.titleKey, 4).With("Session", pb.id))
	}
	pb.timer = m.timers.Set(pb.timer, m.now+core.Second, func() { // its server is to end it by itself
		m.sendToServer(pb.server, &boxes.Message{Op: boxes.End, SessionID: pb.id, Cause: causeMoved})
		m.reportEnd(pb, session.Cancelled, "")
	})
}

// Probe probes a server.
func (m *Manager) Probe(server int) {
	m.stats.Probes++
	m.probeServer(m.serverByIndex[server])
}

// Wake asks for a wake-up.
func (m *Manager) Wake(at core.Time, token uint64) {
	m.wakeups[token] = m.timers.Set(m.wakeups[token], at, func() { m.module.Woken(token) })
}

// Watch has nothing to do: the bus tells the list unasked.
func (m *Manager) Watch() {}

// Forget has the module's number free for another playback.
func (m *Manager) Forget(number int) {
	pb := m.byNumber[number]
	m.byNumber[number] = nil
	m.freeNumbers = append(m.freeNumbers, number)
	m.removePlayback(pb)
	if title := m.titles[pb.request.Show]; title != nil {
		if title.refs--; title.refs == 0 {
			delete(m.titles, pb.request.Show)
			m.freeTitles = append(m.freeTitles, title.index)
		}
	}
}

// finish takes a call out of the table; nothing more is owed for it.
func (m *Manager) removePlayback(pb *playback) {
	if pb.phase == phaseDone {
		return
	}
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

// stands books what stands at its server, and on the connection of its viewer.
func (m *Manager) markPlaying(pb *playback) {
	pb.phase, pb.phaseSince = phasePlaying, m.now
	pb.server.playing[pb] = struct{}{}
	pb.server.lastSessionMessageAt = m.now
	pb.viewer.hasServed = true
	pb.viewer.playing++
	m.lastServed = pb.viewer
}

// sits takes what stood off the books again; it does nothing for what does not stand.
func (m *Manager) unmarkPlaying(pb *playback) {
	if pb.phase != phasePlaying {
		return
	}
	delete(pb.server.playing, pb)
	if pb.viewer != nil {
		pb.viewer.playing--
		pb.viewer.lastActiveAt = m.now
	}
}

// take hands a playback to the module under its numbers.
func (m *Manager) register(pb *playback) {
	request := &pb.request
	title := m.titles[request.Show]
	if title == nil {
		title = &titleEntry{index: len(m.titles) + len(m.freeTitles)}
		if count := len(m.freeTitles); count > 0 {
			title.index, m.freeTitles = m.freeTitles[count-1], m.freeTitles[:count-1]
		}
		m.titles[request.Show] = title
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

// ended tells the module how a try or what stood came out.
func (m *Manager) reportEnd(pb *playback, outcome session.Outcome, load string) {
	if pb.phase != phaseTrying && pb.phase != phasePlaying {
		return
	}
	m.timers.Stop(pb.timer)
	result := session.Result{Playback: pb.request.Playback, Try: max(pb.try, 0), Server: pb.server.index, Outcome: outcome, Took: m.now - pb.phaseSince,
		Load: m.parseLoad(load)}
	m.trace("%s ended %d at %s", pb.id, outcome, pb.server.name)
	if pb.phase == phasePlaying {
		result.Final = true
		m.stats.Over++
		if outcome != session.OK && outcome != session.Cancelled {
			m.stats.Cut++
		}
		m.unmarkPlaying(pb)
		delete(m.playbacks, pb.id)
		pb.phase = phaseDone
	} else {
		m.stats.Tries[outcome]++
		if outcome == session.TimedOut && pb.offerSent {
			pb.conn.stale = true
		}
		m.withdrawOffer(pb)
		pb.server.tries--
		pb.phase = phasePending
		if pb.viewer == nil { // it has gone
			result.Final = true
			m.removePlayback(pb)
		}
	}
	m.module.Ended(result)
}
