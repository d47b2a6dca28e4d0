// Package front implements one session manager without its sockets: the RTSP connections of players, the
// dialogues with boxes (media servers), the mapping of both to the events and actions of the decision module,
// and the relay of interleaved RTP and RTCP. It holds protocol state; product decisions are made by the
// module, and the few that the front makes itself are in rules.go.
package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net"
	"slices"
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

// Time is a point in time or a duration, in microseconds.
type Time = core.Time

// Track is one media stream of a title.
type Track struct {
	Media, Encoding string // as in SDP: video or audio; for example H264/90000
	Payload         uint8  // RTP payload type
}

// PlanProfile describes a plan as players see it: its name in URLs, its abandon time and its tracks.
type PlanProfile struct {
	Name    string
	Abandon Time // time after which a player gives up waiting for the SETUP response
	Tracks  []Track
}

// Bounds limits the resources that a front may use.
type Bounds struct {
	Connections, Playbacks int
	Pipelined              int // unanswered requests per connection
	PlayerBytes            int // bytes queued for sending per connection
}

// Config is the configuration of a front.
type Config struct {
	Name           string
	Site           session.Site
	Plans          []PlanProfile // in the order of Site.Plans
	Tenants        []string
	Zones, Kinds   []string
	SessionTimeout Time
	Bounds         Bounds
	Secret         []byte       // key for session ids and nonces
	Queue          *fair.Config // terms of the admission queue; nil passes requests to the module at once
	Limits         fair.Limits
	OmitRetryAfter bool                 // refusals carry no Retry-After advice
	Journal        Journal              // nil disables the journal
	Access         *AccessControl       // access control; nil allows all playbacks
	Quality        *quality.Collector   // service quality by rack and title; nil disables it
	OnAnswered     func(*PlaybackTrace) // called for each playback once it is answered; may be nil
}

// Stats counts events since the start; its last line holds current values.
type Stats struct {
	Accepted, Turned                     int64 // connections accepted, turned away
	Requests, Malformed, Repeated        int64
	Taken, Plays, Refused, Failed, Left  int64 // playbacks; each one taken is counted in one of the others too
	DoorRefused                          int64 // playbacks refused before they are taken: at a limit, in a drain or too late
	Overdue                              int64 // playbacks answered by the front because the module did not decide in time
	Tries, Lapsed, LateAnswers, Probes   int64
	Packets, LostVideo, LostAudio        int64
	SlowSenders, Overflowed, SessionsOut int64
	SentOn, Shed                         int64 // sessions redirected; requests refused because the process is behind with its work
	Connections, Playbacks, Dialogues    int64 // current numbers
}

// Front is one session manager. It implements core.Core and is owned by one goroutine.
type Front struct {
	*Config
	Figures        Stats
	network        core.Net
	log            *zap.Logger
	module         session.Manager
	now            Time
	timers         core.Timers
	deferred       []func() // events caused by the module's actions; run after them
	boxes          []boxEntry
	boxIndex       map[string]int // by name
	playbacks      []*playback    // by the module's playback id; nil where the id is free
	freeIDs        []int
	sessions       map[string]*playback
	titles         titleTable
	lapsedTries    []*serverDialogue // in stateLapsed, oldest first
	unflushed      []*peerConn       // with bytes to send
	freeBuffers    [][]byte
	lastID         uint64
	players        map[*peerConn]struct{}
	stopped        bool
	queue          *fair.Queue
	changedShares  []tenants.Record // tenants whose shares changed in this turn
	qualityRecords int64            // number of quality records begun
	nonceMAC       hash.Hash
	scratch        []byte
	limiter        *fair.Limiter
	waiting        map[int]*playback // in the admission queue, by queueID
	lastQueueID    int
	lifecycle      *life.Lifecycle
	process        Process
	otherManagers  life.Peers
	handover       life.Successor
	lag            life.LagMonitor
	orphans        life.Orphans
	authorizing    map[int]*playback // waiting for access control, by authorizationID
	orphansEnded   func()            // called once no orphan is left
	draining       bool
	arrivedAt      Time // arrival of the event being handled, 0 for now

	orphanTimer *core.Timer

	halfOpen []*peerConn // player connections without a complete request yet, oldest first
}

