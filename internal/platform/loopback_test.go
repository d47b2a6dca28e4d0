package platform_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/platform"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/policy"
)

const patience = 10 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// videoServer answers offers well and tests with a load; what it was sent comes on got, and it writes what is put in say.
func videoServer(ln net.Listener, got chan<- *boxes.Message, say <-chan *boxes.Message) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	go func() {
		for m := range say {
			_, _ = c.Write(m.Append(nil))
		}
	}()
	r, b := &boxes.Reader{}, make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		_ = r.Feed(b[:n], func(m *boxes.Message) {
			got <- m
			if m.Op == boxes.Offer {
				_, _ = c.Write((&boxes.Message{Op: boxes.Accept, Call: m.Call, Desc: "of the server\r\n"}).Append(nil))
			}
		})
	}
}

// next reads one message that a viewer gets.
func next(t *testing.T, c net.Conn, in *bufio.Reader) *rtsp.Message {
	t.Helper()
	var got *rtsp.Message
	p := &rtsp.Parser{Bounds: rtsp.Usual}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	for got == nil {
		b, err := in.ReadByte()
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Feed([]byte{b}, sink(func(m *rtsp.Message) {
			copied := *m
			copied.Body = append([]byte(nil), m.Body...)
			got = &copied
		})); err != nil {
			t.Fatal(err)
		}
	}
	return got
}

type sink func(*rtsp.Message)

func (s sink) Message(m *rtsp.Message) { s(m) }
func (s sink) Frame(byte, []byte)      {}
func (s sink) Bad(*rtsp.Malformed)     {}

// A set-up goes from a viewer to a server and back over sockets, what stands ends at the server, the bus drains the
// server, and a stop ends the process.
func TestOnSockets(t *testing.T) {
	server, events := listen(t), listen(t)
	got, say, hello := make(chan *boxes.Message, 16), make(chan *boxes.Message, 1), make(chan uint64, 4)
	tell := make(chan []byte, 1)
	go videoServer(server, got, say)
	go func() {
		c, err := events.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var b [8]byte
		if _, err := io.ReadFull(c, b[:]); err != nil {
			return
		}
		hello <- binary.BigEndian.Uint64(b[:])
		for f := range tell {
			_, _ = c.Write(f)
		}
	}()
	text := strings.NewReplacer("MEMORY", "64", "SOCKETS", "256", "PROBES", "false", "EFFECT", "read_like", "IDLE", "15", "TENANTS", "[]",
		"10.1.0.1:5060", server.Addr().String(), "10.2.0.1:8500", events.Addr().String(),
		`{"uid":"s-00000002"`, `{"uid":"s-00000003"`, `"state":"Ready","capacity_hint":1,"boot_ms":0}]`, `"state":"Gone","capacity_hint":1,"boot_ms":0}]`).Replace(configuration)
	g, err := platform.Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for i := range g.Told.Patience { // of a stop
		g.Told.Patience[i] = core.Second / 2
	}
	var m *platform.Manager
	exit := make(chan struct{})
	loop, err := edge.NewIn(edge.Room{Read: 4096, Mail: 1 << 20, Dials: time.Second, Doors: 100}, "127.0.0.1:0", func(n core.Net) core.Core {
		m = platform.New(n, g, edge.Now(), policy.New)
		m.Exit = func() { close(exit) }
		return m
	})
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop(true)
	v, err := net.Dial("tcp", loop.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	in := bufio.NewReader(v)
	ask := func(r *rtsp.Message) { _, _ = v.Write(r.Append(nil)) }
	setup := func(name string) {
		r := rtsp.Request(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id(name)).With("Call-Kind", "live")
		r.With("Answer-Within", "500").With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521")
		r.Body = []byte("of the viewer\r\n")
		ask(r)
	}
	ask(rtsp.Request(rtsp.Options, "rtsp://media/ping", 3).With("Session", id("0")))
	if a := next(t, v, in); a.Status != 200 || a.CSeq != 3 || a.Get("Session") != id("0") {
		t.Fatalf("%+v", a)
	}
	setup("a")
	if a := next(t, v, in); a.Status != 200 || string(a.Body) != "of the server\r\n" || a.Get("Session") != id("a") {
		t.Fatalf("%+v", a)
	}
	if o := <-got; o.Op != boxes.Offer || o.Desc != "of the viewer\r\n" || o.With["class"] != "live" || o.With["key"] != "7f3a9c21e0b4d655" {
		t.Errorf("%+v", o)
	}
	say <- &boxes.Message{Op: boxes.End, Call: id("a"), Why: 16}
	if a := next(t, v, in); a.Method != rtsp.Teardown || a.Get("Reason") != "cause=16" {
		t.Fatalf("%+v", a)
	}
	ask(rtsp.Answer(200, 2).With("Session", id("a")))
	if n := <-hello; n != 1 {
		t.Error("position", n)
	}
	drains := binary.BigEndian.AppendUint32(nil, 36)
	drains = append(binary.BigEndian.AppendUint64(drains, 2), 2, 0, 0, 0, 1)
	a := server.Addr().(*net.TCPAddr)
	drains = binary.BigEndian.AppendUint16(append(drains, a.IP.To4()...), uint16(a.Port))
	tell <- append(drains, 1, 0, 0, 0, 0, 0, 0, 3, 0xe8, 0, 0, 0, 0, 0, 0, 0, 0)
	for end := time.Now().Add(patience); m != nil; time.Sleep(time.Millisecond) {
		var f platform.Figures
		loop.Do(func() { f = m.Figures() })
		if f.Position == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", f)
		}
	}
	setup("b")
	if a := next(t, v, in); a.Status != 503 || a.Get("Come-Back-Ms") != "500" {
		t.Fatalf("%+v", a)
	}
	loop.Post(m.Stop)
	select {
	case <-exit:
	case <-time.After(patience):
		t.Error("it does not end")
	}
}

// A configuration that makes no sense is told by its key.
func TestConfigurations(t *testing.T) {
	good := strings.NewReplacer("MEMORY", "64", "SOCKETS", "256", "PROBES", "false", "EFFECT", "read_like", "IDLE", "15", "TENANTS", "[]").Replace(configuration)
	for key, change := range map[string][2]string{"seed": {"8c1f30d27a5be964", "x"}, "bus": {"10.2.0.1:8500", "nowhere"}, "listen": {"127.0.0.1:1", ""},
		"limits": {`"sockets":256`, `"sockets":8`}, "settings": {"read_like", "odd"}, "known: ": {"s-00000001", "one"}, "state": {"Ready", "Odd"},
		"not in the settings": {`"az":"a"`, `"az":"z"`}, "classes[0].giveUp": {`"giveUp":4`, `"giveUp":0`}, "limits.connectTimeout": {`"connectTimeout":0.25`, `"connectTimeout":0`},
		"Offset": {`"offset":1,"batch"`, `"offset":"x","batch"`}, "unexpected end": {good, good[:40]}} {
		if _, err := platform.Read([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
