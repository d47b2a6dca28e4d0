package front

import (
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// idleModule is a module that makes no decisions.
type idleModule struct{ session.Manager }

func (idleModule) BeginTurn(session.Time) {}
func (idleModule) Settle(session.Actions) {}

// countingNetwork is a network that counts the bytes sent.
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

// newRelay returns a front with one playing playback, and the connection to its box.
func newRelay(network *countingNetwork) (*Front, *core.Conn) {
	f := New(&Config{SessionTimeout: core.Second, Bounds: Bounds{Connections: 9, Playbacks: 9, Pipelined: 9, PlayerBytes: 1 << 16}},
		idleModule{}, network, zap.NewNop(), 1)
	playerConn := &core.Conn{}
	f.BeginTurn(1)
	f.Accepted(playerConn, "a")
	peer := playerConn.Owner.(*peerConn)
	pb := &playback{player: peer, playing: true, answered: true}
	pb.bindings = []*trackBinding{{pb: pb, rtcp: 1, kind: videoUnit, ready: true}}
	boxConn := &core.Conn{}
	dialogue := &serverDialogue{playback: pb, state: statePlaying, connected: true}
	dialogue.peer = &peerConn{conn: boxConn, dialogue: dialogue, parser: rtsp.Parser{Bounds: rtsp.DefaultBounds}}
	dialogue.peer.sink = sink{f, dialogue.peer}
	boxConn.Owner, pb.upstream = dialogue.peer, dialogue
	f.EndTurn()
	return f, boxConn
}

// mediaChunk returns 20 frames of 1200 bytes of payload.
func mediaChunk() []byte {
	var b []byte
	for range 20 {
		b = rtsp.AppendFrame(b, 0, make([]byte, 1200))
	}
	return b
}

// Relaying a packet from box to player must not allocate, also where a read ends within a frame.
func TestRelayDoesNotAllocate(t *testing.T) {
	network := &countingNetwork{}
	f, boxConn := newRelay(network)
	chunk := mediaChunk()
	now := Time(2)
	turn := func() {
		f.BeginTurn(now)
		f.Received(boxConn, chunk[:len(chunk)/2+300])
		f.EndTurn()
		f.BeginTurn(now)
		f.Received(boxConn, chunk[len(chunk)/2+300:])
		f.EndTurn()
	}
	for range 100 {
		turn()
	}
	if got := testing.AllocsPerRun(200, turn); got > 0 {
		t.Errorf("%.2f allocations for 20 packets", got)
	}
	if want := int(f.Figures.Packets) * 1204; network.sentBytes != want {
		t.Errorf("%d bytes sent for %d packets", network.sentBytes, f.Figures.Packets)
	}
}

func BenchmarkRelay(b *testing.B) {
	network := &countingNetwork{}
	f, boxConn := newRelay(network)
	chunk := mediaChunk()
	b.SetBytes(int64(len(chunk)))
	b.ReportAllocs()
	for b.Loop() {
		f.BeginTurn(2)
		f.Received(boxConn, chunk)
		f.EndTurn()
	}
}
