package edge_test

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
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

// process is a session manager within the test process: a front with its lifecycle and the steps that it carries out.
type process struct {
	loop          *edge.Loop
	front         *front.Front
	life          *life.Lifecycle
	listen        func(*process) error
	err           error
	ended         atomic.Bool
	acceptStopped chan struct{}
}

func (p *process) Listen()                 { p.err = p.listen(p) }
func (p *process) StateChanged(life.State) {}
func (p *process) Exit()                   { p.ended.Store(true) }
func (p *process) StopAccepting() {
	go func() { p.loop.StopAccepting(); p.loop.Post(p.life.AcceptStopped); close(p.acceptStopped) }()
}

func newProcess(t *testing.T, listen func(*process) error) *process {
	t.Helper()
	service := &front.Config{Name: "f", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"), SessionTimeout: 20 * core.Second,
		Plans:  []front.PlanProfile{{Name: "live", Abandon: 4 * core.Second, Tracks: []front.Track{{Media: "video", Encoding: "H264/90000", Payload: 96}}}},
		Bounds: front.Bounds{Connections: 5000, Playbacks: 1000, Pipelined: 8, PlayerBytes: 64 << 10},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{StartupTarget: core.Second, Revenue: 1, RateFactor: 1}},
			Ladder: session.Ladder{RateKB: []float64{100}, RevenueShare: []float64{1}, Join: 1},
			Fleet:  session.Fleet{Cells: 1, Racks: 1, TotalLinkKB: 1e6, UplinkKB: 1e6, KBPerWeight: 1e6, MaxStreams: []float64{100}, NoteDelay: 1e6},
			Terms:  session.Terms{ColdShare: 1, WarmUp: 1000, ColdMultiple: 4, ColdSpan: 1e6, MaxTries: 3}}}
	p := &process{listen: listen, acceptStopped: make(chan struct{})}
	var err error
	p.loop, err = edge.New("", func(n core.Net) core.Core {
		p.front = front.New(service, policy.New(&service.Site, 1, edge.Now()), n, zap.NewNop(), edge.Now())
		return p.front
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.loop.Stop(false) })
	p.life = life.New(life.Timeouts{Drain: core.Second, MaxAbandonTime: 4 * core.Second}, edge.Now())
	p.loop.Do(func() {
		for prerequisite := life.SettingsLoaded; prerequisite <= life.PolicyLoaded; prerequisite++ {
			p.life.Satisfy(prerequisite)
		}
		p.front.AttachLifecycle(p.life, p)
	})
	p.loop.Do(func() {}) // waits until the turn of the call above has ended
	if p.err != nil {
		t.Fatal(p.err)
	}
	return p
}

// requestOptions sends OPTIONS on a new connection and checks the answer.
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

// During a takeover no connection may be lost between the two processes: every one has to be answered, the process that
// handed over has to end by itself, and once the other one has stopped too, connections have to be refused and not left
// in a listen queue from which nobody accepts.
func TestTakeover(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "c")
	status := func(p **process) func() edge.Status {
		return func() edge.Status { return edge.Status{Name: "f", PID: os.Getpid(), Address: (*p).loop.Addr()} }
	}
	var old, successor *process
	old = newProcess(t, func(p *process) error {
		if err := p.loop.Listen("127.0.0.1:0", nil); err != nil {
			return err
		}
		_, err := edge.NewControl(socket, p.loop, p.front, status(&old))
		return err
	})
	addr := old.loop.Addr()
	if s, err := edge.QueryStatus(socket); err != nil || s.Address != addr || !edge.Running(socket) {
		t.Fatal(s, err)
	}
	stop, failed := make(chan struct{}), make(chan error, 1)
	requests := 0
	go func() {
		var err error
		for ; err == nil; requests++ {
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
	seatReports := make(chan struct{}, 1000)
	successor = newProcess(t, func(p *process) error {
		handover, err := edge.TakeOver(socket)
		if err != nil {
			return err
		}
		p.loop.Accept(handover.Listeners[0], nil)
		return handover.ConfirmServing(func(map[life.Seat]int) { seatReports <- struct{}{} })
	})
	<-old.acceptStopped
	for range 50 {
		if err := requestOptions(addr); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	if err := <-failed; err != nil || requests == 0 {
		t.Fatalf("after %d requests: %v", requests, err)
	}
	for range 500 {
		if old.ended.Load() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !old.ended.Load() || len(seatReports) == 0 {
		t.Error("the process that handed over has not ended, or reported no seats")
	}
	successor.loop.Do(successor.life.Stop)
	<-successor.acceptStopped
	if err := requestOptions(addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connection after both processes stopped: %v", err)
	}
	if _, err := edge.TakeOver(filepath.Join(t.TempDir(), "absent")); err == nil {
		t.Error("takeover succeeded without a process to take over from")
	}
}

// Without a free file descriptor a new connection has to be closed at once, or the client would wait until its timeout;
// with descriptors available again connections have to be answered.
func TestNoDescriptors(t *testing.T) {
	p := newProcess(t, func(p *process) error { return p.loop.Listen("127.0.0.1:0", nil) })
	addr := p.loop.Addr()
	if err := requestOptions(addr); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr) // has its descriptor before they run out
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	awaitConnections(t, p, 2, 1) // the first one's descriptor must not become free once all are taken
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	highest := 0
	for _, e := range entries {
		n := 0
		for _, digit := range e.Name() {
			n = 10*n + int(digit-'0')
		}
		highest = max(highest, n)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Skip(err)
	}
	var files []*os.File
	defer func() {
		for _, file := range files {
			_ = file.Close()
		}
	}()
	lowered := limit
	lowered.Cur = uint64(highest + 20)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Skip(err)
	}
	defer func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) }()
	for {
		file, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, file)
	}
	_ = files[len(files)-1].Close() // for the client end of the connection
	files = files[:len(files)-1]
	if err := requestOptions(addr); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection with no descriptor left: %v", err)
	}
	if p.loop.DescriptorRejects() == 0 {
		t.Error("the closed connection was not counted")
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := requestOptions(addr); err != nil {
		t.Errorf("connection with descriptors available again: %v", err)
	}
}

// awaitConnections waits until the front has accepted so many connections and so many of them are open.
func awaitConnections(t *testing.T, p *process, wantAccepted, wantOpen int64) {
	t.Helper()
	accepted, open := int64(0), int64(0)
	for end := time.Now().Add(10 * time.Second); accepted != wantAccepted || open != wantOpen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the front has accepted %d connections, and %d are open, want %d and %d", accepted, open, wantAccepted, wantOpen)
		}
		p.loop.Do(func() { accepted, open = int64(p.front.Figures.Accepted), int64(p.front.Figures.Connections) })
	}
}

// Guards against a stop that never ends: the poller clears its engine's stop when it starts, if that comes later. With one
// processor the stop of a new loop comes first.
func TestStopRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		stopped := make(chan error, 1)
		go func() {
			loop, err := edge.New("", func(core.Net) core.Core { return &dialCore{} })
			if err == nil {
				loop.Stop(true)
			}
			stopped <- err
		}()
		select {
		case err := <-stopped:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the loop has not stopped")
		}
	}
}
