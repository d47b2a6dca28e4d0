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

// Processes runs a day's session managers as processes of their own on loopback, supervised: it starts, kills,
// stops, reloads, stalls and replaces them, and hears from them that they are ready as a supervisor does. Boxes
// and players are the laboratory's own, on its live stage.
type Processes struct {
	Program      string // pierlink
	dir          string
	spawner      *spawner
	day          *Day
	play         *Play
	env          *LoopbackEnvironment
	store        *standin.Store
	server       *standin.Server
	registryAddr string // of the registry

	mu        sync.Mutex
	instances map[string]*instance
	wait      sync.WaitGroup
	Starts    []Start
	Failures  []string // processes that ended as they should not have
	boxStates map[string]session.ServerState
	processes []*spawnedProgram
}

// Start is how one process came to be ready.
type Start struct {
	Name         string
	StartedAt    Time
	ReadyAt      Time // 0 if it never was
	RegistryDown bool
	Restart      bool // one of its name had run before
}

// instance is one session manager of the fleet, whichever process stands for it now.
type instance struct {
	name      string
	file      string
	addr      string
	front     *frontState
	serving   *spawnedProgram
	successor *spawnedProgram // starts in order to take over
	downtimes []span          // in which nobody answers at its address, as it should be
	pauses    []span
	stops     []span // of stops: from the signal to the end
	notified  bool
	launches  int
}

// span is a time; To is never while it lasts.
type span struct{ From, To Time }

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

func formatFloats(all []float64) string {
	var s []string
	for _, x := range all {
		s = append(s, fmt.Sprintf("%g", x))
	}
	return strings.Join(s, ", ")
}

// settings is the file of one session manager of a day.
func (d *Day) settingsText(listen, name, zone, endpoint string, playbacks int, drain Time) string {
	var zones []string
	for i := range d.Zones {
		zones = append(zones, fmt.Sprintf("%q", fmt.Sprint("zone-", i)))
	}
	t, f, pr := &d.Site.Terms, &d.Site.Fleet, &d.Site.Prices
	ration, advice := "", fmt.Sprintf("max_come_again = \"%dus\"", t.MaxRetryAfter)
	if t.RetriesLimited {
		ration = fmt.Sprintf("rationed = true\nfree_tries = %g\ntry_share = %g\ntry_span = \"%dus\"", t.FreeRetries, t.RetryShare, t.RetrySpan)
	}
	if d.Silent {
		advice = "advice = false"
	}
	text := fmt.Sprintf(processTemplate, listen, name, d.Managers, zone, strings.Join(zones, ", "), d.Timeout, playbacks, endpoint, d.Grace,
		drain, formatFloats(d.Frame.LadderKB), formatFloats(d.Site.Ladder.RevenueShare), d.Frame.Join, d.Site.Ladder.RungChangeCost, f.Cells, f.Racks, f.TotalLinkKB,
		f.UplinkKB, f.KBPerWeight, f.RefusalFill, f.NoteDelay, f.NoteInterval, d.Frame.MaxSessions, t.ColdShare, t.WarmUp, t.ColdMultiple, t.ColdSpan,
		t.MaxTries, ration, advice, pr.CrossZone, pr.Move, pr.Probe, pr.OverQuota)
	repeats := map[session.Repeat]string{session.Harmless: "harmless", session.Keyed: "keyed", session.Unsafe: "unsafe"}
	for i, p := range d.Plans {
		s := d.Site.Plans[i]
		text += fmt.Sprintf("[[plan]]\nname = %q\nrepeat = %q\nstartup = \"%dus\"\nabandon = \"%dus\"\nrevenue = %g\nlive = %t\n"+
			"rate_factor = %g\nfloor = %d\ntop = %d\nseats = %d\n", p.Name, repeats[s.Repeat], s.StartupTarget, p.Abandon, s.Revenue, s.Live,
			s.RateFactor, s.Floor, s.Top, s.Seats)
		if s.Repeat == session.Keyed {
			text += fmt.Sprintf("window = \"%dus\"\n", s.KeyWindow)
		}
		for _, x := range p.Tracks {
			text += fmt.Sprintf("[[plan.track]]\nmedia = %q\nencoding = %q\npayload = %d\n", x.Media, x.Encoding, x.Payload)
		}
	}
	return text
}

// NewProcesses prepares a fleet; its registry serves at once.
func NewProcesses(program string, d *Day, l *LoopbackEnvironment) (*Processes, error) {
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return nil, err
	}
	x := &Processes{Program: program, dir: dir, day: d, env: l, instances: map[string]*instance{}, boxStates: map[string]session.ServerState{},
		store: standin.NewStore(7, "fleet", registry.HistoryKey)}
	if x.spawner, err = newSpawner(); err != nil {
		return nil, err
	}
	if x.server, err = standin.Serve("127.0.0.1:0", x.store); err != nil {
		return nil, err
	}
	x.registryAddr = x.server.Addr()
	return x, nil
}

