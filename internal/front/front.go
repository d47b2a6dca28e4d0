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
	Figures        Figures
	network        core.Net
	log            *zap.Logger
	module         session.Manager
	now            Time
	timers         core.Timers
	deferred       []func() // events that came of the module's actions
	boxes          []boxEntry
	boxIndex       map[string]int
	playbacks      []*playback
	freeIDs        []int
	sessions       map[string]*playback
	titles         titleTable
	lapsedTries    []*serverDialogue // oldest first
	unflushed      []*peerConn       // with bytes to send
	freeBuffers    [][]byte          // free
	lastID         uint64
	players        map[*peerConn]struct{}
	stopped        bool
	queue          *fair.Queue
	changedShares  []tenants.Record // that have changed
	qualityRecords int64            // of quality
	nonceMAC       hash.Hash        // of nonces
	scratch        []byte
	limiter        *fair.Door
	waiting        map[int]*playback // in the queue, by their number there
	lastQueueID    int
	lifecycle      *life.Life
	process        Process
	otherManagers  life.Others
	handover       life.Heir
	lag            life.Behind
	orphans        life.Orphans
	authorizing    map[int]*playback // at the gate, by their question
	orphansEnded   func()            // none of the orphans is left
	draining       bool
	arrivedAt      Time // when what is being taken came in, 0 for now

	orphanTimer *core.Timer

	halfOpen []*peerConn // on which no request has come in whole, oldest first
}

// peer is a connection's state: a player's, or a dialogue's with a box.
type peerConn struct {
	conn         *core.Conn
	parser       rtsp.Parser
	sink         sink
	output       outputQueue
	closed       bool
	lastReceived Time
	partialSince Time // since when a message waits for its rest, 0 for none
	idleTimer    *core.Timer

	// a player's
	address         string
	pendingReplies  []*pendingReply // in the order of the requests
	channels        []*trackBinding // by interleaved channel
	recentCSeqs     [8]int          // CSeqs, plus one, of the latest SETUPs and PLAYs; those told again are not new requests
	recentCount     int
	requestRate     fair.Rate        // of its requests
	requestReceived bool             // a request has come in whole
	lastRefused     *refusedPlayback // the latest playback that did not play
	playbacks       []*playback
	sessionTimeout  Time // of its sessions, as they are told
	lastCSeq        int  // requests of our own to it

	// a dialogue's
	dialogue *serverDialogue
}

// refused is what a playback that does not play was told, for those of its SETUPs that are still on the way.
type refusedPlayback struct {
	baseURL   string
	requestID string
	tracks    uint64
	response  *rtsp.Message
}

// reply is an answer that is due.
type pendingReply struct {
	cseq    int
	encoded []byte
	ready   bool
}

// titles hands out small numbers for the titles in use.
type titleTable struct {
	catalogue map[string]Title // as listed
	ids       map[string]int
	refCounts []int
	names     []string
	freeIDs   []int
}

// New makes a front. The module is made for the service's site with a seed.
func New(config *Service, module session.Manager, network core.Net, log *zap.Logger, now Time) *Front {
	f := &Front{Service: config, network: network, log: log, module: module, now: now, boxIndex: map[string]int{},
		sessions: map[string]*playback{}, titles: titleTable{ids: map[string]int{}}, players: map[*peerConn]struct{}{},
		waiting: map[int]*playback{}, authorizing: map[int]*playback{}}
	f.lag.Startup = shortestStartupTarget(config.Site.Plans)
	f.otherManagers.Seed = xxhash.Sum64(config.Secret)
	f.limiter = fair.NewDoor(config.Limits, xxhash.Sum64(config.Secret), now)
	if config.Queue != nil {
		f.queue = fair.New(*config.Queue, now)
	}
	return f
}

