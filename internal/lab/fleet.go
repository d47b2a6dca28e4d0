package lab

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/kept"
	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
)

// program is pierlink's, beside the program that runs.
func daemonPath() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "pierlink")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the daemon's program is expected beside this one: %w", err)
	}
	return path, nil
}

// outside plays a day with its session managers as processes. after is called once the day is over and before
// they end.
func playWithProcesses(d *Day, log *zap.Logger, after func(*Processes, *Play) error) (*Processes, *Play, *Tape, error) {
	path, err := daemonPath()
	if err != nil {
		return nil, nil, nil, err
	}
	var x *Processes
	play, tape, err := Loopback(d, func(l *LoopbackEnvironment, t *Tape) *Play {
		if x, err = NewProcesses(path, d, l); err != nil {
			l.Err = err
			return nil
		}
		return begin(d, l, t, nil, log, x)
	}, func(p *Play) error { return after(x, p) })
	if x != nil {
		x.Close()
	}
	return x, play, tape, err
}

// attempts that found nobody, and those that were heard by one that was not ready.
func (x *Processes) refusedConnections(play *Play, slack Time) (refused int, first string) {
	for _, s := range play.Seen {
		if s.Connected || s.State == player.Abandoned || x.expectedDown(s.Front, s.StartedAt, slack) || x.expectedDown(s.Front, s.EndedAt, slack) {
			continue
		}
		refused++
		if first == "" {
			first = fmt.Sprintf("%s at %s (%.3f s into the day)", s.ID, x.env.hostNames[s.Front], seconds(s.StartedAt-play.began))
		}
	}
	return refused, first
}

// broken counts the playbacks that ended though their viewers wanted more, while neither their session manager
// was killed nor stopped.
func (x *Processes) brokenPlaybacks(play *Play, slack Time) (n int, first string) {
	for _, s := range play.Seen {
		if s.State != player.Lost || x.expectedDown(s.Front, s.EndedAt, slack) {
			continue
		}
		n++
		if first == "" {
			first = fmt.Sprintf("%s at %s (%.3f s into the day)", s.ID, x.env.hostNames[s.Front], seconds(s.EndedAt-play.began))
		}
	}
	return n, first
}

// stopped counts the playbacks that a stop ended without a way on: their viewers were neither sent elsewhere nor
// told when to come back.
func (x *Processes) playbacksAtStops(play *Play) (open, without int) {
	for _, s := range play.Seen {
		for _, i := range x.instances {
			if i.addr != s.Front {
				continue
			}
			for _, h := range i.stops {
				if s.EndedAt < h.From || s.StartedAt > h.To || !s.Connected {
					continue
				}
				open++
				if !s.RedirectReceived && (s.State == player.Lost || s.State == player.Failed && s.Status == 0) && h.contains(s.EndedAt, 0) {
					without++
				}
			}
		}
	}
	return open, without
}

