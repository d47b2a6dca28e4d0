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

const timeout = 10 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// videoServer accepts all offers, passes the messages that it receives to received, and sends those from toSend.
func videoServer(ln net.Listener, received chan<- *boxes.Message, toSend <-chan *boxes.Message) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	go func() {
		for msg := range toSend {
			_, _ = conn.Write(msg.Append(nil))
		}
	}()
	reader, buf := &boxes.Reader{}, make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		_ = reader.Feed(buf[:n], func(msg *boxes.Message) {
			received <- msg
			if msg.Op == boxes.Offer {
				_, _ = conn.Write((&boxes.Message{Op: boxes.Accept, SessionID: msg.SessionID, Description: "of the server\r\n"}).Append(nil))
			}
		})
	}
}

// readMessage reads one message sent to a viewer.
func readMessage(t *testing.T, conn net.Conn, in *bufio.Reader) *rtsp.Message {
	t.Helper()
	var got *rtsp.Message
	parser := &rtsp.Parser{Bounds: rtsp.DefaultBounds}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	for got == nil {
		b, err := in.ReadByte()
		if err != nil {
			t.Fatal(err)
		}
		if err := parser.Feed([]byte{b}, messageFunc(func(msg *rtsp.Message) {
			copied := *msg
			copied.Body = append([]byte(nil), msg.Body...)
			got = &copied
		})); err != nil {
			t.Fatal(err)
		}
	}
	return got
}

type messageFunc func(*rtsp.Message)

func (s messageFunc) Message(m *rtsp.Message)        { s(m) }
func (s messageFunc) Frame(byte, []byte)             {}
func (s messageFunc) Malformed(*rtsp.MalformedError) {}

// Over real sockets, a set-up passes from a viewer to a server and its answer back, the server's end reaches the viewer,
// a bus event drains the server, and a stop ends the process.
func TestEndToEndOverSockets(t *testing.T) {
	server, events := listen(t), listen(t)
	received, toSend, offsets := make(chan *boxes.Message, 16), make(chan *boxes.Message, 1), make(chan uint64, 4)
	frames := make(chan []byte, 1)
	go videoServer(server, received, toSend)
	go func() {
		conn, err := events.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		var b [8]byte
		if _, err := io.ReadFull(conn, b[:]); err != nil {
			return
		}
		offsets <- binary.BigEndian.Uint64(b[:])
		for frame := range frames {
			_, _ = conn.Write(frame)
		}
	}()
	text := strings.NewReplacer("10.1.0.1:5060", server.Addr().String(), "10.2.0.1:8500", events.Addr().String(),
		`{"uid":"s-00000002"`, `{"uid":"s-00000003"`, `"state":"Ready","capacity_hint":1,"boot_ms":0}]`, `"state":"Gone","capacity_hint":1,"boot_ms":0}]`).Replace(defaultConfiguration())
	config, err := platform.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for i := range config.Settings.AbandonAfter { // shortens the stop
		config.Settings.AbandonAfter[i] = core.Second / 2
	}
	var manager *platform.Manager
	exit := make(chan struct{})
	loop, err := edge.NewWithLimits(edge.Limits{ReadBuffer: 4096, MailboxBytes: 1 << 20, DialTimeout: time.Second, MaxConnections: 100}, "127.0.0.1:0", func(offset core.Net) core.Core {
		manager = platform.New(offset, config, edge.Now(), policy.New)
		manager.Exit = func() { close(exit) }
		return manager
	})
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop(true)
	viewer, err := net.Dial("tcp", loop.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	in := bufio.NewReader(viewer)
	ask := func(request *rtsp.Message) { _, _ = viewer.Write(request.Append(nil)) }
	setup := func(name string) {
		request := rtsp.NewRequest(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id(name)).With("Call-Kind", "live")
		request.With("Answer-Within", "500").With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521")
		request.Body = []byte("of the viewer\r\n")
		ask(request)
	}
	ask(rtsp.NewRequest(rtsp.Options, "rtsp://media/ping", 3).With("Session", id("0")))
	if reply := readMessage(t, viewer, in); reply.Status != 200 || reply.CSeq != 3 || reply.Get("Session") != id("0") {
		t.Fatalf("%+v", reply)
	}
	setup("a")
	if reply := readMessage(t, viewer, in); reply.Status != 200 || string(reply.Body) != "of the server\r\n" || reply.Get("Session") != id("a") {
		t.Fatalf("%+v", reply)
	}
	if offer := <-received; offer.Op != boxes.Offer || offer.Description != "of the viewer\r\n" || offer.Fields["class"] != "live" || offer.Fields["key"] != "7f3a9c21e0b4d655" {
		t.Errorf("%+v", offer)
	}
	toSend <- &boxes.Message{Op: boxes.End, SessionID: id("a"), Cause: 16}
	if reply := readMessage(t, viewer, in); reply.Method != rtsp.Teardown || reply.Get("Reason") != "cause=16" {
		t.Fatalf("%+v", reply)
	}
	ask(rtsp.NewResponse(200, 2).With("Session", id("a")))
	if offset := <-offsets; offset != 1 {
		t.Error("position", offset)
	}
	drainEvent := binary.BigEndian.AppendUint32(nil, 36)
	drainEvent = append(binary.BigEndian.AppendUint64(drainEvent, 2), 2, 0, 0, 0, 1)
	serverAddr := server.Addr().(*net.TCPAddr)
	drainEvent = binary.BigEndian.AppendUint16(append(drainEvent, serverAddr.IP.To4()...), uint16(serverAddr.Port))
	frames <- append(drainEvent, 1, 0, 0, 0, 0, 0, 0, 3, 0xe8, 0, 0, 0, 0, 0, 0, 0, 0)
	for end := time.Now().Add(timeout); manager != nil; time.Sleep(time.Millisecond) {
		var stats platform.Stats
		loop.Do(func() { stats = manager.Stats() })
		if stats.Position == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", stats)
		}
	}
	setup("b")
	if reply := readMessage(t, viewer, in); reply.Status != 503 || reply.Get("Come-Back-Ms") != "500" {
		t.Fatalf("%+v", reply)
	}
	loop.Post(manager.Stop)
	select {
	case <-exit:
	case <-time.After(timeout):
		t.Error("manager did not exit")
	}
}

// The error for an invalid configuration names the key.
func TestInvalidConfigurations(t *testing.T) {
	good := defaultConfiguration()
	for key, change := range map[string][2]string{"seed": {"8c1f30d27a5be964", "x"}, "bus": {"10.2.0.1:8500", "nowhere"}, "listen": {"127.0.0.1:1", ""},
		"limits": {`"sockets":256`, `"sockets":8`}, "settings": {"read_like", "odd"}, "known: ": {"s-00000001", "one"}, "state": {"Ready", "Odd"},
		"not in the settings": {`"az":"a"`, `"az":"z"`}, "classes[0].giveUp": {`"giveUp":4`, `"giveUp":0`}, "limits.connectTimeout": {`"connectTimeout":0.25`, `"connectTimeout":0`},
		"Offset": {`"offset":1,"batch"`, `"offset":"x","batch"`}, "unexpected end": {good, good[:40]}} {
		if _, err := platform.ParseConfig([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: got error %v", key, err)
		}
	}
}
