// Package alarm decides which alarms are raised for operators: a class misses
// its target, or a guarantee was violated. It does no I/O and reads no clock;
// callers pass the time. It is not safe for concurrent use.
package alarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Window is the time over which a class's requests are evaluated.
	Window = 60 * time.Second
	// MinRequests is the number of requests in a window below which no target
	// is evaluated, since single requests would decide the result.
	MinRequests = 20
	// MissShare is the fraction of misses that a target allows.
	MissShare = 0.05

	bucketWidth = 5 * time.Second
	buckets     = int64(Window / bucketWidth)

	// maxViolations limits the violations that are tracked separately, so that
	// a fault whose details differ for every request does not increase memory
	// use without bound. Further ones are counted under "other".
	maxViolations = 64
)

// Kind is the subject of an alarm.
type Kind string

const (
	// FirstToken means that a class misses its target for the time to first
	// token.
	FirstToken Kind = "first_token"
	// TokenGap means that a class misses its token gap target.
	TokenGap Kind = "token_gap"
	// Guarantee means that a violation of one of the guarantees G1 to G9 was
	// detected:
	//   - G1: no token is lost, duplicated or spliced in a resumed stream
	//   - G2: no backend server exceeds its cold start limit
	//   - G3: a failure domain that was taken out gets no new work
	//   - G4: a response belongs to its own request and is complete
	//   - G5: a request with the verdict not_run has not run
	//   - G6: an order runs at most once
	//   - G7: a backend server that announced its termination gets no new work
	//   - G8: a graceful shutdown interrupts no request
	//   - G9: accepted configuration changes are neither lost nor reverted
	Guarantee Kind = "guarantee"
)

// Target holds the latency targets of a class, in milliseconds; 0 means no
// target.
type Target struct {
	FirstTokenMS int
	TokenGapMS   int
}

// Sample describes one finished or rejected request.
type Sample struct {
	// FirstTokenMS is the time to first token.
	FirstTokenMS float64
	// Rejected is set when the request was rejected for lack of capacity, which
	// counts as a missed first-token target. Rejections caused by the caller
	// are not observed.
	Rejected bool
	// Gaps counts the token gaps, and LateGaps those above the target.
	Gaps, LateGaps int
	// WorstGapMS is the longest token gap.
	WorstGapMS float64
}

