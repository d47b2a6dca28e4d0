package platform

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pierlink/internal/core"
	"pierlink/internal/platform/feed"
	"pierlink/policy"
	"pierlink/session"
)

// openNetwork keeps the connections that are open, and what was written on those to servers since the last look.
type openNetwork struct {
	dialed, up []*core.Conn
	offers     map[*core.Conn][]string // IDs of offers
}

func (n *openNetwork) Dial(conn *core.Conn, _ string) { n.dialed = append(n.dialed, conn) }
func (n *openNetwork) Send(conn *core.Conn, data []byte) {
	for line := range strings.SplitSeq(string(data), "\n") {
		if _, after, ok := strings.Cut(line, `{"op":"offer","call":"`); ok {
			n.offers[conn] = append(n.offers[conn], after[:16])
		}
	}
}
func (n *openNetwork) Pending(*core.Conn) int { return 0 }
func (n *openNetwork) Close(conn *core.Conn) {
	isConn := func(other *core.Conn) bool { return other == conn }
	n.dialed, n.up = slices.DeleteFunc(n.dialed, isConn), slices.DeleteFunc(n.up, isConn)
}
func (n *openNetwork) CloseWrite(*core.Conn) {}

// checkState compares what the manager has counted with what it is counted of.
func (m *Manager) checkState(t *rapid.T) {
	pending, playing, unconfirmed, unknown := map[*viewerConn]int{}, map[*viewerConn]int{}, 0, 0
	tries, buffered := map[*server]int{}, 0
	for id, pb := range m.playbacks {
		if pb.id != id || m.byNumber[pb.request.Playback] != pb || pb.phase == phaseDone {
			t.Fatalf("playback %s is not what its tables say", id)
		}
		if pb.unconfirmed != nil {
			unconfirmed++
		}
		if _, stands := pb.server.playingOrNone()[pb]; stands != (pb.phase == phasePlaying) {
			t.Fatalf("playback %s in phase %d: standing at its server %v", id, pb.phase, stands)
		}
		buffered += len(pb.description)
		switch pb.phase {
		case phasePlaying:
			playing[pb.viewer]++
		case phaseTrying:
			tries[pb.server]++
			fallthrough
		default:
			pending[pb.viewer]++
		}
	}
	listed := m.handovers.orphaned.Len()
	for _, viewer := range m.viewers {
		listed += viewer.unconfirmed.Len()
		buffered += viewer.bufferedBytes
		if viewer.pendingSetups != pending[viewer] || viewer.playing != playing[viewer] {
			t.Fatalf("a connection has %d pending and %d playing, and counts %d and %d", pending[viewer], playing[viewer], viewer.pendingSetups, viewer.playing)
		}
	}
	for _, notice := range m.teardowns {
		if notice.unknown {
			unknown++
		}
	}
	for _, srv := range m.servers {
		if srv.tries != tries[srv] {
			t.Fatalf("server %s has %d tries, and counts %d", srv.name, tries[srv], srv.tries)
		}
	}
	if pending[nil] > 0 || unconfirmed != m.handovers.count || listed != unconfirmed || unknown != m.unknownNotices || buffered != m.bufferedBytes {
		t.Fatalf("%d pending without a connection; %d unconfirmed, %d listed, %d counted; %d unknown notices, %d counted; %d bytes, %d counted", pending[nil],
			unconfirmed, listed, m.handovers.count, unknown, m.unknownNotices, buffered, m.bufferedBytes)
	}
}

func (s *server) playingOrNone() map[*playback]struct{} {
	if s == nil {
		return nil
	}
	return s.playing
}

