package forward

import (
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
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
	s.r.g.Metrics.MovesFailed.Add(1)
	return errors.Join(err, errors.New("the run stopped and was not moved: "+m.result.Outcome.String()))
}

func (m *move) isStopping(ru *run) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return m.stopping
}

// continueAt goes on with the stream at the engine that holds its copy.
func (s *stream) continueAt(m *move) error {
	r := s.r
	d := &r.g.opts.Dialect
	s.finish(false)
	standby := r.standbyFor(m.target.server)
	prepare := func(req *fasthttp.Request) {
		req.Header.Set(d.CopySource, d.CopyRef(m.source.Address, m.result.Handle))
		req.Header.Set(d.LastEvent, strconv.FormatInt(s.lastID, 10))
		r.nameStandby(req, standby)
	}
	ex, err := r.exchange(r.ctx, m.target, false, prepare)
	if verdict.From(err).Code == connection.CodeNoAnswer {
		// The connection opened ahead may have been closed. A copy can be used
		// once, so a second request cannot run beside the first.
		ex, err = r.exchange(r.ctx, m.target, true, prepare)
	}
	if err == nil && ex.Response.StatusCode() != fasthttp.StatusOK {
		err = verdict.New(verdict.Ran, 502, "move_refused", "the target of a move answered %d", ex.Response.StatusCode())
		ex.Finish(false)
	}
	if err != nil {
		standby.drop()
		m.target.release(r.call.Context().Err() == nil)
		r.g.Metrics.MovesFailed.Add(1)
		return err
	}
	s.goesOn(ex, m.target, standby)
	return nil
}

// goesOn takes over the answer of the engine at which the run goes on.
func (s *stream) goesOn(ex *connection.Exchange, target, standby *place) {
	s.ex, s.frames = ex, sse.NewFrameReader(ex.Body())
	s.run.setExchange(ex)
	s.r.moves++
	s.r.backend = target.server.ID
	s.r.g.Metrics.Moves.Add(1)
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
