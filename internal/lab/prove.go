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

// Aim is one thing that a proof is to show.
type Criterion struct {
	Description string  `json:"aim"`
	Bound       string  `json:"bound"`
	Measured    float64 `json:"measured"`
	OK          bool    `json:"ok"`
}

// Proof is a proof's outcome.
type Proof struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	OK       bool           `json:"ok"`
	Criteria []Criterion    `json:"aims"`
	Judged   map[string]int `json:"judged"`
	Notes    []string       `json:"-"` // for people
}

// Size is how large a proof is played.
type Size int

// The sizes.
const (
	Small Size = iota
	Usual
	Full
)

// Proofs by name.
var Proofs = map[string]func(seed uint64, size Size, log *zap.Logger) (*Proof, error){
	"path":         provePath,
	"path-virtual": proveVirtual,
	"fair":         proveFair,
	"registry":     proveRegistry,
	"fleet":        proveFleet,
	"tenants":      proveTenants,
	"quality":      proveQuality,
}

// Check adds an aim with what was measured.
func (p *Proof) Check(ok bool, measured float64, bound, format string, a ...any) {
	p.Criteria = append(p.Criteria, Criterion{Description: fmt.Sprintf(format, a...), Bound: bound, Measured: measured, OK: ok})
}

// AtLeast adds an aim that a figure must reach.
func (p *Proof) AtLeast(x, bound float64, format string, a ...any) {
	p.Check(x >= bound, x, fmt.Sprintf("at least %g", bound), format, a...)
}

// AtMost adds an aim that a figure must not pass.
func (p *Proof) AtMost(x, bound float64, format string, a ...any) {
	p.Check(x <= bound, x, fmt.Sprintf("at most %g", bound), format, a...)
}

// Note adds a line for people.
func (p *Proof) Note(format string, a ...any) { p.Notes = append(p.Notes, fmt.Sprintf(format, a...)) }

// rules adds an aim for each rule: no case broken, at least one judged.
func (p *Proof) checkRules(verdicts []Verdict) {
	for _, v := range verdicts {
		p.Judged[fmt.Sprintf("rule %d", v.Rule)] = v.Judged
		p.Check(v.Kept(), float64(len(v.Broken)), "0 broken, 1 or more judged", "rule %d: %s", v.Rule, v.Name)
		for i, x := range v.Broken {
			if i < 5 {
				p.Note("rule %d broken: %s", v.Rule, x)
			}
		}
	}
}

// Write prints a table for people, and the JSON line for programs.
func (p *Proof) Write(people, programs io.Writer) error {
	p.OK = true
	for _, a := range p.Criteria {
		mark := "ok  "
		if !a.OK {
			p.OK, mark = false, "FAIL"
		}
		fmt.Fprintf(people, "%s  %-58s %12.6g   (%s)\n", mark, a.Description, a.Measured, a.Bound)
	}
	for _, n := range p.Notes {
		fmt.Fprintln(people, "     ", n)
	}
	return json.NewEncoder(programs).Encode(p)
}

// scaled takes a day to a part of its load.
func (d *Day) withRateFactor(by float64) *Day {
	x := *d
	x.Rate *= by
	return &x
}

func provePath(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	d, err := Library("bad-path")
	if err != nil {
		return nil, err
	}
	d.Seed = seed
	least := 2000.0
	switch size {
	case Small:
		d, least = d.withRateFactor(0.5), 1000
	case Full:
		d, least = d.withRateFactor(2), 4000
	}
	p := &Proof{Name: "path", Seed: seed, Judged: map[string]int{}}
	play, tape, err := Loopback(d, func(l *LoopbackEnvironment, t *Tape) *Play { return Begin(d, l, t, nil, log) })
	if err != nil {
		return nil, err
	}
	p.checkDay(play, tape, d, d.Plans[0].Abandon/40, least)
	return p, nil
}

// worth notes a day's worth.
func (p *Proof) noteWorth(w *Worth) {
	p.Note("worth %.3f: whole %.3f, worst 10 s %.3f, worst plan %.3f, prices %.3f; at most %.3f by what links give", w.Goal, w.Whole, w.Worst,
		w.WorstPlan, w.Prices, w.Best)
}

