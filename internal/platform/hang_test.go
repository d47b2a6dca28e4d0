package platform_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pierlink/internal/core"
	"pierlink/internal/platform"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/policy"
)

const linkDelay = core.Millisecond // of the virtual network, in each direction

// virtualNet connects a manager with simulated servers and one viewer in virtual time.
type virtualNet struct {
	t       *testing.T
	now     core.Time
	next    core.Time // next turn that the manager has requested
	pending []delayedEvent
	manager *platform.Manager
	servers map[string]*simulatedServer // by address
	owner   map[*core.Conn]*simulatedServer
	closed  map[*core.Conn]bool // by the manager
	viewer  *core.Conn
	parser  rtsp.Parser
	status  map[string]int       // answer to each set-up
	endedAt map[string]core.Time // when the viewer was told of the end of a playback
}

type delayedEvent struct {
	at   core.Time
	call func()
}

func (n *virtualNet) after(delay core.Time, call func()) {
	event := delayedEvent{n.now + delay, call}
	i, _ := slices.BinarySearchFunc(n.pending, event, func(a, b delayedEvent) int {
		if a.at <= b.at { // after all events of the same time
			return -1
		}
		return 1
	})
	n.pending = slices.Insert(n.pending, i, event)
}

// run advances the clock to a time.
func (n *virtualNet) run(until core.Time) {
	for {
		at := n.next
		if len(n.pending) > 0 {
			at = min(at, n.pending[0].at)
		}
		if at > until {
			n.now = until
			return
		}
		n.now = max(n.now, at)
		n.manager.BeginTurn(n.now)
		for len(n.pending) > 0 && n.pending[0].at <= n.now {
			event := n.pending[0]
			n.pending = n.pending[1:]
			event.call()
		}
		n.next = n.manager.EndTurn()
	}
}

func (n *virtualNet) Dial(conn *core.Conn, addr string) {
	n.after(linkDelay, func() {
		if n.closed[conn] {
			return
		}
		server := n.servers[addr]
		n.owner[conn] = server
		n.manager.Dialed(conn, nil) // by the kernel, also for a process that hangs
		if server != nil {
			server.handle(func() { server.opened(conn) })
		}
	})
}

func (n *virtualNet) Send(conn *core.Conn, data []byte) {
	if conn == n.viewer {
		if err := n.parser.Feed(data, n); err != nil {
			n.t.Error(err)
		}
		return
	}
	if server := n.owner[conn]; server != nil {
		n.after(linkDelay, func() { server.handle(func() { server.received(conn, data) }) })
	}
}

func (n *virtualNet) Frame(byte, []byte)             {}
func (n *virtualNet) Malformed(*rtsp.MalformedError) {}
func (n *virtualNet) Message(msg *rtsp.Message) {
	id := msg.Get("Session")
	if !msg.IsRequest() {
		n.status[id] = msg.Status
		return
	}
	if _, told := n.endedAt[id]; !told {
		n.endedAt[id] = n.now
	}
	n.after(linkDelay, func() { n.manager.Received(n.viewer, rtsp.NewResponse(200, 2).With("Session", id).Append(nil)) })
}

func (n *virtualNet) Pending(*core.Conn) int { return 0 }

func (n *virtualNet) Close(conn *core.Conn) {
	n.closed[conn] = true
	n.CloseWrite(conn)
}

func (n *virtualNet) CloseWrite(conn *core.Conn) {
	if server := n.owner[conn]; server != nil {
		n.after(linkDelay, func() { server.handle(func() { server.ended(conn) }) })
	}
}

// simulatedServer is a video server as the protocol describes it: a session belongs to no connection, and its end is
// written on the connection of its set-up or else on any other, and again on the next one that is opened.
type simulatedServer struct {
	net       *virtualNet
	hangs     bool
	backlog   []func() // what has come while it hangs, in order
	conns     []*core.Conn
	readers   map[*core.Conn]*boxes.Reader
	setupConn map[string]*core.Conn // of each session that plays
	due       []string              // sessions whose end came while it hung
	unread    []string              // ends to be repeated on the next connection
	releases  map[string]core.Time  // when the end of each session was first written
	accepts   bool                  // it answers set-ups
	interval  core.Time             // of notes, 0 for none
}