func proveFleet(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "fleet", Seed: seed, Judged: map[string]int{}}
	calm, err := Library("fleet-calm")
	if err != nil {
		return nil, err
	}
	bad, err := Library("fleet")
	if err != nil {
		return nil, err
	}
	outage, err := Library("outage")
	if err != nil {
		return nil, err
	}
	calm.Seed, bad.Seed, outage.Seed = seed, seed, seed
	if size == Small {
		calm, bad = calm.withManagers(8), bad.withManagers(8)
	}
	if err := p.checkDamagedFiles(seed, size); err != nil {
		return nil, err
	}
	p.checkOutage(outage, log)
	slack := calm.Plans[0].Abandon / 20

	// only reloads, stops and upgrades: nothing may break
	x, play, tape, err := playWithProcesses(calm, log, func(x *Processes, _ *Play) error { return p.checkLeftovers(x, "calm day: ") })
	if err != nil {
		return nil, err
	}
	p.Note("calm day: %s", strings.Split(play.Tally.Summary(), "\n")[0])
	p.Note("troubles: %v", play.Tally.ByKind)
	p.checkFleetDay(x, play, "calm day: ")
	refused, first := x.refusedConnections(play, slack)
	p.AtMost(float64(refused), 0, "calm day: connections refused over reloads, stops and upgrades")
	p.noteUnlessEmpty(first, "refused: ")
	broken, first := x.brokenPlaybacks(play, slack)
	p.AtMost(float64(broken), 0, "calm day: playbacks broken over reloads and upgrades")
	p.noteUnlessEmpty(first, "broken: ")
	open, without := x.playbacksAtStops(play)
	p.Judged["playbacks open at a stop"] = open
	p.AtMost(float64(without), 0, "calm day: viewers that a stop left without a way on")
	p.AtLeast(float64(open), 1, "calm day: playbacks open at a stop")
	p.AtLeast(float64(play.Tally.SentOn), 1, "calm day: playing sessions sent on")
	for _, v := range Judge(tape, calm.Bounds(slack)) { // it has no drains of boxes, nor cold ones
		p.AtMost(float64(len(v.Broken)), 0, "calm day: rule %d broken", v.Rule)
		if len(v.Broken) > 0 {
			p.Note("rule %d: %s", v.Rule, v.Broken[0])
		}
	}

	// everything
	x, play, tape, err = playWithProcesses(bad, log, func(x *Processes, play *Play) error {
		if err := p.checkLeftovers(x, "bad day: "); err != nil {
			return err
		}
		return x.restartWithoutRegistry(play)
	})
	if err != nil {
		return nil, err
	}
	p.Note("bad day: %s", strings.Split(play.Tally.Summary(), "\n")[0])
	p.Note("troubles: %v", play.Tally.ByKind)
	p.checkFleetDay(x, play, "bad day: ")
	p.checkRules(Judge(tape, bad.Bounds(slack)))
	refused, first = x.refusedConnections(play, slack)
	p.AtMost(float64(refused), 0, "bad day: connections refused while a manager was to answer")
	p.noteUnlessEmpty(first, "refused: ")
	early := 0
	for _, e := range tape.Entries {
		if e.Kind == Up && e.Player {
			if i := x.instances[e.Front]; i != nil && slices.ContainsFunc(i.downtimes, func(s span) bool { return s.contains(e.At, -slack) && !i.stopBegan(s) }) {
				early++
			}
		}
	}
	p.AtMost(float64(early), 0, "bad day: connections accepted while not ready")
	p.AtMost(float64(play.Tally.Fell), 0, "bad day: boxes pushed over")
	p.AtMost(float64(play.Tally.Unasked), 0, "bad day: answers that nothing asked for")
	p.Judged["playbacks"] = play.Tally.Asked
	return p, nil
}

// halted tells whether a span begins with a stop: connections on their way then are still accepted.
func (i *instance) stopBegan(s span) bool {
	return slices.ContainsFunc(i.stops, func(h span) bool { return h.From == s.From })
}

// fleet adds what any day of processes must show, and how long they took to be ready.
func (p *Proof) checkFleetDay(x *Processes, play *Play, what string) {
	p.AtMost(float64(len(x.Failures)), 0, "%sprocesses that ended or failed of themselves", what)
	for n, f := range x.Failures {
		if n < 3 {
			p.Note("%s", f)
		}
	}
	p.AtMost(float64(len(x.day.Troubles)-sumCounts(play.Tally.ByKind)), 0, "%sscripted troubles that were not played", what)
	never := 0
	by := map[string][]Time{}
	for _, s := range x.Starts {
		kind := "first"
		switch {
		case s.RegistryDown:
			kind = "registry down"
		case s.Restart:
			kind = "again"
		}
		by[kind] = append(by[kind], s.ReadyAt-s.StartedAt)
	}
	for _, i := range x.instances {
		if i.serving != nil {
			select {
			case <-i.serving.ready:
			default:
				never++
			}
		}
	}
	p.AtMost(float64(never), 0, "%sprocesses that were started last and never ready", what)
	for _, kind := range sortedKeys(by) {
		all := by[kind]
		slices.Sort(all)
		p.Note("%sready after a start (%s): median %.0f ms, 99%% %.0f ms, of %d", what, kind, float64(all[len(all)/2])/1e3,
			float64(all[len(all)*99/100])/1e3, len(all))
		p.Judged["starts, "+kind] += len(all)
		p.AtMost(seconds(all[len(all)*99/100])/seconds(x.day.Plans[0].Abandon), 1, "%s99th percentile of a start's time (%s), over the abandon time",
			what, kind)
	}
}

