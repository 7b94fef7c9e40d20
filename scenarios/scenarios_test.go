// Package scenarios tests complete deployments: real daemons, stand-ins and
// monsoonkeelctl as separate processes, driven by the scripts in testdata. The
// guarantees G1 to G9 that the scripts name are listed at alarm.Guarantee in
// core/alarm.
package scenarios

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"monsoonkeel.example/monsoonkeel/internal/cmd/ctl"
	"monsoonkeel.example/monsoonkeel/internal/cmd/daemoncmd"
	"monsoonkeel.example/monsoonkeel/internal/cmd/standincmd"
)

// maxScripts is the number of deployments that run concurrently; each has about
// 12 processes.
const maxScripts = 4

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"monsoonkeeld":        daemoncmd.Main,
		"monsoonkeelctl":      ctl.Main,
		"monsoonkeel-standin": standincmd.Main,
	})
}

// command implements a script command. It returns the text for stdout.
type command func(d *deployment, args []string) (string, error)

// deploymentKey is the key of the script's deployment in testscript's Env.Values.
type deploymentKey struct{}

var commands = map[string]command{
	"deployment":     cmdDeployment,
	"crash":          cmdCrash,
	"term":           cmdTerm,
	"restart":        cmdRestart,
	"freeze":         cmdFreeze,
	"thaw":           cmdThaw,
	"faults":         cmdFaults,
	"hosts":          cmdHosts,
	"cut":            cmdCut,
	"heal":           cmdHeal,
	"request":        cmdRequest,
	"await":          cmdAwait,
	"stream":         cmdStream,
	"hang-up":        cmdHangUp,
	"expect-stream":  cmdExpectStream,
	"load":           cmdLoad,
	"load-progress":  cmdLoadProgress,
	"load-stop":      cmdLoadStop,
	"reconcile":      cmdReconcile,
	"race":           cmdRace,
	"mark":           cmdMark,
	"expect-no-work": cmdExpectNoWork,
	"wait-until":     cmdWaitUntil,
}

// Guards against faults that appear only between real processes; the head of each
// script in testdata names the failures that the script guards against.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, maxScripts)
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			d := ts.Value(deploymentKey{}).(*deployment)
			d.ts = ts
			out, err := run(d, args)
			_, _ = ts.Stdout().Write([]byte(out))
			switch {
			case err != nil && !neg:
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			case err == nil && neg:
				ts.Fatalf("%s %s: succeeded unexpectedly", name, strings.Join(args, " "))
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			d := newDeployment(env)
			env.Values[deploymentKey{}] = d
			env.Defer(d.stop)
			return nil
		},
		Cmds: cmds,
	})
}

// Guards against a script that testscript ignores because of its file name.
func TestEveryScriptRuns(t *testing.T) {
	all, err := filepath.Glob("testdata/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		if filepath.Ext(path) != ".txtar" {
			t.Errorf("%s is not a .txtar file", path)
		}
	}
	if len(all) == 0 {
		t.Error("no scripts found")
	}
}

// flags returns a flag set whose errors are returned instead of printed.
func flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.Usage = func() {}
	return fs
}