func (s *simulatedServer) handle(call func()) {
	if s.hangs {
		s.backlog = append(s.backlog, call)
		return
	}
	call()
}

func (s *simulatedServer) write(conn *core.Conn, msg *boxes.Message) {
	s.net.after(linkDelay, func() {
		if !s.net.closed[conn] {
			s.net.manager.Received(conn, msg.Append(nil))
		}
	})
}

func (s *simulatedServer) opened(conn *core.Conn) {
	s.conns = append(s.conns, conn)
	s.readers[conn] = &boxes.Reader{}
	for _, id := range s.unread {
		s.write(conn, &boxes.Message{Op: boxes.End, SessionID: id, Cause: 16})
	}
	s.unread = nil
}

func (s *simulatedServer) ended(conn *core.Conn) {
	if i := slices.Index(s.conns, conn); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
		s.net.after(linkDelay, func() {
			if !s.net.closed[conn] {
				s.net.manager.Closed(conn, core.ErrClosedByPeer)
			}
		})
	}
}

func (s *simulatedServer) received(conn *core.Conn, data []byte) {
	if !slices.Contains(s.conns, conn) {
		return
	}
	err := s.readers[conn].Feed(data, func(msg *boxes.Message) {
		id := msg.SessionID
		switch {
		case msg.Op == boxes.Offer && s.accepts:
			s.setupConn[id] = conn
			s.write(conn, &boxes.Message{Op: boxes.Accept, SessionID: id, Description: "x"})
			s.note(id)
		case msg.Op == boxes.End:
			delete(s.setupConn, id)
		}
	})
	if err != nil {
		s.net.t.Error(err)
	}
}

// connFor returns the connection for what concerns a session.
func (s *simulatedServer) connFor(id string) *core.Conn {
	conn := s.setupConn[id]
	if !slices.Contains(s.conns, conn) && len(s.conns) > 0 {
		conn = s.conns[0]
	}
	return conn
}

// note writes notes on a session for as long as it plays.
func (s *simulatedServer) note(id string) {
	if s.interval == 0 {
		return
	}
	s.net.after(s.interval, func() {
		s.handle(func() {
			if s.setupConn[id] != nil {
				s.write(s.connFor(id), &boxes.Message{Op: boxes.Info, SessionID: id, Fields: map[string]string{"note": "port", "value": "0.1"}})
				s.note(id)
			}
		})
	})
}

// release ends a session that plays.
func (s *simulatedServer) release(id string) {
	if s.hangs {
		s.due = append(s.due, id)
		return
	}
	if s.setupConn[id] == nil {
		return
	}
	s.releases[id] = s.net.now
	s.write(s.connFor(id), &boxes.Message{Op: boxes.End, SessionID: id, Cause: 16})
	s.unread = append(s.unread, id)
	delete(s.setupConn, id)
}

// goOn ends the hang. Timers that are due run before or after what has come meanwhile.
func (s *simulatedServer) goOn(timersFirst bool) {
	s.hangs = false
	runDue := func() {
		for _, id := range s.due {
			s.release(id)
		}
		s.due = nil
	}
	if timersFirst {
		runDue()
	}
	backlog := s.backlog
	s.backlog = nil
	for _, call := range backlog {
		call()
	}
	runDue()
}

func (n *virtualNet) setup(id string) {
	request := rtsp.NewRequest(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id).With("Call-Kind", "live")
	request.With("Answer-Within", "4000").With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521")
	request.Body = []byte("sdp")
	n.manager.Received(n.viewer, request.Append(nil))
}

// hangCase is a hang of all servers of a manager.
type hangCase struct {
	hang         core.Time
	noteInterval string
	oneConn      bool // the descriptors allow one connection to each server, otherwise 4
	timersFirst  bool
}

