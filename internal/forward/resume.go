package forward

import (
	"errors"
	"io"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

// isRegularEnd reports whether the response of the current source is complete. end is the
// error of reading its body, and only that: io.EOF in the error of another operation, such
// as a resume request, says nothing about the body.
func (s *stream) isRegularEnd(end error) bool {
	if end != io.EOF {
		return false
	}
	// A source that was stopped for the final copy, or crashed, ends a body without framing
	// in the same way as a complete one. A complete response has at least one event of its own.
	return s.r.framing != framingClose || s.sourceEvents > 0 && !s.generation.finalCopyStarted()
}

// resume continues the generation at another engine after the source's response ended
// before the last event; cause is how it ended. It returns the error that broke the stream
// if the generation was not resumed.
func (s *stream) resume(cause error) error {
	gen := s.generation
	gen.mu.Lock()
	m := gen.migration
	gen.mu.Unlock()
	if sw := gen.currentSwitchover(); sw != nil {
		return s.completeSwitchover(sw, cause)
	}
	if m == nil {
		return s.resumeAtStandby(cause)
	}
	select {
	case <-m.done:
	case <-s.r.ctx.Done():
		return s.r.ctx.Err()
	}
	if sw := gen.currentSwitchover(); sw != nil {
		return s.completeSwitchover(sw, cause)
	}
	switch {
	case m.result.Outcome == Copied:
		return s.resumeFromCopy(m)
	case gen.canResume(m):
		m.result = m.preCopy
		return s.resumeFromCopy(m)
	}
	m.releaseTarget()
	s.r.g.Metrics.FailedMigrations.Add(1)
	return errors.Join(cause, errors.New("the generation stopped and its migration failed: "+m.result.Outcome.String()))
}

// finalCopyStarted reports whether the generation may have been stopped for the final copy
// of its migration.
func (gen *generation) finalCopyStarted() bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.migration != nil && gen.migration.finalCopy
}

// resumeFromCopy resumes the generation at the target of a migration.
func (s *stream) resumeFromCopy(m *migration) error {
	s.finish(false)
	return s.resumeAt(&switchover{
		target: m.target, ref: s.r.g.opts.Dialect.FormatKVSource(m.source.Address, m.result.Handle),
	})
}

// resumeAt resumes the generation at the target after the current engine's stream ended.
func (s *stream) resumeAt(sw *switchover) error {
	r := s.r
	sw.sourceEnd = r.sourceEnd
	sw.standby = r.reserveStandby(sw.target.server)
	sw.ex, sw.err = s.generation.resume(r.ctx, sw)
	s.generation.logSwitchover(sw, s.generation.serverID())
	if sw.ex == nil {
		sw.standby.releaseIfHeld()
		sw.target.release(r.call.Context().Err() == nil)
		r.g.Metrics.FailedMigrations.Add(1)
		return sw.err
	}
	s.relayFrom(sw.ex, sw.target, sw.standby)
	return nil
}

// relayFrom continues the relay with the response of the target.
func (s *stream) relayFrom(ex *connection.Exchange, target, standby *reservation) {
	s.ex, s.frames, s.sourceEvents = ex, sse.NewFrameReader(ex.Body()), 0
	s.r.sourceEnd, s.r.framing = nil, ""
	s.generation.setExchange(ex)
	s.r.migrations++
	s.r.backend = target.server.ID
	s.r.g.Metrics.Migrations.Add(1)
	s.generation.switchReservation(target, standby)
}

// switchReservation makes the target's reservation the current one and releases the former.
func (gen *generation) switchReservation(target, standby *reservation) {
	gens := &gen.r.g.generations
	gen.mu.Lock()
	former := gen.reservation
	gen.reservation, gen.migration, gen.switchover = target, nil, nil
	if gen.standby == target {
		gen.standby = nil
	}
	gen.mu.Unlock()
	gen.setStandby(standby)
	gens.mu.Lock()
	gens.drop(former.server.ID, gen)
	gens.put(target.server.ID, gen)
	gens.mu.Unlock()
	former.release(false)
	gen.r.g.migrateIfTerminating(gen, target.server.ID)
}
