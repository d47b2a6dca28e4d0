package front

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/pion/rtcp"
	"github.com/pion/sdp/v3"
	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

const sessionReset = session.Reset

// playback is one playback of a player, from its first SETUP on. Its number is the module's.
type playback struct {
	id              int
	request         session.Request
	player          *peerConn
	sessionID       string // "" until it is answered with 200
	requestID       string // the request's, the same upstream
	moves           int
	queueID         int // its number in the queue, 0 for none
	target          playbackTarget
	receivedAt      Time
	pendingSetups   []*pendingSetup
	bindings        []*trackBinding
	rung            int
	tries           int
	upstream        *serverDialogue // the try out, or what plays
	answered        bool
	playing         bool // the player has said PLAY
	hasPlayed       bool // it has said so before
	heldFrames      []byte
	heldUnits       []outputUnit
	moving          bool // asked for anew under the same session: a move
	finished        bool
	redirected      bool // told to go elsewhere
	authorizationID int  // at the gate, 0 for none
	credentials     requestCredentials
	account         string // at the gate
	qualityRecord   string // its name in the figures of quality, "" for none
	lastServer      int    // that was tried
	rechecked       bool   // its proof did not hold against what was known: it is looked up
	seat            string // of its tenant
	admittedAt      Time
	attempts        []Attempt
	abandonTime     Time // as it was taken with
	deadlineTimer   *core.Timer
}

// setup is a SETUP that waits for its playback's answer.
type pendingSetup struct {
	reply   *pendingReply
	binding *trackBinding
}

// ask is what a player's URL says.
type playbackTarget struct {
	plan, topRung, track int // track -1 for the whole
	tenant               int
	tenantName           string // as the URL names the tenant, or the directory
	queueTenant          string // its standing at the door belongs to: the same, or its entry in the directory
	title, baseURL       string
}

type playerSink sink

func (s *playerSink) Bad(malformed *rtsp.Malformed) {
	f, peer := s.f, s.p
	f.Figures.Malformed++
	f.log.Info("malformed request", zap.String("peer", peer.address), zap.String("what", malformed.Problem))
	if malformed.Request {
		f.completeReply(peer, f.reserveReply(peer, malformed.CSeq), rtsp.Answer(malformed.Status, malformed.CSeq))
	}
}

// Frame takes RTCP of a player to its box; RTP from players is not taken.
func (s *playerSink) Frame(channel byte, payload []byte) {
	f, peer := s.f, s.p
	if int(channel) >= len(peer.channels) {
		return
	}
	binding := peer.channels[channel]
	if binding == nil || channel != binding.rtcp || binding.pb.upstream == nil || binding.pb.upstream.state != statePlaying {
		return
	}
	f.sendFrame(binding.pb.upstream.peer, byte(2*binding.track+1), payload, controlUnit)
}

// Message takes a player's request. Every request gets one answer, in the order of the requests.
func (s *playerSink) Message(message *rtsp.Message) {
	f, peer := s.f, s.p
	if !message.IsRequest() {
		return // nothing was asked of the player that matters here
	}
	f.Figures.Requests++
	peer.requestReceived = true
	if !f.limiter.Request(&peer.requestRate, f.now) {
		f.log.Info("connection ended: too many requests a second", zap.String("peer", peer.address))
		f.closePlayer(peer)
		return
	}
	for _, reply := range peer.pendingReplies {
		if reply.cseq == message.CSeq { // told again: the one answer is on its way
			f.Figures.Repeated++
			return
		}
	}
	if message.Method == rtsp.Setup || message.Method == rtsp.Play {
		if slices.Contains(peer.recentCSeqs[:], message.CSeq+1) { // told again: its answer has gone out (RFC 2326 section 12.17)
			f.Figures.Repeated++
			return
		}
		peer.recentCSeqs[peer.recentCount%len(peer.recentCSeqs)] = message.CSeq + 1
		peer.recentCount++
	}
	if len(peer.pendingReplies) >= f.Bounds.Pipelined {
		f.log.Info("connection ended: too many requests at once", zap.String("peer", peer.address))
		f.closePlayer(peer)
		return
	}
	reply := f.reserveReply(peer, message.CSeq)
	if a := f.handleRequest(peer, message, reply); a != nil {
		f.completeReply(peer, reply, a)
	}
}

