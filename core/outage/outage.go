// Package outage decides when a silent store has to be taken for one that is
// away. It is pure.
package outage

import "time"

const (
	// gaps is how many times the mean time between answers, over all hosts, may
	// pass without one.
	gaps = 4
	// shortest covers a store that is slow and the delay of gossip.
	shortest = 450 * time.Millisecond
	// slack is added to the wait of a single host's watch.
	slack = 150 * time.Millisecond
)

// Doubt is how long all hosts together may go without an answer of the store
// until it counts as away. Each has a watch that returns after wait at the
// latest, at times of its own.
func Doubt(wait time.Duration, hosts int) time.Duration {
	mean := wait / time.Duration(max(1, hosts))
	return min(max(gaps*mean, shortest), wait+slack)
}
