package front_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/internal/life"
	"pierlink/internal/quality"
	"pierlink/internal/rtsp"
	"pierlink/internal/tenants"
	"pierlink/policy"
	"pierlink/session"
)

// scenario runs one scenario file. `T who event ...` advances the clock to T seconds and passes an event to the
// front. `> action` expects an action with that beginning since the event, `! action` expects none, and
// `= N action` expects exactly N. `|` separates the statements of a line. Players are named by their open
// statement; dialogues with boxes are d1, d2, ... in the order in which they are dialed. `set key value`
// statements come first. There are three boxes, box-0 to box-2.
type scenario struct {
	t               *testing.T
	line            string
	config          *front.Config
	manager         *front.Front
	now             core.Time
	nextTurn        core.Time
	conns           map[string]*core.Conn
	connNames       map[*core.Conn]string
	dialCount       int
	unsentBytes     map[string]int
	parsers         map[string]*rtsp.Parser
	cseq            map[string]int
	heldBack        map[string][]byte
	sessionIDs      map[string]string
	recordedActions []string
	receivedBytes   map[string]int
	turnGoesOn      bool            // the next event comes in the same turn
	lifecycle       *life.Lifecycle // nil unless the scenario sets one
	otherManagers   []string
	access          *tenants.Core
	lookup          tenants.Request
	nonce           string
}

func digestHex(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, ":")))
	return hex.EncodeToString(sum[:])
}

func (s *scenario) record(format string, a ...any) {
	s.recordedActions = append(s.recordedActions, fmt.Sprintf(format, a...))
}

func (s *scenario) Dial(c *core.Conn, addr string) {
	s.dialCount++
	name := "d" + strconv.Itoa(s.dialCount)
	s.conns[name], s.connNames[c] = c, name
	s.record("%s dial %s", name, addr)
}

func (s *scenario) Send(c *core.Conn, b []byte) {
	name := s.connNames[c]
	if s.parsers[name] == nil {
		s.parsers[name] = &rtsp.Parser{Bounds: rtsp.DefaultBounds}
	}
	s.receivedBytes[name] += len(b)
	if s.unsentBytes[name] > 0 {
		s.t.Errorf("%s: sent to %s while the network is full", s.line, name)
	}
	if _, stuck := s.unsentBytes[name]; stuck {
		s.unsentBytes[name] += len(b)
	}
	if err := s.parsers[name].Feed(b, &messageRecorder{s, name}); err != nil {
		s.t.Errorf("%s: %s received malformed output: %v", s.line, name, err)
	}
}
func (s *scenario) Listen()                       {}
func (s *scenario) StopAccepting()                { s.record("hush"); s.manager.Lifecycle().AcceptStopped() }
func (s *scenario) Exit()                         { s.record("exit") }
func (s *scenario) StateChanged(state life.State) { s.record("state %s", state) }
func (s *scenario) Pending(c *core.Conn) int      { return s.unsentBytes[s.connNames[c]] }
func (s *scenario) Close(c *core.Conn)            { s.record("%s closed", s.connNames[c]) }

// messageRecorder records the messages and frames that the front sends on one connection.
type messageRecorder struct {
	scenario *scenario
	party    string
}

func (r *messageRecorder) Malformed(malformed *rtsp.MalformedError) {
	r.scenario.t.Errorf("%s: the front sent a malformed message: %v", r.scenario.line, malformed)
}
func (r *messageRecorder) Frame(channel byte, payload []byte) {
	r.scenario.record("%s frame %d", r.party, channel)
}
func (r *messageRecorder) Message(message *rtsp.Message) {
	text := r.party + " "
	if message.IsRequest() {
		text += message.Method
	} else {
		text += strconv.Itoa(message.Status)
		if id, _ := rtsp.ParseSession(message.Get("Session")); id != "" {
			r.scenario.sessionIDs[r.party] = id
		}
	}
	text += " cseq=" + strconv.Itoa(message.CSeq)
	if i := strings.LastIndex(message.URI, "/track"); i >= 0 {
		text += " " + message.URI[i+1:]
	}
	if _, nonce, ok := strings.Cut(message.Get("WWW-Authenticate"), `nonce="`); ok {
		r.scenario.nonce, _, _ = strings.Cut(nonce, `"`)
	}
	for _, h := range []string{"Try", "Rung", "Retry-After"} {
		if v := message.Get(h); v != "" {
			text += " " + strings.ToLower(h) + "=" + v
		}
	}
	r.scenario.record("%s", text)
}

