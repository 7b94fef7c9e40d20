package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

const (
	// copyTimeout bounds one copy between engines.
	copyTimeout = 5 * time.Second
	// notRunningPause is the pause before a run that has not started yet is
	// copied again.
	notRunningPause = 100 * time.Millisecond
	// maxCopyTries bounds the tries to move one run.
	maxCopyTries = 12
)

// runs are the generations that this host relays.
type runs struct {
	mu       sync.Mutex
	byServer map[string]map[*run]struct{}
}

// run is the place of a generation at its present engine.
type run struct {
	r     *request
	mu    sync.Mutex
	place *place
	// move is set while the run is moved to another engine.
	move   *move
	events int
	ended  bool
}

// move is the way of a run to another engine.
type move struct {
	// stopping is set before the last part is asked for; the source's stream may
	// close from then on.
	stopping bool
	done     chan struct{}
	// Valid once done is closed.
	result CopyResult
	source balance.Server
	target *place
}

func (rs *runs) add(r *request, p *place) *run {
	ru := &run{r: r, place: p}
	rs.mu.Lock()
	rs.put(p.server.ID, ru)
	rs.mu.Unlock()
	if s := r.g.opts.Directory.Snapshot().Servers[p.server.ID]; s == nil || s.Closing() {
		// The server's notice came while the request was on its way.
		go ru.leave()
	}
	return ru
}

func (rs *runs) put(server string, ru *run) {
	if rs.byServer[server] == nil {
		rs.byServer[server] = map[*run]struct{}{}
	}
	rs.byServer[server][ru] = struct{}{}
}

func (rs *runs) drop(server string, ru *run) {
	delete(rs.byServer[server], ru)
	if len(rs.byServer[server]) == 0 {
		delete(rs.byServer, server)
	}
}

// remove ends a run and releases its place.
func (rs *runs) remove(ru *run) {
	ru.mu.Lock()
	ru.ended = true
	p := ru.place
	ru.mu.Unlock()
	rs.mu.Lock()
	rs.drop(p.server.ID, ru)
	rs.mu.Unlock()
	p.release(false)
}

// at returns the runs at a server.
func (rs *runs) at(server string) []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make([]*run, 0, len(rs.byServer[server]))
	for ru := range rs.byServer[server] {
		out = append(out, ru)
	}
	return out
}

func (ru *run) delivered(events int) {
	ru.mu.Lock()
	ru.events = events
	ru.mu.Unlock()
}

// leaveServers moves runs off the servers that began to leave.
func (g *Gateway) leaveServers(old, now *directory.Snapshot) {
	for id, s := range now.Servers {
		before := old.Servers[id]
		if s.Closing() && (before == nil || !before.Closing()) {
			g.leaveServer(id)
		}
	}
}

func (g *Gateway) leaveServer(id string) {
	leaving := g.runs.at(id)
	if len(leaving) == 0 {
		return
	}
	g.opts.Log.Info().Str("backend", id).Int("runs", len(leaving)).Msg("moving runs off a leaving backend server")
	for _, ru := range leaving {
		go ru.leave()
	}
}

// leave moves the run to another engine.
func (ru *run) leave() {
	ru.mu.Lock()
	if ru.move != nil || ru.ended {
		ru.mu.Unlock()
		return
	}
	m := &move{done: make(chan struct{}), source: ru.place.server}
	ru.move = m
	ru.mu.Unlock()
	ru.tryMove(m)
	close(m.done)
	if m.result.Outcome != Copied {
		ru.mu.Lock()
		if !m.stopping {
			ru.move = nil
		}
		ru.mu.Unlock()
	}
}

