package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

func (t *tool) printJSON(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (t *tool) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printItems prints the items sorted by name, as a table or as JSON.
func printItems[T any](t *tool, items map[string]T, header []string, row func(T) []string) error {
	names := slices.Sorted(maps.Keys(items))
	list := make([]T, 0, len(items))
	rows := make([][]string, 0, len(items))
	for _, name := range names {
		list = append(list, items[name])
		rows = append(rows, row(items[name]))
	}
	if t.json {
		return t.printJSON(list)
	}
	return t.printTable(header, rows)
}

// formatCell formats a decoded JSON value as a table cell.
func formatCell(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(raw)
	}
}
