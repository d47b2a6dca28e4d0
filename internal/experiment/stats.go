package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"pierlink/internal/lab"
)

const confidenceLevel = 0.95 // of the intervals, two-sided

// Metric is a figure by which variants are compared.
type Metric struct {
	Name      string
	Value     func(*lab.Row) float64
	Direction int // 1 if a higher value is better, -1 if a lower one is
}

// Metrics lists the metrics of the report, in its order. The first one is the score.
var Metrics = []Metric{
	{"worth", func(r *lab.Row) float64 { return r.Goal }, 1},
	{"whole", func(r *lab.Row) float64 { return r.Whole }, 1},
	{"worst 10 s", func(r *lab.Row) float64 { return r.Worst }, 1},
	{"worst plan", func(r *lab.Row) float64 { return r.WorstPlan }, 1},
	{"prices", func(r *lab.Row) float64 { return r.Prices }, -1},
	{"unserved", func(r *lab.Row) float64 { return r.Unserved }, -1},
	{"late", func(r *lab.Row) float64 { return r.Late }, -1},
	{"lower rung", func(r *lab.Row) float64 { return r.LowRung }, -1},
	{"short", func(r *lab.Row) float64 { return r.Short }, -1},
	{"startup 99%", func(r *lab.Row) float64 { return r.Startup99 }, -1},
	{"rules broken", func(r *lab.Row) float64 { return float64(r.Broken) }, -1},
}

// Difference is the mean paired difference of a metric between a variant and the baseline, with its confidence
// interval.
type Difference struct {
	Metric    *Metric
	Pairs     int     // number of pairs of rows with the same day and seed
	Mean      float64 // of variant minus baseline
	Low, High float64 // bounds of the interval; infinite with a single pair
}

// Significant reports whether the confidence interval excludes zero.
func (d *Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// Verdict describes the difference: "better", "worse" or "no difference seen".
func (d *Difference) Verdict() string {
	switch {
	case !d.Significant():
		return "no difference seen"
	case d.Mean*float64(d.Metric.Direction) > 0:
		return "better"
	}
	return "worse"
}

// Compare pairs the rows of a variant with those of the baseline by day and seed, and returns the difference of each
// metric. The intervals are Student's t intervals of the mean over the pairs.
func Compare(rows []*lab.Row, base, variant string) (differences []Difference) {
	type key struct {
		day  string
		seed int64
	}
	baseRows := map[key]*lab.Row{}
	for _, row := range variantRows(rows, base) {
		baseRows[key{row.Day, row.Seed}] = row
	}
	for i := range Metrics {
		metric := &Metrics[i]
		var deltas []float64
		for _, row := range variantRows(rows, variant) {
			if baseRow := baseRows[key{row.Day, row.Seed}]; baseRow != nil {
				deltas = append(deltas, metric.Value(row)-metric.Value(baseRow))
			}
		}
		difference := Difference{Metric: metric, Pairs: len(deltas)}
		if difference.Pairs > 0 {
			mean, deviation := stat.MeanStdDev(deltas, nil)
			difference.Mean, difference.Low, difference.High = mean, mean, mean
			if difference.Pairs > 1 {
				halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(difference.Pairs - 1)}.Quantile(0.5+confidenceLevel/2) * deviation / math.Sqrt(float64(difference.Pairs))
				difference.Low, difference.High = mean-halfWidth, mean+halfWidth
			} else {
				difference.Low, difference.High = math.Inf(-1), math.Inf(1) // a single pair has no estimate of the variance
			}
		}
		differences = append(differences, difference)
	}
	return differences
}

// metricMean returns the mean of a metric over rows.
func metricMean(rows []*lab.Row, metric *Metric) float64 {
	values := make([]float64, len(rows))
	for i, row := range rows {
		values[i] = metric.Value(row)
	}
	return stat.Mean(values, nil)
}
