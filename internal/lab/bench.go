package lab

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/registry"
	"pierlink/internal/standin/authority"
	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
	standin "pierlink/internal/standin/registry"
)

// Bench measures the session manager's process beside a bare relay's, both as programs of their own on the
// same loopback, in one run. What counts is the ratios.
type Bench struct {
	Pierlink, Pierlab string // the programs
	Concurrent        int    // playbacks
	RateKB            float64
	Span              time.Duration // of the steady part
	Setups            int
	Firsts            int // playbacks timed to their first packet, each way
}

const benchSettings = `
listen = "127.0.0.1:0"
name = "bench"
front = 0
fronts = 1
zone = "z"
zones = ["z"]
servers = "servers.toml"
session_timeout = "60s"
[bounds]
connections = 20000
playbacks = 10000
pipelined = 16
player_bytes = 262144
[ladder]
rates_kb = [%[1]g]
worth = [1]
join = 1
[[plan]]
name = "bench"
repeat = "harmless"
startup = "4s"
abandon = "10s"
revenue = 1
rate_factor = 1
[[plan.track]]
media = "video"
encoding = "H264/90000"
payload = 96
[fleet]
cells = 1
racks = 1
links_kb = 1e9
uplink_kb = 1e9
kb_per_weight = 1e9
note_delay = "400ms"
load = "answers"
[[fleet.kind]]
name = "std"
places = 100000
[terms]
cold_from = 1
warm_up = "1ms"
fall_multiple = 4
fall_span = "1s"
max_tries = 4
probes = true
`

const benchTLS = `
[tls]
listen = "127.0.0.1:0"
cert = "cert"
key = "key"
`

const benchServers = `
[[server]]
name = "box"
address = "%s"
zone = "z"
kind = "std"
cell = 0
weight = 1
`

// child is a program under measurement.
type child struct {
	cmd     *exec.Cmd
	addr    string
	tlsAddr string // the door under TLS
}

// launch starts a program and reads the address that it tells on standard error, after the word given.
func launch(mark string, name string, args ...string) (*child, error) {
	c := &child{cmd: exec.Command(name, args...)}
	out, err := c.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	r := bufio.NewScanner(out)
	said := ""
	for r.Scan() {
		said = r.Text()
		if _, rest, ok := strings.Cut(r.Text(), mark); ok {
			end := func(x rune) bool { return x == '"' || x == ' ' || x == ',' }
			c.addr = strings.FieldsFunc(rest, end)[0]
			if _, rest, ok := strings.Cut(rest, `"secure":"`); ok && rest[0] != '"' {
				c.tlsAddr = strings.FieldsFunc(rest, end)[0]
			}
			go func() {
				for r.Scan() {
				}
			}()
			return c, nil
		}
	}
	_ = c.cmd.Wait()
	return nil, fmt.Errorf("%s did not start: %s", name, said)
}

func (c *child) stop() {
	_ = c.cmd.Process.Signal(os.Interrupt)
	_ = c.cmd.Wait()
}

// cpu is the seconds that the process has spent, from /proc (100 ticks a second).
func (c *child) cpuTime() float64 { return cpuSeconds(c.cmd.Process.Pid) }

func cpuSeconds(pid int) float64 {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / 100
}

// memory is the process's resident kilobytes.
func (c *child) residentKB() float64 {
	b, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(c.cmd.Process.Pid), "status"))
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return n
}

