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

// playback is one playback of a player, from its first SETUP on.
type playback struct {
	id              int // of the module, -1 before the first request to it
	request         session.Request
	player          *peerConn
	sessionID       string // empty until the SETUP is answered with 200
	requestID       string // Request-Id of the player or one assigned here; also sent to boxes
	moves           int
	queueID         int // id in the admission queue, 0 for none
	target          playbackTarget
	receivedAt      Time
	pendingSetups   []*pendingSetup
	bindings        []*trackBinding
	rung            int
	tries           int
	upstream        *serverDialogue // the current try, or the dialogue that plays
	answered        bool
	playing         bool   // the player has sent PLAY and no PAUSE since
	hasPlayed       bool   // the player has sent a PLAY
	heldFrames      []byte // frames received before the first PLAY, with the box's channel in the first byte
	heldUnits       []outputUnit
	moving          bool // a new placement under the same session is due
	finished        bool
	redirected      bool // REDIRECT was sent
	authorizationID int  // id of the pending access control request, 0 for none
	credentials     requestCredentials
	account         string // checked by access control
	qualityRecord   string // key of its record in the quality core, empty for none
	lastServer      int    // last box tried, -1 for none
	rechecked       bool   // the credentials did not match the known digest, so the account was looked up again
	seat            string // directory id of the tenant whose seat it holds, empty for none
	admittedAt      Time   // when the module was asked, 0 before
	attempts        []Attempt
	abandonTime     Time // of the plan when the playback was taken
	deadlineTimer   *core.Timer
}

// pendingSetup is a SETUP that waits for the answer to its playback.
type pendingSetup struct {
	reply   *pendingReply
	binding *trackBinding
}

// playbackTarget is what a player's URL asks for.
type playbackTarget struct {
	plan, topRung, track int    // track is -1 for the aggregate URL
	tenant               int    // row in the module's tenant table
	tenantName           string // from the URL, or from the directory
	queueTenant          string // key of the tenant in the admission queue: the name, or the id of the directory entry
	title, baseURL       string // baseURL is the URL without its track
}

// playerSink handles what a player sends.
type playerSink sink

func (s *playerSink) Malformed(malformed *rtsp.MalformedError) {
	f, peer := s.front, s.peer
	f.Figures.Malformed++
	f.log.Info("malformed request", zap.String("peer", peer.address), zap.String("what", malformed.Problem))
	if malformed.Request {
		f.completeReply(peer, f.reserveReply(peer, malformed.CSeq), rtsp.NewResponse(malformed.Status, malformed.CSeq))
	}
}

// Frame relays RTCP from a player to its box; RTP from players is discarded.
func (s *playerSink) Frame(channel byte, payload []byte) {
	f, peer := s.front, s.peer
	if int(channel) >= len(peer.channels) {
		return
	}
	binding := peer.channels[channel]
	if binding == nil || channel != binding.rtcp || binding.pb.upstream == nil || binding.pb.upstream.state != statePlaying {
		return
	}
	f.sendFrame(binding.pb.upstream.peer, byte(2*binding.track+1), payload, controlUnit)
}

// Message handles a player's request. Every request gets one response, in the order of the requests.
func (s *playerSink) Message(message *rtsp.Message) {
	f, peer := s.front, s.peer
	if !message.IsRequest() {
		return // responses to the front's own requests need no handling
	}
	f.Figures.Requests++
	peer.requestReceived = true
	if !f.limiter.AllowRequest(&peer.requestRate, f.now) {
		f.log.Info("closing connection: request rate above the limit", zap.String("peer", peer.address))
		f.closePlayer(peer)
		return
	}
	for _, reply := range peer.pendingReplies {
		if reply.cseq == message.CSeq { // repeated request: its only response is still due
			f.Figures.Repeated++
			return
		}
	}
	if message.Method == rtsp.Setup || message.Method == rtsp.Play {
		if slices.Contains(peer.recentCSeqs[:], message.CSeq+1) { // repeated request: its response has been sent (RFC 2326 section 12.17)
			f.Figures.Repeated++
			return
		}
		peer.recentCSeqs[peer.recentCount%len(peer.recentCSeqs)] = message.CSeq + 1
		peer.recentCount++
	}
	if len(peer.pendingReplies) >= f.Bounds.Pipelined {
		f.log.Info("closing connection: too many unanswered requests", zap.String("peer", peer.address))
		f.closePlayer(peer)
		return
	}
	reply := f.reserveReply(peer, message.CSeq)
	if response := f.handleRequest(peer, message, reply); response != nil {
		f.completeReply(peer, reply, response)
	}
}

