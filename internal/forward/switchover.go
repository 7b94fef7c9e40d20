package forward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
)

// switchover is a request to another engine to resume a generation of which it has a copy. While
// the source still runs the generation, the caller gets its events until the target accepts.
type switchover struct {
	target *reservation
	// standby is the reservation of a standby replica of the target; nil if there is none.
	standby *reservation
	// newRun is set if the target runs the generation anew, without a copy; see stream.runAgain.
	newRun bool
	// ref is the copy from which the generation resumes, in the format of KVSource.
	ref string
	// series has the requests of the switchover.
	series *retrySeries
	// sourceEnd is how the source's body had ended before; nil while the source ran.
	sourceEnd error
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	times     switchoverTimes
	// Valid once done is closed; ex is nil if the target did not resume. responded is set if it
	// rejected the request, and mayRun if it has the request although it was abandoned.
	ex        *connection.Exchange
	err       error
	responded bool
	mayRun    bool
}

// switchTo asks target, which has a copy, to resume the generation while its engine still runs it.
// It returns nil if that is not possible now, and otherwise the ended request. A source whose target
// has not accepted goes on.
func (gen *generation) switchTo(server string, target *reservation, ref string, series *retrySeries) *switchover {
	gen.mu.Lock()
	started := gen.lastID > 0 && gen.reservation.server.ID == server
	gen.mu.Unlock()
	if !started {
		return nil
	}
	continueStop := gen.suspendStop(target.server.ID)
	gen.preconnect(target.server.Address)
	gen.awaitStep(server)
	sw := gen.newSwitchover(relay.Relayed, target, ref, series)
	if sw != nil {
		gen.ask(sw, server)
	}
	if sw == nil || sw.ex == nil {
		continueStop()
	}
	return sw
}

const (
	// recentEvent is the longest time since an event after which an engine is likely to be at the start of a step.
	recentEvent = 20 * time.Millisecond
	// stepPollInterval is the time between two checks for an event.
	stepPollInterval = 10 * time.Millisecond
)

// awaitStep waits for the next event of the source, unless one has just arrived: an engine notices only between two
// steps that it is to stop, and a step may be long. It does not wait for a source that is silent for longer than a
// sound one, or that has ended.
func (gen *generation) awaitStep(server string) {
	for gen.runsAt(server) {
		gen.mu.Lock()
		silence := gen.relay.Silence(time.Now())
		gen.mu.Unlock()
		if silence <= recentEvent || silence >= relay.SoundSilence {
			return
		}
		gen.waitWhileRunning(stepPollInterval)
	}
}

// newSwitchover registers a request to resume the generation. It returns nil unless the stream is in
// the given state.
func (gen *generation) newSwitchover(state relay.State, target *reservation, ref string, series *retrySeries) *switchover {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.ended || gen.relay.State() != state || !gen.relay.Ask(time.Now()) {
		return nil
	}
	sw := &switchover{target: target, ref: ref, series: series, done: make(chan struct{}), times: switchoverTimes{begun: time.Now()}}
	sw.ctx, sw.cancel = context.WithCancel(gen.r.ctx)
	gen.switchover = sw
	return sw
}

// ask sends the request of a switchover and records its result.
func (gen *generation) ask(sw *switchover, server string) {
	sw.standby = gen.r.reserveStandby(sw.target.server)
	stop := gen.abandonWhenLate(sw)
	if sw.newRun {
		sw.err = gen.startRun(sw)
	} else {
		sw.err = gen.resume(sw)
	}
	stop()
	if sw.ex != nil || sw.mayRun {
		gen.r.runs.add(sw.target.server.ID)
	}
	gen.mu.Lock()
	gen.r.targetResponse = "accepted"
	if sw.err != nil {
		gen.r.targetResponse = sw.err.Error()
		gen.refuse(sw)
	}
	if sw.mayRun && !sw.newRun {
		gen.stopClosed(sw.target.server, gen.reservation.server, true)
	}
	gen.mu.Unlock()
	if sw.ex == nil {
		sw.cancel()
		sw.standby.releaseIfHeld()
	}
	gen.logSwitchover(sw, server)
	close(sw.done)
}

// accept takes the target's response as soon as its header was read, and closes the source: until then the
// generation runs at both, and what the answer says of its engine is recorded under locks that others hold.
// A response that came too late is closed at once.
func (gen *generation) accept(sw *switchover, ex *connection.Exchange) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	sw.times.responded = time.Now()
	if sw.ctx.Err() != nil {
		ex.Abort()
		return
	}
	switch gen.relay.Accept() {
	case relay.DropTarget:
		ex.Abort()
		return
	case relay.CloseSource:
		gen.ex.Abort()
		sw.times.sourceClosed = time.Now()
	}
	sw.ex = ex
	if !gen.sourceStopped && !sw.newRun { // of a new run, the closed connection ends the former one
		gen.stopClosed(gen.reservation.server, sw.target.server, false)
	}
}

// refuse records that the target does not resume. gen.mu must be held.
func (gen *generation) refuse(sw *switchover) {
	if sw.times.responded.IsZero() {
		sw.times.responded = time.Now()
	}
	gen.relay.Refuse()
	if gen.relay.State() == relay.Relayed {
		gen.switchover = nil
	}
}

