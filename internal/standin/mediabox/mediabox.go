// Package mediabox implements a stand-in for an RTSP media server, for tests. It does no socket I/O of its own.
// It serves the requests of docs/wire.md, sends interleaved RTP, divides the capacity of its link and of its
// rack's uplink among its sessions, starts with reduced capacity, crashes when overloaded during its warm-up,
// and injects faults as a test script sets them. It does not depend on the front's code.
package mediabox

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pion/rtcp"
	"github.com/pion/rtp"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
)

// Time is a point in time or a duration in microseconds.
type Time = core.Time

// Plan describes how the box serves the titles of one plan.
type Plan struct {
	Name       string
	RateFactor float64 // multiplies the rate of each rung
	Live       bool
	Tracks     []string // media type of each track
}

// Rack is the uplink that the boxes of one rack share. It is safe for concurrent use.
type Rack struct {
	UplinkKB    float64 // capacity, kB per second
	mu          sync.Mutex
	requestedKB float64
}

func (r *Rack) addDemand(deltaKB float64) {
	r.mu.Lock()
	r.requestedKB += deltaKB
	r.mu.Unlock()
}

// Load returns the requested rate as a share of the uplink's capacity; it exceeds 1 under overload.
func (r *Rack) Load() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.requestedKB, 0) / r.UplinkKB
}

// Config holds the configuration of a box.
type Config struct {
	Name                    string
	Plans                   []Plan
	LadderKB                []float64 // kB per second of each rung
	Join                    float64   // share of the rate that a further viewer of a live stream costs
	LinkKB                  float64   // capacity of the link, kB per second
	Rack                    *Rack
	MaxSessions             int     // maximum number of sessions
	RejectFromLoad          float64 // link load from which SETUP requests are rejected; 0 disables
	SetupTime               [2]Time // shortest and longest processing time of a SETUP
	SendInterval            Time    // interval at which a session sends packets
	PacketBytes             int     // payload size of an RTP packet
	NoteDelay, NoteInterval Time    // delay of a note; interval of load notes, 0 disables them
	LoadInAnswers           bool    // responses and notes carry the load
	OmitUplinkLoad          bool    // the reported load omits the uplink
	StartedAt               Time    // time of the start; 0 if the box is already warm
	WarmUp                  Time    // duration of the warm-up
	ColdCapacity            float64 // share of the link capacity available at the start
	CrashMultiple           float64 // the box crashes above this multiple of its warm-up setup rate; 0 disables
	CrashWindow             Time    // window over which cold setups are counted
	TitleLength             Time    // duration of a recorded title; 0 for endless
	Seed                    uint64
	SessionTimeout          Time
	KeepSessionsOnClose     bool // sessions outlive their connection until the session timeout, as RTSP allows
}

// Fault is a kind of misbehaviour in the handling of a request.
type Fault int

// The kinds of faults.
const (
	None              Fault = iota
	Error                   // responds with status 500 at once
	LostResponse            // carries out the request without a response
	LateResponse            // carries out the request and responds late
	TruncatedResponse       // sends half of the response and closes the connection
	Dropped                 // neither carries out the request nor responds
)

// Faults holds the faults that are currently injected into a box.
type Faults struct {
	Unresponsive    bool             // ignores input and sends nothing
	ByMethod        map[string]Fault // by request method
	Probability     float64          // probability that a fault applies to a request
	ResponseDelay   Time             // delay of late responses
	CompetingShare  float64          // share of the link that other traffic occupies
	ExtraNoteDelay  Time             // additional delay of notes
	SetupTimeFactor float64          // factor on the processing time of a SETUP; 0 counts as 1
	SendRateFactor  float64          // factor on the sending rate; values below 1 count as 1
	FreezeLoad      bool             // the Load header keeps its last value
}

// Box is one media server. It implements core.Core.
type Box struct {
	Config
	Faults      Faults
	net         core.Net
	now         Time
	timers      core.Timers
	rng         *rand.Rand
	conns       []*connection
	sessions    map[string]*session
	requestedKB float64           // rate requested of the link, kB per second
	streams     map[streamKey]int // viewers of each live stream
	coldSetups  []Time            // times of the setups within the crash window
	crashed     bool
	lastID      int  // of a session or of a note
	throttled   bool // the previous notes reported a delivered share below 0.98
	lastLoad    string
	Counts      Counts
}

// Counts are the event counters of a box; Sessions is the number of present sessions.
type Counts struct {
	Setups, Rejected, Sessions, Packets, Crashes, Timeouts int
}

