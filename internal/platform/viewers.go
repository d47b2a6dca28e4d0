package platform

import (
	"cmp"
	"container/list"
	"errors"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// CSeq numbers by method, and the cause codes of ends and teardowns.
const (
	setupCSeq    = 1
	teardownCSeq = 2
	optionsCSeq  = 3

	causeNormal  = 16  // ended as intended
	causeMoved   = 31  // moved to another server
	causeFull    = 34  // server at its capacity
	causeReset   = 41  // playback lost, by a fault or a shutdown
	causeError   = 47  // set-up failed
	causeExpired = 102 // set-up not started in time
)

// uriPrefix begins the request URI of every set-up and teardown; the title's key or session ID follows.
const uriPrefix = "rtsp://media/"

// messageBounds limits the messages of viewers; a body may have 16 KiB.
var messageBounds = rtsp.Bounds{LineBytes: 2048, HeadBytes: 4096, HeaderFields: 32, BodyBytes: boxes.MaxMessageSize, NoFrames: true}

// viewerConn is a connection from viewers. It carries many sessions.
type viewerConn struct {
	manager       *Manager
	transport     *core.Conn
	parser        rtsp.Parser
	acceptedAt    core.Time
	lastReadAt    core.Time // last received bytes
	lastMessageAt core.Time // last complete message, 0 if none
	lastActiveAt  core.Time // last message, or end of a playback set up here
	partialSince  core.Time // start of the incomplete message, 0 if none
	bufferedBytes int       // bytes of the incomplete message
	pendingSetups int       // set-ups that have not been answered
	playing       int       // playing sessions that were set up here
	unconfirmed   list.List // of *playback: handed over here, and not mentioned by their servers yet
	hasServed     bool      // a set-up was answered with 200 here, or a playing session taken over and confirmed by its server
	hasAsked      bool      // a request of a known kind was read here
	hasNotices    bool      // a request of this manager was written here
	left          bool      // its client has closed it; what it had sent is still being read
	closing       bool
}

func (m *Manager) acceptViewer(conn *core.Conn, _ string) {
	viewer := &viewerConn{manager: m, transport: conn, acceptedAt: m.now, parser: rtsp.Parser{Bounds: messageBounds}}
	conn.Owner = viewer
	m.viewers = append(m.viewers, viewer)
}

// evictViewers closes connections above the limit in the order of their eviction rank: first connections without a
// complete message after the grace period, then the longest idle without playing sessions, then idle ones with playing
// sessions, then new connections and those with an incomplete message, and last those with pending set-ups. It runs at
// the end of a turn, when all received bytes have been read.
func (m *Manager) evictViewers() {
	for len(m.viewers) > MaxViewers(m.config) {
		victim := slices.MinFunc(m.viewers, func(a, b *viewerConn) int {
			rankA, sinceA := a.evictionRank(m.now)
			rankB, sinceB := b.evictionRank(m.now)
			return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(sinceA, sinceB))
		})
		m.trace("connection limit reached: closing a connection accepted %d us ago, last message at %d, %d set-ups pending", m.now-victim.acceptedAt, victim.lastMessageAt, victim.pendingSetups)
		m.closeViewer(victim)
	}
}

// closeViewer closes a viewer connection.
func (m *Manager) closeViewer(viewer *viewerConn) {
	if viewer.closing {
		return
	}
	viewer.closing = true
	viewer.parser.Stop()
	m.network.Close(viewer.transport)
	m.viewerClosed(viewer)
}

// viewerLeft gives up the set-ups of a client that has closed its connection. What it had sent before is read for what it
// says of sessions; nothing new is set up for it.
func (m *Manager) viewerLeft(viewer *viewerConn) {
	viewer.left = true
	if viewer.pendingSetups == 0 {
		return
	}
	for _, pb := range m.playbacks {
		if pb.viewer == viewer && pb.phase != phasePlaying {
			m.abandonSetup(pb)
		}
	}
}

