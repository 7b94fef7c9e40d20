// Package alarm decides when an operator is told that something is broken: a
// class misses its target, or a guarantee was seen broken. It is pure and not
// safe for concurrent use; callers lock or merge.
package alarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Window is the time over which a class's requests are judged.
	Window = 60 * time.Second
	// MinRequests is the number of requests in a window below which no target
	// is judged, since single requests would decide.
	MinRequests = 20
	// MissShare is the share of misses that a target allows.
	MissShare = 0.05

	bucketWidth = 5 * time.Second
	buckets     = int64(Window / bucketWidth)

	// maxDetails bounds the breaches kept apart, so that a fault that names
	// every request does not grow memory. Further ones count under "other".
	maxDetails = 64
)

// Kind says what an alarm is about.
type Kind string

const (
	// FirstToken means that a class misses its time-to-first-token target.
	FirstToken Kind = "first_token"
	// TokenGap means that a class misses its token gap target.
	TokenGap Kind = "token_gap"
	// Guarantee means that one of the guarantees G1 to G9 was seen broken.
	Guarantee Kind = "guarantee"
)

// Target is what operators promise for a class, in milliseconds; 0 is no target.
type Target struct {
	FirstTokenMS int
	TokenGapMS   int
}

// Sample describes one finished or refused request.
type Sample struct {
	// FirstTokenMS is the time to first token.
	FirstTokenMS float64
	// Rejected marks a request that was refused for lack of capacity; it
	// missed its first-token target. Refusals that the caller caused are not
	// observed.
	Rejected bool
	// Gaps and LateGaps count the gaps between tokens and those above target.
	Gaps, LateGaps int
	// WorstGapMS is the longest gap.
	WorstGapMS float64
}

// Alarm names what is broken, what it affects and since when.
type Alarm struct {
	Kind Kind `json:"kind"`
	// Class is the affected class, for target alarms.
	Class string `json:"class,omitempty"`
	// Guarantee is G1 to G9, for guarantee alarms.
	Guarantee string    `json:"guarantee,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	Since     time.Time `json:"since"`
	// TargetMS is the broken target.
	TargetMS int `json:"target_ms,omitempty"`
	// MissShare is the share of requests (first token) or gaps (token gap)
	// that missed the target in the window.
	MissShare float64 `json:"miss_share,omitempty"`
	// WorstMS is the worst figure in the window.
	WorstMS float64 `json:"worst_ms,omitempty"`
	// Count is the number of requests in the window, or of breaches seen since
	// the alarm was raised.
	Count int `json:"count"`
}

type bucket struct {
	requests, late      int
	streams             int
	gaps, lateGaps      int
	worstMS, worstGapMS float64
}

type class struct {
	target               Target
	counts               [buckets]bucket
	latest               int64
	begun                bool
	firstSince, gapSince time.Time
}

type breachKey struct{ guarantee, detail string }

type breach struct {
	since, last time.Time
	count       int
}

// Tracker keeps the windows of all classes.
type Tracker struct {
	classes  map[string]*class
	breaches map[breachKey]*breach
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{classes: map[string]*class{}, breaches: map[breachKey]*breach{}}
}

// SetTarget sets a class's target. A changed target starts a new window, since
// the counted misses are those of the old one.
func (t *Tracker) SetTarget(name string, target Target) {
	if c := t.classes[name]; c != nil && c.target == target {
		return
	}
	t.classes[name] = &class{target: target}
}

// Remove forgets a class that was deleted, with its alarms.
func (t *Tracker) Remove(name string) { delete(t.classes, name) }

// Observe records a request. A class without a target is ignored.
func (t *Tracker) Observe(name string, s Sample, now time.Time) {
	c := t.classes[name]
	if c == nil {
		return
	}
	b := c.advance(now)
	b.requests++
	b.worstMS = max(b.worstMS, s.FirstTokenMS)
	if s.Rejected || (c.target.FirstTokenMS > 0 && s.FirstTokenMS > float64(c.target.FirstTokenMS)) {
		b.late++
	}
	if s.Gaps > 0 {
		b.streams++
	}
	b.gaps += s.Gaps
	b.lateGaps += s.LateGaps
	b.worstGapMS = max(b.worstGapMS, s.WorstGapMS)
	c.judge(now)
}

// RecordViolation records that a guarantee (G1 to G9) was seen broken.
func (t *Tracker) RecordViolation(guarantee, detail string, now time.Time) {
	t.expire(now)
	k := breachKey{guarantee, detail}
	b := t.breaches[k]
	if b == nil && len(t.breaches) >= maxDetails {
		k.detail = "other"
		b = t.breaches[k]
	}
	if b == nil {
		b = &breach{since: now}
		t.breaches[k] = b
	}
	b.last = now
	b.count++
}

func (t *Tracker) expire(now time.Time) {
	for k, b := range t.breaches {
		if now.Sub(b.last) >= Window {
			delete(t.breaches, k)
		}
	}
}

// Active returns the alarms in force, in a stable order. An alarm clears when
// its window holds too few misses or requests, and a breach when none was seen
// for a window.
func (t *Tracker) Active(now time.Time) []Alarm {
	t.expire(now)
	var out []Alarm
	for name, c := range t.classes {
		c.advance(now)
		out = c.judge(now).append(out, name, c)
	}
	for k, b := range t.breaches {
		out = append(out, Alarm{Kind: Guarantee, Guarantee: k.guarantee, Detail: k.detail, Since: b.since, Count: b.count})
	}
	slices.SortFunc(out, func(a, b Alarm) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Guarantee, b.Guarantee), cmp.Compare(a.Detail, b.Detail))
	})
	return out
}

type judgement struct{ sum bucket }

func (j judgement) append(out []Alarm, name string, c *class) []Alarm {
	if !c.firstSince.IsZero() {
		out = append(out, Alarm{Kind: FirstToken, Class: name, Since: c.firstSince, TargetMS: c.target.FirstTokenMS,
			MissShare: share(j.sum.late, j.sum.requests), WorstMS: j.sum.worstMS, Count: j.sum.requests})
	}
	if !c.gapSince.IsZero() {
		out = append(out, Alarm{Kind: TokenGap, Class: name, Since: c.gapSince, TargetMS: c.target.TokenGapMS,
			MissShare: share(j.sum.lateGaps, j.sum.gaps), WorstMS: j.sum.worstGapMS, Count: j.sum.streams})
	}
	return out
}

// judge sums the window and sets or clears the times since when targets are missed.
func (c *class) judge(now time.Time) judgement {
	var s bucket
	for i := range c.counts {
		b := &c.counts[i]
		s.requests += b.requests
		s.late += b.late
		s.streams += b.streams
		s.gaps += b.gaps
		s.lateGaps += b.lateGaps
		s.worstMS = max(s.worstMS, b.worstMS)
		s.worstGapMS = max(s.worstGapMS, b.worstGapMS)
	}
	mark(&c.firstSince, c.target.FirstTokenMS > 0 && s.requests >= MinRequests && share(s.late, s.requests) > MissShare, now)
	mark(&c.gapSince, c.target.TokenGapMS > 0 && s.streams >= MinRequests && share(s.lateGaps, s.gaps) > MissShare, now)
	return judgement{sum: s}
}

func mark(since *time.Time, broken bool, now time.Time) {
	switch {
	case !broken:
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
	if !c.begun {
		c.begun, c.latest = true, n
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
