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

// Bench compares the resource use of the session manager with that of a plain relay. Both run as separate
// processes over the same loopback interface in one run, so that their ratios are meaningful even where the
// absolute figures depend on the machine.
type Bench struct {
	Pierlink, Pierlab string        // paths of the two executables
	Concurrent        int           // concurrent playbacks in the steady state
	RateKB            float64       // stream rate in kB/s
	SteadyTime        time.Duration // length of each steady-state measurement
	Setups            int           // playbacks in the setup measurement
	FirstPackets      int           // playbacks timed to their first packet, per path
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

// child is a child process under measurement.
type child struct {
	cmd     *exec.Cmd
	addr    string
	tlsAddr string // address of the TLS listener
}

// launch starts a program and waits for a line with the marker on its standard error. The address is the word
// that follows the marker there.
func launch(marker string, name string, args ...string) (*child, error) {
	p := &child{cmd: exec.Command(name, args...)}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(out)
	lastLine := ""
	for scanner.Scan() {
		lastLine = scanner.Text()
		if _, rest, ok := strings.Cut(scanner.Text(), marker); ok {
			end := func(char rune) bool { return char == '"' || char == ' ' || char == ',' }
			p.addr = strings.FieldsFunc(rest, end)[0]
			if _, rest, ok := strings.Cut(rest, `"secure":"`); ok && rest[0] != '"' {
				p.tlsAddr = strings.FieldsFunc(rest, end)[0]
			}
			go func() {
				for scanner.Scan() {
				}
			}()
			return p, nil
		}
	}
	_ = p.cmd.Wait()
	return nil, fmt.Errorf("%s did not start: %s", name, lastLine)
}

func (p *child) stop() {
	_ = p.cmd.Process.Signal(os.Interrupt)
	_ = p.cmd.Wait()
}

// cpuTime returns the CPU seconds that the process has used.
func (p *child) cpuTime() float64 { return cpuSeconds(p.cmd.Process.Pid) }

// cpuSeconds returns the user and system CPU time of a process from /proc, which counts 100 ticks per second.
func cpuSeconds(pid int) float64 {
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	userTicks, _ := strconv.ParseFloat(fields[11], 64)
	systemTicks, _ := strconv.ParseFloat(fields[12], 64)
	return (userTicks + systemTicks) / 100
}

// residentKB returns the resident set size of the process in kilobytes.
func (p *child) residentKB() float64 {
	status, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	residentKB, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return residentKB
}

// Run takes all measurements except the registry's and returns one line of text per figure.
func (b *Bench) Run() (lines []string, err error) {
	addLine := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	var box *mediabox.Box
	boxLoop, err := edge.New("127.0.0.1:0", func(network core.Net) core.Core {
		box = mediabox.New(mediabox.Config{Name: "box", Plans: []mediabox.Plan{{Name: "bench", RateFactor: 1, Tracks: []string{"video"}}},
			LadderKB: []float64{b.RateKB}, Join: 1, LinkKB: 1e9, Rack: &mediabox.Rack{UplinkKB: 1e9}, MaxSessions: 100000,
			SendInterval: 50_000, PacketBytes: 1200, LoadInAnswers: true, SessionTimeout: 60 * core.Second}, network, edge.Now())
		return box
	})
	if err != nil {
		return nil, err
	}
	defer boxLoop.Stop(false)
	tempDir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(tempDir)
	settingsPath := filepath.Join(tempDir, "pierlink.toml")
	ca, err := authority.New()
	if err != nil {
		return nil, err
	}
	keyPair, err := ca.IssueKeyPair()
	if err == nil {
		err = authority.WriteKeyPair(keyPair, filepath.Join(tempDir, "cert"), filepath.Join(tempDir, "key"))
	}
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(settingsPath, fmt.Appendf(nil, benchSettings+benchTLS, b.RateKB), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(tempDir, "servers.toml"), fmt.Appendf(nil, benchServers, boxLoop.Addr()), 0o600); err != nil {
		return nil, err
	}
	relay, err := launch("relays on ", b.Pierlab, "relay", "--to", boxLoop.Addr())
	if err != nil {
		return nil, err
	}
	defer relay.stop()
	front, err := launch(`"address":"`, b.Pierlink, "serve", "-c", settingsPath)
	if err != nil {
		return nil, err
	}
	defer front.stop()
	var players *player.Group
	loop, err := edge.New("", func(network core.Net) core.Core {
		players = player.New(network, edge.Now())
		return players
	})
	if err != nil {
		return nil, err
	}
	defer loop.Stop(false)
	loop.SetClientTLS(&tls.Config{RootCAs: ca.Pool()})
	run := &benchRun{Bench: b, players: players, loop: loop}

	idle := run.idleConnKB(front, 10000, nil)
	addLine("memory per idle connection, 10,000 of them: %.1f kB", idle)
	addLine("under TLS, 4,000 of them: %.1f kB", run.idleConnKB(front, 4000, &tls.Config{RootCAs: ca.Pool()}))
	// relay and session manager alternate, so that other load on the machine affects both
	var bytesPerCPU [2][]float64
	for range 3 {
		for i, proc := range []*child{relay, front} {
			bytesPerCPU[i] = append(bytesPerCPU[i], run.bytesPerCPUSecond(proc))
		}
	}
	slices.Sort(bytesPerCPU[0])
	slices.Sort(bytesPerCPU[1])
	addLine("relayed at %d concurrent playbacks: bare relay %.0f MB a CPU second, session manager %.0f", b.Concurrent,
		bytesPerCPU[0][1]/1e6, bytesPerCPU[1][1]/1e6)
	addLine("ratio %.2f (aim 0.7)", bytesPerCPU[1][1]/bytesPerCPU[0][1])
	addLine("memory per playback: %.1f kB", run.playbackKB)
	var tlsBytesPerCPU []float64
	for range 3 {
		run.useTLS = true
		tlsBytesPerCPU = append(tlsBytesPerCPU, run.bytesPerCPUSecond(front))
		run.useTLS = false
		run.bytesPerCPUSecond(relay) // alternates with the relay, as above
	}
	slices.Sort(tlsBytesPerCPU)
	addLine("under TLS: %.0f MB a CPU second, ratio to the clear %.2f", tlsBytesPerCPU[1]/1e6, tlsBytesPerCPU[1]/bytesPerCPU[1][1])
	setups, cpu := run.measureSetups(front)
	addLine("set-ups: %.0f a CPU second of the session manager (%d set up, played and torn down)", float64(setups)/cpu, setups)
	boxLoop.Do(func() { box.SetupTime = [2]core.Time{20_000, 20_000} })
	direct, via := run.timeFirstPackets(boxLoop.Addr(), front.addr)
	for _, percentile := range []float64{50, 99} {
		directTime, viaTime := direct.ValueAtQuantile(percentile), via.ValueAtQuantile(percentile)
		addLine("time to first packet, %g%%: straight to a box that takes 20 ms %.1f ms, by the session manager %.1f ms: %.0f%% more", percentile,
			float64(directTime)/1e3, float64(viaTime)/1e3, 100*(float64(viaTime)/float64(directTime)-1))
	}
	return lines, nil
}

// MeasureRegistry measures what following a registry costs the daemon: its memory with each of the given numbers of
// boxes, and the CPU time per change at the given rate of changes. Each number of boxes is measured in a
// new process.
func (b *Bench) MeasureRegistry(boxCounts []int, changesPerSec int) (lines []string, err error) {
	var memory, cpu []float64
	for _, boxCount := range boxCounts {
		boxMemory, boxCPU, err := b.measureRegistry(boxCount, changesPerSec)
		if err != nil {
			return lines, err
		}
		memory, cpu = append(memory, boxMemory), append(cpu, boxCPU)
		lines = append(lines, fmt.Sprintf("%d boxes: %.1f MB, %.0f us of CPU for a change at %d a second", boxCount, boxMemory/1000, boxCPU, changesPerSec))
	}
	if last := len(boxCounts) - 1; last > 0 {
		lines = append(lines, fmt.Sprintf("from %d to %d boxes: memory %.2f times, %.2f kB a box; CPU for a change %.2f times", boxCounts[0],
			boxCounts[last], memory[last]/memory[0], (memory[last]-memory[0])/float64(boxCounts[last]-boxCounts[0]), cpu[last]/cpu[0]))
	}
	return lines, nil
}

// measureRegistry returns resident memory in kilobytes and CPU microseconds per change with the given number of boxes.
func (b *Bench) measureRegistry(boxCount, changesPerSec int) (memory, cpu float64, err error) {
	store := standin.NewStore(1, "bench", registry.HistoryKey)
	server, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		return 0, 0, err
	}
	defer server.Stop()
	record := registry.Box{Address: "127.0.0.1:9", Zone: "z", Kind: "std", Weight: 1, State: "ready"}
	boxKey := func(i int) string { return registry.BoxesPrefix + "box-" + strconv.Itoa(i) }
	records := map[string][]byte{}
	for i := range boxCount {
		records[boxKey(i)] = record.Encode()
	}
	store.Put(records)
	tempDir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(tempDir)
	settings := strings.Replace(fmt.Sprintf(benchSettings, b.RateKB), `servers = "servers.toml"`, "", 1) +
		fmt.Sprintf("[registry]\nendpoints = [%q]\ntimeout = \"1s\"\ngrace = \"1s\"\n", server.Addr())
	settingsPath := filepath.Join(tempDir, "pierlink.toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		return 0, 0, err
	}
	front, err := launch(`"address":"`, b.Pierlink, "serve", "-c", settingsPath)
	if err != nil {
		return 0, 0, err
	}
	defer front.stop()
	time.Sleep(2 * time.Second)
	cpuBefore := front.cpuTime()
	changes := int(b.SteadyTime.Seconds() * float64(changesPerSec))
	tick := time.NewTicker(time.Second / time.Duration(changesPerSec))
	defer tick.Stop()
	for i := range changes {
		<-tick.C
		record.Weight = 1 + float64(i%2)
		store.Put(map[string][]byte{boxKey(i * 7919 % boxCount): record.Encode()})
	}
	time.Sleep(200 * time.Millisecond)
	return front.residentKB(), 1e6 * (front.cpuTime() - cpuBefore) / float64(changes), nil
}

