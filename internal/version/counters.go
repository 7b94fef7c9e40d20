package version

import "sync/atomic"

// Counters counts this host's requests in flight at one incarnation of a backend
// server. It is shared by successive snapshots and safe for concurrent use.
type Counters struct{ inFlight atomic.Int64 }

// Add adds n, which may be negative, to the number of requests in flight.
func (c *Counters) Add(n int64) { c.inFlight.Add(n) }

// InFlight returns the requests that were added and not yet removed.
func (c *Counters) InFlight() int { return int(c.inFlight.Load()) }
