package request

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// codeGenerationUnavailable is the problem code of a generation that may still run, but that its engine
// could not be asked for in time.
const codeGenerationUnavailable = "generation_unavailable"

// recoverStream resumes a broken stream or, if nothing was delivered, starts a new
// attempt.
func (gen *generation) recoverStream(cause error, resumes int) error {
	gen.exchange.Finish(false)
	gen.recordBrokenAnswer(cause)
	if resumes >= maxResumes {
		gen.exchange = nil
		return gen.restart(gen.lostError(cause))
	}
	return gen.reattach(cause, resumes)
}

// mayRestart reports whether another generation may replace this one.
func (gen *generation) mayRestart() bool { return !gen.delivered && !gen.resumed }

// restart starts a new attempt if the generation may be replaced and the retry budget allows it, and
// otherwise returns err.
func (gen *generation) restart(err error) error {
	if !gen.mayRestart() || !gen.c.acquireRetry(gen.attempts) {
		return err
	}
	gen.abandon()
	return gen.startAttempts()
}

func (gen *generation) lostError(cause error) error {
	status := 502
	if gen.resumed && !gen.delivered {
		status = 410
	}
	return verdict.Wrap(cause, gen.verdict(), status, "generation_lost", "the engine lost the generation after %d tokens", gen.offset)
}

