package front

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/life"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// dialogueState is the state of a dialogue with a box.
type dialogueState uint8

const (
	stateTrying  dialogueState = iota // a setup try is in progress
	statePlaying                      // its playback plays
	stateLapsed                       // the try was given up before the box responded
	stateClosing                      // TEARDOWN was sent
	stateControl                      // control dialogue, for probes
	stateOrphan                       // tears down a session that a dead process left
)

// serverDialogue is a connection to a box. Each try has its own, so that a lost or stalled connection affects
// one playback only; the probes of a box share one.
type serverDialogue struct {
	peer           *peerConn
	server         int       // index in Front.boxes, -1 for an orphan
	address        string    // to which it was dialed
	playback       *playback // nil for probes and orphans
	try            int       // number of the try within its playback
	state          dialogueState
	connected      bool
	requestsSent   bool // the box may have acted on them
	startedAt      Time
	timer          *core.Timer
	lastCSeq       int
	firstCSeq      int // of the first SETUP
	playCSeq       int // of PLAY, the last request of the try
	okResponses    int
	playAnswered   bool   // PLAY was answered with success
	packetReceived bool   // a media packet has arrived
	sessionID      string // assigned by the box
	uri            string
	rung           int // as last sent to the box
	load           session.Load
	journalName    string              // empty if the dialogue is not in the journal
	orphanName     string              // in stateOrphan: the journal name that the dead process gave it
	done           func(answered bool) // in stateOrphan: called at the end
}

const pipelineID = "1" // value of Pipelined-Requests; constant, as each connection has one session

func (f *Front) dial(dialogue *serverDialogue) {
	f.dialAddress(dialogue, f.boxes[dialogue.server].name, f.boxes[dialogue.server].address)
}

func (f *Front) dialAddress(dialogue *serverDialogue, name, address string) {
	c := &core.Conn{}
	dialogue.peer = &peerConn{conn: c, address: name, dialogue: dialogue, parser: rtsp.Parser{Bounds: rtsp.DefaultBounds}}
	dialogue.peer.sink = sink{f, dialogue.peer}
	c.Owner = dialogue.peer
	dialogue.startedAt, dialogue.address = f.now, address
	f.Figures.Dialogues++
	f.network.Dial(c, address)
}

// startTry starts a setup try at a box. Once connected, SETUP for each track and PLAY are sent as pipelined
// requests (RFC 7826 section 18.33).
func (f *Front) startTry(pb *playback, server int, limit Time) {
	f.Figures.Tries++
	pb.lastServer = server
	if f.OnAnswered != nil && !pb.answered {
		pb.attempts = append(pb.attempts, Attempt{Box: f.boxes[server].name, Rung: pb.rung, StartedAt: f.now, Outcome: -1})
	}
	dialogue := &serverDialogue{server: server, playback: pb, try: pb.tries, rung: pb.rung}
	pb.tries++
	pb.upstream = dialogue
	dialogue.uri = "rtsp://" + f.boxes[server].address + "/" + f.Plans[pb.target.plan].Name + "/" + pb.target.title
	deadline := pb.request.AbandonAt
	if limit > 0 {
		deadline = min(deadline, f.now+limit)
	}
	f.dial(dialogue)
	dialogue.timer = f.timers.Set(nil, max(deadline, f.now), func() { f.tryTimedOut(dialogue) })
}

// Dialed handles the result of connecting to a box.
func (f *Front) Dialed(c *core.Conn, err error) {
	peer, ok := c.Owner.(*peerConn)
	if !ok || peer.closed {
		return
	}
	dialogue := peer.dialogue
	if err != nil {
		f.dialogueLost(dialogue, session.NoConnection)
		return
	}
	dialogue.connected = true
	peer.lastReceived = f.now
	if dialogue.state == stateOrphan {
		f.send(peer, f.newRequest(dialogue, rtsp.Teardown).With("Dialogue", dialogue.orphanName))
	}
	if dialogue.playback != nil {
		f.deferred = append(f.deferred, func() { f.sendSetup(dialogue) })
	}
	f.markUnflushed(peer)
}

