package forward

import (
	"errors"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// reserveStandby reserves KV cache for a standby replica at another engine of the region;
// a copy to another region would delay those of other generations. It returns nil if no
// engine has enough free KV cache.
func (r *request) reserveStandby(at balance.Server) *reservation {
	engine := r.g.balancers.engineConfig(r.service)
	if engine == nil || !engine.CanReplicate || migrate.EndsWithinNotice(r.outputTokens) {
		return nil
	}
	allowed := route.RegionFilter(r.route, r.team)
	return r.g.balancers.acquireStandby(r.service, balance.Request{
		Tokens:  r.expectedTokens(r.promptTokens),
		Allowed: func(region string) bool { return region == at.Region && allowed(region) },
		Exclude: []string{at.ID},
		Source:  &at,
		Standby: true,
	})
}

// setStandbyHeader names the engine to which the generation is to be replicated.
func (r *request) setStandbyHeader(req *fasthttp.Request, standby *reservation) {
	if standby != nil {
		req.Header.Set(r.g.opts.Dialect.Standby, standby.server.Address)
	}
}

// releaseIfHeld releases an unused reservation, which may be nil. It tells nothing about the engine.
func (res *reservation) releaseIfHeld() {
	if res != nil {
		res.cancel()
	}
}

// setStandby replaces the standby replica's reservation and releases the former one.
func (gen *generation) setStandby(standby *reservation) {
	gen.mu.Lock()
	previous := gen.standby
	gen.standby = standby
	gen.mu.Unlock()
	if previous != standby {
		previous.releaseIfHeld()
	}
}

// heldStandby returns the standby replica of a generation that has started, or nil. Its engine may refuse
// requests for a time.
func (gen *generation) heldStandby() *reservation {
	gen.mu.Lock()
	standby, started := gen.standby, gen.lastID > 0
	gen.mu.Unlock()
	if !started || standby == nil || !gen.r.g.acceptsWork(standby.server.ID) {
		return nil
	}
	return standby
}

// usableStandby returns the standby replica from which the generation can resume now, or nil.
func (gen *generation) usableStandby() *reservation {
	standby := gen.heldStandby()
	if standby == nil || gen.r.g.balancers.refuses(standby.server) {
		return nil
	}
	return standby
}

// hasStandby reports whether the generation can resume from a standby replica.
func (gen *generation) hasStandby() bool { return gen.usableStandby() != nil }

// reportEngineFailure counts a failure of the current engine towards its ejection: it
// died, stalled or broke the stream off.
func (gen *generation) reportEngineFailure() {
	gen.mu.Lock()
	res := gen.reservation
	gen.mu.Unlock()
	gen.r.observeBroken(res)
	res.release(true)
}

// cancelReservation releases the reservation at the current engine without a result.
func (gen *generation) cancelReservation() {
	gen.mu.Lock()
	res := gen.reservation
	gen.mu.Unlock()
	res.cancel()
}

// acceptsWork reports whether a server may get new requests.
func (g *Gateway) acceptsWork(id string) bool {
	snapshot := g.opts.Directory.Snapshot()
	s := snapshot.Servers[id]
	return s != nil && !s.Terminating() && !snapshot.DomainsOut[s.Domain] && g.balancers.admits(s.Service, id)
}

// switchToStandby asks the engine with the standby replica to resume the generation while its engine
// still runs it. It returns nil if that is not possible now, and otherwise the ended request.
func (gen *generation) switchToStandby(server string, series *retrySeries) *switchover {
	standby := gen.usableStandby()
	if standby == nil {
		return nil
	}
	return gen.switchTo(server, standby, gen.r.g.opts.Dialect.FormatKVSource(standby.server.Address, gen.r.id), series)
}

// resumeAtStandby resumes the generation from its standby replica after the engine broke
// the stream off.
func (s *stream) resumeAtStandby(cause error) error {
	gen := s.generation
	standby := gen.heldStandby()
	if standby == nil || s.r.ctx.Err() != nil || !s.r.prompt.AllowRetry() {
		return cause
	}
	gen.reportEngineFailure()
	if err := s.resumeAt(standby, s.r.g.opts.Dialect.FormatKVSource(standby.server.Address, s.r.id)); err != nil {
		return errors.Join(cause, err)
	}
	return nil
}

func (gen *generation) serverID() string { return gen.server().ID }

// server returns the engine that runs the generation.
func (gen *generation) server() balance.Server {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.reservation.server
}