// tryMove copies the run while it goes on, and then the rest.
func (ru *run) tryMove(m *move) {
	r := ru.r
	tried := []string{m.source.ID}
	for try := 0; try < maxCopyTries && !cancelled(r.ctx); try++ {
		if m.target == nil {
			job := balance.Job{Tokens: r.prompt + r.output, Allowed: route.Regions(r.route, r.team), Exclude: tried}
			target, why := r.g.places.acquire(r.ctx, r.service, job, r.priority(), 0)
			if target == nil {
				ru.log(m, "no target: "+why.String(), CopyResult{}, nil)
				if !pause(r.ctx, notRunningPause) {
					break
				}
				tried = tried[:1]
				continue
			}
			m.target = target
		}
		result, err := ru.copy(m, false)
		if result.Outcome == Copied {
			ru.mu.Lock()
			m.stopping = true
			ru.mu.Unlock()
			result, err = ru.copy(m, true)
		}
		m.result = result
		ru.log(m, "copy", result, err)
		switch {
		case result.Outcome == Copied || m.stopping && result.Outcome != CopyBusy && result.Outcome != NoRun:
			return
		case result.Outcome == NoRoom:
			tried = append(tried, m.target.server.ID)
			m.target.release(false)
			m.target = nil
		default:
			if !pause(r.ctx, notRunningPause) {
				return
			}
		}
		if ru.isEnded() {
			break
		}
	}
	if m.target != nil && m.result.Outcome != Copied {
		m.target.release(false)
	}
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
		Msg("move: " + what)
}

// sourceEnded is called when the engine's stream ended. It returns io.EOF if the
// generation is complete, nil if it goes on at another engine, and else the
// error that broke it.
func (s *stream) sourceEnded(err error) error {
	ru := s.run
	ru.mu.Lock()
	m := ru.move
	stopped := m != nil && m.stopping
	ru.mu.Unlock()
	framed := s.ex.Response.Header.ContentLength() != -2
	if !stopped || errors.Is(err, io.EOF) && framed {
		return err
	}
	select {
	case <-m.done:
	case <-s.r.ctx.Done():
		return s.r.ctx.Err()
	}
	switch m.result.Outcome {
	case Copied:
		return s.continueAt(m)
	case NoRun:
		return err // the run had ended before its last part was asked for
	}
	s.r.g.Metrics.MovesFailed.Add(1)
	return errors.Join(err, errors.New("the run stopped for a move that failed: "+m.result.Outcome.String()))
}

// continueAt goes on with the stream at the engine that holds its copy.
func (s *stream) continueAt(m *move) error {
	r := s.r
	d := &r.g.opts.Dialect
	s.ex.Finish(false)
	ex, err := r.send(m.target, func(req *fasthttp.Request) {
		req.Header.Set(d.CopySource, d.CopyRef(m.source.Address, m.result.Handle))
		req.Header.Set(d.LastEvent, strconv.FormatInt(s.lastID, 10))
	})
	if err != nil {
		r.g.Metrics.MovesFailed.Add(1)
		return err
	}
	if ex.Response.StatusCode() != fasthttp.StatusOK {
		ex.Finish(false)
		m.target.release(false)
		r.g.Metrics.MovesFailed.Add(1)
		return verdict.New(verdict.Ran, 502, "move_refused", "the target of a move answered %d", ex.Response.StatusCode())
	}
	s.ex, s.frames = ex, sse.NewFrameReader(ex.Body())
	r.moves++
	r.backend = m.target.server.ID
	r.g.Metrics.Moves.Add(1)
	s.run.arrive(m.target)
	return nil
}

// arrive makes the target the run's place.
func (ru *run) arrive(target *place) {
	rs := &ru.r.g.runs
	ru.mu.Lock()
	left := ru.place
	ru.place, ru.move = target, nil
	ru.mu.Unlock()
	rs.mu.Lock()
	rs.drop(left.server.ID, ru)
	rs.put(target.server.ID, ru)
	rs.mu.Unlock()
	left.release(false)
	if s := ru.r.g.opts.Directory.Snapshot().Servers[target.server.ID]; s == nil || s.Closing() {
		go ru.leave()
	}
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
