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
	UplinkKB float64
	mu       sync.Mutex
	asked    float64
}

func (r *Rack) add(kb float64) {
	r.mu.Lock()
	r.asked += kb
	r.mu.Unlock()
}

// Fill is what is asked of the uplink over what it gives.
func (r *Rack) Fill() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.asked, 0) / r.UplinkKB
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
	Length              Time // of a recorded title; 0 for no end
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
	Trouble  Trouble
	net      core.Net
	now      Time
	timers   core.Timers
	rng      *rand.Rand
	conns    []*conn
	sessions map[string]*sess
	asked    float64 // of the link, kB a second
	streams  map[streamKey]int
	starts   []Time // of set-ups while cold
	fallen   bool
	count    int
	short    bool
	lastLoad string
	Counts   Counts
}

// Counts are what a box did.
type Counts struct {
	Setups, Refused, Sessions, Packets, Fell, Timeouts int
}

type streamKey struct {
	title string
	plan  int
	rung  int
}

type conn struct {
	c      *core.Conn
	parser rtsp.Parser
	busy   Time
	piped  map[string]*sess // by Pipelined-Requests
	gone   bool
	front  string
	w      []byte
	sess   []*sess
}

type sess struct {
	id       string
	conn     *conn
	key      streamKey
	channels map[int]byte // by track
	playing  bool
	asks     float64
	seq      []uint16
	credit   float64
	sent     Time
	began    Time
	timer    *core.Timer
	heard    Time
	over     bool
	begun    bool // a packet of each track has gone out
	ssrc     uint32
	dialogue string // the front's name for it
}

