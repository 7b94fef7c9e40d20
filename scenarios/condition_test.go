package scenarios

import (
	"context"
	"fmt"
	"strings"
	"text/template"
	"time"
)

// cmdWaitUntil waits until a template, executed on a process's state, yields a
// text, by default "true":
// wait-until NAME status|dump|alarms|history|config|journal|load|faults TEMPLATE [TEXT].
func cmdWaitUntil(d *deployment, args []string) (string, error) {
	fs := flags("wait-until")
	limit := fs.Duration("timeout", 20*time.Second, "maximum wait")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if fs.NArg() < 3 || fs.NArg() > 4 {
		return "", fmt.Errorf("usage: wait-until [-timeout D] NAME WHAT TEMPLATE [TEXT]")
	}
	p, err := d.process(fs.Arg(0))
	if err != nil {
		return "", err
	}
	condition, err := template.New("condition").Option("missingkey=error").Parse(fs.Arg(2))
	if err != nil {
		return "", err
	}
	want := "true"
	if fs.NArg() == 4 {
		want = fs.Arg(3)
	}
	last := ""
	err = waitFor(context.Background(), *limit, func() (bool, string) {
		state, err := stateOf(p, fs.Arg(1))
		if err != nil {
			return false, err.Error()
		}
		var out strings.Builder
		if err := condition.Execute(&out, state); err != nil {
			return false, err.Error()
		}
		last = out.String()
		return last == want, fmt.Sprintf("%q", last)
	})
	return last + "\n", err
}

// stateOf fetches the named state of a process and returns the decoded JSON.
func stateOf(p *process, what string) (any, error) {
	switch what {
	case "status", "dump", "alarms", "history", "config":
		return getJSON[any]("http://"+p.admin+"/admin/v1/"+what, "Authorization", "Bearer "+operatorToken)
	case "journal":
		return getJSON[any](p.url() + "/debug/journal")
	case "faults":
		return getJSON[any](p.url() + "/faults")
	case "load":
		return getJSON[any](p.url() + "/v1/load")
	}
	return nil, fmt.Errorf("unknown state %q", what)
}
