package forward

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

const (
	// copyTimeout bounds one copy between engines.
	copyTimeout = 5 * time.Second
	// notRunningPause is the pause before a copy that was refused, because the
	// run has not started yet or the link is busy, is tried again.
	notRunningPause = 60 * time.Millisecond
	// maxCopyTries bounds the tries to move one run.
	maxCopyTries = 40
	// maxCopyFailures is how many calls may fail before the engine counts as ended.
	maxCopyFailures = 2
)

// move is the way of a run to another engine.
type move struct {
	// stopping is set before the last part is asked for; the source's stream may
	// close from then on.
	stopping bool
	done     chan struct{}
	source   balance.Server
	// perEvent is the number of tokens in an event.
	perEvent int
	// Valid once done is closed.
	result CopyResult
	// copied is the first copy, made while the run went on.
	copied CopyResult
	// firstTook and lastTook are how long the two copies took.
	firstTook, lastTook time.Duration
	target              *place
}

// leave moves the run from an engine to another, not before a time.
func (ru *run) leave(server string, start time.Time) {
	if !wait.For(ru.r.ctx, time.Until(start)) {
		return
	}
	ru.mu.Lock()
	if ru.move != nil || ru.ended || ru.place.server.ID != server {
		ru.mu.Unlock()
		return
	}
	m := &move{done: make(chan struct{}), source: ru.place.server, perEvent: 1}
	if e := ru.r.g.places.engineOf(ru.r.service); e != nil {
		m.perEvent = e.EventTokens
	}
	ru.move = m
	ru.mu.Unlock()
	ru.tryMove(m)
	close(m.done)
	ru.mu.Lock()
	if !m.stopping && m.copied.Handle == "" {
		ru.move = nil // nothing was done; a later move may find room
	}
	ru.mu.Unlock()
}

// tryMove moves the run, trying again while there is no room.
func (ru *run) tryMove(m *move) {
	tried := []string{m.source.ID}
	failures := 0
	for try := 0; try < maxCopyTries && ru.r.ctx.Err() == nil && !ru.isEnded(); try++ {
		if m.target == nil && !ru.chooseTarget(m, tried) {
			tried = tried[:1]
			wait.For(ru.r.ctx, notRunningPause)
			continue
		}
		result, err := ru.copyParts(m)
		ru.log(m, "copy", result, err)
		switch {
		case result.Outcome == Copied:
			m.result = result
			return
		case m.stopping && (result.Outcome == CopyFailed || result.Handle != ""):
			// The run has stopped; its copy, if there is one, goes on.
			ru.stopped(m, result)
			return
		case result.Outcome == TargetUnavailable && m.copied.Handle == "":
			tried = append(tried, m.target.server.ID)
			m.dropTarget()
		case result.Outcome == CopyFailed:
			failures++
		}
		if failures >= maxCopyFailures {
			break
		}
		wait.For(ru.r.ctx, notRunningPause)
	}
	if m.copied.Handle == "" {
		m.dropTarget() // else abandonMove does
	}
}

// chooseTarget takes a place at another engine. It stays in the source's region
// if that has any: a copy to another region takes many times as long and would
// hold up those of the other runs.
func (ru *run) chooseTarget(m *move, tried []string) bool {
	allowed := route.Regions(ru.r.route, ru.r.team)
	near := func(region string) bool { return region == m.source.Region && allowed(region) }
	target, why := ru.acquireTarget(m, append(ru.othersTargets(m), tried...), near)
	if target == nil {
		target, why = ru.acquireTarget(m, tried[:1], near)
	}
	if why == balance.NoCandidate {
		target, why = ru.acquireTarget(m, tried, allowed)
	}
	if target == nil {
		ru.log(m, "no target: "+why.String(), CopyResult{}, nil)
		return false
	}
	m.target = target
	go ru.openTarget(target.server.Address)
	return true
}

// othersTargets are the engines of the region that are left to others of its
// engines that leave at the same time.
func (ru *run) othersTargets(m *move) []string {
	var leaving, open []string
	snapshot := ru.r.g.opts.Directory.Snapshot()
	for id, s := range snapshot.Servers {
		switch {
		case s.Service != ru.r.service || s.Region != m.source.Region || s.Removed:
		case s.Leaving:
			leaving = append(leaving, id)
		case !snapshot.DomainsOut[s.Domain]:
			open = append(open, id)
		}
	}
	mine := migrate.AssignTargets(m.source.ID, leaving, open)
	return slices.DeleteFunc(open, func(id string) bool { return slices.Contains(mine, id) })
}

