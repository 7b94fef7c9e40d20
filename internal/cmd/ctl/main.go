// Package ctl is the program of the command monsoonkeelctl, the operators' tool
// for monsoonkeel.
//
// Exit codes: 0 ok, 1 usage error, 2 refused or invalid, 3 conflict with
// another operator's change, 4 no daemon answered (nothing was changed), 5 the
// outcome of a change is unknown.
package ctl

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/internal/process/admin"
)

// defaultServer is the admin address of a daemon on the same host.
const defaultServer = "http://127.0.0.1:8081"

const help = `Operates a monsoonkeel deployment.

Exit codes: 0 ok, 1 usage error, 2 refused or invalid, 3 conflict with another operator's change, 4 no daemon answered (nothing was changed), 5 the outcome of a change is unknown.`

// Main runs the program with the process's arguments and exits with its code.
func Main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// tool is the state of one invocation.
type tool struct {
	out, errOut io.Writer
	client      *client
	json        bool
	author      string
	changeID    string
	handlers    map[string]func() error
}

// handle registers the function that runs a command.
func (t *tool) handle(command *kingpin.CmdClause, fn func() error) {
	t.handlers[command.FullCommand()] = fn
}

// mutate registers the function that runs a command which submits a change.
// With --change-id the outcome of an earlier run is read first: the items may
// have changed by it, so that the command would now state other operations.
func (t *tool) mutate(command *kingpin.CmdClause, fn func() error) {
	t.handle(command, func() error {
		if t.changeID == "" {
			return fn()
		}
		var state admin.ChangeState
		if err := t.client.get("changes/"+url.PathEscape(t.changeID), &state); err != nil {
			return err
		}
		if state.State != admin.StateAccepted {
			return fn()
		}
		return t.printAccepted(result{Accepted: true, Revision: state.Revision, ChangeID: t.changeID})
	})
}

func run(args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut, handlers: map[string]func() error{}}
	app := kingpin.New("monsoonkeelctl", help)
	app.UsageWriter(out).ErrorWriter(errOut)
	terminated, code := false, 0
	app.Terminate(func(c int) { terminated, code = true, c })

	servers := app.Flag("server", "Admin URL of a daemon; repeatable, the next one is tried when one fails.").
		Envar("MONSOONKEEL_SERVER").Default(defaultServer).Strings()
	tokenFile := app.Flag("token-file", "File with the operator token; else MONSOONKEEL_TOKEN.").String()
	output := app.Flag("output", "Output format.").Default("table").Enum("table", "json")
	timeout := app.Flag("timeout", "How long to try to learn the outcome of a change.").Default("20s").Duration()
	app.Flag("author", "Name recorded with a change.").Envar("USER").StringVar(&t.author)
	app.Flag("change-id", "Id of the change, to repeat one whose outcome is unknown; random by default.").StringVar(&t.changeID)
	t.classCommands(app)
	t.teamCommands(app)
	t.serviceCommands(app)
	t.domainCommands(app)
	t.hostCommands(app)
	t.readCommands(app)
	t.configCommands(app)

	command, err := app.Parse(args)
	if terminated {
		return code
	}
	if err != nil {
		fmt.Fprintf(errOut, "monsoonkeelctl: %v; try --help\n", err)
		return exitUsage
	}
	token, err := readToken(*tokenFile)
	if err != nil {
		fmt.Fprintf(errOut, "monsoonkeelctl: %v\n", err)
		return exitUsage
	}
	t.json = *output == "json"
	t.client = newClient(*servers, token, *timeout)
	return t.exit(t.handlers[command]())
}

func readToken(file string) (string, error) {
	token := os.Getenv("MONSOONKEEL_TOKEN")
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return "", fmt.Errorf("read token: %w", err)
		}
		token = string(raw)
	}
	if token = strings.TrimSpace(token); token == "" {
		return "", fmt.Errorf("no operator token: use --token-file or MONSOONKEEL_TOKEN")
	}
	return token, nil
}

// tryTimeout bounds one HTTP call; it exceeds the daemon's own limit of 5 s, so
// that the daemon's answer normally arrives.
const tryTimeout = 8 * time.Second
