package platform

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
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
	if m.network.Pending(conn.transport) > serverUnreadLimit(m.config) {
		m.deferred = append(m.deferred, func() { m.serverConnLost(conn, errUnread) })
	}
}

// errUnread is the reason for closing a connection on which too much waits for a server that does not read.
var errUnread = errors.New("the server does not read")

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
	if srv.replaced {
		m.deferred = append(m.deferred, func() { m.probeEnded(srv, id, session.NoConnection, "") })
		return
	}
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
