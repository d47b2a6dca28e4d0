package experiment

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"pierlink/internal/lab"
)

// timeSeries lists the figures that are drawn over time, each as the mean over the seeds of a variant.
var timeSeries = []struct {
	file, title, axisLabel string
	value                  func(lab.Point) float64
}{
	{"worth", "Earned over offered", "part", func(p lab.Point) float64 { return p.Earned / p.Offered }},
	{"fill", "Fill of links, mean", "asked over given", func(p lab.Point) float64 { return p.Fill }},
	{"fullest", "Fill of the fullest link", "asked over given", func(p lab.Point) float64 { return p.Fullest }},
	{"wait", "From asking to the answer, mean", "s", func(p lab.Point) float64 { return p.Wait }},
	{"rung", "Rung, mean of those that play", "rung", func(p lab.Point) float64 { return p.Rung }},
	{"tries", "Setup tries", "in half a second", func(p lab.Point) float64 { return p.Tries }},
	{"waiting", "Playbacks not answered yet", "playbacks", func(p lab.Point) float64 { return p.Waiting }},
}

var lineColours = []color.Color{color.RGBA{0, 90, 180, 255}, color.RGBA{200, 80, 0, 255}, color.RGBA{0, 130, 70, 255}, color.RGBA{150, 0, 130, 255},
	color.RGBA{110, 110, 110, 255}, color.RGBA{180, 150, 0, 255}}

// drawPlots draws all plots of an experiment from its rows and returns their file names.
func (s *Spec) drawPlots(dir string, rows []*lab.Row) (files []string, err error) {
	for _, day := range dayNames(rows) {
		for _, series := range timeSeries {
			name := strings.NewReplacer("/", "-", ".day", "").Replace(fmt.Sprintf("%s-%s.png", filepath.Base(day), series.file))
			if err := s.drawTimeSeries(filepath.Join(dir, name), rows, day, series.title, series.axisLabel, series.value); err != nil {
				return nil, err
			}
			files = append(files, name)
		}
	}
	if len(s.Variants) > 1 {
		if err := s.drawDifferences(filepath.Join(dir, "differences.png"), rows); err != nil {
			return nil, err
		}
		files = append([]string{"differences.png"}, files...)
	}
	return files, nil
}

// drawTimeSeries draws one figure over one day, with a line for each variant. The scripted troubles of the
// first row that has any are marked.
func (s *Spec) drawTimeSeries(path string, rows []*lab.Row, day, title, axisLabel string, value func(lab.Point) float64) error {
	figure := plot.New()
	figure.Title.Text = title + ": " + day
	figure.X.Label.Text, figure.Y.Label.Text = "s", axisLabel
	figure.Legend.Top = true
	marked := false
	for i := range s.Variants {
		var sum, count []float64
		var times []float64
		for _, row := range rows {
			if row.Variant != s.Variants[i].Name || row.Day != day {
				continue
			}
			for k, point := range row.Points {
				for len(sum) <= k {
					sum, count, times = append(sum, 0), append(count, 0), append(times, point.At)
				}
				if sample := value(point); !math.IsNaN(sample) && !math.IsInf(sample, 0) {
					sum[k] += sample
					count[k]++
				}
			}
			if !marked && len(row.Troubles) > 0 {
				marked = true
				for _, trouble := range row.Troubles {
					line, err := plotter.NewLine(plotter.XYs{{X: trouble.At, Y: 0}, {X: trouble.At + trouble.For, Y: 0}})
					if err != nil {
						return err
					}
					line.Color, line.Width = color.RGBA{220, 0, 0, 90}, vg.Points(5)
					figure.Add(line)
					label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: trouble.At, Y: 0}}, Labels: []string{trouble.Kind}})
					if err != nil {
						return err
					}
					label.TextStyle[0].Rotation = math.Pi / 2
					label.TextStyle[0].Font.Size = vg.Points(6)
					label.TextStyle[0].Color = color.RGBA{150, 0, 0, 255}
					figure.Add(label)
				}
			}
		}
		var means plotter.XYs
		for k := range sum {
			if count[k] > 0 {
				means = append(means, plotter.XY{X: times[k], Y: sum[k] / count[k]})
			}
		}
		if len(means) == 0 {
			continue
		}
		line, err := plotter.NewLine(means)
		if err != nil {
			return err
		}
		line.Color, line.Width = lineColours[i%len(lineColours)], vg.Points(1.2)
		figure.Add(line)
		figure.Legend.Add(s.Variants[i].Name, line)
	}
	return figure.Save(22*vg.Centimeter, 10*vg.Centimeter, path)
}

// drawDifferences draws the paired difference of worth between each variant and the baseline, with its confidence
// interval. An infinite interval, as a single pair gives, is drawn without error bars.
func (s *Spec) drawDifferences(path string, rows []*lab.Row) error {
	figure := plot.New()
	figure.Title.Text = "Worth, against " + s.Variants[0].Name
	figure.Y.Label.Text = "difference"
	var names []string
	var points struct {
		plotter.XYs
		plotter.YErrors
	}
	for i := 1; i < len(s.Variants); i++ {
		difference := Compare(rows, s.Variants[0].Name, s.Variants[i].Name)[0]
		if math.IsInf(difference.Low, 0) {
			difference.Low, difference.High = difference.Mean, difference.Mean
		}
		names = append(names, s.Variants[i].Name)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i - 1), Y: difference.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{difference.Mean - difference.Low, difference.High - difference.Mean})
	}
	errorBars, err := plotter.NewYErrorBars(&points)
	if err != nil {
		return err
	}
	dots, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return err
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: 0}, {X: float64(len(names)) - 0.5, Y: 0}})
	if err != nil {
		return err
	}
	zero.Color = color.Gray{150}
	figure.Add(zero, errorBars, dots)
	figure.NominalX(names...)
	return figure.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

// Redraw draws the plots again from the Parquet files of a completed experiment in dir. These files do not hold the
// scripted troubles, so the redrawn plots do not mark them.
func (s *Spec) Redraw(dir string) error {
	rows, err := ReadRows(dir)
	if err != nil {
		return err
	}
	_, err = s.drawPlots(dir, rows)
	return err
}
