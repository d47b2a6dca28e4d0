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

// processCPUSeconds returns the user and system CPU time of this process in seconds, or 0 if it is not available.
func processCPUSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	seconds := func(value syscall.Timeval) float64 { return float64(value.Sec) + float64(value.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}

// Prove checks that the results of the lab can be trusted: a full-size day ends within its time limit (not checked at
// the small size), gives the same digest on one processor as on all, has no accounting inconsistency, breaks no rule and
// reaches a minimum worth; CPU time grows about in proportion to the load; an experiment detects planted regressions and
// reports no difference between equal builds.
func Prove(seed uint64, size lab.Size, _ *zap.Logger) (*lab.Proof, error) {
	proof := &lab.Proof{Name: "lab", Seed: seed, Judged: map[string]int{}}
	fullDay, err := lab.Library("full")
	if err != nil {
		return nil, err
	}
	loadSeconds := map[lab.Size]string{lab.Small: "6", lab.Normal: "50", lab.Full: "50"}[size]
	text, err := lab.SetValues(fullDay.Text, map[string]string{"load.length": loadSeconds})
	if err != nil {
		return nil, err
	}
	if fullDay, err = lab.Parse("full", text); err != nil {
		return nil, err
	}
	if fullDay, err = fullDay.WithSeed(seed); err != nil {
		return nil, err
	}
	cores := runtime.GOMAXPROCS(0)
	start := time.Now()
	allCores, err := lab.Run(fullDay, "")
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	runtime.GOMAXPROCS(1)
	singleCore, err := lab.Run(fullDay, "")
	runtime.GOMAXPROCS(cores)
	if err != nil {
		return nil, err
	}
	if size != lab.Small {
		proof.AtMost(elapsed, 45, "seconds for a day of 300 boxes, 220 managers and %s s of asking", loadSeconds)
	}
	proof.Check(allCores.Digest == singleCore.Digest, boolToFloat(allCores.Digest == singleCore.Digest), "1", "one digest on 1 and on %d processors", cores)
	proof.AtMost(float64(allCores.Odd), 0, "things that do not add up: bytes, places, uplinks, askings")
	proof.AtMost(float64(allCores.Broken), 0, "broken rules on that day")
	proof.AtLeast(allCores.Goal, 0.3, "worth of that day")
	proof.Judged["askings"], proof.Judged["half seconds looked at"] = int(allCores.Asked), len(allCores.Points)
	proof.Note("day of full size: %.1f s of wall time, digest %s, worth %.3f of at most %.3f (unserved %.3f, late %.3f, lower rung %.3f, short %.3f)", elapsed,
		allCores.Digest, allCores.Goal, allCores.Best, allCores.Unserved, allCores.Late, allCores.LowRung, allCores.Short)
	for _, note := range allCores.Notes {
		proof.Note("%s", note)
	}

	// CPU time at half and at full rate, on the same fleet
	var costs []float64
	for _, rate := range []string{"55", "110"} {
		text, err := lab.SetValues(fullDay.Text, map[string]string{"load.rate": rate, "load.length": "6"})
		if err != nil {
			return nil, err
		}
		day, err := lab.Parse("full", text)
		if err != nil {
			return nil, err
		}
		if day, err = day.WithSeed(seed); err != nil {
			return nil, err
		}
		before := processCPUSeconds()
		if _, err := lab.Run(day, ""); err != nil {
			return nil, err
		}
		costs = append(costs, processCPUSeconds()-before)
	}
	proof.AtMost(costs[1]/costs[0], 2.4, "CPU for twice the playbacks, over that for once")

	// planted regressions, and a variant that differs only in its random draws
	dir, err := os.MkdirTemp("", "pierlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	spec := &Spec{Name: "proof", Days: []string{"plant"}, Seeds: fmt.Sprintf("%d..%d", 100*seed, 100*seed+19), Variants: []Variant{{Name: "base"},
		{Name: "same", PlantedChange: "other-chance"}, {Name: "lower brim", PlantedChange: "lower-brim"}, {Name: "deaf", PlantedChange: "deaf-to-drains"}}}
	start = time.Now()
	rows, err := spec.Run(dir, io.Discard)
	if err != nil {
		return nil, err
	}
	proof.AtMost(time.Since(start).Seconds(), 300, "seconds for the experiment of %d days", len(rows))
	worthDifference := func(variant string) Difference { return Compare(rows, "base", variant)[0] }
	equalBuild, lowerBrim := worthDifference("same"), worthDifference("lower brim")
	proof.Check(!equalBuild.Significant(), equalBuild.Mean, "interval holds 0", "difference of worth between two equal builds")
	proof.Check(lowerBrim.High < 0, lowerBrim.Mean, "interval under 0", "difference of worth with the brim lowered")
	brokenWithoutGuard := 0
	for _, row := range variantRows(rows, "deaf") {
		brokenWithoutGuard += int(row.Broken)
	}
	brokenUnchanged := 0
	for _, row := range append(variantRows(rows, "base"), variantRows(rows, "same")...) {
		brokenUnchanged += int(row.Broken)
	}
	proof.AtLeast(float64(brokenWithoutGuard), 1, "broken rules with a guard taken out")
	proof.AtMost(float64(brokenUnchanged), 0, "broken rules without")
	proof.Judged["days of the experiment"] = len(rows)
	proof.Note("worth: equal builds %+.4f (%.4f to %.4f), lower brim %+.4f (%.4f to %.4f)", equalBuild.Mean, equalBuild.Low, equalBuild.High, lowerBrim.Mean, lowerBrim.Low, lowerBrim.High)
	return proof, nil
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