// New makes a box.
func New(f Frame, net core.Net, now Time) *Box {
	b := &Box{Frame: f, net: net, now: now, sessions: map[string]*sess{}, streams: map[streamKey]int{},
		rng: rand.New(rand.NewPCG(f.Seed, 0xb0c5))}
	if f.NoteAll > 0 {
		b.timers.Set(nil, now+f.NoteAll, b.tellAll)
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
	for _, c := range b.conns {
		b.flush(c)
	}
	return b.timers.Next()
}

func (b *Box) flush(c *conn) {
	if len(c.w) > 0 && !c.gone {
		b.net.Send(c.c, c.w)
		c.w = c.w[:0]
	}
}

// Accepted takes a front's connection.
func (b *Box) Accepted(c *core.Conn, _ string) {
	if b.fallen {
		b.net.Close(c)
		return
	}
	x := &conn{c: c, parser: rtsp.Parser{Bounds: rtsp.Usual}, piped: map[string]*sess{}}
	c.Owner = x
	b.conns = append(b.conns, x)
}

// Dialed is for cores that connect; a box does not.
func (b *Box) Dialed(*core.Conn, error) {}

// Drained has nothing wait here: frames that find the network full are left out.
func (b *Box) Drained(*core.Conn) {}

// Received takes bytes of a front.
func (b *Box) Received(c *core.Conn, data []byte) {
	x, ok := c.Owner.(*conn)
	if !ok || x.gone || b.Trouble.Deaf || b.fallen {
		return
	}
	if err := x.parser.Feed(data, &sink{b, x}); err != nil && !x.gone {
		b.end(x)
	}
}

// Closed ends what a connection carried.
func (b *Box) Closed(c *core.Conn, _ error) {
	if x, ok := c.Owner.(*conn); ok && !x.gone {
		b.gone(x)
	}
}

func (b *Box) end(x *conn) {
	if !x.gone {
		b.flush(x)
		b.net.Close(x.c)
		b.gone(x)
	}
}

func (b *Box) gone(x *conn) {
	x.gone = true
	x.parser.Stop()
	for _, s := range slices.Clone(x.sess) {
		if b.KeepsAfterConnClose && b.SessionTimeout > 0 {
			s.playing = false
			b.timers.Set(nil, b.now+b.SessionTimeout, func() {
				b.Counts.Timeouts++
				b.over(s)
			})
		} else {
			b.over(s)
		}
	}
	b.conns = slices.DeleteFunc(b.conns, func(y *conn) bool { return y == x })
}

type sink struct {
	b *Box
	x *conn
}

func (s *sink) Bad(e *rtsp.Malformed) {
	if e.Request {
		s.b.send(s.x, rtsp.Answer(e.Status, e.CSeq))
	}
}
func (s *sink) Frame(byte, []byte) { // RTCP of the player keeps its session alive
	for _, x := range s.x.sess {
		x.heard = s.b.now
	}
}

// Message takes a request; those of one connection are served one after the other.
func (s *sink) Message(m *rtsp.Message) {
	b, x := s.b, s.x
	if !m.IsRequest() {
		return
	}
	if a := m.Get("User-Agent"); a != "" {
		x.front = a
	}
	takes := Time(0)
	if m.Method == rtsp.Setup {
		lo, hi := b.SetupTime[0], b.SetupTime[1]
		takes = lo + Time(b.rng.Float64()*float64(hi-lo))
		if b.Trouble.Slow > 0 {
			takes = Time(float64(takes) * b.Trouble.Slow)
		}
	}
	x.busy = max(x.busy, b.now) + takes
	body := slices.Clone(m.Body)
	m.Body = body
	if x.busy == b.now {
		b.serve(x, m)
		return
	}
	b.timers.Set(nil, x.busy, func() { b.serve(x, m) })
}

func (b *Box) serve(x *conn, m *rtsp.Message) {
	if x.gone || b.Trouble.Deaf || b.fallen {
		return
	}
	fault := b.Trouble.Faults[m.Method]
	if fault != None && b.Trouble.Part < 1 && b.rng.Float64() >= b.Trouble.Part {
		fault = None
	}
	switch fault {
	case Error:
		b.send(x, rtsp.Answer(rtsp.StatusInternal, m.CSeq))
		return
	case Stuck:
		return
	}
	a := b.answer(x, m)
	if a == nil || fault == LostAnswer || b.fallen {
		return
	}
	a.CSeq = m.CSeq
	if b.LoadInAnswers || m.Method == rtsp.Options {
		a.With("Load", b.load())
	}
	switch fault {
	case LateAnswer:
		b.timers.Set(nil, b.now+b.Trouble.Late, func() { b.send(x, a) })
	case Cut:
		text := a.Append(nil)
		x.w = append(x.w, text[:len(text)/2]...)
		b.end(x)
	default:
		b.send(x, a)
	}
}

func (b *Box) send(x *conn, m *rtsp.Message) {
	if !x.gone {
		x.w = m.Append(x.w)
	}
}

func (b *Box) load() string {
	if !b.Trouble.KeepLoad || b.lastLoad == "" {
		if b.lastLoad = "link=" + num(b.fill()); !b.UplinkUntold {
			b.lastLoad += ";uplink=" + num(b.Rack.Fill())
		}
	}
	return b.lastLoad
}

func num(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

// link is what the link gives: less while cold, and what another program takes.
func (b *Box) link() float64 {
	return b.LinkKB * (1 - b.Trouble.Neighbour) * b.warmth()
}

func (b *Box) warmth() float64 {
	if b.Started == 0 || b.WarmUp == 0 || b.now >= b.Started+b.WarmUp {
		return 1
	}
	return max(b.ColdFrom+(1-b.ColdFrom)*float64(b.now-b.Started)/float64(b.WarmUp), b.ColdFrom)
}

func (b *Box) fill() float64 { return max(b.asked, 0) / b.link() }

// share is the part of their rates that sessions get.
func (b *Box) share() float64 { return min(1, 1/max(b.fill(), 1e-9), 1/max(b.Rack.Fill(), 1e-9)) }

// answer does what is asked; nil where no answer is due.
func (b *Box) answer(x *conn, m *rtsp.Message) *rtsp.Message {
	id, _ := rtsp.SessionID(m.Get("Session"))
	s := b.sessions[id]
	if pipe := m.Get("Pipelined-Requests"); s == nil && pipe != "" {
		s = x.piped[pipe]
	}
	if name := m.Get("Dialogue"); s == nil && name != "" && m.Method == rtsp.Teardown { // of a front that died
		for _, x := range b.sessions {
			if x.dialogue == name {
				s = x
			}
		}
	}
	if s != nil {
		s.heard = b.now
	}
	ok := rtsp.Answer(rtsp.StatusOK, m.CSeq)
	if s != nil {
		ok.With("Session", s.id+";timeout="+strconv.FormatInt(b.SessionTimeout/core.Second, 10))
	}
	switch m.Method {
	case rtsp.Options:
		return ok.With("Public", rtsp.Supported(rtsp.Options, rtsp.Setup, rtsp.Play, rtsp.Pause, rtsp.Teardown,
			rtsp.SetParameter, rtsp.GetParameter))
	case rtsp.Setup:
		return b.setup(x, s, m)
	case rtsp.GetParameter:
		return ok
	}
	if s == nil || s.over {
		return rtsp.Answer(rtsp.StatusSessionNotFound, m.CSeq)
	}
	switch m.Method {
	case rtsp.Play:
		if !s.playing {
			s.playing, s.sent, s.began = true, b.now, b.now
			b.timers.Set(nil, b.now+1, func() { b.sendFrames(s) })
		}
	case rtsp.Pause:
		s.playing = false
	case rtsp.SetParameter:
		for _, p := range rtsp.Parameters(m.Body) {
			r, err := strconv.Atoi(p.Value)
			if p.Name != "rung" || err != nil || r < 0 || r >= len(b.LadderKB) {
				return rtsp.Answer(rtsp.StatusParameterUnknown, m.CSeq)
			}
			b.weigh(s, -1)
			s.key.rung = r
			b.weigh(s, 1)
		}
	case rtsp.Teardown:
		b.over(s)
		return rtsp.Answer(rtsp.StatusOK, m.CSeq)
	default:
		return rtsp.Answer(rtsp.StatusNotImplemented, m.CSeq)
	}
	return ok
}

// setup takes one track. The first one of a session takes a place, and counts against the cold pace.
func (b *Box) setup(x *conn, s *sess, m *rtsp.Message) *rtsp.Message {
	uri, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "rtsp://"), "?")
	path := strings.Split(strings.Trim(uri, "/"), "/")
	plan := -1
	if len(path) == 4 {
		plan = slices.IndexFunc(b.Plans, func(p Plan) bool { return p.Name == path[1] })
	}
	if plan < 0 {
		return rtsp.Answer(rtsp.StatusNotFound, m.CSeq)
	}
	track, err := strconv.Atoi(strings.TrimPrefix(path[3], "track"))
	way := rtsp.Transports(m.Get("Transport"))
	rung, err2 := 0, error(nil)
	if r := m.Get("Rung"); r != "" { // a player that comes straight to the box tells none
		rung, err2 = strconv.Atoi(r)
	}
	if err != nil || track < 0 || track >= len(b.Plans[plan].Tracks) || err2 != nil || rung < 0 || rung >= len(b.LadderKB) {
		return rtsp.Answer(rtsp.StatusBadRequest, m.CSeq)
	}
	if len(way) == 0 || !way[0].TCP() || !way[0].Interleaved {
		return rtsp.Answer(rtsp.StatusUnsupportedTransport, m.CSeq)
	}
	pipe := m.Get("Pipelined-Requests")
	if old, ok := x.piped[pipe]; ok && pipe != "" && old == nil {
		return rtsp.Answer(rtsp.StatusSessionNotFound, m.CSeq) // the first of them was refused
	}
	if s == nil {
		b.Counts.Setups++
		if b.pushed() {
			return nil
		}
		if b.Counts.Sessions >= b.Places || b.FullFrom > 0 && b.fill() >= b.FullFrom {
			b.Counts.Refused++
			if pipe != "" {
				x.piped[pipe] = nil
			}
			return rtsp.Answer(rtsp.StatusNotEnoughBandwidth, m.CSeq)
		}
		b.count++
		s = &sess{id: b.Name + "-" + strconv.Itoa(b.count), conn: x, key: streamKey{path[2], plan, rung},
			dialogue: m.Get("Dialogue"), channels: map[int]byte{}, seq: make([]uint16, len(b.Plans[plan].Tracks)), heard: b.now, ssrc: uint32(b.count) << 8}
		for i := range s.seq {
			s.seq[i] = uint16(b.rng.Uint32())
		}
		b.sessions[s.id] = s
		x.sess = append(x.sess, s)
		b.Counts.Sessions++
		b.weigh(s, 1)
		if pipe != "" {
			x.piped[pipe] = s
		}
	}
	s.channels[track] = way[0].RTP
	return rtsp.Answer(rtsp.StatusOK, m.CSeq).With("Session", s.id).With("Transport", way[0].String())
}

