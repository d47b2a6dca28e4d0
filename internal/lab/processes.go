package lab

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pierlink/internal/edge"
	"pierlink/internal/registry"
	standin "pierlink/internal/standin/registry"
	"pierlink/session"
)

// Processes runs a day's session managers as separate processes on loopback. It acts as their supervisor: it starts,
// kills, stops, reloads, pauses and replaces them, and receives their readiness notifications. Boxes and players run
// in the lab's own process.
type Processes struct {
	Program      string // path of the pierlink executable
	dir          string // of settings, sockets and stored state
	spawner      *spawner
	day          *Day
	play         *DayRun
	env          *LoopbackEnvironment
	store        *standin.Store
	server       *standin.Server
	registryAddr string

	mu        sync.Mutex
	instances map[string]*instance
	wait      sync.WaitGroup
	Starts    []Start
	Failures  []string // unexpected ends of processes and failed operations
	boxStates map[string]session.ServerState
	processes []*spawnedProgram // all that were started
}

// Start describes the start of a process.
type Start struct {
	Name         string
	StartedAt    Time
	ReadyAt      Time // 0 if it never became ready
	RegistryDown bool
	Restart      bool // an instance of this name has run before
}

// instance is a session manager of the fleet, over the processes that run it one after the other.
type instance struct {
	name       string
	file       string // path of its settings
	addr       string
	front      *frontState
	serving    *spawnedProgram
	successor  *spawnedProgram // a process that is starting to take over from it
	downtimes  []span          // when nobody is expected to answer at its address
	pauses     []span          // by SIGSTOP
	stops      []span          // from the signal to the end of the process
	responsive bool            // it has reported READY=1, and is not paused, stopped or killed
	launches   int             // processes started so far
}

// span is a time interval. To is never while it has not ended.
type span struct{ From, To Time }

// contains reports whether a time is in the interval, extended by slack at both ends.
func (s span) contains(at, slack Time) bool { return at >= s.From-slack && at <= s.To+slack }

const processTemplate = `
listen = %[1]q
name = %[2]q
front = 0
fronts = %[3]d
zone = %[4]q
zones = [%[5]s]
session_timeout = "%[6]dus"
[bounds]
connections = 5000
playbacks = %[7]d
pipelined = 16
player_bytes = 262144
[registry]
endpoints = [%[8]q]
kept = "view"
lease = "2s"
timeout = "500ms"
grace = "%[9]dus"
[life]
drain = "%[10]dus"
control = "control"
kept = "."
[ladder]
rates_kb = [%[11]s]
worth = [%[12]s]
join = %[13]g
change = "%[14]dus"
[fleet]
cells = %[15]d
racks = %[16]d
links_kb = %[17]f
uplink_kb = %[18]f
kb_per_weight = %[19]f
full_from = %[20]f
note_delay = "%[21]dus"
note_every = "%[22]dus"
load = "answers"
[[fleet.kind]]
name = "std"
places = %[23]d
[terms]
cold_from = %[24]g
warm_up = "%[25]dus"
fall_multiple = %[26]g
fall_span = "%[27]dus"
max_tries = %[28]d
%[29]s
probes = true
%[30]s
[prices]
cross_zone = %[31]g
move = %[32]g
probe = %[33]g
over_share = %[34]g
`

func formatFloats(values []float64) string {
	var texts []string
	for _, value := range values {
		texts = append(texts, fmt.Sprintf("%g", value))
	}
	return strings.Join(texts, ", ")
}

