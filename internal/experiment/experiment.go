// Package experiment runs controlled comparisons of session manager variants: it plays each variant on the same
// simulated days and random seeds, reports the paired differences with confidence intervals, and writes the results
// as Parquet files, a Markdown report and plots. An interrupted run resumes where it stopped.
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

// Spec is the definition of an experiment, as its TOML file has it.
type Spec struct {
	Name     string    `toml:"name" validate:"required"`
	Question string    `toml:"asks"`                      // question that the experiment is to answer
	Days     []string  `toml:"days" validate:"min=1"`     // names of library days, or paths relative to the file
	Seeds    string    `toml:"seeds" validate:"required"` // a range such as 1..10, or a list such as 1,4,7
	Variants []Variant `toml:"variant" validate:"min=1,unique=Name,dive"`
	baseDir  string    // directory of the file
}

// Variant is one configuration that plays each day. The first variant of an experiment is the baseline of the
// comparisons.
type Variant struct {
	Name          string            `toml:"name" validate:"required"`
	Overrides     map[string]string `toml:"set"`     // changes to the text of the days, in the form that lab.Set takes
	Policy        string            `toml:"policy"`  // baseline policy that replaces the decision module
	PlantedChange string            `toml:"plant"`   // name of a deliberate change from lab.Plants
	Program       string            `toml:"program"` // path of another build of pierlab
}