func (gen *generation) verdict() verdict.Verdict {
	if gen.offset > 0 {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// unavailableError returns the error for a generation that may still run. A caller that has an event ID can
// resume it when the engine takes requests again.
func (gen *generation) unavailableError(cause error) error {
	status := 503
	if gen.mayRestart() {
		status = 502
	}
	e := verdict.Wrap(cause, gen.verdict(), status, codeGenerationUnavailable,
		"the engine could not be asked for the generation after %d tokens", gen.offset)
	if status == 503 {
		e.RetryAfterSeconds = 1
		var refused *refusedError
		if errors.As(cause, &refused) {
			e.RetryAfterSeconds = int((time.Until(refused.returnsAt) + time.Second - 1) / time.Second)
		}
		e.RetryAfterSeconds = max(e.RetryAfterSeconds, 1)
	}
	return e
}

func isUnavailable(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code == codeGenerationUnavailable
}

// resumeTimeout returns how long an engine is asked again that fails to respond to attempts to resume.
func (g *Gateway) resumeTimeout() time.Duration { return 2 * g.stallTimeout() }

// resumeLimits bounds the attempts to resume a generation whose connection broke.
type resumeLimits struct {
	// tries is the number of attempts to which the engine did not respond, or with an error.
	tries int
	// timeout is how long such attempts go on, and failingUntil when they end.
	timeout      time.Duration
	failingUntil time.Time
	// closedUntil is when attempts end whose connections are refused.
	closedUntil time.Time
	// refusingUntil is the latest end of a refusal that is waited for.
	refusingUntil time.Time
}

func (gen *generation) newResumeLimits(resumes int, now time.Time) resumeLimits {
	l := resumeLimits{tries: resumes, timeout: gen.c.g.resumeTimeout()}
	l.failingUntil, l.closedUntil, l.refusingUntil = now.Add(l.timeout), now.Add(closedPortTimeout), now.Add(maxRefusalWait)
	if deadline, ok := gen.c.ctx.Deadline(); ok && deadline.Before(l.refusingUntil) {
		l.refusingUntil = deadline
	}
	return l
}

// backoff returns the pause before an attempt that follows a number of others.
func (l *resumeLimits) backoff() time.Duration {
	pause := time.Duration(0)
	for range l.tries {
		pause = min(max(2*pause, 2*resumeBackoff), maxResumeBackoff)
	}
	return pause
}

// pauseAfter returns the pause after a failed attempt. ok is false if no other one follows.
func (l *resumeLimits) pauseAfter(err error, now time.Time) (pause time.Duration, ok bool) {
	var refused *refusedError
	if errors.As(err, &refused) {
		l.failingUntil = refused.returnsAt.Add(l.timeout)
		return refused.returnsAt.Sub(now), !refused.returnsAt.After(l.refusingUntil)
	}
	l.tries++
	until := l.failingUntil
	if errors.Is(err, syscall.ECONNREFUSED) && l.closedUntil.Before(until) {
		until = l.closedUntil
	}
	return l.backoff(), now.Before(until)
}

// reattach requests the rest of the generation, whose connection broke because of cause, and sets
// gen.exchange. Only an engine that responds that it does not have the generation has lost it: one that
// refuses requests or fails to respond is asked again. If the generation may be replaced, that is tried
// after restartDelay.
func (gen *generation) reattach(cause error, resumes int) error {
	gen.exchange = nil
	begin := time.Now()
	limits := gen.newResumeLimits(resumes, begin)
	triedRestart := !gen.mayRestart()
	for pause := limits.backoff(); wait.For(gen.c.ctx, pause); {
		ex, err := gen.requestRest(gen.c.ctx, time.Until(limits.failingUntil))
		if err == nil {
			gen.setExchange(ex)
			return nil
		}
		if errors.Is(err, errGenerationLost) {
			return gen.restart(gen.lostError(cause))
		}
		gen.c.g.Log.Debug().Err(err).Str("request_id", gen.c.outcome.RequestID).Str("backend", gen.host.ID).
			Msg("failed to resume the generation")
		now, again := time.Now(), false
		pause, again = limits.pauseAfter(err, now)
		if !triedRestart && (!again || now.Add(pause).After(begin.Add(restartDelay))) {
			triedRestart = true
			if gen.c.acquireRetry(gen.attempts) {
				gen.abandon()
				return gen.startAttempts()
			}
		}
		if !again {
			return gen.unavailableError(err)
		}
	}
	return gen.c.ctx.Err()
}

// requestRest requests the events of the generation after those accepted, on a new connection, unless the
// engine refuses requests: *refusedError. It waits for the response header for a time, which is
// streamHeaderTimeout at most.
func (gen *generation) requestRest(ctx context.Context, headerTimeout time.Duration) (*connection.Exchange, error) {
	beforeSend, err := takeUnreserved(gen.processOf(gen.incarnation))
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	gen.c.setRequestHeaders(req, gen.host.Address)
	req.SetRequestURI("/v1/generations/" + gen.id + "?offset=" + strconv.Itoa(gen.offset))
	req.Header.Set(headerGenerationID, gen.id)
	sentAt := time.Now()
	ex, err := gen.c.g.Pool.Do(ctx, gen.host.Address, req, connection.Options{
		NoReuse: true, IDHeader: headerGenerationID, BeforeSend: beforeSend,
		ResponseHeaderTimeout: min(max(headerTimeout, resumeBackoff), streamHeaderTimeout),
	})
	if err != nil {
		return nil, err
	}
	if err := gen.checkResumed(ex, sentAt); err != nil {
		ex.Finish(false)
		return nil, err
	}
	return ex, nil
}

// checkResumed returns an error for a response that does not have the rest of the generation: errGenerationLost
// if the engine does not have it, and *refusedError if it refuses requests for a time.
func (gen *generation) checkResumed(ex *connection.Exchange, sentAt time.Time) error {
	if err := gen.checkID(ex); err != nil {
		return err
	}
	process := gen.processOf(cmp.Or(string(ex.Response.Header.Peek(headerIncarnation)), gen.incarnation))
	refused := gen.c.g.observeAnswer(process, &ex.Response.Header, sentAt)
	if err := gen.checkIncarnation(ex); err != nil {
		return err
	}
	switch status := ex.Response.StatusCode(); {
	case refused:
		return &refusedError{returnsAt: process.ReturnsAt()}
	case status == fasthttp.StatusNotFound, status == fasthttp.StatusGone:
		return errGenerationLost
	case status != fasthttp.StatusOK:
		return fmt.Errorf("resume request failed with status %d", status)
	}
	return nil
}
