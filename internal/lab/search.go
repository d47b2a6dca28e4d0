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

// Search looks for days on which the session manager does badly: it changes a day by chance, keeps what is
// worse, and cuts the worst down to what matters.
type Search struct {
	Seed      uint64
	For       time.Duration
	Say       io.Writer
	MaxRounds int    // so many, whatever the time; 0 for as many as fit
	What      string // worth, or answers: what came to nothing or came late, whatever room there was
}

// Found is a day that a search found.
type FoundDay struct {
	Text   string
	Row    *Row
	Played int
}

// bad is how badly a day went: what was lost of what links would have given; a broken rule, or something that
// does not add up, counts for more than anything else.
func (s *Search) badness(r *Row) float64 {
	x := max(r.Best, 0.05) - r.Goal
	if s.What == "answers" {
		x = r.Late + float64(r.Failed+r.Abandoned)/float64(max(r.Asked, 1))
	}
	if r.Broken > 0 {
		x += 10
	}
	if r.Odd > 0 {
		x += 100
	}
	return x
}

const (
	keptBadness     = 0.9 // of how bad a day is, that a shorter one must keep
	maxTroubleLines = 12
	maxChange       = 0.35 // by how much a figure is changed, at most
)

// words that a search changes, with their bounds.
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

// troubles that a search brings in, with the words that they take.
var searchTroubles = []string{"die", "vanish", "drain", "errors", "lost-answers", "late-answers", "stuck", "cut-answers", "slow", "neighbour", "reports-late",
	"surge", "crowd", "repeat", "leave", "kill", "stand-still", "zone-cut", "sag", "overspeed"}