// owe puts an answer in line.
func (f *Front) reserveReply(peer *peerConn, cseq int) *pendingReply {
	reply := &pendingReply{cseq: cseq}
	peer.pendingReplies = append(peer.pendingReplies, reply)
	return reply
}

// fill gives a request its answer; answers go out in the order of the requests.
func (f *Front) completeReply(peer *peerConn, reply *pendingReply, response *rtsp.Message) {
	if peer.closed || reply.ready {
		return
	}
	response.CSeq = reply.cseq
	reply.encoded, reply.ready = response.With("Server", f.Name).Append(nil), true
	n := 0
	for ; n < len(peer.pendingReplies) && peer.pendingReplies[n].ready; n++ {
		f.ensureBuffer(&peer.output)
		peer.output.buf = append(peer.output.buf, peer.pendingReplies[n].encoded...)
		f.outputAppended(peer, len(peer.pendingReplies[n].encoded), messageUnit)
	}
	peer.pendingReplies = slices.Delete(peer.pendingReplies, 0, n)
}

// serve answers a request, or returns nil where the answer comes later.
func (f *Front) handleRequest(peer *peerConn, message *rtsp.Message, reply *pendingReply) *rtsp.Message {
	if need := message.Get("Require"); need != "" {
		return rtsp.Answer(rtsp.StatusOptionNotSupported, 0).With("Unsupported", need)
	}
	var pb *playback
	if id, _ := rtsp.SessionID(message.Get("Session")); id != "" {
		if pb = f.sessions[id]; pb == nil && message.Method == rtsp.SetParameter && f.Quality != nil && f.Quality.Known(id) {
			return f.setParameters(nil, message, rtsp.Answer(rtsp.StatusOK, 0))
		} else if pb == nil || pb.player != peer {
			return rtsp.Answer(rtsp.StatusSessionNotFound, 0)
		}
	}
	response := rtsp.Answer(rtsp.StatusOK, 0)
	if pb != nil {
		response.With("Session", f.sessionHeader(pb))
	}
	switch message.Method {
	case rtsp.Options:
		return response.With("Public", rtsp.Supported(rtsp.Options, rtsp.Describe, rtsp.Setup, rtsp.Play, rtsp.Pause,
			rtsp.GetParameter, rtsp.SetParameter, rtsp.Teardown))
	case rtsp.Describe:
		return f.describe(message)
	case rtsp.Setup:
		return f.setup(peer, pb, message, reply)
	case rtsp.GetParameter:
		return f.getParameters(pb, message, response)
	case rtsp.SetParameter:
		return f.setParameters(pb, message, response)
	case rtsp.Play, rtsp.Pause, rtsp.Teardown:
	case "ANNOUNCE", "RECORD", rtsp.Redirect:
		return rtsp.Answer(rtsp.StatusMethodNotAllowed, 0)
	default:
		return rtsp.Answer(rtsp.StatusNotImplemented, 0)
	}
	if pb == nil {
		return rtsp.Answer(rtsp.StatusSessionNotFound, 0)
	}
	switch message.Method {
	case rtsp.Play:
		f.play(pb, message.Get("Range"))
		return response.With("Range", message.Get("Range"))
	case rtsp.Pause:
		if !pb.playing {
			return rtsp.Answer(rtsp.StatusNotValidInState, 0)
		}
		pb.playing = false
		if pb.upstream != nil && pb.upstream.state == statePlaying {
			f.sendRequest(pb.upstream, rtsp.Pause, nil)
		}
		return response
	default:
		f.finish(pb, session.OK)
		return rtsp.Answer(rtsp.StatusOK, 0)
	}
}

func (f *Front) sessionHeader(pb *playback) string {
	return pb.sessionID + ";timeout=" + strconv.FormatInt(pb.player.sessionTimeout/core.Second, 10)
}

