package claims

import (
	"context"
	"encoding/hex"
	"io"
	"time"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/verdict"
)

func notRun(status int, code, format string, args ...any) *verdict.Error {
	e := verdict.New(verdict.NotRun, status, code, format, args...)
	if status == 503 {
		e.RetryAfterSeconds = 1
	}
	return e
}

// Claim claims the order. Every error is a *verdict.Error with NotRun: this
// request was not sent and will not be sent. Unless the error is about the key,
// an earlier request with the same key may have been executed.
func (s *Service) Claim(ctx context.Context, o Order) (Outcome, error) {
	if !s.begin(false) {
		return Outcome{}, notRun(503, "shutting_down", "the host is shutting down")
	}
	defer s.end()
	s.count.started.Add(1)
	op, err := s.claimOp(o)
	if err != nil {
		return Outcome{}, err
	}
	if out, known, err := s.localOutcome(&op); known {
		return out, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, s.opt.ClaimTimeout)
	defer cancel()
	res, mayTakeEffect, err := s.execute(claimCtx, op)
	if err != nil {
		s.count.timeouts.Add(1)
		if mayTakeEffect {
			s.releaseInBackground(op)
		}
		e := notRun(503, "claim_timeout", "the order could not be claimed in time")
		e.Cause = err
		return Outcome{}, e
	}
	return s.outcome(&op, res, o.Deadline)
}

func (s *Service) claimOp(o Order) (claim.Op, error) {
	op := claim.Op{Kind: claim.OpClaim, KeyHash: claim.KeyHash(o.Team, o.Key), RequestHash: o.RequestHash,
		Host: s.opt.Host, DeadlineMS: o.Deadline.UnixMilli()}
	if o.Key == "" {
		return op, notRun(400, "missing_idempotency_key", "an order needs an Idempotency-Key")
	}
	if !s.opt.Now().Before(o.Deadline) {
		return op, notRun(504, "deadline_passed", "the deadline passed before the order was claimed")
	}
	var id [16]byte
	s.mu.Lock()
	_, err := io.ReadFull(s.opt.Random, id[:])
	s.mu.Unlock()
	if err != nil {
		return op, verdict.Wrap(err, verdict.NotRun, 500, "random_source", "no attempt id could be generated")
	}
	op.Attempt = hex.EncodeToString(id[:])
	if !op.Valid() {
		return op, notRun(400, "invalid_order", "the request hash or the deadline is malformed")
	}
	return op, nil
}

// localOutcome returns the outcome of a repeated request whose order this host
// executes or has executed. It does not access the store.
func (s *Service) localOutcome(op *claim.Op) (Outcome, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.cache.get(op.KeyHash, s.opt.Now()); ok {
		if e.requestHash != op.RequestHash {
			return Outcome{}, true, keyReusedError()
		}
		resp := e.response
		return Outcome{Kind: Done, Response: &resp, Host: s.opt.Host}, true, nil
	}
	if g, ok := s.running[op.KeyHash]; ok {
		if g.op.RequestHash != op.RequestHash {
			return Outcome{}, true, keyReusedError()
		}
		return Outcome{Kind: Running, Host: s.opt.Host}, true, nil
	}
	return Outcome{}, false, nil
}

func keyReusedError() error {
	return notRun(422, "idempotency_key_reused", "the Idempotency-Key was used with another request")
}

func (s *Service) outcome(op *claim.Op, res claim.Result, deadline time.Time) (Outcome, error) {
	switch r := res.Record; res.Code {
	case claim.Granted:
		g := &Grant{op: *op, deadline: deadline, finished: make(chan struct{})}
		if !g.MaySend(s.opt.Now()) {
			s.releaseInBackground(*op)
			return Outcome{}, notRun(504, "deadline_passed", "the deadline passed while the order was claimed")
		}
		s.count.grants.Add(1)
		s.mu.Lock()
		s.running[op.KeyHash] = g
		s.mu.Unlock()
		return Outcome{Kind: Granted, Grant: g}, nil
	case claim.AlreadyDone:
		return Outcome{Kind: Done, Response: r.Response, Host: r.Host}, nil
	case claim.Held:
		return s.heldOutcome(op.KeyHash, r), nil
	case claim.Undetermined:
		return Outcome{Kind: Unknown, Host: r.Host}, nil
	case claim.KeyReused:
		return Outcome{}, keyReusedError()
	case claim.ShardFull:
		return Outcome{}, notRun(503, "claim_shard_full", "the claim shard is full")
	default:
		return Outcome{}, notRun(503, "claim_refused", "the claim failed: %s", res.Code)
	}
}

// heldOutcome returns Running, or Unknown if the record names this host and this
// host has no grant for the order, as after a restart.
func (s *Service) heldOutcome(keyHash string, r *claim.Record) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Host != s.opt.Host || s.running[keyHash] != nil {
		return Outcome{Kind: Running, Host: r.Host}
	}
	return Outcome{Kind: Unknown, Host: r.Host}
}
