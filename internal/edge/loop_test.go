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

// testbed is a session manager, a media box and a number of players on loopback sockets.
type testbed struct {
	front, box, crowd *edge.Loop
	frontCore         *front.Front
	boxCore           *mediabox.Box
	players           *player.Group
}

func newTestbed(t *testing.T, overspeed float64) *testbed {
	t.Helper()
	bed := &testbed{}
	must := func(l *edge.Loop, err error) *edge.Loop {
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Stop(false) })
		return l
	}
	bed.box = must(edge.New("127.0.0.1:0", func(n core.Net) core.Core {
		bed.boxCore = mediabox.New(mediabox.Config{Name: "box", Plans: []mediabox.Plan{{Name: "live", RateFactor: 1, Tracks: []string{"video"}}},
			LadderKB: []float64{100}, Join: 1, LinkKB: 1e6, Rack: &mediabox.Rack{UplinkKB: 1e6}, MaxSessions: 10000, SendInterval: 10_000,
			PacketBytes: 1000, LoadInAnswers: true, SessionTimeout: 20 * core.Second}, n, edge.Now())
		bed.boxCore.Faults.SendRateFactor = overspeed
		return bed.boxCore
	}))
	service := &front.Config{Name: "front", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"), SessionTimeout: 20 * core.Second,
		Plans:  []front.PlanProfile{{Name: "live", Abandon: 8 * core.Second, Tracks: []front.Track{{Media: "video", Encoding: "H264/90000", Payload: 96}}}},
		Bounds: front.Bounds{Connections: 5000, Playbacks: 1000, Pipelined: 8, PlayerBytes: 64 << 10},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{StartupTarget: 4 * core.Second, Revenue: 1, RateFactor: 1}},
			Ladder: session.Ladder{RateKB: []float64{100}, RevenueShare: []float64{1}, Join: 1},
			Fleet: session.Fleet{Cells: 1, Racks: 1, TotalLinkKB: 1e6, UplinkKB: 1e6, KBPerWeight: 1e6, WeightsListed: true, MaxStreams: []float64{10000},
				NoteDelay: 1e6, LoadInAnswers: true},
			Terms: session.Terms{ColdShare: 1, WarmUp: 1000, ColdMultiple: 4, ColdSpan: 1e6, MaxTries: 3}}}
	bed.front = must(edge.New("127.0.0.1:0", func(n core.Net) core.Core {
		now := edge.Now()
		bed.frontCore = front.New(service, policy.New(&service.Site, 1, now), n, zap.NewNop(), now)
		return bed.frontCore
	}))
	bed.front.Do(func() {
		bed.frontCore.UpdateList(front.ListUpdate{Complete: true, Servers: []front.Server{{Name: "box", Address: bed.box.Addr(), Zone: "z", Kind: "std", Weight: 1,
			State: session.Ready}}})
	})
	bed.crowd = must(edge.New("", func(n core.Net) core.Core {
		bed.players = player.New(n, edge.Now())
		return bed.players
	}))
	time.Sleep(5 * time.Millisecond)
	return bed
}

// playAll runs n players at the same time and returns what each observed.
func (bed *testbed) playAll(n int, span core.Time) []player.Result {
	done := make(chan player.Result, n)
	bed.crowd.Post(func() {
		bed.players.Report = func(_ *player.Profile, s *player.Result) { done <- *s }
		for i := range n {
			bed.players.Start(&player.Profile{ID: fmt.Sprint("pb", i), Fronts: []string{bed.front.Addr()}, Plan: "live", Title: fmt.Sprint("t", i),
				Tracks: 1, WatchTime: span, AbandonTime: 8 * core.Second, DescribeFirst: true})
		}
	})
	var all []player.Result
	for range n {
		all = append(all, <-done)
	}
	return all
}