// parameters answers GET_PARAMETER: without a body it keeps the session alive (RFC 2326 section 10.8).
func (f *Front) getParameters(pb *playback, message, response *rtsp.Message) *rtsp.Message {
	var fields []rtsp.Field
	for _, parameter := range rtsp.Parameters(message.Body) {
		if pb == nil || parameter.Name != "rung" {
			return rtsp.Answer(rtsp.StatusParameterUnknown, 0)
		}
		fields = append(fields, rtsp.Field{Name: "rung", Value: strconv.Itoa(pb.rung)})
	}
	if response.Body = rtsp.AppendParameters(nil, fields...); len(fields) > 0 {
		response.With("Content-Type", "text/parameters")
	}
	return response
}

// read takes a player's URL apart: rtsp://HOST/PLAN/TITLE[/trackN]?top=N&tenant=NAME.
func (f *Front) parseURL(uri string) (target playbackTarget, status int) {
	parsed, err := url.Parse(uri)
	if err != nil || parsed.Scheme != "rtsp" && parsed.Scheme != "rtsps" {
		return target, rtsp.StatusBadRequest
	}
	parts := strings.Split(strings.Trim(parsed.EscapedPath(), "/"), "/")
	if len(parts) < 2 || len(parts) > 3 || parts[1] == "" {
		return target, rtsp.StatusNotFound
	}
	target.plan, target.track, target.title = -1, -1, parts[1]
	for i := range f.Plans {
		if f.Plans[i].Name == parts[0] {
			target.plan = i
		}
	}
	if target.plan < 0 {
		return target, rtsp.StatusNotFound
	}
	if f.titles.catalogue != nil {
		if _, ok := f.titles.catalogue[target.title]; !ok {
			return target, rtsp.StatusNotFound
		}
	}
	if len(parts) == 3 {
		n, err := strconv.Atoi(strings.TrimPrefix(parts[2], "track"))
		if err != nil || n < 0 || n >= len(f.Plans[target.plan].Tracks) || parts[2] != "track"+strconv.Itoa(n) {
			return target, rtsp.StatusNotFound
		}
		target.track = n
	}
	query := parsed.Query()
	target.topRung = len(f.Site.Ladder.RateKB) - 1
	if s := query.Get("top"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return target, rtsp.StatusBadRequest
		}
		target.topRung = min(target.topRung, n)
	}
	target.tenantName = query.Get("tenant")
	if target.queueTenant = target.tenantName; len(target.tenantName) > 64 {
		return target, rtsp.StatusBadRequest
	}
	if target.tenant = slices.Index(f.Tenants, target.tenantName); target.tenant < 0 {
		target.tenant = len(f.Site.Tenants) // not a customer's: no share to hold it against
	}
	target.baseURL = parsed.Scheme + "://" + parsed.Host + "/" + parts[0] + "/" + target.title
	if parsed.RawQuery != "" {
		target.baseURL += "?" + parsed.RawQuery
	}
	return target, 0
}

// describe tells a title's tracks (RFC 2326 section 10.2, SDP of RFC 4566). No box is chosen for it: all
// boxes send the same tracks.
func (f *Front) describe(message *rtsp.Message) *rtsp.Message {
	target, status := f.parseURL(message.URI)
	if status != 0 {
		return rtsp.Answer(status, 0)
	}
	if accept := message.Get("Accept"); accept != "" && !strings.Contains(accept, "application/sdp") &&
		!strings.Contains(accept, "*/*") {
		return rtsp.Answer(415, 0)
	}
	base, query, _ := strings.Cut(target.baseURL, "?")
	if query != "" {
		query = "?" + query
	}
	description := sdp.SessionDescription{Origin: sdp.Origin{Username: "-", SessionID: 1, SessionVersion: 1, NetworkType: "IN",
		AddressType: "IP4", UnicastAddress: "0.0.0.0"}, SessionName: sdp.SessionName(target.title),
		TimeDescriptions: []sdp.TimeDescription{{}}, Attributes: []sdp.Attribute{{Key: "control", Value: target.baseURL}}}
	for i, track := range f.Plans[target.plan].Tracks {
		payloadType := strconv.Itoa(int(track.Payload))
		description.MediaDescriptions = append(description.MediaDescriptions, &sdp.MediaDescription{
			MediaName: sdp.MediaName{Media: track.Media, Protos: []string{"RTP", "AVP"}, Formats: []string{payloadType}},
			Attributes: []sdp.Attribute{{Key: "rtpmap", Value: payloadType + " " + track.Encoding},
				{Key: "control", Value: base + "/track" + strconv.Itoa(i) + query}}})
	}
	body, err := description.Marshal()
	if err != nil {
		return rtsp.Answer(rtsp.StatusInternal, 0)
	}
	response := rtsp.Answer(rtsp.StatusOK, 0).With("Content-Type", "application/sdp").With("Content-Base", target.baseURL)
	response.Body = body
	return response
}