// freePort finds a free port below those that the system gives to outgoing connections, so that a manager that
// comes back finds its own.
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

// start runs a session manager's process, the first time or again.
func (x *Processes) start(f *frontState) {
	x.mu.Lock()
	i := x.instances[f.name]
	again := i != nil
	if i == nil {
		dir := filepath.Join(x.dir, f.name)
		addr, err := freePort(x.play.rng)
		i = &instance{name: f.name, file: filepath.Join(dir, "pierlink.toml"), addr: addr, front: f}
		text := x.day.settingsText(addr, f.name, f.zone, x.registryAddr, 2000, x.day.Drain)
		if err := errors.Join(err, os.MkdirAll(dir, 0o700), os.WriteFile(i.file, []byte(text), 0o600)); err != nil {
			x.Failures = append(x.Failures, err.Error())
		}
		x.instances[f.name] = i
		x.env.host(f.name).addr = addr
		x.env.hostNames[addr] = f.name
		i.downtimes = append(i.downtimes, span{x.env.Now(), never})
	} else {
		x.play.tape.Began(x.env.Now(), f.name, 0)
	}
	x.mu.Unlock()
	x.launch(i, again)
	f.up = true
}

// launch starts a process for an instance, and follows it.
func (x *Processes) launch(i *instance, again bool, args ...string) *spawnedProgram {
	now := x.env.Now()
	x.mu.Lock()
	i.launches++
	socket := filepath.Join(x.dir, fmt.Sprintf("%s.%d", i.name, i.launches))
	x.mu.Unlock()
	notify, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: socket, Net: "unixgram"})
	if err != nil {
		x.recordFailure("%s: %v", i.name, err)
		return nil
	}
	c, err := x.spawner.start(now, []string{"NOTIFY_SOCKET=" + socket, "GOMAXPROCS=2"}, x.Program, append([]string{"serve", "-c", i.file}, args...)...)
	if err != nil {
		_ = notify.Close()
		x.recordFailure("%s: %v", i.name, err)
		return nil
	}
	takes := len(args) > 0
	x.mu.Lock()
	x.processes = append(x.processes, c)
	if takes {
		i.successor = c
	}
	x.mu.Unlock()
	off := x.server == nil
	if !takes {
		x.mu.Lock()
		i.serving = c
		x.mu.Unlock()
	}
	x.wait.Add(2)
	go func() {
		defer x.wait.Done()
		defer notify.Close()
		text := make([]byte, 4096)
		for {
			n, err := notify.Read(text)
			if err != nil {
				return
			}
			if !bytes.Contains(text[:n], []byte("READY=1")) {
				continue
			}
			at := x.env.Now()
			x.mu.Lock()
			select {
			case <-c.ready: // after a reload
			default:
				close(c.ready)
				x.Starts = append(x.Starts, Start{Name: i.name, StartedAt: c.startedAt, ReadyAt: at, RegistryDown: off, Restart: again})
				if takes {
					i.serving, i.successor = c, nil
				} else if n := len(i.downtimes); n > 0 && i.downtimes[n-1].To == never {
					i.downtimes[n-1].To = at
				}
				i.notified = true
				x.recordAllStates(i, at)
			}
			x.mu.Unlock()
		}
	}()
	go func() {
		defer x.wait.Done()
		<-c.ended
		x.mu.Lock()
		told := c.stopRequested
		x.mu.Unlock()
		if !told {
			x.recordFailure("%s ended: %s", i.name, c.status)
		}
		_ = notify.Close()
	}()
	return c
}

func (x *Processes) recordFailure(format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Failures = append(x.Failures, fmt.Sprintf(format, a...))
}

// tellAll notes that an instance knows of all boxes as they stand.
func (x *Processes) recordAllStates(i *instance, at Time) {
	for _, name := range sortedKeys(x.boxStates) {
		x.play.tape.Told(at, i.name, name, x.boxStates[name], 0)
	}
}