// sendSetup sends the requests of a try whose connection is up. It runs at the end of a turn: a list update that came since
// the connection was dialed, also one of the same turn, may have taken the box out of service or moved it.
func (f *Front) sendSetup(dialogue *serverDialogue) {
	peer := dialogue.peer
	if peer.closed || dialogue.state != stateTrying {
		return
	}
	if box := &f.boxes[dialogue.server]; box.state != session.Ready || box.address != dialogue.address {
		f.dialogueLost(dialogue, session.NotSent)
		return
	}
	if pb := dialogue.playback; pb != nil {
		dialogue.requestsSent = true
		if f.Journal != nil {
			dialogue.journalName = f.newID()
			f.Journal.Opened(life.Orphan{Name: dialogue.journalName, Address: dialogue.address, URI: dialogue.uri, At: f.now})
		}
		dialogue.rung = pb.rung
		dialogue.firstCSeq = dialogue.lastCSeq + 1
		for i := range f.Plans[pb.target.plan].Tracks {
			t := rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: byte(2 * i), RTCP: byte(2*i + 1)}
			message := f.newRequest(dialogue, rtsp.Setup).With("Transport", t.String()).With("Pipelined-Requests", pipelineID)
			message.URI += "/track" + strconv.Itoa(i)
			f.send(peer, message.With("Rung", strconv.Itoa(dialogue.rung)).With("Request-Id", pb.upstreamRequestID()).
				With("Try", strconv.Itoa(dialogue.try)).With("Dialogue", dialogue.journalName))
		}
		f.send(peer, f.newRequest(dialogue, rtsp.Play).With("Pipelined-Requests", pipelineID).With("Request-Id", pb.upstreamRequestID()))
		dialogue.playCSeq = dialogue.lastCSeq
	}
	f.markUnflushed(peer)
}

// newRequest returns the next request of a dialogue.
func (f *Front) newRequest(dialogue *serverDialogue, method string) *rtsp.Message {
	dialogue.lastCSeq++
	return rtsp.NewRequest(method, dialogue.uri, dialogue.lastCSeq).With("User-Agent", f.Name).With("Session", dialogue.sessionID)
}

// sendRequest sends a request whose response needs no handling.
func (f *Front) sendRequest(dialogue *serverDialogue, method string, header []rtsp.Field) {
	message := f.newRequest(dialogue, method)
	if dialogue.sessionID == "" {
		message.With("Pipelined-Requests", pipelineID)
	}
	for _, field := range header {
		message.With(field.Name, field.Value)
	}
	f.send(dialogue.peer, message)
}

// setRung changes the rung of a playback, at its box too if the requests were sent.
func (f *Front) setRung(pb *playback, rung int) {
	pb.rung = rung
	f.recordPlacement(pb)
	if dialogue := pb.upstream; dialogue != nil && dialogue.requestsSent && dialogue.rung != rung {
		dialogue.rung = rung
		message := f.newRequest(dialogue, rtsp.SetParameter).With("Content-Type", "text/parameters")
		if dialogue.sessionID == "" {
			message.With("Pipelined-Requests", pipelineID)
		}
		message.Body = rtsp.AppendParameters(nil, rtsp.Field{Name: "rung", Value: strconv.Itoa(rung)})
		f.send(dialogue.peer, message)
	}
}

// boxSink handles what a box sends.
type boxSink sink

func (s *boxSink) Malformed(malformed *rtsp.MalformedError) {
	s.front.Figures.Malformed++
	s.front.log.Info("malformed message from box", zap.String("server", s.peer.address), zap.String("what", malformed.Problem))
	if dialogue := s.peer.dialogue; !malformed.Request && dialogue.playback != nil && dialogue.state == stateTrying {
		s.front.tryFailed(dialogue, session.Failed)
	}
}

func (s *boxSink) Frame(channel byte, payload []byte) {
	f, dialogue := s.front, s.peer.dialogue
	switch {
	case dialogue.state != stateTrying && dialogue.state != statePlaying:
		return
	case dialogue.playback.playing:
		f.deliver(dialogue.playback, channel, payload)
	default:
		f.holdFrame(dialogue.playback, channel, payload)
	}
	if channel&1 == 1 {
		f.handleBye(dialogue, payload)
		return
	}
	dialogue.packetReceived = true
	if dialogue.state == stateTrying && dialogue.playAnswered {
		f.tryStarted(dialogue)
	}
}