// peerConn is the state of a connection to a player or of a dialogue with a box.
type peerConn struct {
	conn         *core.Conn
	parser       rtsp.Parser
	sink         sink
	output       outputQueue
	closed       bool
	left         bool // the player has closed it; what it had sent is still being read
	lastReceived Time
	partialSince Time // when the incomplete message began, 0 for none
	idleTimer    *core.Timer

	// Of a player, except that a dialogue has the box's name as its address.
	address         string
	pendingReplies  []*pendingReply // in the order of the requests
	channels        []*trackBinding // by interleaved channel
	recentCSeqs     [8]int          // ring of the latest SETUP and PLAY CSeqs, plus one, to detect repeated requests
	recentCount     int             // number of CSeqs written to the ring so far
	requestRate     fair.RequestBucket
	requestReceived bool             // a complete request has arrived
	lastRefused     *refusedPlayback // the latest playback that did not play
	playbacks       []*playback
	sessionTimeout  Time // as announced in the Session headers
	lastCSeq        int  // of the front's own requests to the player

	dialogue *serverDialogue // nil for a player
}

// refusedPlayback keeps the response to a playback that does not play, for those of its SETUPs that are still
// on their way.
type refusedPlayback struct {
	baseURL   string
	requestID string
	tracks    uint64 // bit set of the tracks answered so far
	response  *rtsp.Message
}

// pendingReply is the place of a response among those of its connection.
type pendingReply struct {
	cseq    int
	encoded []byte // set once ready
	ready   bool
}

// titleTable assigns small ids to the titles in use.
type titleTable struct {
	catalogue map[string]Title // nil if titles are not listed
	ids       map[string]int
	refCounts []int
	names     []string
	freeIDs   []int
}

// New returns a front. The module must have been created for the site of the same configuration.
func New(config *Config, module session.Manager, network core.Net, log *zap.Logger, now Time) *Front {
	f := &Front{Config: config, network: network, log: log, module: module, now: now, boxIndex: map[string]int{},
		sessions: map[string]*playback{}, titles: titleTable{ids: map[string]int{}}, players: map[*peerConn]struct{}{},
		waiting: map[int]*playback{}, authorizing: map[int]*playback{}}
	f.lag.StartupTarget = shortestStartupTarget(config.Site.Plans)
	f.otherManagers.Seed = xxhash.Sum64(config.Secret)
	f.limiter = fair.NewLimiter(config.Limits, xxhash.Sum64(config.Secret), now)
	if config.Queue != nil {
		f.queue = fair.New(*config.Queue, now)
	}
	return f
}

// BeginTurn begins a turn, or goes on with a late one: it sets the clock.
func (f *Front) BeginTurn(now Time) {
	f.now = now
	f.module.BeginTurn(now)
	f.lag.Record(now, now-min(f.timers.Next(), now))
	if f.Access != nil {
		f.Access.Core.SetTime(now)
	}
	if f.Quality != nil {
		f.Quality.Advance(now)
	}
	if f.queue != nil {
		f.queue.Advance(now)
		f.queue.SetLag(now - min(f.timers.Next(), now))
	}
}

// Accepted handles a new connection from a player.
func (f *Front) Accepted(c *core.Conn, address string) {
	full := int(f.Figures.Connections) >= f.Bounds.Connections
	if full {
		f.limiter.CountRefusal(fair.TooManyConnections)
	}
	if f.stopped || full || !f.limiter.AllowConnection(hostOf(address), f.now) {
		f.Figures.Turned++
		f.network.Close(c)
		return
	}
	f.evictHalfOpen()
	f.Figures.Accepted++
	f.Figures.Connections++
	peer := &peerConn{conn: c, address: address, lastReceived: f.now, sessionTimeout: f.SessionTimeout, parser: rtsp.Parser{Bounds: rtsp.DefaultBounds}}
	peer.sink = sink{f, peer}
	c.Owner = peer
	f.players[peer] = struct{}{}
	f.halfOpen = append(f.halfOpen, peer)
	f.armIdleTimer(peer)
}

// hostOf returns the address without the port.
func hostOf(address string) string {
	if h, _, err := net.SplitHostPort(address); err == nil {
		return h
	}
	return address
}