// Run measures. Each line is a figure with its name.
func (b *Bench) Run() (lines []string, err error) {
	say := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	var box *mediabox.Box
	boxLoop, err := edge.New("127.0.0.1:0", func(n core.Net) core.Core {
		box = mediabox.New(mediabox.Config{Name: "box", Plans: []mediabox.Plan{{Name: "bench", RateFactor: 1, Tracks: []string{"video"}}},
			LadderKB: []float64{b.RateKB}, Join: 1, LinkKB: 1e9, Rack: &mediabox.Rack{UplinkKB: 1e9}, MaxSessions: 100000,
			SendInterval: 50_000, PacketBytes: 1200, LoadInAnswers: true, SessionTimeout: 60 * core.Second}, n, edge.Now())
		return box
	})
	if err != nil {
		return nil, err
	}
	defer boxLoop.Stop(false)
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "pierlink.toml")
	trusted, err := authority.New()
	if err != nil {
		return nil, err
	}
	pair, err := trusted.IssueKeyPair()
	if err == nil {
		err = authority.WriteKeyPair(pair, filepath.Join(dir, "cert"), filepath.Join(dir, "key"))
	}
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, fmt.Appendf(nil, benchSettings+benchTLS, b.RateKB), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "servers.toml"), fmt.Appendf(nil, benchServers, boxLoop.Addr()), 0o600); err != nil {
		return nil, err
	}
	relay, err := launch("relays on ", b.Pierlab, "relay", "--to", boxLoop.Addr())
	if err != nil {
		return nil, err
	}
	defer relay.stop()
	front, err := launch(`"address":"`, b.Pierlink, "serve", "-c", file)
	if err != nil {
		return nil, err
	}
	defer front.stop()
	var crowd *player.Group
	loop, err := edge.New("", func(n core.Net) core.Core {
		crowd = player.New(n, edge.Now())
		return crowd
	})
	if err != nil {
		return nil, err
	}
	defer loop.Stop(false)
	loop.SetClientTLS(&tls.Config{RootCAs: trusted.Pool()})
	x := &benchRun{Bench: b, players: crowd, loop: loop}

	idle := x.idleConnKB(front, 10000, nil)
	say("memory per idle connection, 10,000 of them: %.1f kB", idle)
	say("under TLS, 4,000 of them: %.1f kB", x.idleConnKB(front, 4000, &tls.Config{RootCAs: trusted.Pool()}))
	// relay and session manager by turns, so that what else the machine does falls on both
	var per [2][]float64
	for range 3 {
		for i, c := range []*child{relay, front} {
			per[i] = append(per[i], x.bytesPerCPUSecond(c))
		}
	}
	slices.Sort(per[0])
	slices.Sort(per[1])
	say("relayed at %d concurrent playbacks: bare relay %.0f MB a CPU second, session manager %.0f", b.Concurrent,
		per[0][1]/1e6, per[1][1]/1e6)
	say("ratio %.2f (aim 0.7)", per[1][1]/per[0][1])
	say("memory per playback: %.1f kB", x.playbackKB)
	var secure []float64
	for range 3 {
		x.useTLS = true
		secure = append(secure, x.bytesPerCPUSecond(front))
		x.useTLS = false
		x.bytesPerCPUSecond(relay) // both by turns, as above
	}
	slices.Sort(secure)
	say("under TLS: %.0f MB a CPU second, ratio to the clear %.2f", secure[1]/1e6, secure[1]/per[1][1])
	n, cpu := x.measureSetups(front)
	say("set-ups: %.0f a CPU second of the session manager (%d set up, played and torn down)", float64(n)/cpu, n)
	boxLoop.Do(func() { box.SetupTime = [2]core.Time{20_000, 20_000} })
	direct, via := x.timeFirstPackets(boxLoop.Addr(), front.addr)
	for _, q := range []float64{50, 99} {
		d, v := direct.ValueAtQuantile(q), via.ValueAtQuantile(q)
		say("time to first packet, %g%%: straight to a box that takes 20 ms %.1f ms, by the session manager %.1f ms: %.0f%% more", q,
			float64(d)/1e3, float64(v)/1e3, 100*(float64(v)/float64(d)-1))
	}
	return lines, nil
}

// Boxes measures what a list from a registry costs the daemon's process: memory with so many boxes, and CPU
// with so many changes of them a second, each number of boxes in a process of its own.
func (b *Bench) Boxes(numbers []int, perSec int) (lines []string, err error) {
	var memory, cpu []float64
	for _, n := range numbers {
		m, c, err := b.measureRegistry(n, perSec)
		if err != nil {
			return lines, err
		}
		memory, cpu = append(memory, m), append(cpu, c)
		lines = append(lines, fmt.Sprintf("%d boxes: %.1f MB, %.0f us of CPU for a change at %d a second", n, m/1000, c, perSec))
	}
	if last := len(numbers) - 1; last > 0 {
		lines = append(lines, fmt.Sprintf("from %d to %d boxes: memory %.2f times, %.2f kB a box; CPU for a change %.2f times", numbers[0],
			numbers[last], memory[last]/memory[0], (memory[last]-memory[0])/float64(numbers[last]-numbers[0]), cpu[last]/cpu[0]))
	}
	return lines, nil
}

func (b *Bench) measureRegistry(n, perSec int) (memory, cpu float64, err error) {
	store := standin.NewStore(1, "bench", registry.HistoryKey)
	server, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		return 0, 0, err
	}
	defer server.Stop()
	x := registry.Box{Address: "127.0.0.1:9", Zone: "z", Kind: "std", Weight: 1, State: "ready"}
	name := func(i int) string { return registry.BoxesPrefix + "box-" + strconv.Itoa(i) }
	all := map[string][]byte{}
	for i := range n {
		all[name(i)] = x.Encode()
	}
	store.Put(all)
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(dir)
	text := strings.Replace(fmt.Sprintf(benchSettings, b.RateKB), `servers = "servers.toml"`, "", 1) +
		fmt.Sprintf("[registry]\nendpoints = [%q]\ntimeout = \"1s\"\ngrace = \"1s\"\n", server.Addr())
	file := filepath.Join(dir, "pierlink.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return 0, 0, err
	}
	front, err := launch(`"address":"`, b.Pierlink, "serve", "-c", file)
	if err != nil {
		return 0, 0, err
	}
	defer front.stop()
	time.Sleep(2 * time.Second)
	began := front.cpuTime()
	changes := int(b.Span.Seconds() * float64(perSec))
	tick := time.NewTicker(time.Second / time.Duration(perSec))
	defer tick.Stop()
	for i := range changes {
		<-tick.C
		x.Weight = 1 + float64(i%2)
		store.Put(map[string][]byte{name(i * 7919 % n): x.Encode()})
	}
	time.Sleep(200 * time.Millisecond)
	return front.residentKB(), 1e6 * (front.cpuTime() - began) / float64(changes), nil
}

