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

// daemonPath returns the path of the pierlink executable, which must be in the directory of the running one.
func daemonPath() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	daemon := filepath.Join(filepath.Dir(self), "pierlink")
	if _, err := os.Stat(daemon); err != nil {
		return "", fmt.Errorf("expected the pierlink executable in the directory of the running program: %w", err)
	}
	return daemon, nil
}

// playWithProcesses plays a day whose session managers are separate processes. check is called at the end of the
// day, while they still run.
func playWithProcesses(day *Day, log *zap.Logger, check func(*Processes, *DayRun) error) (*Processes, *DayRun, *Recording, error) {
	daemon, err := daemonPath()
	if err != nil {
		return nil, nil, nil, err
	}
	var processes *Processes
	play, recording, err := Loopback(day, func(env *LoopbackEnvironment, recording *Recording) *DayRun {
		if processes, err = NewProcesses(daemon, day, env); err != nil {
			env.Err = err
			return nil
		}
		return startDay(day, env, recording, nil, log, processes)
	}, func(play *DayRun) error { return check(processes, play) })
	if processes != nil {
		processes.Close()
	}
	return processes, play, recording, err
}

// refusedConnections counts the connection attempts that failed at times when a manager should have accepted them,
// and describes the first of them.
func (x *Processes) refusedConnections(play *DayRun, slack Time) (refused int, firstRefused string) {
	for _, attempt := range play.Results {
		if attempt.Connected || attempt.State == player.Abandoned || x.expectedDown(attempt.Front, attempt.StartedAt, slack) || x.expectedDown(attempt.Front, attempt.EndedAt, slack) {
			continue
		}
		refused++
		if firstRefused == "" {
			firstRefused = fmt.Sprintf("%s at %s (%.3f s into the day)", attempt.ID, x.env.hostNames[attempt.Front], seconds(attempt.StartedAt-play.startedAt))
		}
	}
	return refused, firstRefused
}

// brokenPlaybacks counts the playbacks that ended before their viewers left, although their session manager was
// neither killed nor stopped at that time, and describes the first of them.
func (x *Processes) brokenPlaybacks(play *DayRun, slack Time) (n int, firstBroken string) {
	for _, attempt := range play.Results {
		if attempt.State != player.Lost || x.expectedDown(attempt.Front, attempt.EndedAt, slack) {
			continue
		}
		n++
		if firstBroken == "" {
			firstBroken = fmt.Sprintf("%s at %s (%.3f s into the day)", attempt.ID, x.env.hostNames[attempt.Front], seconds(attempt.EndedAt-play.startedAt))
		}
	}
	return n, firstBroken
}

// playbacksAtStops counts the playbacks that were open when their manager was stopped, and those of them whose
// viewers were stranded: they received neither a redirect nor a retry time.
func (x *Processes) playbacksAtStops(play *DayRun) (open, stranded int) {
	for _, attempt := range play.Results {
		for _, inst := range x.instances {
			if inst.addr != attempt.Front {
				continue
			}
			for _, stop := range inst.stops {
				if attempt.EndedAt < stop.From || attempt.StartedAt > stop.To || !attempt.Connected {
					continue
				}
				open++
				if !attempt.RedirectReceived && (attempt.State == player.Lost || attempt.State == player.Failed && attempt.Status == 0) && stop.contains(attempt.EndedAt, 0) {
					stranded++
				}
			}
		}
	}
	return open, stranded
}