func (m *Manager) viewerClosed(viewer *viewerConn) {
	i := slices.Index(m.viewers, viewer)
	if i < 0 {
		return
	}
	viewer.closing = true
	m.viewers = slices.Delete(m.viewers, i, i+1)
	m.bufferedBytes -= viewer.bufferedBytes
	viewer.bufferedBytes = 0
	if m.lastServed == viewer {
		m.lastServed = nil
	}
	for _, notice := range m.teardowns {
		if notice.conn == viewer { // it may not have read the teardown
			m.resendTeardown(notice)
		}
	}
	m.handovers.connClosed(viewer)
	m.viewerLeft(viewer)
	if viewer.playing > 0 {
		for _, pb := range m.playbacks {
			if pb.viewer == viewer {
				pb.viewer = nil
			}
		}
	}
}

// abandonSetup ends a set-up that its viewer has given up.
func (m *Manager) abandonSetup(pb *playback) {
	m.stats.Left++
	pb.viewer.pendingSetups--
	pb.viewer = nil
	m.module.Left(pb.request.Playback)
	if pb.phase == phaseTrying {
		m.reportEnd(pb, session.Cancelled, "")
	} else {
		m.removePlayback(pb)
	}
}

func (m *Manager) viewerData(viewer *viewerConn, data []byte) {
	if viewer.closing {
		return
	}
	viewer.lastReadAt = m.now
	err := viewer.parser.Feed(data, viewer)
	if viewer.closing {
		return
	}
	if err != nil {
		m.stats.Bad++
		status := rtsp.StatusBadRequest
		var malformed *rtsp.MalformedError
		if errors.As(err, &malformed) {
			status = malformed.Status
		}
		m.sendToViewer(viewer, rtsp.NewResponse(status, -1))
		m.closeViewer(viewer)
		return
	}
	m.bufferedBytes += viewer.parser.BufferedBytes() - viewer.bufferedBytes
	viewer.bufferedBytes = viewer.parser.BufferedBytes()
	if !viewer.parser.Incomplete() {
		viewer.partialSince = 0
	} else if viewer.partialSince == 0 {
		viewer.partialSince = m.now
	}
	for int64(m.bufferedBytes) > m.config.MemoryBytes/bufferedMemoryDivisor && viewer.bufferedBytes > 0 {
		fullest := viewer
		for _, other := range m.viewers {
			if other.bufferedBytes > fullest.bufferedBytes {
				fullest = other
			}
		}
		m.sendToViewer(fullest, rtsp.NewResponse(rtsp.StatusUnavailable, -1))
		m.closeViewer(fullest)
	}
}

// Frame is never called, because messageBounds forbids interleaved frames.
func (v *viewerConn) Frame(byte, []byte) {}

// Malformed rejects a malformed message whose end is known.
func (v *viewerConn) Malformed(malformed *rtsp.MalformedError) {
	v.manager.stats.Bad++
	v.manager.sendToViewer(v, rtsp.NewResponse(malformed.Status, malformed.CSeq))
	v.manager.closeViewer(v)
}

// Message handles a complete message.
func (v *viewerConn) Message(msg *rtsp.Message) {
	m := v.manager
	v.lastMessageAt, v.lastActiveAt, v.partialSince = m.now, m.now, 0
	id := msg.Get("Session")
	m.trace("from viewer %s %s %d %s %v %q", id, msg.Method, msg.Status, msg.URI, msg.Header, msg.Body)
	if !msg.IsRequest() {
		if i := slices.IndexFunc(m.teardowns, func(notice *teardownNotice) bool { return notice.id == id }); i >= 0 {
			acknowledged := m.teardowns[i]
			m.removeNotices(func(notice *teardownNotice) bool { return notice == acknowledged })
		} else if !v.hasServed && !v.hasNotices { // an answer without a request
			m.rejectMalformed(v, msg)
		}
		return
	}
	if !boxes.ValidID(id) || !strings.HasPrefix(msg.URI, uriPrefix) {
		m.rejectMalformed(v, msg)
		return
	}
	v.hasAsked = v.hasAsked || msg.Method == rtsp.Options || msg.Method == rtsp.Setup
	switch msg.Method {
	case rtsp.Setup:
		m.handleSetup(v, id, msg)
	case rtsp.Teardown:
		m.handleTeardown(v, id, msg)
	case rtsp.Options:
		status := rtsp.StatusOK
		if m.stoppingSince > 0 {
			status = rtsp.StatusUnavailable
		}
		m.sendToViewer(v, rtsp.NewResponse(status, msg.CSeq).With("Session", id))
	default:
		m.stats.Bad++
		m.sendToViewer(v, rtsp.NewResponse(rtsp.StatusMethodNotAllowed, msg.CSeq).With("Session", id))
	}
}

