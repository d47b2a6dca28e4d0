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

// stage plays one scenario file: `T who event ...` lets time pass to T seconds and tells the front an
// event; `> action` wants an action of that start since then, `! action` wants none, `= N action` exactly
// N; `|` parts what stands on one line. Players are named by their open line; dialogues with boxes are d1, d2, ...
// in the order of their dials. `set key value` comes first. There are three boxes, box-0 to box-2.
type stage struct {
	t       *testing.T
	line    string
	service *front.Service
	f       *front.Front
	now     core.Time
	next    core.Time
	conns   map[string]*core.Conn
	names   map[*core.Conn]string
	dials   int
	pending map[string]int
	readers map[string]*rtsp.Parser
	cseq    map[string]int
	rest    map[string][]byte
	ssn     map[string]string
	actions []string
	bytes   map[string]int
	life    *life.Life // where the scenario has one
	others  []string
	gate    *tenants.Core
	want    tenants.Want
	nonce   string
}

func sum(parts ...string) string {
	h := sha256.Sum256([]byte(strings.Join(parts, ":")))
	return hex.EncodeToString(h[:])
}

func (s *stage) act(format string, a ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, a...))
}

func (s *stage) Dial(c *core.Conn, addr string) {
	s.dials++
	name := "d" + strconv.Itoa(s.dials)
	s.conns[name], s.names[c] = c, name
	s.act("%s dial %s", name, addr)
}

func (s *stage) Send(c *core.Conn, b []byte) {
	name := s.names[c]
	if s.readers[name] == nil {
		s.readers[name] = &rtsp.Parser{Bounds: rtsp.Usual}
	}
	s.bytes[name] += len(b)
	if s.pending[name] > 0 {
		s.t.Errorf("%s: sent to %s while the network is full", s.line, name)
	}
	if _, stuck := s.pending[name]; stuck {
		s.pending[name] += len(b)
	}
	if err := s.readers[name].Feed(b, &reader{s, name}); err != nil {
		s.t.Errorf("%s: %s got what cannot be read: %v", s.line, name, err)
	}
}
func (s *stage) Listen()                  {}
func (s *stage) Hush()                    { s.act("hush"); s.f.Life().Hushed() }
func (s *stage) Exit()                    { s.act("exit") }
func (s *stage) News(x life.State)        { s.act("state %s", x) }
func (s *stage) Pending(c *core.Conn) int { return s.pending[s.names[c]] }
func (s *stage) Close(c *core.Conn)       { s.act("%s closed", s.names[c]) }

type reader struct {
	s    *stage
	name string
}

func (r *reader) Bad(e *rtsp.Malformed) { r.s.t.Errorf("%s: malformed: %v", r.s.line, e) }
func (r *reader) Frame(c byte, p []byte) {
	r.s.act("%s frame %d", r.name, c)
}
func (r *reader) Message(m *rtsp.Message) {
	text := r.name + " "
	if m.IsRequest() {
		text += m.Method
	} else {
		text += strconv.Itoa(m.Status)
		if id, _ := rtsp.SessionID(m.Get("Session")); id != "" {
			r.s.ssn[r.name] = id
		}
	}
	text += " cseq=" + strconv.Itoa(m.CSeq)
	if i := strings.LastIndex(m.URI, "/track"); i >= 0 {
		text += " " + m.URI[i+1:]
	}
	if _, n, ok := strings.Cut(m.Get("WWW-Authenticate"), `nonce="`); ok {
		r.s.nonce, _, _ = strings.Cut(n, `"`)
	}
	for _, h := range []string{"Try", "Rung", "Retry-After"} {
		if v := m.Get(h); v != "" {
			text += " " + strings.ToLower(h) + "=" + v
		}
	}
	r.s.act("%s", text)
}

func service() *front.Service {
	tracks := []front.Track{{Media: "video", Encoding: "H264/90000", Payload: 96}, {Media: "audio", Encoding: "opus/48000", Payload: 97}}
	return &front.Service{Name: "front", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"),
		SessionTimeout: 20 * core.Second, Plans: []front.Face{{Name: "live", Abandon: 4 * core.Second, Tracks: tracks},
			{Name: "paid", Abandon: 4 * core.Second, Tracks: tracks[:1]}},
		Bounds: front.Bounds{Connections: 100, Playbacks: 100, Pipelined: 8, PlayerBytes: 32 << 10},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{Startup: core.Second, Revenue: 1, RateFactor: 1, Top: 1},
			{Startup: core.Second, Revenue: 1, RateFactor: 1, Top: 1, Repeat: session.Unsafe}},
			Ladder: session.Ladder{RateKB: []float64{10, 20}, Worth: []float64{.5, 1}, Join: 1, Change: 5e5},
			Fleet: session.Fleet{Cells: 3, Racks: 1, LinksKB: 3000, UplinkKB: 3000, KBPerWeight: 1000, WeightsTold: true,
				Places: []float64{100}, NoteDelay: 1e6, NoteEvery: 3e6, LoadInAnswers: true, LoadInProbes: true},
			Terms: session.Terms{ColdFrom: .5, WarmUp: 1e5, FallMultiple: 4, FallSpan: 1e6, MaxTries: 3, MaxComeAgain: 2e6}}}
}

