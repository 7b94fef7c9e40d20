package version

import (
	"sync/atomic"
	"time"
)

// recentStarts is how many start times a Counters keeps to correct lagged load
// reports. More starts than this within one report lag count as this many.
const recentStarts = 64

// Counters counts this host's work at one incarnation of a backend server. It
// outlives snapshots and is safe for concurrent use.
type Counters struct {
	inFlight atomic.Int64
	next     atomic.Uint64
	starts   [recentStarts]atomic.Int64
}

// TryAcquire takes a place if fewer than limit requests are in flight.
func (c *Counters) TryAcquire(limit int, now time.Time) bool {
	for {
		n := c.inFlight.Load()
		if n >= int64(limit) {
			return false
		}
		if c.inFlight.CompareAndSwap(n, n+1) {
			c.starts[(c.next.Add(1)-1)%recentStarts].Store(now.UnixNano())
			return true
		}
	}
}

// Release returns a place.
func (c *Counters) Release() { c.inFlight.Add(-1) }

// InFlight returns the number of requests in flight.
func (c *Counters) InFlight() int { return int(c.inFlight.Load()) }

// StartedSince returns how many requests started after t, at most recentStarts.
func (c *Counters) StartedSince(t time.Time) int {
	since, n := t.UnixNano(), 0
	for i := range c.starts {
		if c.starts[i].Load() > since {
			n++
		}
	}
	return n
}
