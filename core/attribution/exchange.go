package attribution

import (
	"slices"
	"sort"
	"time"
)

// Report is a Crash as it is sent to other hosts.
type Report struct {
	Process
	Address string `json:"a"`
	Domain  string `json:"d"`
	AgeMS   int64  `json:"t"`
	Engines int    `json:"n"`
	Domains int    `json:"z"`
	Parts   []Part `json:"p"`
}

// Answer tells other hosts that an answer to a request with Part began.
type Answer struct {
	Part  Part  `json:"p"`
	AgeMS int64 `json:"t"`
}

// Merge adds the evidence of another host. It reports whether the rejections changed.
func (t *Tracker) Merge(reports []Report, answers []Answer, now time.Duration) bool {
	changed := false
	for _, a := range answers {
		at := now - age(a.AgeMS)
		if known, ok := t.peerAnswered.get(a.Part); !ok || known < at {
			t.peerAnswered.set(a.Part, at)
		}
		changed = t.clear(a.Part, at) || changed
	}
	for _, r := range reports {
		at := now - age(r.AgeMS)
		changed = t.add(Crash{Process: r.Process, Address: r.Address, Domain: r.Domain, At: at, Engines: r.Engines, Domains: r.Domains, Parts: r.Parts}, now) || changed
	}
	return changed && t.evaluate(now)
}

// age converts an age of a message, limited to the range from 0 to maxAge.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// Reports returns the crashes for other hosts, at most maxReportParts parts: first those that
// rejections are based on, then the newest.
func (t *Tracker) Reports(now time.Duration) []Report {
	var reports []Report
	left := maxReportParts
	for _, supporting := range []bool{true, false} {
		for _, c := range slices.Backward(t.crashes) {
			if t.supports(c) != supporting || len(c.parts) == 0 || left == 0 {
				continue
			}
			limit := left
			if supporting {
				limit = min(left, maxSupportingParts)
			}
			parts := t.reportedParts(c, limit)
			left -= len(parts)
			reports = append(reports, Report{
				Process: c.Process, Address: c.Address, Domain: c.Domain, AgeMS: (now - c.At).Milliseconds(), Engines: c.Engines, Domains: c.Domains, Parts: parts,
			})
		}
	}
	return reports
}

// reportedParts returns at most limit parts of a crash, sorted. Rejected ones come first.
func (t *Tracker) reportedParts(c *crash, limit int) []Part {
	parts := make([]Part, 0, len(c.parts))
	for p := range c.parts {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b Part) int {
		switch ra, rb := t.current.byPart[a] != nil, t.current.byPart[b] != nil; {
		case ra != rb && ra:
			return -1
		case ra != rb:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return parts[:min(len(parts), limit)]
}

// Answers returns the answers of this host that contradict crash records, and those with parts
// of crashes within soundWindow.
func (t *Tracker) Answers(now time.Duration) []Answer {
	parts := map[Part]struct{}{}
	for p := range t.exports {
		parts[p] = struct{}{}
	}
	for _, c := range t.crashes {
		for p := range c.parts {
			if at, ok := t.answered.get(p); ok && now-at < soundWindow {
				parts[p] = struct{}{}
			}
		}
	}
	answers := make([]Answer, 0, len(parts))
	for p := range parts {
		if at, ok := t.answered.get(p); ok && len(answers) < maxAnswers {
			answers = append(answers, Answer{Part: p, AgeMS: (now - at).Milliseconds()})
		}
	}
	sort.Slice(answers, func(i, j int) bool { return answers[i].Part < answers[j].Part })
	return answers
}
