package forward

import (
	"errors"
	"io"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

// sourceEnded is called when the engine's stream ended. It returns io.EOF if the
// generation is complete, nil if it goes on at another engine, and else the
// error that broke it.
func (s *stream) sourceEnded(err error) error {
	ru := s.run
	ru.mu.Lock()
	m := ru.move
	ru.mu.Unlock()
	framed := s.ex.Response.Header.ContentLength() != -2
	if errors.Is(err, io.EOF) && (framed || m == nil || !m.isStopping(ru)) {
		return err
	}
	if h := ru.currentHandover(); h != nil {
		return s.adopt(h, err)
	}
	if m == nil {
		return s.continueAtStandby(err)
	}
	select {
	case <-m.done:
	case <-s.r.ctx.Done():
		return s.r.ctx.Err()
	}
	if h := ru.currentHandover(); h != nil {
		return s.adopt(h, err)
	}
	switch {
	case m.result.Outcome == Copied:
		return s.continueAt(m)
	case ru.resumable(m):
		m.result = m.copied
		return s.continueAt(m)
	}
	m.dropTarget()
	s.r.g.Metrics.FailedMigrations.Add(1)
	return errors.Join(err, errors.New("the run stopped and was not moved: "+m.result.Outcome.String()))
}

func (m *move) isStopping(ru *run) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return m.stopping
}

// continueAt goes on at the engine that holds the copy of a move.
func (s *stream) continueAt(m *move) error {
	s.finish(false)
	return s.continueFrom(&handover{
		target: m.target, ref: s.r.g.opts.Dialect.FormatKVSource(m.source.Address, m.result.Handle),
	})
}

// continueFrom goes on at the target of a handover after the run's own engine ended.
func (s *stream) continueFrom(h *handover) error {
	r := s.r
	h.standby = r.standbyFor(h.target.server)
	h.ex, h.err = s.run.resume(r.ctx, h)
	s.run.logHandover(h, s.run.serverID())
	if h.ex == nil {
		h.standby.drop()
		h.target.release(r.call.Context().Err() == nil)
		r.g.Metrics.FailedMigrations.Add(1)
		return h.err
	}
	s.goesOn(h.ex, h.target, h.standby)
	return nil
}

// goesOn takes over the answer of the engine at which the run goes on.
func (s *stream) goesOn(ex *connection.Exchange, target, standby *place) {
	s.ex, s.frames = ex, sse.NewFrameReader(ex.Body())
	s.run.setExchange(ex)
	s.r.moves++
	s.r.backend = target.server.ID
	s.r.g.Metrics.Migrations.Add(1)
	s.run.arrive(target, standby)
}

// arrive makes the target the run's place.
func (ru *run) arrive(target, standby *place) {
	rs := &ru.r.g.runs
	ru.mu.Lock()
	left := ru.place
	ru.place, ru.move, ru.handover = target, nil, nil
	if ru.standby == target {
		ru.standby = nil
	}
	ru.mu.Unlock()
	ru.setStandby(standby)
	rs.mu.Lock()
	rs.drop(left.server.ID, ru)
	rs.put(target.server.ID, ru)
	rs.mu.Unlock()
	left.release(false)
	ru.r.g.leaveIfClosing(ru, target.server.ID)
}
