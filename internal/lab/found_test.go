package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Days that searches found stay kept: no rule broken, nothing that does not add up, worth over the floor that
// stands in the file.
func TestFoundDays(t *testing.T) {
	files, err := filepath.Glob("testdata/found/*.day")
	if err != nil || len(files) == 0 {
		t.Fatal("no found days", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			floor := -1.0
			for line := range strings.SplitSeq(string(text), "\n") {
				_, _ = fmt.Sscanf(line, "# floor %g", &floor)
			}
			d, err := Parse(name, string(text))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(d, "")
			if err != nil {
				t.Fatal(err)
			}
			if r.Broken > 0 || r.Odd > 0 || r.Goal < floor {
				t.Errorf("worth %.3f (floor %.3f), %d broken rules, %d odd: %v", r.Goal, floor, r.Broken, r.Odd, r.Notes)
			}
		})
	}
}

func TestDraws(t *testing.T) {
	a, err := drawRanges("at 1~3 die boxes=10~30 part=0.2~0.6", 7)
	b, _ := drawRanges("at 1~3 die boxes=10~30 part=0.2~0.6", 7)
	c, _ := drawRanges("at 1~3 die boxes=10~30 part=0.2~0.6", 8)
	if err != nil || a != b || a == c || strings.Contains(a, "~") {
		t.Error(a, b, c, err)
	}
	if _, err := drawRanges("x=3~1", 1); err == nil {
		t.Error("a range from above was taken")
	}
	out, err := Set("seed 1\nfleet managers=2 boxes=3 # two\nat 1 die\nat 2 drain boxes=1", map[string]string{"fleet.managers": "9", "at 2.boxes": "4", "load.rate": "5"})
	if err != nil || out != "seed 1\nfleet managers=9 boxes=3 # two\nat 1 die\nat 2 drain boxes=4\nload rate=5" {
		t.Errorf("%q %v", out, err)
	}
	if _, err := Set("seed 1", map[string]string{"at 3.boxes": "4"}); err == nil {
		t.Error("a trouble that is not there was changed")
	}
}