func newConfig() *front.Config {
	tracks := []front.Track{{Media: "video", Encoding: "H264/90000", Payload: 96}, {Media: "audio", Encoding: "opus/48000", Payload: 97}}
	return &front.Config{Name: "front", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"),
		SessionTimeout: 20 * core.Second, Plans: []front.PlanProfile{{Name: "live", Abandon: 4 * core.Second, Tracks: tracks},
			{Name: "paid", Abandon: 4 * core.Second, Tracks: tracks[:1]}},
		Bounds: front.Bounds{Connections: 100, Playbacks: 100, Pipelined: 8, PlayerBytes: 32 << 10},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{StartupTarget: core.Second, Revenue: 1, RateFactor: 1, Top: 1},
			{StartupTarget: core.Second, Revenue: 1, RateFactor: 1, Top: 1, Repeat: session.Unsafe}},
			Ladder: session.Ladder{RateKB: []float64{10, 20}, RevenueShare: []float64{.5, 1}, Join: 1, RungChangeCost: 5e5},
			Fleet: session.Fleet{Cells: 3, Racks: 1, TotalLinkKB: 3000, UplinkKB: 3000, KBPerWeight: 1000, WeightsListed: true,
				MaxStreams: []float64{100}, NoteDelay: 1e6, NoteInterval: 3e6, LoadInAnswers: true, LoadInProbes: true},
			Terms: session.Terms{ColdShare: .5, WarmUp: 1e5, ColdMultiple: 4, ColdSpan: 1e6, MaxTries: 3, MaxRetryAfter: 2e6}}}
}

// listedBox is what a list says of a box: its address is its name if that is empty.
type listedBox struct {
	state   session.ServerState
	address string
	started core.Time
}

func (s *scenario) updateList(state map[string]listedBox, whole bool) {
	update := front.ListUpdate{Complete: whole}
	for i := range 3 {
		name := "box-" + strconv.Itoa(i)
		if box, ok := state[name]; ok {
			if box.state == session.Gone {
				update.Servers = append(update.Servers, front.Server{Name: name, State: box.state}) // a registry reports nothing else of it
				continue
			}
			if box.address == "" {
				box.address = name
			}
			update.Servers = append(update.Servers, front.Server{Name: name, Address: box.address, Zone: "z", Kind: "std", Cell: i, Weight: 1, State: box.state, Started: box.started})
		}
	}
	s.manager.UpdateList(update)
}

// turn runs one turn of the front at the present time of the scenario's clock.
func (s *scenario) turn(event func()) {
	s.manager.BeginTurn(s.now)
	if event != nil {
		event()
	}
	if s.turnGoesOn {
		return
	}
	s.nextTurn = s.manager.EndTurn()
}

func (s *scenario) advance(until core.Time) {
	for s.nextTurn <= until {
		s.now = max(s.now, s.nextTurn)
		s.turn(nil)
	}
	s.now = until
}

