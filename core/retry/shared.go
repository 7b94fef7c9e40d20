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
// requests.
func (b *Shared) Left(l Limits, hosts int, now time.Time) bool {
	b.expire(l, now)
	limit := l.Share*float64(len(b.first)) + l.Slack/float64(max(1, hosts))
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

// Charge records a repeat that has to be sent in any case.
func (b *Shared) Charge(l Limits, now time.Time) {
	b.expire(l, now)
	b.repeats = append(b.repeats, now)
}

func (b *Shared) expire(l Limits, now time.Time) {
	b.first = since(b.first, now.Add(-l.Window))
	b.repeats = since(b.repeats, now.Add(-l.Window))
}

func since(times []time.Time, oldest time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(oldest) {
		i++
	}
	return times[i:]
}
