package experiment

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pierlink/internal/lab"
)

// testRows returns n rows of a variant whose level differs widely between days: shift moves the goal and the whole,
// worst moves the worst 10 s.
func testRows(variant string, shift, worst float64, n int) (all []*lab.Row) {
	rng := rand.New(rand.NewPCG(1, uint64(len(variant))))
	for i := range n {
		all = append(all, &lab.Row{Variant: variant, Day: "d", Seed: int64(i), Goal: 0.5 + 0.1*float64(i%5) + shift + 0.01*rng.NormFloat64(),
			Whole: 0.5 + 0.1*float64(i%5) + shift + 0.01*rng.NormFloat64(), Worst: 0.4 + worst + 0.01*rng.NormFloat64()})
	}
	return all
}

// Paired comparison detects a shift far below the spread between days, reports none between equal variants, and
// calls nothing significant with a single pair. The report states when a variant is worse overall but better in the
// worst 10 s.
func TestCompare(t *testing.T) {
	all := append(testRows("base", 0, 0, 20), append(testRows("worse", -0.02, 0.05, 20), testRows("none", 0, 0, 20)...)...)
	if d := Compare(all, "base", "worse")[0]; !d.Significant() || d.Verdict() != "worse" || d.Pairs != 20 {
		t.Errorf("variant with a shift of -0.02: got %+v, expected worse with 20 pairs", d)
	}
	if d := Compare(all, "base", "none")[0]; d.Significant() {
		t.Errorf("equal variants: got a significant difference %+v", d)
	}
	if d := Compare(all[:21], "base", "worse")[0]; d.Significant() {
		t.Errorf("single pair: got a significant difference %+v", d)
	}
	spec := &Spec{Name: "n", Seeds: "1..20", Variants: []Variant{{Name: "base"}, {Name: "worse"}}}
	if report := spec.report(all, nil); !strings.Contains(report, "On the whole it is worse, in the worst 10 s better.") {
		t.Error(report)
	}
}

// Read rejects invalid experiment files. A repeated run takes all results from the stored rows, and the Parquet files
// hold the same rows.
func TestReadRunAndResume(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		path := filepath.Join(dir, "x.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, invalid := range []string{"", "name='a'\ndays=['search']\nseeds='9..1'\n[[variant]]\nname='b'", "name='a'\nseeds='1'\ndays=['search']",
		"name='a'\ndays=['search']\nseeds='1'\nwhat=1\n[[variant]]\nname='b'", "name='a'\ndays=['search']\nseeds='1'\n[[variant]]\nname='b'\n[[variant]]\nname='b'"} {
		if _, err := Read(write(invalid)); err == nil {
			t.Errorf("invalid experiment file accepted: %q", invalid)
		}
	}
	spec, err := Read(write("name='a'\ndays=['search']\nseeds='3,4'\n[[variant]]\nname='b'\nset={'load.length'='2'}\n[[variant]]\nname='c'\npolicy='random'\nset={'load.length'='2'}"))
	if err != nil {
		t.Fatal(err)
	}
	var progress bytes.Buffer
	first, err := spec.Run(filepath.Join(dir, "o"), &progress)
	if err != nil || len(first) != 4 {
		t.Fatal(first, err)
	}
	if err := spec.WriteResults(filepath.Join(dir, "o"), first); err != nil {
		t.Fatal(err)
	}
	progress.Reset()
	resumed, err := spec.Run(filepath.Join(dir, "o"), &progress)
	if err != nil || !strings.Contains(progress.String(), "4 cached") || resumed[2].Digest != first[2].Digest {
		t.Error(err, progress.String())
	}
	stored, err := ReadRows(filepath.Join(dir, "o"))
	if err != nil || len(stored) != 4 || stored[3].Goal != first[3].Goal || len(stored[3].Points) != len(first[3].Points) {
		t.Error(stored, err)
	}
}