// leftOver asks the managers whether anything is left once all players have gone, and the boxes whether places
// are taken by what nobody knows of any more.
func (p *Proof) checkLeftovers(x *Processes, what string) error {
	playbacks, orphans := -1, -1
	for until := time.Now().Add(time.Duration(x.day.Timeout/4) * time.Microsecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		all, err := x.Statuses()
		if err != nil {
			return err
		}
		if playbacks, orphans = 0, 0; len(all) == 0 {
			return errors.New("no manager is left to ask")
		}
		for _, s := range all {
			playbacks += s.Waiting + s.Playing
		}
		x.env.mu.Lock()
		for _, b := range x.play.boxes {
			got := make(chan int, 1)
			h := x.env.hosts[b.name]
			if h.down {
				continue
			}
			x.env.Call(b.name, func(c core.Core) { got <- c.(*mediabox.Box).OrphanedSessions() })
			orphans += <-got
		}
		x.env.mu.Unlock()
		if playbacks == 0 && orphans == 0 {
			break
		}
	}
	p.AtMost(float64(playbacks), 0, "%splaybacks left over at the managers", what)
	p.AtMost(float64(orphans), 0, "%splaces taken by orphans a quarter of the session time-out after the day", what)
	return nil
}

// withoutRegistry kills managers while the registry is down, and starts them again.
func (x *Processes) restartWithoutRegistry(play *Play) error {
	x.env.mu.Lock()
	x.stopRegistry()
	some := play.fronts[:max(len(play.fronts)/4, 1)]
	var killed []*frontState
	for _, f := range some {
		if f.up {
			f.up = false
			x.kill(f)
			killed = append(killed, f)
		}
	}
	x.env.mu.Unlock()
	for _, f := range killed {
		x.env.mu.Lock()
		<-x.instances[f.name].serving.ended
		x.start(f)
		c := x.instances[f.name].serving
		x.env.mu.Unlock()
		select {
		case <-c.ready:
		case <-time.After(5 * time.Second):
		}
	}
	return nil
}

func (p *Proof) noteUnlessEmpty(what, before string) {
	if what != "" {
		p.Note("%s%s", before, what)
	}
}

// smaller is a day with fewer managers and as much less load.
func (d *Day) withManagers(managers int) *Day {
	x := *d
	x.Rate *= float64(managers) / float64(d.Managers)
	x.Managers, x.Site.Fronts = managers, managers
	x.Troubles = slices.Clone(d.Troubles)
	for i := range x.Troubles {
		x.Troubles[i].Managers = max(x.Troubles[i].Managers*managers/d.Managers, 1)
	}
	return &x
}