// setup takes a SETUP. The first of a playback asks the module; further ones of the same playback, for
// another track or told again, wait for the same answer. There is never a second try for them.
func (f *Front) setup(peer *peerConn, pb *playback, message *rtsp.Message, reply *pendingReply) *rtsp.Message {
	target, status := f.parseURL(message.URI)
	if status != 0 {
		return rtsp.Answer(status, 0)
	}
	if target.track < 0 && len(f.Plans[target.plan].Tracks) > 1 {
		return rtsp.Answer(rtsp.StatusAggregateNotAllowed, 0)
	}
	target.track = max(target.track, 0)
	var transport rtsp.Transport
	for _, choice := range rtsp.Transports(message.Get("Transport")) {
		if choice.TCP() && transport.Profile == "" {
			transport = choice
		}
	}
	if transport.Profile == "" { // RTP on UDP is not carried
		return rtsp.Answer(rtsp.StatusUnsupportedTransport, 0)
	}
	if refused := peer.lastRefused; refused != nil && pb == nil && refused.baseURL == target.baseURL && refused.tracks&(1<<target.track) == 0 {
		refused.tracks |= 1 << target.track // a further track of the playback just refused: told before it was
		x := *refused.response
		x.Header = slices.Clone(refused.response.Header)
		return x.With("Request-Id", refused.requestID)
	}
	if pb == nil {
		for _, x := range peer.playbacks {
			if !x.answered && x.target.baseURL == target.baseURL {
				pb = x
			}
		}
	} else if pb.target.baseURL != target.baseURL {
		return rtsp.Answer(rtsp.StatusAggregateNotAllowed, 0)
	}
	if pb != nil {
		for _, binding := range pb.bindings {
			if binding.track == target.track {
				f.Figures.Repeated++
				return f.awaitSetup(pb, &pendingSetup{reply, binding})
			}
		}
	}
	for !transport.Interleaved { // the client leaves the choice to us
		transport.RTP, transport.RTCP, transport.Interleaved = f.freeChannel(peer), f.freeChannel(peer)+1, true
	}
	if c := max(transport.RTP, transport.RTCP); int(c) >= len(peer.channels) {
		peer.channels = append(peer.channels, make([]*trackBinding, int(c)+1-len(peer.channels))...)
	}
	if peer.channels[transport.RTP] != nil || peer.channels[transport.RTCP] != nil {
		return rtsp.Answer(rtsp.StatusBadRequest, 0)
	}
	if pb == nil {
		taken := f.now
		if f.arrivedAt > 0 {
			taken = f.arrivedAt
		}
		abandon := f.Plans[target.plan].Abandon
		switch {
		case f.draining:
			f.Figures.DoorRefused++
			return f.redirectOrRefuse(peer, target.baseURL)
		case f.stopped, int(f.Figures.Playbacks) >= f.Bounds.Playbacks, f.seatsExhausted(&target), decisionDeadline(taken, abandon) <= f.now:
			f.Figures.DoorRefused++
			return retryLaterResponse(f.retryAdvice())
		case f.queue == nil && f.lag.Shed(f.now): // a queue slows down by itself, and keeps its promises
			f.Figures.Shed++
			return retryLaterResponse(f.retryAdvice())
		}
		pb = &playback{id: -1, lastServer: -1, player: peer, target: target, requestID: message.Get("Request-Id"), receivedAt: taken, abandonTime: abandon}
		if pb.requestID == "" || len(pb.requestID) > 64 {
			pb.requestID = f.newID()
		}
		peer.playbacks = append(peer.playbacks, pb)
	}
	binding := &trackBinding{pb: pb, track: target.track, rtp: transport.RTP, rtcp: transport.RTCP, kind: audioUnit}
	if f.Plans[target.plan].Tracks[target.track].Media == "video" {
		binding.kind = videoUnit
	}
	peer.channels[transport.RTP], peer.channels[transport.RTCP] = binding, binding
	pb.bindings = append(pb.bindings, binding)
	response := f.awaitSetup(pb, &pendingSetup{reply, binding})
	if len(pb.bindings) == 1 {
		f.Figures.Taken++
		if f.Gate != nil {
			f.authorize(pb, message)
			return response
		}
		pb.credentials = requestCredentials{token: message.Get("Come-Again"), requestBytes: requestSize(message)}
		f.enqueue(pb)
	}
	return response
}