// pushed counts a set-up against the cold pace; over the stated multiple the box falls over and stays down.
func (b *Box) pushed() bool {
	if b.Started == 0 || b.now >= b.Started+b.WarmUp || b.FallMultiple == 0 {
		return false
	}
	b.starts = append(b.starts, b.now)
	for len(b.starts) > 0 && b.starts[0] <= b.now-b.FallSpan {
		b.starts = b.starts[1:]
	}
	if float64(len(b.starts)) > max(Allowed(b.Places, b.WarmUp, b.FallSpan, b.FallMultiple, b.warmth()), 1) {
		b.fallen = true
		b.Counts.Fell++
		b.timers.Set(nil, b.now+1, func() {
			for _, x := range slices.Clone(b.conns) {
				b.end(x)
			}
		})
	}
	return b.fallen
}

// Allowed is how many set-ups a cold box stands within a span: its places over its warm-up, times the
// multiple and the part it has warmed.
func Allowed(places int, warmUp, span Time, multiple, warmth float64) float64 {
	return multiple * float64(places) / float64(warmUp) * float64(span) * warmth
}

// weigh books what a session asks of link and uplink; viewers of one live title share a stream.
func (b *Box) weigh(s *sess, by int) {
	p := &b.Plans[s.key.plan]
	kb := b.LadderKB[s.key.rung] * p.RateFactor
	if p.Live {
		if by < 0 {
			b.streams[s.key]--
		}
		if b.streams[s.key] > 0 {
			kb *= b.Join
		}
		if by > 0 {
			b.streams[s.key]++
		} else if b.streams[s.key] == 0 {
			delete(b.streams, s.key)
		}
	}
	s.asks = kb
	b.asked += float64(by) * kb
	b.Rack.add(float64(by) * kb)
}

