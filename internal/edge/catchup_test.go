package edge_test

import (
	"net"
	"testing"
	"time"

	"pierlink/internal/core"
	"pierlink/internal/edge"
)

// lateCore is a core whose first Received event blocks until proceed is closed, and which notes at the end of that turn what
// it has received on other connections by then.
type lateCore struct {
	core.Core
	accepted chan struct{}
	first    chan struct{}
	proceed  chan struct{}
	busy     *core.Conn // the connection of the first event
	others   int        // bytes received on others
	closed   int
	seen     chan [2]int // others and closed at the end of the late turn
	reported bool
}

func (c *lateCore) BeginTurn(core.Time)             {}
func (c *lateCore) Accepted(_ *core.Conn, _ string) { c.accepted <- struct{}{} }
func (c *lateCore) Closed(conn *core.Conn, _ error) { c.closed++ }
func (c *lateCore) Received(conn *core.Conn, data []byte) {
	if c.busy == nil {
		c.busy = conn
		close(c.first)
		<-c.proceed
	}
	if conn != c.busy {
		c.others += len(data)
	}
}
func (c *lateCore) EndTurn() core.Time {
	if c.busy != nil && !c.reported {
		c.reported = true
		c.seen <- [2]int{c.others, c.closed}
	}
	return core.Never
}

// newLateLoop returns a loop in a late turn, with connections to it, on the first of which so much has been sent that the
// mailbox is full and the poller reads nothing more.
func newLateLoop(t *testing.T, connections int) (*lateCore, []net.Conn) {
	t.Helper()
	c := &lateCore{accepted: make(chan struct{}, connections), first: make(chan struct{}), proceed: make(chan struct{}), seen: make(chan [2]int, 1)}
	l, err := edge.NewWithLimits(edge.Limits{ReadBuffer: 64, MailboxBytes: 640}, "127.0.0.1:0", func(core.Net) core.Core { return c })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(true) })
	conns := make([]net.Conn, connections)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", l.Addr()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conns[i].Close() })
		<-c.accepted
	}
	if _, err := conns[0].Write(make([]byte, 10_000)); err != nil {
		t.Fatal(err)
	}
	<-c.first
	return c, conns
}

// Guards against decisions and judgements of silence after a pause that ignore what has come meanwhile: a late turn ends only when all that lay
// unread in the sockets has been delivered.
func TestLateTurnReadsWhatHasCome(t *testing.T) {
	c, conns := newLateLoop(t, 50)
	for _, conn := range conns[1:] {
		if _, err := conn.Write(make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
	}
	_ = conns[49].Close()
	time.Sleep(50 * time.Millisecond) // makes the turn late
	close(c.proceed)
	if seen := <-c.seen; seen != [2]int{49_000, 1} {
		t.Errorf("at the end of the late turn %d bytes and %d closes were delivered, want 49000 and 1", seen[0], seen[1])
	}
}

// A late turn does not wait for a peer that goes on sending.
func TestLateTurnEndsDespiteSteadySender(t *testing.T) {
	c, conns := newLateLoop(t, 2)
	stop := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := conns[1].Write(make([]byte, 4096)); err != nil {
					return
				}
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	close(c.proceed)
	select {
	case <-c.seen:
	case <-time.After(10 * time.Second):
		t.Error("the late turn has not ended")
	}
	close(stop)
	_ = conns[1].Close()
	<-sent
}
