package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Search looks for days on which the session manager does badly: it mutates a day at random, keeps the worst
// mutants, and minimizes the worst of them.
type Search struct {
	Seed      uint64
	Duration  time.Duration
	Progress  io.Writer
	MaxRounds int    // number of rounds, whatever the time; 0 for as many as fit
	Objective string // "worth" for lost revenue, or "answers" for failed, abandoned and late playbacks, whatever the capacity
}

// FoundDay is a day found by a search.
type FoundDay struct {
	Text    string
	Row     *Row
	DaysRun int
}

// badness returns how badly a day went: the goal that was lost compared with the upper bound. A broken rule or a
// failed consistency check counts for more than anything else.
func (s *Search) badness(row *Row) float64 {
	badness := max(row.Best, 0.05) - row.Goal
	if s.Objective == "answers" {
		badness = row.Late + float64(row.Failed+row.Abandoned)/float64(max(row.Asked, 1))
	}
	if row.Broken > 0 {
		badness += 10
	}
	if row.Odd > 0 {
		badness += 100
	}
	return badness
}

const (
	keptBadness     = 0.9  // share of a day's badness that a minimized day must keep
	maxTroubleLines = 12   // of a mutated day
	maxChange       = 0.35 // largest relative change of a parameter
)

// searchParameters are the words that a search changes, with their bounds.
var searchParameters = []struct {
	key      string
	lo, hi   float64
	integral bool
}{
	{"load.rate", 10, 120, false}, {"load.titles", 1, 200, true}, {"load.zipf", 0, 1.6, false}, {"load.break", 0.1, 2, false},
	{"load.returns", 0, 4, true}, {"load.small", 0, 1, false}, {"fleet.link", 60, 1200, false}, {"fleet.uplink", 200, 4000, false},
	{"fleet.places", 5, 80, true}, {"fleet.notedelay", 0.1, 2, false}, {"fleet.noteevery", 0.5, 4, false}, {"fleet.notice", 0.1, 2, false},
	{"fleet.spread", 0, 1, false}, {"terms.coldfrom", 0.1, 0.6, false}, {"terms.warmup", 2, 12, false}, {"terms.comeagain", 0.5, 4, false},
	{"net.latency", 0.0002, 0.02, false}, {"net.across", 0.001, 0.05, false}, {"net.cut", 0, 0.002, false}, {"net.split", 0, 0.3, false},
}

// searchTroubles are the kinds of trouble that a search adds.
var searchTroubles = []string{"die", "vanish", "drain", "errors", "lost-answers", "late-answers", "stuck", "cut-answers", "slow", "neighbour", "reports-late",
	"surge", "crowd", "repeat", "leave", "kill", "stand-still", "zone-cut", "sag", "overspeed"}