type streamKey struct {
	title string
	plan  int
	rung  int
}

type connection struct {
	netConn   *core.Conn
	parser    rtsp.Parser
	busyUntil Time                // requests of a connection are served one after another
	pipelined map[string]*session // by Pipelined-Requests id; nil where the first SETUP was rejected
	closed    bool
	front     string // User-Agent of the front
	out       []byte
	sessions  []*session
}

type session struct {
	id          string
	conn        *connection
	key         streamKey
	channels    map[int]byte // interleaved RTP channel by track
	playing     bool
	requestedKB float64  // kB per second
	nextSeq     []uint16 // RTP sequence numbers by track
	credit      float64  // bytes that may be sent now
	lastSent    Time
	playStart   Time
	timer       *core.Timer
	lastActive  Time
	ended       bool
	firstSent   bool // the first packet of each track was sent
	ssrc        uint32
	dialogue    string // the front's identifier of the session
}

// New returns a box that sends through net.
func New(config Config, net core.Net, now Time) *Box {
	b := &Box{Config: config, net: net, now: now, sessions: map[string]*session{}, streams: map[streamKey]int{},
		rng: rand.New(rand.NewPCG(config.Seed, 0xb0c5))}
	if config.NoteInterval > 0 {
		b.timers.Set(nil, now+config.NoteInterval, b.sendNotes)
	}
	return b
}

// BeginTurn starts a turn of the event loop: it sets the clock and runs the timers that are due.
func (b *Box) BeginTurn(now Time) {
	b.now = now
	b.timers.Run(now)
}

// EndTurn ends a turn: it sends buffered output and returns the time of the next timer.
func (b *Box) EndTurn() Time {
	for _, conn := range b.conns {
		b.flush(conn)
	}
	return b.timers.Next()
}

func (b *Box) flush(conn *connection) {
	if len(conn.out) > 0 && !conn.closed {
		b.net.Send(conn.netConn, conn.out)
		conn.out = conn.out[:0]
	}
}

// Accepted registers a connection from a front; a crashed box closes it.
func (b *Box) Accepted(netConn *core.Conn, _ string) {
	if b.crashed {
		b.net.Close(netConn)
		return
	}
	conn := &connection{netConn: netConn, parser: rtsp.Parser{Bounds: rtsp.DefaultBounds}, pipelined: map[string]*session{}}
	netConn.Owner = conn
	b.conns = append(b.conns, conn)
}

// Dialed does nothing, as a box opens no connections.
func (b *Box) Dialed(*core.Conn, error) {}

// Drained does nothing: frames are dropped, not queued, while the output buffer is full.
func (b *Box) Drained(*core.Conn) {}

// Received parses bytes from a front and serves complete requests.
func (b *Box) Received(netConn *core.Conn, data []byte) {
	conn, ok := netConn.Owner.(*connection)
	if !ok || conn.closed || b.Faults.Unresponsive || b.crashed {
		return
	}
	if err := conn.parser.Feed(data, &parserHandler{b, conn}); err != nil && !conn.closed {
		b.closeConnection(conn)
	}
}

// Closed ends a closed connection's sessions, or leaves them to their timeout if so configured.
func (b *Box) Closed(netConn *core.Conn, _ error) {
	if conn, ok := netConn.Owner.(*connection); ok && !conn.closed {
		b.connectionClosed(conn)
	}
}

func (b *Box) closeConnection(conn *connection) {
	if !conn.closed {
		b.flush(conn)
		b.net.Close(conn.netConn)
		b.connectionClosed(conn)
	}
}

func (b *Box) connectionClosed(conn *connection) {
	conn.closed = true
	conn.parser.Stop()
	for _, sess := range slices.Clone(conn.sessions) {
		if b.KeepSessionsOnClose && b.SessionTimeout > 0 {
			sess.playing = false
			b.timers.Set(nil, b.now+b.SessionTimeout, func() {
				b.Counts.Timeouts++
				b.endSession(sess)
			})
		} else {
			b.endSession(sess)
		}
	}
	b.conns = slices.DeleteFunc(b.conns, func(other *connection) bool { return other == conn })
}

type parserHandler struct {
	box  *Box
	conn *connection
}