// offer puts a playback in the queue, which says when the module is asked.
func (f *Front) enqueue(pb *playback) {
	f.startQualityRecord(pb)
	plan := &f.Site.Plans[pb.target.plan]
	if f.queue == nil {
		f.requestPlacement(pb)
		return
	}
	f.lastQueueID++
	pb.queueID = f.lastQueueID
	f.waiting[pb.queueID] = pb
	f.queue.Offer(fair.Ask{ID: pb.queueID, Tenant: pb.target.queueTenant, Client: hostOf(pb.player.address), Bytes: pb.credentials.requestBytes, Token: pb.credentials.token,
		Startup: pb.receivedAt + plan.Startup, Abandon: decisionDeadline(pb.receivedAt, pb.abandonTime)})
}

// decided carries out what the queue has decided.
func (f *Front) queueDecided(verdict fair.Verdict) {
	pb := f.waiting[verdict.ID]
	delete(f.waiting, verdict.ID)
	if pb == nil || pb.finished {
		return
	}
	if pb.queueID = 0; verdict.Admit {
		f.requestPlacement(pb)
		return
	}
	f.Figures.Refused++
	f.reject(pb, retryLaterResponse(verdict.ComeAgain).With("Come-Again", verdict.Token))
}

// channel is the first even channel that is free on a connection.
func (f *Front) freeChannel(peer *peerConn) byte {
	for c := 0; c < 254; c += 2 {
		if c >= len(peer.channels) || peer.channels[c] == nil && (c+1 >= len(peer.channels) || peer.channels[c+1] == nil) {
			return byte(c)
		}
	}
	return 254
}

// join has a SETUP wait for its playback's answer; the answer at once if it is known.
func (f *Front) awaitSetup(pb *playback, pending *pendingSetup) *rtsp.Message {
	if !pb.answered {
		pb.pendingSetups = append(pb.pendingSetups, pending)
		return nil
	}
	return f.setupResponse(pb, pending.binding)
}

// welcome answers a SETUP of a playback that plays.
func (f *Front) setupResponse(pb *playback, binding *trackBinding) *rtsp.Message {
	binding.ready = true
	t := rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: binding.rtp, RTCP: binding.rtcp}
	return rtsp.Answer(rtsp.StatusOK, 0).With("Session", f.sessionHeader(pb)).With("Transport", t.String()).
		With("Request-Id", pb.requestID)
}

// request asks the module for a place.
func (f *Front) requestPlacement(pb *playback) {
	if pb.finished {
		return
	}
	if pb.id, pb.tries = len(f.playbacks), 0; pb.moving {
		pb.moving, pb.receivedAt = false, f.now
	}
	if n := len(f.freeIDs); n > 0 {
		pb.id, f.freeIDs = f.freeIDs[n-1], f.freeIDs[:n-1]
		f.playbacks[pb.id] = pb
	} else {
		f.playbacks = append(f.playbacks, pb)
	}
	f.Figures.Playbacks++
	titleID, titleHash := f.titles.acquire(pb.target.title)
	title := f.titles.catalogue[pb.target.title]
	pb.rung = f.Site.Plans[pb.target.plan].Floor
	pb.request = session.Request{Playback: pb.id, Plan: pb.target.plan, Tenant: pb.target.tenant, Title: titleID, Show: titleHash,
		Abandon: decisionDeadline(pb.receivedAt, pb.abandonTime), Top: pb.target.topRung, Base: title.Base, Span: title.Span}
	f.module.Requested(pb.request)
	if !pb.answered {
		pb.admittedAt = f.now
	}
	if !pb.answered {
		pb.deadlineTimer = f.timers.Set(pb.deadlineTimer, pb.request.Abandon, func() { f.deadlineReached(pb) })
	}
}

