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

// writeParquet writes the rows to results.parquet and their half-second samples to series.parquet.
func writeParquet(dir string, rows []*lab.Row) error {
	flat := make([]lab.Row, len(rows))
	var points []lab.Point
	for i, row := range rows {
		flat[i] = *row
		for _, point := range row.Points {
			point.Variant, point.Day, point.Seed = row.Variant, row.Day, row.Seed
			points = append(points, point)
		}
	}
	if err := parquet.WriteFile(filepath.Join(dir, "results.parquet"), flat, parquet.Compression(&zstd.Codec{})); err != nil {
		return err
	}
	return parquet.WriteFile(filepath.Join(dir, "series.parquet"), points, parquet.Compression(&zstd.Codec{}))
}

// ReadRows reads the rows, with their samples, from results.parquet and series.parquet in dir. The scripted troubles and
// notes of a row are not stored there.
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
	rowByKey := map[key]*lab.Row{}
	var rows []*lab.Row
	for i := range flat {
		row := &flat[i]
		rowByKey[key{row.Variant, row.Day, row.Seed}] = row
		rows = append(rows, row)
	}
	for _, point := range points {
		if row := rowByKey[key{point.Variant, point.Day, point.Seed}]; row != nil {
			row.Points = append(row.Points, point)
		}
	}
	return rows, nil
}

// formatNumber formats a number with three decimals, or as "-" if it is infinite or NaN.
func formatNumber(x float64) string {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return "-"
	}
	return fmt.Sprintf("%.3f", x)
}

// report returns the Markdown report of the experiment.
func (s *Spec) report(rows []*lab.Row, plots []string) string {
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	line("# %s\n", s.Name)
	if s.Question != "" {
		line("%s\n", strings.TrimSpace(s.Question))
	}
	line("Days %s, seeds %s, on the virtual network. Worth is 0.7 of the whole, 0.2 of the worst 10 s and 0.1 of the worst plan, less prices; unserved, late, lower rung", strings.Join(dayNames(rows), ", "), s.Seeds)
	line("and short are the parts of what was offered that were not earned, and why.\n")
	line("## Variants\n")
	header, separator := "| variant | days |", "| --- | --- |"
	for i := range Metrics {
		header, separator = header+" "+Metrics[i].Name+" |", separator+" --- |"
	}
	line("%s best possible |\n%s --- |", header, separator)
	bestPossible := Metric{"", func(row *lab.Row) float64 { return row.Best }, 1}
	for i := range s.Variants {
		selected := variantRows(rows, s.Variants[i].Name)
		if len(selected) == 0 {
			continue
		}
		tableRow := fmt.Sprintf("| %s | %d |", s.Variants[i].Name, len(selected))
		for k := range Metrics {
			tableRow += " " + formatNumber(metricMean(selected, &Metrics[k])) + " |"
		}
		line("%s %s |", tableRow, formatNumber(metricMean(selected, &bestPossible)))
	}
	base := s.Variants[0].Name
	for i := 1; i < len(s.Variants); i++ {
		name := s.Variants[i].Name
		line("\n## %s against %s\n", name, base)
		line("Paired by day and seed; intervals of %.0f%%.\n", 100*confidenceLevel)
		line("| figure | pairs | difference | from | to | |\n| --- | --- | --- | --- | --- | --- |")
		differences := Compare(rows, base, name)
		verdicts := map[string]string{}
		for _, difference := range differences {
			line("| %s | %d | %+.4f | %s | %s | %s |", difference.Metric.Name, difference.Pairs, difference.Mean, formatNumber(difference.Low), formatNumber(difference.High), difference.Verdict())
			verdicts[difference.Metric.Name] = difference.Verdict()
		}
		if whole, worst := verdicts["whole"], verdicts["worst 10 s"]; whole != worst && whole != "no difference seen" && worst != "no difference seen" {
			line("\nOn the whole it is %s, in the worst 10 s %s.", whole, worst)
		}
	}
	line("\n## By day\n")
	header, separator = "| day |", "| --- |"
	for i := range s.Variants {
		header, separator = header+" "+s.Variants[i].Name+" |", separator+" --- |"
	}
	line("%s\n%s", header, separator)
	for _, day := range dayNames(rows) {
		tableRow := "| " + day + " |"
		for i := range s.Variants {
			var selected []*lab.Row
			for _, row := range variantRows(rows, s.Variants[i].Name) {
				if row.Day == day {
					selected = append(selected, row)
				}
			}
			if len(selected) > 0 {
				tableRow += " " + formatNumber(metricMean(selected, &Metrics[0]))
			}
			tableRow += " |"
		}
		line("%s", tableRow)
	}
	inconsistencies := 0
	for _, row := range rows {
		inconsistencies += int(row.Odd)
		for _, note := range row.Notes {
			if text.Len() < 1<<20 {
				line("\n- %s, %s, seed %d: %s", row.Variant, row.Day, row.Seed, note)
			}
		}
	}
	if inconsistencies > 0 {
		line("\n%d things did not add up in the emulation: these results are not to be trusted.", inconsistencies)
	}
	if len(plots) > 0 {
		line("\n## Plots\n")
		for _, file := range plots {
			line("![%s](%s)\n", strings.TrimSuffix(file, ".png"), file)
		}
	}
	return text.String()
}