// proveFleet plays two days with session managers as separate processes: a calm one with reloads, stops and
// upgrades only, which must not break anything, and a bad one with all troubles. It also checks starts from
// damaged files and the recovery after an outage.
func proveFleet(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "fleet", Seed: seed, Judged: map[string]int{}}
	calmDay, err := Library("fleet-calm")
	if err != nil {
		return nil, err
	}
	badDay, err := Library("fleet")
	if err != nil {
		return nil, err
	}
	outageDay, err := Library("outage")
	if err != nil {
		return nil, err
	}
	calmDay.Seed, badDay.Seed, outageDay.Seed = seed, seed, seed
	if size == Small {
		calmDay, badDay = calmDay.withManagers(8), badDay.withManagers(8)
	}
	if err := p.checkDamagedFiles(seed, size); err != nil {
		return nil, err
	}
	p.checkOutage(outageDay, log)
	slack := calmDay.Plans[0].Abandon / 20

	// reloads, stops and upgrades only: nothing may break
	processes, play, recording, err := playWithProcesses(calmDay, log, func(processes *Processes, _ *DayRun) error { return p.checkLeftovers(processes, "calm day: ") })
	if err != nil {
		return nil, err
	}
	p.Note("calm day: %s", strings.Split(play.Tally.Summary(), "\n")[0])
	p.Note("troubles: %v", play.Tally.TroublesByKind)
	p.checkFleetDay(processes, play, "calm day: ")
	refused, example := processes.refusedConnections(play, slack)
	p.AtMost(float64(refused), 0, "calm day: connections refused over reloads, stops and upgrades")
	p.noteUnlessEmpty(example, "refused: ")
	broken, example := processes.brokenPlaybacks(play, slack)
	p.AtMost(float64(broken), 0, "calm day: playbacks broken over reloads and upgrades")
	p.noteUnlessEmpty(example, "broken: ")
	open, stranded := processes.playbacksAtStops(play)
	p.Judged["playbacks open at a stop"] = open
	p.AtMost(float64(stranded), 0, "calm day: viewers that a stop left without a way on")
	p.AtLeast(float64(open), 1, "calm day: playbacks open at a stop")
	p.AtLeast(float64(play.Tally.RedirectsReceived), 1, "calm day: playing sessions sent on")
	for _, verdict := range CheckRules(recording, calmDay.Bounds(slack)) { // not checkRules: this day has no draining and no cold boxes, so some rules have no case
		p.AtMost(float64(len(verdict.Violations)), 0, "calm day: rule %d broken", verdict.Rule)
		if len(verdict.Violations) > 0 {
			p.Note("rule %d: %s", verdict.Rule, verdict.Violations[0])
		}
	}

	// all kinds of troubles
	processes, play, recording, err = playWithProcesses(badDay, log, func(processes *Processes, play *DayRun) error {
		if err := p.checkLeftovers(processes, "bad day: "); err != nil {
			return err
		}
		return processes.restartWithoutRegistry(play)
	})
	if err != nil {
		return nil, err
	}
	p.Note("bad day: %s", strings.Split(play.Tally.Summary(), "\n")[0])
	p.Note("troubles: %v", play.Tally.TroublesByKind)
	p.checkFleetDay(processes, play, "bad day: ")
	p.checkRules(CheckRules(recording, badDay.Bounds(slack)))
	refused, example = processes.refusedConnections(play, slack)
	p.AtMost(float64(refused), 0, "bad day: connections refused while a manager was to answer")
	p.noteUnlessEmpty(example, "refused: ")
	early := 0
	for _, entry := range recording.Entries {
		if entry.Kind == ConnOpened && entry.Player {
			if inst := processes.instances[entry.Front]; inst != nil && slices.ContainsFunc(inst.downtimes, func(downtime span) bool { return downtime.contains(entry.At, -slack) && !inst.stopBegan(downtime) }) {
				early++
			}
		}
	}
	p.AtMost(float64(early), 0, "bad day: connections accepted while not ready")
	p.AtMost(float64(play.Tally.Crashes), 0, "bad day: boxes pushed over")
	p.AtMost(float64(play.Tally.Unsolicited), 0, "bad day: answers that nothing asked for")
	p.Judged["playbacks"] = play.Tally.Attempts
	return p, nil
}

// stopBegan reports whether a downtime begins with a stop. Connections that are being established at that time
// are still accepted.
func (i *instance) stopBegan(downtime span) bool {
	return slices.ContainsFunc(i.stops, func(stop span) bool { return stop.From == downtime.From })
}

// checkFleetDay adds the criteria that every day with processes must meet, and the times that their starts took.
func (p *Proof) checkFleetDay(processes *Processes, play *DayRun, prefix string) {
	p.AtMost(float64(len(processes.Failures)), 0, "%sprocesses that ended or failed of themselves", prefix)
	for n, failure := range processes.Failures {
		if n < 3 {
			p.Note("%s", failure)
		}
	}
	p.AtMost(float64(len(processes.day.Troubles)-sumCounts(play.Tally.TroublesByKind)), 0, "%sscripted troubles that were not played", prefix)
	notReady := 0
	startTimes := map[string][]Time{}
	for _, start := range processes.Starts {
		kind := "first"
		switch {
		case start.RegistryDown:
			kind = "registry down"
		case start.Restart:
			kind = "again"
		}
		startTimes[kind] = append(startTimes[kind], start.ReadyAt-start.StartedAt)
	}
	for _, inst := range processes.instances {
		if inst.serving != nil {
			select {
			case <-inst.serving.ready:
			default:
				notReady++
			}
		}
	}
	p.AtMost(float64(notReady), 0, "%sprocesses that were started last and never ready", prefix)
	for _, kind := range sortedKeys(startTimes) {
		times := startTimes[kind]
		slices.Sort(times)
		p.Note("%sready after a start (%s): median %.0f ms, 99%% %.0f ms, of %d", prefix, kind, float64(times[len(times)/2])/1e3,
			float64(times[len(times)*99/100])/1e3, len(times))
		p.Judged["starts, "+kind] += len(times)
		p.AtMost(seconds(times[len(times)*99/100])/seconds(processes.day.Plans[0].Abandon), 1, "%s99th percentile of a start's time (%s), over the abandon time",
			prefix, kind)
	}
}

