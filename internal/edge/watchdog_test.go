package edge

import (
	"net"
	"testing"
	"time"

	"pierlink/internal/core"
)

// slowCore takes a while for what it receives.
type slowCore struct {
	discardCore
	takes time.Duration
}

func (c *slowCore) Received(*core.Conn, []byte) { time.Sleep(c.takes) }

// discardCore ignores all events.
type discardCore struct{}

func (*discardCore) BeginTurn(core.Time)         {}
func (*discardCore) Accepted(*core.Conn, string) {}
func (*discardCore) Dialed(*core.Conn, error)    {}
func (*discardCore) Received(*core.Conn, []byte) {}
func (*discardCore) Drained(*core.Conn)          {}
func (*discardCore) Closed(*core.Conn, error)    {}
func (*discardCore) EndTurn() core.Time          { return core.Never }

// Guards against a hang that the log says nothing of: a turn that takes long is reported once, while it runs, with what
// it is about.
func TestSlowTurnIsReported(t *testing.T) {
	loop, err := New("127.0.0.1:0", func(core.Net) core.Core { return &slowCore{takes: time.Second} })
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop(true)
	reports := make(chan SlowTurn, 16)
	loop.WatchTurns(100*time.Millisecond, func(turn SlowTurn) { reports <- turn })
	conn, err := net.Dial("tcp", loop.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	select {
	case turn := <-reports:
		if turn.Activity != activities[received] || turn.Peer != conn.LocalAddr().String() || turn.Running < 100*time.Millisecond {
			t.Errorf("%+v", turn)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no report")
	}
	loop.Do(func() {})
	if len(reports) > 0 {
		t.Errorf("reported again: %+v", <-reports)
	}
}