func (s *boxSink) Message(message *rtsp.Message) {
	f, dialogue := s.front, s.peer.dialogue
	load, reported := ParseLoad(message.Get("Load"))
	if message.IsRequest() {
		f.handleBoxRequest(dialogue, message)
		return
	}
	if reported {
		dialogue.load = load
	}
	switch dialogue.state {
	case stateOrphan: // whatever the status, the session of that name no longer runs at the box
		f.closeDialogue(dialogue)
		dialogue.done(true)
	case stateControl:
		f.probeEnded(dialogue, outcomeOf(message.Status))
	case stateTrying:
		if message.CSeq < dialogue.firstCSeq || message.CSeq > dialogue.playCSeq {
			return // response to a change of rung
		}
		if outcome := outcomeOf(message.Status); outcome != session.OK {
			if outcome == session.Full && (message.CSeq != dialogue.firstCSeq || dialogue.sessionID != "") {
				outcome = session.Failed // only a 453 to the first SETUP proves that nothing ran
			}
			f.tryFailed(dialogue, outcome)
			return
		}
		if id, _ := rtsp.ParseSession(message.Get("Session")); id != "" {
			dialogue.sessionID = id
		}
		if message.CSeq == dialogue.playCSeq {
			if dialogue.playAnswered = true; dialogue.packetReceived {
				f.tryStarted(dialogue)
			}
		}
	case stateLapsed:
		// A late response to a try that was given up. TEARDOWN was already sent for the pipelined requests; if the
		// try has succeeded nonetheless, it is sent for the session too. The response has no other effect.
		f.Figures.LateAnswers++
		if dialogue.state = stateClosing; message.Status < 300 {
			dialogue.sessionID, _ = rtsp.ParseSession(message.Get("Session"))
			f.sendRequest(dialogue, rtsp.Teardown, nil)
		}
		f.closeDialogue(dialogue)
	case stateClosing:
		if message.CSeq == dialogue.lastCSeq {
			f.closeDialogue(dialogue)
		}
	}
}

// handleBye ends the playback if the RTCP packets hold a BYE from the box (RFC 3550 section 6.6).
func (f *Front) handleBye(dialogue *serverDialogue, payload []byte) {
	for len(payload) >= 4 {
		packetBytes := 4 * (int(payload[2])<<8 + int(payload[3]) + 1)
		if payload[1] == 203 && dialogue.state == statePlaying {
			pb := dialogue.playback
			f.reportResult(dialogue, session.OK, true)
			f.teardown(dialogue)
			f.endPlayback(pb)
			return
		}
		if packetBytes > len(payload) {
			return
		}
		payload = payload[packetBytes:]
	}
}

// tryStarted handles the success of a try: PLAY is answered and the first packet has arrived.
func (f *Front) tryStarted(dialogue *serverDialogue) {
	dialogue.state = statePlaying
	f.timers.Stop(dialogue.timer)
	f.module.Playing(dialogue.playback.id, dialogue.try, dialogue.server, f.now-dialogue.startedAt)
	if f.queue != nil {
		f.queue.Started(f.now - dialogue.startedAt)
	}
	f.reportLoad(dialogue, dialogue.load)
	f.started(dialogue.playback)
	if dialogue.playback.rung != dialogue.rung {
		f.setRung(dialogue.playback, dialogue.playback.rung)
	}
}

// reportLoad passes the load that a box reports of its link and its rack's uplink to the module.
func (f *Front) reportLoad(dialogue *serverDialogue, load session.Load) {
	note := session.Note{Playback: dialogue.playback.id, Server: dialogue.server, Kind: session.LinkDemand, Value: load.Link}
	if load.HasLink {
		f.module.Noted(note)
	}
	if note.Kind, note.Value = session.UplinkDemand, load.Uplink; load.HasUplink {
		f.module.Noted(note)
	}
}

// maxNoteValue is the highest figure of a note or a load report that is taken for a share of a capacity.
const maxNoteValue = 1e6

