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
	// connectTimeout bounds a new connection to a backend server: a round trip
	// between regions takes 60 ms, and one lost packet costs a second.
	connectTimeout = 400 * time.Millisecond
	// maxIdleReuse is how long an idle connection is reused. A backend server
	// may close one at any time, which loses a request that may not be repeated.
	maxIdleReuse = 3 * time.Second
	// maxRefusals is how many backend servers may refuse a request unrun before
	// the caller is refused.
	maxRefusals = 3
	// minRepeatTime is the least time left for a repeat: two round trips between
	// regions.
	minRepeatTime = 120 * time.Millisecond
	// headShare of the time left is how long the first of several tries waits
	// for an answer.
	headShare = 0.4
)

// Codes of the failures of one try.
const (
	codeNotRun      = "backend_refused"
	codeBroken      = "answer_broken"
	codeServerError = "backend_error"
)

// servePlain forwards a request with one answer.
func (r *request) servePlain() error {
	r.g.places.firstTry(r.service)
	var tried []string
	var last error
	ran := 0
	for {
		p, why := r.placeAgain(tried)
		if p == nil {
			return r.noPlace(last, ran, why)
		}
		r.tries++
		err := r.tryPlain(p, ran)
		if err == nil {
			return nil
		}
		if r.ctx.Err() != nil {
			return r.interrupted(verdict.Of(err) != verdict.NotRun || ran > 0)
		}
		last = err
		tried = append(tried, p.server.ID)
		if verdict.Of(err) != verdict.NotRun {
			ran++
			if !r.mayRunAgain(ran) {
				return err
			}
		}
		if !r.mayTryAgain(err, len(tried)) {
			return r.giveUp(err, ran)
		}
	}
}

// mayRunAgain reports whether the request may run once more after it ran a
// number of times.
func (r *request) mayRunAgain(ran int) bool {
	return r.route.Kind == route.Idempotent && ran < r.route.Attempts
}

// placeAgain takes a place at a server that was not tried, or else at any.
func (r *request) placeAgain(tried []string) (*place, balance.Reason) {
	p, why := r.place(balance.Request{}, tried)
	if p == nil && why == balance.NoCandidate && len(tried) > 0 && r.route.Kind == route.Idempotent {
		return r.place(balance.Request{}, nil)
	}
	return p, why
}

// mayTryAgain charges another try. A server that was not reached saw no request.
func (r *request) mayTryAgain(err error, tries int) bool {
	if tries >= maxRefusals+r.route.Attempts {
		return false
	}
	if verdict.From(err).Code == connection.CodeConnectFailed {
		return true
	}
	if !r.g.places.mayRepeat(r.service) {
		return false
	}
	r.g.Metrics.Retries.Add(1)
	return true
}

// giveUp turns the failure of the last try into the caller's answer.
func (r *request) giveUp(err error, ran int) error {
	if ran > 0 || verdict.Of(err) != verdict.NotRun {
		e := verdict.From(err)
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: 502, Code: e.Code, Detail: e.Detail, Cause: e.Cause}
	}
	r.retryAfter = r.comeBack()
	e := verdict.From(err)
	return &verdict.Error{Verdict: verdict.NotRun, Status: 503, Code: e.Code, Detail: e.Detail, Cause: e.Cause}
}

// noPlace is the error of a request that found no server after it ran a number
// of times.
func (r *request) noPlace(last error, ran int, why balance.Reason) error {
	if last != nil {
		return r.giveUp(last, ran)
	}
	if r.ctx.Err() != nil {
		return r.interrupted(false)
	}
	r.retryAfter = r.comeBack()
	return notRun(503, "no_backend_"+why.String(), "no backend server of "+r.service+" can take the request now")
}

// comeBack is when a refused caller should try again: another host may have
// room at once, and a part of the time left must remain for the work.
func (r *request) comeBack() time.Duration {
	return min(orDefault(r.route.Objective, time.Second)/4, max(time.Until(r.deadline)/4, 0))
}

// place waits for room at a server that was not tried.
func (r *request) place(job balance.Request, tried []string) (*place, balance.Reason) {
	job.Allowed, job.Exclude = route.Regions(r.route, r.team), tried
	start := time.Now()
	p, why := r.g.places.acquire(r.ctx, r.service, job, r.priority(), r.waitBound())
	r.waited += time.Since(start)
	if p != nil {
		r.backend = p.server.ID
	}
	return p, why
}

// waitBound is how long the request may wait for room: past half of its
// objective it would miss it, and another host may have room.
func (r *request) waitBound() time.Duration {
	return orDefault(r.route.Objective, time.Second)/2 - r.waited
}

// priority ranks the request; 0 is the most urgent.
func (r *request) priority() int {
	if r.team != nil && r.team.Priority != nil {
		return *r.team.Priority
	}
	return r.route.Priority
}

// tryPlain sends the request, which ran a number of times before, to one server
// and delivers the answer.
func (r *request) tryPlain(p *place, ran int) error {
	again := r.mayRunAgain(ran + 1)
	opts := connection.Options{
		NoReuse:        r.route.Kind == route.NonIdempotent,
		DialTimeout:    connectTimeout,
		MaxIdleTime:    maxIdleReuse,
		MatchesRequest: r.belongs,
		BodyNotReused:  true,
	}
	if again {
		opts.ResponseHeaderTimeout = time.Duration(float64(time.Until(r.deadline)) * headShare)
	}
	req := r.outgoing(p.server.ID)
	defer fasthttp.ReleaseRequest(req)
	ex, err := r.g.pool.Do(r.ctx, p.server.Address, req, opts)
	if err != nil {
		p.release(r.call.Context().Err() == nil)
		return err
	}
	// A failure is held back only if another try is sure to be sent.
	again = again && r.canRepeat()
	if err := r.check(ex, again); err != nil {
		ex.Finish(false)
		p.release(verdict.From(err).Code != codeServerError)
		return err
	}
	err = r.deliver(ex)
	p.release(err != nil)
	return err
}

// canRepeat reports whether the budget allows a repeat now and time is left.
func (r *request) canRepeat() bool {
	return time.Until(r.deadline) > minRepeatTime && r.g.places.budgetLeft(r.service)
}

// belongs reports whether an answer is not known to belong to another request.
func (r *request) belongs(h *fasthttp.ResponseHeader) bool {
	id := string(h.Peek(r.g.opts.Dialect.RequestID))
	return id == "" || id == r.id
}

// check decides from the head whether an answer is one that can be delivered.
func (r *request) check(ex *connection.Exchange, again bool) error {
	h := &ex.Response.Header
	d := &r.g.opts.Dialect
	status := h.StatusCode()
	switch {
	case len(h.Peek(d.NotExecuted)) > 0 || status == fasthttp.StatusMisdirectedRequest:
		return notRun(503, codeNotRun, "the backend server did not run the request")
	case string(h.Peek(d.RequestID)) != r.id, len(h.Peek(d.ServerMark)) == 0, len(h.Peek("Content-Encoding")) > 0:
		return broken(errors.New("the answer is not the backend server's own"))
	case isPromise(status):
		// Callers take these as "not run", which this answer doesn't say.
		return broken(errors.New("the backend server refused without saying that it did not run the request"))
	case status >= 500 && again:
		return verdict.New(verdict.MayHaveRun, 502, codeServerError, "the backend server answered %d", status)
	}
	return nil
}

func broken(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, 502, codeBroken, "the backend server's answer cannot be used")
}

// isPromise reports whether callers take a status as "not run".
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