// message encodes a message from a player or a box, given as METHOD or STATUS, a path, and key=value words.
func (s *scenario) message(party string, words []string) []byte {
	options, path := map[string]string{}, ""
	for _, x := range words[1:] {
		if k, v, ok := strings.Cut(x, "="); ok && !strings.Contains(k, "/") {
			options[k] = strings.ReplaceAll(v, "+", " ")
		} else {
			path = x
		}
	}
	s.cseq[party]++
	cseq := s.cseq[party]
	if v, err := strconv.Atoi(options["cseq"]); err == nil {
		cseq = v
		s.cseq[party] = v
	}
	delete(options, "cseq")
	status, err := strconv.Atoi(words[0])
	message := rtsp.NewResponse(status, cseq)
	if err != nil {
		message = rtsp.NewRequest(words[0], "rtsp://front/"+path, cseq)
	}
	if channel, err := strconv.Atoi(options["ch"]); err == nil {
		message.With("Transport", rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: byte(channel), RTCP: byte(channel + 1)}.String())
		delete(options, "ch")
	}
	if options["session"] == "mine" {
		options["session"] = s.sessionIDs[party]
	}
	for _, k := range []string{"delivered", "link", "uplink"} {
		if v, ok := options[k]; ok {
			message.Body = rtsp.AppendParameters(message.Body, rtsp.Field{Name: k, Value: v})
			delete(options, k)
		}
	}
	if v, ok := options["report"]; ok {
		message.Body = rtsp.AppendParameters(message.Body, rtsp.Field{Name: "report", Value: strings.ReplaceAll(v, ",", " ")})
		delete(options, "report")
	}
	if user, pass, ok := strings.Cut(options["auth"], ":"); ok {
		uri := message.URI
		digest := digestHex(digestHex(user, "pier", pass), s.nonce, "00000001", "cn", "auth", digestHex(message.Method, uri))
		message.With("Authorization", fmt.Sprintf(`Digest username="%s", realm="pier", nonce="%s", uri="%s", qop=auth, nc=00000001, cnonce="cn", response="%s", algorithm=SHA-256`,
			user, s.nonce, uri, digest))
		delete(options, "auth")
	}
	for k, v := range options {
		message.With(k, v)
	}
	return message.Append(nil)
}

