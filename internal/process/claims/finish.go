package claims

import (
	"context"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// Finish records that the order ran and returns when the record is durable.
// When ctx ends first it returns an error with verdict Ran, and the record is
// still written in the background.
func (s *Service) Finish(ctx context.Context, g *Grant, a claim.Response) error {
	op := g.op
	op.Kind, op.Response = claim.OpFinish, &a
	if len(a.Body) > claim.MaxResponseBytes {
		op.Response = nil
	}
	s.drop(g, &a)
	return s.record(ctx, op, verdict.Ran)
}

// Release gives the claim back. It must only be called when the order was
// certainly not sent; MaySend is false afterwards.
func (s *Service) Release(ctx context.Context, g *Grant) error {
	op := g.op
	op.Kind = claim.OpRelease
	s.drop(g, nil)
	s.count.releases.Add(1)
	return s.record(ctx, op, verdict.NotRun)
}

// Abandon ends a grant whose order may have run but has no answer, as after a
// connection that broke in mid-request. The record stays claimed and becomes
// unknown after its deadline.
func (s *Service) Abandon(g *Grant) { s.drop(g, nil) }

// drop ends the grant; waiting repeats get the answer, if any.
func (s *Service) drop(g *Grant, a *claim.Response) {
	g.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[g.op.KeyHash] != g {
		return
	}
	delete(s.running, g.op.KeyHash)
	if a != nil {
		s.cache.put(g.op.KeyHash, g.op.RequestHash, *a, s.opt.Now())
	}
	close(g.finished)
}

func (s *Service) releaseLater(op claim.Op) {
	if s.count.background.Load() >= maxBackground {
		s.count.dropped.Add(1)
		return
	}
	op.Kind = claim.OpRelease
	s.count.releases.Add(1)
	s.background(op)
}

// record writes op in the background and waits for it until ctx ends.
func (s *Service) record(ctx context.Context, op claim.Op, v verdict.Verdict) error {
	done := s.background(op)
	if done == nil {
		return verdict.New(v, 503, "shutting_down", "the outcome could not be recorded")
	}
	select {
	case res := <-done:
		if res.Code != claim.OK {
			return verdict.New(v, 409, "claim_superseded", "the claim record belongs to another attempt or is gone")
		}
		return nil
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), v, 503, "claim_unrecorded", "the outcome is not recorded yet")
	case <-s.ctx.Done():
		return verdict.Wrap(s.ctx.Err(), v, 503, "shutting_down", "the outcome is not recorded")
	}
}

// background executes op until it is recorded or the service stops. It
// returns nil after Close.
func (s *Service) background(op claim.Op) <-chan claim.Result {
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

// execute applies op through the shard's owner or, when it does not answer,
// by a direct update. After an error, exposed says whether op may still take
// or have taken effect.
func (s *Service) execute(ctx context.Context, op claim.Op) (res claim.Result, exposed bool, err error) {
	shard, ok := claim.ShardFor(op.KeyHash)
	if !ok {
		return claim.Result{Code: claim.Invalid}, false, nil
	}
	if host, self := s.owner(shard); !self && host != "" {
		res, err := s.forward(ctx, host, shard, op)
		if err == nil {
			return res, true, nil
		}
		exposed = true
		s.count.forwardFailures.Add(1)
	}
	res, submitted, err := s.queues[shard].submit(ctx, op)
	return res, exposed || submitted, err
}
