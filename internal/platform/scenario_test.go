package platform_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pierlink/internal/core"
	"pierlink/internal/platform"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/policy"
)

// configuration as the platform writes it, for one plan and the servers s-00000001 and s-00000002, which hold all; words in
// capitals are filled in.
var configuration = func() string {
	text, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		panic(err)
	}
	return string(text)
}()

// stage plays one scenario file: `T who event ...` lets time pass to T seconds and tells the manager an event; `> action`
// wants an action of that start since then, `! action` wants none, `= N action` exactly N; `|` parts what stands on one
// line, `set KEY VALUE` comes first. v, w, ... are viewers' connections, d1, d2, ... those to servers in the order of
// their dials, b1, ... those to the bus. A session is named by one hex digit.
type stage struct {
	t       *testing.T
	line    string
	given   *strings.Replacer
	m       *platform.Manager
	now     core.Time
	next    core.Time
	conns   map[string]*core.Conn
	names   map[*core.Conn]string
	dials   int
	buses   int
	actions []string
	readers map[string]*rtsp.Parser
	lines   map[string]*boxes.Reader
	test    string
	stuck   map[string]int // bytes that a connection does not take
}

func (s *stage) act(format string, a ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, a...))
}

func (s *stage) Dial(c *core.Conn, addr string) {
	var name string
	if strings.HasSuffix(addr, ":5060") {
		s.dials++
		name = "d" + strconv.Itoa(s.dials)
		s.lines[name] = &boxes.Reader{}
	} else {
		s.buses++
		name = "b" + strconv.Itoa(s.buses)
	}
	s.conns[name], s.names[c] = c, name
	s.act("%s dial %s", name, addr)
}

func (s *stage) Send(c *core.Conn, b []byte) {
	name := s.names[c]
	switch {
	case name[0] == 'b':
		s.act("%s hello %d", name, binary.BigEndian.Uint64(b))
	case s.lines[name] != nil:
		err := s.lines[name].Feed(b, func(m *boxes.Message) {
			if m.Op == boxes.Test {
				s.test = m.Call
				s.act("%s test", name)
				return
			}
			text := name + " " + m.Op + " " + m.Call[:1]
			if r := m.With["rung"]; r != "" {
				text += " rung=" + r
			}
			if m.Why > 0 {
				text += " " + strconv.Itoa(m.Why)
			}
			s.act("%s", text)
		})
		if err != nil {
			s.t.Errorf("%s: %v", s.line, err)
		}
	default:
		if err := s.readers[name].Feed(b, &hearer{s, name}); err != nil {
			s.t.Errorf("%s: %v", s.line, err)
		}
	}
}

type hearer struct {
	s    *stage
	name string
}

func (h *hearer) Frame(byte, []byte)    {}
func (h *hearer) Bad(e *rtsp.Malformed) { h.s.t.Errorf("%s: %v", h.s.line, e) }
func (h *hearer) Message(m *rtsp.Message) {
	text := h.name + " " + m.Method
	if !m.IsRequest() {
		text += strconv.Itoa(m.Status)
	}
	if id := m.Get("Session"); id != "" {
		text += " " + id[:1]
	}
	for _, k := range []string{"Reason", "Come-Back-Ms"} {
		if v := m.Get(k); v != "" {
			text += " " + strings.TrimPrefix(v, "cause=")
		}
	}
	if len(m.Body) > 0 {
		text += " " + string(m.Body)
	}
	h.s.act("%s", text)
}

func (s *stage) Pending(c *core.Conn) int { return s.stuck[s.names[c]] }
func (s *stage) Close(c *core.Conn)       { s.act("%s closed", s.names[c]) }
func (s *stage) CloseWrite(c *core.Conn)  { s.act("%s left", s.names[c]) }

func id(name string) string { return strings.Repeat(name, 16) }

