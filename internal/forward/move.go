package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
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

// runs are the generations that this host relays.
type runs struct {
	mu       sync.Mutex
	byServer map[string]map[*run]struct{}
	// plannedUntil is when the planned moves off a leaving server have ended.
	plannedUntil map[string]time.Time
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

func (rs *runs) add(r *request, p *place) *run {
	ru := &run{r: r, place: p}
	rs.mu.Lock()
	rs.put(p.server.ID, ru)
	rs.mu.Unlock()
	r.g.leaveIfClosing(ru, p.server.ID)
	return ru
}

// forget drops what is kept of servers that are not known any more.
func (rs *runs) forget(now *directory.Snapshot) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for id := range rs.plannedUntil {
		if now.Servers[id] == nil {
			delete(rs.plannedUntil, id)
		}
	}
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

// list returns all runs for the other hosts, in a fixed order.
func (rs *runs) list(p *places) []gossip.Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []gossip.Run
	for server, at := range rs.byServer {
		for ru := range at {
			perEvent := 1
			if e := p.engineOf(ru.r.service); e != nil {
				perEvent = e.EventTokens
			}
			held := ru.tokens(perEvent)
			ru.expect(held)
			out = append(out, gossip.Run{ID: ru.r.id, Server: server, Tokens: held, Rank: ru.rank()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (ru *run) promptRead() {
	ru.mu.Lock()
	p := ru.place
	ru.mu.Unlock()
	p.promptRead()
}

func (ru *run) rank() int { return migrate.Rank(ru.r.prompt, ru.r.output) }

// expect corrects the memory that the run is expected to need.
func (ru *run) expect(held int) {
	ru.mu.Lock()
	p, ended := ru.place, ru.ended
	ru.mu.Unlock()
	if !ended {
		p.expect(ru.r.expectedTokens(held))
	}
}

// expectedTokens is the memory to count for a run that holds some tokens: half
// of what is still to come, since other runs end meanwhile.
func (r *request) expectedTokens(held int) int {
	left := max(0, r.prompt+r.output-held)
	return held + left/2
}

// tokens is the memory that the run holds at its engine.
func (ru *run) tokens(perEvent int) int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.r.prompt + ru.events*perEvent
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
			go g.leaveServer(s)
		}
	}
	g.runs.forget(now)
}

// leaveIfClosing moves a run whose server gave notice before the run was known.
// It comes after those of the server's plan.
func (g *Gateway) leaveIfClosing(ru *run, server string) {
	if s := g.opts.Directory.Snapshot().Servers[server]; s != nil && !s.Closing() {
		return
	}
	g.runs.mu.Lock()
	start := time.Now()
	if end := g.runs.plannedUntil[server]; end.After(start) {
		start = end
	}
	g.runs.mu.Unlock()
	go ru.leave(start)
}

// leaveServer moves the runs of this host off an engine, each when its turn
// among the runs of all hosts comes.
func (g *Gateway) leaveServer(s *directory.Server) {
	notice := time.Now()
	leaving := g.runs.at(s.ID)
	engine := g.places.engineOf(s.Service)
	if engine == nil || !engine.Moves {
		return
	}
	byID := make(map[string]*run, len(leaving))
	all := g.peerRuns(s)
	for _, ru := range leaving {
		byID[ru.r.id] = ru
		all = append(all, migrate.Run{
			ID: ru.r.id, Tokens: ru.tokens(engine.EventTokens), Rank: ru.rank(), Remote: s.Region != g.opts.Region, Own: true,
		})
	}
	steps, end := migrate.Plan(all, func(tokens int) time.Duration {
		return migrate.TransferTime(tokens, engine.KVTokenBytes, engine.LinkMbps)
	})
	g.runs.mu.Lock()
	g.runs.plannedUntil[s.ID] = notice.Add(end)
	g.runs.mu.Unlock()
	if len(leaving) == 0 {
		return
	}
	g.opts.Log.Info().Str("backend", s.ID).Int("runs", len(leaving)).Int("all", len(all)).Dur("planned", end).
		Msg("moving runs off a leaving backend server")
	go func() {
		for _, step := range steps {
			start := notice.Add(step.Start)
			pause(context.Background(), time.Until(start))
			moved := make(chan struct{})
			go func() {
				byID[step.ID].leave(start)
				close(moved)
			}()
			// The next run of this host also waits for this one, but not for
			// one that finds no room.
			select {
			case <-moved:
			case <-time.After(stuckAfter):
			}
		}
	}()
}

// stuckAfter is how long the move of a long run takes at most, if it goes well.
const stuckAfter = 600 * time.Millisecond

// peerRuns returns the runs that the other hosts have at an engine.
func (g *Gateway) peerRuns(s *directory.Server) []migrate.Run {
	var out []migrate.Run
	for _, peer := range *g.peers.Load() {
		for _, r := range peer.Runs {
			if r.Server == s.ID {
				out = append(out, migrate.Run{ID: r.ID, Tokens: r.Tokens, Rank: r.Rank, Remote: peer.Region != s.Region})
			}
		}
	}
	return out
}

// leave moves the run to another engine, not before a time.
func (ru *run) leave(start time.Time) {
	if !pause(ru.r.ctx, time.Until(start)) {
		return
	}
	ru.mu.Lock()
	if ru.move != nil || ru.ended {
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
}

// tryMove copies the run while it goes on, and then the rest.
func (ru *run) tryMove(m *move) {
	tried := []string{m.source.ID}
	failures := 0
	for try := 0; try < maxCopyTries && !cancelled(ru.r.ctx) && !ru.isEnded(); try++ {
		if m.target == nil && !ru.chooseTarget(m, tried) {
			tried = tried[:1]
			pause(ru.r.ctx, notRunningPause)
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
		case result.Outcome == NoRoom && m.copied.Handle == "":
			tried = append(tried, m.target.server.ID)
			m.dropTarget()
		case result.Outcome == CopyFailed:
			failures++
		}
		if failures >= maxCopyFailures {
			break
		}
		pause(ru.r.ctx, notRunningPause)
	}
	if m.copied.Handle == "" {
		m.dropTarget()
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
	if why == balance.None {
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
		case s.Service != ru.r.service || s.Region != m.source.Region || s.Gone:
		case s.Leaving:
			leaving = append(leaving, id)
		case !snapshot.Out[s.Domain]:
			open = append(open, id)
		}
	}
	mine := migrate.Targets(m.source.ID, leaving, open)
	return slices.DeleteFunc(open, func(id string) bool { return slices.Contains(mine, id) })
}

// openTarget opens the connection on which the run will go on.
func (ru *run) openTarget(address string) {
	if err := ru.r.g.pool.Open(ru.r.ctx, address, connectTimeout); err != nil {
		ru.r.g.opts.Log.Info().Str("request", ru.r.id).Str("address", address).Err(err).Msg("move: connection to the target")
	}
}

func (ru *run) acquireTarget(m *move, tried []string, allowed func(string) bool) (*place, balance.Why) {
	r := ru.r
	job := balance.Job{Tokens: r.expectedTokens(ru.tokens(m.perEvent)), Allowed: allowed, Exclude: tried, Near: &m.source}
	return r.g.places.acquire(r.ctx, r.service, job, r.priority(), 0)
}

// copyParts makes a first copy while the run goes on, and then the last one.
func (ru *run) copyParts(m *move) (CopyResult, error) {
	if m.copied.Handle == "" {
		start := time.Now()
		result, err := ru.copy(m, false)
		m.firstTook = time.Since(start)
		if result.Outcome != Copied {
			return result, err
		}
		m.copied = result
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
	if m.copied.Handle == "" || result.Outcome == NoRoom {
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
	case NoRun:
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

// sourceEnded is called when the engine's stream ended. It returns io.EOF if the
// generation is complete, nil if it goes on at another engine, and else the
// error that broke it.
func (s *stream) sourceEnded(err error) error {
	ru := s.run
	ru.mu.Lock()
	m := ru.move
	ru.mu.Unlock()
	framed := s.ex.Response.Header.ContentLength() != -2
	if m == nil || errors.Is(err, io.EOF) && (framed || !m.isStopping(ru)) {
		return err
	}
	select {
	case <-m.done:
	case <-s.r.ctx.Done():
		return s.r.ctx.Err()
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
	s.ex.Finish(false)
	prepare := func(req *fasthttp.Request) {
		req.Header.Set(d.CopySource, d.CopyRef(m.source.Address, m.result.Handle))
		req.Header.Set(d.LastEvent, strconv.FormatInt(s.lastID, 10))
	}
	ex, err := r.exchange(m.target, false, prepare)
	if verdict.From(err).Code == connection.CodeNoAnswer {
		// The connection opened ahead may have been closed. A copy can be used
		// once, so a second request cannot run beside the first.
		ex, err = r.exchange(m.target, true, prepare)
	}
	if err == nil && ex.Response.StatusCode() != fasthttp.StatusOK {
		err = verdict.New(verdict.Ran, 502, "move_refused", "the target of a move answered %d", ex.Response.StatusCode())
		ex.Finish(false)
	}
	if err != nil {
		m.target.release(r.call.Context().Err() == nil)
		r.g.Metrics.MovesFailed.Add(1)
		return err
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
	ru.r.g.leaveIfClosing(ru, target.server.ID)
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