// box brings a box's line into the registry. Managers that run are told as of now: what the registry's way to
// them takes is theirs to make up for.
func (x *Processes) box(b *boxState) {
	key := registry.BoxesPrefix + b.name
	if b.state == session.Gone {
		x.store.Put(map[string][]byte{key: nil})
	} else {
		v := registry.Box{Address: x.env.Addr(b.name), Zone: b.zone, Cell: b.cell, Kind: "std", Weight: 1, State: "ready"}
		if b.state == session.Draining {
			v.State = "draining"
		}
		if b.started != 0 {
			v.Started = fromMicros(b.started)
		}
		x.store.Put(map[string][]byte{key: v.Encode()})
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.boxStates[b.name] = b.state
	now := x.env.Now()
	for _, name := range sortedKeys(x.instances) {
		if i := x.instances[name]; i.notified {
			x.play.tape.Told(now, name, b.name, b.state, b.started)
		}
	}
}

// kill ends an instance's process without a word.
func (x *Processes) kill(f *frontState) {
	x.mu.Lock()
	i := x.instances[f.name]
	c := i.serving
	now := x.env.Now()
	i.downtimes = append(i.downtimes, span{now, never})
	i.notified = false
	c.stopRequested = true
	t := i.successor
	if i.successor = nil; t != nil {
		t.stopRequested = true
	}
	x.mu.Unlock()
	x.play.tape.Killed(now, f.name)
	c.signal(syscall.SIGKILL)
	if t != nil {
		t.signal(syscall.SIGKILL)
	}
}

// stand has a process stand still. What it is told meanwhile it hears when it goes on.
func (x *Processes) stand(f *frontState, length Time) {
	x.mu.Lock()
	i := x.instances[f.name]
	c, now := i.serving, x.env.Now()
	if !f.up || !i.notified {
		x.mu.Unlock()
		return
	}
	i.pauses = append(i.pauses, span{now, now + length})
	x.play.tape.Stood(now, now+length, f.name)
	i.notified = false
	if i.successor != nil { // it may give up waiting
		i.successor.stopRequested = true
	}
	x.mu.Unlock()
	c.signal(syscall.SIGSTOP)
	x.env.At(now+length, func() {
		c.signal(syscall.SIGCONT)
		x.mu.Lock()
		defer x.mu.Unlock()
		if i.serving == c && !c.stopRequested {
			i.notified = true
			x.recordAllStates(i, x.env.Now())
		}
	})
}

// trouble plays what only a process can meet.
func (x *Processes) trouble(f *frontState, t Trouble) {
	x.mu.Lock()
	i := x.instances[f.name]
	c := i.serving
	able := f.up && i.notified
	x.mu.Unlock()
	if !able {
		return
	}
	now := x.env.Now()
	switch t.Kind {
	case "reload", "bad-reload":
		drain, playbacks := x.day.Drain, 1000+x.play.rng.IntN(1000)
		text := x.day.settingsText(i.addr, i.name, f.zone, x.registryAddr, playbacks, drain)
		if t.Kind == "bad-reload" {
			text = strings.Replace(text, "max_tries = ", "max_tries = 7", 1)
		}
		if err := os.WriteFile(i.file, []byte(text), 0o600); err != nil {
			x.recordFailure("%v", err)
		}
		c.signal(syscall.SIGHUP)
		if t.Kind == "bad-reload" { // and the file is mended before anyone starts from it
			x.env.At(now+300_000, func() {
				_ = os.WriteFile(i.file, []byte(x.day.settingsText(i.addr, i.name, f.zone, x.registryAddr, playbacks, drain)), 0o600)
			})
		}
	case "halt":
		x.mu.Lock()
		c.stopRequested = true
		f.up = false
		i.downtimes = append(i.downtimes, span{now, never})
		i.stops = append(i.stops, span{now, never})
		n := len(i.stops) - 1
		x.mu.Unlock()
		c.signal(syscall.SIGTERM)
		go func() {
			<-c.ended
			end := x.env.Now()
			x.mu.Lock()
			i.stops[n].To = end
			i.notified = false
			x.mu.Unlock()
			x.env.At(end+t.For, func() { x.play.startFront(f) })
		}()
	case "upgrade":
		x.mu.Lock()
		c.stopRequested = true
		x.mu.Unlock()
		x.launch(i, true, "--takeover")
	}
}

// cutRegistry stops the registry.
func (x *Processes) stopRegistry() { x.server.Stop(); x.server = nil }

// Statuses asks all instances that serve how they stand.
func (x *Processes) Statuses() (all []*edge.Status, err error) {
	x.mu.Lock()
	instances := []*instance{}
	for _, name := range sortedKeys(x.instances) {
		if i := x.instances[name]; i.front.up {
			instances = append(instances, i)
		}
	}
	x.mu.Unlock()
	for _, i := range instances {
		s, e := edge.QueryStatus(filepath.Join(filepath.Dir(i.file), "control"))
		if e != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", i.name, e))
			continue
		}
		all = append(all, s)
	}
	return all, err
}

// Close ends all processes, those that still drain too, and waits until they have gone.
func (x *Processes) Close() {
	x.mu.Lock()
	var all []*spawnedProgram
	for _, c := range x.processes {
		c.stopRequested = true
		all = append(all, c)
	}
	x.mu.Unlock()
	for range 3 { // the third time it ends as it stands
		for _, c := range all {
			c.signal(syscall.SIGTERM)
		}
		time.Sleep(50 * time.Millisecond)
	}
	done := make(chan struct{})
	go func() { x.wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		x.recordFailure("processes did not end")
		for _, c := range all {
			c.signal(syscall.SIGKILL)
		}
	}
	x.spawner.close()
	if x.server != nil {
		x.server.Stop()
	}
	_ = os.RemoveAll(x.dir)
}

// down tells whether nobody was to answer at an address at a moment.
func (x *Processes) expectedDown(addr string, at, slack Time) bool {
	for _, i := range x.instances {
		if i.addr == addr {
			return slices.ContainsFunc(i.downtimes, func(s span) bool { return s.contains(at, slack) })
		}
	}
	return false
}
