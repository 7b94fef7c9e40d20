package attribution

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rejection is the decision to reject requests with a prompt part.
type Rejection struct {
	// Parts has several entries while the evidence does not tell them apart: each of them
	// was present at the same crashes.
	Parts []Part
	// Crashes are the crashes that the decision is based on, by time, without their parts.
	Crashes []Crash
}

// First and Last return the times of the first and the last crash.
func (r *Rejection) First() time.Duration { return r.Crashes[0].At }

// Last returns the time of the last crash.
func (r *Rejection) Last() time.Duration { return r.Crashes[len(r.Crashes)-1].At }

// Until returns when requests with the part may be tried again. The time doubles with each
// trial that crashes an engine.
func (r *Rejection) Until() time.Duration {
	return r.Last() + min(max(2*(r.Last()-r.First()), minHold), maxHold)
}

// Covers reports whether a request with these parts has all parts of the rejection.
func (r *Rejection) Covers(parts []Part) bool {
	for _, p := range r.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// Rejections is an immutable set of rejections. The zero value has none.
type Rejections struct {
	byPart map[Part]*Rejection
	list   []*Rejection
}

// All returns the rejections.
func (r *Rejections) All() []*Rejection { return r.list }

// Find returns a rejection for a request with these parts, or nil. One that covers the request
// comes first.
func (r *Rejections) Find(parts []Part) *Rejection {
	if len(r.byPart) == 0 {
		return nil
	}
	var found *Rejection
	for _, p := range parts {
		rejection := r.byPart[p]
		if rejection == nil {
			continue
		}
		if rejection.Covers(parts) {
			return rejection
		}
		found = rejection
	}
	return found
}

// AllowTrial reports whether a request with these parts may be sent in spite of a rejection, and
// records the trial if so. A trial shows which of several parts crashes engines, or, at the elected
// host and after the rejection's hold, whether the part still does.
func (t *Tracker) AllowTrial(r *Rejection, parts []Part, now time.Duration, elected bool) bool {
	interval := trialInterval
	if r.Covers(parts) {
		if !elected || now < r.Until() {
			return false
		}
		interval = TrialSlot
	}
	key := r.Parts[0]
	if last, ok := t.trials[key]; ok && now-last < interval {
		return false
	}
	t.trials[key] = now
	return true
}

// Elected reports whether a host is the one among all that may try a rejected part at now. The
// choice changes with each TrialSlot, since the requests with the part may reach some hosts only.
func (r *Rejection) Elected(host string, others []string, now time.Duration) bool {
	slot := uint64((now - r.Last()) / TrialSlot)
	weight := func(id string) uint64 {
		return xxhash.Sum64String(id) ^ (uint64(r.Parts[0])+slot)*0x9e3779b97f4a7c15
	}
	own := weight(host)
	for _, id := range others {
		if id != host && weight(id) < own {
			return false
		}
	}
	return true
}

// AllowRetry reports whether a request with these parts may be sent to another engine after its
// engine crashed: not if one of them was present at maxCrashesBeforeRetry crashes, and no answer with
// it has begun since.
func (t *Tracker) AllowRetry(parts []Part) bool {
	for _, p := range parts {
		crashes := 0
		for _, c := range t.crashes {
			if _, ok := c.parts[p]; ok {
				crashes++
			}
		}
		if crashes >= maxCrashesBeforeRetry {
			return false
		}
	}
	return true
}

// evaluate computes the rejections from all evidence and reports whether they changed. The part
// with the most crashes explains all of them, so that they do not count against other parts of the
// same requests.
func (t *Tracker) evaluate(now time.Duration) bool {
	t.evaluated = now
	present := map[Part][]*crash{}
	for _, c := range t.crashes {
		for p := range c.parts {
			present[p] = append(present[p], c)
		}
	}
	next := &Rejections{byPart: map[Part]*Rejection{}}
	explained := map[*crash]bool{}
	for {
		parts, crashes := t.strongest(present, explained, now)
		if len(parts) == 0 {
			break
		}
		r := &Rejection{Parts: parts}
		for _, c := range crashes {
			explained[c] = true
			r.Crashes = append(r.Crashes, c.Crash)
		}
		for _, p := range parts {
			next.byPart[p] = r
		}
		next.list = append(next.list, r)
	}
	changed := !sameParts(t.current, next)
	t.current = next
	return changed
}

// strongest returns the parts that were present at the most crashes not yet explained, if those
// suffice for a rejection, and these crashes.
func (t *Tracker) strongest(present map[Part][]*crash, explained map[*crash]bool, now time.Duration) (parts []Part, crashes []*crash) {
	open := map[Part][]*crash{}
	best := Part(0)
	for p, at := range present {
		list := slices.DeleteFunc(slices.Clone(at), func(c *crash) bool { return explained[c] })
		if len(list) < minCrashes || len(list) < len(crashes) || !t.suffices(p, list, now) {
			continue
		}
		open[p] = list
		if len(list) > len(crashes) || p < best {
			best, crashes = p, list
		}
	}
	for p, list := range open {
		if slices.Equal(list, crashes) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts, crashes
}

// suffices reports whether crashes at which a part was present get it rejected.
func (t *Tracker) suffices(p Part, crashes []*crash, now time.Duration) bool {
	addresses := map[string]bool{}
	engines := 0
	for _, c := range crashes {
		addresses[c.Address] = true
		engines = max(engines, c.Engines)
	}
	if len(addresses) < min(minAddresses, engines) {
		return false
	}
	answered, ok := t.lastAnswer(p)
	wasSound := ok && crashes[0].At-answered < soundWindow
	needed := minCrashes
	if engines < minAddresses || wasSound {
		needed = minCrashesIfSound
	}
	return countSeparate(crashes) >= needed || !wasSound && countUnanswered(crashes, now) >= minUnansweredCrashes
}

// countUnanswered counts the crashes whose answerWait has passed. An answer within that time would
// have removed the part from them.
func countUnanswered(crashes []*crash, now time.Duration) (n int) {
	for _, c := range crashes {
		if now-c.At >= answerWait {
			n++
		}
	}
	return n
}

// countSeparate counts the crashes without those that follow another one too closely to be an
// event of their own.
func countSeparate(crashes []*crash) (n int) {
	var last time.Duration
	inDomain := map[string]time.Duration{}
	for _, c := range crashes {
		previous, ok := inDomain[c.Domain]
		if n > 0 && c.At-last < minSpacing || ok && c.Domains > 1 && c.At-previous < minDomainSpacing {
			continue
		}
		n++
		last, inDomain[c.Domain] = c.At, c.At
	}
	return n
}

func sameParts(a, b *Rejections) bool {
	if len(a.byPart) != len(b.byPart) {
		return false
	}
	for p, r := range b.byPart {
		if old := a.byPart[p]; old == nil || !slices.Equal(old.Parts, r.Parts) {
			return false
		}
	}
	return true
}