// checkLeftovers checks, after all players have gone, that the managers have no open playbacks and that the boxes
// have no orphaned sessions. It waits for that for a quarter of the session timeout.
func (p *Proof) checkLeftovers(processes *Processes, prefix string) error {
	playbacks, orphans := -1, -1
	for deadline := time.Now().Add(time.Duration(processes.day.SessionTimeout/4) * time.Microsecond); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		statuses, err := processes.Statuses()
		if err != nil {
			return err
		}
		if playbacks, orphans = 0, 0; len(statuses) == 0 {
			return errors.New("expected at least one running session manager, found none")
		}
		for _, status := range statuses {
			playbacks += status.Waiting + status.Playing
		}
		processes.env.mu.Lock()
		for _, box := range processes.play.boxes {
			count := make(chan int, 1)
			host := processes.env.hosts[box.name]
			if host.down {
				continue
			}
			processes.env.Call(box.name, func(boxCore core.Core) { count <- boxCore.(*mediabox.Box).OrphanedSessions() })
			orphans += <-count
		}
		processes.env.mu.Unlock()
		if playbacks == 0 && orphans == 0 {
			break
		}
	}
	p.AtMost(float64(playbacks), 0, "%splaybacks left over at the managers", prefix)
	p.AtMost(float64(orphans), 0, "%splaces taken by orphans a quarter of the session time-out after the day", prefix)
	return nil
}

// restartWithoutRegistry stops the registry, kills a quarter of the managers, and starts them again.
func (x *Processes) restartWithoutRegistry(play *DayRun) error {
	x.env.mu.Lock()
	x.stopRegistry()
	restarted := play.fronts[:max(len(play.fronts)/4, 1)]
	var killed []*frontState
	for _, manager := range restarted {
		if manager.up {
			manager.up = false
			x.kill(manager)
			killed = append(killed, manager)
		}
	}
	x.env.mu.Unlock()
	for _, manager := range killed {
		x.env.mu.Lock()
		<-x.instances[manager.name].serving.ended
		x.start(manager)
		program := x.instances[manager.name].serving
		x.env.mu.Unlock()
		select {
		case <-program.ready:
		case <-time.After(5 * time.Second):
		}
	}
	return nil
}

// noteUnlessEmpty adds a note with a prefix if there is a text.
func (p *Proof) noteUnlessEmpty(text, prefix string) {
	if text != "" {
		p.Note("%s%s", prefix, text)
	}
}

// withManagers returns a copy of a day with another number of managers. The load and the number of managers that a
// trouble affects change in proportion.
func (d *Day) withManagers(managers int) *Day {
	day := *d
	day.ArrivalRate *= float64(managers) / float64(d.Managers)
	day.Managers, day.Site.Fronts = managers, managers
	day.Troubles = slices.Clone(d.Troubles)
	for i := range day.Troubles {
		day.Troubles[i].Managers = max(day.Troubles[i].Managers*managers/d.Managers, 1)
	}
	return &day
}

