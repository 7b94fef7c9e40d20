// Command policyplot writes the pictures of docs/measurements.md.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/internal/policybench"
)

func main() {
	app := kingpin.New("policyplot", "Writes the pictures of docs/measurements.md.")
	dir := app.Flag("dir", "Directory for the pictures.").Default("docs").ExistingDir()
	load := app.Flag("load", "Load in multiples of the capacity.").Default("1").Float64()
	seed := app.Flag("seed", "Seed of the run.").Default("1").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(policybench.WritePlots(*dir, *load, *seed), "writing the pictures")
}
