package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
)

// Criterion is a figure that a proof measures, with the bound that it must meet.
type Criterion struct {
	Description string  `json:"aim"`
	Bound       string  `json:"bound"`
	Measured    float64 `json:"measured"`
	OK          bool    `json:"ok"`
}

// Proof is the result of a proof: an experiment with pass criteria, which "pierlab prove" runs.
type Proof struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	OK       bool           `json:"ok"`
	Criteria []Criterion    `json:"aims"`
	Judged   map[string]int `json:"judged"` // numbers of cases checked, by kind
	Notes    []string       `json:"-"`      // further lines of the text output
}

// Size selects the extent of a proof.
type Size int

// The sizes of a proof, from the shortest to the longest.
const (
	Small Size = iota
	Normal
	Full
)

// Proofs holds the proofs by name.
var Proofs = map[string]func(seed uint64, size Size, log *zap.Logger) (*Proof, error){
	"path":         provePath,
	"path-virtual": proveVirtual,
	"fair":         proveFair,
	"registry":     proveRegistry,
	"fleet":        proveFleet,
	"tenants":      proveTenants,
	"quality":      proveQuality,
}

// Check adds a criterion with its result. The format describes what was measured.
func (p *Proof) Check(ok bool, measured float64, bound, format string, a ...any) {
	p.Criteria = append(p.Criteria, Criterion{Description: fmt.Sprintf(format, a...), Bound: bound, Measured: measured, OK: ok})
}

// AtLeast adds a criterion with a lower bound.
func (p *Proof) AtLeast(measured, bound float64, format string, a ...any) {
	p.Check(measured >= bound, measured, fmt.Sprintf("at least %g", bound), format, a...)
}

// AtMost adds a criterion with an upper bound.
func (p *Proof) AtMost(measured, bound float64, format string, a ...any) {
	p.Check(measured <= bound, measured, fmt.Sprintf("at most %g", bound), format, a...)
}

// Note adds a line to the text output.
func (p *Proof) Note(format string, a ...any) { p.Notes = append(p.Notes, fmt.Sprintf(format, a...)) }

// checkRules adds a criterion for each rule: no violation, and at least one case judged.
func (p *Proof) checkRules(verdicts []Verdict) {
	for _, verdict := range verdicts {
		p.Judged[fmt.Sprintf("rule %d", verdict.Rule)] = verdict.Cases
		p.Check(verdict.Passed(), float64(len(verdict.Violations)), "0 broken, 1 or more judged", "rule %d: %s", verdict.Rule, verdict.Name)
		for i, violation := range verdict.Violations {
			if i < 5 {
				p.Note("rule %d broken: %s", verdict.Rule, violation)
			}
		}
	}
}

// Write sets the overall result and writes the proof twice: as a text table, and as a line of JSON.
func (p *Proof) Write(table, jsonOut io.Writer) error {
	p.OK = true
	for _, criterion := range p.Criteria {
		outcome := "ok  "
		if !criterion.OK {
			p.OK, outcome = false, "FAIL"
		}
		fmt.Fprintf(table, "%s  %-58s %12.6g   (%s)\n", outcome, criterion.Description, criterion.Measured, criterion.Bound)
	}
	for _, note := range p.Notes {
		fmt.Fprintln(table, "     ", note)
	}
	return json.NewEncoder(jsonOut).Encode(p)
}

// withRateFactor returns a copy of a day with its rate of playbacks multiplied by a factor.
func (d *Day) withRateFactor(factor float64) *Day {
	day := *d
	day.ArrivalRate *= factor
	return &day
}

// provePath plays the day "bad-path" on loopback sockets.
func provePath(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	day, err := Library("bad-path")
	if err != nil {
		return nil, err
	}
	day.Seed = seed
	least := 2000.0
	switch size {
	case Small:
		day, least = day.withRateFactor(0.5), 1000
	case Full:
		day, least = day.withRateFactor(2), 4000
	}
	p := &Proof{Name: "path", Seed: seed, Judged: map[string]int{}}
	play, recording, err := Loopback(day, func(env *LoopbackEnvironment, recording *Recording) *DayRun {
		return StartDay(day, env, recording, nil, log)
	})
	if err != nil {
		return nil, err
	}
	p.checkDay(play, recording, day, day.Plans[0].Abandon/40, least)
	return p, nil
}

// noteWorth adds a note with the worth of a day and its parts.
func (p *Proof) noteWorth(worth *Score) {
	p.Note("worth %.3f: whole %.3f, worst 10 s %.3f, worst plan %.3f, prices %.3f; at most %.3f by what links give", worth.Goal, worth.Whole, worth.Worst,
		worth.WorstPlan, worth.Prices, worth.Best)
}

