// Package experiment plays variants of the session manager on days by many seeds, side by side, and tells the
// paired differences: results in columnar files, a report, plots. A run that was stopped goes on where it was.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"pierlink/internal/lab"
)

// Spec is an experiment's file.
type Spec struct {
	Name     string    `toml:"name" validate:"required"`
	Question string    `toml:"asks"` // what it is to find out
	Days     []string  `toml:"days" validate:"min=1"`
	Seeds    string    `toml:"seeds" validate:"required"` // 1..10, or 1,4,7
	Variants []Variant `toml:"variant" validate:"min=1,unique=Name,dive"`
	baseDir  string
}

// Variant is one way to play each day. The first is what the others are compared with.
type Variant struct {
	Name          string            `toml:"name" validate:"required"`
	Overrides     map[string]string `toml:"set"`     // words of the days, as lab.Set has them
	Policy        string            `toml:"policy"`  // a baseline in the module's place
	PlantedChange string            `toml:"plant"`   // a change for the worse on purpose
	Program       string            `toml:"program"` // another build of pierlab
}

// Read reads an experiment's file.
func Read(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Spec{baseDir: filepath.Dir(path)}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: unknown keys:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if _, err := parseSeeds(p.Seeds); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range p.Variants {
		v := &p.Variants[i]
		if v.Program != "" && (v.Policy != "" || v.PlantedChange != "") {
			return nil, fmt.Errorf("%s: variant %s: a program plays its own module", path, v.Name)
		}
	}
	return p, nil
}

func parseSeeds(s string) (all []uint64, err error) {
	if a, b, ok := strings.Cut(s, ".."); ok {
		x, err1 := strconv.ParseUint(a, 10, 64)
		y, err2 := strconv.ParseUint(b, 10, 64)
		if err1 != nil || err2 != nil || x > y || y-x > 10_000 {
			return nil, fmt.Errorf("seeds: %s: a range such as 1..10 is expected", s)
		}
		for ; x <= y; x++ {
			all = append(all, x)
		}
		return all, nil
	}
	for w := range strings.SplitSeq(s, ",") {
		x, err := strconv.ParseUint(strings.TrimSpace(w), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seeds: %s: numbers such as 1,4,7, or a range such as 1..10, are expected", s)
		}
		all = append(all, x)
	}
	return all, nil
}

// job is one day to be played.
type job struct {
	variant *Variant
	day     *lab.Day
	seed    uint64
}

// jobs are all runs, seed by seed, so that what is there of a run that was stopped is whole pairs.
func (p *Spec) jobs() (all []job, err error) {
	numbers, err := parseSeeds(p.Seeds)
	if err != nil {
		return nil, err
	}
	var days []*lab.Day
	for _, name := range p.Days {
		d, err := lab.Library(name)
		if err != nil {
			if d, err = lab.ReadDay(filepath.Join(p.baseDir, name)); err != nil {
				return nil, err
			}
		}
		days = append(days, d)
	}
	for _, seed := range numbers {
		for _, d := range days {
			for i := range p.Variants {
				v := &p.Variants[i]
				text, err := lab.Set(d.Text, v.Overrides)
				if err != nil {
					return nil, fmt.Errorf("variant %s: %w", v.Name, err)
				}
				x, err := lab.Parse(d.Name, text)
				if err != nil {
					return nil, fmt.Errorf("variant %s: %w", v.Name, err)
				}
				x.Policy = v.Policy
				if x, err = x.With(seed); err != nil {
					return nil, err
				}
				all = append(all, job{v, x, seed})
			}
		}
	}
	return all, nil
}

// cacheKey names a run's result by all that it follows from.
func (j *job) cacheKey(build string) string {
	program := build
	if j.variant.Program != "" {
		program = fileChecksum(j.variant.Program)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join([]string{program, j.day.Name, j.day.Text, strconv.FormatUint(j.seed, 10),
		j.variant.Policy, j.variant.PlantedChange}, "\x00")))
}