func (s *scenario) applyEvent(words []string) {
	party := words[0]
	conn := s.conns[party]
	receive := func(b []byte) { s.turn(func() { s.manager.Received(conn, b) }) }
	switch {
	case party == "list":
		state := map[string]listedBox{}
		for _, x := range words[1:] { // NAME=STATE[^ADDRESS][@SECONDS of its start]
			k, v, _ := strings.Cut(x, "=")
			v, started, _ := strings.Cut(v, "@")
			v, address, _ := strings.Cut(v, "^")
			seconds, _ := strconv.ParseFloat(started, 64)
			state[k] = listedBox{map[string]session.ServerState{"ready": session.Ready, "drains": session.Draining, "gone": session.Gone}[v], address, core.Time(seconds * 1e6)}
		}
		s.turn(func() { s.updateList(state, false) })
	case party == "wait":
		s.turn(nil)
	case party == "first": // first event ...: the next event comes in the same turn
		s.turnGoesOn = true
		s.applyEvent(words[1:])
		s.turnGoesOn = false
	case party == "stop":
		s.turn(s.manager.Stop)
	case party == "halt":
		s.turn(func() { s.manager.Lifecycle().Stop() })
	case party == "handed":
		s.turn(func() { s.manager.Lifecycle().TakenOver() })
	case party == "late":
		seconds, _ := strconv.ParseFloat(words[1], 64)
		s.manager.TurnFinished(core.Time(seconds*1e6), 0)
	case party == "came": // came SECONDS who event: the event arrived SECONDS ago
		seconds, _ := strconv.ParseFloat(words[1], 64)
		s.manager.BeginTurn(s.now)
		s.manager.EventArrived(s.now - core.Time(seconds*1e6))
		s.manager.Received(s.conns[words[2]], s.message(words[2], words[3:]))
		s.nextTurn = s.manager.EndTurn()
		s.manager.TurnFinished(0, 0)
	case party == "found" || party == "none": // the directory answers the pending look-up
		s.turn(func() {
			switch {
			case party == "none":
				s.access.HandleLookup(s.lookup.Attempt, nil)
				return
			case words[1] == "ann":
				s.access.HandleLookup(s.lookup.Attempt, &tenants.Record{ID: "2", Kind: tenants.Member, Name: "ann", Tenant: "school", Digest: digestHex("ann", "pier", "secret")})
				return
			}
			s.access.HandleLookup(s.lookup.Attempt, &tenants.Record{ID: "9", Kind: tenants.Member, Name: words[1], Tenant: "school"})
		})
	case party == "orphan":
		s.turn(func() {
			s.manager.AdoptOrphans([]life.Orphan{{Name: words[2], Address: words[1], URI: "rtsp://" + words[1] + "/live/t"}}, func() { s.record("settled") })
		})
	case party == "reload":
		abandonSeconds, _ := strconv.ParseFloat(words[2], 64)
		config := &front.ReloadConfig{Bounds: s.config.Bounds, SessionTimeout: s.config.SessionTimeout}
		for range s.config.Plans {
			config.Abandon = append(config.Abandon, core.Time(abandonSeconds*1e6))
		}
		s.turn(func() { s.manager.Reload(config) })
	case party == "left": // left KEY VALUE: checks a counter or a current value
		got := map[string]int64{"playbacks": s.manager.Figures.Playbacks, "dialogues": s.manager.Figures.Dialogues,
			"connections": s.manager.Figures.Connections, "late": s.manager.Figures.LateAnswers, "video": s.manager.Figures.LostVideo,
			"audio": s.manager.Figures.LostAudio, "slow": s.manager.Figures.SlowSenders, "tries": s.manager.Figures.Tries,
			"taken": s.manager.Figures.Taken, "overdue": s.manager.Figures.Overdue}[words[1]]
		if want := words[2]; strconv.FormatInt(got, 10) != want && !(want == "some" && got > 0) {
			s.t.Errorf("%s: the value is %d", s.line, got)
		}
	case words[1] == "open":
		conn := &core.Conn{}
		s.conns[party], s.connNames[conn] = conn, party
		s.turn(func() { s.manager.Accepted(conn, party) })
	case words[1] == "up":
		s.turn(func() { s.manager.Dialed(conn, nil) })
	case words[1] == "refused":
		s.turn(func() { s.manager.Dialed(conn, core.ErrRefused) })
	case words[1] == "close":
		s.turn(func() { s.manager.Closed(conn, core.ErrClosedByPeer) })
	case words[1] == "leaves": // it has closed the connection, of which more is still to be read
		s.turn(func() { s.manager.PeerClosed(conn) })
	case words[1] == "stuck":
		s.unsentBytes[party] = 1
	case words[1] == "drains":
		delete(s.unsentBytes, party)
		s.turn(func() { s.manager.Drained(conn) })
	case words[1] == "raw":
		text, err := strconv.Unquote(`"` + strings.Join(words[2:], " ") + `"`)
		if err != nil {
			s.t.Fatal(s.line, err)
		}
		receive([]byte(text))
	case words[1] == "frame" || words[1] == "frames": // frame CHANNEL SIZE [COUNT]
		ch, _ := strconv.Atoi(words[2])
		size, _ := strconv.Atoi(words[3])
		n := 1
		if len(words) > 4 {
			n, _ = strconv.Atoi(words[4])
		}
		var b []byte
		for range n {
			b = rtsp.AppendFrame(b, byte(ch), make([]byte, size))
		}
		receive(b)
	case words[1] == "bye":
		receive(rtsp.AppendFrame(nil, 1, []byte{0x81, 203, 0, 1, 0, 0, 0, 0}))
	case words[1] == "half": // the first N bytes of the message; `rest` sends the others
		n, _ := strconv.Atoi(words[2])
		b := s.message(party, words[3:])
		s.heldBack[party] = b[n:]
		receive(b[:n])
	case words[1] == "rest":
		receive(s.heldBack[party])
	case words[1] == "all": // several messages, separated by &, received at once
		var b []byte
		for part := range strings.SplitSeq(strings.Join(words[2:], " "), "&") {
			b = append(b, s.message(party, strings.Fields(part))...)
		}
		receive(b)
	default:
		receive(s.message(party, words[1:]))
	}
}