func options(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func or(v, otherwise string) string {
	if v == "" {
		return otherwise
	}
	return v
}

func (s *stage) event(words []string) {
	who, what := words[0], words[1:]
	if len(what) > 2 && what[0] == "late" { // it came so many milliseconds before its turn
		ms, _ := strconv.Atoi(what[1])
		s.m.Came(s.now - core.Time(ms)*core.Millisecond)
		what = what[2:]
	}
	c := s.conns[who]
	if c == nil && who != "stop" && who != "wait" && who != "renew" {
		c = &core.Conn{}
		s.conns[who], s.names[c], s.readers[who] = c, who, &rtsp.Parser{Bounds: rtsp.Usual}
	}
	say := func(text string) { s.m.Received(c, []byte(text)) }
	box := func(op, call string, rest string) { say(`{"op":"` + op + `","call":"` + call + `",` + rest + "}\n") }
	switch {
	case who == "wait":
	case who == "stop":
		s.m.Stop()
	case who == "renew":
		g := s.read()
		g.Bus = what[0]
		if err := s.m.Renew(g); err != nil {
			s.t.Errorf("%s: %v", s.line, err)
		}
	case what[0] == "open":
		s.m.Accepted(c, "10.0.0.1:1")
	case what[0] == "close":
		s.m.Closed(c, core.ErrEnded)
	case what[0] == "up":
		s.m.Dialed(c, nil)
	case what[0] == "refused":
		s.m.Dialed(c, core.ErrRefused)
	case what[0] == "broken":
		s.m.Closed(c, errors.New("connection reset by peer"))
	case what[0] == "raw":
		text, err := strconv.Unquote(strings.Join(what[1:], " "))
		if err != nil {
			s.t.Fatalf("%s: %v", s.line, err)
		}
		say(text)
	case what[0] == "stuck":
		s.stuck[who], _ = strconv.Atoi(what[1])
	case what[0] == "fill":
		n, _ := strconv.Atoi(what[1])
		say(strings.Repeat("x", n))
	case what[0] == "SETUP":
		o := options(what[2:])
		r := rtsp.Request(rtsp.Setup, "rtsp://media/"+or(o["title"], "7f3a9c21e0b4d655"), 1).With("Session", id(what[1]))
		r.With("Call-Kind", or(o["plan"], "live")).With("Answer-Within", or(o["within"], "4000"))
		if o["for"] != "" {
			r.With("Charged-Party", o["for"])
		}
		routing := "home:" + or(o["home"], "0") + ";copies:2;top:" + or(o["top"], "1") + ";viewer:00000000b4d65521"
		if o["at"] != "" {
			routing += ";at:" + o["at"]
		}
		r.With("Routing-Data", routing)
		if r.Body = []byte(or(o["desc"], "sdp")); o["desc"] == "-" {
			r.Body = nil
		}
		s.m.Received(c, r.Append(nil))
	case what[0] == "TEARDOWN":
		r := rtsp.Request(rtsp.Teardown, "rtsp://media/x", 2).With("Session", id(what[1]))
		if len(what) > 2 {
			r.With("Reason", "cause="+what[2])
		}
		s.m.Received(c, r.Append(nil))
	case what[0] == "OPTIONS":
		s.m.Received(c, rtsp.Request(rtsp.Options, "rtsp://media/ping", 3).With("Session", id("0")).Append(nil))
	case what[0] == "accept":
		box("accept", id(what[1]), `"with":{},"desc":"`+what[2]+`"`)
	case what[0] == "end":
		box("end", id(what[1]), `"with":{"load":"x0:0.2"},"why":`+what[2])
	case what[0] == "info":
		box("info", id(what[1]), `"with":{"note":"`+what[2]+`","value":"`+what[3]+`"}`)
	case what[0] == "tested":
		box("tested", s.test, `"with":{"load":"x0:0.2"},"why":1`)
	case what[0] == "event": // NUMBER whole|part id=state@started^host ...
		n, _ := strconv.ParseUint(what[1], 10, 64)
		b := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(what[3:])))
		kind := byte(2)
		if what[2] == "whole" {
			kind = 1
		}
		b = append(binary.BigEndian.AppendUint64(b, n), kind)
		for _, w := range what[3:] {
			name, state, _ := strings.Cut(w, "=")
			k, _ := strconv.Atoi(name)
			state, host, moved := strings.Cut(state, "^")
			at, _ := strconv.Atoi(host)
			if !moved {
				at = k
			}
			state, started, _ := strings.Cut(state, "@")
			ms, _ := strconv.ParseUint(started, 10, 64)
			b = append(binary.BigEndian.AppendUint32(b, uint32(k)), 10, 1, 0, byte(at), 0x13, 0xc4,
				map[string]byte{"ready": 0, "drains": 1, "gone": 2}[state], byte(k-1)%2, 0, 0, byte(k-1)%2, 0, 0, 3, 0xe8)
			b = binary.BigEndian.AppendUint64(b, ms)
		}
		s.m.Received(c, b)
	default:
		s.t.Fatalf("%s: unknown event %v", s.line, words)
	}
}