// settingsText returns the settings file of one session manager of the day.
func (d *Day) settingsText(listen, name, zone, endpoint string, playbacks int, drain Time) string {
	var zones []string
	for i := range d.Zones {
		zones = append(zones, fmt.Sprintf("%q", fmt.Sprint("zone-", i)))
	}
	terms, fleet, prices := &d.Site.Terms, &d.Site.Fleet, &d.Site.Prices
	retryLimit, retryAdvice := "", fmt.Sprintf("max_come_again = \"%dus\"", terms.MaxRetryAfter)
	if terms.RetriesLimited {
		retryLimit = fmt.Sprintf("rationed = true\nfree_tries = %g\ntry_share = %g\ntry_span = \"%dus\"", terms.FreeRetries, terms.RetryShare, terms.RetrySpan)
	}
	if d.OmitRetryAfter {
		retryAdvice = "advice = false"
	}
	settings := fmt.Sprintf(processTemplate, listen, name, d.Managers, zone, strings.Join(zones, ", "), d.SessionTimeout, playbacks, endpoint, d.DrainGrace,
		drain, formatFloats(d.BoxConfig.LadderKB), formatFloats(d.Site.Ladder.RevenueShare), d.BoxConfig.Join, d.Site.Ladder.RungChangeCost, fleet.Cells, fleet.Racks, fleet.TotalLinkKB,
		fleet.UplinkKB, fleet.KBPerWeight, fleet.RefusalFill, fleet.NoteDelay, fleet.NoteInterval, d.BoxConfig.MaxSessions, terms.ColdShare, terms.WarmUp, terms.ColdMultiple, terms.ColdSpan,
		terms.MaxTries, retryLimit, retryAdvice, prices.CrossZone, prices.Move, prices.Probe, prices.OverQuota)
	repeats := map[session.Repeat]string{session.Harmless: "harmless", session.Keyed: "keyed", session.Unsafe: "unsafe"}
	for i, plan := range d.Plans {
		sitePlan := d.Site.Plans[i]
		settings += fmt.Sprintf("[[plan]]\nname = %q\nrepeat = %q\nstartup = \"%dus\"\nabandon = \"%dus\"\nrevenue = %g\nlive = %t\n"+
			"rate_factor = %g\nfloor = %d\ntop = %d\nseats = %d\n", plan.Name, repeats[sitePlan.Repeat], sitePlan.StartupTarget, plan.Abandon, sitePlan.Revenue, sitePlan.Live,
			sitePlan.RateFactor, sitePlan.Floor, sitePlan.Top, sitePlan.Seats)
		if sitePlan.Repeat == session.Keyed {
			settings += fmt.Sprintf("window = \"%dus\"\n", sitePlan.KeyWindow)
		}
		for _, track := range plan.Tracks {
			settings += fmt.Sprintf("[[plan.track]]\nmedia = %q\nencoding = %q\npayload = %d\n", track.Media, track.Encoding, track.Payload)
		}
	}
	return settings
}

// NewProcesses prepares a fleet and starts its registry. The managers are started by the day.
func NewProcesses(daemon string, day *Day, env *LoopbackEnvironment) (*Processes, error) {
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return nil, err
	}
	processes := &Processes{Program: daemon, dir: dir, day: day, env: env, instances: map[string]*instance{}, boxStates: map[string]session.ServerState{},
		store: standin.NewStore(7, "fleet", registry.HistoryKey)}
	if processes.spawner, err = newSpawner(); err != nil {
		return nil, err
	}
	if processes.server, err = standin.Serve("127.0.0.1:0", processes.store); err != nil {
		return nil, err
	}
	processes.registryAddr = processes.server.Addr()
	return processes, nil
}

// freePort returns an address with a free port below the ephemeral range, so that the port is still free when a
// manager restarts.
func freePort(rng *rand.Rand) (string, error) {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rng.IntN(18000))
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port was found")
}

// start starts a session manager's process, for the first time or again.
func (x *Processes) start(manager *frontState) {
	x.mu.Lock()
	inst := x.instances[manager.name]
	again := inst != nil
	if inst == nil {
		dir := filepath.Join(x.dir, manager.name)
		addr, err := freePort(x.play.rng)
		inst = &instance{name: manager.name, file: filepath.Join(dir, "pierlink.toml"), addr: addr, front: manager}
		settings := x.day.settingsText(addr, manager.name, manager.zone, x.registryAddr, 2000, x.day.DrainTimeout)
		if err := errors.Join(err, os.MkdirAll(dir, 0o700), os.WriteFile(inst.file, []byte(settings), 0o600)); err != nil {
			x.Failures = append(x.Failures, err.Error())
		}
		x.instances[manager.name] = inst
		x.env.host(manager.name).addr = addr
		x.env.hostNames[addr] = manager.name
		inst.downtimes = append(inst.downtimes, span{x.env.Now(), farFuture})
	} else {
		x.play.recording.RecordStart(x.env.Now(), manager.name, 0)
	}
	x.mu.Unlock()
	x.launch(inst, again)
	manager.up = true
}

