// Package soakcmd implements the command monsoonkeel-soak, which runs the program of the entry hosts under disruptions.
package soakcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/platform/soak"
)

// Exit codes.
const (
	exitFindings = 1
	exitFailure  = 2
)

// Main runs monsoonkeel-soak with the arguments of the process. It ends the processes that it has started, also after SIGTERM or
// SIGINT.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

type options struct {
	soak.Options
	seeds     int
	mutations bool
	rule      string
	quiet     bool
}

func parse(args []string) (options, error) {
	var o options
	var only []string
	app := kingpin.New("monsoonkeel-soak", "Runs monsoonkeel-entry as separate processes under disruptions and checks what callers and backend servers see.")
	app.Flag("program", "Path of monsoonkeel-entry.").Default("bin/monsoonkeel-entry").StringVar(&o.Program)
	app.Flag("dir", "Directory for logs, results and plots; one below it for each seed.").Required().StringVar(&o.Dir)
	app.Flag("seed", "Seed of the first run.").Default("1").Uint64Var(&o.Seed)
	app.Flag("seeds", "Number of runs, one after the other.").Default("1").IntVar(&o.seeds)
	app.Flag("duration", "Duration of a run.").Default("3m").DurationVar(&o.Duration)
	app.Flag("hosts", "Number of entry hosts.").Default("6").IntVar(&o.Hosts)
	app.Flag("engines", "Number of model engines.").Default("6").IntVar(&o.Engines)
	app.Flag("desks", "Number of plain servers.").Default("4").IntVar(&o.Desks)
	app.Flag("only", "Kind of disruption; can be repeated. All by default.").StringsVar(&only)
	app.Flag("cheat-wrong-body", "Let plain servers answer with a wrong body at times, which a check must find.").BoolVar(&o.Cheats.WrongBody)
	app.Flag("cheat-ignore-close", "Let all engines work on after their connections have closed.").BoolVar(&o.Cheats.IgnoreClose)
	app.Flag("mutations", "In the repository: build the program with one guard taken out after another, and show that a check finds it.").BoolVar(&o.mutations)
	app.Flag("rule", "With --mutations: only those that the check of this rule has to find.").StringVar(&o.rule)
	app.Flag("quiet", "Print no progress.").BoolVar(&o.quiet)
	app.Terminate(nil)
	if _, err := app.Parse(args); err != nil {
		return o, err
	}
	for _, k := range only {
		o.Only = append(o.Only, soak.Kind(k))
	}
	return o, soak.Validate(o.Options)
}

func run(ctx context.Context, args []string) int {
	o, err := parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "monsoonkeel-soak: %v\n", err)
		return exitFailure
	}
	if o.mutations {
		missed, err := checkMutations(ctx, o.Options, o.rule)
		if err != nil {
			fmt.Fprintf(os.Stderr, "monsoonkeel-soak: %v\n", err)
			return exitFailure
		}
		return min(missed, exitFindings)
	}
	code := 0
	for n := range o.seeds {
		one := o.Options
		one.Seed = o.Seed + uint64(n)
		one.Dir = filepath.Join(o.Dir, fmt.Sprint("seed-", one.Seed))
		if !o.quiet {
			one.Progress = func(p soak.Progress) {
				fmt.Fprintf(os.Stderr, "\rseed %d: %v of %v, %d disruptions, %d requests, %d findings ", one.Seed, p.At.Round(time.Second), one.Duration, p.Disruptions, p.Requests, p.Findings)
			}
		}
		result, err := soak.Run(ctx, one)
		if err == nil {
			err = write(result, one.Dir)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "\nmonsoonkeel-soak: seed %d: %v\n", one.Seed, err)
			return exitFailure
		}
		fmt.Printf("seed %d: %d disruptions, %d requests, outcomes %v, %d findings\n", result.Seed, len(result.Schedule), result.Requests, result.Outcomes, len(result.Findings))
		for _, f := range result.Findings {
			fmt.Printf("  %s: request %q: %s\n", f.Rule, f.Request, f.Detail)
			code = exitFindings
		}
	}
	return code
}

// write writes the result and the plot.
func write(r *soak.Result, dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(dir, "result.json"), text, 0o600), r.WritePlot(filepath.Join(dir, "outcomes.png")))
}