func (s *stage) read() *platform.Given {
	g, err := platform.Read([]byte(s.given.Replace(configuration)))
	if err != nil {
		s.t.Fatal(err)
	}
	return g
}

// pass lets time go on to a moment, with the turns that the manager wants.
func (s *stage) pass(to core.Time) {
	for s.next < to {
		s.now = max(s.now, s.next)
		s.m.At(s.now)
		s.next = s.m.Settle()
	}
	s.now = to
}

func (s *stage) count(want string) (n int) {
	for _, a := range s.actions {
		if a == want || strings.HasPrefix(a, want+" ") {
			n++
		}
	}
	return n
}

func (s *stage) play(text string) {
	set := map[string]string{"MEMORY": "64", "SOCKETS": "256", "PROBES": "false", "EFFECT": "read_like", "IDLE": "15", "TENANTS": "[]"}
	const begin = 1000 * core.Second
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		for part := range strings.SplitSeq(line, " | ") {
			words := strings.Fields(part)
			if s.line = strings.TrimSpace(part); len(words) == 0 {
				continue
			}
			if words[0] == "set" {
				set[strings.ToUpper(words[1])] = words[2]
				continue
			}
			if s.m == nil {
				var pairs []string
				for k, v := range set {
					pairs = append(pairs, k, v)
				}
				s.given, s.now = strings.NewReplacer(pairs...), begin
				s.m = platform.New(s, s.read(), s.now, policy.New)
				s.m.Exit = func() { s.act("exit") }
				s.m.Hush = func() { s.act("hush") }
				s.next = s.now
				s.pass(begin + core.Millisecond)
			}
			switch want := strings.Join(words[1:], " "); words[0] {
			case ">":
				if s.count(want) == 0 {
					s.t.Errorf("%s: %s: not among %q", line, s.line, s.actions)
				}
			case "!":
				if s.count(want) > 0 {
					s.t.Errorf("%s: %s: is among %q", line, s.line, s.actions)
				}
			case "=":
				want = strings.Join(words[2:], " ")
				if n, _ := strconv.Atoi(words[1]); s.count(want) != n {
					s.t.Errorf("%s: %d among %q", s.line, s.count(want), s.actions)
				}
			default:
				at, err := strconv.ParseFloat(words[0], 64)
				if err != nil {
					s.t.Fatalf("%s: %v", s.line, err)
				}
				s.actions = nil
				s.pass(begin + core.Time(at*1e6))
				s.m.At(s.now)
				s.event(words[1:])
				s.next = s.m.Settle()
			}
		}
	}
}

func newStage(t *testing.T) *stage {
	return &stage{t: t, conns: map[string]*core.Conn{}, names: map[*core.Conn]string{}, readers: map[string]*rtsp.Parser{},
		lines: map[string]*boxes.Reader{}, stuck: map[string]int{}}
}

// What waits for a connection to a server is bounded: beyond it nothing more is kept.
func TestWhatIsOwedToAServer(t *testing.T) {
	s := newStage(t)
	s.play("1 v open" + strings.Repeat(" | 1 v SETUP a at=s-00000001 | 1 v TEARDOWN a 16", 1025) + " | 1.1 d1 up | = 1024 d1 end a 16")
}

// A set-up that comes in two pieces, wherever it is split, is served though a second lies between them; one of which no
// more comes is closed within 3 s, and nothing of it reaches a server.
func TestSetUpsInPieces(t *testing.T) {
	whole := rtsp.Request(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id("a")).With("Call-Kind", "live").
		With("Answer-Within", "4000").With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521")
	whole.Body = []byte("sdp")
	text := string(whole.Append(nil))
	for n := 1; n < len(text); n++ {
		first, rest := strconv.Quote(text[:n]), strconv.Quote(text[n:])
		newStage(t).play("1 v open | 1 v raw " + first + " | ! d | 2 v raw " + rest + " | > d1 dial | 2 d1 up | > d1 offer a | 2 d1 accept a x | > v 200 a")
		newStage(t).play("1 v open | 1 v raw " + first + " | ! v | ! d | 4 wait | > v closed | ! d1 offer")
		newStage(t).play("1 v open | 1 v OPTIONS | > v 200 | 1.2 v raw " + first + " | ! v | 4.2 wait | > v closed | ! d1 offer")
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for part := range strings.SplitSeq(string(text), "\n---\n") { // each with a manager of its own
				newStage(t).play(part)
			}
		})
	}
}
