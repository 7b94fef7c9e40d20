package forward

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

// errGap is returned when an event of the stream is missing.
var errGap = errors.New("an event of the stream is missing")

// errTooManyEvents is returned when a stream has more events than its request allows tokens.
var errTooManyEvents = errors.New("the stream has more events than the request allows output tokens")

// extraEvents is how many events a stream may have beyond the maximum number of output tokens:
// an event holds a token, except for one that ends the stream or states an error.
const extraEvents = 16

// serveStream forwards a request whose response is a stream of events.
func (r *request) serveStream() error {
	r.g.balancers.recordFirstAttempt(r.service)
	var attempted []string
	var last error
	series := r.g.newRetrySeries(r.service)
	for {
		res, reason := r.reserveGeneration(balance.Request{Tokens: r.expectedTokens(r.promptTokens), Prefill: r.promptTokens, Events: r.expectedEvents()}, attempted)
		if res == nil {
			return r.noReservation(last, r.runs.count(), reason)
		}
		if err := r.checkShutdown(); err != nil { // which may have begun during the wait
			res.cancel()
			return r.giveUp(err, r.runs.count())
		}
		r.attempts++
		s, err := r.startStream(res, r.reserveStandby(res.server), series)
		if err == nil {
			return s.relay()
		}
		if r.ctx.Err() != nil {
			return r.interruptionError(verdict.Of(err) != verdict.NotRun || r.runs.count() > 0)
		}
		if r.rejection != nil {
			return r.rejectedAfterRuns(err)
		}
		if verdict.From(err).Code == codeNoRetryBudget {
			return r.giveUp(last, r.runs.count())
		}
		last = err
		attempted = append(attempted, res.server.ID)
		if verdict.Of(err) != verdict.NotRun {
			r.runs.add(res.server.ID)
			if r.responded || !r.mayRunAgain(series) {
				return r.giveUp(err, 1)
			}
			continue
		}
		if !r.mayRetry(err, len(attempted), series) {
			return r.giveUp(err, r.runs.count())
		}
	}
}

// stream relays a generation to its caller. The generation may be resumed at another
// engine than the one where it started.
type stream struct {
	r          *request
	generation *generation
	ex         *connection.Exchange
	frames     *sse.FrameReader
	// header is the header of the first response.
	header     connection.HeaderFields
	headerSent bool
	lastID     int64 // newest event delivered
	lastAt     time.Time
	// delivered counts the events delivered, and repeated those dropped since then.
	delivered, repeated int
	// series has the runs of the request; see route.Route.Resumable.
	series *retrySeries
	// unnumbered is set if the last event delivered had no ID, so that no new run can continue after it.
	unnumbered bool
	// sourceEvents counts the events that the current source sent.
	sourceEvents int
	gapSampler   gapSampler
}

// startStream sends the request and reads the response header.
func (r *request) startStream(res, standby *reservation, series *retrySeries) (*stream, error) {
	ex, err := r.send(res, standby, series)
	if err != nil {
		standby.releaseIfHeld()
		return nil, err
	}
	if ex.Response.StatusCode() != fasthttp.StatusOK {
		standby.releaseIfHeld()
		if r.withholdsFailure(ex, res, series) {
			return nil, r.failedRun(ex, res)
		}
		return nil, r.deliverFailure(ex, res)
	}
	r.runs.add(res.server.ID)
	s := &stream{r: r, ex: ex, frames: sse.NewFrameReader(ex.Body()), series: series, lastID: r.callerOffset()}
	s.generation = r.g.generations.add(r, res, standby, series)
	s.generation.setExchange(ex)
	if r.route.Resumable {
		s.generation.awaitSilence() // a silent server is replaced before its first event too
	}
	s.header = copyHeader(responseHeader(&ex.Response.Header))
	return s, nil
}