// evictHalfOpen makes room for a new connection: at the limit of connections without a complete request, it
// closes the oldest of them.
func (f *Front) evictHalfOpen() {
	live := f.halfOpen[:0]
	for _, peer := range f.halfOpen {
		if !peer.closed && !peer.requestReceived {
			live = append(live, peer)
		}
	}
	clear(f.halfOpen[len(live):])
	f.halfOpen = live
	if n := f.Limits.MaxHalfOpen; n > 0 && len(f.halfOpen) >= n {
		f.limiter.CountRefusal(fair.HalfOpenTimeout)
		f.closePlayer(f.halfOpen[0])
	}
}

// Received handles bytes read from a connection.
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
	if !peer.parser.Incomplete() {
		peer.partialSince = 0
	} else if peer.partialSince == 0 {
		if peer.partialSince = f.now; peer.dialogue == nil && !peer.closed {
			f.armIdleTimer(peer)
		}
	}
	if err == nil || peer.closed {
		return
	}
	bad := err.(*rtsp.MalformedError)
	f.Figures.Malformed++
	f.log.Info("closing connection: malformed message without a known end", zap.String("peer", peer.address), zap.String("what", bad.Problem))
	if peer.dialogue != nil {
		f.dialogueLost(peer.dialogue, session.Failed)
		return
	}
	f.limiter.CountRefusal(fair.HeaderFlood)
	if bad.Request {
		f.completeReply(peer, f.reserveReply(peer, bad.CSeq), rtsp.NewResponse(bad.Status, bad.CSeq))
	}
	f.closePlayer(peer)
}

// sink receives the messages and frames that a connection's parser finds.
type sink struct {
	front *Front
	peer  *peerConn
}

// Drained handles that the network has no unsent bytes of a connection any more.
func (f *Front) Drained(c *core.Conn) {
	if peer, ok := c.Owner.(*peerConn); ok && !peer.closed && len(peer.output.buf) > 0 {
		f.markUnflushed(peer)
	}
}

// PeerClosed handles that a player has closed a connection of which bytes are still to be read: its requests that wait are
// withdrawn, and no new playback is begun. What it reports of others still counts.
func (f *Front) PeerClosed(c *core.Conn) {
	peer, ok := c.Owner.(*peerConn)
	if !ok || peer.closed || peer.dialogue != nil {
		return
	}
	peer.left = true
	for _, pb := range slices.Clone(peer.playbacks) {
		if !pb.answered {
			f.finish(pb, session.Cancelled)
		}
	}
}

// Closed handles the end of a connection.
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

