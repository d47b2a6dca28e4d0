package front

import (
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// idleModule stands in for the module where nothing is to be decided.
type idleModule struct{ session.Manager }

func (idleModule) At(session.Time)        {}
func (idleModule) Settle(session.Actions) {}

// counting is a network that takes all and counts it.
type countingNetwork struct {
	sentBytes int
	full      bool
}

func (n *countingNetwork) Dial(*core.Conn, string) {}
func (n *countingNetwork) Send(_ *core.Conn, b []byte) {
	n.sentBytes += len(b)
}
func (n *countingNetwork) Pending(*core.Conn) int {
	if n.full {
		return 1
	}
	return 0
}
func (n *countingNetwork) Close(*core.Conn) {}

func newRelay(n *countingNetwork) (*Front, *core.Conn) {
	f := New(&Service{SessionTimeout: core.Second, Bounds: Bounds{Connections: 9, Playbacks: 9, Pipelined: 9, PlayerBytes: 1 << 16}},
		idleModule{}, n, zap.NewNop(), 1)
	a := &core.Conn{}
	f.At(1)
	f.Accepted(a, "a")
	peer := a.Owner.(*peerConn)
	pb := &playback{player: peer, playing: true, answered: true}
	pb.bindings = []*trackBinding{{pb: pb, rtcp: 1, kind: videoUnit, ready: true}}
	up := &core.Conn{}
	dialogue := &serverDialogue{playback: pb, state: statePlaying, connected: true}
	dialogue.peer = &peerConn{conn: up, dialogue: dialogue, parser: rtsp.Parser{Bounds: rtsp.Usual}}
	dialogue.peer.sink = sink{f, dialogue.peer}
	up.Owner, pb.upstream = dialogue.peer, dialogue
	f.Settle()
	return f, up
}

func mediaChunk() []byte {
	var b []byte
	for range 20 {
		b = rtsp.AppendFrame(b, 0, make([]byte, 1200))
	}
	return b
}

// A packet on its way from box to player costs no allocation, wherever the reads cut it.
func TestRelayAllocatesNothing(t *testing.T) {
	n := &countingNetwork{}
	f, up := newRelay(n)
	b := mediaChunk()
	at := Time(2)
	turn := func() {
		f.At(at)
		f.Received(up, b[:len(b)/2+300])
		f.Settle()
		f.At(at)
		f.Received(up, b[len(b)/2+300:])
		f.Settle()
	}
	for range 100 {
		turn()
	}
	if got := testing.AllocsPerRun(200, turn); got > 0 {
		t.Errorf("%.2f allocations for 20 packets", got)
	}
	if want := int(f.Figures.Packets) * 1204; n.sentBytes != want {
		t.Errorf("%d bytes sent of %d packets", n.sentBytes, f.Figures.Packets)
	}
}

func BenchmarkRelay(b *testing.B) {
	n := &countingNetwork{}
	f, up := newRelay(n)
	c := mediaChunk()
	b.SetBytes(int64(len(c)))
	b.ReportAllocs()
	for b.Loop() {
		f.At(2)
		f.Received(up, c)
		f.Settle()
	}
}
