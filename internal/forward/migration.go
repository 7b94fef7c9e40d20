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
	// copyTimeout limits one KV cache copy between engines.
	copyTimeout = 5 * time.Second
	// copyRetryInterval is the delay before a rejected copy is retried: the generation has
	// not started yet, or the link is busy.
	copyRetryInterval = 60 * time.Millisecond
	// maxCopyAttempts limits the copy attempts of one migration.
	maxCopyAttempts = 40
	// maxCopyFailures is how many copy requests may fail before the engine counts as ended.
	maxCopyFailures = 2
)

// migration is the live migration of a generation to another engine: a pre-copy while it
// runs, then a switchover, or else a final copy after it stopped.
type migration struct {
	// finalCopy is set before the final copy is requested; from then on the source may
	// close the stream.
	finalCopy bool
	done      chan struct{}
	source    balance.Server
	// tokensPerEvent is the number of tokens in an event.
	tokensPerEvent int
	// result is valid once done is closed.
	result CopyResult
	// preCopy is the result of the pre-copy, made while the generation ran.
	preCopy CopyResult
	// preCopyTime and finalCopyTime are the durations of the two copies.
	preCopyTime, finalCopyTime time.Duration
	target                     *reservation
}

// migrateFrom migrates the generation off a server, not before start.
func (gen *generation) migrateFrom(server string, start time.Time) {
	if !wait.For(gen.r.ctx, time.Until(start)) {
		return
	}
	gen.mu.Lock()
	if gen.migration != nil || gen.ended || gen.reservation.server.ID != server {
		gen.mu.Unlock()
		return
	}
	m := &migration{done: make(chan struct{}), source: gen.reservation.server, tokensPerEvent: 1}
	if e := gen.r.g.balancers.engineConfig(gen.r.service); e != nil {
		m.tokensPerEvent = e.EventTokens
	}
	gen.migration = m
	gen.mu.Unlock()
	gen.attemptMigration(m)
	close(m.done)
	gen.mu.Lock()
	if !m.finalCopy && m.preCopy.Handle == "" {
		gen.migration = nil // nothing was copied; a later migration may find capacity
	}
	gen.mu.Unlock()
}

// attemptMigration copies the generation to another engine, with retries while no engine
// has capacity.
func (gen *generation) attemptMigration(m *migration) {
	attempted := []string{m.source.ID}
	failures := 0
	for attempt := 0; attempt < maxCopyAttempts && gen.r.ctx.Err() == nil && !gen.isEnded(); attempt++ {
		if m.target == nil && !gen.chooseTarget(m, attempted) {
			attempted = attempted[:1]
			wait.For(gen.r.ctx, copyRetryInterval)
			continue
		}
		result, err := gen.copyAndSwitch(m)
		gen.log(m, "copy", result, err)
		switch {
		case result.Outcome == Copied:
			m.result = result
			return
		case m.finalCopy && (result.Outcome == CopyFailed || result.Outcome == GenerationNotFound || result.Handle != ""):
			// The generation has ended; it can resume from a copy, if there is one.
			gen.recordFailedFinalCopy(m, result)
			return
		case result.Outcome == TargetUnavailable && m.preCopy.Handle == "":
			attempted = append(attempted, m.target.server.ID)
			m.releaseTarget()
		case result.Outcome == CopyFailed:
			failures++
		}
		if failures >= maxCopyFailures {
			break
		}
		wait.For(gen.r.ctx, copyRetryInterval)
	}
	if m.preCopy.Handle == "" {
		m.releaseTarget() // otherwise abandonMigration does
	}
}

// chooseTarget reserves a slot at another engine. It stays in the source's region if that
// has any other engine: a copy to another region takes many times as long and would
// delay those of the other generations.
func (gen *generation) chooseTarget(m *migration, attempted []string) bool {
	allowed := route.RegionFilter(gen.r.route, gen.r.team)
	sameRegion := func(region string) bool { return region == m.source.Region && allowed(region) }
	target, reason := gen.reserveTarget(m, append(gen.targetsOfOtherSources(m), attempted...), sameRegion)
	if target == nil {
		target, reason = gen.reserveTarget(m, attempted[:1], sameRegion)
	}
	if reason == balance.NoCandidate {
		target, reason = gen.reserveTarget(m, attempted, allowed)
	}
	if target == nil {
		gen.log(m, "no target engine: "+reason.String(), CopyResult{}, nil)
		return false
	}
	m.target = target
	go gen.preconnect(target.server.Address)
	return true
}

