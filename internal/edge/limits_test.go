package edge_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pierlink/internal/core"
	"pierlink/internal/edge"
)

// countingCore is a core that counts the received events of each turn, the bytes and the accepted connections. Its first
// Received event blocks until proceed is closed.
type countingCore struct {
	core.Core
	net           core.Net
	first         chan struct{}
	proceed       chan struct{}
	turnPieces    int
	maxTurnPieces int
	accepted      chan int
	conns         []*core.Conn
	bytes         int
	closed        chan struct{}
}

func (c *countingCore) BeginTurn(core.Time) { c.turnPieces = 0 }
func (c *countingCore) Accepted(x *core.Conn, _ string) {
	c.conns = append(c.conns, x)
	c.accepted <- len(c.conns)
}
func (c *countingCore) Received(_ *core.Conn, b []byte) {
	if c.bytes == 0 {
		close(c.first)
		<-c.proceed
	}
	c.turnPieces++
	c.bytes += len(b)
	c.maxTurnPieces = max(c.maxTurnPieces, c.turnPieces)
}
func (c *countingCore) Closed(*core.Conn, error) { c.closed <- struct{}{} }
func (c *countingCore) EndTurn() core.Time       { return core.Never }

func newCountingLoop(t *testing.T, limits edge.Limits) (*countingCore, *edge.Loop) {
	t.Helper()
	c := &countingCore{first: make(chan struct{}), proceed: make(chan struct{}), accepted: make(chan int, 100), closed: make(chan struct{}, 100)}
	l, err := edge.NewWithLimits(limits, "127.0.0.1:0", func(n core.Net) core.Core { c.net = n; return c })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(true) })
	return c, l
}

// Guards against small packets exceeding the memory limit: the mailbox limit counts the size of the buffers held, not
// the bytes used of them.
func TestMailboxLimit(t *testing.T) {
	c, l := newCountingLoop(t, edge.Limits{ReadBuffer: 64, MailboxBytes: 640})
	const total = 100_000
	go func() {
		x, err := net.Dial("tcp", l.Addr())
		if err != nil {
			return
		}
		for range total / 10 {
			_, _ = x.Write(make([]byte, 10))
		}
		time.Sleep(time.Second)
	}()
	<-c.first
	time.Sleep(20 * time.Millisecond)
	close(c.proceed)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		n, maxPieces := 0, 0
		l.Do(func() { n, maxPieces = c.bytes, c.maxTurnPieces })
		if maxPieces > 640/64+1 {
			t.Fatal(maxPieces, "received events in the mailbox, the limit is 10")
		}
		if n == total {
			return
		}
		if time.Now().After(end) {
			t.Fatal(n, "bytes received within 10 s, want all")
		}
	}
}

// Guards against losing what waits in a socket when its peer closes: all of it is delivered before the close, however many
// buffers it fills.
func TestPeerCloseLosesNothing(t *testing.T) {
	c, l := newCountingLoop(t, edge.Limits{ReadBuffer: 64, MailboxBytes: 640})
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	const total = 50_000
	if _, err := conn.Write(make([]byte, total)); err != nil {
		t.Fatal(err)
	}
	<-c.first
	_ = conn.Close() // while the mailbox is full and the rest waits in the socket
	close(c.proceed)
	select {
	case <-c.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the close was not delivered within 10 s")
	}
	received := 0
	l.Do(func() { received = c.bytes })
	if received != total {
		t.Errorf("%d bytes were delivered before the close, want %d", received, total)
	}
}

// Connections beyond the limit are not accepted until one is closed.
func TestConnectionLimit(t *testing.T) {
	c, l := newCountingLoop(t, edge.Limits{ReadBuffer: 64, MailboxBytes: 640, MaxConnections: 2})
	for range 3 {
		x, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
	}
	<-c.accepted
	<-c.accepted
	select {
	case <-c.accepted:
		t.Error("a third connection was accepted beyond the limit of 2")
	case <-time.After(50 * time.Millisecond):
	}
	l.Do(func() { c.net.Close(c.conns[0]) })
	select {
	case <-c.accepted:
	case <-time.After(10 * time.Second):
		t.Error("the third connection was not accepted after one was closed")
	}
}

// Guards against the poller's own dial, which connects to 0.0.0.0 for every IPv4 address: a connection has to go to the
// given address and to no other of the machine.
func TestDialUsesGivenAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed := make(chan error, 1)
	d := &dialCore{done: dialed}
	l, err := edge.New("", func(n core.Net) core.Core { d.net = n; return d })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop(true)
	l.Do(func() { d.net.Dial(&core.Conn{}, ln.Addr().String()) })
	if err := <-dialed; err != nil {
		t.Error(err)
	}
}

type dialCore struct {
	core.Core
	net  core.Net
	done chan error
}

func (d *dialCore) BeginTurn(core.Time)            {}
func (d *dialCore) Dialed(_ *core.Conn, err error) { d.done <- err }
func (d *dialCore) Closed(*core.Conn, error)       {}
func (d *dialCore) EndTurn() core.Time             { return core.Never }