func (s *stage) list(state map[string]session.ServerState, whole bool) {
	l := front.List{Whole: whole}
	for i := range 3 {
		name := "box-" + strconv.Itoa(i)
		if st, ok := state[name]; ok {
			if st == session.Gone {
				l.Servers = append(l.Servers, front.Server{Name: name, State: st}) // all that a registry tells of one
				continue
			}
			l.Servers = append(l.Servers, front.Server{Name: name, Address: name, Zone: "z", Kind: "std", Cell: i, Weight: 1, State: st})
		}
	}
	s.f.Listed(l)
}

// turn runs one turn of the front at the clock's moment.
func (s *stage) turn(event func()) {
	s.f.At(s.now)
	if event != nil {
		event()
	}
	s.next = s.f.Settle()
}

func (s *stage) pass(until core.Time) {
	for s.next <= until {
		s.now = max(s.now, s.next)
		s.turn(nil)
	}
	s.now = until
}

// message builds what a player or a box sends: METHOD or STATUS, a path, and key=value words.
func (s *stage) message(who string, w []string) []byte {
	kv, path := map[string]string{}, ""
	for _, x := range w[1:] {
		if k, v, ok := strings.Cut(x, "="); ok && !strings.Contains(k, "/") {
			kv[k] = strings.ReplaceAll(v, "+", " ")
		} else {
			path = x
		}
	}
	s.cseq[who]++
	n := s.cseq[who]
	if v, err := strconv.Atoi(kv["cseq"]); err == nil {
		n = v
		s.cseq[who] = v
	}
	delete(kv, "cseq")
	status, err := strconv.Atoi(w[0])
	m := rtsp.Answer(status, n)
	if err != nil {
		m = rtsp.Request(w[0], "rtsp://front/"+path, n)
	}
	if c, err := strconv.Atoi(kv["ch"]); err == nil {
		m.With("Transport", rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: byte(c), RTCP: byte(c + 1)}.String())
		delete(kv, "ch")
	}
	if kv["session"] == "mine" {
		kv["session"] = s.ssn[who]
	}
	for _, k := range []string{"delivered", "link", "uplink"} {
		if v, ok := kv[k]; ok {
			m.Body = rtsp.AppendParameters(m.Body, rtsp.Field{Name: k, Value: v})
			delete(kv, k)
		}
	}
	if v, ok := kv["report"]; ok {
		m.Body = rtsp.AppendParameters(m.Body, rtsp.Field{Name: "report", Value: strings.ReplaceAll(v, ",", " ")})
		delete(kv, "report")
	}
	if user, pass, ok := strings.Cut(kv["auth"], ":"); ok {
		uri := m.URI
		r := sum(sum(user, "pier", pass), s.nonce, "00000001", "cn", "auth", sum(m.Method, uri))
		m.With("Authorization", fmt.Sprintf(`Digest username="%s", realm="pier", nonce="%s", uri="%s", qop=auth, nc=00000001, cnonce="cn", response="%s", algorithm=SHA-256`,
			user, s.nonce, uri, r))
		delete(kv, "auth")
	}
	for k, v := range kv {
		m.With(k, v)
	}
	return m.Append(nil)
}

