package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	coreissuer "monsoonkeel.example/monsoonkeel/core/issuer"
	"monsoonkeel.example/monsoonkeel/internal/process/admin"
	"monsoonkeel.example/monsoonkeel/internal/process/issuer"
)

func (t *tool) engineCommands(app *kingpin.Application) {
	group := app.Command("engine", "Control commands for model engines.")
	t.engineCommand(group, coreissuer.KindLoad, "Load a model, adapter or version.", "NAME or NAME@VERSION.")
	t.engineCommand(group, coreissuer.KindUnload, "Unload a model, adapter or version.", "NAME or NAME@VERSION.")
	t.engineCommand(group, coreissuer.KindRole, "Change the role of engines.", "Role.")
	list := group.Command("commands", "List the control commands of a service with their status.")
	service := list.Arg("service", "Service name.").Required().String()
	t.handle(list, func() error { return t.listEngineCommands(*service) })
}

func (t *tool) engineCommand(group *kingpin.CmdClause, kind coreissuer.Kind, help, nameHelp string) {
	c := group.Command(string(kind), help)
	service := c.Arg("service", "Service name.").Required().String()
	name := c.Arg("name", nameHelp).Required().String()
	backends := c.Flag("backend", "Backend server id; repeatable, default: all live backend servers of the service.").Strings()
	t.handle(c, func() error {
		command := admin.Command{Service: *service, Request: coreissuer.Request{ID: t.changeID, Kind: kind, Name: *name, Backends: *backends}}
		if command.ID == "" {
			command.ID = uuid.NewString()
		}
		accepted, err := t.client.submitCommand(command)
		if err != nil {
			return err
		}
		if t.json {
			return t.printJSON(accepted)
		}
		fmt.Fprintf(t.out, "accepted: command %s for %s\n", accepted.ID, strings.Join(accepted.Backends, ", "))
		return nil
	})
}

// submitCommand sends the command, always with the same id, until a daemon
// accepts or rejects it. Retries are safe, since an id is recorded only once.
func (c *client) submitCommand(command admin.Command) (issuer.AcceptedCommand, error) {
	var accepted issuer.AcceptedCommand
	body, err := json.Marshal(command)
	if err != nil {
		return accepted, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	ambiguous := false
	var failures error
	for round := 1; ctx.Err() == nil && (ambiguous || round <= maxUnsentRounds); round++ {
		failures = nil
		for _, server := range c.servers {
			err := c.call(ctx, http.MethodPost, server, "commands", body, &accepted)
			if err == nil && accepted.ID == command.ID && len(accepted.Backends) > 0 {
				return accepted, nil
			}
			if err == nil {
				err = fmt.Errorf("%s: response does not confirm the command", server)
			}
			failures = errors.Join(failures, err)
			var e *exitError
			switch {
			case !errors.As(err, &e):
				ambiguous = ambiguous || !notSent(err)
			case e.code == exitUnknown:
				ambiguous = true
			case e.code != exitUnreachable && !ambiguous:
				return accepted, e
			}
		}
		sleep(ctx, retryInterval)
	}
	if ambiguous {
		return accepted, &exitError{code: exitUnknown, err: fmt.Errorf(
			"the outcome of command %s is unknown; repeat the command with --change-id %s: %w", command.ID, command.ID, failures)}
	}
	return accepted, &exitError{code: exitUnreachable, err: fmt.Errorf("command not accepted, no daemon was available: %w", failures)}
}

func (t *tool) listEngineCommands(service string) error {
	var list issuer.CommandList
	if err := t.client.get("commands?service="+url.QueryEscape(service), &list); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(list)
	}
	rows := make([][]string, 0, len(list.Commands))
	for _, c := range list.Commands {
		rows = append(rows, []string{c.ID, string(c.Kind), c.Name, c.Backend, string(c.Status), fmt.Sprint(c.FencingToken), c.Detail})
	}
	return t.printTable([]string{"ID", "KIND", "NAME", "BACKEND", "STATUS", "FENCING NUMBER", "DETAIL"}, rows)
}