// abandonWhenLate cancels the request of a switchover whose target does not respond in time. The
// returned function ends that.
func (gen *generation) abandonWhenLate(sw *switchover) (stop func()) {
	if sw.newRun {
		timer := time.AfterFunc(gen.r.silenceLimit(false), sw.cancel)
		return func() { timer.Stop() }
	}
	var timer *time.Timer
	check := func() {
		gen.mu.Lock()
		defer gen.mu.Unlock()
		at, awaited := gen.relay.LateAt()
		if !awaited || sw.ctx.Err() != nil || gen.switchover != sw {
			return
		}
		if left := time.Until(at); left > 0 {
			timer.Reset(min(left, relay.MaxOverlap))
			return
		}
		if gen.relay.Late(time.Now()) == relay.DropTarget {
			sw.cancel()
			sw.times.abandoned = time.Now()
			return
		}
		gen.takenForDead = true
		gen.ex.Abort()
		sw.times.sourceClosed = time.Now()
		timer.Reset(relay.MaxOverlap)
	}
	gen.mu.Lock()
	timer = time.AfterFunc(relay.MaxOverlap, check)
	gen.mu.Unlock()
	return func() { timer.Stop() }
}

// resume requests the target to resume after the newest event delivered. It sets sw.ex if the target did.
func (gen *generation) resume(sw *switchover) error {
	r, ctx := gen.r, sw.ctx
	if r.prompt.Rejection() != nil {
		return notRun(503, crashes.Code, "engines crashed on a part of the prompt")
	}
	d := &r.g.opts.Dialect
	prepare := func(req *fasthttp.Request) {
		gen.mu.Lock()
		last := gen.lastID
		gen.mu.Unlock()
		req.Header.Set(d.KVSource, sw.ref)
		req.Header.Set(d.LastEventID, strconv.FormatInt(last, 10))
		r.setStandbyHeader(req, sw.standby)
	}
	if sw.target.isStandby {
		r.g.balancers.chargeRate(sw.target.server.ID)
	}
	responded := func(ex *connection.Exchange) {
		if ex.Response.StatusCode() == fasthttp.StatusOK {
			gen.accept(sw, ex)
		}
	}
	send := func(fresh bool) (*connection.Exchange, error) {
		// The hooks are those of one request, which is charged by itself.
		return r.exchange(ctx, sw.target, fresh, prepare, exchangeHooks{sending: gen.sending(sw), responded: responded})
	}
	ex, err := send(false)
	var lost error // of a first request that the engine may have begun to run
	if verdict.From(err).Code == connection.CodeNoResponse && ctx.Err() == nil && sw.series.available() {
		// The preconnected connection may have been closed. A copy can be used once, so a
		// second request cannot start a second generation.
		if verdict.Of(err) != verdict.NotRun {
			lost = err
		}
		r.g.balancers.chargeRate(sw.target.server.ID)
		ex, err = send(true)
	}
	if sw.ex != nil {
		return nil
	}
	status := 0
	if err == nil {
		status = ex.Response.StatusCode()
		ex.Finish(false)
	}
	// A rejection of the second request does not mean that the first one did not run: that may have used up the copy.
	sw.mayRun = lost != nil || status == fasthttp.StatusOK || err != nil && verdict.Of(err) != verdict.NotRun
	switch {
	case ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, 504, "target_late", "the engine with the KV cache copy did not respond in time")
	case err != nil:
		sw.responded = verdict.From(err).Code == codeNotRun
		if lost != nil {
			return verdict.Wrap(errors.Join(lost, err), verdict.MayHaveRun, 502, connection.CodeNoResponse, "the engine with the KV cache copy did not respond to a request that it may have run")
		}
		return err
	}
	sw.responded = true
	if status != fasthttp.StatusOK {
		return verdict.New(verdict.Ran, 502, "copy_refused", "the engine with the KV cache copy responded with status %d", status)
	}
	return errors.New("the stream ended before the target accepted")
}

func (gen *generation) currentSwitchover() *switchover {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.switchover
}

// breakOff records that the caller's response ends without its end.
func (gen *generation) breakOff() {
	gen.mu.Lock()
	gen.relay.Break()
	gen.mu.Unlock()
}

// endSwitchover cancels a switchover that is no longer needed and waits for its end.
func (gen *generation) endSwitchover() {
	sw := gen.currentSwitchover()
	if sw == nil {
		return
	}
	sw.cancel()
	<-sw.done
	if sw.ex != nil {
		sw.ex.Finish(false)
		sw.standby.releaseIfHeld()
		gen.mu.Lock()
		gen.stopClosed(sw.target.server, gen.reservation.server, false)
		gen.mu.Unlock()
	}
}

// setExchange sets the exchange whose response is relayed; nil while there is none.
func (gen *generation) setExchange(ex *connection.Exchange) {
	gen.mu.Lock()
	gen.ex = ex
	gen.mu.Unlock()
}

// finish ends the exchange whose response was relayed.
func (s *stream) finish(complete bool) {
	s.generation.setExchange(nil)
	s.ex.Finish(complete)
}

func (gen *generation) logSwitchover(sw *switchover, source string) {
	gen.mu.Lock()
	times := sw.times
	gen.mu.Unlock()
	gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("source", source).Str("target", sw.target.server.ID).
		Bool("went_on", sw.ex != nil).Bool("new_run", sw.newRun).AnErr("error", sw.err).AnErr("source_end", sw.sourceEnd).EmbedObject(times).
		Msg("generation switchover to another engine attempted")
}