func (s *stage) event(w []string) {
	who := w[0]
	c := s.conns[who]
	get := func(b []byte) { s.turn(func() { s.f.Received(c, b) }) }
	switch {
	case who == "list":
		state := map[string]session.ServerState{}
		for _, x := range w[1:] {
			k, v, _ := strings.Cut(x, "=")
			state[k] = map[string]session.ServerState{"ready": session.Ready, "drains": session.Draining, "gone": session.Gone}[v]
		}
		s.turn(func() { s.list(state, false) })
	case who == "wait":
		s.turn(nil)
	case who == "stop":
		s.turn(s.f.Stop)
	case who == "halt":
		s.turn(func() { s.f.Life().Stop() })
	case who == "handed":
		s.turn(func() { s.f.Life().TakenOver() })
	case who == "late":
		by, _ := strconv.ParseFloat(w[1], 64)
		s.f.Turned(core.Time(by*1e6), 0)
	case who == "came": // came SECONDS-AGO who event: it has waited
		by, _ := strconv.ParseFloat(w[1], 64)
		s.f.At(s.now)
		s.f.Came(s.now - core.Time(by*1e6))
		s.f.Received(s.conns[w[2]], s.message(w[2], w[3:]))
		s.next = s.f.Settle()
		s.f.Turned(0, 0)
	case who == "found" || who == "none": // the directory answers the look-up that is out
		s.turn(func() {
			switch {
			case who == "none":
				s.gate.Looked(s.want.Try, nil)
				return
			case w[1] == "ann":
				s.gate.Looked(s.want.Try, &tenants.Record{ID: "2", Kind: tenants.Member, Name: "ann", Tenant: "school", Digest: sum("ann", "pier", "secret")})
				return
			}
			s.gate.Looked(s.want.Try, &tenants.Record{ID: "9", Kind: tenants.Member, Name: w[1], Tenant: "school"})
		})
	case who == "orphan":
		s.turn(func() {
			s.f.Adopt([]life.Orphan{{Name: w[2], Address: w[1], URI: "rtsp://" + w[1] + "/live/t"}}, func() { s.act("settled") })
		})
	case who == "reload":
		to, _ := strconv.ParseFloat(w[2], 64)
		n := &front.Next{Bounds: s.service.Bounds, SessionTimeout: s.service.SessionTimeout}
		for range s.service.Plans {
			n.Abandon = append(n.Abandon, core.Time(to*1e6))
		}
		s.turn(func() { s.f.Reload(n) })
	case who == "left": // left KEY VALUE: a figure as it stands now
		got := map[string]int64{"playbacks": s.f.Figures.Playbacks, "dialogues": s.f.Figures.Dialogues,
			"connections": s.f.Figures.Connections, "late": s.f.Figures.LateAnswers, "video": s.f.Figures.LostVideo,
			"audio": s.f.Figures.LostAudio, "slow": s.f.Figures.SlowSenders, "tries": s.f.Figures.Tries,
			"taken": s.f.Figures.Taken, "overdue": s.f.Figures.Overdue}[w[1]]
		if want := w[2]; strconv.FormatInt(got, 10) != want && !(want == "some" && got > 0) {
			s.t.Errorf("%s: %d", s.line, got)
		}
	case w[1] == "open":
		c := &core.Conn{}
		s.conns[who], s.names[c] = c, who
		s.turn(func() { s.f.Accepted(c, who) })
	case w[1] == "up":
		s.turn(func() { s.f.Dialed(c, nil) })
	case w[1] == "refused":
		s.turn(func() { s.f.Dialed(c, core.ErrRefused) })
	case w[1] == "close":
		s.turn(func() { s.f.Closed(c, core.ErrEnded) })
	case w[1] == "stuck":
		s.pending[who] = 1
	case w[1] == "drains":
		delete(s.pending, who)
		s.turn(func() { s.f.Drained(c) })
	case w[1] == "raw":
		text, err := strconv.Unquote(`"` + strings.Join(w[2:], " ") + `"`)
		if err != nil {
			s.t.Fatal(s.line, err)
		}
		get([]byte(text))
	case w[1] == "frame" || w[1] == "frames": // frame CHANNEL SIZE [COUNT]
		ch, _ := strconv.Atoi(w[2])
		size, _ := strconv.Atoi(w[3])
		n := 1
		if len(w) > 4 {
			n, _ = strconv.Atoi(w[4])
		}
		var b []byte
		for range n {
			b = rtsp.AppendFrame(b, byte(ch), make([]byte, size))
		}
		get(b)
	case w[1] == "bye":
		get(rtsp.AppendFrame(nil, 1, []byte{0x81, 203, 0, 1, 0, 0, 0, 0}))
	case w[1] == "half": // the first N bytes of what follows; `rest` brings the others
		n, _ := strconv.Atoi(w[2])
		b := s.message(who, w[3:])
		s.rest[who] = b[n:]
		get(b[:n])
	case w[1] == "rest":
		get(s.rest[who])
	case w[1] == "all": // several messages, parted by &, in one go
		var b []byte
		for part := range strings.SplitSeq(strings.Join(w[2:], " "), "&") {
			b = append(b, s.message(who, strings.Fields(part))...)
		}
		get(b)
	default:
		get(s.message(who, w[1:]))
	}
}

