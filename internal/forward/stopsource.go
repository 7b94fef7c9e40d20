package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

const (
	// closeNoticeTime is how long an engine has to notice that the connection of a generation was closed. Most then
	// stop the generation by themselves, so that nothing is copied.
	closeNoticeTime = 50 * time.Millisecond
	// stopCallTimeout limits one call to stop a generation: a sound engine answers after its longest silence, and one
	// that was cut off is to be asked again soon after it can be reached.
	stopCallTimeout = relay.SilenceLimit
	// beginTime is how long an engine that has a request may take to begin to run it.
	beginTime = relay.SilenceLimit
	// maxStopInterval is the longest time between two calls to an engine that may run a generation whose connection was
	// closed.
	maxStopInterval = time.Second
)

// stopRequest names the engine that is to stop a generation.
type stopRequest struct {
	server balance.Server
	// other is the target of the final copy that stops the generation.
	other balance.Server
	// mayBegin is set if the engine may have the request and begin to run it later, so that it is asked again
	// for beginTime although it does not run the generation now.
	mayBegin bool
	// maxInterval is the longest time between two calls.
	maxInterval time.Duration
	// log is called for each response.
	log func(CopyResult, error)
}

// stop asks the engine to stop the generation until that is certain, or until ctx ends. The result may have a
// copy, which is to be used or dropped.
func (gen *generation) stop(ctx context.Context, q stopRequest) (result CopyResult, stopped bool) {
	interval := finalCopyRetryInterval
	var notFoundSince time.Time // zero while the newest answer is another one
	for {
		if gen.r.g.balancers.isReplaced(q.server) {
			return CopyResult{}, true
		}
		result, err := gen.requestStop(ctx, q)
		q.log(result, err)
		switch {
		case result.Outcome == Copied, result.Outcome == TargetUnavailable && result.Handle != "":
			return result, true
		case errors.Is(err, syscall.ECONNREFUSED):
			return result, true
		case errors.Is(err, errRefused) && connection.Refuses(context.WithoutCancel(ctx), q.server.Address, connectTimeout):
			return result, true
		case result.Outcome == GenerationNotFound:
			if notFoundSince.IsZero() {
				notFoundSince = time.Now()
			}
			if !q.mayBegin || time.Since(notFoundSince) >= beginTime {
				return result, true
			}
		default:
			// Neither a rejection nor a closed connection shows whether the generation was stopped.
			notFoundSince = time.Time{}
		}
		if !wait.For(ctx, interval) {
			return CopyResult{}, false
		}
		interval = min(2*interval, q.maxInterval)
	}
}

// requestStop makes one call to stop the generation.
func (gen *generation) requestStop(ctx context.Context, q stopRequest) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, stopCallTimeout)
	defer cancel()
	gen.r.g.balancers.chargeRate(q.server.ID)
	return gen.r.g.opts.EngineClient.Copy(ctx, q.server.Address, gen.r.id, q.other.Address, true)
}

// isReplaced reports whether a newer process has the address of a server, whose process has ended then. Start times
// that are unknown show nothing.
func (bs *balancers) isReplaced(s balance.Server) bool {
	current, known := bs.serverAt(s.Address)
	return known && s.StartTime > 0 && current.StartTime > s.StartTime
}

// stopping is the attempts to stop a generation at an engine.
type stopping struct {
	stopRequest
	cancel context.CancelFunc
	// done is closed at the end of the attempts; stopped is valid then.
	done    chan struct{}
	stopped bool
}

// stopClosed stops the generation at an engine whose connection was closed while the other one runs it: not
// every engine stops by itself. It goes on until the engine has stopped, also after the end of the stream: an engine
// that cannot be reached may work on until the deadline that it was sent. gen.mu must be held.
func (gen *generation) stopClosed(server, other balance.Server, mayBegin bool) {
	limit := max(time.Until(gen.r.deadline), 0) + relay.SilenceLimit
	ctx, cancel := context.WithTimeout(context.WithoutCancel(gen.r.ctx), limit)
	attempts := &stopping{cancel: cancel, done: make(chan struct{}), stopRequest: stopRequest{
		server: server, other: other, mayBegin: mayBegin, maxInterval: maxStopInterval, log: gen.logStops(server.ID, other.ID),
	}}
	if gen.stopping == nil {
		gen.stopping = map[string]*stopping{}
	}
	gen.stopping[server.ID] = attempts
	metrics := &gen.r.g.Metrics
	metrics.PendingStops.Add(1)
	go func() {
		defer close(attempts.done)
		defer cancel()
		defer metrics.PendingStops.Add(-1)
		if !wait.For(ctx, closeNoticeTime) {
			return
		}
		result, stopped := gen.stop(ctx, attempts.stopRequest)
		attempts.stopped = stopped
		if !stopped && ctx.Err() == context.DeadlineExceeded {
			gen.r.g.opts.Log.Warn().Str("request", gen.r.id).Str("backend", server.ID).Msg("a generation may still run at an engine whose connection was closed")
		}
		go gen.dropCopy(server, result.Handle)
	}()
}

// logStops returns a function that logs the responses of an engine that is to stop the generation. A response like the
// one before is not logged, since an engine may be unreachable for long.
func (gen *generation) logStops(server, other string) func(CopyResult, error) {
	previous, attempts := "", 0
	return func(result CopyResult, err error) {
		attempts++
		current := fmt.Sprint(result.Outcome, err)
		if current == previous {
			return
		}
		previous = current
		gen.logCopy("asked to stop at an engine whose connection was closed", server, other, result, err).Int("attempt", attempts).Send()
	}
}

// suspendStop ends the attempts to stop the generation at an engine, which is about to be asked to resume it. The
// returned function continues them; it is called if the engine does not resume the generation.
func (gen *generation) suspendStop(server string) (continueStop func()) {
	gen.mu.Lock()
	attempts := gen.stopping[server]
	gen.mu.Unlock()
	if attempts == nil {
		return func() {}
	}
	attempts.cancel()
	<-attempts.done
	if attempts.stopped {
		return func() {}
	}
	return func() {
		gen.mu.Lock()
		defer gen.mu.Unlock()
		if gen.stopping[server] == attempts { // else they have begun anew
			gen.stopClosed(attempts.server, attempts.other, attempts.mayBegin)
		}
	}
}
