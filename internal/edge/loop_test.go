package edge_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/front"
	"pierlink/internal/rtsp"
	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
	"pierlink/policy"
	"pierlink/session"
)

// path is one manager, one box and a crowd of players on loopback sockets.
type testbed struct {
	front, box, crowd *edge.Loop
	frontCore         *front.Front
	boxCore           *mediabox.Box
	players           *player.Crowd
}

func newTestbed(t *testing.T, overspeed float64) *testbed {
	t.Helper()
	x := &testbed{}
	must := func(l *edge.Loop, err error) *edge.Loop {
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Stop(false) })
		return l
	}
	x.box = must(edge.New("127.0.0.1:0", func(n core.Net) core.Core {
		x.boxCore = mediabox.New(mediabox.Frame{Name: "box", Plans: []mediabox.Plan{{Name: "live", RateFactor: 1, Tracks: []string{"video"}}},
			LadderKB: []float64{100}, Join: 1, LinkKB: 1e6, Rack: &mediabox.Rack{UplinkKB: 1e6}, Places: 10000, Tick: 10_000,
			PacketBytes: 1000, LoadInAnswers: true, SessionTimeout: 20 * core.Second}, n, edge.Now())
		x.boxCore.Trouble.Overspeed = overspeed
		return x.boxCore
	}))
	s := &front.Service{Name: "front", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"), SessionTimeout: 20 * core.Second,
		Plans:  []front.Face{{Name: "live", Abandon: 8 * core.Second, Tracks: []front.Track{{Media: "video", Encoding: "H264/90000", Payload: 96}}}},
		Bounds: front.Bounds{Connections: 5000, Playbacks: 1000, Pipelined: 8, PlayerBytes: 64 << 10},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{Startup: 4 * core.Second, Revenue: 1, RateFactor: 1}},
			Ladder: session.Ladder{RateKB: []float64{100}, Worth: []float64{1}, Join: 1},
			Fleet: session.Fleet{Cells: 1, Racks: 1, LinksKB: 1e6, UplinkKB: 1e6, KBPerWeight: 1e6, WeightsTold: true, Places: []float64{10000},
				NoteDelay: 1e6, LoadInAnswers: true},
			Terms: session.Terms{ColdFrom: 1, WarmUp: 1000, FallMultiple: 4, FallSpan: 1e6, MaxTries: 3}}}
	x.front = must(edge.New("127.0.0.1:0", func(n core.Net) core.Core {
		now := edge.Now()
		x.frontCore = front.New(s, policy.New(&s.Site, 1, now), n, zap.NewNop(), now)
		return x.frontCore
	}))
	x.front.Do(func() {
		x.frontCore.Listed(front.List{Whole: true, Servers: []front.Server{{Name: "box", Address: x.box.Addr(), Zone: "z", Kind: "std", Weight: 1,
			State: session.Ready}}})
	})
	x.crowd = must(edge.New("", func(n core.Net) core.Core {
		x.players = player.New(n, edge.Now())
		return x.players
	}))
	time.Sleep(5 * time.Millisecond)
	return x
}

// watch has so many players play, and returns what each saw.
func (x *testbed) playAll(n int, span core.Time) []player.Seen {
	done := make(chan player.Seen, n)
	x.crowd.Post(func() {
		x.players.Report = func(_ *player.Want, s *player.Seen) { done <- *s }
		for i := range n {
			x.players.Start(&player.Want{ID: fmt.Sprint("pb", i), Fronts: []string{x.front.Addr()}, Plan: "live", Title: fmt.Sprint("t", i),
				Tracks: 1, Watch: span, Abandon: 8 * core.Second, Ask: true})
		}
	})
	var all []player.Seen
	for range n {
		all = append(all, <-done)
	}
	return all
}