func (b *Box) over(s *sess) {
	if s.over {
		return
	}
	s.over, s.playing = true, false
	b.weigh(s, -1)
	b.Counts.Sessions--
	delete(b.sessions, s.id)
	s.conn.sess = slices.DeleteFunc(s.conn.sess, func(x *sess) bool { return x == s })
	for k, v := range s.conn.piped {
		if v == s {
			delete(s.conn.piped, k)
		}
	}
}

// Down takes what the box asks off its rack, as its death does.
func (b *Box) Down() { b.Rack.add(-b.asked) }

// Sessions is how many playbacks the box carries.
func (b *Box) Sessions() int { return b.Counts.Sessions }

// sendFrames sends what a session's rung and the shared link give since the last time.
func (b *Box) sendFrames(s *sess) {
	if s.over || !s.playing || s.conn.gone || b.fallen {
		return
	}
	b.timers.Set(nil, b.now+b.Tick, func() { b.sendFrames(s) })
	if b.Trouble.Deaf {
		s.sent = b.now
		return
	}
	p := &b.Plans[s.key.plan]
	speed := max(b.Trouble.Overspeed, 1)
	s.credit += b.LadderKB[s.key.rung] * p.RateFactor * 1000 * b.share() * speed * float64(max(b.now-s.sent, b.Tick/8)) / 1e6
	s.sent = b.now
	first := !s.begun
	s.begun = true
	for i := 0; s.credit >= float64(b.PacketBytes) || first && i < len(p.Tracks); i++ {
		track := i % len(p.Tracks)
		s.credit -= float64(b.PacketBytes)
		c, ok := s.channels[track]
		if !ok || b.net.Pending(s.conn.c) > 256<<10 {
			continue
		}
		pkt := rtp.Packet{Header: rtp.Header{Version: 2, PayloadType: uint8(96 + track), SequenceNumber: s.seq[track],
			Timestamp: uint32(b.now * 9 / 100), SSRC: s.ssrc + uint32(track)}, Payload: payload[:b.PacketBytes]}
		s.seq[track]++
		raw, err := pkt.Marshal()
		if err != nil {
			continue
		}
		s.conn.w = rtsp.AppendFrame(s.conn.w, c, raw)
		b.Counts.Packets++
	}
	if b.Length > 0 && !p.Live && b.now-s.began >= b.Length {
		if bye, err := (&rtcp.Goodbye{Sources: []uint32{s.ssrc}}).Marshal(); err == nil {
			s.conn.w = rtsp.AppendFrame(s.conn.w, s.channels[0]+1, bye)
		}
		s.playing = false
	}
}

