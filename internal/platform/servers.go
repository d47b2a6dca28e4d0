package platform

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/platform/feed"
	"pierlink/internal/rtsp"
	"pierlink/internal/start"
	"pierlink/session"
)

// server is a video server.
type server struct {
	id             uint32
	name           string
	index          int // the module's number of the server
	address        string
	state          session.ServerState
	started        core.Time // start time reported by the server list
	replaced       bool      // a server that started later has its address
	conns          []*serverConn
	draining       []*serverConn // half-closed ones, which are only read
	playing        map[*playback]struct{}
	tries          int                    // set-up tries in progress
	probes         map[string]*core.Timer // timeouts of outstanding probes, by ID
	lastReachedAt  core.Time              // last accepted connection or sign of the process: whether the machine can be reached
	lastSignAt     core.Time              // last bytes of the process, or connection that it ended: a kernel accepts connections for one that hangs
	sameProcessAt  core.Time              // until then it is certain that the process runs at which the playbacks stand: see confirmProcess
	lastCheckAt    core.Time              // last test sent to find out whether it still does
	lastDialAt     core.Time
	resetAt        core.Time       // last reset of a connection, 0 once another is up
	firstRefusedAt core.Time       // first refused connect since the last connection, 0 if none
	goneAt         core.Time       // when the list reported it gone, 0 if it did not
	outbox         []queuedMessage // messages waiting for a connection, such as withdrawals
}

// queuedMessage is a message to a server that may be sent on any connection.
type queuedMessage struct {
	line    []byte
	expires core.Time // not sent after this time
}

// applyEvent applies an event of the server list.
func (m *Manager) applyEvent(event feed.Event) {
	list := session.List{Complete: event.Snapshot}
	named := map[uint32]bool{}
	processesChanged := false
	for _, entry := range event.Servers {
		named[entry.ID] = true
		srv := m.servers[entry.ID]
		if srv == nil {
			if entry.State == session.Gone {
				continue
			}
			srv = &server{id: entry.ID, name: feed.ServerName(entry.ID), playing: map[*playback]struct{}{}, probes: map[string]*core.Timer{}, lastReachedAt: m.now, lastSignAt: m.now}
			srv.index = len(m.serverByIndex)
			if count := len(m.freeServerIndexes); count > 0 {
				srv.index, m.freeServerIndexes = m.freeServerIndexes[count-1], m.freeServerIndexes[:count-1]
				m.serverByIndex[srv.index] = srv
			} else {
				m.serverByIndex = append(m.serverByIndex, srv)
			}
			m.servers[entry.ID] = srv
		}
		addressChanged := srv.address != entry.Address
		processesChanged = processesChanged || addressChanged || entry.Started != srv.started
		srv.state, srv.address = entry.State, entry.Address
		if srv.started != entry.Started {
			srv.started = entry.Started
			m.endPlaybacks(srv, "the server has restarted", func(pb *playback) bool { return pb.phaseSince < srv.started })
		}
		for _, conn := range slices.Clone(srv.conns) { // a machine that was unreachable has not reset its connections
			if addressChanged || conn.up && conn.upAt < srv.started-core.Millisecond {
				m.serverConnLost(conn, errors.New("connection to an earlier process of the server"))
			}
		}
		list.Entries = append(list.Entries, session.Entry{Server: srv.index, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, State: entry.State,
			Started: entry.Started, Weight: entry.Weight})
	}
	readyCount := 0
	for id, srv := range m.servers {
		if event.Snapshot && !named[id] {
			srv.state = session.Gone
		}
		if srv.state == session.Gone && srv.goneAt == 0 {
			srv.goneAt = m.now
		} else if srv.state != session.Gone {
			srv.goneAt = 0
			readyCount++
		}
	}
	if processesChanged {
		m.retireReplaced()
	}
	m.connsPerServer = serverConnLimit(m.config, readyCount)
	m.module.Listed(list)
	m.trace("server list event %d, snapshot %v: %+v", event.Offset, event.Snapshot, event.Servers)
}

// errReplaced is the reason for closing connections to an address that belongs to another server now.
var errReplaced = errors.New("another server has this address")