// At begins a turn.
func (f *Front) At(now Time) {
	f.now = now
	f.module.At(now)
	f.lag.Turn(now, now-min(f.timers.Next(), now))
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
func (f *Front) Accepted(c *core.Conn, address string) {
	full := int(f.Figures.Connections) >= f.Bounds.Connections
	if full {
		f.limiter.Turn(fair.TooManyConnections)
	}
	if f.stopped || full || !f.limiter.Connect(hostOf(address), f.now) {
		f.Figures.Turned++
		f.network.Close(c)
		return
	}
	f.evictHalfOpen()
	f.Figures.Accepted++
	f.Figures.Connections++
	peer := &peerConn{conn: c, address: address, lastReceived: f.now, sessionTimeout: f.SessionTimeout, parser: rtsp.Parser{Bounds: rtsp.Usual}}
	peer.sink = sink{f, peer}
	c.Owner = peer
	f.players[peer] = struct{}{}
	f.halfOpen = append(f.halfOpen, peer)
	f.armIdleTimer(peer)
}

// hostOf is the address without the port.
func hostOf(address string) string {
	if h, _, err := net.SplitHostPort(address); err == nil {
		return h
	}
	return address
}

// halfOpen makes room for a connection on which no request has come yet: the oldest of them goes.
func (f *Front) evictHalfOpen() {
	live := f.halfOpen[:0]
	for _, peer := range f.halfOpen {
		if !peer.closed && !peer.requestReceived {
			live = append(live, peer)
		}
	}
	clear(f.halfOpen[len(live):])
	f.halfOpen = live
	if n := f.Limits.HalfOpen; n > 0 && len(f.halfOpen) >= n {
		f.limiter.Turn(fair.HalfOpenTooLong)
		f.closePlayer(f.halfOpen[0])
	}
}

// Received takes bytes of a connection.
func (f *Front) Received(c *core.Conn, b []byte) {
	peer, ok := c.Owner.(*peerConn)
	if !ok || peer.closed {
		return
	}
	peer.lastReceived = f.now
	var err error
	if peer.dialogue != nil {
		err = peer.parser.Feed(b, (*boxSink)(&peer.sink))
	} else {
		err = peer.parser.Feed(b, (*playerSink)(&peer.sink))
	}
	if !peer.parser.Waiting() {
		peer.partialSince = 0
	} else if peer.partialSince == 0 {
		if peer.partialSince = f.now; peer.dialogue == nil && !peer.closed {
			f.armIdleTimer(peer)
		}
	}
	if err == nil || peer.closed {
		return
	}
	bad := err.(*rtsp.Malformed)
	f.Figures.Malformed++
	f.log.Info("connection ended: cannot be read on", zap.String("peer", peer.address), zap.String("what", bad.Problem))
	if peer.dialogue != nil {
		f.dialogueLost(peer.dialogue, session.Failed)
		return
	}
	f.limiter.Turn(fair.HeaderFlood)
	if bad.Request {
		f.completeReply(peer, f.reserveReply(peer, bad.CSeq), rtsp.Answer(bad.Status, bad.CSeq))
	}
	f.closePlayer(peer)
}

// sink takes what a peer's parser finds.
type sink struct {
	f *Front
	p *peerConn
}

// Drained tells that the network has taken all that was sent.
func (f *Front) Drained(c *core.Conn) {
	if peer, ok := c.Owner.(*peerConn); ok && !peer.closed && len(peer.output.buf) > 0 {
		f.markUnflushed(peer)
	}
}

// Closed tells that a connection has ended.
func (f *Front) Closed(c *core.Conn, err error) {
	peer, ok := c.Owner.(*peerConn)
	if !ok || peer.closed {
		return
	}
	if peer.dialogue != nil {
		f.dialogueLost(peer.dialogue, session.Reset)
		return
	}
	f.playerClosed(peer)
}

// Settle ends a turn: what the module wants is carried out, and what waits goes out.
func (f *Front) Settle() Time {
	next := core.Never
	for {
		accessNext := core.Never
		if f.Gate != nil {
			accessNext = f.Gate.Core.Settle(f.Gate.Ask, f.authorized, func(record tenants.Record) { f.changedShares = append(f.changedShares, record) })
			accessNext = min(accessNext, f.applyShares())
		}
		if f.queue != nil {
			f.queue.Carrying(int(f.Figures.Playbacks))
			next = f.queue.Settle(f.queueDecided)
		}
		next = min(next, accessNext, f.settleLifecycle())
		if f.Quality != nil {
			next = min(next, f.settleQuality())
		}
		f.module.Settle((*actions)(f))
		if len(f.deferred) == 0 && next > f.now {
			break
		}
		for i := 0; i < len(f.deferred); i++ {
			f.deferred[i]()
		}
		f.deferred = f.deferred[:0]
	}
	for i := 0; i < len(f.unflushed); i++ {
		peer := f.unflushed[i]
		f.unflushed[i] = nil
		peer.output.flushPending = false
		f.flush(peer)
	}
	f.unflushed = f.unflushed[:0]
	return min(next, f.timers.Next())
}

// Came tells when what is taken next has come in.
func (f *Front) Came(at Time) { f.arrivedAt = min(at, f.now) }

// Turned tells how long the last turn took, by the edge's clock, and what it took had waited before.
func (f *Front) Turned(waited, took Time) {
	f.arrivedAt = 0
	f.lag.Turn(f.now+took, waited+took)
	if f.queue != nil {
		f.queue.Turned(took)
	}
}

// Tell gives the queue and the door new terms while requests wait.
func (f *Front) Tell(terms *fair.Terms, limits fair.Limits) {
	f.Limits, f.limiter.Limits = limits, limits
	if f.queue != nil && terms != nil {
		f.queue.Tell(*terms)
	}
}

// Door is the queue, nil without one, and what was turned away before it.
func (f *Front) Door() (*fair.Queue, *fair.Door) { return f.queue, f.limiter }

// Stop answers what is owed and ends all dialogues; nothing is taken afterwards.
func (f *Front) Stop() {
	f.stopped = true
	for i := range f.boxes {
		if dialogue := f.boxes[i].controlDialogue; dialogue != nil {
			f.closeDialogue(dialogue)
		}
	}
	for _, pb := range append([]*playback(nil), f.playbacks...) {
		if pb != nil {
			f.finish(pb, session.Cancelled)
		}
	}
	for peer := range f.players {
		f.flush(peer)
		f.closePlayer(peer)
	}
}

// watch closes a player's connection that is silent for too long, or too slow with a message.
func (f *Front) armIdleTimer(peer *peerConn) {
	deadline := f.now + peer.sessionTimeout
	if len(peer.pendingReplies) == 0 {
		deadline = peer.lastReceived + peer.sessionTimeout
	}
	if peer.partialSince > 0 {
		deadline = min(deadline, peer.partialSince+peer.sessionTimeout/partialTimeoutDivisor)
	}
	peer.idleTimer = f.timers.Set(peer.idleTimer, max(deadline, f.now+peer.sessionTimeout/partialTimeoutDivisor), func() {
		slow := peer.partialSince > 0 && f.now-peer.partialSince >= peer.sessionTimeout/partialTimeoutDivisor
		if !slow && (f.now-peer.lastReceived < peer.sessionTimeout || len(peer.pendingReplies) > 0) {
			f.armIdleTimer(peer)
			return
		}
		if slow {
			f.limiter.Turn(fair.SlowSender)
			f.Figures.SlowSenders++
			f.completeReply(peer, f.reserveReply(peer, -1), rtsp.Answer(rtsp.StatusRequestTimeout, -1))
		} else {
			f.Figures.SessionsOut++
		}
		f.log.Info("connection ended", zap.String("peer", peer.address), zap.Bool("slow sender", slow))
		f.closePlayer(peer)
	})
}

// drop ends a player's connection from this side.
func (f *Front) closePlayer(peer *peerConn) {
	if peer.closed {
		return
	}
	f.flush(peer)
	f.network.Close(peer.conn)
	f.playerClosed(peer)
}

// dropped forgets a player's connection and ends its playbacks.
func (f *Front) playerClosed(peer *peerConn) {
	if peer.closed {
		return
	}
	peer.closed = true
	peer.parser.Stop()
	f.timers.Stop(peer.idleTimer)
	f.Figures.Connections--
	delete(f.players, peer)
	for len(peer.playbacks) > 0 {
		f.finish(peer.playbacks[len(peer.playbacks)-1], session.Cancelled)
	}
	f.releaseBuffer(peer)
	peer.pendingReplies, peer.channels = nil, nil
}

// id is a name that cannot be guessed: of a session, or of a request that came without one.
func (f *Front) newID() string {
	f.lastID++
	h := hmac.New(sha256.New, f.Secret)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], f.lastID)
	h.Write(b[:])
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// take gives a title its number.
func (t *titleTable) acquire(name string) (int, uint64) {
	i, ok := t.ids[name]
	if !ok {
		if n := len(t.freeIDs); n > 0 {
			i, t.freeIDs = t.freeIDs[n-1], t.freeIDs[:n-1]
		} else {
			i = len(t.refCounts)
			t.refCounts, t.names = append(t.refCounts, 0), append(t.names, "")
		}
		t.ids[name], t.names[i] = i, name
	}
	t.refCounts[i]++
	return i, xxhash.Sum64String(name)
}