func (handler *parserHandler) Malformed(e *rtsp.MalformedError) {
	if e.Request {
		handler.box.send(handler.conn, rtsp.NewResponse(e.Status, e.CSeq))
	}
}
func (handler *parserHandler) Frame(byte, []byte) { // RTCP from the player keeps the sessions alive
	for _, sess := range handler.conn.sessions {
		sess.lastActive = handler.box.now
	}
}

// Message schedules a request; the requests of one connection are served in order.
func (handler *parserHandler) Message(message *rtsp.Message) {
	b, conn := handler.box, handler.conn
	if !message.IsRequest() {
		return
	}
	if userAgent := message.Get("User-Agent"); userAgent != "" {
		conn.front = userAgent
	}
	setupTime := Time(0)
	if message.Method == rtsp.Setup {
		shortest, longest := b.SetupTime[0], b.SetupTime[1]
		setupTime = shortest + Time(b.rng.Float64()*float64(longest-shortest))
		if b.Faults.SetupTimeFactor > 0 {
			setupTime = Time(float64(setupTime) * b.Faults.SetupTimeFactor)
		}
	}
	conn.busyUntil = max(conn.busyUntil, b.now) + setupTime
	body := slices.Clone(message.Body)
	message.Body = body
	if conn.busyUntil == b.now {
		b.serve(conn, message)
		return
	}
	b.timers.Set(nil, conn.busyUntil, func() { b.serve(conn, message) })
}

func (b *Box) serve(conn *connection, request *rtsp.Message) {
	if conn.closed || b.Faults.Unresponsive || b.crashed {
		return
	}
	fault := b.Faults.ByMethod[request.Method]
	if fault != None && b.Faults.Probability < 1 && b.rng.Float64() >= b.Faults.Probability {
		fault = None
	}
	switch fault {
	case Error:
		b.send(conn, rtsp.NewResponse(rtsp.StatusInternal, request.CSeq))
		return
	case Dropped:
		return
	}
	response := b.handle(conn, request)
	if response == nil || fault == LostResponse || b.crashed {
		return
	}
	response.CSeq = request.CSeq
	if b.LoadInAnswers || request.Method == rtsp.Options {
		response.With("Load", b.loadHeader())
	}
	switch fault {
	case LateResponse:
		b.timers.Set(nil, b.now+b.Faults.ResponseDelay, func() { b.send(conn, response) })
	case TruncatedResponse:
		text := response.Append(nil)
		conn.out = append(conn.out, text[:len(text)/2]...)
		b.closeConnection(conn)
	default:
		b.send(conn, response)
	}
}

func (b *Box) send(conn *connection, m *rtsp.Message) {
	if !conn.closed {
		conn.out = m.Append(conn.out)
	}
}

func (b *Box) loadHeader() string {
	if !b.Faults.FreezeLoad || b.lastLoad == "" {
		if b.lastLoad = "link=" + formatRatio(b.linkLoad()); !b.OmitUplinkLoad {
			b.lastLoad += ";uplink=" + formatRatio(b.Rack.Load())
		}
	}
	return b.lastLoad
}

