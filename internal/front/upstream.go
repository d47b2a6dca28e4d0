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

// state of a dialogue with a box.
type dialogueState uint8

const (
	stateTrying  dialogueState = iota // a try is out
	statePlaying                      // its playback plays
	stateLapsed                       // given up while its answer is open
	stateClosing                      // TEARDOWN is sent
	stateControl                      // a control dialogue: probes
	stateOrphan                       // ends what a dead process left
)

// dialogue is a connection to a box. A try has one of its own, so that its loss or a stall concerns one
// playback; probes of a box share one.
type serverDialogue struct {
	peer           *peerConn
	server         int
	playback       *playback
	try            int
	state          dialogueState
	connected      bool
	requestsSent   bool // the requests have left: something may run
	startedAt      Time
	timer          *core.Timer
	lastCSeq       int
	firstCSeq      int // CSeq of the first SETUP; the last is PLAY's
	playCSeq       int
	okResponses    int
	playAnswered   bool // PLAY is answered
	packetReceived bool // a packet has come
	sessionID      string
	uri            string
	rung           int // as told to the box
	load           session.Load
	journalName    string // its name in the journal, if it is there
	orphanName     string // of freeing: the name there
	done           func(answered bool)
}

const pipelineID = "1" // of Pipelined-Requests: one session a connection

func (f *Front) dial(dialogue *serverDialogue) {
	f.dialAddress(dialogue, f.boxes[dialogue.server].name, f.boxes[dialogue.server].address)
}

func (f *Front) dialAddress(dialogue *serverDialogue, name, address string) {
	c := &core.Conn{}
	dialogue.peer = &peerConn{conn: c, address: name, dialogue: dialogue, parser: rtsp.Parser{Bounds: rtsp.Usual}}
	dialogue.peer.sink = sink{f, dialogue.peer}
	c.Owner = dialogue.peer
	dialogue.startedAt = f.now
	f.Figures.Dialogues++
	f.network.Dial(c, address)
}

// try sets a playback up at a box: SETUP for each track and PLAY, all in one go (RFC 7826 section 18.33).
func (f *Front) startTry(pb *playback, server int, limit Time) {
	f.Figures.Tries++
	pb.lastServer = server
	if f.Told != nil && !pb.answered {
		pb.attempts = append(pb.attempts, Attempt{Box: f.boxes[server].name, Rung: pb.rung, StartedAt: f.now, Outcome: -1})
	}
	dialogue := &serverDialogue{server: server, playback: pb, try: pb.tries, rung: pb.rung}
	pb.tries++
	pb.upstream = dialogue
	dialogue.uri = "rtsp://" + f.boxes[server].address + "/" + f.Plans[pb.target.plan].Name + "/" + pb.target.title
	deadline := pb.request.Abandon
	if limit > 0 {
		deadline = min(deadline, f.now+limit)
	}
	f.dial(dialogue)
	dialogue.timer = f.timers.Set(nil, max(deadline, f.now), func() { f.tryTimedOut(dialogue) })
}