func (s *scenario) runLine(line string) {
	words := strings.Fields(line)
	expected, matches := strings.Join(words[1:], " "), 0
	if words[0] == "=" {
		expected = strings.Join(words[2:], " ")
	}
	for _, action := range s.recordedActions {
		if strings.HasPrefix(action+" ", expected+" ") {
			matches++
		}
	}
	failed := false
	switch words[0] {
	case "set":
		value, _ := strconv.Atoi(words[2])
		switch words[1] {
		case "connections":
			s.config.Bounds.Connections = value
		case "playbacks":
			s.config.Bounds.Playbacks = value
		case "halfopen":
			s.config.Limits.MaxHalfOpen = value
		case "silent": // no Retry-After advice
			s.config.OmitRetryAfter, s.config.Site.Terms.MaxRetryAfter = true, 0
		case "queue":
			s.config.Queue = &fair.Config{MaxWaiting: value, MaxBytes: 1 << 20, MaxTenants: 9, MaxIdleClients: 9, WithholdRetryTime: s.config.OmitRetryAfter}
		case "seats": // per title of the paid plan
			s.config.Site.Plans[1].Seats = value
		case "ration": // budget of further tries per 10 s
			terms := &s.config.Site.Terms
			terms.RetriesLimited, terms.FreeRetries, terms.RetrySpan, terms.MaxTries = true, float64(value), 10*core.Second, 9
		case "drain":
			s.lifecycle = life.New(life.Timeouts{Drain: core.Time(value) * core.Second, MaxAbandonTime: 4 * core.Second}, core.Second)
			for part := life.SettingsLoaded; part <= life.PolicyLoaded; part++ {
				s.lifecycle.Satisfy(part)
			}
		case "others":
			s.otherManagers = strings.Split(words[2], ",")
		case "gate": // 0: access control without authentication; 1: with it
			s.access = tenants.New(tenants.Config{MaxAge: 60e6, SyncInterval: 30e6, Timeout: 1e6, NegativeTTL: 1e6, MaxWaiting: 10, MaxLookups: 2}, core.Second)
			s.access.Restore([]tenants.Record{{ID: "1", Kind: tenants.Tenant, Name: "school", Plans: []string{"live"}, Seats: 2},
				{ID: "2", Kind: tenants.Member, Name: "ann", Tenant: "school", Digest: digestHex("ann", "pier", "secret")}}, tenants.Checkpoint{Cookie: []byte("c")}, core.Second)
			s.config.Access = &front.AccessControl{Core: s.access, Realm: map[int]string{1: "pier"}[value],
				FailedLogins: tenants.FailureLimiter{HalfLife: 60e6}, Lookup: func(want tenants.Request) {
					if s.lookup = want; want.Op == tenants.LookUpMember {
						s.record("asks %s", want.Name)
					}
				}}
		case "quality": // seconds after a session's end in which reports are accepted
			s.config.Quality = quality.New(quality.Config{Plans: make([]quality.Plan, len(s.config.Site.Plans)), RungWorth: s.config.Site.Ladder.RevenueShare, Racks: 1, MaxTitles: 9,
				MaxPlaybacks: 9, BucketWidth: core.Second, BucketCount: 60, ReportGrace: core.Time(value) * core.Second}, core.Second)
		case "requests": // limit per second and connection
			s.config.Limits.RequestsPerConnection = float64(value)
		default:
			s.t.Fatal(s.line)
		}
	case ">":
		failed = matches == 0
	case "!":
		failed = matches > 0
	case "=":
		failed = strconv.Itoa(matches) != words[1]
	default:
		still := words[0] == "stands" // stands T: the clock advances to T without turns of the front
		if still {
			words = words[1:]
		}
		seconds, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			s.t.Fatalf("%s: expected a time in seconds", s.line)
		}
		if s.manager == nil {
			s.now = core.Second
			s.manager = front.New(s.config, policy.New(&s.config.Site, 7, s.now), s, zap.NewNop(), s.now)
			if s.manager.OtherManagers().Set(s.otherManagers); s.lifecycle != nil {
				s.manager.AttachLifecycle(s.lifecycle, s)
			}
			s.turn(func() {
				s.updateList(map[string]listedBox{"box-0": {state: session.Ready}, "box-1": {state: session.Ready}, "box-2": {state: session.Ready}}, true)
			})
		}
		s.recordedActions = nil
		if until := core.Second + core.Time(seconds*1e6); still {
			s.now = until
		} else {
			s.advance(until)
		}
		s.applyEvent(words[1:])
	}
	if failed {
		s.t.Errorf("%s: %d matching actions (since the event: %s)", s.line, matches, strings.Join(s.recordedActions, "; "))
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenario files in testdata:", err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := &scenario{t: t, config: newConfig(), conns: map[string]*core.Conn{}, connNames: map[*core.Conn]string{},
				unsentBytes: map[string]int{}, parsers: map[string]*rtsp.Parser{}, cseq: map[string]int{}, heldBack: map[string][]byte{},
				sessionIDs: map[string]string{}, receivedBytes: map[string]int{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				for part := range strings.SplitSeq(line, "|") {
					if part = strings.TrimSpace(part); part != "" {
						s.line = fmt.Sprintf("%s:%d: %s", filepath.Base(name), i+1, part)
						s.runLine(part)
					}
				}
			}
		})
	}
}