// openTarget opens the connection on which the run will go on.
func (ru *run) openTarget(address string) {
	if err := ru.r.g.pool.Preconnect(ru.r.ctx, address, connectTimeout); err != nil {
		ru.r.g.opts.Log.Info().Str("request", ru.r.id).Str("address", address).Err(err).Msg("move: connection to the target")
	}
}

func (ru *run) acquireTarget(m *move, tried []string, allowed func(string) bool) (*place, balance.Reason) {
	r := ru.r
	job := balance.Request{Tokens: r.expectedTokens(ru.tokens(m.perEvent)), Allowed: allowed, Exclude: tried, Source: &m.source}
	return r.g.places.acquire(r.ctx, r.service, job, r.priority(), 0)
}

// copyParts makes a first copy while the run goes on and hands the run over. If
// the target refuses, the run stops for the last part of the copy.
func (ru *run) copyParts(m *move) (CopyResult, error) {
	if m.copied.Handle == "" {
		start := time.Now()
		result, err := ru.copy(m, false)
		m.firstTook = time.Since(start)
		if result.Outcome != Copied {
			return result, err
		}
		m.copied = result
		ref := ru.r.g.opts.Dialect.FormatKVSource(m.source.Address, result.Handle)
		if ru.handOverTo(m.source.ID, m, m.target, ref) {
			return result, nil
		}
	}
	ru.mu.Lock()
	m.stopping = true
	ru.mu.Unlock()
	start := time.Now()
	result, err := ru.copy(m, true)
	m.lastTook = time.Since(start)
	return result, err
}

// stopped keeps the result of a last part that failed. Only its first copy, if
// it is sure that the engine does not run it any more, can go on.
func (ru *run) stopped(m *move, result CopyResult) {
	m.result = result
	if m.copied.Handle == "" || result.Outcome == TargetUnavailable {
		m.dropTarget()
	}
}

// resumable reports whether the run of a broken stream may go on from its first
// copy: only when its engine surely does not run it any more. It may have been
// asked to stop without its answer having arrived.
func (ru *run) resumable(m *move) bool {
	if m.copied.Handle == "" || m.target == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ru.r.ctx, connectTimeout)
	defer cancel()
	result, err := ru.r.g.opts.Engines.Copy(ctx, m.source.Address, ru.r.id, m.target.server.Address, true)
	ru.log(m, "engine asked after its stream broke", result, err)
	switch result.Outcome {
	case Copied:
		m.copied = result
		return true
	case GenerationNotFound:
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (m *move) dropTarget() {
	if m.target != nil {
		m.target.release(false)
		m.target = nil
	}
}

// abandonMove frees what a move holds whose run has ended without it.
func (ru *run) abandonMove() {
	ru.mu.Lock()
	m := ru.move
	ru.mu.Unlock()
	if m == nil {
		return
	}
	go func() {
		<-m.done
		m.dropTarget()
		if m.copied.Handle == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := ru.r.g.opts.Engines.DropCopy(ctx, m.source.Address, m.copied.Handle); err != nil {
			// The target frees it by itself after a while.
			ru.r.g.opts.Log.Info().Str("request", ru.r.id).Str("source", m.source.ID).Err(err).Msg("move: copy not dropped")
		}
	}()
}

func (ru *run) isEnded() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.ended
}

func (ru *run) copy(m *move, last bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ru.r.ctx), copyTimeout)
	defer cancel()
	return ru.r.g.opts.Engines.Copy(ctx, m.source.Address, ru.r.id, m.target.server.Address, last)
}

func (ru *run) log(m *move, what string, result CopyResult, err error) {
	target := ""
	if m.target != nil {
		target = m.target.server.ID
	}
	ru.r.g.opts.Log.Info().Str("request", ru.r.id).Str("source", m.source.ID).Str("target", target).
		Bool("last", m.stopping).Stringer("outcome", result.Outcome).Int("made", result.Events).AnErr("error", err).
		Int64("first_ms", m.firstTook.Milliseconds()).Int64("last_ms", m.lastTook.Milliseconds()).Msg("move: " + what)
}
