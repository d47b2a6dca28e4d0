package edge_test

import (
	"net"
	"testing"
	"time"

	"pierlink/internal/core"
	"pierlink/internal/edge"
)

// closeCore counts the bytes that it received before it learned that the peer has closed, and all of them.
type closeCore struct {
	discardingCore
	first, proceed chan struct{}
	closed         chan struct{}
	told           bool
	before, total  int
}

func (c *closeCore) Received(_ *core.Conn, data []byte) {
	if c.total == 0 {
		close(c.first)
		<-c.proceed
	}
	c.total += len(data)
	if !c.told {
		c.before += len(data)
	}
}
func (c *closeCore) PeerClosed(*core.Conn)    { c.told = true }
func (c *closeCore) Closed(*core.Conn, error) { close(c.closed) }

// discardingCore ignores all events.
type discardingCore struct{}

func (discardingCore) BeginTurn(core.Time)         {}
func (discardingCore) Accepted(*core.Conn, string) {}
func (discardingCore) Dialed(*core.Conn, error)    {}
func (discardingCore) Received(*core.Conn, []byte) {}
func (discardingCore) Drained(*core.Conn)          {}
func (discardingCore) Closed(*core.Conn, error)    {}
func (discardingCore) EndTurn() core.Time          { return core.Never }

// Guards against requests of a client that has gone: the core learns of a close before it gets what waits unread behind it,
// and gets all of that.
func TestPeerCloseIsReportedFirst(t *testing.T) {
	c := &closeCore{first: make(chan struct{}), proceed: make(chan struct{}), closed: make(chan struct{})}
	loop, err := edge.NewWithLimits(edge.Limits{ReadBuffer: 64, MailboxBytes: 640}, "127.0.0.1:0", func(core.Net) core.Core { return c })
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop(true)
	conn, err := net.Dial("tcp", loop.Addr())
	if err != nil {
		t.Fatal(err)
	}
	const total = 50_000
	if _, err := conn.Write(make([]byte, total)); err != nil {
		t.Fatal(err)
	}
	<-c.first
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond) // the poller finds the close meanwhile
	close(c.proceed)
	select {
	case <-c.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the close was not delivered within 10 s")
	}
	before, all := 0, 0
	loop.Do(func() { before, all = c.before, c.total })
	if before > 64*3 || all != total {
		t.Errorf("%d bytes were delivered before the close was known, and %d in all; want a first turn's 192 at most, and %d", before, all, total)
	}
}