// fileChecksum is a program's checksum; a build is told from another by it.
func fileChecksum(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return path
	}
	defer f.Close()
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return path
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func (j *job) run() (*lab.Row, error) {
	if j.variant.Program == "" {
		return lab.Run(j.day, j.variant.PlantedChange)
	}
	f, err := os.CreateTemp("", "pierlab-*.day")
	if err != nil {
		return nil, err
	}
	defer os.Remove(f.Name())
	if _, err := f.WriteString(j.day.Text); err != nil {
		return nil, err
	}
	if err := f.Close(); err != nil {
		return nil, err
	}
	out, err := exec.Command(j.variant.Program, "row", f.Name(), "--seed", strconv.FormatUint(j.seed, 10)).Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", j.variant.Program, err)
	}
	r := &lab.Row{}
	if err := json.Unmarshal(out, r); err != nil {
		return nil, fmt.Errorf("%s: %w", j.variant.Program, err)
	}
	r.Day = j.day.Name
	return r, nil
}

// Run plays what is not there yet, as many at a time as there are processors, and returns all rows in the
// order of seeds, days and variants. Each row lies in the folder as soon as it is there.
func (p *Spec) Run(dir string, progress io.Writer) ([]*lab.Row, error) {
	all, err := p.jobs()
	if err != nil {
		return nil, err
	}
	runs := filepath.Join(dir, "runs")
	if err := os.MkdirAll(runs, 0o755); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	build := fileChecksum(self)
	rows := make([]*lab.Row, len(all))
	var mu sync.Mutex
	var first error
	done, there := 0, 0
	began := time.Now()
	next := make(chan int)
	var wait sync.WaitGroup
	for range max(runtime.GOMAXPROCS(0), 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				j := &all[i]
				path := filepath.Join(runs, j.cacheKey(build)+".json")
				r, err := readRow(path)
				old := err == nil
				if !old {
					if r, err = j.run(); err == nil {
						err = writeRow(path, r)
					}
				}
				mu.Lock()
				if err != nil && first == nil {
					first = fmt.Errorf("%s, %s, seed %d: %w", j.variant.Name, j.day.Name, j.seed, err)
				}
				if err == nil {
					r.Variant = j.variant.Name
					rows[i] = r
				}
				if done++; old {
					there++
				}
				left := "?"
				if n := done - there; n > 0 {
					left = (time.Since(began) / time.Duration(n) * time.Duration(len(all)-done)).Round(time.Second).String()
				}
				fmt.Fprintf(progress, "\r%d of %d days played (%d were there), about %s to go      ", done, len(all), there, left)
				mu.Unlock()
			}
		}()
	}
	for i := range all {
		mu.Lock()
		stop := first != nil
		mu.Unlock()
		if stop {
			break
		}
		next <- i
	}
	close(next)
	wait.Wait()
	fmt.Fprintln(progress)
	if first != nil {
		return nil, first
	}
	return rows, nil
}

func readRow(path string) (*lab.Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &lab.Row{}
	return r, json.Unmarshal(text, r)
}

// writeRow writes a row beside its place and moves it there, so that a run that is stopped leaves no half one.
func writeRow(path string, r *lab.Row) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// WriteResults makes all that an experiment leaves: results.parquet, series.parquet, plots and REPORT.md.
func (p *Spec) WriteResults(dir string, rows []*lab.Row) error {
	if err := writeParquet(dir, rows); err != nil {
		return err
	}
	plots, err := p.drawPlots(dir, rows)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "REPORT.md"), []byte(p.report(rows, plots)), 0o644)
}

// variantRows are the rows variantRows a variant, in order.
func variantRows(rows []*lab.Row, variant string) (all []*lab.Row) {
	for _, r := range rows {
		if r.Variant == variant {
			all = append(all, r)
		}
	}
	return all
}

// dayNames are the names in their order.
func dayNames(rows []*lab.Row) (all []string) {
	for _, r := range rows {
		if !slices.Contains(all, r.Day) {
			all = append(all, r.Day)
		}
	}
	return all
}
