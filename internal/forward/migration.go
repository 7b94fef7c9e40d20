package forward

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

const (
	// copyTimeout limits one KV cache copy between engines.
	copyTimeout = 5 * time.Second
	// copyRetryInterval is the delay before a rejected copy is retried: the generation has
	// not started yet, or the link is busy.
	copyRetryInterval = 60 * time.Millisecond
	// maxTargetWait is how long a migration waits for an engine of the region that refuses requests
	// before it goes to another region, where the copy takes many times as long. It is also the longest
	// time between two choices of a target.
	maxTargetWait = 500 * time.Millisecond
	// promptCopyAttempts is the number of copy attempts of one migration that follow each other at short intervals.
	promptCopyAttempts = 40
	// maxCopyFailures is how many copy requests may fail before the engine counts as ended.
	maxCopyFailures = 2
	// finalCopyRetryInterval is the time between the first two requests for a final copy. It doubles
	// with each further one, up to maxFinalCopyRetryInterval.
	finalCopyRetryInterval    = 60 * time.Millisecond
	maxFinalCopyRetryInterval = 500 * time.Millisecond
	// maxSwitchovers is how many requests to resume may fail in one migration. The interval between
	// them doubles from switchoverRetryInterval.
	maxSwitchovers          = 5
	switchoverRetryInterval = 60 * time.Millisecond
)

// migration is the live migration of a generation to another engine: a pre-copy while it runs, then
// a switchover. The generation is not stopped for a final copy: its target could still reject it.
type migration struct {
	done   chan struct{}
	source balance.Server
	// tokensPerEvent is the number of tokens in an event.
	tokensPerEvent int
	// preCopy is the newest copy at target, made while the generation ran.
	preCopy CopyResult
	// preCopyTime is the duration of the pre-copy.
	preCopyTime time.Duration
	target      *reservation
	// next is the engine that replaces target once it has a copy; nil if there is none.
	next *reservation
}

// copyTarget is the engine that gets the next copy.
func (m *migration) copyTarget() *reservation {
	if m.next != nil {
		return m.next
	}
	return m.target
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
	gen.mu.Lock()
	if gen.migration == m && m.preCopy.Handle == "" {
		gen.migration = nil // nothing was copied; a later migration may find capacity
	}
	gen.mu.Unlock()
	close(m.done)
}

// attemptMigration copies the generation to another engine and asks it to resume, with retries at
// others while no engine has capacity or accepts, for as long as the source goes on.
func (gen *generation) attemptMigration(m *migration) {
	attempted := []string{m.source.ID}
	failures, switchovers := 0, 0
	retryInterval := switchoverRetryInterval
	series := gen.r.g.newRetrySeries(gen.r.service)
	for attempt := 0; gen.runsAt(m.source.ID); attempt++ {
		if attempt >= promptCopyAttempts {
			gen.waitWhileRunning(maxTargetWait)
		}
		gen.releaseUnusable(m)
		if m.target == nil && !gen.chooseTarget(m, attempted) {
			attempted = attempted[:1]
			gen.waitWhileRunning(gen.targetWait(m))
			continue
		}
		start := time.Now()
		result, err := gen.copyKV(m, false)
		m.preCopyTime = time.Since(start)
		gen.log(m, "copy", result, err)
		switch result.Outcome {
		case Copied:
			gen.useCopy(m, result)
			if !series.available() {
				break
			}
			sw := gen.switchTo(m.source.ID, m.target, gen.r.g.opts.Dialect.FormatKVSource(m.source.Address, result.Handle), series)
			if sw == nil {
				break // the first event has not arrived, or the stream ended
			}
			if switchovers++; sw.ex != nil || switchovers == maxSwitchovers {
				return
			}
			gen.waitWhileRunning(retryInterval)
			retryInterval *= 2
			attempted = gen.replaceTarget(m, append(attempted, m.target.server.ID))
			continue
		case TargetUnavailable:
			attempted = append(attempted, m.copyTarget().server.ID)
			if m.preCopy.Handle == "" {
				m.releaseTarget()
			} else {
				m.releaseNext()
				attempted = gen.replaceTarget(m, attempted)
			}
		case CopyFailed:
			failures++
		}
		if failures >= maxCopyFailures {
			break
		}
		gen.waitWhileRunning(copyRetryInterval)
	}
	m.releaseNext()
	if m.preCopy.Handle == "" {
		m.releaseTarget() // otherwise abandonMigration does
	}
}

