// Package outage decides when a silent store has to be taken for one that is
// away. It is pure.
package outage

import "time"

const (
	// gaps is how many times the mean time between answers, over all readers, may
	// pass without one.
	gaps = 4
	// shortest covers a store that is slow and the delay of gossip.
	shortest = 450 * time.Millisecond
	// slack is added to the wait of a single host's watch.
	slack = 150 * time.Millisecond
)

// DetectionTimeout is how long all hosts together may go without an answer of the store
// until it counts as away. Each reader has watches that return after their waits
// at the latest, at times of their own.
func DetectionTimeout(waits []time.Duration, readers int) time.Duration {
	if len(waits) == 0 {
		return shortest
	}
	answers := 0.0    // a second, of one reader
	first := waits[0] // the watch that ends first
	for _, w := range waits {
		answers += 1 / w.Seconds()
		first = min(first, w)
	}
	mean := time.Duration(float64(time.Second) / (answers * float64(max(1, readers))))
	return min(max(gaps*mean, shortest), first+slack)
}