// launch starts a process for an instance, and watches for its readiness and its end.
func (x *Processes) launch(inst *instance, again bool, args ...string) *spawnedProgram {
	now := x.env.Now()
	x.mu.Lock()
	inst.launches++
	socket := filepath.Join(x.dir, fmt.Sprintf("%s.%d", inst.name, inst.launches))
	x.mu.Unlock()
	notify, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: socket, Net: "unixgram"})
	if err != nil {
		x.recordFailure("%s: %v", inst.name, err)
		return nil
	}
	process, err := x.spawner.start(now, []string{"NOTIFY_SOCKET=" + socket, "GOMAXPROCS=2"}, x.Program, append([]string{"serve", "-c", inst.file}, args...)...)
	if err != nil {
		_ = notify.Close()
		x.recordFailure("%s: %v", inst.name, err)
		return nil
	}
	takesOver := len(args) > 0
	x.mu.Lock()
	x.processes = append(x.processes, process)
	if takesOver {
		inst.successor = process
	}
	x.mu.Unlock()
	registryDown := x.server == nil
	if !takesOver {
		x.mu.Lock()
		inst.serving = process
		x.mu.Unlock()
	}
	x.wait.Add(2)
	go func() {
		defer x.wait.Done()
		defer notify.Close()
		message := make([]byte, 4096)
		for {
			length, err := notify.Read(message)
			if err != nil {
				return
			}
			if !bytes.Contains(message[:length], []byte("READY=1")) {
				continue
			}
			readyAt := x.env.Now()
			x.mu.Lock()
			select {
			case <-process.ready: // reported again after a reload
			default:
				close(process.ready)
				x.Starts = append(x.Starts, Start{Name: inst.name, StartedAt: process.startedAt, ReadyAt: readyAt, RegistryDown: registryDown, Restart: again})
				if takesOver {
					inst.serving, inst.successor = process, nil
				} else if count := len(inst.downtimes); count > 0 && inst.downtimes[count-1].To == farFuture {
					inst.downtimes[count-1].To = readyAt
				}
				inst.responsive = true
				x.recordAllStates(inst, readyAt)
			}
			x.mu.Unlock()
		}
	}()
	go func() {
		defer x.wait.Done()
		<-process.ended
		x.mu.Lock()
		stopRequested := process.stopRequested
		x.mu.Unlock()
		if !stopRequested {
			x.recordFailure("%s ended: %s", inst.name, process.status)
		}
		_ = notify.Close()
	}()
	return process
}

// recordFailure adds a line to Failures.
func (x *Processes) recordFailure(format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Failures = append(x.Failures, fmt.Sprintf(format, a...))
}

// recordAllStates records on the tape that an instance knows the current states of all boxes.
func (x *Processes) recordAllStates(inst *instance, at Time) {
	for _, name := range sortedKeys(x.boxStates) {
		x.play.recording.RecordState(at, inst.name, name, x.boxStates[name], 0)
	}
}