// replaceTarget chooses another engine than those attempted, which gets the next copy. The migration keeps
// its target and the copy there until that succeeds. It returns the engines attempted: if all were, only
// the source, so that they are chosen again.
func (gen *generation) replaceTarget(m *migration, attempted []string) []string {
	if !gen.runsAt(m.source.ID) {
		return attempted
	}
	allowed := route.RegionFilter(gen.r.route, gen.r.team)
	target, reason := gen.reserveTarget(m, attempted, func(region string) bool { return region == m.source.Region && allowed(region) })
	if reason == balance.NoCandidate {
		target, _ = gen.reserveTarget(m, attempted, allowed)
	}
	if target == nil {
		return attempted[:1]
	}
	m.next = target
	go gen.preconnect(target.server.Address)
	return attempted
}

// useCopy makes a new copy that of the migration, and frees the former one.
func (gen *generation) useCopy(m *migration, result CopyResult) {
	if handle := m.preCopy.Handle; handle != result.Handle {
		go gen.dropCopy(m.source, handle)
	}
	if m.next != nil {
		m.releaseTarget()
		m.target, m.next = m.next, nil
	}
	m.preCopy = result
}

// releaseUnusable releases the engines of a migration that must not get requests any more, and frees the
// copy there.
func (gen *generation) releaseUnusable(m *migration) {
	if m.next != nil && !gen.r.g.acceptsWork(m.next.server.ID) {
		m.releaseNext()
	}
	if m.target != nil && !gen.r.g.acceptsWork(m.target.server.ID) {
		go gen.dropCopy(m.source, m.preCopy.Handle)
		m.releaseTarget()
		m.preCopy = CopyResult{}
		m.target, m.next = m.next, nil
	}
}

// runsAt reports whether the generation is relayed from a server, whether or not another is asked.
func (gen *generation) runsAt(server string) bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	state := gen.relay.State()
	return !gen.ended && gen.r.ctx.Err() == nil && gen.reservation.server.ID == server && (state == relay.Relayed || state == relay.Switching)
}

// waitWhileRunning waits for d or until the source's response has ended.
func (gen *generation) waitWhileRunning(d time.Duration) {
	gen.mu.Lock()
	ended := gen.sourceEnded
	gen.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ended:
	case <-gen.r.ctx.Done():
	}
}

