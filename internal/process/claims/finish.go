package claims

import (
	"context"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// Finish records that the order was executed and returns when the record is
// durable. If ctx ends first, it returns an error with verdict Ran, and the
// record is still written in the background. A response whose body is larger
// than claim.MaxResponseBytes is not stored; this host may still cache it.
func (s *Service) Finish(ctx context.Context, g *Grant, resp claim.Response) error {
	op := g.op
	op.Kind, op.Response = claim.OpFinish, &resp
	if len(resp.Body) > claim.MaxResponseBytes {
		op.Response = nil
	}
	s.endGrant(g, &resp)
	return s.recordOutcome(ctx, op, verdict.Ran)
}

// Release releases the claim, so that another attempt can claim the order. It
// must only be called when no part of the order was sent; MaySend returns false
// afterwards.
func (s *Service) Release(ctx context.Context, g *Grant) error {
	op := g.op
	op.Kind = claim.OpRelease
	s.endGrant(g, nil)
	s.count.releases.Add(1)
	return s.recordOutcome(ctx, op, verdict.NotRun)
}

// Abandon ends a grant whose order may have been executed but has no response,
// as after a connection that failed during the request. The record stays
// claimed and becomes unknown after its deadline.
func (s *Service) Abandon(g *Grant) { s.endGrant(g, nil) }

// endGrant ends the grant and caches the response, if any, for the repeated
// requests that wait for it.
func (s *Service) endGrant(g *Grant, resp *claim.Response) {
	g.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[g.op.KeyHash] != g {
		return
	}
	delete(s.running, g.op.KeyHash)
	if resp != nil {
		s.cache.put(g.op.KeyHash, g.op.RequestHash, *resp, s.opt.Now())
	}
	close(g.finished)
}

func (s *Service) releaseInBackground(op claim.Op) {
	if s.count.background.Load() >= maxBackground {
		s.count.droppedReleases.Add(1)
		return
	}
	op.Kind = claim.OpRelease
	s.count.releases.Add(1)
	s.executeInBackground(op)
}

// recordOutcome writes op in the background and waits until it is recorded or
// ctx ends. Errors carry verdict v.
func (s *Service) recordOutcome(ctx context.Context, op claim.Op, v verdict.Verdict) error {
	done := s.executeInBackground(op)
	if done == nil {
		return verdict.New(v, 503, "shutting_down", "the outcome could not be recorded")
	}
	select {
	case res := <-done:
		if res.Code != claim.OK {
			return verdict.New(v, 409, "claim_superseded", "the claim record belongs to another attempt or was removed")
		}
		return nil
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), v, 503, "claim_unrecorded", "the outcome is not recorded yet")
	case <-s.ctx.Done():
		return verdict.Wrap(s.ctx.Err(), v, 503, "shutting_down", "the outcome is not recorded")
	}
}

// executeInBackground retries op until it is recorded or the service is closed.
// It returns nil if no background write can start because of Close.
func (s *Service) executeInBackground(op claim.Op) <-chan claim.Result {
	if !s.begin(true) {
		return nil
	}
	s.count.background.Add(1)
	done := make(chan claim.Result, 1)
	go func() {
		defer s.end()
		defer s.count.background.Add(-1)
		if res, _, err := s.execute(s.ctx, op); err == nil {
			done <- res
		}
	}()
	return done
}

// execute applies op through the preferred writer of the shard, or by a direct
// update if the preferred writer does not respond. After an error, mayTakeEffect
// reports whether op may have taken effect or may still do so.
func (s *Service) execute(ctx context.Context, op claim.Op) (res claim.Result, mayTakeEffect bool, err error) {
	shard, ok := claim.ShardFor(op.KeyHash)
	if !ok {
		return claim.Result{Code: claim.Invalid}, false, nil
	}
	if host, self := s.preferredWriter(shard); !self && host != "" {
		res, err := s.forward(ctx, host, shard, op)
		if err == nil {
			return res, true, nil
		}
		mayTakeEffect = true
		s.count.forwardFailures.Add(1)
	}
	res, submitted, err := s.queues[shard].submit(ctx, op)
	return res, mayTakeEffect || submitted, err
}
