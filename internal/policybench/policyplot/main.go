// Command policyplot writes the plots in docs/measurements.md.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/internal/policybench"
)

func main() {
	app := kingpin.New("policyplot", "Writes the plots in docs/measurements.md.")
	dir := app.Flag("dir", "Directory for the plots.").Default("docs").ExistingDir()
	load := app.Flag("load", "Load as a multiple of the capacity.").Default("1").Float64()
	seed := app.Flag("seed", "Seed of the simulation.").Default("1").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(policybench.WritePlots(*dir, *load, *seed), "writing the plots")
}