var payload = make([]byte, 1<<15)

// tellAll sends notes: each front hears on one of its sessions how full link and uplink are, and what share
// is delivered while it is short, and once more after.
func (b *Box) tellAll() {
	b.timers.Set(nil, b.now+b.NoteAll, b.tellAll)
	share := b.share()
	var notes []rtsp.Field
	if share < 0.98 || b.short {
		notes = append(notes, rtsp.Field{Name: "delivered", Value: num(share)})
	}
	b.short = share < 0.98
	if b.LoadInAnswers {
		notes = append(notes, rtsp.Field{Name: "link", Value: num(b.fill())})
	}
	if b.LoadInAnswers && !b.UplinkUntold {
		notes = append(notes, rtsp.Field{Name: "uplink", Value: num(b.Rack.Fill())})
	}
	if len(notes) == 0 {
		return
	}
	b.timers.Set(nil, b.now+b.NoteDelay+b.Trouble.ReportLag, func() {
		if b.Trouble.Deaf || b.fallen {
			return
		}
		told := map[string]bool{}
		for _, x := range b.conns {
			if told[x.front] {
				continue
			}
			for _, s := range x.sess {
				if s.playing {
					told[x.front] = true
					b.count++
					m := rtsp.Request(rtsp.SetParameter, "*", b.count).With("Session", s.id).With("Content-Type", "text/parameters")
					m.Body = rtsp.AppendParameters(nil, notes...)
					b.send(x, m)
					break
				}
			}
		}
	})
}

// Book is what its link gives and what is asked of it, kB a second; an error if what its sessions ask does not
// add up to that, or its places to its sessions.
func (b *Box) Book() (link, asked float64, err error) {
	sum, n := 0.0, 0
	for _, s := range b.sessions {
		if !s.over {
			sum += s.asks
			n++
		}
	}
	if n != b.Counts.Sessions {
		err = fmt.Errorf("%d sessions, %d places taken", n, b.Counts.Sessions)
	}
	// A live stream's first viewer asks for the whole rate, and it may be another one by now.
	if b.asked < -1e-6 {
		err = fmt.Errorf("%.3f kB a second are asked, its sessions ask for %.3f", b.asked, sum)
	}
	return b.link(), b.asked, err
}

// Orphaned is how many places are taken by sessions whose connection has gone.
func (b *Box) Orphaned() (n int) {
	for _, s := range b.sessions {
		if !s.over && s.conn.gone {
			n++
		}
	}
	return n
}