func TestPlaybackEndToEnd(t *testing.T) {
	bed := newTestbed(t, 1)
	for _, s := range bed.playAll(20, core.Second/2) {
		if s.State != player.Done || s.Packets == 0 || s.Gaps > 0 || s.Responses != s.Requests || s.Unsolicited > 0 {
			t.Errorf("%+v", s)
		}
	}
	bed.front.Do(func() {
		if bed.frontCore.Figures.Playbacks != 0 || bed.frontCore.Figures.Plays != 20 {
			t.Errorf("%+v", bed.frontCore.Figures)
		}
	})
}

// Guards against a slow player stalling others: one that stops reading loses packets once its buffer limit is reached,
// while the others receive all of theirs.
func TestSlowPlayerIsolated(t *testing.T) {
	bed := newTestbed(t, 60)
	c, err := net.Dial("tcp", bed.front.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	uri := "rtsp://" + bed.front.Addr() + "/live/slow"
	b := rtsp.NewRequest(rtsp.Setup, uri+"/track0", 1).With("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1").Append(nil)
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
	if _, err := c.Write(rtsp.NewRequest(rtsp.Play, uri, 2).With("Session", id).Append(nil)); err != nil {
		t.Fatal(err)
	}
	lost := func() (n int64) {
		bed.front.Do(func() { n = bed.frontCore.Figures.LostVideo })
		return n
	}
	for range 100 { // until the kernel's buffers are full and the buffer limit is reached
		if lost() > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if lost() == 0 {
		t.Fatal("a player that does not read has lost no packets")
	}
	bed.box.Do(func() { bed.boxCore.Faults.SendRateFactor = 1 })
	before := lost()
	for _, s := range bed.playAll(5, core.Second/2) {
		if s.State != player.Done || s.Packets == 0 || s.Gaps > 0 {
			t.Errorf("%+v", s)
		}
	}
	if lost() < before {
		t.Error("the count of lost packets decreased")
	}
	go func() { _, _ = io.Copy(io.Discard, c) }() // reads on; the parser of a player would fail on anything but whole frames
	time.Sleep(100 * time.Millisecond)
}

// Idle connections stay open and do not disturb playbacks; closed ones are no longer counted.
func TestIdleConnections(t *testing.T) {
	bed := newTestbed(t, 1)
	var open []net.Conn
	for range 500 {
		c, err := net.Dial("tcp", bed.front.Addr())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	count := func() (n int64) {
		bed.front.Do(func() { n = bed.frontCore.Figures.Connections })
		return n
	}
	wait := func(want int64) {
		for range 200 {
			if count() == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%d connections, want %d", count(), want)
	}
	wait(500)
	for _, s := range bed.playAll(5, core.Second/10) {
		if s.State != player.Done {
			t.Errorf("%+v", s)
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	wait(0)
}

// Players are refused when no media box can be reached, and fail when the session manager has been killed.
func TestRefusedAndReset(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.box.Stop(true)
	for _, s := range bed.playAll(2, core.Second) {
		if s.State != player.Rejected {
			t.Errorf("%+v", s)
		}
	}
	bed.front.Stop(true)
	for _, s := range bed.playAll(2, core.Second) {
		if s.State != player.Failed {
			t.Errorf("%+v", s)
		}
	}
}

func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	write := func(text string) {
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	write("one")
	inForce := edge.VersionOf(file)
	write("one and a half") // before the file is watched
	stop := make(chan struct{})
	defer close(stop)
	contents := make(chan string, 8)
	var failed atomic.Int32
	go edge.WatchFile(file, inForce, time.Millisecond, stop, func(b []byte) { contents <- string(b) }, func(error) { failed.Add(1) })
	if got := <-contents; got != "one and a half" {
		t.Error(got)
	}
	time.Sleep(20 * time.Millisecond)
	write("two")
	if got := <-contents; got != "two" {
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
		t.Error("read error reported", n, "times, want once")
	}
	write("three")
	if got := <-contents; got != "three" {
		t.Error(got)
	}
}