// After any sequence of events the counters agree with the tables: a bound that counts wrong would in time refuse
// everything, or nothing.
func TestCountersAgreeWithTables(t *testing.T) {
	text, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer("MEMORY", "1", "SOCKETS", "64", "PROBES", "true", "EFFECT", "idempotency_key", "IDLE", "15", "TENANTS", "[]", "FLOOR", "0").Replace(string(text))
	rapid.Check(t, func(rt *rapid.T) {
		config, err := ParseConfig([]byte(filled))
		if err != nil {
			rt.Fatal(err)
		}
		network := &openNetwork{offers: map[*core.Conn][]string{}}
		now := 1000 * core.Second
		m := New(network, config, now, policy.New)
		var viewers []*core.Conn
		id := func() string { return fmt.Sprintf("%016x", rapid.IntRange(1, 12).Draw(rt, "id")) }
		pick := func(conns []*core.Conn) *core.Conn {
			if len(conns) == 0 {
				return nil
			}
			return conns[rapid.IntRange(0, len(conns)-1).Draw(rt, "conn")]
		}
		event := func() {
			switch kind := rapid.IntRange(0, 13).Draw(rt, "kind"); kind {
			case 0:
				conn := &core.Conn{}
				viewers = append(viewers, conn)
				m.Accepted(conn, "10.0.0.1:1")
			case 1, 2, 3:
				at := []string{"", ";at:s-00000001", ";at:s-00000009"}[kind-1]
				if conn := pick(viewers); conn != nil {
					m.Received(conn, []byte("SETUP rtsp://media/"+id()+" RTSP/1.0\r\nCSeq: 1\r\nSession: "+id()+"\r\nCall-Kind: live\r\nAnswer-Within: 900\r\nRouting-Data: home:0;copies:2;top:1;viewer:00000000b4d65521"+at+"\r\nContent-Length: 3\r\n\r\nsdp"))
				}
			case 4:
				if conn := pick(viewers); conn != nil {
					m.Received(conn, []byte("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: "+id()+"\r\nContent-Length: 0\r\n\r\n"))
				}
			case 5:
				if conn := pick(viewers); conn != nil {
					m.Received(conn, []byte("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: "+id()+"\r\nContent-Length: 0\r\n\r\n"))
				}
			case 6, 7:
				if conn := pick(viewers); conn != nil {
					if m.PeerClosed(conn); kind == 7 {
						m.Closed(conn, core.ErrClosedByPeer)
						viewers = slices.DeleteFunc(viewers, func(other *core.Conn) bool { return other == conn })
					}
				}
			case 8, 9:
				if conn := pick(network.dialed); conn != nil {
					network.Close(conn)
					if kind == 8 {
						network.up = append(network.up, conn)
						m.Dialed(conn, nil)
					} else {
						m.Dialed(conn, core.ErrRefused)
					}
				}
			case 10:
				if conn := pick(network.up); conn != nil {
					network.Close(conn)
					m.Closed(conn, errors.New("reset"))
				}
			case 11, 12:
				if conn := pick(network.up); conn != nil {
					call := id()
					if offers := network.offers[conn]; len(offers) > 0 {
						call = offers[len(offers)-1]
					}
					line := []string{`{"op":"accept","call":"%s","with":{},"desc":"x"}`, `{"op":"end","call":"%s","with":{},"why":16}`, `{"op":"info","call":"%s","with":{"note":"level","value":"1"}}`,
						`{"op":"end","call":"%s","with":{},"why":34}`}[rapid.IntRange(0, 3).Draw(rt, "line")]
					m.Received(conn, []byte(fmt.Sprintf(line, call)+"\n"))
				}
			case 13:
				entry := feed.Server{ID: uint32(rapid.IntRange(1, 3).Draw(rt, "server")), Address: fmt.Sprintf("10.1.0.%d:5060", rapid.IntRange(1, 2).Draw(rt, "address")),
					State: session.ServerState(rapid.IntRange(0, 2).Draw(rt, "state")), Weight: 1}
				if rapid.Bool().Draw(rt, "late") {
					entry.Started = now
				}
				m.applyEvent(feed.Event{Servers: []feed.Server{entry}})
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "turns") {
			now += core.Time(rapid.IntRange(0, 700).Draw(rt, "ms")) * core.Millisecond
			m.BeginTurn(now)
			for range rapid.IntRange(1, 6).Draw(rt, "events") {
				event()
				m.checkState(rt)
			}
			m.EndTurn()
			m.checkState(rt)
		}
	})
}
