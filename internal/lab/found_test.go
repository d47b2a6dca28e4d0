package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Days on which searches found the module doing badly: no rule may be broken, no consistency check may fail, and the goal
// must not fall below the floor given in the file.
func TestFoundDays(t *testing.T) {
	files, err := filepath.Glob("testdata/found/*.day")
	if err != nil || len(files) == 0 {
		t.Fatal("no days in testdata/found", err)
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
			day, err := Parse(name, string(text))
			if err != nil {
				t.Fatal(err)
			}
			row, err := Run(day, "")
			if err != nil {
				t.Fatal(err)
			}
			if row.Broken > 0 || row.Odd > 0 || row.Goal < floor {
				t.Errorf("goal %.3f (floor %.3f), %d broken rules, %d inconsistencies: %v", row.Goal, floor, row.Broken, row.Odd, row.Notes)
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
		t.Error("a range whose lower end is above its upper end was accepted")
	}
	out, err := SetValues("seed 1\nfleet managers=2 boxes=3 # two\nat 1 die\nat 2 drain boxes=1", map[string]string{"fleet.managers": "9", "at 2.boxes": "4", "load.rate": "5"})
	if err != nil || out != "seed 1\nfleet managers=9 boxes=3 # two\nat 1 die\nat 2 drain boxes=4\nload rate=5" {
		t.Errorf("%q %v", out, err)
	}
	if _, err := SetValues("seed 1", map[string]string{"at 3.boxes": "4"}); err == nil {
		t.Error("changing a trouble that does not exist gave no error")
	}
}
