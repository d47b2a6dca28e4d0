package platform_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
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

// configuration is the platform's configuration file for one plan and the servers s-00000001 and s-00000002, each of which
// has all titles. Words in capitals are placeholders.
var configuration = func() string {
	text, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		panic(err)
	}
	return string(text)
}()

// defaultSettings are the values of the configuration's placeholders where a test sets no others.
var defaultSettings = map[string]string{"MEMORY": "64", "SOCKETS": "256", "PROBES": "false", "EFFECT": "read_like", "IDLE": "15",
	"TENANTS": "[]", "FLOOR": "0"}

// fillIn returns the configuration with values for its placeholders.
func fillIn(values map[string]string) string {
	var pairs []string
	for name, value := range values {
		pairs = append(pairs, name, value)
	}
	return strings.NewReplacer(pairs...).Replace(configuration)
}

func defaultConfiguration() string { return fillIn(defaultSettings) }

// scenario runs one scenario file. `T conn event ...` advances the clock to T seconds and delivers an event; `> action`
// expects an action of that prefix since then, `! action` expects none, and `= N action` expects exactly N. `&` separates
// events of one turn. `|` separates
// steps on a line, and `set KEY VALUE` lines come first. v, w, ... are connections of viewers, d1, d2, ... connections to
// servers in the order of the dials, and b1, ... those to the bus. A session is named by one hex digit.
type scenario struct {
	t           *testing.T
	step        string
	settings    map[string]string
	manager     *platform.Manager
	now         core.Time
	next        core.Time
	conns       map[string]*core.Conn
	names       map[*core.Conn]string
	dials       int
	busDials    int
	actions     []string
	parsers     map[string]*rtsp.Parser
	lineReaders map[string]*boxes.Reader
	probeID     string
	unsent      map[string]int // unsent bytes by connection
}

func (s *scenario) record(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, args...))
}

func (s *scenario) Dial(conn *core.Conn, addr string) {
	var name string
	if strings.HasSuffix(addr, ":5060") {
		s.dials++
		name = "d" + strconv.Itoa(s.dials)
		s.lineReaders[name] = &boxes.Reader{}
	} else {
		s.busDials++
		name = "b" + strconv.Itoa(s.busDials)
	}
	s.conns[name], s.names[conn] = conn, name
	s.record("%s dial %s", name, addr)
}

func (s *scenario) Send(conn *core.Conn, data []byte) {
	name := s.names[conn]
	switch {
	case name[0] == 'b':
		s.record("%s hello %d", name, binary.BigEndian.Uint64(data))
	case s.lineReaders[name] != nil:
		err := s.lineReaders[name].Feed(data, func(msg *boxes.Message) {
			if msg.Op == boxes.Test {
				s.probeID = msg.SessionID
				s.record("%s test", name)
				return
			}
			text := name + " " + msg.Op + " " + msg.SessionID[:1]
			if rung := msg.Fields["rung"]; rung != "" {
				text += " rung=" + rung
			}
			if msg.Cause > 0 {
				text += " " + strconv.Itoa(msg.Cause)
			}
			s.record("%s", text)
		})
		if err != nil {
			s.t.Errorf("%s: %v", s.step, err)
		}
	default:
		if err := s.parsers[name].Feed(data, &viewerReader{s, name}); err != nil {
			s.t.Errorf("%s: %v", s.step, err)
		}
	}
}

type viewerReader struct {
	scenario *scenario
	name     string
}

func (h *viewerReader) Frame(byte, []byte) {}
func (h *viewerReader) Malformed(malformed *rtsp.MalformedError) {
	h.scenario.t.Errorf("%s: %v", h.scenario.step, malformed)
}
func (h *viewerReader) Message(msg *rtsp.Message) {
	text := h.name + " " + msg.Method
	if !msg.IsRequest() {
		text += strconv.Itoa(msg.Status)
	}
	if id := msg.Get("Session"); id != "" {
		text += " " + id[:1]
	}
	for _, header := range []string{"Reason", "Come-Back-Ms"} {
		if value := msg.Get(header); value != "" {
			text += " " + strings.TrimPrefix(value, "cause=")
		}
	}
	if len(msg.Body) > 0 {
		text += " " + string(msg.Body)
	}
	h.scenario.record("%s", text)
}

func (s *scenario) Pending(conn *core.Conn) int { return s.unsent[s.names[conn]] }
func (s *scenario) Close(conn *core.Conn)       { s.record("%s closed", s.names[conn]) }
func (s *scenario) CloseWrite(conn *core.Conn)  { s.record("%s left", s.names[conn]) }

func id(name string) string { return strings.Repeat(name, 16) }