// reserveReply reserves the next place among the responses on a connection.
func (f *Front) reserveReply(peer *peerConn, cseq int) *pendingReply {
	reply := &pendingReply{cseq: cseq}
	peer.pendingReplies = append(peer.pendingReplies, reply)
	return reply
}

// completeReply sets the response for a reserved place; responses are sent in the order of the requests.
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

// handleRequest returns the response to a request, or nil if it is sent later.
func (f *Front) handleRequest(peer *peerConn, request *rtsp.Message, reply *pendingReply) *rtsp.Message {
	if required := request.Get("Require"); required != "" {
		return rtsp.NewResponse(rtsp.StatusOptionNotSupported, 0).With("Unsupported", required)
	}
	var pb *playback
	if id, _ := rtsp.ParseSession(request.Get("Session")); id != "" {
		if pb = f.sessions[id]; pb == nil && request.Method == rtsp.SetParameter && f.Quality != nil && f.Quality.IsOpen(id) {
			return f.setParameters(nil, request, rtsp.NewResponse(rtsp.StatusOK, 0))
		} else if pb == nil || pb.player != peer {
			return rtsp.NewResponse(rtsp.StatusSessionNotFound, 0)
		}
	}
	response := rtsp.NewResponse(rtsp.StatusOK, 0)
	if pb != nil {
		response.With("Session", f.sessionHeader(pb))
	}
	switch request.Method {
	case rtsp.Options:
		return response.With("Public", rtsp.JoinMethods(rtsp.Options, rtsp.Describe, rtsp.Setup, rtsp.Play, rtsp.Pause,
			rtsp.GetParameter, rtsp.SetParameter, rtsp.Teardown))
	case rtsp.Describe:
		return f.describe(request)
	case rtsp.Setup:
		return f.setup(peer, pb, request, reply)
	case rtsp.GetParameter:
		return f.getParameters(pb, request, response)
	case rtsp.SetParameter:
		return f.setParameters(pb, request, response)
	case rtsp.Play, rtsp.Pause, rtsp.Teardown:
	case "ANNOUNCE", "RECORD", rtsp.Redirect:
		return rtsp.NewResponse(rtsp.StatusMethodNotAllowed, 0)
	default:
		return rtsp.NewResponse(rtsp.StatusNotImplemented, 0)
	}
	if pb == nil {
		return rtsp.NewResponse(rtsp.StatusSessionNotFound, 0)
	}
	switch request.Method {
	case rtsp.Play:
		f.play(pb, request.Get("Range"))
		return response.With("Range", request.Get("Range"))
	case rtsp.Pause:
		if !pb.playing {
			return rtsp.NewResponse(rtsp.StatusNotValidInState, 0)
		}
		pb.playing = false
		if pb.upstream != nil && pb.upstream.state == statePlaying {
			f.sendRequest(pb.upstream, rtsp.Pause, nil)
		}
		return response
	default:
		f.finish(pb, session.OK)
		return rtsp.NewResponse(rtsp.StatusOK, 0)
	}
}

// sessionHeader returns the value of the Session header.
func (f *Front) sessionHeader(pb *playback) string {
	return pb.sessionID + ";timeout=" + strconv.FormatInt(pb.player.sessionTimeout/core.Second, 10)
}

// getParameters answers GET_PARAMETER; without a body it is a keepalive (RFC 2326 section 10.8).
func (f *Front) getParameters(pb *playback, request, response *rtsp.Message) *rtsp.Message {
	var fields []rtsp.Field
	for _, parameter := range rtsp.ParseParameters(request.Body) {
		if pb == nil || parameter.Name != "rung" {
			return rtsp.NewResponse(rtsp.StatusParameterUnknown, 0)
		}
		fields = append(fields, rtsp.Field{Name: "rung", Value: strconv.Itoa(pb.rung)})
	}
	if response.Body = rtsp.AppendParameters(nil, fields...); len(fields) > 0 {
		response.With("Content-Type", "text/parameters")
	}
	return response
}

