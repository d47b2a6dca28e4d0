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

// counting is a core that counts the pieces of a turn and the connections that it has.
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
}

func (c *countingCore) At(core.Time) { c.turnPieces = 0 }
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
func (c *countingCore) Closed(*core.Conn, error) {}
func (c *countingCore) Settle() core.Time        { return core.Never }

func newCountingLoop(t *testing.T, room edge.Room) (*countingCore, *edge.Loop) {
	t.Helper()
	c := &countingCore{first: make(chan struct{}), proceed: make(chan struct{}), accepted: make(chan int, 100)}
	l, err := edge.NewIn(room, "127.0.0.1:0", func(n core.Net) core.Core { c.net = n; return c })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(true) })
	return c, l
}

// What waits is counted by the buffers that it holds, however little is in them.
func TestMailboxLimit(t *testing.T) {
	c, l := newCountingLoop(t, edge.Room{Read: 64, Mail: 640})
	const all = 100_000
	go func() {
		x, err := net.Dial("tcp", l.Addr())
		if err != nil {
			return
		}
		for range all / 10 {
			_, _ = x.Write(make([]byte, 10))
		}
		time.Sleep(time.Second)
	}()
	<-c.first
	time.Sleep(20 * time.Millisecond)
	close(c.proceed)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		n, most := 0, 0
		l.Do(func() { n, most = c.bytes, c.maxTurnPieces })
		if most > 640/64+1 {
			t.Fatal(most, "pieces waited")
		}
		if n == all {
			return
		}
		if time.Now().After(end) {
			t.Fatal(n, "bytes came")
		}
	}
}

// The listener holds back connections beyond the room for them, until one is closed.
func TestConnectionLimit(t *testing.T) {
	c, l := newCountingLoop(t, edge.Room{Read: 64, Mail: 640, Doors: 2})
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
		t.Error("a third was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	l.Do(func() { c.net.Close(c.conns[0]) })
	select {
	case <-c.accepted:
	case <-time.After(10 * time.Second):
		t.Error("the third was not accepted when there was room")
	}
}

// A connection goes to the address told and to no other of the machine.
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

func (d *dialCore) At(core.Time)                   {}
func (d *dialCore) Dialed(_ *core.Conn, err error) { d.done <- err }
func (d *dialCore) Closed(*core.Conn, error)       {}
func (d *dialCore) Settle() core.Time              { return core.Never }

// A dial that its core gives up gives its descriptor back then, not when its time is over.
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
	asked := func() bool { // whether a connection to the port is asked for and not answered
		rows, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(rows), fmt.Sprintf(" 0100007F:%04X 02 ", port))
	}
	await := func(want bool, what string) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); asked() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	d := &dialCore{done: make(chan error, 100)}
	l, err := edge.NewIn(edge.Room{Read: 4096, Mail: 1 << 20, Dials: time.Minute}, "", func(n core.Net) core.Core { d.net = n; return d })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop(true)
	var conns []*core.Conn
	for range 8 { // more than nobody accepts from
		c := &core.Conn{}
		conns = append(conns, c)
		l.Do(func() { d.net.Dial(c, addr) })
	}
	await(true, "all connections came up")
	l.Do(func() {
		for _, c := range conns {
			d.net.Close(c)
		}
	})
	await(false, "a dial given up goes on")
}

// A dial for which the descriptors do not suffice fails, and its half of a connection ends with it.
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
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	few := old
	few.Cur = 100
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	var held []int
	release := func() {
		for _, fd := range held {
			_ = syscall.Close(fd)
		}
		held = nil
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
			t.Error(err)
		}
	}
	defer func() { release() }()
	for {
		fd, err := syscall.Dup(2)
		if err != nil {
			break
		}
		held = append(held, fd)
	}
	_ = syscall.Close(held[len(held)-1]) // there is one: it connects, and cannot be taken in
	held = held[:len(held)-1]
	l.Do(func() { d.net.Dial(&core.Conn{}, ln.Addr().String()) })
	if err := <-d.done; !errors.Is(err, syscall.EMFILE) {
		t.Fatal("it came out as", err)
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
		t.Error("the connection goes on:", err)
	}
}

// halving is a core that ends its way of each connection that comes up, and tells what still comes and how it ends.
type halfCloseCore struct {
	core.Core
	net      core.Net
	received chan string
}

func (h *halfCloseCore) At(core.Time) {}
func (h *halfCloseCore) Dialed(c *core.Conn, err error) {
	if err != nil {
		h.received <- err.Error()
		return
	}
	h.net.(core.HalfCloser).CloseWrite(c)
}
func (h *halfCloseCore) Received(_ *core.Conn, b []byte) { h.received <- string(b) }
func (h *halfCloseCore) Closed(_ *core.Conn, err error)  { h.received <- err.Error() }
func (h *halfCloseCore) Settle() core.Time               { return core.Never }

// A connection of which one way is ended brings what the peer still sends, and ends when the peer ends it.
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
		t.Fatal("the peer is not told:", err)
	}
	if _, err := c.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	for _, want := range []string{"late", core.ErrEnded.Error()} {
		select {
		case got := <-h.received:
			if got != want {
				t.Errorf("%q came, not %q", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%q did not come", want)
		}
	}
}