// send sends the request to the reserved engine. The reservation is released on
// failure.
func (r *request) send(res, standby *reservation, series *retrySeries) (*connection.Exchange, error) {
	if err := r.checkParts(); err != nil {
		res.cancel()
		return nil, err
	}
	ctx, answered := r.runContext()
	defer answered()
	ex, err := r.exchange(ctx, res, true, func(req *fasthttp.Request) { r.setStandbyHeader(req, standby) }, exchangeHooks{sending: series.charge()})
	if err != nil {
		r.releaseFailed(res, err)
	}
	return ex, err
}

// exchangeHooks are called in the course of an exchange.
type exchangeHooks struct {
	// sending is called right before the first byte is sent, if the engine may get it, and prevents that by an
	// error.
	sending func() error
	// responded is called right after the header of a response was read that can be delivered, before
	// anything else is done with it; it may be nil.
	responded func(*connection.Exchange)
}

// exchange sends the request to the reserved engine, with fresh on a new connection.
func (r *request) exchange(ctx context.Context, res *reservation, fresh bool, prepare func(*fasthttp.Request), hooks exchangeHooks) (*connection.Exchange, error) {
	if err := r.checkRefusal(res.server); err != nil {
		return nil, err
	}
	req := r.outgoing(res.server.ID)
	defer fasthttp.ReleaseRequest(req)
	prepare(req)
	opts := r.sendOptions(res, fresh)
	check := opts.BeforeSend
	opts.BeforeSend = func() error {
		if err := check(); err != nil {
			return err
		}
		return hooks.sending()
	}
	sentAt := time.Now()
	ex, err := r.g.pool.Do(ctx, res.server.Address, req, opts)
	r.g.observeConnection(ctx, r.service, res.server, ex, err)
	if err != nil {
		if verdict.Of(err) != verdict.NotRun && !r.endedRun(ctx) {
			r.recordBrokenAnswer(res.server, err)
		}
		return nil, err
	}
	err = r.checkResponse(ex)
	if err == nil && hooks.responded != nil {
		hooks.responded(ex)
	}
	r.observeAnswer(res.server, &ex.Response.Header, sentAt)
	if err != nil {
		ex.Finish(false)
		return nil, err
	}
	return ex, nil
}

// deliverFailure delivers an engine's response other than a stream. The error it
// returns is errDelivered, unless the delivery failed.
func (r *request) deliverFailure(ex *connection.Exchange, res *reservation) error {
	err := r.deliver(ex, res)
	if err == nil {
		err = errDelivered
	}
	return err
}

// errDelivered ends a request whose failure response has been delivered.
var errDelivered = verdict.New(verdict.Ran, 0, "backend_failed", "the backend server responded with a failure")