func parseOptions(words []string) map[string]string {
	options := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		options[name] = value
	}
	return options
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func (s *scenario) deliver(words []string) {
	connName, args := words[0], words[1:]
	if len(args) > 2 && args[0] == "late" { // the event arrived so many milliseconds before its turn
		lateMS, _ := strconv.Atoi(args[1])
		s.manager.EventArrived(s.now - core.Time(lateMS)*core.Millisecond)
		args = args[2:]
	}
	conn := s.conns[connName]
	if conn == nil && connName != "stop" && connName != "wait" && connName != "renew" {
		conn = &core.Conn{}
		s.conns[connName], s.names[conn], s.parsers[connName] = conn, connName, &rtsp.Parser{Bounds: rtsp.DefaultBounds}
	}
	receive := func(text string) { s.manager.Received(conn, []byte(text)) }
	serverLine := func(op, call string, rest string) {
		receive(`{"op":"` + op + `","call":"` + call + `",` + rest + "}\n")
	}
	switch {
	case connName == "wait":
	case connName == "stop":
		s.manager.Stop()
	case connName == "renew":
		config := s.config()
		config.Bus = args[0]
		if err := s.manager.Reconfigure(config); err != nil {
			s.t.Errorf("%s: %v", s.step, err)
		}
	case args[0] == "open":
		s.manager.Accepted(conn, "10.0.0.1:1")
	case args[0] == "close":
		s.manager.Closed(conn, core.ErrClosedByPeer)
	case args[0] == "leaves": // it has closed the connection, of which more is still to be read
		s.manager.PeerClosed(conn)
	case args[0] == "up":
		s.manager.Dialed(conn, nil)
	case args[0] == "refused":
		s.manager.Dialed(conn, core.ErrRefused)
	case args[0] == "broken":
		s.manager.Closed(conn, errors.New("connection reset by peer"))
	case args[0] == "raw":
		text, err := strconv.Unquote(strings.Join(args[1:], " "))
		if err != nil {
			s.t.Fatalf("%s: %v", s.step, err)
		}
		receive(text)
	case args[0] == "stuck":
		s.unsent[connName], _ = strconv.Atoi(args[1])
	case args[0] == "fill":
		count, _ := strconv.Atoi(args[1])
		receive(strings.Repeat("x", count))
	case args[0] == "SETUP":
		opts := parseOptions(args[2:])
		request := rtsp.NewRequest(rtsp.Setup, "rtsp://media/"+orDefault(opts["title"], "7f3a9c21e0b4d655"), 1).With("Session", id(args[1]))
		request.With("Call-Kind", orDefault(opts["plan"], "live")).With("Answer-Within", orDefault(opts["within"], "4000"))
		if opts["for"] != "" {
			request.With("Charged-Party", opts["for"])
		}
		routing := "home:" + orDefault(opts["home"], "0") + ";copies:2;top:" + orDefault(opts["top"], "1") + ";viewer:00000000b4d65521"
		if opts["at"] != "" {
			routing += ";at:" + opts["at"]
		}
		request.With("Routing-Data", routing)
		if request.Body = []byte(orDefault(opts["desc"], "sdp")); opts["desc"] == "-" {
			request.Body = nil
		}
		s.manager.Received(conn, request.Append(nil))
	case args[0] == "TEARDOWN":
		request := rtsp.NewRequest(rtsp.Teardown, "rtsp://media/x", 2).With("Session", id(args[1]))
		if len(args) > 2 {
			request.With("Reason", "cause="+args[2])
		}
		s.manager.Received(conn, request.Append(nil))
	case args[0] == "OPTIONS":
		s.manager.Received(conn, rtsp.NewRequest(rtsp.Options, "rtsp://media/ping", 3).With("Session", id("0")).Append(nil))
	case args[0] == "accept":
		serverLine("accept", id(args[1]), `"with":{},"desc":"`+args[2]+`"`)
	case args[0] == "end":
		serverLine("end", id(args[1]), `"with":{"load":"x0:0.2"},"why":`+args[2])
	case args[0] == "info":
		serverLine("info", id(args[1]), `"with":{"note":"`+args[2]+`","value":"`+args[3]+`"}`)
	case args[0] == "tested":
		serverLine("tested", s.probeID, `"with":{"load":"x0:0.2"},"why":1`)
	case args[0] == "event": // OFFSET whole|part id=state@started^host ...
		offset, _ := strconv.ParseUint(args[1], 10, 64)
		frame := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(args[3:])))
		kind := byte(2)
		if args[2] == "whole" {
			kind = 1
		}
		frame = append(binary.BigEndian.AppendUint64(frame, offset), kind)
		for _, target := range args[3:] {
			name, state, _ := strings.Cut(target, "=")
			serverID, _ := strconv.Atoi(name)
			state, host, hasHost := strings.Cut(state, "^")
			hostByte, _ := strconv.Atoi(host)
			if !hasHost {
				hostByte = serverID
			}
			state, started, _ := strings.Cut(state, "@")
			startedMS, _ := strconv.ParseUint(started, 10, 64)
			frame = append(binary.BigEndian.AppendUint32(frame, uint32(serverID)), 10, 1, 0, byte(hostByte), 0x13, 0xc4,
				map[string]byte{"ready": 0, "drains": 1, "gone": 2}[state], byte(serverID-1)%2, 0, 0, byte(serverID-1)%2, 0, 0, 3, 0xe8)
			frame = binary.BigEndian.AppendUint64(frame, startedMS)
		}
		s.manager.Received(conn, frame)
	default:
		s.t.Fatalf("%s: unknown event %v", s.step, words)
	}
}

