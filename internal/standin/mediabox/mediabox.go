// Package mediabox is a small stand-in for a media server, without its sockets: it takes SETUP and PLAY of
// docs/wire.md, sends RTP interleaved, shares its link and its rack's uplink among what is asked, starts
// cold, falls over when pushed, and goes wrong as a script tells it to. It knows nothing of the front.
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

// Time is a clock value or span in microseconds.
type Time = core.Time

// Plan is a kind of title as the box serves it.
type Plan struct {
	Name       string
	RateFactor float64
	Live       bool
	Tracks     []string // media of each
}

// Rack is an uplink that several boxes share.
type Rack struct {
	UplinkKB    float64
	mu          sync.Mutex
	requestedKB float64
}

func (r *Rack) addDemand(deltaKB float64) {
	r.mu.Lock()
	r.requestedKB += deltaKB
	r.mu.Unlock()
}

// Fill is what is asked of the uplink over what it gives.
func (r *Rack) Fill() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.requestedKB, 0) / r.UplinkKB
}

// Frame is what the box is.
type Frame struct {
	Name                string
	Plans               []Plan
	LadderKB            []float64 // kB a second of each rung
	Join                float64
	LinkKB              float64
	Rack                *Rack
	Places              int
	FullFrom            float64 // refuses set-ups while its link is asked so much; 0 for never
	SetupTime           [2]Time // of a SETUP, between these
	Tick                Time    // between sendings of one session
	PacketBytes         int
	NoteDelay, NoteAll  Time // notes come so late; link and uplink every so long, 0 for never
	LoadInAnswers       bool
	UplinkUntold        bool    // load is of the link alone
	Started             Time    // this start, 0 for long ago
	WarmUp              Time    // cold for so long
	ColdFrom            float64 // part of its places that it takes at its start
	FallMultiple        float64 // falls over at so many times its pace
	FallSpan            Time
	TitleLength         Time // of a recorded title; 0 for no end
	Seed                uint64
	SessionTimeout      Time
	KeepsAfterConnClose bool // a session outlives its connection until its time-out, as boxes may
}

// Fault is one scripted misbehaviour of set-ups.
type Fault int

// The faults.
const (
	None       Fault = iota
	Error            // answers 500 at once
	LostAnswer       // does it, and never answers
	LateAnswer       // does it, and answers late
	Cut              // sends a part of the answer and closes the connection
	Stuck            // neither does nor answers
)

// Trouble is what a script makes of the box for now.
type Trouble struct {
	Deaf      bool             // hears, does and sends nothing
	Faults    map[string]Fault // by method
	Part      float64          // of the requests that a fault concerns
	Late      Time             // of late answers
	Neighbour float64          // part of the link that another program takes
	ReportLag Time             // added to notes
	Slow      float64          // set-ups take so many times as long, 0 for 1
	Overspeed float64          // sends so many times its rung's rate, 0 for 1
	KeepLoad  bool             // the Load header stands still
}

// Box is one media server. It is a core.Core.
type Box struct {
	Frame
	Trouble     Trouble
	net         core.Net
	now         Time
	timers      core.Timers
	rng         *rand.Rand
	conns       []*connection
	sessions    map[string]*session
	requestedKB float64 // of the link, kB a second
	streams     map[streamKey]int
	coldSetups  []Time // of set-ups while cold
	crashed     bool
	lastID      int
	throttled   bool
	lastLoad    string
	Counts      Counts
}

// Counts are what a box did.
type Counts struct {
	Setups, Rejected, Sessions, Packets, Fell, Timeouts int
}

type streamKey struct {
	title string
	plan  int
	rung  int
}

type connection struct {
	netConn   *core.Conn
	parser    rtsp.Parser
	busyUntil Time
	pipelined map[string]*session // by Pipelined-Requests
	closed    bool
	front     string
	out       []byte
	sessions  []*session
}

type session struct {
	id          string
	conn        *connection
	key         streamKey
	channels    map[int]byte // by track
	playing     bool
	requestedKB float64
	nextSeq     []uint16
	credit      float64
	lastSent    Time
	playStart   Time
	timer       *core.Timer
	lastActive  Time
	ended       bool
	firstSent   bool // a packet of each track has gone out
	ssrc        uint32
	dialogue    string // the front's name for it
}