// Read parses and validates the experiment file at path. Unknown keys are an error.
func Read(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	spec := &Spec{baseDir: filepath.Dir(path)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: unknown keys:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(spec); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if _, err := parseSeeds(spec.Seeds); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i := range spec.Variants {
		variant := &spec.Variants[i]
		if variant.Program != "" && (variant.Policy != "" || variant.PlantedChange != "") {
			return nil, fmt.Errorf("%s: variant %s: program cannot be combined with policy or plant, as it runs its own decision module", path, variant.Name)
		}
	}
	return spec, nil
}

// parseSeeds parses an inclusive range (1..10) or a comma-separated list (1,4,7) of seeds.
func parseSeeds(text string) (seeds []uint64, err error) {
	if from, to, ok := strings.Cut(text, ".."); ok {
		first, firstErr := strconv.ParseUint(from, 10, 64)
		last, lastErr := strconv.ParseUint(to, 10, 64)
		if firstErr != nil || lastErr != nil || first > last || last-first > 10_000 {
			return nil, fmt.Errorf("seeds: got %s, expected an ascending range of at most 10001 seeds, such as 1..10", text)
		}
		for ; first <= last; first++ {
			seeds = append(seeds, first)
		}
		return seeds, nil
	}
	for field := range strings.SplitSeq(text, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seeds: got %s, expected numbers such as 1,4,7 or a range such as 1..10", text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// job is one run: a variant on one day with one seed.
type job struct {
	variant *Variant
	day     *lab.Day
	seed    uint64
}

// jobs lists all runs of the experiment, ordered by seed, so that the results of an interrupted experiment form
// complete pairs.
func (s *Spec) jobs() (all []job, err error) {
	seeds, err := parseSeeds(s.Seeds)
	if err != nil {
		return nil, err
	}
	var days []*lab.Day
	for _, name := range s.Days {
		day, err := lab.Library(name)
		if err != nil {
			if day, err = lab.ReadDay(filepath.Join(s.baseDir, name)); err != nil {
				return nil, err
			}
		}
		days = append(days, day)
	}
	for _, seed := range seeds {
		for _, day := range days {
			for i := range s.Variants {
				variant := &s.Variants[i]
				text, err := lab.SetValues(day.Text, variant.Overrides)
				if err != nil {
					return nil, fmt.Errorf("variant %s: %w", variant.Name, err)
				}
				drawn, err := lab.Parse(day.Name, text)
				if err != nil {
					return nil, fmt.Errorf("variant %s: %w", variant.Name, err)
				}
				drawn.Policy = variant.Policy
				if drawn, err = drawn.WithSeed(seed); err != nil {
					return nil, err
				}
				all = append(all, job{variant, drawn, seed})
			}
		}
	}
	return all, nil
}

// cacheKey returns a hash of every input that determines the result of the run. The result is stored under it.
func (j *job) cacheKey(build string) string {
	program := build
	if j.variant.Program != "" {
		program = fileChecksum(j.variant.Program)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join([]string{program, j.day.Name, j.day.Text, strconv.FormatUint(j.seed, 10),
		j.variant.Policy, j.variant.PlantedChange}, "\x00")))
}

// fileChecksum returns the xxhash of a program, which identifies its build, or the path itself if the file cannot
// be read.
func fileChecksum(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return path
	}
	defer file.Close()
	hash := xxhash.New()
	if _, err := io.Copy(hash, file); err != nil {
		return path
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}

// run plays the day in this process, or in the variant's own program where it names one.
func (j *job) run() (*lab.Row, error) {
	if j.variant.Program == "" {
		return lab.Run(j.day, j.variant.PlantedChange)
	}
	file, err := os.CreateTemp("", "pierlab-*.day")
	if err != nil {
		return nil, err
	}
	defer os.Remove(file.Name())
	if _, err := file.WriteString(j.day.Text); err != nil {
		return nil, err
	}
	if err := file.Close(); err != nil {
		return nil, err
	}
	output, err := exec.Command(j.variant.Program, "row", file.Name(), "--seed", strconv.FormatUint(j.seed, 10)).Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", j.variant.Program, err)
	}
	row := &lab.Row{}
	if err := json.Unmarshal(output, row); err != nil {
		return nil, fmt.Errorf("%s: %w", j.variant.Program, err)
	}
	row.Day = j.day.Name
	return row, nil
}

// Run plays the runs whose results are not stored in dir yet, in parallel on GOMAXPROCS workers, and returns all
// rows ordered by seed, day and variant. Each row is stored in dir as soon as its run ends. After an error Run starts
// no further runs and returns the first error. It reports its progress on progress.
func (s *Spec) Run(dir string, progress io.Writer) ([]*lab.Row, error) {
	jobs, err := s.jobs()
	if err != nil {
		return nil, err
	}
	rowDir := filepath.Join(dir, "runs")
	if err := os.MkdirAll(rowDir, 0o755); err != nil {
		return nil, err
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	build := fileChecksum(executable)
	rows := make([]*lab.Row, len(jobs))
	var mu sync.Mutex
	var firstErr error
	doneCount, cachedCount := 0, 0
	start := time.Now()
	next := make(chan int)
	var workers sync.WaitGroup
	for range max(runtime.GOMAXPROCS(0), 1) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				current := &jobs[i]
				path := filepath.Join(rowDir, current.cacheKey(build)+".json")
				row, err := readRow(path)
				cached := err == nil
				if !cached {
					if row, err = current.run(); err == nil {
						err = writeRow(path, row)
					}
				}
				mu.Lock()
				if err != nil && firstErr == nil {
					firstErr = fmt.Errorf("%s, %s, seed %d: %w", current.variant.Name, current.day.Name, current.seed, err)
				}
				if err == nil {
					row.Variant = current.variant.Name
					rows[i] = row
				}
				if doneCount++; cached {
					cachedCount++
				}
				remaining := "?"
				if played := doneCount - cachedCount; played > 0 {
					remaining = (time.Since(start) / time.Duration(played) * time.Duration(len(jobs)-doneCount)).Round(time.Second).String()
				}
				fmt.Fprintf(progress, "\r%d of %d runs done (%d cached), about %s left      ", doneCount, len(jobs), cachedCount, remaining)
				mu.Unlock()
			}
		}()
	}
	for i := range jobs {
		mu.Lock()
		stop := firstErr != nil
		mu.Unlock()
		if stop {
			break
		}
		next <- i
	}
	close(next)
	workers.Wait()
	fmt.Fprintln(progress)
	if firstErr != nil {
		return nil, firstErr
	}
	return rows, nil
}

// readRow reads a stored row.
func readRow(path string) (*lab.Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	row := &lab.Row{}
	return row, json.Unmarshal(text, row)
}

// writeRow stores a row atomically: it writes a temporary file and renames it, so that an interrupted run leaves no
// truncated row.
func writeRow(path string, row *lab.Row) error {
	text, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// WriteResults writes the output of an experiment to dir: results.parquet, series.parquet, the plots and REPORT.md.
func (s *Spec) WriteResults(dir string, rows []*lab.Row) error {
	if err := writeParquet(dir, rows); err != nil {
		return err
	}
	plots, err := s.drawPlots(dir, rows)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "REPORT.md"), []byte(s.report(rows, plots)), 0o644)
}

// variantRows returns the rows of one variant, in their order.
func variantRows(rows []*lab.Row, variant string) (selected []*lab.Row) {
	for _, row := range rows {
		if row.Variant == variant {
			selected = append(selected, row)
		}
	}
	return selected
}

// dayNames returns the distinct day names in order of first appearance.
func dayNames(rows []*lab.Row) (names []string) {
	for _, row := range rows {
		if !slices.Contains(names, row.Day) {
			names = append(names, row.Day)
		}
	}
	return names
}
