// Command calibrate prints how far the engine model is off the recorded runs and
// writes the picture of docs/measurements.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
	"monsoonkeel.example/monsoonkeel/internal/enginemodel/calibration"
)

func main() {
	app := kingpin.New("calibrate", "Compares the engine model with recorded runs.")
	dir := app.Flag("dir", "Directory for the picture; empty for none.").Default("").String()
	chunk := app.Flag("step-tokens", "Tokens of a step, to try others.").Default(fmt.Sprint(enginemodel.ProductionParams().StepTokens)).Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	params := enginemodel.ProductionParams()
	params.StepTokens = *chunk
	var rows []calibration.Row
	var shown []calibration.Series
	for _, load := range calibration.LoadLevels {
		measured, err := calibration.Recording(load)
		app.FatalIfError(err, "reading the record")
		model, err := calibration.Replay(params, enginemodel.ProductionEventTokens, measured)
		app.FatalIfError(err, "replaying the record")
		rows = append(rows, calibration.Compare(load, measured, model)...)
		shown = append(shown, calibration.Series{Load: load, Measured: measured, Model: model})
	}
	fmt.Print(calibration.MarkdownTable(rows))
	if *dir != "" {
		app.FatalIfError(calibration.WritePlot(*dir, shown), "writing the picture")
	}
}