// mutate makes one to three random changes to a day's text.
func mutate(text string, rng *rand.Rand) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for range 1 + rng.IntN(3) {
		var troubleLines []int
		for i, dayLine := range lines {
			if strings.HasPrefix(dayLine, "at ") {
				troubleLines = append(troubleLines, i)
			}
		}
		switch choice := rng.IntN(10); {
		case choice < 4: // change a parameter
			parameter := searchParameters[rng.IntN(len(searchParameters))]
			line, word, _ := strings.Cut(parameter.key, ".")
			current := (parameter.lo + parameter.hi) / 2
			for _, dayLine := range lines {
				fields := strings.Fields(dayLine)
				for _, field := range fields {
					if key, valueText, ok := strings.Cut(field, "="); ok && key == word && fields[0] == line {
						if value, err := strconv.ParseFloat(valueText, 64); err == nil {
							current = value
						}
					}
				}
			}
			value := current * (1 + maxChange*(2*rng.Float64()-1))
			if rng.IntN(5) == 0 {
				value = parameter.lo + (parameter.hi-parameter.lo)*rng.Float64()
			}
			value = min(max(value, parameter.lo), parameter.hi)
			newText := strconv.FormatFloat(value, 'g', 4, 64)
			if parameter.integral {
				newText = strconv.Itoa(int(value + 0.5))
			}
			if out, err := SetValues(strings.Join(lines, "\n"), map[string]string{parameter.key: newText}); err == nil {
				lines = strings.Split(out, "\n")
			}
		case choice < 8 && len(troubleLines) < maxTroubleLines: // add a trouble
			kind := searchTroubles[rng.IntN(len(searchTroubles))]
			troubleLine := fmt.Sprintf("at %.1f %s for=%.1f", 1+9*rng.Float64(), kind, 0.5+4*rng.Float64())
			switch kind {
			case "die", "vanish": // the box must not restart before the list reports it gone, as no manager could then keep to its cold pace
				troubleLine = fmt.Sprintf("at %.1f %s for=%.1f boxes=%d", 1+7*rng.Float64(), kind, 3+2*rng.Float64(), 1+rng.IntN(6))
			case "kill", "stand-still":
				troubleLine += fmt.Sprintf(" managers=%d", 1+rng.IntN(4))
			case "surge", "sag", "slow", "overspeed", "reports-late", "late-answers":
				troubleLine += fmt.Sprintf(" size=%.1f boxes=%d part=%.1f", 1.2+3*rng.Float64(), 1+rng.IntN(6), 0.2+0.8*rng.Float64())
			default:
				troubleLine += fmt.Sprintf(" boxes=%d part=%.1f", 1+rng.IntN(6), 0.2+0.8*rng.Float64())
			}
			lines = append(lines, troubleLine)
		case len(troubleLines) > 0: // remove a trouble, or change its time
			i := troubleLines[rng.IntN(len(troubleLines))]
			if rng.IntN(2) == 0 {
				lines = slices.Delete(lines, i, i+1)
				continue
			}
			fields := strings.Fields(lines[i])
			fields[1] = fmt.Sprintf("%.1f", 1+9*rng.Float64())
			lines[i] = strings.Join(fields, " ")
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

func runText(text string, seed uint64) (*Row, error) {
	day, err := Parse("search", text)
	if err != nil {
		return nil, err
	}
	if day, err = day.WithSeed(seed); err != nil {
		return nil, err
	}
	return Run(day, "")
}

// Run searches from a given day and returns the worst day found, minimized.
func (s *Search) Run(from *Day) (*FoundDay, error) {
	first, err := runText(from.Text, s.Seed)
	if err != nil {
		return nil, err
	}
	type candidate struct {
		text string
		row  *Row
	}
	pool := []candidate{{from.Text, first}}
	daysRun := 1
	workers := max(runtime.GOMAXPROCS(0), 1)
	deadline := time.Now().Add(s.Duration)
	for round := 0; s.MaxRounds > 0 && round < s.MaxRounds || s.MaxRounds == 0 && time.Now().Before(deadline); round++ {
		next := make([]candidate, workers)
		var running sync.WaitGroup
		for i := range next {
			rng := rand.New(rand.NewPCG(s.Seed, uint64(round*workers+i)))
			parent := pool[rng.IntN(len(pool))]
			running.Add(1)
			go func() {
				defer running.Done()
				text := mutate(parent.text, rng)
				if row, err := runText(text, s.Seed); err == nil {
					next[i] = candidate{text, row}
				}
			}()
		}
		running.Wait()
		for _, mutant := range next {
			if mutant.row != nil {
				daysRun++
				pool = append(pool, mutant)
			}
		}
		slices.SortStableFunc(pool, func(a, b candidate) int {
			if x, y := s.badness(a.row), s.badness(b.row); x != y {
				if x > y {
					return -1
				}
				return 1
			}
			return 0
		})
		pool = pool[:min(len(pool), 6)]
		if s.Progress != nil {
			fmt.Fprintf(s.Progress, "\r%d days played; the worst: worth %.3f of %.3f, %d rules broken     ", daysRun, pool[0].row.Goal, pool[0].row.Best, pool[0].row.Broken)
		}
	}
	if s.Progress != nil {
		fmt.Fprintln(s.Progress)
	}
	text, row, minimizeRuns := s.minimize(pool[0].text, pool[0].row)
	return &FoundDay{Text: text, Row: row, DaysRun: daysRun + minimizeRuns}, nil
}

// minimize removes trouble lines that do not matter and then tries shorter lengths of the day.
func (s *Search) minimize(text string, row *Row) (string, *Row, int) {
	daysRun := 0
	isAsBad := func(shortRow *Row) bool {
		return s.badness(shortRow) >= keptBadness*s.badness(row) && (shortRow.Broken > 0) == (row.Broken > 0) && (shortRow.Odd > 0) == (row.Odd > 0)
	}
	for again := true; again; {
		again = false
		lines := strings.Split(strings.TrimSpace(text), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if !strings.HasPrefix(lines[i], "at ") {
				continue
			}
			shorter := strings.Join(slices.Delete(slices.Clone(lines), i, i+1), "\n") + "\n"
			shortRow, err := runText(shorter, s.Seed)
			if daysRun++; err == nil && isAsBad(shortRow) {
				text, lines, again = shorter, strings.Split(strings.TrimSpace(shorter), "\n"), true
			}
		}
	}
	for _, key := range []string{"load.length"} {
		for _, value := range []string{"6", "8", "10"} {
			shorter, err := SetValues(text, map[string]string{key: value})
			if err != nil {
				continue
			}
			shortRow, err := runText(shorter, s.Seed)
			if daysRun++; err == nil && isAsBad(shortRow) {
				text = shorter
				break
			}
		}
	}
	shortRow, err := runText(text, s.Seed)
	if err != nil {
		shortRow = row
	}
	return text, shortRow, daysRun + 1
}

// Save writes a found day to a file that a test plays; its first lines hold its score when it was found.
func (f *FoundDay) Save(path string, seed uint64) error {
	var text strings.Builder
	fmt.Fprintf(&text, "# Found by a search with seed %d over %d days: worth %.3f, of at most %.3f by what links give; %d broken rules.\n", seed, f.DaysRun,
		f.Row.Goal, f.Row.Best, f.Row.Broken)
	fmt.Fprintf(&text, "# floor %.3f\nseed %d\n", f.Row.Goal-0.05, seed)
	for line := range strings.SplitSeq(strings.TrimSpace(f.Text), "\n") {
		if !strings.HasPrefix(line, "#") && !strings.HasPrefix(line, "seed ") {
			text.WriteString(line + "\n")
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