// retireReplaced gives up servers whose address a server has that started later: their processes have exited, which the
// list may tell later or not at all, and their connections are dead or lead to the other process.
func (m *Manager) retireReplaced() {
	latest := map[string]*server{} // by address
	for _, srv := range m.servers {
		if srv.state != session.Gone && (latest[srv.address] == nil || srv.started > latest[srv.address].started) {
			latest[srv.address] = srv
		}
	}
	for _, srv := range m.servers {
		successor := latest[srv.address]
		wasReplaced := srv.replaced
		srv.replaced = successor != nil && successor.started > srv.started
		if !srv.replaced || wasReplaced {
			continue
		}
		for _, conn := range slices.Concat(srv.conns, srv.draining) {
			m.serverConnLost(conn, errReplaced)
		}
		srv.outbox = nil
		m.endPlaybacks(srv, "another server has its address", func(pb *playback) bool { return pb.phaseSince < successor.started })
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

func (m *Manager) serverConnUp(conn *serverConn, err error) {
	if conn.closing {
		return
	}
	m.timers.Stop(conn.timer)
	srv := conn.server
	if err != nil {
		m.trace("connecting to server %s at %s failed: %v", srv.name, srv.address, err)
		m.closeServerConn(conn)
		for _, pb := range slices.Clone(conn.setups) {
			m.reportEnd(pb, session.NoConnection, "")
		}
		m.failProbes(srv, session.NoConnection)
		if errors.Is(err, core.ErrRefused) {
			if slices.ContainsFunc(srv.conns, func(other *serverConn) bool { return other.up }) {
				srv.lastReachedAt = m.now // it is full, but running: a process that had exited would have reset its other connections
			} else if srv.firstRefusedAt == 0 {
				srv.firstRefusedAt = m.now
			} else if m.hasExited(srv) {
				m.endPlaybacks(srv, "the server refuses connections", nil)
			}
		}
		return
	}
	conn.up, conn.upAt, conn.lastUsedAt, srv.lastReachedAt, srv.resetAt, srv.firstRefusedAt = true, m.now, m.now, m.now, 0, 0
	for _, queued := range srv.outbox {
		if m.now <= queued.expires {
			m.network.Send(conn.transport, queued.line)
		}
	}
	srv.outbox = nil
	m.deferred = append(m.deferred, func() { m.sendWaitingOffers(conn) })
}

// sendWaitingOffers sends the set-ups that waited for a connection to come up. It runs at the end of a turn, as a list
// event of the same turn may take their server out of service.
func (m *Manager) sendWaitingOffers(conn *serverConn) {
	if conn.closing {
		return
	}
	for _, pb := range slices.Clone(conn.setups) {
		if conn.server.state != session.Ready {
			m.reportEnd(pb, session.NotSent, "")
		} else if !pb.offerSent {
			m.sendOffer(pb)
		}
	}
}

// sendOffer sends a set-up to a server.
func (m *Manager) sendOffer(pb *playback) {
	remaining := pb.timer.Deadline() - m.now
	pb.offerSent = true
	m.send(pb.conn, &boxes.Message{Op: boxes.Offer, SessionID: pb.id, Description: pb.description, Fields: map[string]string{"class": pb.plan, "key": pb.titleKey,
		"left": strconv.FormatInt(max(remaining/core.Millisecond, 1), 10), "rung": strconv.Itoa(pb.rung)}})
}

// withdrawOffer removes a set-up from its connection, and withdraws it at the server if it was sent.
func (m *Manager) withdrawOffer(pb *playback) {
	conn := pb.conn
	pb.conn = nil
	if conn == nil {
		return
	}
	conn.setups = slices.DeleteFunc(conn.setups, func(other *playback) bool { return other == pb })
	if pb.offerSent && conn.up && !conn.closing && !pb.endedByServer {
		m.send(conn, &boxes.Message{Op: boxes.End, SessionID: pb.id, Cause: causeNormal})
	}
	pb.offerSent = false
	if conn.stale && len(conn.setups) == 0 {
		m.drainConn(conn)
	}
}

func (m *Manager) send(conn *serverConn, msg *boxes.Message) {
	m.trace("to server %s: %s", conn.server.name, msg.Append(nil))
	conn.lastUsedAt = m.now
	m.network.Send(conn.transport, msg.Append(nil))
}

// sendToServer sends a message on any connection, or queues it until one is up.
func (m *Manager) sendToServer(srv *server, msg *boxes.Message) {
	for _, conn := range srv.conns {
		if conn.up && !m.nearIdleTimeout(conn) {
			m.send(conn, msg)
			return
		}
	}
	if srv.replaced || srv.state == session.Gone && len(srv.conns) == 0 {
		return // the process has exited, and its playbacks with it
	}
	if len(srv.outbox) < maxQueuedMessages {
		srv.outbox = append(srv.outbox, queuedMessage{msg.Append(nil), m.now + endNoticeDeadline})
	}
	if !slices.ContainsFunc(srv.conns, func(conn *serverConn) bool { return !conn.up }) {
		m.dial(srv)
	}
}

func (m *Manager) probeServer(srv *server) {
	id := m.newID()
	srv.probes[id] = m.timers.Set(nil, m.now+m.config.Settings.ConnectTimeout, func() { m.probeEnded(srv, id, session.TimedOut, "") })
	m.sendToServer(srv, &boxes.Message{Op: boxes.Test, SessionID: id, Cause: 1})
	if len(srv.conns) == 0 {
		m.deferred = append(m.deferred, func() { m.failProbes(srv, session.NoConnection) })
	}
}

func (m *Manager) probeEnded(srv *server, id string, outcome session.Outcome, load string) {
	if timer, ok := srv.probes[id]; ok {
		m.timers.Stop(timer)
		delete(srv.probes, id)
		m.module.Probed(srv.index, outcome, m.parseLoad(load))
	}
}

func (m *Manager) failProbes(srv *server, outcome session.Outcome) {
	if len(srv.conns) > 0 {
		return
	}
	for id := range srv.probes {
		m.probeEnded(srv, id, outcome, "")
	}
}

// parseLoad parses a load report of the form name:value;name:value.
func (m *Manager) parseLoad(text string) session.Load {
	if text == "" {
		return session.Load{}
	}
	var names []string
	var values []float64
	for _, field := range rtsp.ParsePairs(strings.ReplaceAll(text, ":", "=")) {
		if value, err := strconv.ParseFloat(field.Value, 64); err == nil && value >= 0 && value <= maxNoteValue {
			names, values = append(names, field.Name), append(values, value)
		}
	}
	return start.Load(names, values)
}

func (m *Manager) serverData(conn *serverConn, data []byte) {
	if conn.closing {
		return
	}
	conn.lastUsedAt = m.now
	m.signOfLife(conn.server)
	m.confirmProcess(conn)
	err := conn.reader.Feed(data, func(msg *boxes.Message) { m.serverMessage(conn, msg) })
	if err == nil || conn.closing {
		return
	}
	// The message boundaries are lost. Set-ups may have been started: they are withdrawn on another connection.
	m.stats.Spoilt++
	m.trace("unreadable message from server %s: %v", conn.server.name, err)
	m.serverConnLost(conn, err)
}

func (m *Manager) serverConnLost(conn *serverConn, err error) {
	if conn.closing {
		return
	}
	srv := conn.server
	if errors.Is(err, core.ErrClosedByPeer) {
		m.signOfLife(srv)
	}
	if conn.draining {
		m.closeServerConn(conn)
		return
	}
	m.trace("connection to server %s lost: %v", srv.name, err)
	m.closeServerConn(conn)
	if !errors.Is(err, core.ErrClosedByPeer) { // a server may close connections in order and run on
		srv.resetAt = m.now
	}
	for _, pb := range slices.Clone(conn.setups) {
		offerSent := pb.offerSent
		m.reportEnd(pb, session.Reset, "")
		if offerSent && srv.state != session.Gone {
			m.sendToServer(srv, &boxes.Message{Op: boxes.End, SessionID: pb.id, Cause: causeNormal})
		}
	}
	m.failProbes(srv, session.Reset)
	switch {
	case len(srv.playing) == 0:
	case srv.state == session.Gone && len(srv.conns) == 0:
		m.endPlaybacks(srv, "the server has left the list and its connections are closed", nil)
	case slices.ContainsFunc(srv.conns, func(other *serverConn) bool { return !other.up }): // one is being opened
	case len(srv.conns) == 0, !errors.Is(err, core.ErrClosedByPeer) && len(srv.conns) < m.connsPerServer:
		m.dial(srv) // an end that was lost with the connection is sent again on the next one that is opened
	}
}

func (m *Manager) serverMessage(conn *serverConn, msg *boxes.Message) {
	srv := conn.server
	if m.Trace != nil {
		m.trace("from server %s: %s", srv.name, msg.Append(nil))
	}
	load := msg.Fields["load"]
	if msg.Op == boxes.Tested {
		outcome := session.Failed
		if msg.Cause == 1 {
			outcome = session.OK
		}
		m.probeEnded(srv, msg.SessionID, outcome, load)
		return
	}
	pb := m.playbacks[msg.SessionID]
	if pb == nil || pb.server != srv || pb.phase == phasePending || pb.phase == phaseTrying && pb.conn != conn {
		return // already ended, of another manager, or the answer to an earlier try
	}
	srv.sameProcessAt = m.now // a process that has been started anew would not know it
	m.confirmHandover(pb)
	switch msg.Op {
	case boxes.Accept:
		if pb.phase != phaseTrying || !pb.offerSent || msg.Description == "" {
			return
		}
		m.offerAccepted(pb, msg) // the load is reported by notes, not in the answer
	case boxes.End:
		m.serverEnded(pb, msg.Cause, load)
	case boxes.Info:
		if pb.phase == phasePlaying {
			m.serverNote(pb, msg)
		}
	}
}

func (m *Manager) offerAccepted(pb *playback, msg *boxes.Message) {
	m.timers.Stop(pb.timer)
	conn := pb.conn
	conn.setups = slices.DeleteFunc(conn.setups, func(other *playback) bool { return other == pb })
	pb.conn, pb.mayHaveRun = nil, true
	pb.server.tries--
	pb.viewer.pendingSetups--
	took := m.now - pb.phaseSince
	m.markPlaying(pb)
	m.markServed(pb.viewer)
	for _, notice := range slices.Clone(m.teardowns) {
		if notice.sendCount == 0 {
			m.resendTeardown(notice)
		}
	}
	m.bufferedBytes -= len(pb.description)
	pb.description = ""
	m.stats.Served++
	m.stats.Tries[session.OK]++
	reply := rtsp.NewResponse(rtsp.StatusOK, setupCSeq).With("Session", pb.id)
	reply.Body = []byte(msg.Description)
	m.sendToViewer(pb.viewer, reply)
	m.module.Playing(pb.request.Playback, pb.try, pb.server.index, took)
}

func (m *Manager) serverEnded(pb *playback, cause int, load string) {
	if pb.phase == phaseTrying {
		outcome := session.Reset
		switch cause {
		case causeFull:
			outcome = session.Full
		case causeError:
			outcome = session.Failed
		case causeExpired:
			outcome = session.NotSent
		}
		pb.endedByServer = true // there is nothing to withdraw
		m.reportEnd(pb, outcome, load)
		pb.endedByServer = false
		return
	}
	outcome := session.Reset
	switch cause {
	case causeNormal:
		outcome = session.OK
	case causeMoved:
		outcome = session.Cancelled
	}
	if cause != causeMoved {
		m.notifyEnded(pb.viewer, pb.id, cause)
	}
	m.reportEnd(pb, outcome, load)
}

// maxNoteValue is the highest figure of a note or a load report that is taken for a share of a capacity or a rung.
const maxNoteValue = 1e6

// noteKinds maps the names of notes on the wire.
var noteKinds = map[string]session.NoteKind{"got": session.DeliveredShare, "level": session.CurrentRung, "port": session.LinkDemand,
	"spine": session.UplinkDemand}

func (m *Manager) serverNote(pb *playback, msg *boxes.Message) {
	kind, ok := noteKinds[msg.Fields["note"]]
	value, err := strconv.ParseFloat(msg.Fields["value"], 64)
	if !ok || err != nil || !(value >= 0 && value <= maxNoteValue) { // NaN is in no range
		return
	}
	m.module.Noted(session.Note{Playback: pb.request.Playback, Server: pb.server.index, Kind: kind, Value: value})
}

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