func (s *stage) run(line string) {
	w := strings.Fields(line)
	want, n := strings.Join(w[1:], " "), 0
	if w[0] == "=" {
		want = strings.Join(w[2:], " ")
	}
	for _, a := range s.actions {
		if strings.HasPrefix(a+" ", want+" ") {
			n++
		}
	}
	bad := false
	switch w[0] {
	case "set":
		x, _ := strconv.Atoi(w[2])
		switch w[1] {
		case "connections":
			s.service.Bounds.Connections = x
		case "playbacks":
			s.service.Bounds.Playbacks = x
		case "halfopen":
			s.service.Limits.HalfOpen = x
		case "silent": // no advice to come again
			s.service.Silent, s.service.Site.Terms.MaxComeAgain = true, 0
		case "queue":
			s.service.Queue = &fair.Terms{Waiting: x, Bytes: 1 << 20, Tenants: 9, Clients: 9, Silent: s.service.Silent}
		case "seats": // of the paid plan
			s.service.Site.Plans[1].Seats = x
		case "ration": // further tries, over 10 s
			t := &s.service.Site.Terms
			t.Rationed, t.FreeTries, t.TrySpan, t.MaxTries = true, float64(x), 10*core.Second, 9
		case "drain":
			s.life = life.New(life.Terms{Drain: core.Time(x) * core.Second, Finish: 4 * core.Second}, core.Second)
			for p := life.Settings; p <= life.Module; p++ {
				s.life.Has(p)
			}
		case "others":
			s.others = strings.Split(w[2], ",")
		case "gate": // 0: accounts are taken at their word; 1: they prove themselves
			s.gate = tenants.New(tenants.Terms{Longest: 60e6, Renew: 30e6, Timeout: 1e6, Negative: 1e6, Waiting: 10, Lookups: 2}, core.Second)
			s.gate.Resume([]tenants.Record{{ID: "1", Kind: tenants.Tenant, Name: "school", Plans: []string{"live"}, Seats: 2},
				{ID: "2", Kind: tenants.Member, Name: "ann", Tenant: "school", Digest: sum("ann", "pier", "secret")}}, tenants.Mark{Cookie: []byte("c")}, core.Second)
			s.service.Gate = &front.Gate{Core: s.gate, Realm: map[int]string{1: "pier"}[x], Guesses: tenants.Guesses{Span: 60e6}, Ask: func(w tenants.Want) {
				if s.want = w; w.Act == tenants.Look {
					s.act("asks %s", w.Account)
				}
			}}
		case "quality": // so many seconds after its end a playback is open to reports
			s.service.Quality = quality.New(quality.Terms{Plans: make([]quality.Plan, len(s.service.Site.Plans)), Worth: s.service.Site.Ladder.Worth, Racks: 1, Titles: 9,
				Playbacks: 9, Width: core.Second, Buckets: 60, Late: core.Time(x) * core.Second}, core.Second)
		case "requests": // a second on one connection
			s.service.Limits.PerConnection = float64(x)
		default:
			s.t.Fatal(s.line)
		}
	case ">":
		bad = n == 0
	case "!":
		bad = n > 0
	case "=":
		bad = strconv.Itoa(n) != w[1]
	default:
		stands := w[0] == "stands" // T: the front's turns until then do not come
		if stands {
			w = w[1:]
		}
		at, err := strconv.ParseFloat(w[0], 64)
		if err != nil {
			s.t.Fatalf("%s: not understood", s.line)
		}
		if s.f == nil {
			s.now = core.Second
			s.f = front.New(s.service, policy.New(&s.service.Site, 7, s.now), s, zap.NewNop(), s.now)
			if s.f.Others().Set(s.others); s.life != nil {
				s.f.Live(s.life, s)
			}
			s.turn(func() {
				s.list(map[string]session.ServerState{"box-0": session.Ready, "box-1": session.Ready, "box-2": session.Ready}, true)
			})
		}
		s.actions = nil
		if to := core.Second + core.Time(at*1e6); stands {
			s.now = to
		} else {
			s.pass(to)
		}
		s.event(w[1:])
	}
	if bad {
		s.t.Errorf("%s: %d of them (since the event: %s)", s.line, n, strings.Join(s.actions, "; "))
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := &stage{t: t, service: service(), conns: map[string]*core.Conn{}, names: map[*core.Conn]string{},
				pending: map[string]int{}, readers: map[string]*rtsp.Parser{}, cseq: map[string]int{}, rest: map[string][]byte{},
				ssn: map[string]string{}, bytes: map[string]int{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				for part := range strings.SplitSeq(line, "|") {
					if part = strings.TrimSpace(part); part != "" {
						s.line = fmt.Sprintf("%s:%d: %s", filepath.Base(name), i+1, part)
						s.run(part)
					}
				}
			}
		})
	}
}
