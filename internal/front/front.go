// Package front is one session manager without its sockets: the players' dialogues, the dialogues with the
// boxes (media servers), the map between both and the decision module's events and actions, and the relay
// of interleaved RTP and RTCP. It keeps protocol state; every product decision is the module's, and what
// the front decides on its own stands in rules.go.
package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/life"
	"pierlink/internal/quality"
	"pierlink/internal/rtsp"
	"pierlink/internal/tenants"
	"pierlink/session"
)

// Time is a clock value or span in microseconds.
type Time = core.Time

// Track is one media stream of a title.
type Track struct {
	Media, Encoding string // as in SDP: video or audio; H264/90000
	Payload         uint8
}

// Face is how a plan shows on the wire.
type Face struct {
	Name    string
	Abandon Time
	Tracks  []Track
}

// Bounds are what a front may hold.
type Bounds struct {
	Connections, Playbacks int
	Pipelined              int // requests of one connection not answered yet
	PlayerBytes            int // waiting for one connection to take them
}

// Service is what a front is told at its start.
type Service struct {
	Name           string
	Site           session.Site
	Plans          []Face // in the site's order
	Tenants        []string
	Zones, Kinds   []string
	SessionTimeout Time
	Bounds         Bounds
	Secret         []byte      // of the session ids
	Queue          *fair.Terms // of the door; nil asks the module at once
	Limits         fair.Limits
	Silent         bool          // no answer says when to come again
	Journal        Journal       // nil for none
	Gate           *Gate         // who may play what; nil for all
	Quality        *quality.Core // service by rack and title; nil for none
	Told           func(*Story)  // of each playback once it is answered; nil for none
}

// Figures count what happened since the start.
type Figures struct {
	Accepted, Turned                     int64 // connections
	Requests, Malformed, Repeated        int64
	Taken, Plays, Refused, Failed, Left  int64 // playbacks; each taken ends in one of the others
	DoorRefused                          int64 // playbacks refused for want of numbers
	Overdue                              int64 // answered in the module's place
	Tries, Lapsed, LateAnswers, Probes   int64
	Packets, LostVideo, LostAudio        int64
	SlowSenders, Overflowed, SessionsOut int64
	SentOn, Shed                         int64 // told to go elsewhere; refused as the process is late with its work
	Connections, Playbacks, Dialogues    int64 // now
}

// Front is one session manager. It is a core.Core; one goroutine owns it.
type Front struct {
	*Service
	Figures  Figures
	net      core.Net
	log      *zap.Logger
	module   session.Manager
	now      Time
	timers   core.Timers
	again    []func() // events that came of the module's actions
	servers  []box
	byName   map[string]int
	pbs      []*playback
	free     []int
	sessions map[string]*playback
	titles   titles
	lapsed   []*dialogue // oldest first
	dirty    []*peer     // with bytes to send
	buffers  [][]byte    // free
	ids      uint64
	players  map[*peer]struct{}
	closed   bool
	queue    *fair.Queue
	shares   []tenants.Record // that have changed
	records  int64            // of quality
	mac      hash.Hash        // of nonces
	scratch  []byte
	door     *fair.Door
	waiting  map[int]*playback // in the queue, by their number there
	asks     int
	life     *life.Life
	daemon   Daemon
	others   life.Others
	heir     life.Heir
	behind   life.Behind
	orphans  life.Orphans
	checking map[int]*playback // at the gate, by their question
	settled  func()            // none of the orphans is left
	draining bool
	arrived  Time // when what is being taken came in, 0 for now

	orphanTimer *core.Timer

	half []*peer // on which no request has come in whole, oldest first
}

// peer is a connection's state: a player's, or a dialogue's with a box.
type peer struct {
	conn    *core.Conn
	parser  rtsp.Parser
	sink    sink
	out     out
	gone    bool
	heard   Time
	partial Time // since when a message waits for its rest, 0 for none
	idle    *core.Timer

	// a player's
	from     string
	due      []*reply // in the order of the requests
	channels []*leg   // by interleaved channel
	told     [8]int   // CSeqs, plus one, of the latest SETUPs and PLAYs; those told again are not new requests
	tells    int
	rate     fair.Rate // of its requests
	whole    bool      // a request has come in whole
	refused  *refused  // the latest playback that did not play
	pbs      []*playback
	timeout  Time // of its sessions, as they are told
	asks     int  // requests of our own to it

	// a dialogue's
	dialogue *dialogue
}