func newVirtualNet(t *testing.T, c hangCase) *virtualNet {
	settings := maps.Clone(defaultSettings)
	var others strings.Builder // servers that hold no title of the test
	if c.oneConn {
		settings["SOCKETS"] = "64"
		for i := 3; i <= 16; i++ {
			fmt.Fprintf(&others, `,{"uid":"s-%08x","endpoint":"10.1.0.%d:5060","az":"a","model":"k","pod_group":2,"state":"Ready","capacity_hint":1,"boot_ms":0}`, i, i)
		}
	}
	text := strings.NewReplacer(`"toldEvery":3`, `"toldEvery":`+c.noteInterval, `"positions":2`, `"positions":3`, `"uplinkKb":8000`, `"uplinkKb":800000`, "}]}}]}", "}"+others.String()+"]}}]}").Replace(fillIn(settings))
	config, err := platform.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n := &virtualNet{t: t, now: 1000 * core.Second, servers: map[string]*simulatedServer{}, owner: map[*core.Conn]*simulatedServer{}, closed: map[*core.Conn]bool{},
		viewer: &core.Conn{}, parser: rtsp.Parser{Bounds: rtsp.DefaultBounds}, status: map[string]int{}, endedAt: map[string]core.Time{}}
	for _, addr := range []string{"10.1.0.1:5060", "10.1.0.2:5060"} {
		n.servers[addr] = &simulatedServer{net: n, readers: map[*core.Conn]*boxes.Reader{}, setupConn: map[string]*core.Conn{}, releases: map[string]core.Time{},
			accepts: true, interval: config.Settings.NoteInterval}
	}
	n.manager = platform.New(n, config, n.now, policy.New)
	n.manager.BeginTurn(n.now)
	n.manager.Accepted(n.viewer, "10.0.0.1:1")
	n.next = n.manager.EndTurn()
	return n
}

// playThroughHang sets playbacks up before and during a hang and lets each end at a time of its own, also after the hang.
func playThroughHang(t *testing.T, c hangCase) {
	n := newVirtualNet(t, c)
	begin := n.now
	for i := range 100 {
		id := fmt.Sprintf("%016x", i+1)
		n.after(core.Time(i)*core.Second/4, func() { n.setup(id) })
		n.after(core.Time(i)*core.Second/4+core.Second+core.Time(i*7919%17)*2*core.Second, func() {
			for _, server := range n.servers {
				server.release(id)
			}
		})
	}
	n.after(8*core.Second, func() {
		for _, server := range n.servers {
			server.hangs = true
		}
	})
	n.after(8*core.Second+c.hang, func() {
		for _, server := range n.servers {
			server.goOn(c.timersFirst)
		}
	})
	for n.now < begin+70*core.Second {
		n.run(n.now + core.Second/4)
		limit := 2 * (2*4 + 1) // for each server 4 in use, 4 half-closed ones and one that checks whether it can be reached
		if c.oneConn {
			limit = 2 * (2*1 + 1)
		}
		if links := n.manager.Stats().Links; links > limit {
			t.Errorf("%+v: %d connections to servers after %d ms, the limit is %d", c, links, (n.now-begin)/core.Millisecond, limit)
		}
	}
	released := 0
	for _, server := range n.servers {
		for id, at := range server.releases {
			if n.status[id] != 200 {
				continue
			}
			released++
			if told, ok := n.endedAt[id]; !ok || told > at+core.Second {
				t.Errorf("%+v: playback %s ended at %d ms; its viewer was told: %v, %d ms later", c, id, (at-begin)/core.Millisecond, ok, (told-at)/core.Millisecond)
			}
		}
	}
	if released < 20 {
		t.Errorf("%+v: only %d playbacks came to their end", c, released)
	}
}

// Guards against ends that are lost when a server hangs: whatever the length of the hang, and whatever the server does
// first when it goes on, each viewer is told within a second of the server's message.
func TestEndsAfterHangReachViewers(t *testing.T) {
	for hang := core.Second / 2; hang <= 30*core.Second; hang += core.Second {
		for _, interval := range []string{"0", "3"} {
			for _, oneConn := range []bool{false, true} {
				for _, timersFirst := range []bool{false, true} {
					playThroughHang(t, hangCase{hang, interval, oneConn, timersFirst})
				}
			}
		}
	}
}