// benchRun is the state of one Run: its players and what they share.
type benchRun struct {
	*Bench
	players       *player.Group
	loop          *edge.Loop
	playbackKB    float64 // memory per playback, from the first steady-state measurement
	playbackCount int     // playbacks created, for their IDs
	useTLS        bool    // players connect over TLS
}

// totals returns the bytes received and the numbers of playing and of open playbacks, over all players.
func (x *benchRun) totals() (bytes int64, playing, open int) {
	x.loop.Do(func() { bytes, playing, open = x.players.Bytes, x.players.Playing, x.players.Open() })
	return
}

// waitUntil polls the totals until the condition holds, for 30 s at most.
func (x *benchRun) waitUntil(done func(playing, open int) bool) {
	for range 600 {
		if _, playing, open := x.totals(); done(playing, open) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (x *benchRun) profile(addr string, watchTime time.Duration) *player.Profile {
	x.playbackCount++
	return &player.Profile{ID: "b" + strconv.Itoa(x.playbackCount), Fronts: []string{addr}, Plan: "bench", Title: "t" + strconv.Itoa(x.playbackCount), Tracks: 1,
		WatchTime: watchTime.Microseconds(), AbandonTime: 10 * core.Second}
}

func (x *benchRun) profileFor(proc *child, watchTime time.Duration) *player.Profile {
	profile := x.profile(proc.addr, watchTime)
	if x.useTLS {
		profile.Secure, profile.Fronts = true, []string{proc.tlsAddr}
	}
	return profile
}

// bytesPerCPUSecond returns the bytes that a program relays per CPU second in the steady state.
func (x *benchRun) bytesPerCPUSecond(proc *child) float64 {
	residentBefore := proc.residentKB()
	x.loop.Do(func() {
		x.players.Report = nil
		for range x.Concurrent {
			x.players.Start(x.profileFor(proc, x.SteadyTime+4*time.Second))
		}
	})
	x.waitUntil(func(plays, _ int) bool { return plays >= x.Concurrent })
	time.Sleep(300 * time.Millisecond)
	bytesBefore, _, _ := x.totals()
	cpuBefore := proc.cpuTime()
	time.Sleep(x.SteadyTime)
	bytesAfter, _, _ := x.totals()
	cpuAfter := proc.cpuTime()
	if x.playbackKB == 0 {
		x.playbackKB = (proc.residentKB() - residentBefore) / float64(x.Concurrent)
	}
	x.waitUntil(func(_, open int) bool { return open == 0 })
	return float64(bytesAfter-bytesBefore) / max(cpuAfter-cpuBefore, 0.01)
}

// measureSetups runs x.Setups short playbacks with 100 in progress at a time. It returns how many of them
// completed and the CPU seconds that the program used.
func (x *benchRun) measureSetups(proc *child) (n int, cpu float64) {
	startedCount, doneCount := 0, 0
	finished := make(chan struct{})
	cpuBefore := proc.cpuTime()
	x.loop.Do(func() {
		x.players.Report = func(_ *player.Profile, result *player.Result) {
			if result.State == player.Done {
				n++
			}
			if doneCount++; doneCount == x.Setups {
				close(finished)
			}
			if startedCount < x.Setups {
				startedCount++
				x.players.Start(x.profile(proc.addr, time.Millisecond))
			}
		}
		for range 100 {
			startedCount++
			x.players.Start(x.profile(proc.addr, time.Millisecond))
		}
	})
	<-finished
	return n, max(proc.cpuTime()-cpuBefore, 0.01)
}

// timeFirstPackets measures the time to the first packet directly from the box and through the session
// manager, alternating between them. The histograms are in microseconds.
func (x *benchRun) timeFirstPackets(box, front string) (direct, via *hdrhistogram.Histogram) {
	histograms := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)}
	for range x.FirstPackets {
		for i, addr := range []string{box, front} {
			startup := make(chan core.Time, 1)
			x.loop.Do(func() {
				x.players.Report = func(_ *player.Profile, result *player.Result) { startup <- result.StartupTime }
				x.players.Start(x.profile(addr, 100*time.Millisecond))
			})
			_ = histograms[i].RecordValue(<-startup)
		}
	}
	return histograms[0], histograms[1]
}

// idleConnKB returns the resident kilobytes that a program uses per idle connection.
func (x *benchRun) idleConnKB(proc *child, count int, clientTLS *tls.Config) float64 {
	residentBefore := proc.residentKB()
	dialer := &idleDialer{addr: proc.addr, secure: clientTLS != nil}
	if dialer.secure {
		dialer.addr = proc.tlsAddr
	}
	loop, err := edge.New("", func(net core.Net) core.Core { dialer.net = net; return dialer })
	if err != nil {
		return 0
	}
	loop.SetClientTLS(clientTLS)
	loop.Do(func() { dialer.toDial = count })
	time.Sleep(4 * time.Second)
	residentAfter := proc.residentKB()
	loop.Stop(false)
	time.Sleep(300 * time.Millisecond)
	return (residentAfter - residentBefore) / float64(count)
}

// idleDialer is a core that opens connections and leaves them idle.
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
