package forward

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// attempt is one attempt to get a single response from a server. Its goroutine reserves a slot, sends the
// request and reads the response; it changes nothing of the request.
type attempt struct {
	r      *request
	events chan<- attemptEvent
	// ctx ends with that of the request, or when another attempt has answered.
	ctx    context.Context
	cancel context.CancelFunc
	// free is set if the attempt is not charged to the retry budget.
	free bool
	// exclude are the servers that are not asked. If no others are left, the servers outside
	// excludeThen are asked, with again set.
	exclude, excludeThen []string
	again                bool
	// beside is set if another attempt runs.
	beside  bool
	maxWait time.Duration
	// res is set when the attempt is sent.
	res *reservation
}

// attemptStage is what an attempt has reached.
type attemptStage uint8

const (
	// stageSent: the request is sent now.
	stageSent attemptStage = iota
	// stageHeader: the header of the response has arrived.
	stageHeader
	// stageUnsent: the attempt ended before it was sent.
	stageUnsent
	// stageFailed: the attempt ended without a usable response.
	stageFailed
	// stageWhole: the attempt ended with a response that can be delivered.
	stageWhole
)

// ended reports whether the attempt has no further events.
func (s attemptStage) ended() bool { return s >= stageUnsent }

// attemptEvent is sent when an attempt reaches a stage.
type attemptEvent struct {
	*attempt
	stage attemptStage
	// waited is how long the attempt waited for capacity, with stageSent and stageUnsent.
	waited time.Duration
	// err is set with stageFailed, and with stageUnsent if there was a server.
	err error
	// reason is why there was no server. retry is set if another one may be asked.
	reason balance.Reason
	retry  bool
	// rejection is the rejection of a prompt part that forbids to send the request.
	rejection *attribution.Rejection
	// response is set with stageWhole.
	response *readResponse
	// rateLimit is the rate limit that the response named.
	rateLimit string
	// broke is set if the server ended the response.
	broke bool
}

// run makes the attempt.
func (a *attempt) run() {
	e := a.reserve()
	if a.res != nil {
		e = a.exchange(e.waited)
	}
	e.attempt = a
	a.events <- e
}

// reserve reserves a slot at a server, and sets res if the request may be sent there.
func (a *attempt) reserve() (e attemptEvent) {
	e.stage = stageUnsent
	r, bs := a.r, a.r.g.balancers
	if !a.free && (!r.prompt.AllowRetry() || !bs.hasRetryBudget(r.service)) {
		return e
	}
	if e.err = r.checkShutdown(); e.err != nil {
		return e
	}
	exposure := bs.expose(r, false)
	defer func() { bs.settle(exposure, a.res) }()
	req := balance.Request{Allowed: route.RegionFilter(r.route, r.team), Exclude: a.exclude, Exposed: exposure != nil}
	if a.beside && !bs.hasCandidate(r.service, req) {
		// A server that takes requests again later is asked at the next silence.
		if req.Exclude = a.excludeThen; !a.again || !bs.hasCandidate(r.service, req) {
			e.reason = balance.NoCandidate
			return e
		}
	}
	start := time.Now()
	res, reason := bs.acquire(a.ctx, r.service, req, r.sender(), a.maxWait)
	if res == nil && reason == balance.NoCandidate && a.again {
		req.Exclude = a.excludeThen
		res, reason = bs.acquire(a.ctx, r.service, req, r.sender(), a.maxWait-time.Since(start))
	}
	e.waited, e.reason = time.Since(start), reason
	if res == nil {
		return e
	}
	switch {
	case a.ctx.Err() != nil:
	case !a.maySend(res, &e):
	case !a.free && !bs.chargeRetry(r.service):
	default:
		a.res = res
		return e
	}
	res.cancel()
	return e
}

// hasCandidate reports whether a service has a server for a request, which may be full.
func (bs *balancers) hasCandidate(service string, req balance.Request) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	_, reason := bs.service(service).balancer.Pick(req, time.Now())
	return reason != balance.NoCandidate
}

// maySend reports whether the request may be sent to a server now, which can have changed while it waited.
func (a *attempt) maySend(res *reservation, e *attemptEvent) bool {
	if e.rejection = a.r.prompt.Check(); e.rejection != nil {
		return false
	}
	if e.err = a.r.checkRefusal(res.server); e.err != nil {
		e.retry = true
		return false
	}
	e.err = a.r.checkShutdown() // which may have begun during the wait
	return e.err == nil
}

// exchange sends the request and reads the response. It releases the reservation unless there is one that
// can be delivered.
func (a *attempt) exchange(waited time.Duration) attemptEvent {
	r, server := a.r, a.res.server
	opts := r.sendOptions(a.res, r.route.Kind == route.NonIdempotent)
	opts.BodyNotReused = true
	req := a.outgoing()
	defer fasthttp.ReleaseRequest(req)
	a.events <- attemptEvent{attempt: a, stage: stageSent, waited: waited}
	sentAt := time.Now()
	ex, err := r.g.pool.Do(a.ctx, server.Address, req, opts)
	r.g.observeConnection(a.ctx, r.service, server, ex, err)
	if err != nil {
		return a.failed(err, verdict.Of(err) != verdict.NotRun)
	}
	limit := r.g.observeRequestAnswer(server, &ex.Response.Header, sentAt)
	if err := r.checkResponse(ex); err != nil {
		ex.Finish(false)
		e := a.failed(err, false)
		e.rateLimit = limit
		return e
	}
	if ex.Response.StatusCode() < 300 {
		r.sampleResponse(server, time.Since(sentAt))
	}
	a.events <- attemptEvent{attempt: a, stage: stageHeader}
	start, complete, release, err := r.g.responseBuffers.readStart(r.g.body(ex, server))
	if err != nil {
		release()
		ex.Finish(false)
		return a.failed(unusableResponse(err), true)
	}
	r.observe(a.res, ex.Response.StatusCode() >= fasthttp.StatusInternalServerError)
	return attemptEvent{stage: stageWhole, response: &readResponse{ex: ex, start: start, complete: complete, release: release}, rateLimit: limit}
}

// outgoing returns the request to send. Other attempts may read the caller's request at the same time.
func (a *attempt) outgoing() *fasthttp.Request {
	a.r.outgoingMu.Lock()
	defer a.r.outgoingMu.Unlock()
	return a.r.outgoing(a.res.server.ID)
}

// failed releases the reservation of a failed attempt. One that the host or the caller ended says nothing
// of its server.
func (a *attempt) failed(err error, broke bool) attemptEvent {
	if a.ctx.Err() == context.Canceled {
		if a.r.g.balancers.hasRollouts.Load() && a.res.countedAsSilent() && a.r.ctx.Err() == nil {
			// Another attempt has answered. That this one took at least as long is known.
			a.r.observe(a.res, false)
		}
		a.res.cancel()
		broke = false
	} else {
		a.r.releaseFailed(a.res, err)
	}
	return attemptEvent{stage: stageFailed, err: err, broke: broke}
}

// countedAsSilent reports whether recordSilence has counted a silence of the server.
func (res *reservation) countedAsSilent() bool {
	res.balancers.mu.Lock()
	defer res.balancers.mu.Unlock()
	return res.silent
}

// recordSilence counts a silence of the server towards its ejection. A later release as not failed takes
// that back.
func (res *reservation) recordSilence() {
	bs := res.balancers
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if res.silent || res.load.Requests == 0 {
		return
	}
	res.silent = true
	bs.service(res.service).balancer.RecordFailure(res.server.ID, time.Now())
}