// parseURL parses a player's URL: rtsp://HOST/PLAN/TITLE[/trackN]?top=N&tenant=NAME. status is 0 if it is valid,
// else the status of the response.
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
		target.tenant = len(f.Site.Tenants) // unknown tenant: the row after the last, which no share limits
	}
	target.baseURL = parsed.Scheme + "://" + parsed.Host + "/" + parts[0] + "/" + target.title
	if parsed.RawQuery != "" {
		target.baseURL += "?" + parsed.RawQuery
	}
	return target, 0
}

// describe answers DESCRIBE with a title's tracks as SDP (RFC 2326 section 10.2, RFC 4566). It needs no box, as
// all boxes send the same tracks.
func (f *Front) describe(request *rtsp.Message) *rtsp.Message {
	target, status := f.parseURL(request.URI)
	if status != 0 {
		return rtsp.NewResponse(status, 0)
	}
	if accept := request.Get("Accept"); accept != "" && !strings.Contains(accept, "application/sdp") &&
		!strings.Contains(accept, "*/*") {
		return rtsp.NewResponse(415, 0)
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
		return rtsp.NewResponse(rtsp.StatusInternal, 0)
	}
	response := rtsp.NewResponse(rtsp.StatusOK, 0).With("Content-Type", "application/sdp").With("Content-Base", target.baseURL)
	response.Body = body
	return response
}

// setup handles SETUP. The first SETUP of a playback starts its admission; further ones of the same playback,
// for another track or repeated, wait for the same answer and never cause a second try.
func (f *Front) setup(peer *peerConn, pb *playback, request *rtsp.Message, reply *pendingReply) *rtsp.Message {
	target, status := f.parseURL(request.URI)
	if status != 0 {
		return rtsp.NewResponse(status, 0)
	}
	if target.track < 0 && len(f.Plans[target.plan].Tracks) > 1 {
		return rtsp.NewResponse(rtsp.StatusAggregateNotAllowed, 0)
	}
	target.track = max(target.track, 0)
	var transport rtsp.Transport
	for _, choice := range rtsp.ParseTransports(request.Get("Transport")) {
		if choice.IsTCP() && transport.Profile == "" {
			transport = choice
		}
	}
	if transport.Profile == "" { // RTP over UDP is not supported
		return rtsp.NewResponse(rtsp.StatusUnsupportedTransport, 0)
	}
	if refused := peer.lastRefused; refused != nil && pb == nil && refused.baseURL == target.baseURL && refused.tracks&(1<<target.track) == 0 {
		refused.tracks |= 1 << target.track // a further track of the playback just refused, sent before the refusal arrived
		reply := *refused.response
		reply.Header = slices.Clone(refused.response.Header)
		return reply.With("Request-Id", refused.requestID)
	}
	if pb == nil {
		for _, candidate := range peer.playbacks {
			if !candidate.answered && candidate.target.baseURL == target.baseURL {
				pb = candidate
			}
		}
	} else if pb.target.baseURL != target.baseURL {
		return rtsp.NewResponse(rtsp.StatusAggregateNotAllowed, 0)
	}
	if pb != nil {
		for _, binding := range pb.bindings {
			if binding.track == target.track {
				f.Figures.Repeated++
				return f.awaitSetup(pb, &pendingSetup{reply, binding})
			}
		}
	}
	for !transport.Interleaved { // the client leaves the choice of channels to the server
		transport.RTP, transport.RTCP, transport.Interleaved = f.freeChannel(peer), f.freeChannel(peer)+1, true
	}
	if c := max(transport.RTP, transport.RTCP); int(c) >= len(peer.channels) {
		peer.channels = append(peer.channels, make([]*trackBinding, int(c)+1-len(peer.channels))...)
	}
	if peer.channels[transport.RTP] != nil || peer.channels[transport.RTCP] != nil {
		return rtsp.NewResponse(rtsp.StatusBadRequest, 0)
	}
	if pb == nil {
		receivedAt := f.now
		if f.arrivedAt > 0 {
			receivedAt = f.arrivedAt
		}
		abandonTime := f.Plans[target.plan].Abandon
		switch {
		case peer.left:
			return retryLaterResponse(0)
		case f.draining:
			f.Figures.DoorRefused++
			return f.redirectOrRefuse(peer, target.baseURL)
		case f.stopped, int(f.Figures.Playbacks) >= f.Bounds.Playbacks, f.seatsExhausted(&target), decisionDeadline(receivedAt, abandonTime) <= f.now:
			f.Figures.DoorRefused++
			return retryLaterResponse(f.retryAdvice())
		case f.queue == nil && f.lag.Shed(f.now): // an admission queue adapts to the delay itself, and must keep the promises it has given
			f.Figures.Shed++
			return retryLaterResponse(f.retryAdvice())
		}
		pb = &playback{id: -1, lastServer: -1, player: peer, target: target, requestID: request.Get("Request-Id"),
			receivedAt: receivedAt, abandonTime: abandonTime}
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
		if f.Access != nil {
			f.authorize(pb, request)
			return response
		}
		pb.credentials = requestCredentials{token: request.Get("Come-Again"), requestBytes: requestSize(request)}
		f.enqueue(pb)
	}
	return response
}

