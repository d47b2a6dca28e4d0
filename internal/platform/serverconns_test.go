package platform

import (
	"testing"

	"pierlink/internal/core"
)

// closeRecorder is a network that records which connections are closed.
type closeRecorder struct{ closed []*core.Conn }

func (r *closeRecorder) Dial(*core.Conn, string) {}
func (r *closeRecorder) Send(*core.Conn, []byte) {}
func (r *closeRecorder) Pending(*core.Conn) int  { return 0 }
func (r *closeRecorder) Close(conn *core.Conn)   { r.closed = append(r.closed, conn) }

// Guards against ends of playbacks that are lost for want of descriptors: connections to servers at which nothing plays are
// closed first, whenever they were used last, then half-closed ones, and of several one. The last one stays.
func TestEvictionSparesConnectionsOfPlaybacks(t *testing.T) {
	newServer := func(id uint32, playing int) *server {
		srv := &server{id: id, playing: map[*playback]struct{}{}}
		for range playing {
			srv.playing[&playback{}] = struct{}{}
		}
		return srv
	}
	newConn := func(srv *server, lastUsedAt core.Time) *serverConn {
		conn := &serverConn{server: srv, transport: &core.Conn{}, up: true, lastUsedAt: lastUsedAt}
		srv.conns = append(srv.conns, conn)
		return conn
	}
	busy, idle := newServer(1, 1), newServer(2, 0)
	halfClosed := &serverConn{server: busy, transport: &core.Conn{}, up: true, draining: true, lastUsedAt: 30}
	busy.draining = append(busy.draining, halfClosed)
	older, newer := newConn(busy, 10), newConn(busy, 20)
	unused := newConn(idle, 40)
	network := &closeRecorder{}
	m := &Manager{network: network, servers: map[uint32]*server{1: busy, 2: idle}}
	for i, want := range []*serverConn{unused, halfClosed, older} {
		if !m.evictIdleConn() || network.closed[i] != want.transport {
			t.Errorf("eviction %d closed another connection than expected", i)
		}
	}
	if m.evictIdleConn() || newer.closing {
		t.Error("the last connection to a server at which a playback stands was closed")
	}
}
