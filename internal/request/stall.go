package request

import (
	"context"
	"errors"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// stallWatch resumes a generation on another connection while its engine is silent. The silent
// connection is closed only once the engine has accepted that, or has lost the generation. An engine
// also responds that it has no generation if that has ended, and its last bytes may still arrive, so that
// it is asked twice.
type stallWatch struct {
	gen   *generation
	timer *time.Timer

	mu      sync.Mutex
	stopped bool
	// decided is set when the watch closes the silent connection. It is then not cancelled.
	decided bool
	// cancel and done are set once the watch asks the engine.
	cancel context.CancelFunc
	done   chan struct{}
	// replacement is the accepted connection, valid once done is closed; nil for none.
	replacement *connection.Exchange
}

// watchStall starts a watch that resumes the generation at the deadline, unless it is stopped before.
func (gen *generation) watchStall(deadline time.Time) *stallWatch {
	w := &stallWatch{gen: gen}
	w.timer = time.AfterFunc(time.Until(deadline), w.run)
	return w
}

func (w *stallWatch) run() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(w.gen.c.ctx)
	w.cancel, w.done = cancel, make(chan struct{})
	w.mu.Unlock()
	defer close(w.done)
	mayBeLost := false
	for {
		ex, err := w.gen.requestRest(ctx, streamHeaderTimeout)
		lost := errors.Is(err, errGenerationLost)
		if err == nil || lost && mayBeLost {
			w.decide(ex)
			return
		}
		mayBeLost = mayBeLost || lost
		// The engine may be silent only on this connection, or go on.
		pause := w.gen.c.g.stallTimeout()
		if refused := (*refusedError)(nil); errors.As(err, &refused) {
			pause = max(pause, time.Until(refused.returnsAt))
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// decide closes the silent connection, and keeps the one on which the engine has accepted to resume the
// generation, if any. If the watch was stopped meanwhile, it does the opposite.
func (w *stallWatch) decide(ex *connection.Exchange) {
	w.mu.Lock()
	w.decided = !w.stopped
	w.mu.Unlock()
	if w.decided {
		w.replacement = ex
		w.gen.exchange.Abort()
	} else if ex != nil {
		ex.Finish(false)
	}
}

// stop ends the watch and returns the connection on which the generation was resumed, or nil.
func (w *stallWatch) stop() *connection.Exchange {
	if w.timer.Stop() {
		return nil
	}
	w.mu.Lock()
	w.stopped = true
	cancel, done, decided := w.cancel, w.done, w.decided
	w.mu.Unlock()
	if done == nil {
		return nil
	}
	if !decided {
		cancel()
	}
	<-done
	return w.replacement
}

// errResumed is returned instead of an event when the generation was resumed on another connection.
var errResumed = errors.New("the generation was resumed on another connection")

// readEvent returns the next event on the current connection. If there is none until the deadline, the
// generation is resumed on another connection, and the result is errResumed.
func (gen *generation) readEvent(deadline time.Time) (sse.Event, error) {
	if gen.events.HasEvent() {
		return gen.events.Next()
	}
	if err := gen.c.ctx.Err(); err != nil {
		return sse.Event{}, err
	}
	watch := gen.watchStall(deadline)
	ev, err := gen.events.Next()
	replacement := watch.stop()
	if replacement == nil {
		return ev, err
	}
	gen.exchange.Finish(false)
	gen.setExchange(replacement)
	return sse.Event{}, errResumed
}
