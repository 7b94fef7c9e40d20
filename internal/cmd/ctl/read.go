package ctl

import (
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func (t *tool) readCommands(app *kingpin.Application) {
	t.handle(app.Command("status", "Show the status of a daemon."), t.status)
	t.handle(app.Command("alarms", "List active alarms."), t.alarms)
	t.handle(app.Command("dump", "Show the state dump of a daemon as JSON."), func() error {
		var dump any
		if err := t.client.get("dump", &dump); err != nil {
			return err
		}
		return t.printJSON(dump)
	})
}

func (t *tool) status() error {
	var status map[string]any
	if err := t.client.get("status", &status); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(status)
	}
	var rows [][]string
	for _, key := range slices.Sorted(maps.Keys(status)) {
		rows = append(rows, []string{key, formatCell(status[key])})
	}
	return t.printTable([]string{"FIELD", "VALUE"}, rows)
}

// alarms prints the active alarms, with a column for every field that any of them
// has.
func (t *tool) alarms() error {
	var alarms []map[string]any
	if err := t.client.get("alarms", &alarms); err != nil {
		return err
	}
	if t.json {
		if alarms == nil {
			alarms = []map[string]any{}
		}
		return t.printJSON(alarms)
	}
	columns := map[string]bool{}
	for _, alarm := range alarms {
		for key := range alarm {
			columns[key] = true
		}
	}
	keys := slices.Sorted(maps.Keys(columns))
	if len(alarms) == 0 {
		keys = []string{"no alarms"}
	}
	var rows [][]string
	for _, alarm := range alarms {
		row := make([]string, 0, len(keys))
		for _, key := range keys {
			row = append(row, formatCell(alarm[key]))
		}
		rows = append(rows, row)
	}
	return t.printTable([]string{strings.ToUpper(strings.Join(keys, "\t"))}, rows)
}