// late ends a try that is out when the module must have decided; the module answers then. If no answer
// came of it the front gives one: the player is never left without.
func (f *Front) deadlineReached(pb *playback) {
	if pb.answered || pb.finished {
		return
	}
	if f.now < fallbackDeadline(pb.receivedAt, pb.abandonTime) {
		pb.deadlineTimer = f.timers.Set(pb.deadlineTimer, fallbackDeadline(pb.receivedAt, pb.abandonTime), func() { f.deadlineReached(pb) })
		if pb.upstream != nil {
			f.tryTimedOut(pb.upstream)
		}
		return
	}
	f.Figures.Overdue++
	f.log.Warn("answered in the module's place", zap.String("request", pb.requestID))
	f.Figures.Failed++
	f.withdraw(pb)
	f.reject(pb, rtsp.Answer(rtsp.StatusInternal, 0))
}

// answer gives the one answer that a playback's SETUPs wait for, and forgets it: it does not play.
func (f *Front) reject(pb *playback, response *rtsp.Message) {
	pb.answered, pb.finished = true, true
	f.reportTrace(pb, response.Status)
	refused := &refusedPlayback{baseURL: pb.target.baseURL, requestID: pb.requestID, response: response}
	pb.player.lastRefused = refused
	for _, pending := range pb.pendingSetups {
		refused.tracks |= 1 << pending.binding.track
		reply := *response
		reply.Header = slices.Clone(response.Header)
		f.completeReply(pb.player, pending.reply, reply.With("Request-Id", pb.requestID))
	}
	f.detach(pb)
}

// ready answers the SETUPs of a playback whose first packet has come.
func (f *Front) started(pb *playback) {
	f.timers.Stop(pb.deadlineTimer)
	if pb.answered {
		f.recordPlacement(pb)
		return
	}
	f.Figures.Plays++
	pb.answered, pb.sessionID = true, f.newID()
	f.reportTrace(pb, rtsp.StatusOK)
	f.sessions[pb.sessionID] = pb
	f.recordPlacement(pb)
	for _, pending := range pb.pendingSetups {
		f.completeReply(pb.player, pending.reply, f.setupResponse(pb, pending.binding))
	}
	pb.pendingSetups = nil
}

// play lets the packets through, those first that came before the player's PLAY.
func (f *Front) play(pb *playback, rangeHeader string) {
	if pb.playing {
		return
	}
	pb.playing = true
	frames := pb.heldFrames
	for _, u := range pb.heldUnits {
		f.deliver(pb, frames[0], frames[4:u.size])
		frames = frames[u.size:]
	}
	first := !pb.hasPlayed
	pb.hasPlayed, pb.heldFrames, pb.heldUnits = true, nil, nil
	if pb.upstream != nil && pb.upstream.state == statePlaying && (!first || rangeHeader != "" && rangeHeader != "npt=0-" && rangeHeader != "npt=0.000-") {
		f.sendRequest(pb.upstream, rtsp.Play, []rtsp.Field{{Name: "Range", Value: rangeHeader}})
	}
}

// deliver takes a frame of the box to the player. The channel is the box's: two for each track.
func (f *Front) deliver(pb *playback, channel byte, payload []byte) {
	for _, binding := range pb.bindings {
		if binding.track != int(channel/2) || !binding.ready {
			continue
		}
		f.Figures.Packets++
		if channel&1 == 1 {
			f.sendFrame(pb.player, binding.rtcp, payload, controlUnit)
		} else {
			f.sendFrame(pb.player, binding.rtp, payload, binding.kind)
		}
	}
}

// hold keeps what comes before the player's PLAY, up to a part of its buffer.
func (f *Front) holdFrame(pb *playback, channel byte, payload []byte) {
	if len(pb.heldFrames)+len(payload)+4 > f.Bounds.PlayerBytes/heldBufferDivisor {
		return
	}
	n := len(pb.heldFrames)
	pb.heldFrames = rtsp.AppendFrame(pb.heldFrames, channel, payload)
	pb.heldFrames[n] = channel // where AppendFrame has the mark of a frame
	pb.heldUnits = append(pb.heldUnits, outputUnit{size: len(pb.heldFrames) - n})
}