// enqueue puts a playback into the admission queue, which decides when the module is asked.
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
	f.queue.Offer(fair.Request{ID: pb.queueID, Tenant: pb.target.queueTenant, Client: hostOf(pb.player.address),
		Bytes: pb.credentials.requestBytes, Token: pb.credentials.token,
		StartupDeadline: pb.receivedAt + plan.StartupTarget, AbandonDeadline: decisionDeadline(pb.receivedAt, pb.abandonTime)})
}

// queueDecided handles a decision of the admission queue.
func (f *Front) queueDecided(verdict fair.Decision) {
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
	f.reject(pb, retryLaterResponse(verdict.RetryAfter).With("Come-Again", verdict.Token))
}

// freeChannel returns the first free pair's even channel on a connection, 254 if all are taken.
func (f *Front) freeChannel(peer *peerConn) byte {
	for c := 0; c < 254; c += 2 {
		if c >= len(peer.channels) || peer.channels[c] == nil && (c+1 >= len(peer.channels) || peer.channels[c+1] == nil) {
			return byte(c)
		}
	}
	return 254
}

// awaitSetup makes a SETUP wait for the answer to its playback, or returns the response if it is known.
func (f *Front) awaitSetup(pb *playback, pending *pendingSetup) *rtsp.Message {
	if !pb.answered {
		pb.pendingSetups = append(pb.pendingSetups, pending)
		return nil
	}
	return f.setupResponse(pb, pending.binding)
}

// setupResponse returns the response to a SETUP of a playback that plays.
func (f *Front) setupResponse(pb *playback, binding *trackBinding) *rtsp.Message {
	binding.ready = true
	transport := rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: binding.rtp, RTCP: binding.rtcp}
	return rtsp.NewResponse(rtsp.StatusOK, 0).With("Session", f.sessionHeader(pb)).With("Transport", transport.String()).
		With("Request-Id", pb.requestID)
}

// requestPlacement asks the module for a server and a rung.
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
	pb.request = session.Request{Playback: pb.id, Plan: pb.target.plan, Tenant: pb.target.tenant, Title: titleID, TitleID: titleHash,
		AbandonAt: decisionDeadline(pb.receivedAt, pb.abandonTime), Top: pb.target.topRung, FirstCell: title.FirstCell, CellCount: title.CellCount}
	f.module.Requested(pb.request)
	if !pb.answered {
		pb.admittedAt = f.now
	}
	if !pb.answered {
		pb.deadlineTimer = f.timers.Set(pb.deadlineTimer, pb.request.AbandonAt, func() { f.deadlineReached(pb) })
	}
}

// deadlineReached ends a try that is still open at the decision deadline, which makes the module decide. If the
// module has not decided at the fallback deadline either, the front answers, so that the player always gets a
// response.
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
	f.log.Warn("no decision by the module before the fallback deadline; answered 500", zap.String("request", pb.requestID))
	f.Figures.Failed++
	f.withdraw(pb)
	f.reject(pb, rtsp.NewResponse(rtsp.StatusInternal, 0))
}

// reject sends the response of a playback that does not play to all its SETUPs, and releases the playback.
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

// started answers the SETUPs of a playback whose first packet has arrived.
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

