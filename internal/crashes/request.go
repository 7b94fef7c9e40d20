package crashes

import (
	"slices"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/attribution"
)

// Code is the problem code of requests that are rejected for a prompt part.
const Code = "prompt_part_rejected"

// Request is a request with prompt parts. A nil Request has none: it is never rejected and gives no
// evidence.
type Request struct {
	guard *Guard
	id    string
	// partIDs are the IDs of parts, in the same order.
	partIDs   []string
	parts     []attribution.Part
	interrupt func()

	// checked is closed when the last broken answer of the request has been checked; nil if there
	// was none.
	checked atomic.Pointer[chan struct{}]

	begun, trial  atomic.Bool
	interruptedBy atomic.Pointer[attribution.Rejection]
}

// NewRequest returns the Request of a request with the given ID and IDs of prompt parts, nil without
// parts or without a Guard. interrupt is called at most once, if a part is rejected after the request was sent and before
// its answer begins; it must not block.
func (g *Guard) NewRequest(id string, partIDs []string, interrupt func()) *Request {
	if g == nil || len(partIDs) == 0 {
		return nil
	}
	r := &Request{guard: g, id: id, partIDs: partIDs, parts: make([]attribution.Part, len(partIDs)), interrupt: interrupt}
	for i, partID := range partIDs {
		r.parts[i] = attribution.PartOf(partID)
	}
	return r
}

// Check returns the rejection that forbids to send the request now, or nil. It is called when the
// request is admitted and again before each send, as the evidence may be new.
func (r *Request) Check() *attribution.Rejection {
	rejection := r.Rejection()
	if rejection == nil || r.trial.Load() || r.allowTrial(rejection) {
		return nil
	}
	return rejection
}

// Rejection returns the rejection of the request, also of one that is sent as a trial, or nil. It may be
// called from any goroutine.
func (r *Request) Rejection() *attribution.Rejection {
	if r == nil || r.begun.Load() {
		return nil
	}
	return r.guard.rejections.Load().Find(r.parts)
}

func (r *Request) allowTrial(rejection *attribution.Rejection) bool {
	g := r.guard
	now := g.opts.Clock()
	elected := rejection.Elected(g.opts.HostID, g.opts.Peers(), now)
	g.mu.Lock()
	allowed := g.tracker.AllowTrial(rejection, r.parts, now, elected)
	g.mu.Unlock()
	if allowed {
		r.trial.Store(true)
		g.Trials.Add(1)
		g.opts.Log.Info().Str("request", r.id).EmbedObject(g.Logged(rejection)).Msg("request with a rejected prompt part is sent as a trial")
	}
	return allowed
}

// RetryAfter returns when the caller of a rejected request may come back.
func (r *Request) RetryAfter(rejection *attribution.Rejection) time.Duration {
	if !rejection.Covers(r.parts) {
		return trialRetryAfter
	}
	return max(rejection.Until()-r.guard.opts.Clock(), minRetryAfter)
}

// RejectedPart returns the ID of the part to which a rejection applies.
func (r *Request) RejectedPart(rejection *attribution.Rejection) string {
	for i, p := range r.parts {
		if slices.Contains(rejection.Parts, p) {
			return r.partIDs[i]
		}
	}
	return ""
}

// InterruptedBy returns the rejection that interrupted the request, or nil.
func (r *Request) InterruptedBy() *attribution.Rejection {
	if r == nil {
		return nil
	}
	return r.interruptedBy.Load()
}

// Begin registers the request before it is sent for the first time; End must be called.
func (r *Request) Begin() {
	if r == nil {
		return
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.guard.pending[r] = struct{}{}
}

// End removes the request.
func (r *Request) End() {
	if r == nil {
		return
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	delete(r.guard.pending, r)
}

// RecordAnswer records that the answer to the request has begun, which shows that its prompt parts do
// not crash engines.
func (r *Request) RecordAnswer() {
	if r == nil || r.begun.Swap(true) {
		return
	}
	r.guard.update("an answer began", func(t *attribution.Tracker, now time.Duration) bool {
		delete(r.guard.pending, r)
		return t.RecordAnswer(r.parts, now)
	})
}

// HasPendingAnswer reports whether the end of a response would be evidence: the request has prompt parts
// and its answer has not begun.
func (r *Request) HasPendingAnswer() bool { return r != nil && !r.begun.Load() }

// RecordBrokenAnswer records a crash if the engine has ended since it got the request and the answer
// had not begun. cause is how the response ended. The time and the parts of the crash are set here. It
// does not wait for the check of the engine.
func (r *Request) RecordBrokenAnswer(crash attribution.Crash, cause error) {
	if !r.HasPendingAnswer() || isTimeout(cause) {
		return
	}
	crash.At, crash.Parts = r.guard.opts.Clock(), r.parts
	checked := make(chan struct{})
	r.checked.Store(&checked)
	go func() {
		defer close(checked)
		r.guard.confirm(r, crash)
	}()
}

// AllowRetry reports whether the request may be sent to another engine after a broken answer. It waits
// for the check of the engine.
func (r *Request) AllowRetry() bool {
	if r == nil {
		return true
	}
	checked := r.checked.Load()
	if checked == nil {
		return true
	}
	<-*checked
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.guard.tracker.AllowRetry(r.parts)
}
