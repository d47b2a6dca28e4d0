// Package platform implements one session manager of a fleet that is run by a hosting platform. It performs no I/O:
// viewers are served over RTSP, video servers are addressed in JSON lines, and an event bus delivers the server list.
// The manager carries out the actions of the decision module (package session) and reports their outcomes to it. It
// chooses no server and no rung, and rejects no playback on its own, except at resource limits and while it stops.
package platform

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"

	"pierlink/internal/core"
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