type benchRun struct {
	*Bench
	players       *player.Group
	loop          *edge.Loop
	playbackKB    float64
	playbackCount int
	useTLS        bool // players come under TLS
}

func (x *benchRun) totals() (bytes int64, plays, open int) {
	x.loop.Do(func() { bytes, plays, open = x.players.Bytes, x.players.Playing, x.players.Open() })
	return
}

func (x *benchRun) waitUntil(done func(plays, open int) bool) {
	for range 600 {
		if _, p, o := x.totals(); done(p, o) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (x *benchRun) profile(addr string, watch time.Duration) *player.Profile {
	x.playbackCount++
	return &player.Profile{ID: "b" + strconv.Itoa(x.playbackCount), Fronts: []string{addr}, Plan: "bench", Title: "t" + strconv.Itoa(x.playbackCount), Tracks: 1,
		WatchTime: watch.Microseconds(), AbandonTime: 10 * core.Second}
}

func (x *benchRun) profileFor(c *child, watch time.Duration) *player.Profile {
	w := x.profile(c.addr, watch)
	if x.useTLS {
		w.Secure, w.Fronts = true, []string{c.tlsAddr}
	}
	return w
}

// steady is the bytes relayed for each CPU second of a program.
func (x *benchRun) bytesPerCPUSecond(c *child) float64 {
	before := c.residentKB()
	x.loop.Do(func() {
		x.players.Report = nil
		for range x.Concurrent {
			x.players.Start(x.profileFor(c, x.Span+4*time.Second))
		}
	})
	x.waitUntil(func(plays, _ int) bool { return plays >= x.Concurrent })
	time.Sleep(300 * time.Millisecond)
	b0, _, _ := x.totals()
	c0 := c.cpuTime()
	time.Sleep(x.Span)
	b1, _, _ := x.totals()
	c1 := c.cpuTime()
	if x.playbackKB == 0 {
		x.playbackKB = (c.residentKB() - before) / float64(x.Concurrent)
	}
	x.waitUntil(func(_, open int) bool { return open == 0 })
	return float64(b1-b0) / max(c1-c0, 0.01)
}

// setups has short playbacks come one after the other, 100 at a time.
func (x *benchRun) measureSetups(c *child) (n int, cpu float64) {
	started, done := 0, 0
	end := make(chan struct{})
	c0 := c.cpuTime()
	x.loop.Do(func() {
		x.players.Report = func(_ *player.Profile, s *player.Result) {
			if s.State == player.Done {
				n++
			}
			if done++; done == x.Setups {
				close(end)
			}
			if started < x.Setups {
				started++
				x.players.Start(x.profile(c.addr, time.Millisecond))
			}
		}
		for range 100 {
			started++
			x.players.Start(x.profile(c.addr, time.Millisecond))
		}
	})
	<-end
	return n, max(c.cpuTime()-c0, 0.01)
}

// firsts times the first packet straight from the box and by the session manager, by turns.
func (x *benchRun) timeFirstPackets(box, front string) (direct, via *hdrhistogram.Histogram) {
	h := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)}
	for range x.Firsts {
		for i, addr := range []string{box, front} {
			done := make(chan core.Time, 1)
			x.loop.Do(func() {
				x.players.Report = func(_ *player.Profile, s *player.Result) { done <- s.StartupTime }
				x.players.Start(x.profile(addr, 100*time.Millisecond))
			})
			_ = h[i].RecordValue(<-done)
		}
	}
	return h[0], h[1]
}

// idle is the resident kilobytes that a connection on which nothing happens costs a program.
func (x *benchRun) idleConnKB(c *child, n int, trust *tls.Config) float64 {
	before := c.residentKB()
	h := &idleDialer{addr: c.addr, secure: trust != nil}
	if h.secure {
		h.addr = c.tlsAddr
	}
	loop, err := edge.New("", func(net core.Net) core.Core { h.net = net; return h })
	if err != nil {
		return 0
	}
	loop.SetClientTLS(trust)
	loop.Do(func() { h.toDial = n })
	time.Sleep(4 * time.Second)
	after := c.residentKB()
	loop.Stop(false)
	time.Sleep(300 * time.Millisecond)
	return (after - before) / float64(n)
}

// holder is a core that opens connections and does nothing.
type idleDialer struct {
	net    core.Net
	addr   string
	toDial int
	secure bool
}

func (h *idleDialer) BeginTurn(core.Time)         {}
func (h *idleDialer) Accepted(*core.Conn, string) {}
func (h *idleDialer) Dialed(*core.Conn, error)    {}
func (h *idleDialer) Received(*core.Conn, []byte) {}
func (h *idleDialer) Drained(*core.Conn)          {}
func (h *idleDialer) Closed(*core.Conn, error)    {}
func (h *idleDialer) EndTurn() core.Time {
	for ; h.toDial > 0; h.toDial-- {
		h.net.Dial(&core.Conn{Secure: h.secure}, h.addr)
	}
	return core.Never
}
