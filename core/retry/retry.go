// Package retry bounds the retries of a host, so that a fault that fails many
// requests at once does not multiply the load on the remaining backend servers.
// It is pure: callers pass the time and hold the lock.
package retry

import "time"

const (
	// Window is the time over which first tries earn retries.
	Window = 10 * time.Second
	// Ratio is the number of retries that one first try earns.
	Ratio = 0.2
	// ExtraPerSecond is the number of retries allowed in a second regardless of
	// first tries, so that a host with little traffic can still retry.
	ExtraPerSecond = 3

	bucketWidth = time.Second
	buckets     = int64(Window / bucketWidth)
)

// Budget counts first tries and retries. The zero value is ready to use. It is
// not safe for concurrent use.
type Budget struct {
	counts [buckets]bucket
	first  int64 // first tries in the window
	earned int64 // retries in the window that were charged to first tries
	latest int64 // newest bucket number; time going backwards counts there
	begun  bool
}

type bucket struct {
	first, earned, extra int64
}

// RecordFirstAttempt records a request's first try.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now).first++
	b.first++
}

// Allow reports whether a retry may be sent now, and charges it if so.
func (b *Budget) Allow(now time.Time) bool {
	cur := b.advance(now)
	if float64(b.earned+1) <= Ratio*float64(b.first) {
		cur.earned++
		b.earned++
		return true
	}
	if cur.extra < ExtraPerSecond {
		cur.extra++
		return true
	}
	return false
}

// advance drops the buckets that left the window and returns the current one.
func (b *Budget) advance(now time.Time) *bucket {
	n := now.UnixNano() / int64(bucketWidth)
	if !b.begun {
		b.begun, b.latest = true, n
	}
	if n-b.latest >= buckets {
		*b = Budget{begun: true, latest: n}
	}
	for b.latest < n {
		b.latest++
		old := b.at(b.latest)
		b.first -= old.first
		b.earned -= old.earned
		*old = bucket{}
	}
	return b.at(b.latest)
}

func (b *Budget) at(n int64) *bucket {
	return &b.counts[((n%buckets)+buckets)%buckets]
}