// day adds what any bad day must show.
func (p *Proof) checkDay(play *Play, tape *Tape, d *Day, slack Time, least float64) {
	t := &play.Tally
	p.Note("%s", t.Summary())
	p.Note("troubles played: %v", t.ByKind)
	p.checkRules(Judge(tape, d.Bounds(slack)))
	p.AtLeast(float64(t.Asked), least, "playbacks asked for")
	p.AtLeast(float64(t.Played)/float64(max(t.Asked, 1)), 0.4, "part of them that played")
	p.AtMost(float64(t.Unasked), 0, "answers that nothing asked for")
	p.AtMost(float64(t.Fell), 0, "boxes pushed over")
	p.AtMost(float64(t.Fronts.Overdue), 0, "answers in the module's place")
	p.AtMost(float64(t.Fronts.Playbacks), 0, "playbacks left over at the managers")
	p.AtMost(float64(len(d.Troubles)-sumCounts(t.ByKind)), 0, "scripted troubles that were not played")
	p.Judged["playbacks"], p.Judged["troubles"] = t.Asked, sumCounts(t.ByKind)
}

func sumCounts(m map[string]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
}

func proveVirtual(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "path-virtual", Seed: seed, Judged: map[string]int{}}
	type run struct {
		play *Play
		tape *Tape
		w    *World
	}
	var runs [2]run
	var wait sync.WaitGroup
	least := 20000.0
	d, err := Library("bad-path-virtual")
	if err != nil {
		return nil, err
	}
	d.Seed = seed
	if size == Small {
		d, least = d.withRateFactor(0.2), 4000
	}
	began := time.Now()
	for i := range runs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			x := *d
			runs[i].play, runs[i].tape, runs[i].w = Virtual(&x, nil, log)
		}()
	}
	wait.Wait()
	took := time.Since(began).Seconds()
	a, b := runs[0], runs[1]
	p.checkDay(a.play, a.tape, d, 0, least)
	same := 0.0
	if a.w.Digest() == b.w.Digest() {
		same = 1
	}
	p.Check(same == 1, same, "1", "two runs of one seed give one digest")
	p.Judged["splits"], p.Judged["cuts"] = a.w.Splits, a.w.Cuts
	p.Note("digest %016x; %.1f s of day in %.1f s", a.w.Digest(), float64(a.play.Length())/float64(core.Second), took)
	return p, nil
}

// PlayDay plays any day and judges the rules; rules of which no case came up are told, not held against it.
func PlayDay(d *Day, virtual bool, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: d.Name, Seed: d.Seed, Judged: map[string]int{}}
	var play *Play
	var tape *Tape
	slack := Time(0)
	if d.Processes {
		return nil, fmt.Errorf("%s: a day with troubles of processes is played by pierlab prove fleet", d.Name)
	}
	if d.Registry != nil && !virtual {
		return nil, fmt.Errorf("%s: a day with a registry is played on the virtual network: --virtual", d.Name)
	}
	if virtual {
		play, tape, _ = Virtual(d, nil, log)
		p.noteWorth(play.Count(tape))
		p.AtMost(float64(play.Odd), 0, "things that do not add up in the emulation")
		for _, x := range play.Oddities {
			p.Note("odd: %s", x)
		}
	} else {
		var err error
		slack = d.Plans[0].Abandon / 40
		play, tape, err = Loopback(d, func(l *LoopbackEnvironment, t *Tape) *Play { return Begin(d, l, t, nil, log) })
		if err != nil {
			return nil, err
		}
	}
	p.Note("%s", play.Tally.Summary())
	for _, v := range Judge(tape, d.Bounds(slack)) {
		name := fmt.Sprintf("rule %d", v.Rule)
		p.Judged[name] = v.Judged
		p.Check(len(v.Broken) == 0, float64(len(v.Broken)), fmt.Sprintf("0 broken of %d", v.Judged), "%s: %s", name, v.Name)
		if v.Judged == 0 {
			p.Note("%s: no case came up", name)
		}
		for i, x := range v.Broken {
			if i < 5 {
				p.Note("%s broken: %s", name, x)
			}
		}
	}
	return p, nil
}