// rejectMalformed answers an invalid message with 400 and closes the connection, unless set-ups are pending on it.
func (m *Manager) rejectMalformed(viewer *viewerConn, msg *rtsp.Message) {
	m.stats.Bad++
	if msg.IsRequest() {
		reply := rtsp.NewResponse(rtsp.StatusBadRequest, msg.CSeq)
		if id := msg.Get("Session"); boxes.ValidID(id) {
			reply.With("Session", id)
		}
		m.sendToViewer(viewer, reply)
	}
	if viewer.pendingSetups == 0 {
		m.closeViewer(viewer)
	}
}

// parseNumber parses a decimal integer between lowest and highest.
func parseNumber(text string, lowest, highest int64) (int64, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil && n >= lowest && n <= highest && text[0] != '+'
}

// parseSetup reads a SETUP request; ok is false if it is invalid. serverName is not empty if the playback plays already, and
// names its server.
func (m *Manager) parseSetup(id string, msg *rtsp.Message) (pb *playback, serverName string, ok bool) {
	settings := m.config.Settings
	pb = &playback{id: strings.Clone(id), titleKey: strings.Clone(strings.TrimPrefix(msg.URI, uriPrefix)), description: string(msg.Body), try: -1} // copies, as parts of a message keep all of it in memory
	request := &pb.request
	if request.Plan = slices.Index(settings.Plans, msg.Get("Call-Kind")); request.Plan < 0 || !boxes.ValidID(pb.titleKey) || pb.description == "" || !utf8.ValidString(pb.description) {
		return nil, "", false
	}
	pb.plan = settings.Plans[request.Plan]
	if len(settings.Tenants) > 0 {
		if request.Tenant = slices.Index(settings.Tenants, msg.Get("Charged-Party")); request.Tenant < 0 {
			return nil, "", false
		}
	}
	request.TitleID, _ = strconv.ParseUint(pb.titleKey, 16, 64)
	fields := map[string]string{}
	for _, field := range rtsp.ParsePairs(strings.ReplaceAll(msg.Get("Routing-Data"), ":", "=")) {
		if _, duplicate := fields[field.Name]; duplicate {
			return nil, "", false
		}
		fields[field.Name] = field.Value
	}
	base, baseOK := parseNumber(fields["home"], 0, int64(settings.Site.Fleet.Cells)-1)
	span, spanOK := parseNumber(fields["copies"], 1, int64(settings.Site.Fleet.Cells))
	top, topOK := parseNumber(fields["top"], 0, int64(len(settings.Site.Ladder.RateKB))-1)
	if !baseOK || !spanOK || !topOK || !boxes.ValidID(fields["viewer"]) {
		return nil, "", false
	}
	request.FirstCell, request.CellCount, request.Top = int(base), int(span), int(top)
	serverName = fields["at"]
	floor := settings.Site.Plans[request.Plan].Floor
	if serverName != "" && request.Top < floor { // no playback plays below its plan's lowest rung
		return nil, "", false
	}
	answerWithin, answerWithinOK := parseNumber(msg.Get("Answer-Within"), 1, settings.AbandonAfter[request.Plan]/core.Millisecond)
	if !answerWithinOK && serverName == "" { // a playback that plays already needs no answer
		return nil, "", false
	}
	answerWithin *= core.Millisecond
	request.AbandonAt = m.eventAt + answerWithin - answerWithin/networkMarginDivisor
	pb.rung = floor
	return pb, serverName, true
}

