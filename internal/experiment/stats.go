package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"pierlink/internal/lab"
)

const confidenceLevel = 0.95 // of the intervals

// Metric is a figure that variants are compared by.
type Metric struct {
	Name      string
	Value     func(*lab.Row) float64
	Direction int // 1 if more is better, -1 if less is
}

// Metrics are those of the report, in its order.
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

// Difference is a paired difference with its interval.
type Difference struct {
	Metric    *Metric
	Pairs     int
	Mean      float64
	Low, High float64
}

// Significant tells whether the interval does not hold zero.
func (d *Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// Verdict is the difference in a word.
func (d *Difference) Verdict() string {
	switch {
	case !d.Significant():
		return "no difference seen"
	case d.Mean*float64(d.Metric.Direction) > 0:
		return "better"
	}
	return "worse"
}

// Compare pairs the rows of a variant with those of the base by day and seed (Student's t over the pairs).
func Compare(rows []*lab.Row, base, variant string) (all []Difference) {
	type key struct {
		day  string
		seed int64
	}
	from := map[key]*lab.Row{}
	for _, r := range variantRows(rows, base) {
		from[key{r.Day, r.Seed}] = r
	}
	for i := range Metrics {
		m := &Metrics[i]
		var x []float64
		for _, r := range variantRows(rows, variant) {
			if b := from[key{r.Day, r.Seed}]; b != nil {
				x = append(x, m.Value(r)-m.Value(b))
			}
		}
		d := Difference{Metric: m, Pairs: len(x)}
		if d.Pairs > 0 {
			mean, dev := stat.MeanStdDev(x, nil)
			d.Mean, d.Low, d.High = mean, mean, mean
			if d.Pairs > 1 {
				half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(d.Pairs - 1)}.Quantile(0.5+confidenceLevel/2) * dev / math.Sqrt(float64(d.Pairs))
				d.Low, d.High = mean-half, mean+half
			} else {
				d.Low, d.High = math.Inf(-1), math.Inf(1) // one pair says nothing
			}
		}
		all = append(all, d)
	}
	return all
}

func metricMean(rows []*lab.Row, m *Metric) float64 {
	x := make([]float64, len(rows))
	for i, r := range rows {
		x[i] = m.Value(r)
	}
	return stat.Mean(x, nil)
}
