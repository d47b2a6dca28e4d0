package experiment

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/lab"
)

func init() { lab.Proofs["lab"] = Prove }

// processCPUSeconds is the CPU seconds of this process.
func processCPUSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	s := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return s(u.Utime) + s(u.Stime)
}

// Prove shows that the laboratory can be trusted: a day of full size in time, the same on any number of
// processors, nothing that does not add up, a planted regression found and none found where there is none.
func Prove(seed uint64, size lab.Size, _ *zap.Logger) (*lab.Proof, error) {
	p := &lab.Proof{Name: "lab", Seed: seed, Judged: map[string]int{}}
	full, err := lab.Library("full")
	if err != nil {
		return nil, err
	}
	length := map[lab.Size]string{lab.Small: "6", lab.Usual: "50", lab.Full: "50"}[size]
	text, err := lab.Set(full.Text, map[string]string{"load.length": length})
	if err != nil {
		return nil, err
	}
	if full, err = lab.Parse("full", text); err != nil {
		return nil, err
	}
	if full, err = full.With(seed); err != nil {
		return nil, err
	}
	cores := runtime.GOMAXPROCS(0)
	began := time.Now()
	many, err := lab.Run(full, "")
	if err != nil {
		return nil, err
	}
	took := time.Since(began).Seconds()
	runtime.GOMAXPROCS(1)
	one, err := lab.Run(full, "")
	runtime.GOMAXPROCS(cores)
	if err != nil {
		return nil, err
	}
	if size != lab.Small {
		p.AtMost(took, 45, "seconds for a day of 300 boxes, 220 managers and %s s of asking", length)
	}
	p.Check(many.Digest == one.Digest, boolToFloat(many.Digest == one.Digest), "1", "one digest on 1 and on %d processors", cores)
	p.AtMost(float64(many.Odd), 0, "things that do not add up: bytes, places, uplinks, askings")
	p.AtMost(float64(many.Broken), 0, "broken rules on that day")
	p.AtLeast(many.Goal, 0.3, "worth of that day")
	p.Judged["askings"], p.Judged["half seconds looked at"] = int(many.Asked), len(many.Points)
	p.Note("day of full size: %.1f s of wall time, digest %s, worth %.3f of at most %.3f (unserved %.3f, late %.3f, lower rung %.3f, short %.3f)", took,
		many.Digest, many.Goal, many.Best, many.Unserved, many.Late, many.LowRung, many.Short)
	for _, n := range many.Notes {
		p.Note("%s", n)
	}

	// cost against load, on the same fleet
	var costs []float64
	for _, rate := range []string{"55", "110"} {
		text, err := lab.Set(full.Text, map[string]string{"load.rate": rate, "load.length": "6"})
		if err != nil {
			return nil, err
		}
		d, err := lab.Parse("full", text)
		if err != nil {
			return nil, err
		}
		if d, err = d.With(seed); err != nil {
			return nil, err
		}
		before := processCPUSeconds()
		if _, err := lab.Run(d, ""); err != nil {
			return nil, err
		}
		costs = append(costs, processCPUSeconds()-before)
	}
	p.AtMost(costs[1]/costs[0], 2.4, "CPU for twice the playbacks, over that for once")

	// a planted regression, and none
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	x := &Spec{Name: "proof", Days: []string{"plant"}, Seeds: fmt.Sprintf("%d..%d", 100*seed, 100*seed+19), Variants: []Variant{{Name: "base"},
		{Name: "same", PlantedChange: "other-chance"}, {Name: "lower brim", PlantedChange: "lower-brim"}, {Name: "deaf", PlantedChange: "deaf-to-drains"}}}
	began = time.Now()
	rows, err := x.Run(dir, io.Discard)
	if err != nil {
		return nil, err
	}
	p.AtMost(time.Since(began).Seconds(), 300, "seconds for the experiment of %d days", len(rows))
	worth := func(variant string) Difference { return Compare(rows, "base", variant)[0] }
	same, brim := worth("same"), worth("lower brim")
	p.Check(!same.Significant(), same.Mean, "interval holds 0", "difference of worth between two equal builds")
	p.Check(brim.High < 0, brim.Mean, "interval under 0", "difference of worth with the brim lowered")
	broken := 0
	for _, r := range variantRows(rows, "deaf") {
		broken += int(r.Broken)
	}
	good := 0
	for _, r := range append(variantRows(rows, "base"), variantRows(rows, "same")...) {
		good += int(r.Broken)
	}
	p.AtLeast(float64(broken), 1, "broken rules with a guard taken out")
	p.AtMost(float64(good), 0, "broken rules without")
	p.Judged["days of the experiment"] = len(rows)
	p.Note("worth: equal builds %+.4f (%.4f to %.4f), lower brim %+.4f (%.4f to %.4f)", same.Mean, same.Low, same.High, brim.Mean, brim.Low, brim.High)
	return p, nil
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