// New makes a box.
func New(f Frame, net core.Net, now Time) *Box {
	b := &Box{Frame: f, net: net, now: now, sessions: map[string]*session{}, streams: map[streamKey]int{},
		rng: rand.New(rand.NewPCG(f.Seed, 0xb0c5))}
	if f.NoteAll > 0 {
		b.timers.Set(nil, now+f.NoteAll, b.sendNotes)
	}
	return b
}

// At begins a turn.
func (b *Box) At(now Time) {
	b.now = now
	b.timers.Run(now)
}

// Settle ends a turn.
func (b *Box) Settle() Time {
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

// Accepted takes a front's connection.
func (b *Box) Accepted(netConn *core.Conn, _ string) {
	if b.crashed {
		b.net.Close(netConn)
		return
	}
	conn := &connection{netConn: netConn, parser: rtsp.Parser{Bounds: rtsp.Usual}, pipelined: map[string]*session{}}
	netConn.Owner = conn
	b.conns = append(b.conns, conn)
}

// Dialed is for cores that connect; a box does not.
func (b *Box) Dialed(*core.Conn, error) {}

// Drained has nothing wait here: frames that find the network full are left out.
func (b *Box) Drained(*core.Conn) {}

// Received takes bytes of a front.
func (b *Box) Received(netConn *core.Conn, data []byte) {
	conn, ok := netConn.Owner.(*connection)
	if !ok || conn.closed || b.Trouble.Deaf || b.crashed {
		return
	}
	if err := conn.parser.Feed(data, &parserHandler{b, conn}); err != nil && !conn.closed {
		b.closeConnection(conn)
	}
}

// Closed ends what a connection carried.
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
		if b.KeepsAfterConnClose && b.SessionTimeout > 0 {
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

func (handler *parserHandler) Bad(e *rtsp.Malformed) {
	if e.Request {
		handler.box.send(handler.conn, rtsp.Answer(e.Status, e.CSeq))
	}
}
func (handler *parserHandler) Frame(byte, []byte) { // RTCP of the player keeps its session alive
	for _, sess := range handler.conn.sessions {
		sess.lastActive = handler.box.now
	}
}

// Message takes a request; those of one connection are served one after the other.
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
		if b.Trouble.Slow > 0 {
			setupTime = Time(float64(setupTime) * b.Trouble.Slow)
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
	if conn.closed || b.Trouble.Deaf || b.crashed {
		return
	}
	fault := b.Trouble.Faults[request.Method]
	if fault != None && b.Trouble.Part < 1 && b.rng.Float64() >= b.Trouble.Part {
		fault = None
	}
	switch fault {
	case Error:
		b.send(conn, rtsp.Answer(rtsp.StatusInternal, request.CSeq))
		return
	case Stuck:
		return
	}
	response := b.handle(conn, request)
	if response == nil || fault == LostAnswer || b.crashed {
		return
	}
	response.CSeq = request.CSeq
	if b.LoadInAnswers || request.Method == rtsp.Options {
		response.With("Load", b.loadHeader())
	}
	switch fault {
	case LateAnswer:
		b.timers.Set(nil, b.now+b.Trouble.Late, func() { b.send(conn, response) })
	case Cut:
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
	if !b.Trouble.KeepLoad || b.lastLoad == "" {
		if b.lastLoad = "link=" + formatRatio(b.linkLoad()); !b.UplinkUntold {
			b.lastLoad += ";uplink=" + formatRatio(b.Rack.Fill())
		}
	}
	return b.lastLoad
}

func formatRatio(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

// link is what the link gives: less while cold, and what another program takes.
func (b *Box) linkCapacity() float64 {
	return b.LinkKB * (1 - b.Trouble.Neighbour) * b.capacityFraction()
}

func (b *Box) capacityFraction() float64 {
	if b.Started == 0 || b.WarmUp == 0 || b.now >= b.Started+b.WarmUp {
		return 1
	}
	return max(b.ColdFrom+(1-b.ColdFrom)*float64(b.now-b.Started)/float64(b.WarmUp), b.ColdFrom)
}

func (b *Box) linkLoad() float64 { return max(b.requestedKB, 0) / b.linkCapacity() }

// share is the part of their rates that sessions get.
func (b *Box) deliveredShare() float64 {
	return min(1, 1/max(b.linkLoad(), 1e-9), 1/max(b.Rack.Fill(), 1e-9))
}

// answer does what is asked; nil where no answer is due.
func (b *Box) handle(conn *connection, request *rtsp.Message) *rtsp.Message {
	id, _ := rtsp.SessionID(request.Get("Session"))
	sess := b.sessions[id]
	if pipelineID := request.Get("Pipelined-Requests"); sess == nil && pipelineID != "" {
		sess = conn.pipelined[pipelineID]
	}
	if name := request.Get("Dialogue"); sess == nil && name != "" && request.Method == rtsp.Teardown { // of a front that died
		for _, conn := range b.sessions {
			if conn.dialogue == name {
				sess = conn
			}
		}
	}
	if sess != nil {
		sess.lastActive = b.now
	}
	response := rtsp.Answer(rtsp.StatusOK, request.CSeq)
	if sess != nil {
		response.With("Session", sess.id+";timeout="+strconv.FormatInt(b.SessionTimeout/core.Second, 10))
	}
	switch request.Method {
	case rtsp.Options:
		return response.With("Public", rtsp.Supported(rtsp.Options, rtsp.Setup, rtsp.Play, rtsp.Pause, rtsp.Teardown,
			rtsp.SetParameter, rtsp.GetParameter))
	case rtsp.Setup:
		return b.setup(conn, sess, request)
	case rtsp.GetParameter:
		return response
	}
	if sess == nil || sess.ended {
		return rtsp.Answer(rtsp.StatusSessionNotFound, request.CSeq)
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
		for _, parameter := range rtsp.Parameters(request.Body) {
			rung, err := strconv.Atoi(parameter.Value)
			if parameter.Name != "rung" || err != nil || rung < 0 || rung >= len(b.LadderKB) {
				return rtsp.Answer(rtsp.StatusParameterUnknown, request.CSeq)
			}
			b.updateDemand(sess, -1)
			sess.key.rung = rung
			b.updateDemand(sess, 1)
		}
	case rtsp.Teardown:
		b.endSession(sess)
		return rtsp.Answer(rtsp.StatusOK, request.CSeq)
	default:
		return rtsp.Answer(rtsp.StatusNotImplemented, request.CSeq)
	}
	return response
}

// setup takes one track. The first one of a session takes a place, and counts against the cold pace.
func (b *Box) setup(conn *connection, sess *session, request *rtsp.Message) *rtsp.Message {
	uri, _, _ := strings.Cut(strings.TrimPrefix(request.URI, "rtsp://"), "?")
	path := strings.Split(strings.Trim(uri, "/"), "/")
	plan := -1
	if len(path) == 4 {
		plan = slices.IndexFunc(b.Plans, func(p Plan) bool { return p.Name == path[1] })
	}
	if plan < 0 {
		return rtsp.Answer(rtsp.StatusNotFound, request.CSeq)
	}
	track, err := strconv.Atoi(strings.TrimPrefix(path[3], "track"))
	transports := rtsp.Transports(request.Get("Transport"))
	rung, rungErr := 0, error(nil)
	if r := request.Get("Rung"); r != "" { // a player that comes straight to the box tells none
		rung, rungErr = strconv.Atoi(r)
	}
	if err != nil || track < 0 || track >= len(b.Plans[plan].Tracks) || rungErr != nil || rung < 0 || rung >= len(b.LadderKB) {
		return rtsp.Answer(rtsp.StatusBadRequest, request.CSeq)
	}
	if len(transports) == 0 || !transports[0].TCP() || !transports[0].Interleaved {
		return rtsp.Answer(rtsp.StatusUnsupportedTransport, request.CSeq)
	}
	pipelineID := request.Get("Pipelined-Requests")
	if earlier, ok := conn.pipelined[pipelineID]; ok && pipelineID != "" && earlier == nil {
		return rtsp.Answer(rtsp.StatusSessionNotFound, request.CSeq) // the first of them was refused
	}
	if sess == nil {
		b.Counts.Setups++
		if b.countColdSetup() {
			return nil
		}
		if b.Counts.Sessions >= b.Places || b.FullFrom > 0 && b.linkLoad() >= b.FullFrom {
			b.Counts.Rejected++
			if pipelineID != "" {
				conn.pipelined[pipelineID] = nil
			}
			return rtsp.Answer(rtsp.StatusNotEnoughBandwidth, request.CSeq)
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
	return rtsp.Answer(rtsp.StatusOK, request.CSeq).With("Session", sess.id).With("Transport", transports[0].String())
}

// pushed counts a set-up against the cold pace; over the stated multiple the box falls over and stays down.
func (b *Box) countColdSetup() bool {
	if b.Started == 0 || b.now >= b.Started+b.WarmUp || b.FallMultiple == 0 {
		return false
	}
	b.coldSetups = append(b.coldSetups, b.now)
	for len(b.coldSetups) > 0 && b.coldSetups[0] <= b.now-b.FallSpan {
		b.coldSetups = b.coldSetups[1:]
	}
	if float64(len(b.coldSetups)) > max(Allowed(b.Places, b.WarmUp, b.FallSpan, b.FallMultiple, b.capacityFraction()), 1) {
		b.crashed = true
		b.Counts.Fell++
		b.timers.Set(nil, b.now+1, func() {
			for _, conn := range slices.Clone(b.conns) {
				b.closeConnection(conn)
			}
		})
	}
	return b.crashed
}

// Allowed is how many set-ups a cold box stands within a span: its places over its warm-up, times the
// multiple and the part it has warmed.
func Allowed(places int, warmUp, span Time, multiple, warmth float64) float64 {
	return multiple * float64(places) / float64(warmUp) * float64(span) * warmth
}

// weigh books what a session asks of link and uplink; viewers of one live title share a stream.
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

// Down takes what the box asks off its rack, as its death does.
func (b *Box) Down() { b.Rack.addDemand(-b.requestedKB) }

// Sessions is how many playbacks the box carries.
func (b *Box) Sessions() int { return b.Counts.Sessions }

// sendFrames sends what a session's rung and the shared link give since the last time.
func (b *Box) sendFrames(sess *session) {
	if sess.ended || !sess.playing || sess.conn.closed || b.crashed {
		return
	}
	b.timers.Set(nil, b.now+b.Tick, func() { b.sendFrames(sess) })
	if b.Trouble.Deaf {
		sess.lastSent = b.now
		return
	}
	plan := &b.Plans[sess.key.plan]
	speed := max(b.Trouble.Overspeed, 1)
	sess.credit += b.LadderKB[sess.key.rung] * plan.RateFactor * 1000 * b.deliveredShare() * speed * float64(max(b.now-sess.lastSent, b.Tick/8)) / 1e6
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

var payload = make([]byte, 1<<15)

// tellAll sends notes: each front hears on one of its sessions how full link and uplink are, and what share
// is delivered while it is short, and once more after.
func (b *Box) sendNotes() {
	b.timers.Set(nil, b.now+b.NoteAll, b.sendNotes)
	share := b.deliveredShare()
	var notes []rtsp.Field
	if share < 0.98 || b.throttled {
		notes = append(notes, rtsp.Field{Name: "delivered", Value: formatRatio(share)})
	}
	b.throttled = share < 0.98
	if b.LoadInAnswers {
		notes = append(notes, rtsp.Field{Name: "link", Value: formatRatio(b.linkLoad())})
	}
	if b.LoadInAnswers && !b.UplinkUntold {
		notes = append(notes, rtsp.Field{Name: "uplink", Value: formatRatio(b.Rack.Fill())})
	}
	if len(notes) == 0 {
		return
	}
	b.timers.Set(nil, b.now+b.NoteDelay+b.Trouble.ReportLag, func() {
		if b.Trouble.Deaf || b.crashed {
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
					request := rtsp.Request(rtsp.SetParameter, "*", b.lastID).With("Session", sess.id).With("Content-Type", "text/parameters")
					request.Body = rtsp.AppendParameters(nil, notes...)
					b.send(conn, request)
					break
				}
			}
		}
	})
}

// Book is what its link gives and what is asked of it, kB a second; an error if what its sessions ask does not
// add up to that, or its places to its sessions.
func (b *Box) Book() (link, requested float64, err error) {
	sum, n := 0.0, 0
	for _, sess := range b.sessions {
		if !sess.ended {
			sum += sess.requestedKB
			n++
		}
	}
	if n != b.Counts.Sessions {
		err = fmt.Errorf("%d sessions, %d places taken", n, b.Counts.Sessions)
	}
	// A live stream's first viewer asks for the whole rate, and it may be another one by now.
	if b.requestedKB < -1e-6 {
		err = fmt.Errorf("%.3f kB a second are asked, its sessions ask for %.3f", b.requestedKB, sum)
	}
	return b.linkCapacity(), b.requestedKB, err
}

// Orphaned is how many places are taken by sessions whose connection has gone.
func (b *Box) Orphaned() (n int) {
	for _, sess := range b.sessions {
		if !sess.ended && sess.conn.closed {
			n++
		}
	}
	return n
}
