package forward

import (
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

const (
	// maxResumeAttempts is how often one engine is asked to resume a generation whose source has
	// ended, while it rejects the requests without running them.
	maxResumeAttempts = 3
	// resumeRetryInterval is the time between two such requests.
	resumeRetryInterval = 150 * time.Millisecond
)

// sourceEnded records how the response of the current source ended. end is the error of reading
// its body, and only that: io.EOF in the error of another operation, such as a resume request, says
// nothing about the body.
func (s *stream) sourceEnded(end error) relay.Action {
	gen, r := s.generation, s.r
	body := s.bodyEnd(end)
	r.sourceEnd, r.framing = end, framing(&s.ex.Response.Header)
	body.Delimited = r.framing != framingClose
	gen.mu.Lock()
	r.sourceEndedBy = gen.endedBy()
	byEngine := r.sourceEndedBy == endedByEngine
	action := gen.relay.SourceEnded(time.Now(), body.Complete())
	close(gen.sourceEnded)
	res, stopped := gen.reservation, gen.sourceStopped
	gen.mu.Unlock()
	if action != relay.EndResponse && !stopped && (byEngine || r.sourceEndedBy == endedBySilence) {
		r.observeBroken(res)
	}
	if byEngine && action != relay.EndResponse {
		r.recordBrokenAnswer(gen.server(), end)
	}
	return action
}

// continueElsewhere continues the generation at another engine after the source's response ended
// before the last event; cause is how it ended. It returns the error that broke the stream if the
// generation was not resumed.
func (s *stream) continueElsewhere(action relay.Action, cause error) error {
	s.finish(false)
	if action == relay.RelayTarget || action == relay.AwaitTarget {
		sw := s.generation.currentSwitchover()
		<-sw.done
		if sw.ex != nil {
			s.relayFrom(sw)
			return nil
		}
		s.r.g.Metrics.FailedMigrations.Add(1)
		cause = errors.Join(cause, sw.err)
	}
	if err := s.resumeFromMigration(); err != errNoCopy {
		if err == nil {
			return nil
		}
		cause = errors.Join(cause, err)
	}
	err := s.resumeAtStandby(cause)
	if err != nil && s.canRunAgain() {
		return s.runAgain(err)
	}
	return err
}

// errNoCopy is returned if there is no copy of a kind from which a generation can resume.
var errNoCopy = errors.New("the generation has no copy")

// resumeFromMigration resumes the generation at the target of its migration, after the source's
// response ended.
func (s *stream) resumeFromMigration() error {
	gen := s.generation
	gen.mu.Lock()
	m := gen.migration
	gen.mu.Unlock()
	if m == nil {
		return errNoCopy
	}
	select {
	case <-m.done:
	case <-s.r.ctx.Done():
		return s.r.ctx.Err()
	}
	if m.target == nil || !s.r.g.acceptsWork(m.target.server.ID) || !gen.canResume(m) {
		m.releaseTarget()
		s.r.g.Metrics.FailedMigrations.Add(1)
		return errors.New("the migration of the generation had not copied it, or its engine may still run it")
	}
	return s.resumeAt(m.target, s.r.g.opts.Dialect.FormatKVSource(m.source.Address, m.preCopy.Handle))
}

// resumeAt resumes the generation at an engine with a copy after the source's response ended. An
// engine that rejects the request is asked again, while the retry budget allows it, and one that refuses
// requests when the refusal is over.
func (s *stream) resumeAt(target *reservation, ref string) error {
	r, gen := s.r, s.generation
	series := r.g.newRetrySeries(r.service)
	var sw *switchover
	for attempt := 1; ; attempt++ {
		err := r.awaitTurn(target.server)
		if err == nil && !r.g.acceptsWork(target.server.ID) {
			err = errors.New("the engine with the KV cache copy takes no new requests")
		}
		if err != nil {
			target.release(false)
			r.g.Metrics.FailedMigrations.Add(1)
			return err
		}
		continueStop := gen.suspendStop(target.server.ID)
		if sw = gen.newSwitchover(relay.Interrupted, target, ref, series); sw == nil {
			continueStop()
			return errors.New("the stream has ended")
		}
		sw.sourceEnd = r.sourceEnd
		gen.ask(sw, gen.serverID())
		if sw.ex != nil {
			s.relayFrom(sw)
			return nil
		}
		continueStop()
		if verdict.Of(sw.err) != verdict.NotRun || attempt == maxResumeAttempts || !series.available() ||
			!wait.For(r.ctx, resumeRetryInterval) {
			break
		}
	}
	if sw.responded || r.ctx.Err() != nil || isWithheld(sw.err) {
		target.cancel()
	} else {
		target.release(true)
	}
	r.g.Metrics.FailedMigrations.Add(1)
	return sw.err
}

// relayFrom continues the relay with the response of the target.
func (s *stream) relayFrom(sw *switchover) {
	s.ex, s.frames, s.sourceEvents = sw.ex, sse.NewFrameReader(sw.ex.Body()), 0
	s.r.sourceEnd, s.r.framing = nil, ""
	s.r.backend = sw.target.server.ID
	if sw.newRun {
		s.r.reruns++
		s.r.g.Metrics.Reruns.Add(1)
	} else {
		s.r.migrations++
		s.r.g.Metrics.Migrations.Add(1)
	}
	s.generation.switchReservation(sw.ex, sw.target, sw.standby)
}

// switchReservation makes the target's exchange and reservation the current ones and releases the
// former reservation.
func (gen *generation) switchReservation(ex *connection.Exchange, target, standby *reservation) {
	gens := &gen.r.g.generations
	gen.mu.Lock()
	former, dead := gen.reservation, gen.takenForDead
	m := gen.migration
	gen.reservation, gen.migration, gen.switchover = target, nil, nil
	gen.ex, gen.sourceEnded, gen.takenForDead, gen.sourceStopped = ex, make(chan struct{}), false, false
	gen.relay.Relay(time.Now())
	if gen.standby == target {
		gen.standby = nil
	}
	gen.mu.Unlock()
	gen.setStandby(standby)
	gens.mu.Lock()
	gens.drop(former.server.ID, gen)
	gens.put(target.server.ID, gen)
	gens.mu.Unlock()
	if dead {
		former.release(true)
	} else {
		former.cancel()
	}
	gen.abandonMigration(m, target)
	gen.awaitSilence()
	gen.r.g.migrateIfTerminating(gen, target.server.ID)
}
