package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/config"
)

func (t *tool) configCommands(app *kingpin.Application) {
	group := app.Command("config", "The configuration as one document.")
	t.handle(group.Command("get", "Print the configuration as JSON."), func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		return t.printJSON(doc)
	})
	apply := group.Command("apply", "Store the items of a file as one change.")
	applyFile, applyPrune := fileFlags(apply)
	t.handleChange(apply, func() error {
		ops, err := t.difference(*applyFile, *applyPrune)
		if err != nil {
			return err
		}
		if len(ops) == 0 {
			if t.json {
				return t.printJSON(map[string]bool{"changed": false})
			}
			fmt.Fprintln(t.out, "no changes")
			return nil
		}
		return t.submit("", ops...)
	})
	diff := group.Command("diff", "Show what apply would change.")
	diffFile, diffPrune := fileFlags(diff)
	t.handle(diff, func() error {
		ops, err := t.difference(*diffFile, *diffPrune)
		if err != nil {
			return err
		}
		return t.printOps(ops)
	})
	t.handle(group.Command("history", "List the newest accepted changes."), t.history)
}

func fileFlags(c *kingpin.CmdClause) (file *string, prune *bool) {
	return c.Flag("file", "File in the format of config get; sections may be omitted.").Short('f').Required().String(),
		c.Flag("prune", "Also delete stored items that are missing from the sections of the file.").Bool()
}

func (t *tool) difference(file string, prune bool) ([]config.Op, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError("read file: %w", err)
	}
	desired, err := decodeDesired(raw)
	if err != nil {
		return nil, usageError("%s: %w", file, err)
	}
	doc, err := t.document()
	if err != nil {
		return nil, err
	}
	return desired.difference(doc, prune)
}

func (t *tool) printOps(ops []config.Op) error {
	if t.json {
		if ops == nil {
			ops = []config.Op{}
		}
		return t.printJSON(ops)
	}
	rows := make([][]string, 0, len(ops))
	for _, op := range ops {
		rows = append(rows, []string{string(op.Action), string(op.Kind), op.Name, fmt.Sprint(op.Expected), string(op.Value)})
	}
	return t.printTable([]string{"ACTION", "KIND", "NAME", "STORED REVISION", "VALUE"}, rows)
}

func (t *tool) history() error {
	var raw json.RawMessage
	var entries []config.Entry
	if err := t.client.get("history", &raw); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &entries); err != nil {
		return fmt.Errorf("decode history: %w", err)
	}
	if t.json {
		return t.printJSON(raw)
	}
	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		var ops []string
		for _, op := range e.Change.Ops {
			ops = append(ops, fmt.Sprintf("%s %s %s", op.Action, op.Kind, op.Name))
		}
		rows = append(rows, []string{fmt.Sprint(e.Revision), e.Change.At.Format(time.RFC3339), e.Change.Author, e.Change.ID, strings.Join(ops, ", ")})
	}
	return t.printTable([]string{"REVISION", "TIME", "AUTHOR", "CHANGE", "OPERATIONS"}, rows)
}
