package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/internal/forward"
)

// maxExplainError limits the text of an error response that is printed.
const maxExplainError = 4 << 10

func (t *tool) explainCommand(app *kingpin.Application) {
	c := app.Command("explain", "Show where an entry host would send a request now, and why. Nothing is sent, and no token is needed.")
	metrics := c.Flag("entry-metrics", "Metrics address of the entry host, host:port.").Required().String()
	host := c.Flag("host", "Host name, as a caller sends it.").Required().String()
	path := c.Flag("path", "Path, as a caller sends it.").Required().String()
	team := c.Flag("team", "Team of the caller; default: a caller without an API key.").String()
	prompt := c.Flag("prompt-tokens", "Number of prompt tokens.").Default("0").Uint32()
	output := c.Flag("output-tokens", "Number of output tokens.").Default("0").Uint32()
	t.withoutToken[c.FullCommand()] = true
	t.handle(c, func() error {
		query := url.Values{"host": {*host}, "path": {*path}}
		if *team != "" {
			query.Set("team", *team)
		}
		query.Set("prompt_tokens", strconv.FormatUint(uint64(*prompt), 10))
		query.Set("output_tokens", strconv.FormatUint(uint64(*output), 10))
		e, err := t.client.explain(*metrics, query)
		if err != nil {
			return err
		}
		if t.json {
			return t.printJSON(e)
		}
		return t.printExplanation(e)
	})
}

func (c *client) explain(address string, query url.Values) (e forward.ExplainResult, err error) {
	target := url.URL{Scheme: "http", Host: address, Path: "/explain", RawQuery: query.Encode()}
	request, err := http.NewRequest(http.MethodGet, target.String(), nil)
	if err != nil {
		return e, usageError("invalid metrics address %q: %w", address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return e, &exitError{code: exitUnreachable, err: fmt.Errorf("the entry host did not respond: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxExplainError)) // part of a text is better than none
		return e, rejectedError("%s: status %d: %s", address, response.StatusCode, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&e); err != nil {
		return e, rejectedError("%s: decode response: %w", address, err)
	}
	return e, nil
}

func (t *tool) printExplanation(e forward.ExplainResult) error {
	var rows [][]string
	add := func(name, format string, args ...any) {
		rows = append(rows, []string{name, fmt.Sprintf(format, args...)})
	}
	add("entry host", "%s", e.HostID)
	add("outcome", "%s", outcomeText(e))
	if e.Route != "" {
		add("route", "%s (%s, priority %d, deadline after %s)", e.Route, e.Kind, e.Priority, ms(e.DeadlineMS))
		var shares []string
		for _, s := range e.Services {
			shares = append(shares, fmt.Sprintf("%s weight %d", s.Name, s.Weight))
		}
		add("service", "%s (of: %s)", e.Service, strings.Join(shares, ", "))
		add("requests waiting", "%d", e.Waiting)
	}
	if r := e.Rollout; r != nil {
		add("roll-out", "to %s, %s, share %.0f%%, explained as %s", r.Target, r.Phase, 100*r.Share, map[bool]string{true: "exposed", false: "not exposed"}[r.Exposed])
	}
	if e.PlacedByGroup {
		add("chosen by", "aggregator %s", orUnknown(e.Aggregator))
	}
	add("configuration", "version %d, confirmed %s", e.ConfigVersion, age(e.ConfigAgeMS))
	add("news of other hosts", "%s", age(e.PeersAgeMS))
	for _, n := range e.Notes {
		add("note", "%s", n)
	}
	if err := t.printTable([]string{"FIELD", "VALUE"}, rows); err != nil || len(e.Candidates) == 0 {
		return err
	}
	fmt.Fprintln(t.out)
	rows = nil
	for _, c := range e.Candidates {
		rows = append(rows, candidateRow(c))
	}
	return t.printTable([]string{"SERVER", "DOMAIN", "REGION", "RESULT", "COST", "LOAD", "PREFILL", "DISTANCE", "SPEED", "LATE", "OWN R/T/P", "OTHERS R/T/P", "LEARNED"}, rows)
}

func outcomeText(e forward.ExplainResult) string {
	switch {
	case e.Rejected != nil:
		return fmt.Sprintf("%s: %d %s: %s", e.Outcome, e.Rejected.Status, e.Rejected.Code, e.Rejected.Detail)
	case e.Outcome == forward.OutcomeWaits:
		return fmt.Sprintf("%s up to %s for a server (%s)", e.Outcome, ms(e.WaitsMS), e.Reason)
	}
	return e.Outcome + " to " + e.Chosen
}

func candidateRow(c forward.ExplainCandidate) []string {
	var result []string
	if c.Chosen {
		result = append(result, "chosen") // with an exclusion: there is no better server
	}
	for _, x := range c.Excluded {
		text := string(x)
		switch {
		case x == balance.ExcludedEjected:
			text += " for " + ms(c.EjectedForMS)
		case x == balance.ExcludedRefusing:
			text += " for " + ms(c.RefusesForMS)
		}
		result = append(result, text)
	}
	if c.SecondChoice && len(c.Excluded) == 0 {
		result = append(result, "other version first")
	}
	if len(result) == 0 {
		result = []string{"usable"}
	}
	row := []string{c.ID, c.Domain, c.Region, strings.Join(result, ", ")}
	if k := c.Cost; k != nil {
		for _, v := range []float64{k.Total, k.Load, k.Prefill, k.Distance, k.Speed, k.Late} {
			row = append(row, strconv.FormatFloat(v, 'f', 3, 64))
		}
	} else {
		row = append(row, "-", "-", "-", "-", "-", "-")
	}
	learned := "-"
	if s := c.Speed; s != nil {
		learned = fmt.Sprintf("speed %.2f, slow-down %.2f, limit %.2f, late rate %.4f, sampled %s", s.Speed, s.Slowdown, s.Limit, s.LateRate, age(s.AgeMS))
	}
	return append(row, loadText(c.Own), loadText(c.Peers), learned)
}

func loadText(l balance.Load) string { return fmt.Sprintf("%d/%d/%d", l.Requests, l.Tokens, l.Prefill) }

func ms(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func age(n *int64) string {
	if n == nil {
		return "never"
	}
	return ms(*n) + " ago"
}

func orUnknown(s string) string {
	if s == "" {
		return "unknown"
	}
	return s
}