// play starts the delivery of packets, beginning with those that arrived before the player's PLAY.
func (f *Front) play(pb *playback, rangeHeader string) {
	if pb.playing {
		return
	}
	pb.playing = true
	frames := pb.heldFrames
	for _, unit := range pb.heldUnits {
		f.deliver(pb, frames[0], frames[4:unit.size])
		frames = frames[unit.size:]
	}
	first := !pb.hasPlayed
	pb.hasPlayed, pb.heldFrames, pb.heldUnits = true, nil, nil
	if pb.upstream != nil && pb.upstream.state == statePlaying &&
		(!first || rangeHeader != "" && rangeHeader != "npt=0-" && rangeHeader != "npt=0.000-") {
		f.sendRequest(pb.upstream, rtsp.Play, []rtsp.Field{{Name: "Range", Value: rangeHeader}})
	}
}

// deliver relays a frame from the box to the player. The channel is that of the box: two for each track.
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

// holdFrame keeps a frame that arrives before the player's PLAY, up to a share of the player's buffer.
func (f *Front) holdFrame(pb *playback, channel byte, payload []byte) {
	if len(pb.heldFrames)+len(payload)+4 > f.Bounds.PlayerBytes/heldBufferDivisor {
		return
	}
	n := len(pb.heldFrames)
	pb.heldFrames = rtsp.AppendFrame(pb.heldFrames, channel, payload)
	pb.heldFrames[n] = channel // replaces the '$' that AppendFrame writes there
	pb.heldUnits = append(pb.heldUnits, outputUnit{size: len(pb.heldFrames) - n})
}

// withdraw cancels everything that is pending for a playback: access control, admission and tries. It reports to
// the module that the playback has left.
func (f *Front) withdraw(pb *playback) {
	f.timers.Stop(pb.deadlineTimer)
	if pb.authorizationID > 0 {
		f.Access.Core.Cancel(pb.authorizationID)
		delete(f.authorizing, pb.authorizationID)
		pb.authorizationID = 0
	}
	if pb.queueID > 0 {
		f.queue.Cancel(pb.queueID)
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

// finish ends a playback whose player has disconnected, or has sent TEARDOWN (outcome OK).
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

// stopResponse returns the response to a playback that a stop ends before its decision. If its set-up must not
// be repeated and may have run, the response is an error: after a refusal the player would try again.
func (f *Front) stopResponse(pb *playback) *rtsp.Message {
	if pb.tries > 0 && f.Site.Plans[pb.target.plan].Repeat == session.Unsafe {
		return rtsp.NewResponse(rtsp.StatusInternal, 0)
	}
	return f.redirectOrRefuse(pb.player, pb.target.baseURL)
}

// endPlayback ends a playback whose stream has ended: it sends RTCP BYE on the playback's tracks (RFC 3550
// section 6.6) and closes the connection if nothing else plays on it.
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
	if !peer.inUse() {
		f.deferred = append(f.deferred, func() { f.closeUnused(peer) })
	}
}

// inUse reports whether a player's connection has a playback, an answer that is owed, or a request that is not whole yet.
func (p *peerConn) inUse() bool {
	return len(p.playbacks) > 0 || len(p.pendingReplies) > 0 || p.parser.Incomplete()
}

// closeUnused closes a player's connection at the end of a turn, unless a request came on it in the same turn.
func (f *Front) closeUnused(peer *peerConn) {
	if !peer.inUse() {
		f.closePlayer(peer)
	}
}

// detach removes a playback from its connection and gives back its seat and its channels.
func (f *Front) detach(pb *playback) {
	f.timers.Stop(pb.deadlineTimer)
	f.closeQualityRecord(pb)
	if pb.seat != "" {
		f.Access.Core.ReleaseSeat(pb.seat)
		pb.seat = ""
	}
	delete(f.sessions, pb.sessionID)
	peer := pb.player
	peer.playbacks = slices.DeleteFunc(peer.playbacks, func(other *playback) bool { return other == pb })
	for i, binding := range peer.channels {
		if binding != nil && binding.pb == pb {
			peer.channels[i] = nil
		}
	}
	pb.pendingSetups, pb.heldFrames, pb.heldUnits = nil, nil, nil
}

// upstreamRequestID returns the Request-Id sent to boxes; each move is a separate request there.
func (pb *playback) upstreamRequestID() string {
	if pb.moves == 0 {
		return pb.requestID
	}
	return pb.requestID + "/m" + strconv.Itoa(pb.moves)
}

// move requests a new placement under the same session and ends the old stream at once. The intended behaviour,
// not implemented yet, is that the old stream plays until the new one does.
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
