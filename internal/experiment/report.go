package experiment

import (
	"fmt"
	"math"
	"path/filepath"
	"strings"

	"github.com/parquet-go/parquet-go"
	"github.com/parquet-go/parquet-go/compress/zstd"

	"pierlink/internal/lab"
)

// writeParquet writes the rows, and the half seconds of each.
func writeParquet(dir string, rows []*lab.Row) error {
	flat := make([]lab.Row, len(rows))
	var points []lab.Point
	for i, r := range rows {
		flat[i] = *r
		for _, x := range r.Points {
			x.Variant, x.Day, x.Seed = r.Variant, r.Day, r.Seed
			points = append(points, x)
		}
	}
	if err := parquet.WriteFile(filepath.Join(dir, "results.parquet"), flat, parquet.Compression(&zstd.Codec{})); err != nil {
		return err
	}
	return parquet.WriteFile(filepath.Join(dir, "series.parquet"), points, parquet.Compression(&zstd.Codec{}))
}

// ReadRows reads results.parquet and series.parquet back.
func ReadRows(dir string) ([]*lab.Row, error) {
	flat, err := parquet.ReadFile[lab.Row](filepath.Join(dir, "results.parquet"))
	if err != nil {
		return nil, err
	}
	points, err := parquet.ReadFile[lab.Point](filepath.Join(dir, "series.parquet"))
	if err != nil {
		return nil, err
	}
	type key struct {
		variant, day string
		seed         int64
	}
	by := map[key]*lab.Row{}
	var rows []*lab.Row
	for i := range flat {
		r := &flat[i]
		by[key{r.Variant, r.Day, r.Seed}] = r
		rows = append(rows, r)
	}
	for _, x := range points {
		if r := by[key{x.Variant, x.Day, x.Seed}]; r != nil {
			r.Points = append(r.Points, x)
		}
	}
	return rows, nil
}

func formatNumber(x float64) string {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return "-"
	}
	return fmt.Sprintf("%.3f", x)
}

// report is the experiment in words and tables.
func (p *Spec) report(rows []*lab.Row, plots []string) string {
	var b strings.Builder
	line := func(format string, a ...any) { fmt.Fprintf(&b, format+"\n", a...) }
	line("# %s\n", p.Name)
	if p.Question != "" {
		line("%s\n", strings.TrimSpace(p.Question))
	}
	line("Days %s, seeds %s, on the virtual network. Worth is 0.7 of the whole, 0.2 of the worst 10 s and 0.1 of the worst plan, less prices; unserved, late, lower rung", strings.Join(dayNames(rows), ", "), p.Seeds)
	line("and short are the parts of what was offered that were not earned, and why.\n")
	line("## Variants\n")
	head, rule := "| variant | days |", "| --- | --- |"
	for i := range Metrics {
		head, rule = head+" "+Metrics[i].Name+" |", rule+" --- |"
	}
	line("%s best possible |\n%s --- |", head, rule)
	possible := Metric{"", func(r *lab.Row) float64 { return r.Best }, 1}
	for i := range p.Variants {
		mine := variantRows(rows, p.Variants[i].Name)
		if len(mine) == 0 {
			continue
		}
		s := fmt.Sprintf("| %s | %d |", p.Variants[i].Name, len(mine))
		for k := range Metrics {
			s += " " + formatNumber(metricMean(mine, &Metrics[k])) + " |"
		}
		line("%s %s |", s, formatNumber(metricMean(mine, &possible)))
	}
	base := p.Variants[0].Name
	for i := 1; i < len(p.Variants); i++ {
		name := p.Variants[i].Name
		line("\n## %s against %s\n", name, base)
		line("Paired by day and seed; intervals of %.0f%%.\n", 100*confidenceLevel)
		line("| figure | pairs | difference | from | to | |\n| --- | --- | --- | --- | --- | --- |")
		all := Compare(rows, base, name)
		verdicts := map[string]string{}
		for _, d := range all {
			line("| %s | %d | %+.4f | %s | %s | %s |", d.Metric.Name, d.Pairs, d.Mean, formatNumber(d.Low), formatNumber(d.High), d.Verdict())
			verdicts[d.Metric.Name] = d.Verdict()
		}
		if a, w := verdicts["whole"], verdicts["worst 10 s"]; a != w && a != "no difference seen" && w != "no difference seen" {
			line("\nOn the whole it is %s, in the worst 10 s %s.", a, w)
		}
	}
	line("\n## By day\n")
	head, rule = "| day |", "| --- |"
	for i := range p.Variants {
		head, rule = head+" "+p.Variants[i].Name+" |", rule+" --- |"
	}
	line("%s\n%s", head, rule)
	for _, day := range dayNames(rows) {
		s := "| " + day + " |"
		for i := range p.Variants {
			var mine []*lab.Row
			for _, r := range variantRows(rows, p.Variants[i].Name) {
				if r.Day == day {
					mine = append(mine, r)
				}
			}
			if len(mine) > 0 {
				s += " " + formatNumber(metricMean(mine, &Metrics[0]))
			}
			s += " |"
		}
		line("%s", s)
	}
	odd := 0
	for _, r := range rows {
		odd += int(r.Odd)
		for _, n := range r.Notes {
			if b.Len() < 1<<20 {
				line("\n- %s, %s, seed %d: %s", r.Variant, r.Day, r.Seed, n)
			}
		}
	}
	if odd > 0 {
		line("\n%d things did not add up in the emulation: these results are not to be trusted.", odd)
	}
	if len(plots) > 0 {
		line("\n## Plots\n")
		for _, x := range plots {
			line("![%s](%s)\n", strings.TrimSuffix(x, ".png"), x)
		}
	}
	return b.String()
}
