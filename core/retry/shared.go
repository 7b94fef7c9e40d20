package retry

import "time"

// Limits bound the retries that all hosts together send to a service: in each window,
// Ratio times the number of requests plus Extra.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// SharedBudget is one host's quota of a retry budget that all hosts share without
// coordination. The zero value is ready to use. It is not safe for concurrent use.
type SharedBudget struct {
	firstAttempts, retries []time.Time
}

// RecordFirstAttempt counts a request's first attempt at now.
func (b *SharedBudget) RecordFirstAttempt(l Limits, now time.Time) {
	b.expire(l, now)
	b.firstAttempts = append(b.firstAttempts, now)
}

// Available reports whether a retry may be sent at now, without charging it. Extra is
// divided by the number of hosts; Ratio needs no division, since each host counts its own
// requests. One request less is counted, because the hosts' windows end at different
// times, so that together they may contain one more request per host than any single
// window.
func (b *SharedBudget) Available(l Limits, hosts int, now time.Time) bool {
	b.expire(l, now)
	limit := l.Ratio*float64(max(0, len(b.firstAttempts)-1)) + l.Extra/float64(max(1, hosts))
	return float64(len(b.retries)+1) <= limit
}

// Allow reports whether a retry may be sent at now and, if so, charges it to the budget.
func (b *SharedBudget) Allow(l Limits, hosts int, now time.Time) bool {
	if !b.Available(l, hosts, now) {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// expire drops what is older than the window. Exactly one window ago, a retry still counts
// and a first attempt no longer does, so that no window contains too many retries.
func (b *SharedBudget) expire(l Limits, now time.Time) {
	oldest := now.Add(-l.Window)
	b.firstAttempts = dropExpired(b.firstAttempts, func(at time.Time) bool { return !at.After(oldest) })
	b.retries = dropExpired(b.retries, func(at time.Time) bool { return at.Before(oldest) })
}

func dropExpired(times []time.Time, expired func(time.Time) bool) []time.Time {
	i := 0
	for i < len(times) && expired(times[i]) {
		i++
	}
	return times[i:]
}
