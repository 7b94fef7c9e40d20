package calibration

import (
	"image/color"
	"path/filepath"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const plotWidth, plotHeight = 22 * vg.Centimeter, 11 * vg.Centimeter

// Series is a recording and its replay on the model.
type Series struct {
	Load            string
	Measured, Model []Generation
}

var colors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x2a, G: 0x8c, B: 0x4a, A: 0xff},
}

// WritePlot plots the measured and the simulated distribution of the time to the first event
// to engine-model.png in dir.
func WritePlot(dir string, all []Series) error {
	p := plot.New()
	p.Title.Text = "Time to the first event: measured (solid), model (dashed)"
	p.X.Label.Text = "ms"
	p.Y.Label.Text = "share of generations"
	p.Legend.Top, p.Legend.Left = false, false
	for i, s := range all {
		for _, curve := range []struct {
			name        string
			generations []Generation
			dashes      []vg.Length
		}{{s.Load + " load, measured", s.Measured, nil}, {s.Load + " load, model", s.Model, []vg.Length{vg.Points(4), vg.Points(3)}}} {
			line, err := plotter.NewLine(distribution(curve.generations))
			if err != nil {
				return Error.Wrap(err)
			}
			line.Color, line.Dashes = colors[i%len(colors)], curve.dashes
			p.Add(line)
			p.Legend.Add(curve.name, line)
		}
	}
	return Error.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, "engine-model.png")))
}

func distribution(generations []Generation) plotter.XYs {
	times := make([]time.Duration, len(generations))
	for i, g := range generations {
		times[i] = g.FirstEvent
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	points := make(plotter.XYs, len(times))
	for i, t := range times {
		points[i] = plotter.XY{X: milliseconds(t), Y: float64(i+1) / float64(len(times))}
	}
	return points
}
