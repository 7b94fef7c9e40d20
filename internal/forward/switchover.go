package forward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
)

// maxOverlap limits how long the source may continue after the resume request was sent to
// the target. It is half of what the platform allows, since the target's
// response and the source's end take a one-way latency between regions each.
const maxOverlap = 200 * time.Millisecond

// switchover resumes a generation at an engine with a copy while the source still runs
// it: the caller gets events from the source until the target responds.
type switchover struct {
	target *reservation
	// standby is the reservation of a standby replica of the target; nil if there is none.
	standby *reservation
	// ref is the copy from which the generation resumes, in the format of KVSource.
	ref string
	// sourceEnd is how the source's body had ended before; nil while the source ran.
	sourceEnd error
	cancel    context.CancelFunc
	done      chan struct{}
	// Valid once done is closed; ex is nil if the target did not resume.
	ex  *connection.Exchange
	err error
}

// switchTo resumes the generation at target, which has a copy, while its engine still
// runs it. m is the migration that made the copy, or nil. It reports whether the source
// was interrupted.
func (gen *generation) switchTo(server string, m *migration, target *reservation, ref string) bool {
	gen.mu.Lock()
	if gen.migration != m || gen.switchover != nil || gen.ended || gen.lastID == 0 || gen.reservation.server.ID != server {
		gen.mu.Unlock()
		return false
	}
	ctx, cancel := context.WithCancel(gen.r.ctx)
	sw := &switchover{target: target, ref: ref, cancel: cancel, done: make(chan struct{})}
	gen.switchover = sw
	source := gen.ex
	gen.mu.Unlock()
	sw.standby = gen.r.reserveStandby(sw.target.server)
	gen.preconnect(sw.target.server.Address)
	stop := time.AfterFunc(maxOverlap, func() { gen.interrupt(source, endedByOverlap) })
	sw.ex, sw.err = gen.resume(ctx, sw)
	interrupted := !stop.Stop()
	gen.logSwitchover(sw, server)
	if sw.ex != nil {
		close(sw.done)
		gen.interrupt(source, endedBySwitchover)
		return true
	}
	sw.standby.releaseIfHeld()
	if !interrupted {
		// The source still runs the generation and has lost nothing.
		gen.mu.Lock()
		gen.switchover = nil
		gen.mu.Unlock()
	}
	close(sw.done)
	return interrupted
}

// resume requests the target to resume after the newest event delivered.
func (gen *generation) resume(ctx context.Context, sw *switchover) (*connection.Exchange, error) {
	r := gen.r
	if r.prompt.Rejection() != nil {
		return nil, notRun(503, crashes.Code, "engines crashed on a part of the prompt")
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
	ex, err := r.exchange(ctx, sw.target, false, prepare)
	if verdict.From(err).Code == connection.CodeNoResponse {
		// The preconnected connection may have been closed. A copy can be used once, so a
		// second request cannot start a second generation.
		r.g.balancers.chargeRate(sw.target.server.ID)
		ex, err = r.exchange(ctx, sw.target, true, prepare)
	}
	if err != nil {
		return nil, err
	}
	if status := ex.Response.StatusCode(); status != fasthttp.StatusOK {
		ex.Finish(false)
		return nil, verdict.New(verdict.Ran, 502, "copy_refused", "the engine with the KV cache copy responded with status %d", status)
	}
	return ex, nil
}

// interrupt aborts the source's response if it is still the one that is relayed. An
// engine stops a generation when its client disconnects.
func (gen *generation) interrupt(source *connection.Exchange, by endedBy) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.ex != nil && gen.ex == source {
		gen.interruptedBy = by
		gen.ex.Abort()
	}
}

func (gen *generation) currentSwitchover() *switchover {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.switchover
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
	}
	sw.standby.releaseIfHeld()
}

// completeSwitchover continues with the target's response after the source's response
// ended with cause.
func (s *stream) completeSwitchover(sw *switchover, cause error) error {
	s.finish(false)
	<-sw.done
	if sw.ex == nil {
		s.r.g.Metrics.FailedMigrations.Add(1)
		return errors.Join(cause, sw.err)
	}
	s.relayFrom(sw.ex, sw.target, sw.standby)
	return nil
}

// setExchange sets the exchange whose response is relayed; nil while there is none.
func (gen *generation) setExchange(ex *connection.Exchange) {
	gen.mu.Lock()
	gen.ex = ex
	if ex != nil {
		gen.interruptedBy = ""
	}
	gen.mu.Unlock()
}

// finish ends the exchange whose response was relayed.
func (s *stream) finish(complete bool) {
	s.generation.setExchange(nil)
	s.ex.Finish(complete)
}

func (gen *generation) logSwitchover(sw *switchover, source string) {
	gen.mu.Lock()
	gen.r.targetResponse = "accepted"
	if sw.err != nil {
		gen.r.targetResponse = sw.err.Error()
	}
	gen.mu.Unlock()
	gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("source", source).Str("target", sw.target.server.ID).
		Bool("went_on", sw.ex != nil).AnErr("error", sw.err).AnErr("source_end", sw.sourceEnd).
		Msg("generation switchover to another engine attempted")
}
