// Package calibration compares the engine model with runs that were recorded on
// engines: the same requests arrive at the same times at the same engines, and
// the times of their events are set side by side.
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

// Error is the class of malformed records.
var Error = errs.Class("calibration")

// recorded holds runs of calm days at half, all and 1.6 times the usual load, as
// the entry hosts logged them, less the way between host and engine.
//
//go:embed testdata/*.csv
var recorded embed.FS

// LoadLevels are the names of the recorded runs, by growing load.
var LoadLevels = []string{"low", "mid", "high"}

// Generation is one generation.
type Generation struct {
	// Arrival counts from the start of the record.
	Arrival time.Duration
	Engine  int
	// Prompt and Output are in tokens.
	Prompt, Output int
	// FirstEvent is the time from arrival to the first event, MeanEventGap the mean time
	// between two events.
	FirstEvent, MeanEventGap time.Duration
}

// Recording returns the runs of one of Loads.
func Recording(load string) ([]Generation, error) {
	f, err := recorded.Open(path.Join("testdata", load+".csv"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return ReadCSV(f)
}

// ReadCSV decodes runs from comma-separated values: arrival in ms, engine, prompt
// and output tokens, first event in ms, mean gap in ms. The first line holds the
// names of the columns.
func ReadCSV(r io.Reader) ([]Generation, error) {
	lines := csv.NewReader(r)
	lines.FieldsPerRecord = 6
	rows, err := lines.ReadAll()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var runs []Generation
	for i, row := range rows[min(1, len(rows)):] {
		var v [6]float64
		for j, text := range row {
			if v[j], err = strconv.ParseFloat(text, 64); err != nil || v[j] < 0 {
				return nil, Error.New("run %d: %q is not a number of 0 or more", i+1, text)
			}
		}
		ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
		runs = append(runs, Generation{
			Arrival: ms(v[0]), Engine: int(v[1]), Prompt: int(v[2]), Output: int(v[3]), FirstEvent: ms(v[4]), MeanEventGap: ms(v[5]),
		})
	}
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].Arrival < runs[j].Arrival })
	return runs, nil
}

// Replay returns the runs with the times that the model gives them. An event
// holds eventTokens tokens.
func Replay(params enginemodel.Params, eventTokens int, runs []Generation) ([]Generation, error) {
	out := append([]Generation(nil), runs...)
	byEngine := map[int][]int{}
	for i, r := range runs {
		byEngine[r.Engine] = append(byEngine[r.Engine], i)
	}
	for _, indexes := range byEngine {
		if err := replayEngine(params, eventTokens, out, indexes); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func replayEngine(params enginemodel.Params, eventTokens int, runs []Generation, indexes []int) error {
	start := time.Unix(0, 0)
	engine := enginemodel.New(params, 1, start)
	firstAt := map[uint64]time.Time{}
	take := func(events []enginemodel.Event) {
		for _, e := range events {
			r := &runs[e.ID]
			switch {
			case e.Kind == enginemodel.Token && e.Offset == min(eventTokens, r.Output):
				firstAt[e.ID] = e.At
				r.FirstEvent = e.At.Sub(start.Add(r.Arrival))
			case e.Kind == enginemodel.Finished:
				r.MeanEventGap = 0
				if events := (r.Output + eventTokens - 1) / eventTokens; events > 1 {
					r.MeanEventGap = e.At.Sub(firstAt[e.ID]) / time.Duration(events-1)
				}
			}
		}
	}
	for _, i := range indexes {
		at := start.Add(runs[i].Arrival)
		take(engine.Advance(at))
		if _, err := engine.Submit(enginemodel.Request{ID: uint64(i), Prompt: runs[i].Prompt, Output: runs[i].Output}, at); err != nil {
			return err
		}
	}
	for {
		at, ok := engine.NextAt()
		if !ok {
			return nil
		}
		take(engine.Advance(at))
	}
}

// Row is the comparison of one quantity, in milliseconds.
type Row struct {
	Load, Quantity        string
	Measured, Model       float64
	RelativeError         float64 // as a share of Measured
	MedianAbsoluteErrorMS float64 // of the single runs
}

// quantiles are compared.
var quantiles = []struct {
	name string
	at   float64
}{{"p50", 0.5}, {"p95", 0.95}}

// Compare sets the times of the runs side by side.
func Compare(load string, measured, model []Generation) []Row {
	var rows []Row
	for _, q := range []struct {
		name string
		of   func(Generation) time.Duration
	}{
		{"first event", func(r Generation) time.Duration { return r.FirstEvent }},
		{"gap", func(r Generation) time.Duration { return r.MeanEventGap }},
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

// MarkdownTable returns the rows as a table in Markdown.
func MarkdownTable(rows []Row) string {
	out := "| load | quantity | measured ms | model ms | error | median error of one run, ms |\n|---|---|---|---|---|---|\n"
	for _, r := range rows {
		out += fmt.Sprintf("| %s | %s | %.0f | %.0f | %+.0f%% | %.0f |\n",
			r.Load, r.Quantity, r.Measured, r.Model, 100*r.RelativeError, r.MedianAbsoluteErrorMS)
	}
	return out
}
