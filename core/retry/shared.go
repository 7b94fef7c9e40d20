package retry

import "time"

// Limits bound the repeats that all hosts together send to a service: in each
// window a share of the requests, and a number besides.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// SharedBudget is one host's part of a budget that all hosts draw on without asking
// one another. It is not safe for concurrent use.
type SharedBudget struct {
	first, repeats []time.Time
}

// RecordFirstAttempt records a request's first try.
func (b *SharedBudget) RecordFirstAttempt(l Limits, now time.Time) {
	b.expire(l, now)
	b.first = append(b.first, now)
}

// Available reports whether a repeat may be sent now. The slack is divided by the
// number of hosts; the share needs no division, since each host counts its own
// requests. One request less is counted, because the hosts' windows end at
// different times and together may hold that much more than any one window.
func (b *SharedBudget) Available(l Limits, hosts int, now time.Time) bool {
	b.expire(l, now)
	limit := l.Ratio*float64(max(0, len(b.first)-1)) + l.Extra/float64(max(1, hosts))
	return float64(len(b.repeats)+1) <= limit
}

// Allow reports whether a repeat may be sent now, and charges it if so.
func (b *SharedBudget) Allow(l Limits, hosts int, now time.Time) bool {
	if !b.Available(l, hosts, now) {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// expire forgets what left the window. At its very edge a repeat still counts
// and a first try no longer does, so that no window holds too many repeats.
func (b *SharedBudget) expire(l Limits, now time.Time) {
	oldest := now.Add(-l.Window)
	b.first = drop(b.first, func(at time.Time) bool { return !at.After(oldest) })
	b.repeats = drop(b.repeats, func(at time.Time) bool { return at.Before(oldest) })
}

func drop(times []time.Time, expired func(time.Time) bool) []time.Time {
	i := 0
	for i < len(times) && expired(times[i]) {
		i++
	}
	return times[i:]
}