// targetsOfOtherSources returns the engines of the region that are assigned to other
// terminating engines of the region as their targets.
func (gen *generation) targetsOfOtherSources(m *migration) []string {
	var terminating, eligible []string
	snapshot := gen.r.g.opts.Directory.Snapshot()
	for id, s := range snapshot.Servers {
		switch {
		case s.Service != gen.r.service || s.Region != m.source.Region || s.Removed:
		case s.Leaving:
			terminating = append(terminating, id)
		case !snapshot.DomainsOut[s.Domain]:
			eligible = append(eligible, id)
		}
	}
	targets := migrate.AssignTargets(m.source.ID, terminating, eligible)
	return slices.DeleteFunc(eligible, func(id string) bool { return slices.Contains(targets, id) })
}

// preconnect opens the connection on which the generation will be resumed.
func (gen *generation) preconnect(address string) {
	if err := gen.r.g.pool.Preconnect(gen.r.ctx, address, connectTimeout); err != nil {
		gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("address", address).Err(err).Msg("connecting to the migration target failed")
	}
}

func (gen *generation) reserveTarget(m *migration, attempted []string, allowed func(string) bool) (*reservation, balance.Reason) {
	r := gen.r
	req := balance.Request{Tokens: r.expectedTokens(gen.tokens(m.tokensPerEvent)), Allowed: allowed, Exclude: attempted, Source: &m.source}
	return r.g.balancers.acquire(r.ctx, r.service, req, r.sender(), 0)
}

// copyAndSwitch makes the pre-copy while the generation runs, and the switchover. If the
// target rejects the switchover, the generation stops for the final copy.
func (gen *generation) copyAndSwitch(m *migration) (CopyResult, error) {
	if m.preCopy.Handle == "" {
		start := time.Now()
		result, err := gen.copyKV(m, false)
		m.preCopyTime = time.Since(start)
		if result.Outcome != Copied {
			return result, err
		}
		m.preCopy = result
		ref := gen.r.g.opts.Dialect.FormatKVSource(m.source.Address, result.Handle)
		if gen.switchTo(m.source.ID, m, m.target, ref) {
			return result, nil
		}
	}
	gen.mu.Lock()
	m.finalCopy = true
	gen.mu.Unlock()
	start := time.Now()
	result, err := gen.copyKV(m, true)
	m.finalCopyTime = time.Since(start)
	return result, err
}

// recordFailedFinalCopy records a final copy that failed. The generation can resume only
// from the pre-copy, and only if its engine certainly does not run it any more.
func (gen *generation) recordFailedFinalCopy(m *migration, result CopyResult) {
	m.result = result
	if m.preCopy.Handle == "" || result.Outcome == TargetUnavailable {
		m.releaseTarget()
	}
}

// canResume reports whether the generation of a broken stream may resume from the
// pre-copy: only when its engine certainly does not run it any more. It requests a final
// copy again, because an earlier request may have reached the engine although its response
// was lost. A final copy that succeeds replaces the pre-copy.
func (gen *generation) canResume(m *migration) bool {
	if m.preCopy.Handle == "" || m.target == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(gen.r.ctx, connectTimeout)
	defer cancel()
	gen.r.g.balancers.chargeRate(m.source.ID)
	result, err := gen.r.g.opts.EngineClient.Copy(ctx, m.source.Address, gen.r.id, m.target.server.Address, true)
	gen.log(m, "source queried after its stream broke", result, err)
	switch result.Outcome {
	case Copied:
		m.preCopy = result
		return true
	case GenerationNotFound:
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (m *migration) releaseTarget() {
	if m.target != nil {
		m.target.release(false)
		m.target = nil
	}
}

// abandonMigration releases the resources of a migration whose generation has ended.
func (gen *generation) abandonMigration() {
	gen.mu.Lock()
	m := gen.migration
	gen.mu.Unlock()
	if m == nil {
		return
	}
	go func() {
		<-m.done
		m.releaseTarget()
		if m.preCopy.Handle == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		gen.r.g.balancers.chargeRate(m.source.ID)
		if err := gen.r.g.opts.EngineClient.DropCopy(ctx, m.source.Address, m.preCopy.Handle); err != nil {
			// The target frees it when its copy TTL expires.
			gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("source", m.source.ID).Err(err).Msg("freeing an unused KV cache copy failed")
		}
	}()
}

func (gen *generation) isEnded() bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.ended
}

func (gen *generation) copyKV(m *migration, final bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(gen.r.ctx), copyTimeout)
	defer cancel()
	gen.r.g.balancers.chargeRate(m.source.ID)
	return gen.r.g.opts.EngineClient.Copy(ctx, m.source.Address, gen.r.id, m.target.server.Address, final)
}

func (gen *generation) log(m *migration, event string, result CopyResult, err error) {
	target := ""
	if m.target != nil {
		target = m.target.server.ID
	}
	gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("source", m.source.ID).Str("target", target).
		Bool("last", m.finalCopy).Stringer("outcome", result.Outcome).Int("made", result.Events).AnErr("error", err).
		Int64("first_ms", m.preCopyTime.Milliseconds()).Int64("last_ms", m.finalCopyTime.Milliseconds()).Msg("generation migration: " + event)
}
