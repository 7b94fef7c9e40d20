package scenarios

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// killGracePeriod is how long after the kill of an entry host a call to it may start
// and still count as cut off by the kill.
const killGracePeriod = 2 * time.Second

// journalLine is a journal entry together with its backend server.
type journalLine struct {
	standin.JournalEntry
	backend *process
}

// journals returns the journal lines of all backend servers, including those of
// killed processes.
func (d *deployment) journals() ([]journalLine, error) {
	var out []journalLine
	for _, p := range d.backends {
		raw, err := os.ReadFile(p.journal)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, text := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
			if len(text) == 0 {
				continue
			}
			line := journalLine{backend: p}
			if err := json.Unmarshal(text, &line.JournalEntry); err != nil {
				return nil, fmt.Errorf("%s: %w: %s", p.journal, err, text)
			}
			out = append(out, line)
		}
	}
	return out, nil
}

// findings are the violations that reconcile found, by the names of findingNames.
type findings map[string][]string

func (f findings) add(name, format string, args ...any) {
	f[name] = append(f[name], fmt.Sprintf(format, args...))
}

// findingNames lists the kinds of findings; reconcile fails if any was found:
//   - lost: a response was cut off without a kill of its entry host, or the order of
//     a complete response is in no journal
//   - doubled: an order was executed more than once
//   - false_not_run: a request with the verdict not_run was executed
//   - spliced: a response is inconsistent, or belongs to another request or to a
//     generation that no journal has for the request
//   - over_cold_bound: the concurrency limit of a cold engine was exceeded
//   - reverted: a ready host has an older configuration revision than before
//   - failed: a call of a kind in -succeed is not complete
var findingNames = []string{"lost", "doubled", "false_not_run", "spliced", "over_cold_bound", "reverted", "failed"}

// cmdReconcile compares the callers' records with the journals of the engines
// and plain services. With -succeed, all calls of these kinds must be complete.
func cmdReconcile(d *deployment, args []string) (string, error) {
	flag := flags("reconcile")
	succeed := flag.String("succeed", "", "kinds of calls that must all be complete, or all")
	minComplete := flag.Int("min", 1, "minimum number of complete calls, below which the result is inconclusive")
	if err := flag.Parse(args); err != nil {
		return "", err
	}
	for name, l := range d.loads {
		select {
		case <-l.done:
		default:
			return "", fmt.Errorf("load %s is still running", name)
		}
	}
	lines, err := d.journals()
	if err != nil {
		return "", err
	}
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	found := findings{"reverted": d.log.reverted}
	d.log.checkJournals(found, lines)
	counts := map[result]int{}
	for _, r := range d.log.records {
		counts[r.result]++
		d.log.checkRecord(found, r, lines)
		if required := *succeed == "all" || slices.Contains(strings.Split(*succeed, ","), string(r.kind)); required && r.result != complete && r.kind != kindOther {
			found.add("failed", "%s", r)
		}
	}
	summary := fmt.Sprintf("calls %d complete %d refused %d typed_end %d cut %d runs %d", len(d.log.records), counts[complete],
		counts[refused], counts[typedEnd], counts[cutOff], len(lines))
	var details []string
	for _, name := range findingNames {
		summary += fmt.Sprintf(" %s %d", name, len(found[name]))
		for _, text := range found[name][:min(len(found[name]), 5)] {
			details = append(details, name+": "+text)
		}
	}
	if len(details) > 0 {
		return summary + "\n", fmt.Errorf("%s\n%s", summary, strings.Join(details, "\n"))
	}
	if counts[complete] < *minComplete {
		return summary + "\n", fmt.Errorf("%d calls were complete, at least %d are required", counts[complete], *minComplete)
	}
	return summary + "\n", nil
}

// checkJournals finds orders that were executed more than once and cold engines
// whose concurrency limit was exceeded.
func (l *callLog) checkJournals(found findings, lines []journalLine) {
	runs := map[string][]journalLine{}
	for _, line := range lines {
		if line.IdempotencyKey != "" {
			runs[line.IdempotencyKey] = append(runs[line.IdempotencyKey], line)
		}
		if line.ColdLimitExceeded {
			found.add("over_cold_bound", "%s at %s, requests started by this incarnation until then:%s", line.backend.name, line.At.Format(timeFormat), l.startsUntil(line, lines))
		}
	}
	for key, list := range runs {
		if len(list) > 1 {
			found.add("doubled", "order %s was executed %d times: %s %s and %s %s", key, len(list), list[0].backend.name, list[0].RequestID,
				list[1].backend.name, list[1].RequestID)
		}
	}
}

