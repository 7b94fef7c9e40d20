package forward

import (
	"context"
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// errRefused is returned for a request that is not sent because the server refuses requests.
var errRefused = errors.New("the backend server refuses requests of this host for a time")

// observeRefusal records whether an answer refuses further requests for a time, and for how long.
func (g *Gateway) observeRefusal(server balance.Server, answer serverstate.Answer, sentAt, now time.Time) {
	bs := g.balancers
	if answer.RefusesFor == 0 && !bs.hasRefusals.Load() {
		return
	}
	bs.mu.Lock()
	began, ended := false, false
	if answer.RefusesFor > 0 {
		if listed := bs.byID[server.ID]; listed.StartTime > server.StartTime && listed.Address == server.Address {
			server = listed // the process that answered was listed in the meantime
		}
		if began = bs.refusals.Observe(server.Process(), answer.RefusesFor, now); began {
			for _, s := range bs.services {
				s.wake() // the requests that wait may have no server left
			}
		}
	} else {
		ended = bs.refusals.ObserveAccepted(server.Process(), sentAt)
	}
	bs.hasRefusals.Store(bs.refusals.HasAny())
	bs.mu.Unlock()
	switch {
	case began:
		g.Metrics.Refusals.Add(1)
		g.opts.Log.Info().Str("backend", server.ID).Dur("refuses_for", answer.RefusesFor).Int("running", answer.Load.Running).
			Int("waiting", answer.Load.Waiting).Int("slots", answer.Load.Slots).Msg("backend server refuses requests for a time")
	case ended:
		g.Metrics.RefusalsEnded.Add(1)
		g.opts.Log.Info().Str("backend", server.ID).Msg("backend server takes requests again after a refusal")
	}
}

// refuses reports whether nothing must be sent to a server now.
func (bs *balancers) refuses(server balance.Server) bool {
	if !bs.hasRefusals.Load() {
		return false
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.refusals.Refuses(server.Process(), time.Now())
}

// refusedRetryAfter returns the Retry-After of a request that all servers refuse, a random time after the first
// of them returns; 0 if one does not refuse.
func (bs *balancers) refusedRetryAfter(service string, req balance.Request) time.Duration {
	if !bs.hasRefusals.Load() {
		return 0
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	at, ok := bs.service(service).balancer.PromiseReturn(req)
	if !ok {
		return 0
	}
	return max(time.Until(at), 0)
}

// refusedFor returns how long all servers refuse a request; 0 if one does not.
func (bs *balancers) refusedFor(service string, req balance.Request) time.Duration {
	if !bs.hasRefusals.Load() {
		return 0
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	at, ok := bs.service(service).balancer.ReturnsAt(req)
	if !ok {
		return 0
	}
	return max(time.Until(at), 0)
}

// checkRefusal returns an error if a server has begun to refuse requests after it was reserved.
func (r *request) checkRefusal(server balance.Server) error {
	if !r.g.balancers.refuses(server) {
		return nil
	}
	return notRun(503, codeNotRun, "the backend server refuses requests for a time")
}

// takeTurn reports whether a request may be sent to a server that has refused, and records it. Otherwise it
// returns when that is to be tried again.
func (bs *balancers) takeTurn(server balance.Server) (at time.Time, ok bool) {
	if !bs.hasRefusals.Load() {
		return at, true
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Now()
	if at = bs.refusals.ReturnsAt(server.Process()); now.Before(at) {
		return at, false
	}
	bs.refusals.Take(server.Process(), now)
	return at, true
}

// awaitTurn waits until the request may be sent to a server that has refused. It fails at once if that is not
// before the deadline.
func (r *request) awaitTurn(server balance.Server) error {
	for {
		at, ok := r.g.balancers.takeTurn(server)
		if ok {
			return nil
		}
		if at.After(r.deadline) {
			return errRefused
		}
		if !wait.For(r.ctx, min(time.Until(at), wakeInterval)) {
			return r.ctx.Err()
		}
	}
}

// waitForReturn waits until a server takes requests again. It returns false if ctx ends before.
func (g *Gateway) waitForReturn(ctx context.Context, server balance.Server) bool {
	for g.balancers.refuses(server) {
		if !wait.For(ctx, wakeInterval) {
			return false
		}
	}
	return true
}