func (s *scenario) config() *platform.Config {
	config, err := platform.ParseConfig([]byte(fillIn(s.settings)))
	if err != nil {
		s.t.Fatal(err)
	}
	return config
}

// advance moves the clock to a time and runs the turns that the manager requests until then.
func (s *scenario) advance(to core.Time) {
	for s.next < to {
		s.now = max(s.now, s.next)
		s.manager.BeginTurn(s.now)
		s.next = s.manager.EndTurn()
	}
	s.now = to
}

func (s *scenario) count(want string) (n int) {
	for _, action := range s.actions {
		if action == want || strings.HasPrefix(action, want+" ") {
			n++
		}
	}
	return n
}

func (s *scenario) run(text string) {
	set := maps.Clone(defaultSettings)
	const begin = 1000 * core.Second
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		for part := range strings.SplitSeq(line, " | ") {
			words := strings.Fields(part)
			if s.step = strings.TrimSpace(part); len(words) == 0 {
				continue
			}
			if words[0] == "set" {
				set[strings.ToUpper(words[1])] = words[2]
				continue
			}
			if s.manager == nil {
				s.settings, s.now = set, begin
				s.manager = platform.New(s, s.config(), s.now, policy.New)
				s.manager.Exit = func() { s.record("exit") }
				s.manager.StopAccepting = func() { s.record("hush") }
				s.next = s.now
				s.advance(begin + core.Millisecond)
			}
			switch want := strings.Join(words[1:], " "); words[0] {
			case ">":
				if s.count(want) == 0 {
					s.t.Errorf("%s: %s: expected action is not among %q", line, s.step, s.actions)
				}
			case "!":
				if s.count(want) > 0 {
					s.t.Errorf("%s: %s: unexpected action is among %q", line, s.step, s.actions)
				}
			case "=":
				want = strings.Join(words[2:], " ")
				if n, _ := strconv.Atoi(words[1]); s.count(want) != n {
					s.t.Errorf("%s: got %d, among %q", s.step, s.count(want), s.actions)
				}
			default:
				at, err := strconv.ParseFloat(words[0], 64)
				if err != nil {
					s.t.Fatalf("%s: %v", s.step, err)
				}
				s.actions = nil
				s.advance(begin + core.Time(at*1e6))
				if len(words) > 3 && words[1] == "pause" { // the process stands still for so many seconds, and the events come meanwhile
					seconds, _ := strconv.ParseFloat(words[2], 64)
					s.now += core.Time(seconds * 1e6)
					words = words[2:]
				}
				s.manager.BeginTurn(s.now)
				for event := range strings.SplitSeq(strings.Join(words[1:], " "), " & ") {
					s.deliver(strings.Fields(event))
				}
				s.next = s.manager.EndTurn()
			}
		}
	}
}

func newScenario(t *testing.T) *scenario {
	return &scenario{t: t, conns: map[string]*core.Conn{}, names: map[*core.Conn]string{}, parsers: map[string]*rtsp.Parser{},
		lineReaders: map[string]*boxes.Reader{}, unsent: map[string]int{}}
}

// Messages that wait for a connection to a server are limited in number; further ones are dropped.
func TestQueuedServerMessagesAreBounded(t *testing.T) {
	s := newScenario(t)
	s.run("1 v open" + strings.Repeat(" | 1 v SETUP a at=s-00000001 | 1 v TEARDOWN a 16", 1025) + " | 1.1 d1 up | = 1024 d1 end a 16")
}

// A set-up that arrives in two pieces, split at any byte and one second apart, is served. If the rest does not arrive, the
// connection is closed within 3 s and nothing is sent to a server.
func TestSetupSplitAnywhere(t *testing.T) {
	whole := rtsp.NewRequest(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id("a")).With("Call-Kind", "live").
		With("Answer-Within", "4000").With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521")
	whole.Body = []byte("sdp")
	text := string(whole.Append(nil))
	for n := 1; n < len(text); n++ {
		first, rest := strconv.Quote(text[:n]), strconv.Quote(text[n:])
		newScenario(t).run("1 v open | 1 v raw " + first + " | ! d | 2 v raw " + rest + " | > d1 dial | 2 d1 up | > d1 offer a | 2 d1 accept a x | > v 200 a")
		newScenario(t).run("1 v open | 1 v raw " + first + " | ! v | ! d | 4 wait | > v closed | ! d1 offer")
		newScenario(t).run("1 v open | 1 v OPTIONS | > v 200 | 1.2 v raw " + first + " | ! v | 4.2 wait | > v closed | ! d1 offer")
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for part := range strings.SplitSeq(string(text), "\n---\n") { // each part runs on a new manager
				newScenario(t).run(part)
			}
		})
	}
}
