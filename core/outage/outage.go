// Package outage computes after how long without a response the store counts as
// unavailable. It does no I/O and has no clock or goroutines.
package outage

import "time"

const (
	// missedResponses is the timeout in mean intervals between responses, counted over
	// all store readers.
	missedResponses = 4
	// minTimeout allows for a slow store and the delay of gossip.
	minTimeout = 450 * time.Millisecond
	// watchGrace is how long after its timeout a watch may return.
	watchGrace = 150 * time.Millisecond
)

// DetectionTimeout returns how long no host may have received a response from the store
// before the store counts as unavailable. Each store reader has one watch per element of
// watchTimeouts, which returns after that time at the latest; the watches of different readers
// are not synchronized, so more readers mean a shorter timeout. The result is at least
// minTimeout, unless the shortest watch timeout plus watchGrace is less.
func DetectionTimeout(watchTimeouts []time.Duration, readers int) time.Duration {
	if len(watchTimeouts) == 0 {
		return minTimeout
	}
	rate := 0.0                  // responses per second to one reader
	shortest := watchTimeouts[0] // timeout of the watch that returns first
	for _, w := range watchTimeouts {
		rate += 1 / w.Seconds()
		shortest = min(shortest, w)
	}
	mean := time.Duration(float64(time.Second) / (rate * float64(max(1, readers))))
	return min(max(missedResponses*mean, minTimeout), shortest+watchGrace)
}