// checkDay adds the criteria that every day with troubles must meet.
func (p *Proof) checkDay(play *DayRun, recording *Recording, day *Day, slack Time, least float64) {
	tally := &play.Tally
	p.Note("%s", tally.Summary())
	p.Note("troubles played: %v", tally.TroublesByKind)
	p.checkRules(CheckRules(recording, day.Bounds(slack)))
	p.AtLeast(float64(tally.Attempts), least, "playbacks asked for")
	p.AtLeast(float64(tally.Played)/float64(max(tally.Attempts, 1)), 0.4, "part of them that played")
	p.AtMost(float64(tally.Unsolicited), 0, "answers that nothing asked for")
	p.AtMost(float64(tally.Crashes), 0, "boxes pushed over")
	p.AtMost(float64(tally.FrontStats.Overdue), 0, "answers in the module's place")
	p.AtMost(float64(tally.FrontStats.Playbacks), 0, "playbacks left over at the managers")
	p.AtMost(float64(len(day.Troubles)-sumCounts(tally.TroublesByKind)), 0, "scripted troubles that were not played")
	p.Judged["playbacks"], p.Judged["troubles"] = tally.Attempts, sumCounts(tally.TroublesByKind)
}

// sumCounts returns the sum of a map's values.
func sumCounts(counts map[string]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}

// proveVirtual plays the day "bad-path-virtual" twice with the same seed on the virtual network. Besides the criteria
// of the day, both runs must have the same digest.
func proveVirtual(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "path-virtual", Seed: seed, Judged: map[string]int{}}
	type run struct {
		play      *DayRun
		recording *Recording
		network   *VirtualNet
	}
	var runs [2]run
	var wait sync.WaitGroup
	least := 20000.0
	day, err := Library("bad-path-virtual")
	if err != nil {
		return nil, err
	}
	day.Seed = seed
	if size == Small {
		day, least = day.withRateFactor(0.2), 4000
	}
	began := time.Now()
	for i := range runs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			dayCopy := *day
			runs[i].play, runs[i].recording, runs[i].network = RunVirtual(&dayCopy, nil, log)
		}()
	}
	wait.Wait()
	took := time.Since(began).Seconds()
	first, second := runs[0], runs[1]
	p.checkDay(first.play, first.recording, day, 0, least)
	sameDigest := 0.0
	if first.network.Digest() == second.network.Digest() {
		sameDigest = 1
	}
	p.Check(sameDigest == 1, sameDigest, "1", "two runs of one seed give one digest")
	p.Judged["splits"], p.Judged["cuts"] = first.network.Splits, first.network.Cuts
	p.Note("digest %016x; %.1f s of day in %.1f s", first.network.Digest(), float64(first.play.Duration())/float64(core.Second), took)
	return p, nil
}

// PlayDay plays a day and judges the rules. A rule of which no case came up is noted and does not fail the day.
func PlayDay(day *Day, virtual bool, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: day.Name, Seed: day.Seed, Judged: map[string]int{}}
	var play *DayRun
	var recording *Recording
	slack := Time(0)
	if day.Processes {
		return nil, fmt.Errorf("%s: a day with troubles of processes can be played only by pierlab prove fleet", day.Name)
	}
	if day.Registry != nil && !virtual {
		return nil, fmt.Errorf("%s: a day with a registry needs the virtual network (--virtual)", day.Name)
	}
	if virtual {
		play, recording, _ = RunVirtual(day, nil, log)
		p.noteWorth(play.Score(recording))
		p.AtMost(float64(play.Inconsistencies), 0, "things that do not add up in the emulation")
		for _, oddity := range play.InconsistencyNotes {
			p.Note("odd: %s", oddity)
		}
	} else {
		var err error
		slack = day.Plans[0].Abandon / 40
		play, recording, err = Loopback(day, func(env *LoopbackEnvironment, recording *Recording) *DayRun {
			return StartDay(day, env, recording, nil, log)
		})
		if err != nil {
			return nil, err
		}
	}
	p.Note("%s", play.Tally.Summary())
	for _, verdict := range CheckRules(recording, day.Bounds(slack)) {
		name := fmt.Sprintf("rule %d", verdict.Rule)
		p.Judged[name] = verdict.Cases
		p.Check(len(verdict.Violations) == 0, float64(len(verdict.Violations)), fmt.Sprintf("0 broken of %d", verdict.Cases), "%s: %s", name, verdict.Name)
		if verdict.Cases == 0 {
			p.Note("%s: no case came up", name)
		}
		for i, violation := range verdict.Violations {
			if i < 5 {
				p.Note("%s broken: %s", name, violation)
			}
		}
	}
	return p, nil
}
