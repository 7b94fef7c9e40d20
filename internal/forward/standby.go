package forward

import (
	"errors"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// standbyFor takes memory for a copy of the run at another engine of the region;
// a copy to another region would hold up those of other runs. It returns nil if
// no engine has memory to spare.
func (r *request) standbyFor(at balance.Server) *place {
	engine := r.g.places.engineOf(r.service)
	if engine == nil || !engine.CanReplicate || migrate.EndsWithinNotice(r.output) {
		return nil
	}
	allowed := route.Regions(r.route, r.team)
	return r.g.places.standby(r.service, balance.Request{
		Tokens:  r.expectedTokens(r.prompt),
		Allowed: func(region string) bool { return region == at.Region && allowed(region) },
		Exclude: []string{at.ID},
		Source:  &at,
		Standby: true,
	})
}

// nameStandby tells an engine where to copy the run.
func (r *request) nameStandby(req *fasthttp.Request, standby *place) {
	if standby != nil {
		req.Header.Set(r.g.opts.Dialect.Standby, standby.server.Address)
	}
}

// drop gives back memory that is not used; the place may be nil.
func (pl *place) drop() {
	if pl != nil {
		pl.release(false)
	}
}

// setStandby replaces the run's standby.
func (ru *run) setStandby(standby *place) {
	ru.mu.Lock()
	before := ru.standby
	ru.standby = standby
	ru.mu.Unlock()
	if before != standby {
		before.drop()
	}
}

// usableStandby returns the standby at which the run can go on, or nil.
func (ru *run) usableStandby() *place {
	ru.mu.Lock()
	standby, begun := ru.standby, ru.lastID > 0
	ru.mu.Unlock()
	if !begun || standby == nil || !ru.r.g.mayServe(standby.server.ID) {
		return nil
	}
	return standby
}

// covered reports whether the run can go on at a standby.
func (ru *run) covered() bool { return ru.usableStandby() != nil }

// engineFailed makes the run's engine a suspect: it died, stalls or broke off.
func (ru *run) engineFailed() {
	ru.mu.Lock()
	p := ru.place
	ru.mu.Unlock()
	p.release(true)
}

// mayServe reports whether a server may get work.
func (g *Gateway) mayServe(id string) bool {
	snapshot := g.opts.Directory.Snapshot()
	s := snapshot.Servers[id]
	return s != nil && !s.Terminating() && !snapshot.DomainsOut[s.Domain]
}

// handOverToStandby lets the run go on at its standby while its engine still
// works. It reports whether the engine was told to stop.
func (ru *run) handOverToStandby(server string) bool {
	standby := ru.usableStandby()
	if standby == nil {
		return false
	}
	ref := ru.r.g.opts.Dialect.FormatKVSource(standby.server.Address, ru.r.id)
	if ru.handOverTo(server, nil, standby, ref) {
		return true
	}
	ru.setStandby(nil)
	return false
}

// continueAtStandby goes on at the standby after the engine broke the stream off.
func (s *stream) continueAtStandby(cause error) error {
	ru := s.run
	standby := ru.usableStandby()
	if standby == nil || s.r.ctx.Err() != nil {
		return cause
	}
	s.finish(false)
	ru.engineFailed()
	err := s.continueFrom(&handover{target: standby, ref: s.r.g.opts.Dialect.FormatKVSource(standby.server.Address, s.r.id)})
	if err != nil {
		return errors.Join(cause, err)
	}
	return nil
}

func (ru *run) serverID() string {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.place.server.ID
}
