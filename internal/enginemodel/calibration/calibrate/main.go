// Command calibrate prints the error of the engine model relative to recorded generations and
// writes the plot in docs/measurements.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
	"monsoonkeel.example/monsoonkeel/internal/enginemodel/calibration"
)

func main() {
	app := kingpin.New("calibrate", "Compares the engine model with recorded generations.")
	dir := app.Flag("dir", "Directory for the plot. No plot is written if empty.").Default("").String()
	stepTokens := app.Flag("step-tokens", "Maximum number of tokens the model processes in one step.").Default(fmt.Sprint(enginemodel.ProductionParams().StepTokens)).Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	params := enginemodel.ProductionParams()
	params.StepTokens = *stepTokens
	var rows []calibration.Row
	var series []calibration.Series
	for _, load := range calibration.LoadLevels {
		measured, err := calibration.Recording(load)
		app.FatalIfError(err, "reading the recording")
		model, err := calibration.Replay(params, enginemodel.ProductionEventTokens, measured)
		app.FatalIfError(err, "replaying the recording")
		rows = append(rows, calibration.Compare(load, measured, model)...)
		series = append(series, calibration.Series{Load: load, Measured: measured, Model: model})
	}
	fmt.Print(calibration.MarkdownTable(rows))
	if *dir != "" {
		app.FatalIfError(calibration.WritePlot(*dir, series), "writing the plot")
	}
}
