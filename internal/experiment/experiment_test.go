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

func testRows(variant string, shift, worst float64, n int) (all []*lab.Row) {
	rng := rand.New(rand.NewPCG(1, uint64(len(variant))))
	for i := range n {
		all = append(all, &lab.Row{Variant: variant, Day: "d", Seed: int64(i), Goal: 0.5 + 0.1*float64(i%5) + shift + 0.01*rng.NormFloat64(),
			Whole: 0.5 + 0.1*float64(i%5) + shift + 0.01*rng.NormFloat64(), Worst: 0.4 + worst + 0.01*rng.NormFloat64()})
	}
	return all
}

// A shift far under the spread between days is found by pairs; none is found where there is none; a variant that
// loses on the whole and wins in the worst 10 s is told so.
func TestCompare(t *testing.T) {
	all := append(testRows("base", 0, 0, 20), append(testRows("worse", -0.02, 0.05, 20), testRows("none", 0, 0, 20)...)...)
	if d := Compare(all, "base", "worse")[0]; !d.Significant() || d.Verdict() != "worse" || d.Pairs != 20 {
		t.Errorf("%+v", d)
	}
	if d := Compare(all, "base", "none")[0]; d.Significant() {
		t.Errorf("%+v", d)
	}
	if d := Compare(all[:21], "base", "worse")[0]; d.Significant() {
		t.Errorf("one pair tells nothing: %+v", d)
	}
	p := &Spec{Name: "n", Seeds: "1..20", Variants: []Variant{{Name: "base"}, {Name: "worse"}}}
	if text := p.report(all, nil); !strings.Contains(text, "On the whole it is worse, in the worst 10 s better.") {
		t.Error(text)
	}
}

func TestPlan(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		f := filepath.Join(dir, "x.toml")
		if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return f
	}
	for _, bad := range []string{"", "name='a'\ndays=['search']\nseeds='9..1'\n[[variant]]\nname='b'", "name='a'\nseeds='1'\ndays=['search']",
		"name='a'\ndays=['search']\nseeds='1'\nwhat=1\n[[variant]]\nname='b'", "name='a'\ndays=['search']\nseeds='1'\n[[variant]]\nname='b'\n[[variant]]\nname='b'"} {
		if _, err := Read(write(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	p, err := Read(write("name='a'\ndays=['search']\nseeds='3,4'\n[[variant]]\nname='b'\nset={'load.length'='2'}\n[[variant]]\nname='c'\npolicy='random'\nset={'load.length'='2'}"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	first, err := p.Run(filepath.Join(dir, "o"), &out)
	if err != nil || len(first) != 4 {
		t.Fatal(first, err)
	}
	if err := p.WriteResults(filepath.Join(dir, "o"), first); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	again, err := p.Run(filepath.Join(dir, "o"), &out)
	if err != nil || !strings.Contains(out.String(), "4 were there") || again[2].Digest != first[2].Digest {
		t.Error(err, out.String())
	}
	back, err := ReadRows(filepath.Join(dir, "o"))
	if err != nil || len(back) != 4 || back[3].Goal != first[3].Goal || len(back[3].Points) != len(first[3].Points) {
		t.Error(back, err)
	}
}