// refused is what a playback that does not play was told, for those of its SETUPs that are still on the way.
type refused struct {
	base   string
	name   string
	tracks uint64
	answer *rtsp.Message
}

// reply is an answer that is due.
type reply struct {
	cseq  int
	text  []byte
	ready bool
}

// titles hands out small numbers for the titles in use.
type titles struct {
	known map[string]Title // as listed
	ids   map[string]int
	uses  []int
	names []string
	free  []int
}

// New makes a front. The module is made for the service's site with a seed.
func New(s *Service, module session.Manager, n core.Net, log *zap.Logger, now Time) *Front {
	f := &Front{Service: s, net: n, log: log, module: module, now: now, byName: map[string]int{},
		sessions: map[string]*playback{}, titles: titles{ids: map[string]int{}}, players: map[*peer]struct{}{},
		waiting: map[int]*playback{}, checking: map[int]*playback{}}
	f.behind.Startup = startup(s.Site.Plans)
	f.others.Seed = xxhash.Sum64(s.Secret)
	f.door = fair.NewDoor(s.Limits, xxhash.Sum64(s.Secret), now)
	if s.Queue != nil {
		f.queue = fair.New(*s.Queue, now)
	}
	return f
}

// At begins a turn.
func (f *Front) At(now Time) {
	f.now = now
	f.module.At(now)
	f.behind.Turn(now, now-min(f.timers.Next(), now))
	if f.Gate != nil {
		f.Gate.Core.At(now)
	}
	if f.Quality != nil {
		f.Quality.At(now)
	}
	if f.queue != nil {
		f.queue.At(now)
		f.queue.Behind(now - min(f.timers.Next(), now))
	}
	f.timers.Run(now)
}

// Accepted takes a player's connection.
func (f *Front) Accepted(c *core.Conn, from string) {
	full := int(f.Figures.Connections) >= f.Bounds.Connections
	if full {
		f.door.Turn(fair.TooManyConnections)
	}
	if f.closed || full || !f.door.Connect(host(from), f.now) {
		f.Figures.Turned++
		f.net.Close(c)
		return
	}
	f.halfOpen()
	f.Figures.Accepted++
	f.Figures.Connections++
	p := &peer{conn: c, from: from, heard: f.now, timeout: f.SessionTimeout, parser: rtsp.Parser{Bounds: rtsp.Usual}}
	p.sink = sink{f, p}
	c.Owner = p
	f.players[p] = struct{}{}
	f.half = append(f.half, p)
	f.watch(p)
}

// host is the address without the port.
func host(from string) string {
	if h, _, err := net.SplitHostPort(from); err == nil {
		return h
	}
	return from
}

// halfOpen makes room for a connection on which no request has come yet: the oldest of them goes.
func (f *Front) halfOpen() {
	live := f.half[:0]
	for _, p := range f.half {
		if !p.gone && !p.whole {
			live = append(live, p)
		}
	}
	clear(f.half[len(live):])
	f.half = live
	if n := f.Limits.HalfOpen; n > 0 && len(f.half) >= n {
		f.door.Turn(fair.HalfOpenTooLong)
		f.drop(f.half[0])
	}
}

// Received takes bytes of a connection.
func (f *Front) Received(c *core.Conn, b []byte) {
	p, ok := c.Owner.(*peer)
	if !ok || p.gone {
		return
	}
	p.heard = f.now
	var err error
	if p.dialogue != nil {
		err = p.parser.Feed(b, (*boxSink)(&p.sink))
	} else {
		err = p.parser.Feed(b, (*playerSink)(&p.sink))
	}
	if !p.parser.Waiting() {
		p.partial = 0
	} else if p.partial == 0 {
		if p.partial = f.now; p.dialogue == nil && !p.gone {
			f.watch(p)
		}
	}
	if err == nil || p.gone {
		return
	}
	bad := err.(*rtsp.Malformed)
	f.Figures.Malformed++
	f.log.Info("connection ended: cannot be read on", zap.String("peer", p.from), zap.String("what", bad.What))
	if p.dialogue != nil {
		f.lost(p.dialogue, session.Failed)
		return
	}
	f.door.Turn(fair.HeaderFlood)
	if bad.Request {
		f.fill(p, f.owe(p, bad.CSeq), rtsp.Answer(bad.Status, bad.CSeq))
	}
	f.drop(p)
}

