package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

// errGap says that an event is missing.
var errGap = errors.New("an event of the stream is missing")

// serveStream forwards a request that is answered by events.
func (r *request) serveStream() error {
	r.g.places.firstTry(r.service)
	var tried []string
	var last error
	for {
		p, why := r.place(balance.Request{Tokens: r.expectedTokens(r.prompt), Prefill: r.prompt}, tried)
		if p == nil {
			return r.noPlace(last, 0, why)
		}
		r.tries++
		s, err := r.startStream(p, r.standbyFor(p.server))
		if err == nil {
			return s.relay()
		}
		if r.ctx.Err() != nil {
			return r.interrupted(verdict.Of(err) != verdict.NotRun)
		}
		last = err
		if verdict.Of(err) != verdict.NotRun {
			return r.giveUp(err, 1)
		}
		tried = append(tried, p.server.ID)
		if !r.mayTryAgain(err, len(tried)) {
			return r.giveUp(err, 0)
		}
	}
}

// slowTokenTime is the time of a token on an engine that also reads prompts.
const slowTokenTime = 15 * time.Millisecond

// stream is a generation that is relayed to its caller. It may go on at another
// engine than the one where it started.
type stream struct {
	r      *request
	run    *run
	ex     *connection.Exchange
	frames *sse.FrameReader
	// header is that of the first answer.
	header connection.Header
	begun  bool
	lastID int64 // newest event delivered
	lastAt time.Time
}

// startStream sends the request and reads the head of the answer.
func (r *request) startStream(p, standby *place) (*stream, error) {
	ex, err := r.send(p, standby)
	if err != nil {
		standby.drop()
		return nil, err
	}
	if ex.Response.StatusCode() != fasthttp.StatusOK {
		standby.drop()
		return nil, r.deliverFailure(ex, p)
	}
	s := &stream{r: r, ex: ex, frames: sse.NewFrameReader(ex.Body())}
	s.run = r.g.runs.add(r, p, standby)
	s.run.setExchange(ex)
	s.header = copyHeader(answerHeader(&ex.Response.Header))
	return s, nil
}

// send sends the request to the engine of a place, which is released on failure.
func (r *request) send(p, standby *place) (*connection.Exchange, error) {
	ex, err := r.exchange(r.ctx, p, true, func(req *fasthttp.Request) { r.nameStandby(req, standby) })
	if err != nil {
		p.release(r.call.Context().Err() == nil)
	}
	return ex, err
}

// exchange sends the request to the engine of a place, if asked for on a new
// connection.
func (r *request) exchange(ctx context.Context, p *place, fresh bool, prepare func(*fasthttp.Request)) (*connection.Exchange, error) {
	req := r.outgoing(p.server.ID)
	defer fasthttp.ReleaseRequest(req)
	prepare(req)
	ex, err := r.g.pool.Do(ctx, p.server.Address, req, connection.Options{
		NoReuse: fresh, DialTimeout: connectTimeout, MaxIdleTime: maxIdleReuse, MatchesRequest: r.belongs,
	})
	if err != nil {
		return nil, err
	}
	if err := r.check(ex, false); err != nil {
		ex.Finish(false)
		return nil, err
	}
	return ex, nil
}

// deliverFailure passes on an engine's own answer other than a stream. It
// returns an error only if that failed.
func (r *request) deliverFailure(ex *connection.Exchange, p *place) error {
	err := r.deliver(ex)
	p.release(err != nil)
	if err == nil {
		err = errDelivered
	}
	return err
}

// errDelivered ends a request whose answer was delivered.
var errDelivered = verdict.New(verdict.Ran, 0, "backend_failed", "the backend server answered with a failure")

// copyHeader keeps header fields beyond the life of their answer.
func copyHeader(h connection.Header) connection.Header {
	var fields [][2]string
	h(func(name, value string) bool {
		fields = append(fields, [2]string{name, value})
		return true
	})
	return func(yield func(name, value string) bool) {
		for _, f := range fields {
			if !yield(f[0], f[1]) {
				return
			}
		}
	}
}

// relay delivers the events until the stream ends.
func (s *stream) relay() error {
	defer s.close()
	for {
		s.boundPause()
		frame, err := s.frames.Next()
		if err == nil {
			err = s.deliver(frame)
		} else {
			err = s.sourceEnded(err)
		}
		if errors.Is(err, io.EOF) {
			return s.complete()
		}
		if err != nil {
			return s.fail(err)
		}
	}
}

// stalledAfter is after how many of the longest pauses that are on time an engine
// counts as gone, if another one holds a copy of the run. The stream is late
// then, and a caller is better served by the rest than by nothing.
const stalledAfter = 2

// boundPause ends the next read when the engine stalls and the run can go on at
// its standby.
func (s *stream) boundPause() {
	gap := s.r.route.GapObjective
	if gap <= 0 || !s.run.covered() {
		s.ex.SetReadDeadline(time.Time{})
		return
	}
	s.ex.SetReadDeadline(time.Now().Add(stalledAfter * gap))
}

// deliver passes one event on. An event that the caller has is dropped.
func (s *stream) deliver(f sse.Frame) error {
	if f.HasID && s.lastID != 0 {
		if f.ID <= s.lastID {
			return nil
		}
		if f.ID != s.lastID+1 {
			return errGap
		}
	}
	if !s.begun {
		s.begun = true
		s.r.status = fasthttp.StatusOK
		s.r.answered = true
		if err := s.r.call.Begin(s.r.status, s.header); err != nil {
			return err
		}
	}
	if _, err := s.r.call.Write(f.Raw); err != nil {
		return err
	}
	if f.HasID {
		s.lastID = f.ID
	}
	s.observe()
	s.run.delivered(s.r.events, s.lastID)
	return nil
}

func (s *stream) observe() {
	now := time.Now()
	if s.r.events == 0 {
		s.r.firstEvent = now.Sub(s.r.call.Received)
		s.r.g.Metrics.FirstEvent.observe(s.r.firstEvent)
		s.run.promptRead()
	} else {
		s.r.worstGap = max(s.r.worstGap, now.Sub(s.lastAt))
	}
	s.r.events++
	s.lastAt = now
}

// complete ends the caller's answer after the last event.
func (s *stream) complete() error {
	s.finish(true)
	if !s.begun {
		s.begun = true
		s.r.answered = true
		s.r.status = fasthttp.StatusOK
		s.r.call.Respond(s.r.status, s.header, nil)
		return nil
	}
	return s.r.call.End()
}

// fail ends the caller's answer early, in a way that does not look complete.
func (s *stream) fail(cause error) error {
	s.finish(false)
	if s.r.ctx.Err() != nil {
		err := s.r.interrupted(true)
		if s.begun {
			s.r.call.Abort()
		}
		return err
	}
	if !s.begun {
		return broken(cause)
	}
	s.run.engineFailed()
	s.r.g.Metrics.BrokenStreams.Add(1)
	s.r.call.Abort()
	return verdict.Wrap(cause, verdict.Ran, 502, "stream_broken", "the engine broke the stream off")
}

func (s *stream) close() {
	s.run.endHandover()
	s.r.g.runs.remove(s.run)
	s.run.abandonMove()
}