// copyHeader copies header fields, so that they outlive their response.
func copyHeader(h connection.HeaderFields) connection.HeaderFields {
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

// relay delivers events until the stream ends.
func (s *stream) relay() error {
	defer s.close()
	for {
		frame, err := s.frames.Next()
		if err == nil {
			if err = s.relayFrame(frame); err != nil {
				return s.fail(err)
			}
			continue
		}
		action := s.sourceEnded(err)
		if action == relay.EndResponse {
			return s.complete()
		}
		if err = s.continueElsewhere(action, err); err != nil {
			return s.fail(err)
		}
	}
}

// relayFrame delivers a frame. Only an event that the caller lacks shows that the engine still generates.
func (s *stream) relayFrame(f sse.Frame) error {
	isNew := f.Event && !s.isRepeated(f)
	if !isNew && s.r.events == 0 {
		return s.deliver(f) // silence counts from the first event on, since a prefill may take long
	}
	s.generation.heard(isNew)
	if err := s.deliver(f); err != nil {
		return err
	}
	s.generation.awaitSilence()
	return nil
}

// isRepeated reports whether the caller has the event already.
func (s *stream) isRepeated(f sse.Frame) bool { return f.HasID && s.lastID != 0 && f.ID <= s.lastID }

// Framings of a response body: what shows where it ends.
const (
	framingLength  = "length"
	framingChunked = "chunked"
	framingClose   = "connection_close"
)

func framing(h *fasthttp.ResponseHeader) string {
	switch length := h.ContentLength(); {
	case length >= 0:
		return framingLength
	case length == -1:
		return framingChunked
	default:
		return framingClose
	}
}

// deliver forwards a frame. Events that the caller already has are dropped.
func (s *stream) deliver(f sse.Frame) error {
	if f.Event {
		s.sourceEvents++
	}
	if s.isRepeated(f) {
		return s.count(&s.repeated)
	}
	if f.HasID && s.lastID != 0 && f.ID != s.lastID+1 {
		return errGap
	}
	if f.Event {
		s.repeated = 0
		if err := s.count(&s.delivered); err != nil {
			return err
		}
	}
	if !s.headerSent {
		s.headerSent = true
		s.r.status = fasthttp.StatusOK
		s.r.responded = true
		if err := s.r.call.Begin(s.r.status, s.header); err != nil {
			return toCaller(err)
		}
	}
	if _, err := s.r.call.Write(f.Raw); err != nil {
		return toCaller(err)
	}
	if f.HasID {
		s.lastID = f.ID
	}
	if f.Event {
		s.unnumbered = !f.HasID
		s.observe()
		s.generation.delivered(s.r.events, s.lastID)
	}
	return nil
}

// count adds an event to a counter. Beyond the maximum output of the request it returns
// errTooManyEvents; a request that states none has no such limit.
func (s *stream) count(events *int) error {
	*events++
	if limit := s.r.maxOutput; limit > 0 && *events > limit+extraEvents {
		return errTooManyEvents
	}
	return nil
}

func (s *stream) observe() {
	now := time.Now()
	if s.r.events == 0 {
		s.r.firstEvent = now.Sub(s.r.call.Received)
		s.r.g.Metrics.FirstEvent.observe(s.r.firstEvent)
		s.r.observe(s.generation.currentReservation(), false)
		s.generation.prefillDone()
	} else {
		s.r.worstGap = max(s.r.worstGap, now.Sub(s.lastAt))
	}
	s.r.events++
	if s.r.events == begunEvents {
		s.r.prompt.RecordAnswer()
	}
	s.lastAt = now
	s.samplePace(now)
}

// complete ends the caller's response after the last event.
func (s *stream) complete() error {
	s.r.g.Metrics.CompletedStreams.Add(1)
	if s.r.events > 0 {
		s.r.prompt.RecordAnswer()
		s.endGaps(s.lastAt)
	}
	s.finish(true)
	if !s.headerSent {
		s.headerSent = true
		s.r.responded = true
		s.r.status = fasthttp.StatusOK
		s.r.call.Respond(s.r.status, s.header, nil)
		return nil
	}
	return s.r.call.End()
}

// fail aborts the caller's response, so that it does not look complete.
func (s *stream) fail(cause error) error {
	s.generation.breakOff()
	s.finish(false)
	if s.r.ctx.Err() != nil {
		if res := s.generation.currentReservation(); s.r.events == 0 && !s.r.endedEarly(res, cause) {
			s.r.observeBroken(res)
		}
		err := s.r.interruptionError(true)
		s.generation.cancelReservation()
		if s.headerSent {
			s.r.call.Abort()
		}
		return err
	}
	if isCallerError(cause) {
		s.generation.cancelReservation()
		s.r.call.Abort()
		return callerLeftError(cause)
	}
	s.generation.reportEngineFailure()
	if !s.headerSent {
		return unusableResponse(cause)
	}
	s.r.g.Metrics.BrokenStreams.Add(1)
	s.r.call.Abort()
	return verdict.Wrap(cause, verdict.Ran, 502, "stream_broken", "the engine broke off the stream")
}

func (s *stream) close() {
	s.generation.endSwitchover()
	s.r.g.generations.remove(s.generation)
	s.generation.mu.Lock()
	m := s.generation.migration
	s.generation.mu.Unlock()
	s.generation.abandonMigration(m, nil)
}