func formatRatio(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

// linkCapacity returns the capacity of the link in kB per second, reduced during the warm-up and by competing traffic.
func (b *Box) linkCapacity() float64 {
	return b.LinkKB * (1 - b.Faults.CompetingShare) * b.capacityFraction()
}

// capacityFraction returns the share of its capacity that the box has: it rises linearly during the warm-up.
func (b *Box) capacityFraction() float64 {
	if b.StartedAt == 0 || b.WarmUp == 0 || b.now >= b.StartedAt+b.WarmUp {
		return 1
	}
	return max(b.ColdCapacity+(1-b.ColdCapacity)*float64(b.now-b.StartedAt)/float64(b.WarmUp), b.ColdCapacity)
}

func (b *Box) linkLoad() float64 { return max(b.requestedKB, 0) / b.linkCapacity() }

// deliveredShare returns the share of their requested rates that sessions receive.
func (b *Box) deliveredShare() float64 {
	return min(1, 1/max(b.linkLoad(), 1e-9), 1/max(b.Rack.Load(), 1e-9))
}

// handle carries out a request and returns its response, or nil if none is due.
func (b *Box) handle(conn *connection, request *rtsp.Message) *rtsp.Message {
	id, _ := rtsp.ParseSession(request.Get("Session"))
	sess := b.sessions[id]
	if pipelineID := request.Get("Pipelined-Requests"); sess == nil && pipelineID != "" {
		sess = conn.pipelined[pipelineID]
	}
	if name := request.Get("Dialogue"); sess == nil && name != "" && request.Method == rtsp.Teardown { // for a session of a front that has failed
		for _, candidate := range b.sessions {
			if candidate.dialogue == name {
				sess = candidate
			}
		}
	}
	if sess != nil {
		sess.lastActive = b.now
	}
	response := rtsp.NewResponse(rtsp.StatusOK, request.CSeq)
	if sess != nil {
		response.With("Session", sess.id+";timeout="+strconv.FormatInt(b.SessionTimeout/core.Second, 10))
	}
	switch request.Method {
	case rtsp.Options:
		return response.With("Public", rtsp.JoinMethods(rtsp.Options, rtsp.Setup, rtsp.Play, rtsp.Pause, rtsp.Teardown,
			rtsp.SetParameter, rtsp.GetParameter))
	case rtsp.Setup:
		return b.setup(conn, sess, request)
	case rtsp.GetParameter:
		return response
	}
	if sess == nil || sess.ended {
		return rtsp.NewResponse(rtsp.StatusSessionNotFound, request.CSeq)
	}
	switch request.Method {
	case rtsp.Play:
		if !sess.playing {
			sess.playing, sess.lastSent, sess.playStart = true, b.now, b.now
			b.timers.Set(nil, b.now+1, func() { b.sendFrames(sess) })
		}
	case rtsp.Pause:
		sess.playing = false
	case rtsp.SetParameter:
		for _, parameter := range rtsp.ParseParameters(request.Body) {
			rung, err := strconv.Atoi(parameter.Value)
			if parameter.Name != "rung" || err != nil || rung < 0 || rung >= len(b.LadderKB) {
				return rtsp.NewResponse(rtsp.StatusParameterUnknown, request.CSeq)
			}
			b.updateDemand(sess, -1)
			sess.key.rung = rung
			b.updateDemand(sess, 1)
		}
	case rtsp.Teardown:
		b.endSession(sess)
		return rtsp.NewResponse(rtsp.StatusOK, request.CSeq)
	default:
		return rtsp.NewResponse(rtsp.StatusNotImplemented, request.CSeq)
	}
	return response
}

// setup handles the SETUP of one track. The first of a session creates the session, and counts towards the limit
// on setups during the warm-up.
func (b *Box) setup(conn *connection, sess *session, request *rtsp.Message) *rtsp.Message {
	uri, _, _ := strings.Cut(strings.TrimPrefix(request.URI, "rtsp://"), "?")
	path := strings.Split(strings.Trim(uri, "/"), "/")
	plan := -1
	if len(path) == 4 {
		plan = slices.IndexFunc(b.Plans, func(p Plan) bool { return p.Name == path[1] })
	}
	if plan < 0 {
		return rtsp.NewResponse(rtsp.StatusNotFound, request.CSeq)
	}
	track, err := strconv.Atoi(strings.TrimPrefix(path[3], "track"))
	transports := rtsp.ParseTransports(request.Get("Transport"))
	rung, rungErr := 0, error(nil)
	if r := request.Get("Rung"); r != "" { // a player that connects directly to the box sends none
		rung, rungErr = strconv.Atoi(r)
	}
	if err != nil || track < 0 || track >= len(b.Plans[plan].Tracks) || rungErr != nil || rung < 0 || rung >= len(b.LadderKB) {
		return rtsp.NewResponse(rtsp.StatusBadRequest, request.CSeq)
	}
	if len(transports) == 0 || !transports[0].IsTCP() || !transports[0].Interleaved {
		return rtsp.NewResponse(rtsp.StatusUnsupportedTransport, request.CSeq)
	}
	pipelineID := request.Get("Pipelined-Requests")
	if earlier, ok := conn.pipelined[pipelineID]; ok && pipelineID != "" && earlier == nil {
		return rtsp.NewResponse(rtsp.StatusSessionNotFound, request.CSeq) // the first request of the pipeline was rejected
	}
	if sess == nil {
		b.Counts.Setups++
		if b.countColdSetup() {
			return nil
		}
		if b.Counts.Sessions >= b.MaxSessions || b.RejectFromLoad > 0 && b.linkLoad() >= b.RejectFromLoad {
			b.Counts.Rejected++
			if pipelineID != "" {
				conn.pipelined[pipelineID] = nil
			}
			return rtsp.NewResponse(rtsp.StatusNotEnoughBandwidth, request.CSeq)
		}
		b.lastID++
		sess = &session{id: b.Name + "-" + strconv.Itoa(b.lastID), conn: conn, key: streamKey{path[2], plan, rung},
			dialogue: request.Get("Dialogue"), channels: map[int]byte{}, nextSeq: make([]uint16, len(b.Plans[plan].Tracks)), lastActive: b.now, ssrc: uint32(b.lastID) << 8}
		for i := range sess.nextSeq {
			sess.nextSeq[i] = uint16(b.rng.Uint32())
		}
		b.sessions[sess.id] = sess
		conn.sessions = append(conn.sessions, sess)
		b.Counts.Sessions++
		b.updateDemand(sess, 1)
		if pipelineID != "" {
			conn.pipelined[pipelineID] = sess
		}
	}
	sess.channels[track] = transports[0].RTP
	return rtsp.NewResponse(rtsp.StatusOK, request.CSeq).With("Session", sess.id).With("Transport", transports[0].String())
}

// countColdSetup counts a setup during the warm-up and reports whether the box has crashed. Above the configured
// limit the box crashes: it closes its connections and stays down.
func (b *Box) countColdSetup() bool {
	if b.StartedAt == 0 || b.now >= b.StartedAt+b.WarmUp || b.CrashMultiple == 0 {
		return false
	}
	b.coldSetups = append(b.coldSetups, b.now)
	for len(b.coldSetups) > 0 && b.coldSetups[0] <= b.now-b.CrashWindow {
		b.coldSetups = b.coldSetups[1:]
	}
	if float64(len(b.coldSetups)) > max(MaxColdSetups(b.MaxSessions, b.WarmUp, b.CrashWindow, b.CrashMultiple, b.capacityFraction()), 1) {
		b.crashed = true
		b.Counts.Crashes++
		b.timers.Set(nil, b.now+1, func() {
			for _, conn := range slices.Clone(b.conns) {
				b.closeConnection(conn)
			}
		})
	}
	return b.crashed
}

// MaxColdSetups returns the number of setups within the window above which a cold box crashes: the average rate at which
// the warm-up would fill all its sessions, times the multiple and its present share of capacity.
func MaxColdSetups(maxSessions int, warmUp, window Time, multiple, capacityFraction float64) float64 {
	return multiple * float64(maxSessions) / float64(warmUp) * float64(window) * capacityFraction
}

// updateDemand adds (sign 1) or removes (sign -1) the rate that a session requests of link and uplink. Viewers of
// the same live stream share it: each further one costs only the join share of its rate.
func (b *Box) updateDemand(sess *session, sign int) {
	plan := &b.Plans[sess.key.plan]
	kb := b.LadderKB[sess.key.rung] * plan.RateFactor
	if plan.Live {
		if sign < 0 {
			b.streams[sess.key]--
		}
		if b.streams[sess.key] > 0 {
			kb *= b.Join
		}
		if sign > 0 {
			b.streams[sess.key]++
		} else if b.streams[sess.key] == 0 {
			delete(b.streams, sess.key)
		}
	}
	sess.requestedKB = kb
	b.requestedKB += float64(sign) * kb
	b.Rack.addDemand(float64(sign) * kb)
}

func (b *Box) endSession(sess *session) {
	if sess.ended {
		return
	}
	sess.ended, sess.playing = true, false
	b.updateDemand(sess, -1)
	b.Counts.Sessions--
	delete(b.sessions, sess.id)
	sess.conn.sessions = slices.DeleteFunc(sess.conn.sessions, func(other *session) bool { return other == sess })
	for pipelineID, other := range sess.conn.pipelined {
		if other == sess {
			delete(sess.conn.pipelined, pipelineID)
		}
	}
}

// ReleaseUplink removes the box's demand from the rack's uplink, as when the box goes down.
func (b *Box) ReleaseUplink() { b.Rack.addDemand(-b.requestedKB) }

// Sessions returns the number of sessions on the box.
func (b *Box) Sessions() int { return b.Counts.Sessions }

// sendFrames sends the RTP packets that a session's rung and its share of the link allow since the last call, and
// schedules the next call.
func (b *Box) sendFrames(sess *session) {
	if sess.ended || !sess.playing || sess.conn.closed || b.crashed {
		return
	}
	b.timers.Set(nil, b.now+b.SendInterval, func() { b.sendFrames(sess) })
	if b.Faults.Unresponsive {
		sess.lastSent = b.now
		return
	}
	plan := &b.Plans[sess.key.plan]
	speed := max(b.Faults.SendRateFactor, 1)
	sess.credit += b.LadderKB[sess.key.rung] * plan.RateFactor * 1000 * b.deliveredShare() * speed * float64(max(b.now-sess.lastSent, b.SendInterval/8)) / 1e6
	sess.lastSent = b.now
	first := !sess.firstSent
	sess.firstSent = true
	for i := 0; sess.credit >= float64(b.PacketBytes) || first && i < len(plan.Tracks); i++ {
		track := i % len(plan.Tracks)
		sess.credit -= float64(b.PacketBytes)
		channel, ok := sess.channels[track]
		if !ok || b.net.Pending(sess.conn.netConn) > 256<<10 {
			continue
		}
		packet := rtp.Packet{Header: rtp.Header{Version: 2, PayloadType: uint8(96 + track), SequenceNumber: sess.nextSeq[track],
			Timestamp: uint32(b.now * 9 / 100), SSRC: sess.ssrc + uint32(track)}, Payload: payload[:b.PacketBytes]}
		sess.nextSeq[track]++
		raw, err := packet.Marshal()
		if err != nil {
			continue
		}
		sess.conn.out = rtsp.AppendFrame(sess.conn.out, channel, raw)
		b.Counts.Packets++
	}
	if b.TitleLength > 0 && !plan.Live && b.now-sess.playStart >= b.TitleLength {
		if bye, err := (&rtcp.Goodbye{Sources: []uint32{sess.ssrc}}).Marshal(); err == nil {
			sess.conn.out = rtsp.AppendFrame(sess.conn.out, sess.channels[0]+1, bye)
		}
		sess.playing = false
	}
}

// payload is the zeroed buffer from which packets are sent.
var payload = make([]byte, 1<<15)

// sendNotes sends each front a note on one of its playing sessions: the load of link and uplink, and the delivered
// share while it is below 0.98 and once after it has recovered.
func (b *Box) sendNotes() {
	b.timers.Set(nil, b.now+b.NoteInterval, b.sendNotes)
	share := b.deliveredShare()
	var notes []rtsp.Field
	if share < 0.98 || b.throttled {
		notes = append(notes, rtsp.Field{Name: "delivered", Value: formatRatio(share)})
	}
	b.throttled = share < 0.98
	if b.LoadInAnswers {
		notes = append(notes, rtsp.Field{Name: "link", Value: formatRatio(b.linkLoad())})
	}
	if b.LoadInAnswers && !b.OmitUplinkLoad {
		notes = append(notes, rtsp.Field{Name: "uplink", Value: formatRatio(b.Rack.Load())})
	}
	if len(notes) == 0 {
		return
	}
	b.timers.Set(nil, b.now+b.NoteDelay+b.Faults.ExtraNoteDelay, func() {
		if b.Faults.Unresponsive || b.crashed {
			return
		}
		notified := map[string]bool{}
		for _, conn := range b.conns {
			if notified[conn.front] {
				continue
			}
			for _, sess := range conn.sessions {
				if sess.playing {
					notified[conn.front] = true
					b.lastID++
					request := rtsp.NewRequest(rtsp.SetParameter, "*", b.lastID).With("Session", sess.id).With("Content-Type", "text/parameters")
					request.Body = rtsp.AppendParameters(nil, notes...)
					b.send(conn, request)
					break
				}
			}
		}
	})
}

// CheckDemand returns the capacity of the link and the rate requested of it, in kB per second. The error reports a session
// count that does not match the sessions, or a negative requested rate.
func (b *Box) CheckDemand() (link, requested float64, err error) {
	sum, n := 0.0, 0
	for _, sess := range b.sessions {
		if !sess.ended {
			sum += sess.requestedKB
			n++
		}
	}
	if n != b.Counts.Sessions {
		err = fmt.Errorf("found %d sessions, but the session counter is %d", n, b.Counts.Sessions)
	}
	// The sum is not compared with the total: the first viewer of a live stream is booked at the full rate, and may
	// have left before those that were booked at the join share.
	if b.requestedKB < -1e-6 {
		err = fmt.Errorf("requested rate is %.3f kB/s, expected at least 0; its sessions request %.3f kB/s", b.requestedKB, sum)
	}
	return b.linkCapacity(), b.requestedKB, err
}

// OrphanedSessions returns the number of sessions whose connection has closed.
func (b *Box) OrphanedSessions() (n int) {
	for _, sess := range b.sessions {
		if !sess.ended && sess.conn.closed {
			n++
		}
	}
	return n
}