// Guards against descriptors held by cancelled dials: the descriptor has to be closed at once, not after the dial timeout.
func TestCancelledDialClosesDescriptor(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := name.(*syscall.SockaddrInet4).Port
	addr := fmt.Sprintf("127.0.0.1:%d", port)
	synSent := func() bool { // whether a connection to the port is in state SYN_SENT
		rows, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(rows), fmt.Sprintf(" 0100007F:%04X 02 ", port))
	}
	await := func(want bool, what string) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); synSent() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	d := &dialCore{done: make(chan error, 100)}
	l, err := edge.NewWithLimits(edge.Limits{ReadBuffer: 4096, MailboxBytes: 1 << 20, DialTimeout: time.Minute}, "", func(n core.Net) core.Core { d.net = n; return d })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop(true)
	var conns []*core.Conn
	for range 8 { // more than fit into the listen queue, from which nobody accepts
		c := &core.Conn{}
		conns = append(conns, c)
		l.Do(func() { d.net.Dial(c, addr) })
	}
	await(true, "all connections were established")
	l.Do(func() {
		for _, c := range conns {
			d.net.Close(c)
		}
	})
	await(false, "a cancelled dial goes on")
}

// A dial fails if the descriptors do not suffice to hand the connection to the poller, and the connection is closed.
func TestDialWithoutDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := &dialCore{done: make(chan error, 1)}
	l, err := edge.New("", func(n core.Net) core.Core { d.net = n; return d })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop(true)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	lowered := limit
	lowered.Cur = 100
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	var descriptors []int
	release := func() {
		for _, fd := range descriptors {
			_ = syscall.Close(fd)
		}
		descriptors = nil
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}
	defer func() { release() }()
	for {
		fd, err := syscall.Dup(2)
		if err != nil {
			break
		}
		descriptors = append(descriptors, fd)
	}
	_ = syscall.Close(descriptors[len(descriptors)-1]) // one is free: enough to connect, not enough for the poller
	descriptors = descriptors[:len(descriptors)-1]
	l.Do(func() { d.net.Dial(&core.Conn{}, ln.Addr().String()) })
	if err := <-d.done; !errors.Is(err, syscall.EMFILE) {
		t.Fatal("dial result is not EMFILE:", err)
	}
	release()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Error("the connection was not closed:", err)
	}
}

// halfCloseCore is a core that shuts down the sending side of each connection that it dials, and passes on what is
// received after that and the error at the end.
type halfCloseCore struct {
	core.Core
	net      core.Net
	received chan string
}

func (h *halfCloseCore) BeginTurn(core.Time) {}
func (h *halfCloseCore) Dialed(c *core.Conn, err error) {
	if err != nil {
		h.received <- err.Error()
		return
	}
	h.net.(core.HalfCloser).CloseWrite(c)
}
func (h *halfCloseCore) Received(_ *core.Conn, b []byte) { h.received <- string(b) }
func (h *halfCloseCore) Closed(_ *core.Conn, err error)  { h.received <- err.Error() }
func (h *halfCloseCore) EndTurn() core.Time              { return core.Never }

// After CloseWrite a connection still receives what the peer sends, and ends when the peer closes it.
func TestCloseWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	h := &halfCloseCore{received: make(chan string, 10)}
	l, err := edge.New("", func(n core.Net) core.Core { h.net = n; return h })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop(true)
	l.Do(func() { h.net.Dial(&core.Conn{}, ln.Addr().String()) })
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatal("the peer did not read the end of the stream:", err)
	}
	if _, err := c.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	for _, want := range []string{"late", core.ErrClosedByPeer.Error()} {
		select {
		case got := <-h.received:
			if got != want {
				t.Errorf("received %q, want %q", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%q was not received", want)
		}
	}
}

// Guards against a turn without end going unnoticed: waiting for the loop ends, and tells that the function has not run.
func TestDoWithinEndsWhileTurnRuns(t *testing.T) {
	c, l := newCountingLoop(t, edge.Limits{ReadBuffer: 64, MailboxBytes: 640})
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write([]byte("x"))
	<-c.first
	if l.DoWithin(time.Millisecond, func() {}) {
		t.Error("the function ran within a turn of another event")
	}
	close(c.proceed)
	if !l.DoWithin(10*time.Second, func() {}) {
		t.Error("the function did not run after the turn had ended")
	}
}

// Guards against a client that keeps all others waiting: of what a connection has sent, no more than its share comes into a
// turn, however much waits.
func TestConnectionShareOfTurn(t *testing.T) {
	const share, total = 2, 100_000 // share: maxQueuedBuffers
	c, l := newCountingLoop(t, edge.Limits{ReadBuffer: 64, MailboxBytes: 64 << 10})
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(make([]byte, total)); err != nil {
		t.Fatal(err)
	}
	<-c.first
	time.Sleep(20 * time.Millisecond) // the rest is read meanwhile, if it is read at all
	close(c.proceed)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		received, pieces := 0, 0
		l.Do(func() { received, pieces = c.bytes, c.maxTurnPieces })
		if pieces > share {
			t.Fatalf("%d buffers of one connection in a turn, its share is %d", pieces, share)
		}
		if received == total {
			return
		}
		if time.Now().After(end) {
			t.Fatal(received, "bytes received within 10 s, want all")
		}
	}
}
