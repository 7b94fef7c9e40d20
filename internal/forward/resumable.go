package forward

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
)

// runs are the servers that run or ran a stream, whether as a new run or from a copy.
type runs struct {
	mu      sync.Mutex
	servers []string
}

func (l *runs) add(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.servers, server) {
		l.servers = append(l.servers, server)
	}
}

func (l *runs) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.servers)
}

func (l *runs) count() int { return len(l.list()) }

// mayRunAgain reports whether another server may run the stream now.
func (r *request) mayRunAgain(series *retrySeries) bool {
	return r.route.Resumable && r.runs.count() < r.route.Attempts && r.ctx.Err() == nil && time.Until(r.deadline) > minRetryTime &&
		series.available() && r.prompt.AllowRetry()
}

// hasOtherServer reports whether a server that did not run the stream may run it, perhaps after a wait.
func (r *request) hasOtherServer(besides ...string) bool {
	return r.g.balancers.hasCandidate(r.service, balance.Request{Allowed: route.RegionFilter(r.route, r.team), Exclude: append(r.runs.list(), besides...)})
}

// withholdsFailure reports whether a failure response of a server is not delivered, since the stream may run at
// another one.
func (r *request) withholdsFailure(ex *connection.Exchange, res *reservation, series *retrySeries) bool {
	if !r.route.Resumable || ex.Response.StatusCode() < fasthttp.StatusInternalServerError {
		return false
	}
	r.runs.add(res.server.ID)
	return r.mayRunAgain(series) && r.hasOtherServer()
}

// failedRun ends a run whose failure response is withheld.
func (r *request) failedRun(ex *connection.Exchange, res *reservation) error {
	status := ex.Response.StatusCode()
	ex.Finish(false)
	res.release(true)
	return verdict.New(verdict.MayHaveRun, 502, codeServerError, "the backend server responded with status %d", status)
}

// rejectedAfterRuns returns the error of a request with a rejected prompt part, of which err says that it did not run.
func (r *request) rejectedAfterRuns(err error) error {
	if r.runs.count() == 0 {
		return err
	}
	r.retryAfter = 0
	return r.rejectionError(true)
}

// callerOffset returns the newest event that the caller of a resumable stream has from an earlier request; 0 for none.
func (r *request) callerOffset() int64 {
	if !r.route.Resumable {
		return 0
	}
	id, err := strconv.ParseInt(string(r.call.Request.Header.Peek(r.g.opts.Dialect.LastEventID)), 10, 64)
	if err != nil {
		return 0 // the server decides what it makes of the field
	}
	return max(id, 0)
}

// silenceLimit is the time after which a silent server of a resumable stream is replaced. Before the first event,
// it is not below the objective: a long prefill is no silence.
func (r *request) silenceLimit(begun bool) time.Duration {
	if begun {
		return relay.SilenceLimit
	}
	return max(relay.SilenceLimit, r.route.Objective)
}

// runContext returns the context for a run. That of a resumable stream ends unless answered is called in time; it must
// be called in any case.
func (r *request) runContext() (ctx context.Context, answered func()) {
	if !r.route.Resumable {
		return r.ctx, func() {}
	}
	ctx, cancel := context.WithCancel(r.ctx) // freed at the end of r.ctx: the response uses it
	timer := time.AfterFunc(r.silenceLimit(false), cancel)
	return ctx, func() { timer.Stop() }
}

// endedRun reports whether this host ended a run because its server was silent.
func (r *request) endedRun(ctx context.Context) bool {
	return r.route.Resumable && ctx.Err() != nil && r.ctx.Err() == nil
}

