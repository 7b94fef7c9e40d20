package forward

import (
	"errors"
	"io"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

// handleSourceEnd is called when the engine's stream has ended. It returns io.EOF if the
// generation is complete, nil if it was resumed at another engine, and otherwise the
// error that broke it.
func (s *stream) handleSourceEnd(err error) error {
	gen := s.generation
	gen.mu.Lock()
	m := gen.migration
	gen.mu.Unlock()
	framed := s.ex.Response.Header.ContentLength() != -2
	if errors.Is(err, io.EOF) && (framed || m == nil || !m.finalCopyStarted(gen)) {
		return err
	}
	if sw := gen.currentSwitchover(); sw != nil {
		return s.completeSwitchover(sw, err)
	}
	if m == nil {
		return s.resumeAtStandby(err)
	}
	select {
	case <-m.done:
	case <-s.r.ctx.Done():
		return s.r.ctx.Err()
	}
	if sw := gen.currentSwitchover(); sw != nil {
		return s.completeSwitchover(sw, err)
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
	return errors.Join(err, errors.New("the generation stopped and its migration failed: "+m.result.Outcome.String()))
}

func (m *migration) finalCopyStarted(gen *generation) bool {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return m.finalCopy
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
	s.ex, s.frames = ex, sse.NewFrameReader(ex.Body())
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