// checkDamagedFiles truncates stored snapshots or flips single bits in them, and checks that loading detects it. It
// then starts the daemon from truncated files of every kind: the registry view, the standing of the admission queue's
// tenants, and the journal of dialogues with boxes.
func (p *Proof) checkDamagedFiles(seed uint64, size Size) error {
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	rng := rand.New(rand.NewPCG(seed, 0xda3))
	type snapshot struct {
		At  int64
		All map[string]float64
	}
	original := snapshot{At: 1, All: map[string]float64{}}
	for i := range 200 {
		original.All[fmt.Sprint("tenant-", i)] = rng.Float64()
	}
	path := filepath.Join(dir, "snapshot")
	if err := kept.Save(path, "proof 1", original); err != nil {
		return err
	}
	encoded, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	rounds := 10_000
	if size == Small {
		rounds = 1_000
	}
	undetected := 0
	for i := range rounds {
		damaged := slices.Clone(encoded)
		if i%2 == 0 {
			damaged = damaged[:rng.IntN(len(damaged))]
		} else {
			damaged[rng.IntN(len(damaged))] ^= 1 << rng.IntN(8)
		}
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			return err
		}
		var loaded snapshot
		if err := kept.Load(path, "proof 1", &loaded); !errors.Is(err, kept.ErrCorrupt) {
			undetected++
		}
	}
	p.AtMost(float64(undetected), 0, "damaged snapshots that were taken for whole")
	p.Judged["truncations and flips"] = rounds

	// start the daemon from damaged files of every kind
	starts, crashed := 12, 0
	if size == Small {
		starts = 4
	}
	daemon, err := daemonPath()
	if err != nil {
		return err
	}
	day, err := Library("fleet-calm")
	if err != nil {
		return err
	}
	for i := range starts {
		startDir := filepath.Join(dir, fmt.Sprint("start-", i))
		addr, err := freePort(rng)
		if err != nil {
			return err
		}
		settings := day.settingsText(addr, "damaged", "zone-0", "127.0.0.1:1", 100, 0)
		settings = strings.Replace(settings, "[ladder]", "[door]\nwaiting = 100\nbytes = 100000\ntenants = 100\nclients = 100\n[ladder]", 1)
		viewFile := append([]byte("pierlink registry view 1 0123456789abcdef\n"), encoded...)
		journal := bytes.Repeat([]byte("0123456789abcdef {\"name\":\"x\"}\n"), 3)
		if err := errors.Join(os.Mkdir(startDir, 0o700), os.WriteFile(filepath.Join(startDir, "pierlink.toml"), []byte(settings), 0o600),
			os.WriteFile(filepath.Join(startDir, "view"), viewFile[:rng.IntN(len(viewFile))], 0o600),
			os.WriteFile(filepath.Join(startDir, "standing"), encoded[:rng.IntN(len(encoded))], 0o600),
			os.WriteFile(filepath.Join(startDir, "1-0.dialogues"), journal[:rng.IntN(len(journal))], 0o600)); err != nil {
			return err
		}
		process, err := launch("cannot use the stored registry view", daemon, "serve", "-c", filepath.Join(startDir, "pierlink.toml"))
		if err != nil {
			crashed++
			p.Note("%v", err)
			continue
		}
		time.Sleep(30 * time.Millisecond)
		if err := process.cmd.Process.Signal(os.Interrupt); err != nil {
			crashed++
		}
		if err := process.cmd.Wait(); err != nil {
			crashed++
			p.Note("start from damaged files: %v", err)
		}
	}
	p.AtMost(float64(crashed), 0, "starts from damaged files that crashed, or did not say what they do without")
	p.Judged["starts from damaged files"] = starts
	return nil
}

// checkOutage plays a day on which half of the managers are killed at once and return. It compares the day with one
// on which returning managers don't end the sessions that they had left open at the boxes.
func (p *Proof) checkOutage(day *Day, log *zap.Logger) {
	var withRecovery, withoutRecovery *DayRun
	done := make(chan struct{})
	recovering, plain := *day, *day
	plain.RecoverOrphans = false
	go func() { defer close(done); withoutRecovery, _, _ = RunVirtual(&plain, nil, log) }()
	withRecovery, recording, _ := RunVirtual(&recovering, nil, log)
	<-done
	for _, verdict := range CheckRules(recording, day.Bounds(0)) {
		p.AtMost(float64(len(verdict.Violations)), 0, "outage of half: rule %d broken", verdict.Rule)
	}
	recoveryTally, plainTally := &withRecovery.Tally, &withoutRecovery.Tally
	p.Note("outage of half of the managers: revenue %.0f with recovery, %.0f without, %.0f offered", recoveryTally.Revenue, plainTally.Revenue, recoveryTally.OfferedRevenue)
	p.AtLeast(recoveryTally.Revenue/max(plainTally.Revenue, 1), 1, "outage of half: revenue with recovery over that without")
	p.AtLeast(recoveryTally.Revenue/max(recoveryTally.OfferedRevenue, 1), 0.8, "outage of half: revenue over all that was offered")
	p.Note("orphans on the boxes, mean over the day: %.1f with recovery, %.1f without", withRecovery.MeanOrphans, withoutRecovery.MeanOrphans)
	p.AtMost(withRecovery.MeanOrphans/max(withoutRecovery.MeanOrphans, 1e-9), 0.5, "outage of half: places taken by orphans, over those without recovery")
}
