package forward

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

const (
	// connectTimeout limits connection setup to a backend server: a round trip between
	// regions takes 60 ms, and one lost packet costs a second.
	connectTimeout = 400 * time.Millisecond
	// maxIdleReuse is how long an idle connection is reused. A backend server may close
	// one at any time, which loses a request that must not be retried.
	maxIdleReuse = 3 * time.Second
	// maxRejections is how many backend servers may reject a request unexecuted before
	// the caller gets the rejection.
	maxRejections = 3
	// minRetryTime is the least time before the deadline at which a retry is sent: two
	// round trips between regions.
	minRetryTime = 120 * time.Millisecond
)

// Codes of failed attempts.
const (
	codeNotRun      = "backend_refused"
	codeUnusable    = "answer_broken"
	codeServerError = "backend_error"
	codeLeft        = "backend_left"
	// codeNoRetryBudget is that of a retry that is not sent since the retry budget was used up meanwhile.
	codeNoRetryBudget = "no_retry_budget"
)

// servePlain forwards a request with a single response.
func (r *request) servePlain() error {
	r.g.balancers.recordFirstAttempt(r.service)
	p := newAttempts(r)
	defer p.end()
	return p.serve()
}

// maxRuns is how often the request may be executed.
func (r *request) maxRuns() int {
	if r.route.Kind == route.Idempotent {
		return max(1, r.route.Attempts)
	}
	return 1
}

// mayRetry reports whether another attempt may be made after attempts that failed, the last one with err.
func (r *request) mayRetry(err error, attempts int, series *retrySeries) bool {
	if attempts >= maxRejections+r.route.Attempts || !series.available() {
		return false
	}
	code := verdict.From(err).Code
	return code == connection.CodeConnectFailed || code == codeLeft || r.prompt.AllowRetry()
}

// giveUp turns the failure of the last attempt into the caller's error.
func (r *request) giveUp(err error, ran int) error {
	if ran > 0 || verdict.Of(err) != verdict.NotRun {
		e := verdict.From(err)
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: 502, Code: e.Code, Detail: e.Detail, Cause: e.Cause}
	}
	e := verdict.From(err)
	if e.Code == codeHostStops {
		return r.rejectedByShutdown()
	}
	r.retryAfter = max(r.retryDelay(), r.refusedRetryAfter())
	return &verdict.Error{Verdict: verdict.NotRun, Status: 503, Code: e.Code, Detail: e.Detail, Cause: e.Cause}
}

// noReservation returns the error of a request that found no server after ran
// executions.
func (r *request) noReservation(last error, ran int, reason balance.Reason) error {
	if last != nil {
		return r.giveUp(last, ran)
	}
	if r.ctx.Err() != nil {
		return r.interruptionError(false)
	}
	r.retryAfter = r.retryDelay()
	switch reason {
	case balance.RateLimited:
		allowed := balance.Request{Allowed: route.RegionFilter(r.route, r.team)}
		r.retryAfter = max(r.retryAfter, r.g.balancers.rateRetryAfter(r.service, allowed))
	case balance.Refused:
		r.retryAfter = max(r.retryAfter, r.refusedRetryAfter())
	}
	return notRun(503, "no_backend_"+reason.String(), "no backend server of "+r.service+" is available for the request")
}

// refusedRetryAfter is the Retry-After of a request that all servers refuse; 0 if one does not.
func (r *request) refusedRetryAfter() time.Duration {
	return r.g.balancers.refusedRetryAfter(r.service, balance.Request{Allowed: route.RegionFilter(r.route, r.team)})
}

// retryDelay is the Retry-After of a rejected request: another host may have capacity
// at once, and some of the remaining time must be left for the execution.
func (r *request) retryDelay() time.Duration {
	return min(orDefault(r.route.Objective, time.Second)/4, max(time.Until(r.deadline)/4, 0))
}

// reserve waits for capacity at a server that was not attempted yet.
func (r *request) reserve(req balance.Request, attempted []string) (*reservation, balance.Reason) {
	return r.reserveWithin(req, attempted, r.maxWait())
}

// reserveWithin is reserve with a limit on the wait.
func (r *request) reserveWithin(req balance.Request, attempted []string, limit time.Duration) (*reservation, balance.Reason) {
	req.Allowed, req.Exclude = route.RegionFilter(r.route, r.team), attempted
	start := time.Now()
	exposure := r.g.balancers.expose(r, false)
	req.Exposed = exposure != nil
	res, reason := r.g.balancers.acquire(r.ctx, r.service, req, r.sender(), limit)
	r.g.balancers.settle(exposure, res)
	r.waited += time.Since(start)
	if res != nil {
		r.backend, r.placedBy = res.server.ID, res.placedBy
	}
	return res, reason
}

// maxWait is how long the request may wait for capacity: after half of its objective
// it would miss it, and another host may have capacity.
func (r *request) maxWait() time.Duration {
	return orDefault(r.route.Objective, time.Second)/2 - r.waited
}

// sender returns the request's place in the order of those that wait.
func (r *request) sender() sender {
	from := sender{priority: r.priority()}
	if r.team != nil {
		from.team = r.team.Name
	}
	return from
}

// priority returns the team's priority, or else the route's; 0 is the most urgent.
func (r *request) priority() int {
	if r.team != nil && r.team.Priority != nil {
		return *r.team.Priority
	}
	return r.route.Priority
}

// canRetry reports whether the retry budget and the servers not attempted, by their rate limits and refusals,
// allow a retry now, and the deadline leaves time for it.
func (r *request) canRetry(attempted []string) bool {
	req := balance.Request{Allowed: route.RegionFilter(r.route, r.team), Exclude: attempted}
	return time.Until(r.deadline) > minRetryTime && r.g.balancers.hasRetryBudget(r.service) && !r.g.balancers.isHeldBack(r.service, req)
}

// sendOptions returns the options that the requests of both kinds of response share.
func (r *request) sendOptions(res *reservation, noReuse bool) connection.Options {
	return connection.Options{
		BeforeSend: func() error { return r.checkAcceptsWork(res) },
		NoReuse:    noReuse, DialTimeout: connectTimeout, MaxIdleTime: maxIdleReuse,
		IDHeader: r.g.opts.Dialect.RequestID, SkipOtherIDs: true,
	}
}

// checkResponse decides from the response header whether the response can be delivered.
func (r *request) checkResponse(ex *connection.Exchange) error {
	h := &ex.Response.Header
	d := &r.g.opts.Dialect
	status := h.StatusCode()
	switch {
	case len(h.Peek(d.NotExecuted)) > 0 || status == fasthttp.StatusMisdirectedRequest:
		return notRun(503, codeNotRun, "the backend server rejected the request without running it")
	case string(h.Peek(d.RequestID)) != r.id, len(h.Peek(d.ServerMark)) == 0, len(h.Peek("Content-Encoding")) > 0:
		return unusableResponse(errors.New("the response was not generated by the backend server for this request"))
	case meansNotRun(status):
		// Callers take these as "not run", which this response does not state.
		return unusableResponse(errors.New("the backend server rejected the request without confirming that it did not run it"))
	}
	return nil
}

func unusableResponse(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, 502, codeUnusable, "the backend server's response is incomplete or invalid")
}

// meansNotRun reports whether callers take a status code as "not run".
func meansNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