func TestPlaybackEndToEnd(t *testing.T) {
	x := newTestbed(t, 1)
	for _, s := range x.playAll(20, core.Second/2) {
		if s.State != player.Done || s.Packets == 0 || s.Gaps > 0 || s.Answers != s.Requests || s.Unasked > 0 {
			t.Errorf("%+v", s)
		}
	}
	x.front.Do(func() {
		if x.frontCore.Figures.Playbacks != 0 || x.frontCore.Figures.Plays != 20 {
			t.Errorf("%+v", x.frontCore.Figures)
		}
	})
}

// A player that stops reading loses packets of its own within its bound; the others miss nothing.
func TestSlowPlayerIsolated(t *testing.T) {
	x := newTestbed(t, 60)
	c, err := net.Dial("tcp", x.front.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	uri := "rtsp://" + x.front.Addr() + "/live/slow"
	b := rtsp.Request(rtsp.Setup, uri+"/track0", 1).With("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1").Append(nil)
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	head := make([]byte, 512)
	n, err := c.Read(head)
	_, rest, ok := strings.Cut(string(head[:n]), "Session: ")
	if err != nil || !ok {
		t.Fatal(err, string(head[:n]))
	}
	id, _, _ := strings.Cut(rest, ";")
	if _, err := c.Write(rtsp.Request(rtsp.Play, uri, 2).With("Session", id).Append(nil)); err != nil {
		t.Fatal(err)
	}
	lost := func() (n int64) {
		x.front.Do(func() { n = x.frontCore.Figures.LostVideo })
		return n
	}
	for range 100 { // until the kernel's buffers are full and the bound is reached
		if lost() > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if lost() == 0 {
		t.Fatal("nothing lost by a player that does not read")
	}
	x.box.Do(func() { x.boxCore.Trouble.Overspeed = 1 })
	before := lost()
	for _, s := range x.playAll(5, core.Second/2) {
		if s.State != player.Done || s.Packets == 0 || s.Gaps > 0 {
			t.Errorf("%+v", s)
		}
	}
	if lost() < before {
		t.Error("the count of lost packets went back")
	}
	go func() { _, _ = io.Copy(io.Discard, c) }() // it reads on: whole frames, or its parser would end it
	time.Sleep(100 * time.Millisecond)
}

// Idle connections are kept, cost the manager nothing but memory, and are gone when they close.
func TestIdleConnections(t *testing.T) {
	x := newTestbed(t, 1)
	var open []net.Conn
	for range 500 {
		c, err := net.Dial("tcp", x.front.Addr())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	count := func() (n int64) {
		x.front.Do(func() { n = x.frontCore.Figures.Connections })
		return n
	}
	wait := func(want int64) {
		for range 200 {
			if count() == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%d connections, not %d", count(), want)
	}
	wait(500)
	for _, s := range x.playAll(5, core.Second/10) {
		if s.State != player.Done {
			t.Errorf("%+v", s)
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	wait(0)
}

// A box that is not there refuses; a killed manager resets.
func TestRefusedAndReset(t *testing.T) {
	x := newTestbed(t, 1)
	x.box.Stop(true)
	for _, s := range x.playAll(2, core.Second) {
		if s.State != player.Refused {
			t.Errorf("%+v", s)
		}
	}
	x.front.Stop(true)
	for _, s := range x.playAll(2, core.Second) {
		if s.State != player.Failed {
			t.Errorf("%+v", s)
		}
	}
}

func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	put := func(text string) {
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	put("one")
	stop := make(chan struct{})
	defer close(stop)
	news := make(chan string, 8)
	var failed atomic.Int32
	go edge.Watch(file, time.Millisecond, stop, func(b []byte) { news <- string(b) }, func(error) { failed.Add(1) })
	time.Sleep(20 * time.Millisecond)
	put("two")
	if got := <-news; got != "two" {
		t.Error(got)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	for failed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	if n := failed.Load(); n != 1 {
		t.Error("told", n, "times")
	}
	put("three")
	if got := <-news; got != "three" {
		t.Error(got)
	}
}
