package edge_test

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/front"
	"pierlink/internal/life"
	"pierlink/policy"
	"pierlink/session"
)

// daemon is a process's part of a life, in this one.
type process struct {
	loop          *edge.Loop
	front         *front.Front
	life          *life.Life
	listen        func(*process) error
	err           error
	ended         atomic.Bool
	acceptStopped chan struct{}
}

func (d *process) Listen()         { d.err = d.listen(d) }
func (d *process) News(life.State) {}
func (d *process) Exit()           { d.ended.Store(true) }
func (d *process) Hush() {
	go func() { d.loop.Hush(); d.loop.Post(d.life.Hushed); close(d.acceptStopped) }()
}

func newProcess(t *testing.T, listen func(*process) error) *process {
	t.Helper()
	s := &front.Service{Name: "f", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"), SessionTimeout: 20 * core.Second,
		Plans:  []front.Face{{Name: "live", Abandon: 4 * core.Second, Tracks: []front.Track{{Media: "video", Encoding: "H264/90000", Payload: 96}}}},
		Bounds: front.Bounds{Connections: 5000, Playbacks: 1000, Pipelined: 8, PlayerBytes: 64 << 10},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{Startup: core.Second, Revenue: 1, RateFactor: 1}},
			Ladder: session.Ladder{RateKB: []float64{100}, Worth: []float64{1}, Join: 1},
			Fleet:  session.Fleet{Cells: 1, Racks: 1, LinksKB: 1e6, UplinkKB: 1e6, KBPerWeight: 1e6, Places: []float64{100}, NoteDelay: 1e6},
			Terms:  session.Terms{ColdFrom: 1, WarmUp: 1000, FallMultiple: 4, FallSpan: 1e6, MaxTries: 3}}}
	d := &process{listen: listen, acceptStopped: make(chan struct{})}
	var err error
	d.loop, err = edge.New("", func(n core.Net) core.Core {
		d.front = front.New(s, policy.New(&s.Site, 1, edge.Now()), n, zap.NewNop(), edge.Now())
		return d.front
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.loop.Stop(false) })
	d.life = life.New(life.Terms{Drain: core.Second, Finish: 4 * core.Second}, edge.Now())
	d.loop.Do(func() {
		for p := life.Settings; p <= life.Module; p++ {
			d.life.Has(p)
		}
		d.front.Live(d.life, d)
	})
	d.loop.Do(func() {}) // its turn has ended
	if d.err != nil {
		t.Fatal(d.err)
	}
	return d
}

// options asks for OPTIONS on a connection of its own.
func requestOptions(addr string) error {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n"); err != nil {
		return err
	}
	b := make([]byte, 512)
	n, err := c.Read(b)
	if err == nil && !strings.HasPrefix(string(b[:n]), "RTSP/1.0 200") {
		err = errors.New(string(b[:n]))
	}
	return err
}

// Over a takeover every connection is answered; the one that handed over ends by itself; once the other stops
// too, nobody is let in to wait for nobody.
func TestTakeover(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "c")
	status := func(d **process) func() edge.Status {
		return func() edge.Status { return edge.Status{Name: "f", PID: os.Getpid(), Address: (*d).loop.Addr()} }
	}
	var old, heir *process
	old = newProcess(t, func(d *process) error {
		if err := d.loop.Listen("127.0.0.1:0", nil); err != nil {
			return err
		}
		_, err := edge.NewControl(socket, d.loop, d.front, status(&old))
		return err
	})
	addr := old.loop.Addr()
	if s, err := edge.Ask(socket); err != nil || s.Address != addr || !edge.Running(socket) {
		t.Fatal(s, err)
	}
	stop, failed := make(chan struct{}), make(chan error, 1)
	asked := 0
	go func() {
		var err error
		for ; err == nil; asked++ {
			select {
			case <-stop:
				failed <- nil
				return
			default:
				err = requestOptions(addr)
			}
		}
		failed <- err
	}()
	held := make(chan struct{}, 1000)
	heir = newProcess(t, func(d *process) error {
		h, err := edge.TakeOver(socket)
		if err != nil {
			return err
		}
		d.loop.Accept(h.Listeners[0], nil)
		return h.Serving(func(map[life.Seat]int) { held <- struct{}{} })
	})
	<-old.acceptStopped
	for range 50 {
		if err := requestOptions(addr); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	if err := <-failed; err != nil || asked == 0 {
		t.Fatalf("after %d: %v", asked, err)
	}
	for range 500 {
		if old.ended.Load() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !old.ended.Load() || len(held) == 0 {
		t.Error("the one that handed over has not ended, or told no seats")
	}
	heir.loop.Do(heir.life.Stop)
	<-heir.acceptStopped
	if err := requestOptions(addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("after both: %v", err)
	}
	if _, err := edge.TakeOver(filepath.Join(t.TempDir(), "nobody")); err == nil {
		t.Error("took over from nobody")
	}
}

// With no descriptor left a connection is closed at once and not left waiting; with some again it is answered.
func TestNoDescriptors(t *testing.T) {
	d := newProcess(t, func(d *process) error { return d.loop.Listen("127.0.0.1:0", nil) })
	addr := d.loop.Addr()
	if err := requestOptions(addr); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr) // one whose descriptor is there already
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	highest := 0
	for _, e := range all {
		n := 0
		for _, x := range e.Name() {
			n = 10*n + int(x-'0')
		}
		highest = max(highest, n)
	}
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Skip(err)
	}
	var taken []*os.File
	defer func() {
		for _, f := range taken {
			_ = f.Close()
		}
	}()
	low := old
	low.Cur = uint64(highest + 20)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Skip(err)
	}
	defer func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old) }()
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		taken = append(taken, f)
	}
	_ = taken[len(taken)-1].Close() // one, for the connection's own end
	taken = taken[:len(taken)-1]
	if err := requestOptions(addr); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with no descriptor left: %v", err)
	}
	if d.loop.Starved() == 0 {
		t.Error("not counted")
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := requestOptions(addr); err != nil {
		t.Errorf("with descriptors again: %v", err)
	}
}