// sink takes what a peer's parser finds.
type sink struct {
	f *Front
	p *peer
}

// Drained tells that the network has taken all that was sent.
func (f *Front) Drained(c *core.Conn) {
	if p, ok := c.Owner.(*peer); ok && !p.gone && len(p.out.buf) > 0 {
		f.touch(p)
	}
}

// Closed tells that a connection has ended.
func (f *Front) Closed(c *core.Conn, err error) {
	p, ok := c.Owner.(*peer)
	if !ok || p.gone {
		return
	}
	if p.dialogue != nil {
		f.lost(p.dialogue, session.Reset)
		return
	}
	f.dropped(p)
}

// Settle ends a turn: what the module wants is carried out, and what waits goes out.
func (f *Front) Settle() Time {
	next := core.Never
	for {
		gate := core.Never
		if f.Gate != nil {
			gate = f.Gate.Core.Settle(f.Gate.Ask, f.admitted, func(r tenants.Record) { f.shares = append(f.shares, r) })
			gate = min(gate, f.share())
		}
		if f.queue != nil {
			f.queue.Carrying(int(f.Figures.Playbacks))
			next = f.queue.Settle(f.decided)
		}
		next = min(next, gate, f.live())
		if f.Quality != nil {
			next = min(next, f.settleQuality())
		}
		f.module.Settle((*actions)(f))
		if len(f.again) == 0 && next > f.now {
			break
		}
		for i := 0; i < len(f.again); i++ {
			f.again[i]()
		}
		f.again = f.again[:0]
	}
	for i := 0; i < len(f.dirty); i++ {
		p := f.dirty[i]
		f.dirty[i] = nil
		p.out.dirty = false
		f.flush(p)
	}
	f.dirty = f.dirty[:0]
	return min(next, f.timers.Next())
}

// Came tells when what is taken next has come in.
func (f *Front) Came(at Time) { f.arrived = min(at, f.now) }

// Turned tells how long the last turn took, by the edge's clock, and what it took had waited before.
func (f *Front) Turned(waited, took Time) {
	f.arrived = 0
	f.behind.Turn(f.now+took, waited+took)
	if f.queue != nil {
		f.queue.Turned(took)
	}
}

// Tell gives the queue and the door new terms while requests wait.
func (f *Front) Tell(t *fair.Terms, l fair.Limits) {
	f.Limits, f.door.Limits = l, l
	if f.queue != nil && t != nil {
		f.queue.Tell(*t)
	}
}

// Door is the queue, nil without one, and what was turned away before it.
func (f *Front) Door() (*fair.Queue, *fair.Door) { return f.queue, f.door }

// Stop answers what is owed and ends all dialogues; nothing is taken afterwards.
func (f *Front) Stop() {
	f.closed = true
	for i := range f.servers {
		if d := f.servers[i].control; d != nil {
			f.hangUp(d)
		}
	}
	for _, pb := range append([]*playback(nil), f.pbs...) {
		if pb != nil {
			f.finish(pb, session.Cancelled)
		}
	}
	for p := range f.players {
		f.flush(p)
		f.drop(p)
	}
}

// watch closes a player's connection that is silent for too long, or too slow with a message.
func (f *Front) watch(p *peer) {
	at := f.now + p.timeout
	if len(p.due) == 0 {
		at = p.heard + p.timeout
	}
	if p.partial > 0 {
		at = min(at, p.partial+p.timeout/slowPart)
	}
	p.idle = f.timers.Set(p.idle, max(at, f.now+p.timeout/slowPart), func() {
		slow := p.partial > 0 && f.now-p.partial >= p.timeout/slowPart
		if !slow && (f.now-p.heard < p.timeout || len(p.due) > 0) {
			f.watch(p)
			return
		}
		if slow {
			f.door.Turn(fair.SlowSender)
			f.Figures.SlowSenders++
			f.fill(p, f.owe(p, -1), rtsp.Answer(rtsp.StatusRequestTimeout, -1))
		} else {
			f.Figures.SessionsOut++
		}
		f.log.Info("connection ended", zap.String("peer", p.from), zap.Bool("slow sender", slow))
		f.drop(p)
	})
}

