// Package ctl implements monsoonkeelctl, the command-line tool for operators of
// monsoonkeel.
//
// Exit codes: 0 ok, 1 usage error, 2 rejected or invalid, 3 conflict with
// another operator's change, 4 no daemon responded (nothing was changed), 5 the
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

// defaultServer is the admin URL of a daemon on the same host.
const defaultServer = "http://127.0.0.1:8081"

const help = `Operates a monsoonkeel deployment.

Exit codes: 0 ok, 1 usage error, 2 rejected or invalid, 3 conflict with another operator's change, 4 no daemon responded (nothing was changed), 5 the outcome of a change is unknown.`

// Main runs monsoonkeelctl with the arguments of the process and exits with the
// exit code.
func Main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// tool holds the state of one invocation of the program.
type tool struct {
	out, errOut io.Writer
	client      *client
	json        bool
	author      string
	changeID    string
	handlers    map[string]func() error
	// withoutToken has the commands that need no operator token.
	withoutToken map[string]bool
}

// handle registers fn as the implementation of a command.
func (t *tool) handle(command *kingpin.CmdClause, fn func() error) {
	t.handlers[command.FullCommand()] = fn
}

// handleChange registers fn as the implementation of a command that submits a
// change. With --change-id it first checks whether an earlier invocation was
// accepted: the items have then changed, and the command would produce other
// operations under the same id.
func (t *tool) handleChange(command *kingpin.CmdClause, fn func() error) {
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
		return t.printAccepted(changeResult{Accepted: true, Revision: state.Revision, ChangeID: t.changeID})
	})
}

func run(args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut, handlers: map[string]func() error{}, withoutToken: map[string]bool{}}
	app := kingpin.New("monsoonkeelctl", help)
	app.UsageWriter(out).ErrorWriter(errOut)
	terminated, code := false, 0
	app.Terminate(func(c int) { terminated, code = true, c })

	servers := app.Flag("server", "Admin URL of a daemon; repeatable, further daemons are used when one fails.").
		Envar("MONSOONKEEL_SERVER").Default(defaultServer).Strings()
	tokenFile := app.Flag("token-file", "File with the operator token; default: the value of MONSOONKEEL_TOKEN.").String()
	output := app.Flag("output", "Output format.").Default("table").Enum("table", "json")
	timeout := app.Flag("timeout", "Time limit for determining the outcome of a change.").Default("20s").Duration()
	app.Flag("author", "Name recorded with a change.").Envar("USER").StringVar(&t.author)
	app.Flag("change-id", "Id of the change, to retry one whose outcome is unknown; random by default.").StringVar(&t.changeID)
	t.classCommands(app)
	t.teamCommands(app)
	t.serviceCommands(app)
	t.domainCommands(app)
	t.hostCommands(app)
	t.readCommands(app)
	t.configCommands(app)
	t.engineCommands(app)
	t.explainCommand(app)

	command, err := app.Parse(args)
	if terminated {
		return code
	}
	if err != nil {
		fmt.Fprintf(errOut, "monsoonkeelctl: %v; try --help\n", err)
		return exitUsage
	}
	token, err := readToken(*tokenFile)
	if err != nil && !t.withoutToken[command] {
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
			return "", fmt.Errorf("read token file: %w", err)
		}
		token = string(raw)
	}
	if token = strings.TrimSpace(token); token == "" {
		return "", fmt.Errorf("operator token is missing: use --token-file or MONSOONKEEL_TOKEN")
	}
	return token, nil
}

// attemptTimeout limits one HTTP request. It is longer than the daemon's own
// limit of 5 s, so that the daemon's response normally arrives.
const attemptTimeout = 8 * time.Second
