// Package retry implements retry budgets, so that a fault that fails many requests at
// once does not multiply the load on the remaining backend servers. It does no I/O and
// has no clock: callers pass the time and hold the lock.
package retry

import "time"

const (
	// Window is the time for which a first attempt counts towards the retry budget.
	Window = 10 * time.Second
	// Ratio is the number of retries allowed per first attempt.
	Ratio = 0.2
	// ExtraPerSecond is the number of retries allowed per second in addition to Ratio,
	// so that a host with little traffic can still retry.
	ExtraPerSecond = 3

	bucketWidth = time.Second
	buckets     = int64(Window / bucketWidth)
)

// Budget is the retry budget of one host. The zero value is ready to use. It is not safe
// for concurrent use.
type Budget struct {
	ring          [buckets]bucket
	firstAttempts int64 // in the window
	earned        int64 // retries in the window that were charged against Ratio
	latest        int64 // newest bucket number, also used if the time goes backwards
	initialized   bool
}

type bucket struct {
	firstAttempts, earned, extra int64
}

// RecordFirstAttempt counts a request's first attempt at now.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now).firstAttempts++
	b.firstAttempts++
}

// Allow reports whether a retry may be sent at now and, if so, charges it to the budget.
func (b *Budget) Allow(now time.Time) bool {
	cur := b.advance(now)
	if float64(b.earned+1) <= Ratio*float64(b.firstAttempts) {
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

// advance clears the buckets that are older than the window and returns the current one.
func (b *Budget) advance(now time.Time) *bucket {
	n := now.UnixNano() / int64(bucketWidth)
	if !b.initialized {
		b.initialized, b.latest = true, n
	}
	if n-b.latest >= buckets {
		*b = Budget{initialized: true, latest: n}
	}
	for b.latest < n {
		b.latest++
		old := b.bucketAt(b.latest)
		b.firstAttempts -= old.firstAttempts
		b.earned -= old.earned
		*old = bucket{}
	}
	return b.bucketAt(b.latest)
}

func (b *Budget) bucketAt(n int64) *bucket {
	return &b.ring[((n%buckets)+buckets)%buckets]
}