// Stores the current state of a box in the registry. On the tape, all running managers know it from now on: the
// registry's delivery time counts as theirs.
func (x *Processes) putBox(box *boxState) {
	key := registry.BoxesPrefix + box.name
	if box.state == session.Gone {
		x.store.Put(map[string][]byte{key: nil})
	} else {
		record := registry.Box{Address: x.env.Addr(box.name), Zone: box.zone, Cell: box.cell, Kind: "std", Weight: 1, State: "ready"}
		if box.state == session.Draining {
			record.State = "draining"
		}
		if box.started != 0 {
			record.Started = fromMicros(box.started)
		}
		x.store.Put(map[string][]byte{key: record.Encode()})
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.boxStates[box.name] = box.state
	now := x.env.Now()
	for _, name := range sortedKeys(x.instances) {
		if inst := x.instances[name]; inst.responsive {
			x.play.recording.RecordState(now, name, box.name, box.state, box.started)
		}
	}
}

// kill ends an instance's processes by SIGKILL.
func (x *Processes) kill(manager *frontState) {
	x.mu.Lock()
	inst := x.instances[manager.name]
	process := inst.serving
	now := x.env.Now()
	inst.downtimes = append(inst.downtimes, span{now, farFuture})
	inst.responsive = false
	process.stopRequested = true
	successor := inst.successor
	if inst.successor = nil; successor != nil {
		successor.stopRequested = true
	}
	x.mu.Unlock()
	x.play.recording.RecordKill(now, manager.name)
	process.signal(syscall.SIGKILL)
	if successor != nil {
		successor.signal(syscall.SIGKILL)
	}
}

// Pauses a process by SIGSTOP for a time. It learns of changes made in that time when it resumes.
func (x *Processes) pause(manager *frontState, length Time) {
	x.mu.Lock()
	inst := x.instances[manager.name]
	process, now := inst.serving, x.env.Now()
	if !manager.up || !inst.responsive {
		x.mu.Unlock()
		return
	}
	inst.pauses = append(inst.pauses, span{now, now + length})
	x.play.recording.RecordPause(now, now+length, manager.name)
	inst.responsive = false
	if inst.successor != nil { // it may time out waiting for the handover
		inst.successor.stopRequested = true
	}
	x.mu.Unlock()
	process.signal(syscall.SIGSTOP)
	x.env.At(now+length, func() {
		process.signal(syscall.SIGCONT)
		x.mu.Lock()
		defer x.mu.Unlock()
		if inst.serving == process && !process.stopRequested {
			inst.responsive = true
			x.recordAllStates(inst, x.env.Now())
		}
	})
}

// Plays a trouble that only separate processes can have.
func (x *Processes) playTrouble(manager *frontState, trouble Trouble) {
	x.mu.Lock()
	inst := x.instances[manager.name]
	process := inst.serving
	running := manager.up && inst.responsive
	x.mu.Unlock()
	if !running {
		return
	}
	now := x.env.Now()
	switch trouble.Kind {
	case "reload", "bad-reload":
		drain, playbacks := x.day.DrainTimeout, 1000+x.play.rng.IntN(1000)
		settings := x.day.settingsText(inst.addr, inst.name, manager.zone, x.registryAddr, playbacks, drain)
		if trouble.Kind == "bad-reload" {
			settings = strings.Replace(settings, "max_tries = ", "max_tries = 7", 1)
		}
		if err := os.WriteFile(inst.file, []byte(settings), 0o600); err != nil {
			x.recordFailure("%v", err)
		}
		process.signal(syscall.SIGHUP)
		if trouble.Kind == "bad-reload" { // restore the file before a process starts from it
			x.env.At(now+300_000, func() {
				_ = os.WriteFile(inst.file, []byte(x.day.settingsText(inst.addr, inst.name, manager.zone, x.registryAddr, playbacks, drain)), 0o600)
			})
		}
	case "halt":
		x.mu.Lock()
		process.stopRequested = true
		manager.up = false
		inst.downtimes = append(inst.downtimes, span{now, farFuture})
		inst.stops = append(inst.stops, span{now, farFuture})
		stopIndex := len(inst.stops) - 1
		x.mu.Unlock()
		process.signal(syscall.SIGTERM)
		go func() {
			<-process.ended
			endedAt := x.env.Now()
			x.mu.Lock()
			inst.stops[stopIndex].To = endedAt
			inst.responsive = false
			x.mu.Unlock()
			x.env.At(endedAt+trouble.Duration, func() { x.play.startFront(manager) })
		}()
	case "upgrade":
		x.mu.Lock()
		process.stopRequested = true
		x.mu.Unlock()
		x.launch(inst, true, "--takeover")
	}
}

// stopRegistry stops the registry.
func (x *Processes) stopRegistry() { x.server.Stop(); x.server = nil }

// Statuses queries the status of every instance that is up.
func (x *Processes) Statuses() (statuses []*edge.Status, err error) {
	x.mu.Lock()
	instances := []*instance{}
	for _, name := range sortedKeys(x.instances) {
		if inst := x.instances[name]; inst.front.up {
			instances = append(instances, inst)
		}
	}
	x.mu.Unlock()
	for _, inst := range instances {
		status, queryErr := edge.QueryStatus(filepath.Join(filepath.Dir(inst.file), "control"))
		if queryErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", inst.name, queryErr))
			continue
		}
		statuses = append(statuses, status)
	}
	return statuses, err
}

// Close stops all processes, draining ones too, and waits until they have ended.
func (x *Processes) Close() {
	x.mu.Lock()
	var processes []*spawnedProgram
	for _, process := range x.processes {
		process.stopRequested = true
		processes = append(processes, process)
	}
	x.mu.Unlock()
	for range 3 { // the third signal ends a process without draining
		for _, process := range processes {
			process.signal(syscall.SIGTERM)
		}
		time.Sleep(50 * time.Millisecond)
	}
	ended := make(chan struct{})
	go func() { x.wait.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		x.recordFailure("processes did not end")
		for _, process := range processes {
			process.signal(syscall.SIGKILL)
		}
	}
	x.spawner.close()
	if x.server != nil {
		x.server.Stop()
	}
	_ = os.RemoveAll(x.dir)
}

// expectedDown reports whether nobody was expected to answer at an address at a time.
func (x *Processes) expectedDown(addr string, at, slack Time) bool {
	for _, inst := range x.instances {
		if inst.addr == addr {
			return slices.ContainsFunc(inst.downtimes, func(downtime span) bool { return downtime.contains(at, slack) })
		}
	}
	return false
}