func (t *titleTable) release(i int) {
	if t.refCounts[i]--; t.refCounts[i] == 0 {
		delete(t.ids, t.names[i])
		t.names[i] = ""
		t.freeIDs = append(t.freeIDs, i)
	}
}

// actions carries out what the module wants.
type actions Front

func (a *actions) front() *Front { return (*Front)(a) }

func (a *actions) SetRung(id, rung int) { a.front().setRung(a.playbacks[id], rung) }
func (a *actions) Try(id, server int, limit Time) {
	front := a.front()
	if pb := front.playbacks[id]; front.queue != nil && !pb.answered && pb.tries == 0 {
		front.queue.Accepted()
	}
	front.startTry(front.playbacks[id], server, limit)
}
func (a *actions) Reject(id int, retryAfter Time) {
	front, pb := a.front(), a.playbacks[id]
	if pb.answered { // it is under a session that plays already: a move that found no place
		front.endPlayback(pb)
		return
	}
	front.Figures.Refused++
	plan := &front.Site.Plans[pb.target.plan]
	if front.queue == nil {
		front.reject(pb, retryLaterResponse(retryAfter))
		return
	}
	if plan.Seats == 0 { // otherwise it may be for want of seats
		front.queue.Rejected()
	}
	retryAfterAdvice, token := front.queue.Refuse(pb.target.queueTenant, hostOf(pb.player.address))
	front.reject(pb, retryLaterResponse(retryAfterAdvice).With("Come-Again", token))
}
func (a *actions) Abort(id int) {
	front, pb := a.front(), a.playbacks[id]
	if pb.answered {
		front.endPlayback(pb)
		return
	}
	front.Figures.Failed++
	front.reject(pb, rtsp.Answer(rtsp.StatusInternal, 0))
}
func (a *actions) Move(id int) {
	front, pb := a.front(), a.playbacks[id]
	front.deferred = append(front.deferred, func() { front.move(pb) })
}
func (a *actions) Probe(server int) { a.front().probe(server) }
func (a *actions) Watch()           {} // the list is pushed
func (a *actions) Wake(at Time, token uint64) {
	front := a.front()
	front.timers.Set(nil, max(at, front.now+1), func() { front.module.Woken(token) })
}
func (a *actions) Forget(id int) {
	front, pb := a.front(), a.playbacks[id]
	front.playbacks[id] = nil
	front.freeIDs = append(front.freeIDs, id)
	front.titles.release(pb.request.Title)
	front.Figures.Playbacks--
	if pb.moving {
		front.deferred = append(front.deferred, func() { front.requestPlacement(pb) })
	}
}

// retryLaterResponse is an answer that says when to come back, in whole seconds (RFC 2326 section 12.31).
func retryLaterResponse(retryAfter Time) *rtsp.Message {
	if retryAfter <= 0 {
		return rtsp.Answer(rtsp.StatusNotEnoughBandwidth, 0)
	}
	seconds := (retryAfter + core.Second - 1) / core.Second
	return rtsp.Answer(rtsp.StatusUnavailable, 0).With("Retry-After", strconv.FormatInt(seconds, 10))
}
