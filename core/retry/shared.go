package retry

import "time"

// Limits bound the repeats that all hosts together send to a service: in each
// window a share of the requests, and a number besides.
type Limits struct {
	Share  float64
	Window time.Duration
	Slack  float64
}

// Shared is one host's part of a budget that all hosts draw on without asking
// one another. It is not safe for concurrent use.
type Shared struct {
	first, repeats []time.Time
}

// FirstTry records a request's first try.
func (b *Shared) FirstTry(l Limits, now time.Time) {
	b.expire(l, now)
	b.first = append(b.first, now)
}

// Left reports whether a repeat may be sent now. The slack is divided by the
// number of hosts; the share needs no division, since each host counts its own
// requests. One request less is counted, because the hosts' windows end at
// different times and together may hold that much more than any one window.
func (b *Shared) Left(l Limits, hosts int, now time.Time) bool {
	b.expire(l, now)
	limit := l.Share*float64(max(0, len(b.first)-1)) + l.Slack/float64(max(1, hosts))
	return float64(len(b.repeats)+1) <= limit
}

// Allow reports whether a repeat may be sent now, and charges it if so.
func (b *Shared) Allow(l Limits, hosts int, now time.Time) bool {
	if !b.Left(l, hosts, now) {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// expire forgets what left the window. At its very edge a repeat still counts
// and a first try no longer does, so that no window holds too many repeats.
func (b *Shared) expire(l Limits, now time.Time) {
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
