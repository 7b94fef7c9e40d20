package policybench

import (
	"fmt"
	"image/color"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

const (
	// plotBefore is the plotted time before the failure domain is taken out of service, and
	// plotTime the total plotted time. The engines of the domain restart once they are idle,
	// which takes longer than measureTime.
	plotBefore = 10 * time.Second
	plotTime   = 150 * time.Second

	plotWidth, plotHeight = 22 * vg.Centimeter, 11 * vg.Centimeter
)

// plotColors are the line colors of policies and of failure domains.
var plotColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x5f, B: 0x02, A: 0xff},
	color.RGBA{R: 0x2a, G: 0x8c, B: 0x4a, A: 0xff},
	color.RGBA{R: 0x7b, G: 0x4f, B: 0xa3, A: 0xff},
}

var gray = color.Gray{Y: 0x90}

// series records the tokens delivered to callers in each second of a simulation.
type series struct {
	// gaps contains the token gaps of each second, in units of gapUnit.
	gaps   []*hdrhistogram.Histogram
	tokens [regions][]float64
	// returnedAt is the time, in seconds, of the first token from a restarted engine of the
	// failure domain. 0 means that there was none.
	returnedAt float64
}

func newSeries() *series {
	n := int(plotTime / time.Second)
	s := &series{}
	for range n {
		s.gaps = append(s.gaps, hdrhistogram.New(1, gapMax, 3))
	}
	for i := range s.tokens {
		s.tokens[i] = make([]float64, n)
	}
	return s
}

func (s *series) token(sim *simulation, q *request, at time.Time) {
	if at.Before(sim.start) || !at.Before(sim.end) {
		return
	}
	elapsed := at.Sub(sim.start)
	second := int(elapsed / time.Second)
	s.tokens[regionOf(q.engine)][second]++
	if q.delivered > 0 {
		// RecordValue fails only for values above gapMax.
		_ = s.gaps[second].RecordValue(min(int64(at.Sub(q.lastTokenAt)/gapUnit), gapMax))
	}
	if s.returnedAt == 0 && sim.recorder.restarts > 0 && sim.hosts[q.host].views[q.engine].cold {
		s.returnedAt = elapsed.Seconds()
	}
}

// WritePlots simulates a failure domain that is taken out of service and returns, at load times
// the capacity. It writes two plots to dir: the p99 token gap of each second to token-gaps.png,
// and the tokens per second of each failure domain to domain-tokens.png.
func WritePlots(dir string, load float64, seed uint64) error {
	selected := []int{0, 2, 3} // indexes of policies
	var all []*series
	for _, c := range selected {
		s := newSeries()
		sc := scenario{name: "domain", hosts: 9, reportLag: enginemodel.DefaultReportLag, event: restartDomain,
			warmUp: warmUp, measureTime: plotTime, eventOffset: plotBefore, observe: s.token}
		simulate(sc, load*capacity(), seed, policies[c].make)
		all = append(all, s)
	}
	title := fmt.Sprintf("%.1f times capacity, failure domain a out of service", load)

	p := newPlot("p99 token gap, "+title, "ms")
	for i, s := range all {
		ys := make([]float64, len(s.gaps))
		for j, g := range s.gaps {
			ys[j] = float64(g.ValueAtQuantile(99)) * float64(gapUnit) / float64(time.Millisecond)
		}
		if err := addLine(p, policies[selected[i]].name, ys, plotColors[i], false); err != nil {
			return err
		}
	}
	target := plotter.NewFunction(func(float64) float64 { return float64(gapTarget / time.Millisecond) })
	target.Color = gray
	p.Add(target)
	p.Legend.Add("target", target)
	if err := save(p, dir, "token-gaps.png", all[0]); err != nil {
		return err
	}

	p = newPlot("Tokens by failure domain, "+title, "tokens/s")
	baselineIndex := len(all) - 1
	for region, name := range regionNames {
		if err := addLine(p, name+", core", all[0].tokens[region], plotColors[region], false); err != nil {
			return err
		}
		label := name + ", " + policies[selected[baselineIndex]].name
		if err := addLine(p, label, all[baselineIndex].tokens[region], plotColors[region], true); err != nil {
			return err
		}
	}
	return save(p, dir, "domain-tokens.png", all[0])
}

func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	return p
}

// addLine adds a line with one value per second.
func addLine(p *plot.Plot, name string, ys []float64, c color.Color, dashed bool) error {
	points := make(plotter.XYs, len(ys))
	for i, y := range ys {
		points[i] = plotter.XY{X: float64(i) + 0.5, Y: y}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	if dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// save writes the plot to file in dir. Vertical lines mark when the failure domain was taken out
// of service, when it was returned, and, if it happened, when its restarted engines delivered the
// first token in s.
func save(p *plot.Plot, dir, file string, s *series) error {
	p.Y.Min = 0
	p.X.Max = plotTime.Seconds()
	top := p.Y.Max
	p.Y.Max *= 1.35 // space for the legend
	marks := []float64{plotBefore.Seconds(), (plotBefore + outOfServiceTime).Seconds()}
	if s.returnedAt > 0 {
		marks = append(marks, s.returnedAt)
	}
	for _, x := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		line.Color = gray
		line.Dashes = []vg.Length{vg.Points(1), vg.Points(2)}
		p.Add(line)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, file))
}