// handleBoxRequest handles a request from a box: SET_PARAMETER with notes on a session, or TEARDOWN.
func (f *Front) handleBoxRequest(dialogue *serverDialogue, request *rtsp.Message) {
	status := rtsp.StatusOK
	switch request.Method {
	case rtsp.SetParameter:
		for _, parameter := range rtsp.ParseParameters(request.Body) {
			number, err := strconv.ParseFloat(parameter.Value, 64)
			if err != nil || !(number >= 0 && number <= maxNoteValue) { // NaN is in no range
				status = rtsp.StatusParameterUnknown
				continue
			}
			kind := session.NoteKind(0)
			switch parameter.Name {
			case "delivered":
				kind = session.DeliveredShare
			case "link":
				kind = session.LinkDemand
			case "uplink":
				kind = session.UplinkDemand
			default:
				status = rtsp.StatusParameterUnknown
			}
			if kind != 0 && dialogue.state == statePlaying {
				f.module.Noted(session.Note{Playback: dialogue.playback.id, Server: dialogue.server, Kind: kind, Value: number})
			}
		}
	case rtsp.Options, rtsp.GetParameter:
	case rtsp.Teardown:
		if dialogue.state == statePlaying {
			pb := dialogue.playback
			f.reportResult(dialogue, session.OK, true)
			f.closeDialogue(dialogue)
			f.endPlayback(pb)
			return
		}
	default:
		status = rtsp.StatusNotImplemented
	}
	f.send(dialogue.peer, rtsp.NewResponse(status, request.CSeq))
}

// ParseLoad parses a Load header such as link=0.8;uplink=0.4;capped (docs/wire.md). ok is false if it is
// malformed or has neither link nor uplink.
func ParseLoad(value string) (load session.Load, ok bool) {
	for _, pair := range rtsp.ParsePairs(value) {
		number, err := strconv.ParseFloat(pair.Value, 64)
		bad := err != nil || !(number >= 0 && number <= maxNoteValue) // NaN is in no range
		switch {
		case pair.Name == "capped":
			load.Capped = true
		case bad:
			return session.Load{}, false
		case pair.Name == "link":
			load.Link, load.HasLink, ok = number, true, true
		case pair.Name == "uplink":
			load.Uplink, load.HasUplink, ok = number, true, true
		}
	}
	return load, ok
}

// reportResult reports to the module how a try, or the playback that it started, has ended.
func (f *Front) reportResult(dialogue *serverDialogue, outcome session.Outcome, final bool) {
	pb := dialogue.playback
	f.timers.Stop(dialogue.timer)
	if pb.upstream != dialogue {
		return
	}
	pb.upstream = nil
	if n := len(pb.attempts); n > 0 && !pb.answered {
		pb.attempts[n-1].Duration, pb.attempts[n-1].Outcome = f.now-dialogue.startedAt, outcome
	}
	if dialogue.state == statePlaying && f.queue != nil {
		f.queue.Ended()
	}
	f.module.Ended(session.Result{Playback: pb.id, Try: dialogue.try, Server: dialogue.server, Outcome: outcome, Took: f.now - dialogue.startedAt,
		Final: final, Load: dialogue.load})
}

// tryFailed ends a try that the box answered with an error or that timed out.
func (f *Front) tryFailed(dialogue *serverDialogue, outcome session.Outcome) {
	pb := dialogue.playback
	f.reportResult(dialogue, outcome, false)
	if outcome == session.Full {
		f.closeDialogue(dialogue)
	} else {
		f.teardown(dialogue)
	}
	pb.heldFrames, pb.heldUnits = nil, nil
}

// tryTimedOut gives up a try whose time limit has passed.
func (f *Front) tryTimedOut(dialogue *serverDialogue) {
	if dialogue.state != stateTrying || dialogue.playback.upstream != dialogue {
		return
	}
	outcome := session.TimedOut
	if !dialogue.requestsSent {
		outcome = session.NoConnection // no request was sent, so nothing can run at the box
	}
	f.tryFailed(dialogue, outcome)
}

