// Package calibration compares the engine model with generations recorded on real engines. It
// replays the requests at the recorded times against one model per engine and compares the
// times of their events.
package calibration

import (
	"embed"
	"encoding/csv"
	"fmt"
	"io"
	"path"
	"sort"
	"strconv"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// Error is the class of errors from reading recordings and writing plots.
var Error = errs.Class("calibration")

// recordings contains generations of days without incidents at 0.5, 1 and 1.6 times the usual
// load, as logged by the entry hosts, with the latency between host and engine subtracted.
//
//go:embed testdata/*.csv
var recordings embed.FS

// LoadLevels are the names of the recordings, by increasing load.
var LoadLevels = []string{"low", "mid", "high"}

// Generation is one recorded or simulated generation.
type Generation struct {
	// Arrival is relative to the start of the recording.
	Arrival time.Duration
	Engine  int
	// Prompt and Output are lengths in tokens.
	Prompt, Output int
	// FirstEvent is the time from arrival to the first stream event, and MeanEventGap the
	// mean time between two consecutive events.
	FirstEvent, MeanEventGap time.Duration
}

// Recording returns the generations recorded at one of LoadLevels, ordered by arrival.
func Recording(load string) ([]Generation, error) {
	f, err := recordings.Open(path.Join("testdata", load+".csv"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return ReadCSV(f)
}

// ReadCSV decodes generations from comma-separated values and sorts them by arrival. The
// columns are arrival in ms, engine, prompt and output tokens, first event in ms, and mean
// event gap in ms. The first line is a header and is skipped.
func ReadCSV(r io.Reader) ([]Generation, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = 6
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var generations []Generation
	for i, row := range rows[min(1, len(rows)):] {
		var v [6]float64
		for j, text := range row {
			if v[j], err = strconv.ParseFloat(text, 64); err != nil || v[j] < 0 {
				return nil, Error.New("generation %d: %q is not a non-negative number", i+1, text)
			}
		}
		ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
		generations = append(generations, Generation{
			Arrival: ms(v[0]), Engine: int(v[1]), Prompt: int(v[2]), Output: int(v[3]), FirstEvent: ms(v[4]), MeanEventGap: ms(v[5]),
		})
	}
	sort.SliceStable(generations, func(i, j int) bool { return generations[i].Arrival < generations[j].Arrival })
	return generations, nil
}

// Replay returns the generations with the event times simulated by the model. An event
// carries eventTokens tokens; the last one of a generation may carry fewer.
func Replay(params enginemodel.Params, eventTokens int, generations []Generation) ([]Generation, error) {
	out := append([]Generation(nil), generations...)
	byEngine := map[int][]int{}
	for i, g := range generations {
		byEngine[g.Engine] = append(byEngine[g.Engine], i)
	}
	for _, indexes := range byEngine {
		if err := replayEngine(params, eventTokens, out, indexes); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func replayEngine(params enginemodel.Params, eventTokens int, generations []Generation, indexes []int) error {
	start := time.Unix(0, 0)
	engine := enginemodel.New(params, 1, start)
	firstAt := map[uint64]time.Time{}
	apply := func(events []enginemodel.Event) {
		for _, e := range events {
			g := &generations[e.ID]
			switch {
			case e.Kind == enginemodel.Token && e.Offset == min(eventTokens, g.Output):
				firstAt[e.ID] = e.At
				g.FirstEvent = e.At.Sub(start.Add(g.Arrival))
			case e.Kind == enginemodel.Finished:
				g.MeanEventGap = 0
				if events := (g.Output + eventTokens - 1) / eventTokens; events > 1 {
					g.MeanEventGap = e.At.Sub(firstAt[e.ID]) / time.Duration(events-1)
				}
			}
		}
	}
	for _, i := range indexes {
		at := start.Add(generations[i].Arrival)
		apply(engine.Advance(at))
		if _, err := engine.Submit(enginemodel.Request{ID: uint64(i), Prompt: generations[i].Prompt, Output: generations[i].Output}, at); err != nil {
			return err
		}
	}
	for {
		at, ok := engine.NextAt()
		if !ok {
			return nil
		}
		apply(engine.Advance(at))
	}
}

// Row compares one quantile of one quantity, in milliseconds.
type Row struct {
	Load, Quantity        string
	Measured, Model       float64
	RelativeError         float64 // (Model - Measured) / Measured
	MedianAbsoluteErrorMS float64 // over the individual generations, the same for all quantiles
}

// quantiles are those that Compare returns for each quantity.
var quantiles = []struct {
	name string
	at   float64
}{{"p50", 0.5}, {"p95", 0.95}}

// Compare returns the quantiles of the event times of both and their differences. The
// generations of measured and model must be in the same order.
func Compare(load string, measured, model []Generation) []Row {
	var rows []Row
	for _, q := range []struct {
		name string
		of   func(Generation) time.Duration
	}{
		{"first event", func(g Generation) time.Duration { return g.FirstEvent }},
		{"gap", func(g Generation) time.Duration { return g.MeanEventGap }},
	} {
		var a, b, differences []float64
		for i := range measured {
			x, y := milliseconds(q.of(measured[i])), milliseconds(q.of(model[i]))
			a, b, differences = append(a, x), append(b, y), append(differences, max(x-y, y-x))
		}
		sort.Float64s(a)
		sort.Float64s(b)
		sort.Float64s(differences)
		for _, p := range quantiles {
			x, y := stat.Quantile(p.at, stat.Empirical, a, nil), stat.Quantile(p.at, stat.Empirical, b, nil)
			rows = append(rows, Row{
				Load: load, Quantity: q.name + " " + p.name, Measured: x, Model: y, RelativeError: (y - x) / x,
				MedianAbsoluteErrorMS: stat.Quantile(0.5, stat.Empirical, differences, nil),
			})
		}
	}
	return rows
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// MarkdownTable formats the rows as a Markdown table with a header.
func MarkdownTable(rows []Row) string {
	out := "| load | quantity | measured ms | model ms | error | median error per generation, ms |\n|---|---|---|---|---|---|\n"
	for _, r := range rows {
		out += fmt.Sprintf("| %s | %s | %.0f | %.0f | %+.0f%% | %.0f |\n",
			r.Load, r.Quantity, r.Measured, r.Model, 100*r.RelativeError, r.MedianAbsoluteErrorMS)
	}
	return out
}