// dropSilentSource closes the source of a resumable stream that has been silent for too long, so that another server
// runs it. It reports whether it did.
func (gen *generation) dropSilentSource() bool {
	r := gen.r
	if !r.mayRunAgain(gen.runSeries) || !r.hasOtherServer() {
		return false
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.ended || gen.ex == nil || gen.relay.State() != relay.Relayed || gen.relay.Silence(time.Now()) < r.silenceLimit(gen.events > 0) {
		return false
	}
	gen.takenForDead = true
	gen.ex.Abort()
	return true
}

// canRunAgain reports whether another server can run the stream after the newest event delivered.
func (s *stream) canRunAgain() bool {
	return s.r.mayRunAgain(s.series) && (s.r.events == 0 || !s.unnumbered)
}

// runAgain has another server run the stream from the newest event delivered on, after the source's response ended.
// It returns the error that broke the stream if none does.
func (s *stream) runAgain(cause error) error {
	r, gen := s.r, s.generation
	gen.reportEngineFailure()
	var rejected []string
	for len(rejected) < maxRejections && s.canRunAgain() && r.hasOtherServer(rejected...) {
		target := s.reserveRun(rejected)
		if target == nil {
			break
		}
		sw := gen.newSwitchover(relay.Interrupted, target, "", s.series)
		if sw == nil {
			target.cancel()
			return errors.Join(cause, errors.New("the stream has ended"))
		}
		sw.newRun, sw.sourceEnd = true, r.sourceEnd
		r.attempts++
		gen.ask(sw, gen.serverID())
		if sw.ex != nil {
			s.relayFrom(sw)
			return nil
		}
		if sw.responded && !sw.mayRun {
			target.cancel()
		} else {
			r.releaseFailed(target, sw.err)
		}
		cause = errors.Join(cause, sw.err)
		if !sw.mayRun {
			rejected = append(rejected, target.server.ID)
		}
	}
	return cause
}

// reserveRun reserves a slot for a new run at a server that neither ran the stream nor is in rejected.
func (s *stream) reserveRun(rejected []string) *reservation {
	r := s.r
	kvTokens := s.generation.tokens(r.g.tokensPerEvent(r.service))
	req := balance.Request{Tokens: r.expectedTokens(kvTokens), Prefill: kvTokens, Allowed: route.RegionFilter(r.route, r.team), Exclude: append(r.runs.list(), rejected...)}
	start := time.Now()
	wait := min(orDefault(r.route.Objective, time.Second)/2, time.Until(r.deadline)-minRetryTime)
	res, _ := r.g.balancers.acquire(r.ctx, r.service, req, r.sender(), wait)
	r.waited += time.Since(start)
	return res
}

// tokensPerEvent returns the number of tokens in an event of a service.
func (g *Gateway) tokensPerEvent(service string) int {
	if e := g.balancers.engineConfig(service); e != nil {
		return e.EventTokens
	}
	return 1
}

// startRun requests the target to run the stream after the newest event delivered. Without one, the offset that the
// caller may have sent is kept. It sets sw.ex if the target does.
func (gen *generation) startRun(sw *switchover) error {
	r, d := gen.r, &gen.r.g.opts.Dialect
	if r.prompt.Rejection() != nil {
		return notRun(503, crashes.Code, "engines crashed on a part of the prompt")
	}
	prepare := func(req *fasthttp.Request) {
		gen.mu.Lock()
		last := gen.lastID
		gen.mu.Unlock()
		if last > 0 {
			req.Header.Set(d.LastEventID, strconv.FormatInt(last, 10))
		}
		r.setStandbyHeader(req, sw.standby)
	}
	responded := func(ex *connection.Exchange) {
		if ex.Response.StatusCode() == fasthttp.StatusOK {
			gen.accept(sw, ex)
		}
	}
	ex, err := r.exchange(sw.ctx, sw.target, true, prepare, exchangeHooks{sending: gen.sending(sw), responded: responded})
	switch {
	case sw.ex != nil:
		return nil
	case err != nil:
		sw.mayRun = verdict.Of(err) != verdict.NotRun
		sw.responded = verdict.From(err).Code == codeNotRun || isWithheld(err)
		return err
	}
	status := ex.Response.StatusCode()
	ex.Finish(false)
	sw.responded, sw.mayRun = true, true
	return verdict.New(verdict.Ran, 502, codeServerError, "the backend server responded to a new run with status %d", status)
}