// teardown ends a dialogue at the box. A box that has responded gets TEARDOWN for its session. One that has not
// gets TEARDOWN for the pipelined requests at once, so that it can skip those it has not handled yet, and again
// for its session if the response arrives; the dialogue is kept open for that for a limited time, and the
// number of such dialogues is limited too. This guards against capacity that stays reserved at boxes that are
// slow, hung or unreachable.
func (f *Front) teardown(dialogue *serverDialogue) {
	if !dialogue.requestsSent {
		f.closeDialogue(dialogue)
		return
	}
	unanswered := !dialogue.playAnswered && dialogue.sessionID == ""
	f.sendRequest(dialogue, rtsp.Teardown, nil)
	dialogue.state = stateClosing
	timeout := f.SessionTimeout / messageTimeoutDivisor
	if unanswered {
		dialogue.state = stateLapsed
		f.Figures.Lapsed++
		f.lapsedTries = append(f.lapsedTries, dialogue)
		if len(f.lapsedTries) > max(f.Bounds.Playbacks/lapsedPlaybackDivisor, 1) {
			f.closeDialogue(f.lapsedTries[0])
		}
	}
	dialogue.timer = f.timers.Set(dialogue.timer, f.now+timeout, func() { f.closeDialogue(dialogue) })
}

// closeDialogue closes a dialogue's connection.
func (f *Front) closeDialogue(dialogue *serverDialogue) {
	if dialogue.peer.closed {
		return
	}
	f.flush(dialogue.peer)
	f.network.Close(dialogue.peer.conn)
	f.releaseDialogue(dialogue)
}

// releaseDialogue releases a closed dialogue and ends its journal entry.
func (f *Front) releaseDialogue(dialogue *serverDialogue) {
	dialogue.peer.closed = true
	dialogue.peer.parser.Stop()
	f.timers.Stop(dialogue.timer)
	f.Figures.Dialogues--
	f.releaseBuffer(dialogue.peer)
	if i := slices.Index(f.lapsedTries, dialogue); i >= 0 {
		f.lapsedTries = slices.Delete(f.lapsedTries, i, i+1)
	}
	if dialogue.journalName != "" {
		f.Journal.Ended(dialogue.journalName)
	}
	if dialogue.server >= 0 && f.boxes[dialogue.server].controlDialogue == dialogue {
		f.boxes[dialogue.server].controlDialogue = nil
	}
}

// dialogueLost handles the loss of a dialogue's connection.
func (f *Front) dialogueLost(dialogue *serverDialogue, outcome session.Outcome) {
	previous := dialogue.state
	if outcome == session.Reset && !dialogue.requestsSent && dialogue.playback != nil {
		outcome = session.NoConnection
	}
	f.network.Close(dialogue.peer.conn)
	f.releaseDialogue(dialogue)
	switch previous {
	case stateTrying:
		pb := dialogue.playback
		f.reportResult(dialogue, outcome, false)
		pb.heldFrames, pb.heldUnits = nil, nil
	case statePlaying:
		pb := dialogue.playback
		f.reportResult(dialogue, outcome, true)
		f.endPlayback(pb)
	case stateControl:
		f.probeEnded(dialogue, outcome)
	case stateOrphan:
		dialogue.done(false)
	}
}

// probe asks a box for its load, with OPTIONS on its control dialogue.
func (f *Front) probe(server int) {
	f.Figures.Probes++
	box := &f.boxes[server]
	dialogue := box.controlDialogue
	box.probing = true
	if dialogue == nil {
		dialogue = &serverDialogue{server: server, state: stateControl, uri: "*"}
		box.controlDialogue = dialogue
		f.dial(dialogue)
	}
	f.send(dialogue.peer, f.newRequest(dialogue, rtsp.Options))
	dialogue.timer = f.timers.Set(dialogue.timer, f.now+probeLimit(&f.Site), func() {
		f.probeEnded(dialogue, session.TimedOut)
		f.closeDialogue(dialogue)
	})
}

// probeEnded reports the result of a probe to the module.
func (f *Front) probeEnded(dialogue *serverDialogue, outcome session.Outcome) {
	box := &f.boxes[dialogue.server]
	if !box.probing {
		return
	}
	box.probing = false
	f.module.Probed(dialogue.server, outcome, dialogue.load)
	if !dialogue.peer.closed {
		dialogue.timer = f.timers.Set(dialogue.timer, f.now+controlIdleTimeouts*f.SessionTimeout, func() { f.closeDialogue(dialogue) })
	}
}