// drop ends a player's connection from this side.
func (f *Front) drop(p *peer) {
	if p.gone {
		return
	}
	f.flush(p)
	f.net.Close(p.conn)
	f.dropped(p)
}

// dropped forgets a player's connection and ends its playbacks.
func (f *Front) dropped(p *peer) {
	if p.gone {
		return
	}
	p.gone = true
	p.parser.Stop()
	f.timers.Stop(p.idle)
	f.Figures.Connections--
	delete(f.players, p)
	for len(p.pbs) > 0 {
		f.finish(p.pbs[len(p.pbs)-1], session.Cancelled)
	}
	f.release(p)
	p.due, p.channels = nil, nil
}

// id is a name that cannot be guessed: of a session, or of a request that came without one.
func (f *Front) id() string {
	f.ids++
	h := hmac.New(sha256.New, f.Secret)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], f.ids)
	h.Write(b[:])
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// take gives a title its number.
func (t *titles) take(name string) (int, uint64) {
	i, ok := t.ids[name]
	if !ok {
		if n := len(t.free); n > 0 {
			i, t.free = t.free[n-1], t.free[:n-1]
		} else {
			i = len(t.uses)
			t.uses, t.names = append(t.uses, 0), append(t.names, "")
		}
		t.ids[name], t.names[i] = i, name
	}
	t.uses[i]++
	return i, xxhash.Sum64String(name)
}

func (t *titles) release(i int) {
	if t.uses[i]--; t.uses[i] == 0 {
		delete(t.ids, t.names[i])
		t.names[i] = ""
		t.free = append(t.free, i)
	}
}

// actions carries out what the module wants.
type actions Front

func (a *actions) f() *Front { return (*Front)(a) }

func (a *actions) SetRung(pb, rung int) { a.f().setRung(a.pbs[pb], rung) }
func (a *actions) Try(pb, server int, limit Time) {
	f := a.f()
	if p := f.pbs[pb]; f.queue != nil && !p.answered && p.tries == 0 {
		f.queue.Accepted()
	}
	f.try(f.pbs[pb], server, limit)
}
func (a *actions) Reject(pb int, comeAgain Time) {
	f, p := a.f(), a.pbs[pb]
	if p.answered { // it is under a session that plays already: a move that found no place
		f.ended(p)
		return
	}
	f.Figures.Refused++
	plan := &f.Site.Plans[p.ask.plan]
	if f.queue == nil {
		f.answer(p, refusal(comeAgain))
		return
	}
	if plan.Seats == 0 { // otherwise it may be for want of seats
		f.queue.Rejected()
	}
	after, token := f.queue.Refuse(p.ask.standing, host(p.player.from))
	f.answer(p, refusal(after).With("Come-Again", token))
}
func (a *actions) Abort(pb int) {
	f, p := a.f(), a.pbs[pb]
	if p.answered {
		f.ended(p)
		return
	}
	f.Figures.Failed++
	f.answer(p, rtsp.Answer(rtsp.StatusInternal, 0))
}
func (a *actions) Move(pb int) {
	f, p := a.f(), a.pbs[pb]
	f.again = append(f.again, func() { f.move(p) })
}
func (a *actions) Probe(server int) { a.f().probe(server) }
func (a *actions) Watch()           {} // the list is pushed
func (a *actions) Wake(at Time, token uint64) {
	f := a.f()
	f.timers.Set(nil, max(at, f.now+1), func() { f.module.Woken(token) })
}
func (a *actions) Forget(pb int) {
	f, p := a.f(), a.pbs[pb]
	f.pbs[pb] = nil
	f.free = append(f.free, pb)
	f.titles.release(p.request.Title)
	f.Figures.Playbacks--
	if p.again {
		f.again = append(f.again, func() { f.request(p) })
	}
}

// refusal is an answer that says when to come back, in whole seconds (RFC 2326 section 12.31).
func refusal(comeAgain Time) *rtsp.Message {
	if comeAgain <= 0 {
		return rtsp.Answer(rtsp.StatusNotEnoughBandwidth, 0)
	}
	s := (comeAgain + core.Second - 1) / core.Second
	return rtsp.Answer(rtsp.StatusUnavailable, 0).With("Retry-After", strconv.FormatInt(s, 10))
}
