// Package hedge decides how a request with a single response goes on that is sent to one backend server
// and may be sent to others: when another one is asked, and when the request has failed.
//
// A silent server is not given up for another one, which may reject the request or be silent too: both are
// awaited, and the first whole response is delivered. An attempt without an outcome counts as one that
// runs, so that the request never runs more often than its route allows. The package does no I/O, reads
// no clock and is not safe for concurrent use.
package hedge

import "time"

const (
	// silenceShare is the share of the remaining time after which a server counts as silent and
	// another one is asked.
	silenceShare = 0.4
	// minSilence is the shortest silence after which another server is asked. It limits how often
	// that is tried right before the deadline.
	minSilence = 20 * time.Millisecond
)

// SilentAfter is how long a server is awaited alone when left remains until the deadline; ok is false if
// it is awaited until then.
func SilentAfter(left time.Duration) (after time.Duration, ok bool) {
	after = time.Duration(float64(left) * silenceShare)
	return after, after >= minSilence
}

// Action is what the host has to do after an event.
type Action uint8

// Actions.
const (
	// Await waits for the next event of an attempt.
	Await Action = iota
	// Ask prepares an attempt at another server.
	Ask
	// GiveUp ends the request without a response: no attempt is left.
	GiveUp
)

// String returns the name used in logs.
func (a Action) String() string { return [...]string{"await", "ask", "give up"}[a] }

// Request is the state of the attempts of one request. Use New.
type Request struct {
	maxRuns, maxAttempts int
	// asked is the number of attempts that were prepared.
	asked int
	// preparing is set while an attempt waits for a server.
	preparing bool
	// running is the number of attempts that were sent and have no outcome, ran that of those that
	// ended and may have run.
	running, ran int
}

// New returns the state of a request whose first attempt is being prepared. The request may run maxRuns
// times, and 1 means that it is never sent while an earlier attempt may have run. Up to maxAttempts
// attempts are made, those included that did not run.
func New(maxRuns, maxAttempts int) *Request {
	return &Request{maxRuns: maxRuns, maxAttempts: maxAttempts, asked: 1, preparing: true}
}

// Sent records that the attempt in preparation is sent now.
func (r *Request) Sent() {
	r.preparing = false
	r.running++
}

// Unsent records that the attempt in preparation was not sent. again is set if another one may be, and
// not if no server or no retry budget is left.
func (r *Request) Unsent(again bool) Action {
	r.preparing = false
	if again {
		return r.next()
	}
	return r.awaitOrGiveUp()
}

// Silent records that the servers asked were silent for a time. Another one is asked, and those are
// awaited further.
func (r *Request) Silent() Action {
	if r.running == 0 {
		return Await
	}
	return r.next()
}

// NotRun records that an attempt ended and certainly did not run.
func (r *Request) NotRun() Action {
	r.running--
	return r.next()
}

// Failed records that an attempt ended without a response that can be delivered, and may have run.
func (r *Request) Failed() Action {
	r.running--
	r.ran++
	return r.next()
}

func (r *Request) next() Action {
	if !r.preparing && r.mayAsk() {
		r.preparing = true
		r.asked++
		return Ask
	}
	return r.awaitOrGiveUp()
}

func (r *Request) mayAsk() bool { return r.running+r.ran < r.maxRuns && r.asked < r.maxAttempts }

func (r *Request) awaitOrGiveUp() Action {
	if r.preparing || r.running > 0 {
		return Await
	}
	return GiveUp
}

// Running is the number of attempts that were sent and have no outcome.
func (r *Request) Running() int { return r.running }

// Ran is the number of attempts that ended and may have run.
func (r *Request) Ran() int { return r.ran }

// Withhold reports whether the failure response of a running server is not delivered: another server runs
// the request, or can be asked if mayRetry is set.
func (r *Request) Withhold(mayRetry bool) bool {
	if r.running > 1 {
		return true
	}
	return mayRetry && !r.preparing && r.running+r.ran < r.maxRuns && r.asked < r.maxAttempts
}
