package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// closeNoticeTime is how long an engine has to notice that the connection of a generation was closed. Most then
// stop the generation by themselves, so that nothing is copied.
const closeNoticeTime = 50 * time.Millisecond

// stopRequest names the engine that is to stop a generation.
type stopRequest struct {
	server balance.Server
	// other is the target of the final copy that stops the generation.
	other balance.Server
	// mayBegin is set if the engine may have the request and begin to run it later, so that it is asked again
	// although it does not run the generation now.
	mayBegin bool
	// log is called for each response.
	log func(CopyResult, error)
}

// stop asks the engine to stop the generation until that is certain, or until ctx ends. The result may have a
// copy, which is to be used or dropped.
func (gen *generation) stop(ctx context.Context, q stopRequest) (result CopyResult, stopped bool) {
	interval := finalCopyRetryInterval
	for {
		gen.r.g.balancers.chargeRate(q.server.ID)
		result, err := gen.r.g.opts.EngineClient.Copy(ctx, q.server.Address, gen.r.id, q.other.Address, true)
		q.log(result, err)
		switch {
		case result.Outcome == Copied, result.Outcome == TargetUnavailable && result.Handle != "":
			return result, true
		case result.Outcome == GenerationNotFound && !q.mayBegin, errors.Is(err, syscall.ECONNREFUSED):
			return result, true
		case errors.Is(err, errRefused) && connection.Refuses(context.WithoutCancel(ctx), q.server.Address, connectTimeout):
			return result, true
		}
		// Neither a rejection nor a closed connection shows whether the generation was stopped.
		if !wait.For(ctx, interval) {
			return CopyResult{}, false
		}
		interval = min(2*interval, maxFinalCopyRetryInterval)
	}
}

// stopping is the attempts to stop a generation at an engine. done is closed at their end.
type stopping struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// stopClosed stops the generation at an engine whose connection was closed while the other one runs it: not
// every engine stops by itself. gen.mu must be held.
func (gen *generation) stopClosed(server, other balance.Server, mayBegin bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(gen.r.ctx), relay.SilenceLimit)
	attempts := stopping{cancel: cancel, done: make(chan struct{})}
	if gen.stopping == nil {
		gen.stopping = map[string]stopping{}
	}
	gen.stopping[server.ID] = attempts
	go func() {
		defer close(attempts.done)
		defer cancel()
		if !wait.For(ctx, closeNoticeTime) {
			return
		}
		result, stopped := gen.stop(ctx, stopRequest{server: server, other: other, mayBegin: mayBegin, log: func(result CopyResult, err error) {
			gen.logCopy("asked to stop at an engine whose connection was closed", server.ID, other.ID, result, err).Send()
		}})
		if !stopped && ctx.Err() == context.DeadlineExceeded {
			gen.r.g.opts.Log.Warn().Str("request", gen.r.id).Str("backend", server.ID).Msg("a generation may still run at an engine whose connection was closed")
		}
		go gen.dropCopy(server, result.Handle)
	}()
}

// endStop ends the attempts to stop the generation at an engine, which is about to be asked to resume it.
func (gen *generation) endStop(server string) {
	gen.mu.Lock()
	attempts, ok := gen.stopping[server]
	gen.mu.Unlock()
	if ok {
		attempts.cancel()
		<-attempts.done
	}
}
