package version

import "sync/atomic"

// Counters counts this host's work at one incarnation of a backend server. It
// outlives snapshots and is safe for concurrent use.
type Counters struct{ inFlight atomic.Int64 }

// Add changes the number of requests in flight.
func (c *Counters) Add(n int64) { c.inFlight.Add(n) }

// InFlight returns the number of requests in flight.
func (c *Counters) InFlight() int { return int(c.inFlight.Load()) }