// damage truncates and flips what is kept, and reads it: snapshots of both kinds, and a journal.
func (p *Proof) checkDamagedFiles(seed uint64, size Size) error {
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	rng := rand.New(rand.NewPCG(seed, 0xda3))
	type thing struct {
		At  int64
		All map[string]float64
	}
	good := thing{At: 1, All: map[string]float64{}}
	for i := range 200 {
		good.All[fmt.Sprint("tenant-", i)] = rng.Float64()
	}
	path := filepath.Join(dir, "snapshot")
	if err := kept.Save(path, "proof 1", good); err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	n := 10_000
	if size == Small {
		n = 1_000
	}
	missed := 0
	for i := range n {
		harmed := slices.Clone(text)
		if i%2 == 0 {
			harmed = harmed[:rng.IntN(len(harmed))]
		} else {
			harmed[rng.IntN(len(harmed))] ^= 1 << rng.IntN(8)
		}
		if err := os.WriteFile(path, harmed, 0o600); err != nil {
			return err
		}
		var got thing
		if err := kept.Load(path, "proof 1", &got); !errors.Is(err, kept.ErrCorrupt) {
			missed++
		}
	}
	p.AtMost(float64(missed), 0, "damaged snapshots that were taken for whole")
	p.Judged["truncations and flips"] = n

	// a start from damaged files of every kind
	starts, crashed := 12, 0
	if size == Small {
		starts = 4
	}
	exe, err := daemonPath()
	if err != nil {
		return err
	}
	d, err := Library("fleet-calm")
	if err != nil {
		return err
	}
	for i := range starts {
		at := filepath.Join(dir, fmt.Sprint("start-", i))
		addr, err := freePort(rng)
		if err != nil {
			return err
		}
		settings := d.settingsText(addr, "damaged", "zone-0", "127.0.0.1:1", 100, 0)
		settings = strings.Replace(settings, "[ladder]", "[door]\nwaiting = 100\nbytes = 100000\ntenants = 100\nclients = 100\n[ladder]", 1)
		view := append([]byte("pierlink registry view 1 0123456789abcdef\n"), text...)
		rows := bytes.Repeat([]byte("0123456789abcdef {\"name\":\"x\"}\n"), 3)
		if err := errors.Join(os.Mkdir(at, 0o700), os.WriteFile(filepath.Join(at, "pierlink.toml"), []byte(settings), 0o600),
			os.WriteFile(filepath.Join(at, "view"), view[:rng.IntN(len(view))], 0o600),
			os.WriteFile(filepath.Join(at, "standing"), text[:rng.IntN(len(text))], 0o600),
			os.WriteFile(filepath.Join(at, "1-0.dialogues"), rows[:rng.IntN(len(rows))], 0o600)); err != nil {
			return err
		}
		c, err := launch("cannot use the stored registry view", exe, "serve", "-c", filepath.Join(at, "pierlink.toml"))
		if err != nil {
			crashed++
			p.Note("%v", err)
			continue
		}
		time.Sleep(30 * time.Millisecond)
		if err := c.cmd.Process.Signal(os.Interrupt); err != nil {
			crashed++
		}
		if err := c.cmd.Wait(); err != nil {
			crashed++
			p.Note("start from damaged files: %v", err)
		}
	}
	p.AtMost(float64(crashed), 0, "starts from damaged files that crashed, or did not say what they do without")
	p.Judged["starts from damaged files"] = starts
	return nil
}

// outages plays a day on which half of the managers are killed in one moment and come back, with what is kept
// for that and without.
func (p *Proof) checkOutage(d *Day, log *zap.Logger) {
	var with, without *Play
	done := make(chan struct{})
	x, y := *d, *d
	y.Recover = false
	go func() { defer close(done); without, _, _ = Virtual(&y, nil, log) }()
	with, tape, _ := Virtual(&x, nil, log)
	<-done
	for _, v := range Judge(tape, d.Bounds(0)) {
		p.AtMost(float64(len(v.Broken)), 0, "outage of half: rule %d broken", v.Rule)
	}
	a, b := &with.Tally, &without.Tally
	p.Note("outage of half of the managers: revenue %.0f with recovery, %.0f without, %.0f offered", a.Revenue, b.Revenue, a.Offered)
	p.AtLeast(a.Revenue/max(b.Revenue, 1), 1, "outage of half: revenue with recovery over that without")
	p.AtLeast(a.Revenue/max(a.Offered, 1), 0.8, "outage of half: revenue over all that was offered")
	p.Note("orphans on the boxes, mean over the day: %.1f with recovery, %.1f without", with.Orphans, without.Orphans)
	p.AtMost(with.Orphans/max(without.Orphans, 1e-9), 0.5, "outage of half: places taken by orphans, over those without recovery")
}