// chooseTarget reserves a slot at another engine. It stays in the source's region if that
// has any other engine that does not refuse for long: a copy to another region takes many times as
// long and would delay those of the other generations.
func (gen *generation) chooseTarget(m *migration, attempted []string) bool {
	allowed := route.RegionFilter(gen.r.route, gen.r.team)
	sameRegion := func(region string) bool { return region == m.source.Region && allowed(region) }
	target, reason := gen.reserveTarget(m, append(gen.targetsOfOtherSources(m), attempted...), sameRegion)
	if target == nil {
		target, reason = gen.reserveTarget(m, attempted[:1], sameRegion)
	}
	if reason == balance.NoCandidate || reason == balance.Refused && gen.targetWait(m) == maxTargetWait {
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

// targetWait returns the time until the next choice of a target: until the first engine of the region takes
// requests again, if all of them refuse.
func (gen *generation) targetWait(m *migration) time.Duration {
	allowed := route.RegionFilter(gen.r.route, gen.r.team)
	refused := gen.r.g.balancers.refusedFor(gen.r.service, balance.Request{
		Allowed: func(region string) bool { return region == m.source.Region && allowed(region) }, Exclude: []string{m.source.ID},
	})
	return min(max(refused, copyRetryInterval), maxTargetWait)
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
	exposure := r.g.balancers.expose(r, true)
	req.Exposed = exposure != nil
	res, reason := r.g.balancers.acquire(r.ctx, r.service, req, r.sender(), 0)
	r.g.balancers.settle(exposure, res)
	return res, reason
}

// canResume reports whether the generation of a broken stream may resume from the pre-copy: only
// when its engine certainly does not run it any more. It requests a final copy, which stops a
// generation that the engine still runs; if that succeeds, it replaces the pre-copy. The generation is
// stopped also if the target has no room for the final copy.
func (gen *generation) canResume(m *migration) bool {
	if m.preCopy.Handle == "" || m.target == nil {
		return false
	}
	// A sound engine may be silent, or refuse requests, for a second or two; one that is dead does not
	// accept the connection.
	ctx, cancel := context.WithTimeout(gen.r.ctx, relay.SilenceLimit)
	defer cancel()
	result, stopped := gen.stop(ctx, stopRequest{server: m.source, other: m.target.server, maxInterval: maxFinalCopyRetryInterval, log: func(result CopyResult, err error) {
		gen.log(m, "source queried after its stream broke", result, err)
	}})
	switch {
	case !stopped:
		return false
	case result.Outcome == Copied:
		m.preCopy = result
	case result.Handle != "" && result.Handle != m.preCopy.Handle:
		go gen.dropCopy(m.source, result.Handle) // the target has the pre-copy
	}
	gen.mu.Lock()
	gen.sourceStopped = true
	gen.mu.Unlock()
	return true
}

func (m *migration) releaseNext() {
	if m.next != nil {
		m.next.cancel()
		m.next = nil
	}
}

func (m *migration) releaseTarget() {
	if m.target != nil {
		m.target.cancel()
		m.target = nil
	}
}

// abandonMigration releases the resources of a migration, which may be nil, unless the generation was
// resumed at its target.
func (gen *generation) abandonMigration(m *migration, resumedAt *reservation) {
	if m == nil {
		return
	}
	go func() {
		<-m.done
		if m.target != nil && m.target == resumedAt {
			return
		}
		m.releaseTarget()
		gen.dropCopy(m.source, m.preCopy.Handle)
	}()
}

// dropCopy frees a copy that is not used; handle may be empty.
func (gen *generation) dropCopy(source balance.Server, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	gen.r.g.balancers.chargeRate(source.ID)
	if err := gen.r.g.opts.EngineClient.DropCopy(ctx, source.Address, handle); err != nil {
		// The target frees it when its copy TTL expires.
		gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("source", source.ID).Err(err).Msg("freeing an unused KV cache copy failed")
	}
}

func (gen *generation) copyKV(m *migration, final bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(gen.r.ctx), copyTimeout)
	defer cancel()
	gen.r.g.balancers.chargeRate(m.source.ID)
	return gen.r.g.opts.EngineClient.Copy(ctx, m.source.Address, gen.r.id, m.copyTarget().server.Address, final)
}

func (gen *generation) log(m *migration, event string, result CopyResult, err error) {
	target := ""
	if to := m.copyTarget(); to != nil {
		target = to.server.ID
	}
	gen.logCopy(event, m.source.ID, target, result, err).Int64("first_ms", m.preCopyTime.Milliseconds()).Send()
}

// logCopy returns the log line about a copy request.
func (gen *generation) logCopy(event, source, target string, result CopyResult, err error) *zerolog.Event {
	return gen.r.g.opts.Log.Info().Str("request", gen.r.id).Str("source", source).Str("target", target).
		Stringer("outcome", result.Outcome).Int("made", result.Events).AnErr("error", err).
		Str(zerolog.MessageFieldName, "generation migration: "+event)
}