// EndTurn ends a turn: it runs the timers that are due, carries out the module's actions, until they cause no more
// events, and sends the queued output. It returns when the next turn is due at the latest. Received events are handled
// before timers fire, because after a pause of the process both may be waiting.
func (f *Front) EndTurn() Time {
	f.timers.Run(f.now)
	next := core.Never
	for {
		accessNext := core.Never
		if f.Access != nil {
			accessNext = f.Access.Core.Process(f.Access.Lookup, f.authorized, func(record tenants.Record) {
				f.changedShares = append(f.changedShares, record)
			})
			accessNext = min(accessNext, f.applyShares())
		}
		if f.queue != nil {
			f.queue.SetActive(int(f.Figures.Playbacks))
			next = f.queue.Dispatch(f.queueDecided)
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

// EventArrived sets the arrival time of the event that is handled next.
func (f *Front) EventArrived(at Time) { f.arrivedAt = min(at, f.now) }

// TurnFinished reports how long the last turn took, by the clock of the caller, and how long its events had waited
// before.
func (f *Front) TurnFinished(waited, took Time) {
	f.arrivedAt = 0
	f.lag.Record(f.now+took, waited+took)
	if f.queue != nil {
		f.queue.TurnFinished(took)
	}
}

// UpdateLimits changes the terms of the admission queue and the limits while requests wait.
func (f *Front) UpdateLimits(terms *fair.Config, limits fair.Limits) {
	f.Limits, f.limiter.Limits = limits, limits
	if f.queue != nil && terms != nil {
		f.queue.Reconfigure(*terms)
	}
}

// Admission returns the admission queue, nil without one, and the limiter in front of it.
func (f *Front) Admission() (*fair.Queue, *fair.Limiter) { return f.queue, f.limiter }

// Stop answers all open requests, also those that wait for access control or admission, and ends all dialogues; later
// requests and connections are refused.
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
		for _, pb := range slices.Clone(peer.playbacks) { // those that the module was not asked about yet
			f.finish(pb, session.Cancelled)
		}
		f.flush(peer)
		f.closePlayer(peer)
	}
}

// armIdleTimer sets the timer that closes a player's connection that is idle for the session timeout, or that
// takes too long to send a message.
func (f *Front) armIdleTimer(peer *peerConn) {
	deadline := f.now + peer.sessionTimeout
	if len(peer.pendingReplies) == 0 {
		deadline = peer.lastReceived + peer.sessionTimeout
	}
	if peer.partialSince > 0 {
		deadline = min(deadline, peer.partialSince+peer.sessionTimeout/messageTimeoutDivisor)
	}
	peer.idleTimer = f.timers.Set(peer.idleTimer, max(deadline, f.now+peer.sessionTimeout/messageTimeoutDivisor), func() {
		slow := peer.partialSince > 0 && f.now-peer.partialSince >= peer.sessionTimeout/messageTimeoutDivisor
		if !slow && (f.now-peer.lastReceived < peer.sessionTimeout || len(peer.pendingReplies) > 0) {
			f.armIdleTimer(peer)
			return
		}
		if slow {
			f.limiter.CountRefusal(fair.SlowSender)
			f.Figures.SlowSenders++
			f.completeReply(peer, f.reserveReply(peer, -1), rtsp.NewResponse(rtsp.StatusRequestTimeout, -1))
		} else {
			f.Figures.SessionsOut++
		}
		f.log.Info("closing idle or slow connection", zap.String("peer", peer.address), zap.Bool("slow sender", slow))
		f.closePlayer(peer)
	})
}

// closePlayer closes a player's connection from this side.
func (f *Front) closePlayer(peer *peerConn) {
	if peer.closed {
		return
	}
	f.flush(peer)
	f.network.Close(peer.conn)
	f.playerClosed(peer)
}

// playerClosed releases a closed player connection and ends its playbacks.
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

// newID returns an id that cannot be guessed: for a session, for a request without a Request-Id, or for the
// journal.
func (f *Front) newID() string {
	f.lastID++
	mac := hmac.New(sha256.New, f.Secret)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], f.lastID)
	mac.Write(b[:])
	return hex.EncodeToString(mac.Sum(nil)[:12])
}

// acquire returns the id of a title and the hash of its name.
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

// actions implements session.Actions on a Front.
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
	if pb.answered { // the session already plays: its move found no server
		front.endPlayback(pb)
		return
	}
	front.Figures.Refused++
	plan := &front.Site.Plans[pb.target.plan]
	if front.queue == nil {
		front.reject(pb, retryLaterResponse(retryAfter))
		return
	}
	if plan.Seats == 0 { // with seats, the reason may be that they are all taken
		front.queue.Rejected()
	}
	retryAfterAdvice, token := front.queue.RejectionAdvice(pb.target.queueTenant, hostOf(pb.player.address))
	front.reject(pb, retryLaterResponse(retryAfterAdvice).With("Come-Again", token))
}
func (a *actions) Abort(id int) {
	front, pb := a.front(), a.playbacks[id]
	if pb.answered {
		front.endPlayback(pb)
		return
	}
	front.Figures.Failed++
	front.reject(pb, rtsp.NewResponse(rtsp.StatusInternal, 0))
}
func (a *actions) Move(id int) {
	front, pb := a.front(), a.playbacks[id]
	front.deferred = append(front.deferred, func() { front.move(pb) })
}
func (a *actions) Probe(server int) { a.front().probe(server) }
func (a *actions) Watch()           {} // the server list is pushed
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

// retryLaterResponse returns a refusal that advises when to try again, in whole seconds (RFC 2326 section
// 12.31), or one without advice if retryAfter is not positive.
func retryLaterResponse(retryAfter Time) *rtsp.Message {
	if retryAfter <= 0 {
		return rtsp.NewResponse(rtsp.StatusNotEnoughBandwidth, 0)
	}
	seconds := (retryAfter + core.Second - 1) / core.Second
	return rtsp.NewResponse(rtsp.StatusUnavailable, 0).With("Retry-After", strconv.FormatInt(seconds, 10))
}
