package forward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// overlapTime bounds how long an engine may work on after another was asked to
// go on with its run. It is half of what the platform allows, since the answer
// of the one and the end of the other take a way between regions each.
const overlapTime = 200 * time.Millisecond

// handover lets a run go on at an engine that holds a copy of it, while its own
// engine still works: the caller gets events from one until the other answers.
type handover struct {
	target *place
	// standby keeps a copy of the run at the target; nil if no engine does.
	standby *place
	// ref names the copy from which the run goes on.
	ref    string
	cancel context.CancelFunc
	done   chan struct{}
	// Valid once done is closed; ex is nil if the target did not go on.
	ex  *connection.Exchange
	err error
}

// handOverTo lets the run go on at an engine that holds a copy of it while its
// engine still works. m is the move that made the copy, or nil. It reports
// whether the run's engine was told to stop.
func (ru *run) handOverTo(server string, m *move, target *place, ref string) bool {
	ru.mu.Lock()
	if ru.move != m || ru.handover != nil || ru.ended || ru.lastID == 0 || ru.place.server.ID != server {
		ru.mu.Unlock()
		return false
	}
	ctx, cancel := context.WithCancel(ru.r.ctx)
	h := &handover{target: target, ref: ref, cancel: cancel, done: make(chan struct{})}
	ru.handover = h
	source := ru.ex
	ru.mu.Unlock()
	h.standby = ru.r.standbyFor(h.target.server)
	ru.openTarget(h.target.server.Address)
	stop := time.AfterFunc(overlapTime, func() { ru.interrupt(source) })
	h.ex, h.err = ru.resume(ctx, h)
	interrupted := !stop.Stop()
	ru.logHandover(h, server)
	if h.ex != nil {
		close(h.done)
		ru.interrupt(source)
		return true
	}
	h.standby.drop()
	if !interrupted {
		// The engine still works and has lost nothing.
		ru.mu.Lock()
		ru.handover = nil
		ru.mu.Unlock()
	}
	close(h.done)
	return interrupted
}

// resume asks the engine with the copy to go on after the newest event delivered.
func (ru *run) resume(ctx context.Context, h *handover) (*connection.Exchange, error) {
	r := ru.r
	d := &r.g.opts.Dialect
	prepare := func(req *fasthttp.Request) {
		ru.mu.Lock()
		last := ru.lastID
		ru.mu.Unlock()
		req.Header.Set(d.KVSource, h.ref)
		req.Header.Set(d.LastEventID, strconv.FormatInt(last, 10))
		r.nameStandby(req, h.standby)
	}
	ex, err := r.exchange(ctx, h.target, false, prepare)
	if verdict.From(err).Code == connection.CodeNoResponse {
		// The connection opened ahead may have been closed. A copy can be used
		// once, so a second request cannot run beside the first.
		ex, err = r.exchange(ctx, h.target, true, prepare)
	}
	if err != nil {
		return nil, err
	}
	if status := ex.Response.StatusCode(); status != fasthttp.StatusOK {
		ex.Finish(false)
		return nil, verdict.New(verdict.Ran, 502, "copy_refused", "the engine with the copy answered %d", status)
	}
	return ex, nil
}

// interrupt ends an engine's answer if it is still the one that is relayed. The
// engine stops its work when its caller leaves.
func (ru *run) interrupt(source *connection.Exchange) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.ex != nil && ru.ex == source {
		ru.ex.Abort()
	}
}

func (ru *run) currentHandover() *handover {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.handover
}

// endHandover waits for the end of a handover that is not needed any more.
func (ru *run) endHandover() {
	h := ru.currentHandover()
	if h == nil {
		return
	}
	h.cancel()
	<-h.done
	if h.ex != nil {
		h.ex.Finish(false)
	}
	h.standby.drop()
}

// adopt goes on with the answer of the handover's target after the engine's own
// ended with an error.
func (s *stream) adopt(h *handover, cause error) error {
	s.finish(false)
	<-h.done
	if h.ex == nil {
		s.r.g.Metrics.FailedMigrations.Add(1)
		return errors.Join(cause, h.err)
	}
	s.goesOn(h.ex, h.target, h.standby)
	return nil
}

// setExchange says whose answer is relayed; nil while none is.
func (ru *run) setExchange(ex *connection.Exchange) {
	ru.mu.Lock()
	ru.ex = ex
	ru.mu.Unlock()
}

// finish ends the exchange whose answer was relayed.
func (s *stream) finish(complete bool) {
	s.run.setExchange(nil)
	s.ex.Finish(complete)
}

func (ru *run) logHandover(h *handover, source string) {
	ru.r.g.opts.Log.Info().Str("request", ru.r.id).Str("source", source).Str("target", h.target.server.ID).
		Bool("went_on", h.ex != nil).AnErr("error", h.err).Msg("handed over")
}