// timeFormat is the layout of times in findings.
const timeFormat = "15:04:05.000"

// startsUntil lists the requests that the incarnation of last received until
// then, with the entry hosts that sent them.
func (l *callLog) startsUntil(last journalLine, lines []journalLine) string {
	var out strings.Builder
	for _, line := range lines {
		if line.Incarnation != last.Incarnation || line.At.After(last.At) {
			continue
		}
		host := "unknown host"
		for _, r := range l.records {
			if r.requestID == line.RequestID {
				host = fmt.Sprintf("%s (called at %s)", r.host, r.start.Format(timeFormat))
			}
		}
		fmt.Fprintf(&out, "\n    %s from %s", line.At.Format(timeFormat), host)
	}
	return out.String()
}

// checkRecord compares one call with the journals.
func (l *callLog) checkRecord(found findings, r *callRecord, lines []journalLine) {
	switch {
	case r.result == cutOff && !l.endedByKill(r):
		found.add("lost", "%s", r)
	case r.result == mismatched:
		found.add("spliced", "%s", r)
	case r.problem.Verdict == "not_run" && (r.result == refused || r.result == typedEnd):
		if i := slices.IndexFunc(lines, func(s journalLine) bool { return s.RequestID == r.requestID }); i >= 0 {
			found.add("false_not_run", "%s, but it was executed at %s", r, lines[i].backend.name)
		}
	case r.result == complete && (r.kind == kindOrder || r.kind == kindRepeated):
		if !slices.ContainsFunc(lines, func(s journalLine) bool { return s.IdempotencyKey == r.idempotencyKey }) {
			found.add("lost", "%s, but the order is in no journal", r)
		}
	}
	if r.generation != "" && !r.resumed && !slices.ContainsFunc(lines, func(s journalLine) bool {
		return s.Generation == r.generation && s.RequestID == r.requestID
	}) {
		found.add("spliced", "%s, but no journal has generation %s for this request", r, r.generation)
	}
}

// endedByKill reports whether the call broke because its entry host was killed.
func (l *callLog) endedByKill(r *callRecord) bool {
	return slices.ContainsFunc(l.killed[r.host], func(at time.Time) bool {
		return !r.end.Before(at) && r.start.Before(at.Add(killGracePeriod))
	})
}

// cmdMark records the current time under a name: mark NAME.
func cmdMark(d *deployment, args []string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("usage: mark NAME")
	}
	d.marks[args[0]] = time.Now()
	return "", nil
}

// cmdExpectNoWork checks the start times in the journals: no request may start at
// the backend servers in the given failure domain, or with the given name, later
// than delay after the first mark and before the second mark, or now.
func cmdExpectNoWork(d *deployment, args []string) (string, error) {
	fs := flags("expect-no-work")
	after := fs.String("after", "", "mark")
	until := fs.String("until", "", "mark; now if absent")
	delay := fs.Duration("delay", 3*time.Second, "time after the mark in which requests may still start")
	length := fs.Duration("for", 0, "wait until this long after the mark before the check")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	from, ok := d.marks[*after]
	if !ok || fs.NArg() != 1 {
		return "", fmt.Errorf("usage: expect-no-work -after MARK NAME")
	}
	time.Sleep(time.Until(from.Add(*length)))
	end := time.Now()
	if *until != "" {
		end = d.marks[*until]
	}
	if !end.After(from.Add(*delay)) {
		return "", fmt.Errorf("the checked interval is empty: it ends before the delay after the mark")
	}
	lines, err := d.journals()
	if err != nil {
		return "", err
	}
	var early, elsewhere, late int
	var last, firstLate time.Duration
	for _, line := range lines {
		since := line.At.Sub(from)
		named := line.backend.name == fs.Arg(0) || line.backend.domain == fs.Arg(0)
		switch {
		case since < 0 || line.At.After(end):
		case !named && since > *delay:
			elsewhere++
		case named && since > *delay:
			if late++; late == 1 {
				firstLate = since
			}
		case named:
			early++
			last = max(last, since)
		}
	}
	out := fmt.Sprintf("last request started %s after the mark; after the delay: %d at %s, %d elsewhere\n", last, late, fs.Arg(0), elsewhere)
	switch {
	case late > 0:
		return out, fmt.Errorf("%d requests started at %s, the first one %s after the mark", late, fs.Arg(0), firstLate)
	case elsewhere == 0:
		return out, fmt.Errorf("no request started elsewhere, so the check is inconclusive")
	}
	return out, nil
}