// change makes one or a few changes to a day's text.
func mutate(text string, rng *rand.Rand) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for range 1 + rng.IntN(3) {
		var at []int
		for i, l := range lines {
			if strings.HasPrefix(l, "at ") {
				at = append(at, i)
			}
		}
		switch k := rng.IntN(10); {
		case k < 4: // a figure
			x := searchParameters[rng.IntN(len(searchParameters))]
			line, word, _ := strings.Cut(x.key, ".")
			now := (x.lo + x.hi) / 2
			for _, l := range lines {
				f := strings.Fields(l)
				for _, w := range f {
					if a, b, ok := strings.Cut(w, "="); ok && a == word && f[0] == line {
						if v, err := strconv.ParseFloat(b, 64); err == nil {
							now = v
						}
					}
				}
			}
			v := now * (1 + maxChange*(2*rng.Float64()-1))
			if rng.IntN(5) == 0 {
				v = x.lo + (x.hi-x.lo)*rng.Float64()
			}
			v = min(max(v, x.lo), x.hi)
			s := strconv.FormatFloat(v, 'g', 4, 64)
			if x.integral {
				s = strconv.Itoa(int(v + 0.5))
			}
			if out, err := Set(strings.Join(lines, "\n"), map[string]string{x.key: s}); err == nil {
				lines = strings.Split(out, "\n")
			}
		case k < 8 && len(at) < maxTroubleLines: // a trouble more
			kind := searchTroubles[rng.IntN(len(searchTroubles))]
			l := fmt.Sprintf("at %.1f %s for=%.1f", 1+9*rng.Float64(), kind, 0.5+4*rng.Float64())
			switch kind {
			case "die", "vanish": // none comes back before it is known to be gone: nobody could keep its pace
				l = fmt.Sprintf("at %.1f %s for=%.1f boxes=%d", 1+7*rng.Float64(), kind, 3+2*rng.Float64(), 1+rng.IntN(6))
			case "kill", "stand-still":
				l += fmt.Sprintf(" managers=%d", 1+rng.IntN(4))
			case "surge", "sag", "slow", "overspeed", "reports-late", "late-answers":
				l += fmt.Sprintf(" size=%.1f boxes=%d part=%.1f", 1.2+3*rng.Float64(), 1+rng.IntN(6), 0.2+0.8*rng.Float64())
			default:
				l += fmt.Sprintf(" boxes=%d part=%.1f", 1+rng.IntN(6), 0.2+0.8*rng.Float64())
			}
			lines = append(lines, l)
		case len(at) > 0: // a trouble less, or at another time
			i := at[rng.IntN(len(at))]
			if rng.IntN(2) == 0 {
				lines = slices.Delete(lines, i, i+1)
				continue
			}
			f := strings.Fields(lines[i])
			f[1] = fmt.Sprintf("%.1f", 1+9*rng.Float64())
			lines[i] = strings.Join(f, " ")
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

func runText(text string, seed uint64) (*Row, error) {
	d, err := Parse("search", text)
	if err != nil {
		return nil, err
	}
	if d, err = d.With(seed); err != nil {
		return nil, err
	}
	return Run(d, "")
}

// Run searches from a day on.
func (s *Search) Run(from *Day) (*FoundDay, error) {
	first, err := runText(from.Text, s.Seed)
	if err != nil {
		return nil, err
	}
	type one struct {
		text string
		row  *Row
	}
	pool := []one{{from.Text, first}}
	played := 1
	n := max(runtime.GOMAXPROCS(0), 1)
	end := time.Now().Add(s.For)
	for round := 0; s.MaxRounds > 0 && round < s.MaxRounds || s.MaxRounds == 0 && time.Now().Before(end); round++ {
		next := make([]one, n)
		var wait sync.WaitGroup
		for i := range next {
			rng := rand.New(rand.NewPCG(s.Seed, uint64(round*n+i)))
			parent := pool[rng.IntN(len(pool))]
			wait.Add(1)
			go func() {
				defer wait.Done()
				text := mutate(parent.text, rng)
				if r, err := runText(text, s.Seed); err == nil {
					next[i] = one{text, r}
				}
			}()
		}
		wait.Wait()
		for _, x := range next {
			if x.row != nil {
				played++
				pool = append(pool, x)
			}
		}
		slices.SortStableFunc(pool, func(a, b one) int {
			if x, y := s.badness(a.row), s.badness(b.row); x != y {
				if x > y {
					return -1
				}
				return 1
			}
			return 0
		})
		pool = pool[:min(len(pool), 6)]
		if s.Say != nil {
			fmt.Fprintf(s.Say, "\r%d days played; the worst: worth %.3f of %.3f, %d rules broken     ", played, pool[0].row.Goal, pool[0].row.Best, pool[0].row.Broken)
		}
	}
	if s.Say != nil {
		fmt.Fprintln(s.Say)
	}
	text, row, more := s.minimize(pool[0].text, pool[0].row)
	return &FoundDay{Text: text, Row: row, Played: played + more}, nil
}

// cut takes out what does not matter: lines of trouble, then words that differ from the day's first text.
func (s *Search) minimize(text string, row *Row) (string, *Row, int) {
	played := 0
	keeps := func(r *Row) bool {
		return s.badness(r) >= keptBadness*s.badness(row) && (r.Broken > 0) == (row.Broken > 0) && (r.Odd > 0) == (row.Odd > 0)
	}
	for again := true; again; {
		again = false
		lines := strings.Split(strings.TrimSpace(text), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if !strings.HasPrefix(lines[i], "at ") {
				continue
			}
			less := strings.Join(slices.Delete(slices.Clone(lines), i, i+1), "\n") + "\n"
			r, err := runText(less, s.Seed)
			if played++; err == nil && keeps(r) {
				text, lines, again = less, strings.Split(strings.TrimSpace(less), "\n"), true
			}
		}
	}
	for _, key := range []string{"load.length"} {
		for _, v := range []string{"6", "8", "10"} {
			less, err := Set(text, map[string]string{key: v})
			if err != nil {
				continue
			}
			r, err := runText(less, s.Seed)
			if played++; err == nil && keeps(r) {
				text = less
				break
			}
		}
	}
	r, err := runText(text, s.Seed)
	if err != nil {
		r = row
	}
	return text, r, played + 1
}

// Save writes a found day as a file that a test plays: what it was when it was found stands in its first lines.
func (f *FoundDay) Save(path string, seed uint64) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Found by a search with seed %d over %d days: worth %.3f, of at most %.3f by what links give; %d broken rules.\n", seed, f.Played,
		f.Row.Goal, f.Row.Best, f.Row.Broken)
	fmt.Fprintf(&b, "# floor %.3f\nseed %d\n", f.Row.Goal-0.05, seed)
	for line := range strings.SplitSeq(strings.TrimSpace(f.Text), "\n") {
		if !strings.HasPrefix(line, "#") && !strings.HasPrefix(line, "seed ") {
			b.WriteString(line + "\n")
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