func (m *Manager) handleSetup(viewer *viewerConn, id string, msg *rtsp.Message) {
	pb, serverName, ok := m.parseSetup(id, msg)
	if !ok {
		m.rejectMalformed(viewer, msg)
		return
	}
	if serverName != "" {
		m.adoptPlaying(viewer, pb, serverName)
		return
	}
	if viewer.left {
		m.stats.Left++
		return
	}
	if existing := m.playbacks[id]; existing != nil { // duplicate session ID: neither set-up is served on this connection
		if existing.viewer == viewer && existing.phase != phasePlaying {
			m.abandonSetup(existing)
		}
		m.rejectMalformed(viewer, msg)
		return
	}
	if m.usedIDs.contains(id) {
		m.stats.Failed++
		m.sendToViewer(viewer, rtsp.NewResponse(rtsp.StatusInternal, setupCSeq).With("Session", id))
		return
	}
	if m.stoppingSince > 0 || m.numbersInUse() >= maxPlaybacks(m.config) || int64(m.bufferedBytes+len(pb.description)) > m.config.MemoryBytes/bufferedMemoryDivisor {
		m.stats.Refused++
		reply := rtsp.NewResponse(rtsp.StatusUnavailable, setupCSeq).With("Session", id)
		if retryAfter := m.config.Settings.Site.Terms.MaxRetryAfter; retryAfter > 0 {
			reply.With("Come-Back-Ms", strconv.FormatInt(retryAfter/core.Millisecond, 10))
		}
		m.sendToViewer(viewer, reply)
		return
	}
	pb.viewer = viewer
	viewer.pendingSetups++
	m.stats.Taken++
	m.register(pb)
	m.module.Requested(pb.request)
}

func (m *Manager) handleTeardown(viewer *viewerConn, id string, msg *rtsp.Message) {
	cause, hasReason := parseReason(msg.Get("Reason"))
	pb := m.playbacks[id]
	if pb == nil || pb.phase != phasePlaying && hasReason {
		m.sendToViewer(viewer, rtsp.NewResponse(rtsp.StatusSessionNotFound, msg.CSeq).With("Session", id))
		return
	}
	m.sendToViewer(viewer, rtsp.NewResponse(rtsp.StatusOK, msg.CSeq).With("Session", id))
	if pb.phase != phasePlaying { // sessions are not bound to connections, so any connection may withdraw a set-up
		m.abandonSetup(pb)
		return
	}
	m.sendToServer(pb.server, &boxes.Message{Op: boxes.End, SessionID: id, Cause: cause})
	outcome := session.Cancelled
	if cause == causeNormal && hasReason {
		outcome = session.OK
	}
	m.reportEnd(pb, outcome, "")
}

func parseReason(text string) (cause int, ok bool) {
	digits, ok := strings.CutPrefix(text, "cause=")
	number, valid := parseNumber(digits, 0, 1<<16)
	if !ok || !valid {
		return causeNormal, false
	}
	return int(number), true
}

// answerSetup sends the final answer to a set-up and removes the playback.
func (m *Manager) answerSetup(pb *playback, reply *rtsp.Message) {
	if pb.viewer != nil {
		m.sendToViewer(pb.viewer, reply.With("Session", pb.id))
	}
	m.removePlayback(pb)
}

// sendToViewer writes a message to a viewer. A connection with too many unsent bytes is closed.
func (m *Manager) sendToViewer(viewer *viewerConn, msg *rtsp.Message) {
	if viewer.closing {
		return
	}
	if len(msg.Body) == 0 {
		msg.With("Content-Length", "0")
	}
	m.trace("to viewer %s %s %d", msg.Get("Session"), msg.Method, msg.Status)
	m.network.Send(viewer.transport, msg.Append(nil))
	if m.network.Pending(viewer.transport) > unreadLimit(m.config) {
		m.deferred = append(m.deferred, func() { m.closeViewer(viewer) })
	}
}

// sweep closes overdue and idle viewer connections, and runs the periodic checks of servers and the bus.
func (m *Manager) sweep() {
	for _, viewer := range slices.Clone(m.viewers) {
		switch {
		case viewer.messageOverdue(m.now):
			m.stats.Bad++
			m.sendToViewer(viewer, rtsp.NewResponse(rtsp.StatusRequestTimeout, -1))
			m.closeViewer(viewer)
		case viewer.pendingSetups == 0 && viewer.playing == 0 && viewer.partialSince == 0 && viewer.lastMessageAt > 0 && m.now-viewer.lastActiveAt > viewerIdleTimeout:
			m.closeViewer(viewer)
		}
	}
	m.retryTeardowns()
	m.checkServers()
	m.checkBus()
	m.timers.Set(nil, m.now+sweepInterval, m.sweep)
}