// Dialed tells how a connection to a box came out.
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
	if pb := dialogue.playback; pb != nil {
		dialogue.requestsSent = true
		if f.Journal != nil {
			dialogue.journalName = f.newID()
			f.Journal.Opened(life.Orphan{Name: dialogue.journalName, Address: f.boxes[dialogue.server].address, URI: dialogue.uri, At: f.now})
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

// next begins the next request of a dialogue.
func (f *Front) newRequest(dialogue *serverDialogue, method string) *rtsp.Message {
	dialogue.lastCSeq++
	return rtsp.Request(method, dialogue.uri, dialogue.lastCSeq).With("User-Agent", f.Name).With("Session", dialogue.sessionID)
}

// tell sends a request whose answer changes nothing.
func (f *Front) sendRequest(dialogue *serverDialogue, method string, header []rtsp.Field) {
	message := f.newRequest(dialogue, method)
	if dialogue.sessionID == "" {
		message.With("Pipelined-Requests", pipelineID)
	}
	for _, h := range header {
		message.With(h.Name, h.Value)
	}
	f.send(dialogue.peer, message)
}

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

// boxSink takes what a box sends.
type boxSink sink

func (s *boxSink) Bad(malformed *rtsp.Malformed) {
	s.f.Figures.Malformed++
	s.f.log.Info("malformed message of a box", zap.String("server", s.p.address), zap.String("what", malformed.Problem))
	if dialogue := s.p.dialogue; !malformed.Request && dialogue.playback != nil && dialogue.state == stateTrying {
		s.f.tryFailed(dialogue, session.Failed)
	}
}

func (s *boxSink) Frame(channel byte, payload []byte) {
	f, dialogue := s.f, s.p.dialogue
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
	f, dialogue := s.f, s.p.dialogue
	load, reported := ParseLoad(message.Get("Load"))
	if message.IsRequest() {
		f.handleBoxRequest(dialogue, message)
		return
	}
	if reported {
		dialogue.load = load
	}
	switch dialogue.state {
	case stateOrphan: // whatever it answers, nothing of that name runs there any more
		f.closeDialogue(dialogue)
		dialogue.done(true)
	case stateControl:
		f.probeEnded(dialogue, outcomeOf(message.Status))
	case stateTrying:
		if message.CSeq < dialogue.firstCSeq || message.CSeq > dialogue.playCSeq {
			return // of a change of rung
		}
		if outcome := outcomeOf(message.Status); outcome != session.OK {
			if outcome == session.Full && (message.CSeq != dialogue.firstCSeq || dialogue.sessionID != "") {
				outcome = session.Failed // only that of the first SETUP proves that nothing ran
			}
			f.tryFailed(dialogue, outcome)
			return
		}
		if id, _ := rtsp.SessionID(message.Get("Session")); id != "" {
			dialogue.sessionID = id
		}
		if message.CSeq == dialogue.playCSeq {
			if dialogue.playAnswered = true; dialogue.packetReceived {
				f.tryStarted(dialogue)
			}
		}
	case stateLapsed:
		// The answer to a try that was given up: TEARDOWN is under way, nothing else comes of it.
		f.Figures.LateAnswers++
		if dialogue.state = stateClosing; message.Status < 300 {
			dialogue.sessionID, _ = rtsp.SessionID(message.Get("Session"))
			f.sendRequest(dialogue, rtsp.Teardown, nil)
		}
		f.closeDialogue(dialogue)
	case stateClosing:
		if message.CSeq == dialogue.lastCSeq {
			f.closeDialogue(dialogue)
		}
	}
}

// bye takes the end of a stream: RTCP BYE of the box (RFC 3550 section 6.6).
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

// begun notes that a try has come out: PLAY is answered and the first packet is here.
func (f *Front) tryStarted(dialogue *serverDialogue) {
	dialogue.state = statePlaying
	f.timers.Stop(dialogue.timer)
	f.module.Playing(dialogue.playback.id, dialogue.try, dialogue.server, f.now-dialogue.startedAt)
	if f.queue != nil {
		f.queue.Played(f.now - dialogue.startedAt)
	}
	f.reportLoad(dialogue, dialogue.load)
	f.started(dialogue.playback)
	if dialogue.playback.rung != dialogue.rung {
		f.setRung(dialogue.playback, dialogue.playback.rung)
	}
}

// noted passes on what a box says of its link and its rack's uplink.
func (f *Front) reportLoad(dialogue *serverDialogue, load session.Load) {
	note := session.Note{Playback: dialogue.playback.id, Server: dialogue.server, Kind: session.LinkAsked, Value: load.Link}
	if load.HasLink {
		f.module.Noted(note)
	}
	if note.Kind, note.Value = session.UplinkAsked, load.Uplink; load.HasUplink {
		f.module.Noted(note)
	}
}

// boxAsks takes a box's own request: SET_PARAMETER with notes on a session.
func (f *Front) handleBoxRequest(dialogue *serverDialogue, message *rtsp.Message) {
	status := rtsp.StatusOK
	switch message.Method {
	case rtsp.SetParameter:
		for _, parameter := range rtsp.Parameters(message.Body) {
			number, err := strconv.ParseFloat(parameter.Value, 64)
			if err != nil || number < 0 || number > 1e6 {
				status = rtsp.StatusParameterUnknown
				continue
			}
			kind := session.NoteKind(0)
			switch parameter.Name {
			case "delivered":
				kind = session.Delivered
			case "link":
				kind = session.LinkAsked
			case "uplink":
				kind = session.UplinkAsked
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
	f.send(dialogue.peer, rtsp.Answer(status, message.CSeq))
}

// Load reads a Load header: link=0.8;uplink=0.4;capped (docs/wire.md). False if it is empty or malformed.
func ParseLoad(value string) (load session.Load, ok bool) {
	for _, pair := range rtsp.Pairs(value) {
		number, err := strconv.ParseFloat(pair.Value, 64)
		bad := err != nil || !(number >= 0 && number <= 1e6)
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

// result tells the module how a try, or the playback that came of it, has ended.
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

// failed ends a try that the box has answered with an error.
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

// timedOut gives a try up.
func (f *Front) tryTimedOut(dialogue *serverDialogue) {
	if dialogue.state != stateTrying || dialogue.playback.upstream != dialogue {
		return
	}
	outcome := session.TimedOut
	if !dialogue.requestsSent {
		outcome = session.NoConnection // nothing has left: nothing can run
	}
	f.tryFailed(dialogue, outcome)
}

// teardown ends a dialogue at the box. A box that has answered gets TEARDOWN for its session. One that has
// not gets it for the pipelined requests at once, so that what it has yet to do it need not, and again for
// its session should the answer come: the dialogue is kept for that while, within a bound. It guards
// against places that stay taken at boxes that are slow, stuck or cut off.
func (f *Front) teardown(dialogue *serverDialogue) {
	if !dialogue.requestsSent {
		f.closeDialogue(dialogue)
		return
	}
	unanswered := !dialogue.playAnswered && dialogue.sessionID == ""
	f.sendRequest(dialogue, rtsp.Teardown, nil)
	dialogue.state = stateClosing
	timeout := f.SessionTimeout / partialTimeoutDivisor
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

// hangUp closes a dialogue's connection.
func (f *Front) closeDialogue(dialogue *serverDialogue) {
	if dialogue.peer.closed {
		return
	}
	f.flush(dialogue.peer)
	f.network.Close(dialogue.peer.conn)
	f.releaseDialogue(dialogue)
}

// unhook forgets a dialogue's connection.
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

// lost takes the loss of a dialogue's connection.
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

// probe asks a box for its load: OPTIONS on a dialogue kept for that.
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

// probed tells the module how a probe came out.
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
