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

// timeSeries are what is drawn over time, each as the mean of a variant's seeds.
var timeSeries = []struct {
	file, title, axis string
	of                func(lab.Point) float64
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

// Plots draws all that an experiment shows from its rows.
func (p *Spec) drawPlots(dir string, rows []*lab.Row) (files []string, err error) {
	for _, day := range dayNames(rows) {
		for _, s := range timeSeries {
			name := strings.NewReplacer("/", "-", ".day", "").Replace(fmt.Sprintf("%s-%s.png", filepath.Base(day), s.file))
			if err := p.drawTimeSeries(filepath.Join(dir, name), rows, day, s.title, s.axis, s.of); err != nil {
				return nil, err
			}
			files = append(files, name)
		}
	}
	if len(p.Variants) > 1 {
		if err := p.drawDifferences(filepath.Join(dir, "differences.png"), rows); err != nil {
			return nil, err
		}
		files = append([]string{"differences.png"}, files...)
	}
	return files, nil
}

// drawTimeSeries draws one figure drawTimeSeries a day, a line for each variant; troubles of the first seed are marked.
func (p *Spec) drawTimeSeries(path string, rows []*lab.Row, day, title, axis string, of func(lab.Point) float64) error {
	g := plot.New()
	g.Title.Text = title + ": " + day
	g.X.Label.Text, g.Y.Label.Text = "s", axis
	g.Legend.Top = true
	marked := false
	for i := range p.Variants {
		var sum, count []float64
		var at []float64
		for _, r := range rows {
			if r.Variant != p.Variants[i].Name || r.Day != day {
				continue
			}
			for k, x := range r.Points {
				for len(sum) <= k {
					sum, count, at = append(sum, 0), append(count, 0), append(at, x.At)
				}
				if v := of(x); !math.IsNaN(v) && !math.IsInf(v, 0) {
					sum[k] += v
					count[k]++
				}
			}
			if !marked && len(r.Troubles) > 0 {
				marked = true
				for _, m := range r.Troubles {
					line, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At + m.For, Y: 0}})
					if err != nil {
						return err
					}
					line.Color, line.Width = color.RGBA{220, 0, 0, 90}, vg.Points(5)
					g.Add(line)
					label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.At, Y: 0}}, Labels: []string{m.Kind}})
					if err != nil {
						return err
					}
					label.TextStyle[0].Rotation = math.Pi / 2
					label.TextStyle[0].Font.Size = vg.Points(6)
					label.TextStyle[0].Color = color.RGBA{150, 0, 0, 255}
					g.Add(label)
				}
			}
		}
		var xy plotter.XYs
		for k := range sum {
			if count[k] > 0 {
				xy = append(xy, plotter.XY{X: at[k], Y: sum[k] / count[k]})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = lineColours[i%len(lineColours)], vg.Points(1.2)
		g.Add(line)
		g.Legend.Add(p.Variants[i].Name, line)
	}
	return g.Save(22*vg.Centimeter, 10*vg.Centimeter, path)
}

// drawDifferences draws the paired difference of worth of each variant, with its interval.
func (p *Spec) drawDifferences(path string, rows []*lab.Row) error {
	g := plot.New()
	g.Title.Text = "Worth, against " + p.Variants[0].Name
	g.Y.Label.Text = "difference"
	var names []string
	var pts struct {
		plotter.XYs
		plotter.YErrors
	}
	for i := 1; i < len(p.Variants); i++ {
		d := Compare(rows, p.Variants[0].Name, p.Variants[i].Name)[0]
		if math.IsInf(d.Low, 0) {
			d.Low, d.High = d.Mean, d.Mean
		}
		names = append(names, p.Variants[i].Name)
		pts.XYs = append(pts.XYs, plotter.XY{X: float64(i - 1), Y: d.Mean})
		pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{d.Mean - d.Low, d.High - d.Mean})
	}
	bars, err := plotter.NewYErrorBars(&pts)
	if err != nil {
		return err
	}
	dots, err := plotter.NewScatter(pts.XYs)
	if err != nil {
		return err
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: 0}, {X: float64(len(names)) - 0.5, Y: 0}})
	if err != nil {
		return err
	}
	zero.Color = color.Gray{150}
	g.Add(zero, bars, dots)
	g.NominalX(names...)
	return g.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

// Redraw makes the plots anew from the files of an experiment that was run.
func (p *Spec) Redraw(dir string) error {
	rows, err := ReadRows(dir)
	if err != nil {
		return err
	}
	_, err = p.drawPlots(dir, rows)
	return err
}