// leave tells the module that a playback has gone: what is out for it ends.
func (f *Front) withdraw(pb *playback) {
	f.timers.Stop(pb.deadlineTimer)
	if pb.authorizationID > 0 {
		f.Gate.Core.Cancel(pb.authorizationID)
		delete(f.authorizing, pb.authorizationID)
		pb.authorizationID = 0
	}
	if pb.queueID > 0 {
		f.queue.Gone(pb.queueID)
		delete(f.waiting, pb.queueID)
		pb.queueID = 0
	}
	if pb.id >= 0 && pb.id < len(f.playbacks) && f.playbacks[pb.id] == pb {
		f.module.Left(pb.id)
		if dialogue := pb.upstream; dialogue != nil {
			f.reportResult(dialogue, session.Cancelled, true)
			f.teardown(dialogue)
		}
	}
}

// finish ends a playback whose player has gone, or has had enough (outcome OK).
func (f *Front) finish(pb *playback, outcome session.Outcome) {
	if pb.finished {
		return
	}
	pb.finished = true
	if !pb.answered {
		f.Figures.Left++
		if f.stopped {
			pb.finished = false
			f.withdraw(pb)
			f.reject(pb, f.stopResponse(pb))
			return
		}
	}
	if dialogue := pb.upstream; dialogue != nil && dialogue.state == statePlaying {
		f.reportResult(dialogue, outcome, true)
		f.teardown(dialogue)
	} else {
		f.withdraw(pb)
	}
	f.detach(pb)
}

// cutShort is the answer to a playback that a stop ends before it was decided. One that must not happen twice
// and may have run fails: a refusal would have it come again.
func (f *Front) stopResponse(pb *playback) *rtsp.Message {
	if pb.tries > 0 && f.Site.Plans[pb.target.plan].Repeat == session.Unsafe {
		return rtsp.Answer(rtsp.StatusInternal, 0)
	}
	return f.redirectOrRefuse(pb.player, pb.target.baseURL)
}

// ended tells a player that a playback of its has come to an end: RTCP BYE on its tracks (RFC 3550 section
// 6.6), then the connection's end if nothing else plays on it.
func (f *Front) endPlayback(pb *playback) {
	if pb.finished {
		return
	}
	pb.finished = true
	peer := pb.player
	if bye, err := (&rtcp.Goodbye{Sources: []uint32{0}, Reason: "ended"}).Marshal(); err == nil {
		for _, binding := range pb.bindings {
			f.sendFrame(peer, binding.rtcp, bye, controlUnit)
		}
	}
	f.detach(pb)
	if len(peer.playbacks) == 0 && len(peer.pendingReplies) == 0 {
		f.deferred = append(f.deferred, func() { f.closePlayer(peer) })
	}
}

// unbind takes a playback off its connection.
func (f *Front) detach(pb *playback) {
	f.timers.Stop(pb.deadlineTimer)
	f.closeQualityRecord(pb)
	if pb.seat != "" {
		f.Gate.Core.Over(pb.seat)
		pb.seat = ""
	}
	delete(f.sessions, pb.sessionID)
	peer := pb.player
	peer.playbacks = slices.DeleteFunc(peer.playbacks, func(x *playback) bool { return x == pb })
	for i, binding := range peer.channels {
		if binding != nil && binding.pb == pb {
			peer.channels[i] = nil
		}
	}
	pb.pendingSetups, pb.heldFrames, pb.heldUnits = nil, nil, nil
}

// upstreamName is the request's name at the boxes; each move is a request of its own there.
func (pb *playback) upstreamRequestID() string {
	if pb.moves == 0 {
		return pb.requestID
	}
	return pb.requestID + "/m" + strconv.Itoa(pb.moves)
}

// move asks for a new place under the same session; the old one ends. The direction on moving sessions is
// to have the old one play until the new one does.
func (f *Front) move(pb *playback) {
	dialogue := pb.upstream
	if pb.finished || dialogue == nil || dialogue.state != statePlaying {
		return
	}
	pb.moving = true
	pb.moves++
	f.reportResult(dialogue, session.Cancelled, true)
	f.teardown(dialogue)
}