// Alarm describes a missed target or a violated guarantee and when it began.
type Alarm struct {
	Kind Kind `json:"kind"`
	// Class is the affected class, for target alarms.
	Class string `json:"class,omitempty"`
	// Guarantee is the violated guarantee, G1 to G9, for guarantee alarms.
	Guarantee string    `json:"guarantee,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	Since     time.Time `json:"since"`
	// TargetMS is the missed target.
	TargetMS int `json:"target_ms,omitempty"`
	// MissShare is the fraction of requests (first token) or gaps (token gap)
	// in the window that missed the target.
	MissShare float64 `json:"miss_share,omitempty"`
	// WorstMS is the highest time to first token or longest token gap in the
	// window.
	WorstMS float64 `json:"worst_ms,omitempty"`
	// Count is the number of requests in the window, or of violations detected
	// since the alarm was raised.
	Count int `json:"count"`
}

// bucket counts the requests of bucketWidth. missed are those that missed the first-token
// target or were rejected.
type bucket struct {
	requests, missed              int
	streams                       int
	gaps, lateGaps                int
	worstFirstTokenMS, worstGapMS float64
}

type class struct {
	target                    Target
	counts                    [buckets]bucket
	latest                    int64 // newest bucket number
	started                   bool
	firstTokenSince, gapSince time.Time
}

type violationKey struct{ guarantee, detail string }

type violation struct {
	since, last time.Time
	count       int
}

// Tracker holds the windows of all classes and the violations of guarantees.
type Tracker struct {
	classes    map[string]*class
	violations map[violationKey]*violation
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{classes: map[string]*class{}, violations: map[violationKey]*violation{}}
}

// SetTarget sets a class's target. A changed target starts a new window, since
// the counted misses refer to the old one.
func (t *Tracker) SetTarget(name string, target Target) {
	if c := t.classes[name]; c != nil && c.target == target {
		return
	}
	t.classes[name] = &class{target: target}
}

// Remove removes a deleted class and its alarms.
func (t *Tracker) Remove(name string) { delete(t.classes, name) }

// Observe records a request. Requests of a class without SetTarget are ignored.
func (t *Tracker) Observe(name string, s Sample, now time.Time) {
	c := t.classes[name]
	if c == nil {
		return
	}
	b := c.advance(now)
	b.requests++
	b.worstFirstTokenMS = max(b.worstFirstTokenMS, s.FirstTokenMS)
	if s.Rejected || (c.target.FirstTokenMS > 0 && s.FirstTokenMS > float64(c.target.FirstTokenMS)) {
		b.missed++
	}
	if s.Gaps > 0 {
		b.streams++
	}
	b.gaps += s.Gaps
	b.lateGaps += s.LateGaps
	b.worstGapMS = max(b.worstGapMS, s.WorstGapMS)
	c.evaluate(now)
}

// RecordViolation records a detected violation of a guarantee, G1 to G9 (see Guarantee).
func (t *Tracker) RecordViolation(guarantee, detail string, now time.Time) {
	t.expire(now)
	k := violationKey{guarantee, detail}
	v := t.violations[k]
	if v == nil && len(t.violations) >= maxViolations {
		k.detail = "other"
		v = t.violations[k]
	}
	if v == nil {
		v = &violation{since: now}
		t.violations[k] = v
	}
	v.last = now
	v.count++
}

func (t *Tracker) expire(now time.Time) {
	for k, v := range t.violations {
		if now.Sub(v.last) >= Window {
			delete(t.violations, k)
		}
	}
}

// Active returns the active alarms, ordered by start time. An alarm clears when
// its window contains too few misses or requests, and a guarantee alarm when no
// violation was detected for a whole Window.
func (t *Tracker) Active(now time.Time) []Alarm {
	t.expire(now)
	var out []Alarm
	for name, c := range t.classes {
		c.advance(now)
		out = c.evaluate(now).appendAlarms(out, name, c)
	}
	for k, v := range t.violations {
		out = append(out, Alarm{Kind: Guarantee, Guarantee: k.guarantee, Detail: k.detail, Since: v.since, Count: v.count})
	}
	slices.SortFunc(out, func(a, b Alarm) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Guarantee, b.Guarantee), cmp.Compare(a.Detail, b.Detail))
	})
	return out
}

// evaluation is the sum of a class's window.
type evaluation struct{ sum bucket }

// appendAlarms appends the active alarms of a class.
func (e evaluation) appendAlarms(out []Alarm, name string, c *class) []Alarm {
	if !c.firstTokenSince.IsZero() {
		out = append(out, Alarm{Kind: FirstToken, Class: name, Since: c.firstTokenSince, TargetMS: c.target.FirstTokenMS,
			MissShare: share(e.sum.missed, e.sum.requests), WorstMS: e.sum.worstFirstTokenMS, Count: e.sum.requests})
	}
	if !c.gapSince.IsZero() {
		out = append(out, Alarm{Kind: TokenGap, Class: name, Since: c.gapSince, TargetMS: c.target.TokenGapMS,
			MissShare: share(e.sum.lateGaps, e.sum.gaps), WorstMS: e.sum.worstGapMS, Count: e.sum.streams})
	}
	return out
}

// evaluate sums the window and sets or clears the start times of missed
// targets.
func (c *class) evaluate(now time.Time) evaluation {
	var s bucket
	for i := range c.counts {
		b := &c.counts[i]
		s.requests += b.requests
		s.missed += b.missed
		s.streams += b.streams
		s.gaps += b.gaps
		s.lateGaps += b.lateGaps
		s.worstFirstTokenMS = max(s.worstFirstTokenMS, b.worstFirstTokenMS)
		s.worstGapMS = max(s.worstGapMS, b.worstGapMS)
	}
	updateSince(&c.firstTokenSince, c.target.FirstTokenMS > 0 && s.requests >= MinRequests && share(s.missed, s.requests) > MissShare, now)
	updateSince(&c.gapSince, c.target.TokenGapMS > 0 && s.streams >= MinRequests && share(s.lateGaps, s.gaps) > MissShare, now)
	return evaluation{sum: s}
}

func updateSince(since *time.Time, missed bool, now time.Time) {
	switch {
	case !missed:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (c *class) advance(now time.Time) *bucket {
	n := now.UnixNano() / int64(bucketWidth)
	if !c.started {
		c.started, c.latest = true, n
	}
	if n-c.latest > buckets {
		c.latest = n - buckets
	}
	for c.latest < n {
		c.latest++
		*c.at(c.latest) = bucket{}
	}
	return c.at(c.latest)
}

func (c *class) at(n int64) *bucket { return &c.counts[((n%buckets)+buckets)%buckets] }
