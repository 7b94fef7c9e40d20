package claims

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
)

const (
	peerProtocol = 1
	// maxAnswerWait bounds one wait for a running order's answer.
	maxAnswerWait = 5 * time.Second
	// maxDenials is how often the host of a claimed order may say that it does
	// not know the order before a repeat gives up. The host abandoned it or was
	// restarted; once or twice it may not have noted its grant yet.
	maxDenials = 3
	// awaitPause separates two questions about a running order.
	awaitPause = 100 * time.Millisecond
)

func (s *Service) forward(ctx context.Context, host string, shard uint32, op claim.Op) (claim.Result, error) {
	var res claim.Result
	value, err := json.Marshal(op)
	if err != nil {
		return res, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	s.count.forwards.Add(1)
	resp, err := s.opt.Forwarder.Claim(ctx, host, &peerpb.ClaimRequest{Protocol: peerProtocol, Shard: shard, Operations: [][]byte{value}})
	if err != nil {
		return res, Error.Wrap(err)
	}
	if len(resp.GetResults()) != 1 {
		return res, Error.New("%d results for one operation", len(resp.GetResults()))
	}
	if err := claim.DecodeStrict(resp.GetResults()[0], &res); err != nil {
		return res, err
	}
	if !consistent(&op, &res) {
		return res, Error.New("result %q does not match the operation", res.Code)
	}
	return res, nil
}

// consistent refuses a peer's result that this host could not act on safely.
func consistent(op *claim.Op, res *claim.Result) bool {
	switch res.Code {
	case claim.Granted:
		return op.Kind == claim.OpClaim && res.Record != nil && res.Record.State == claim.Claimed && res.Record.Attempt == op.Attempt
	case claim.Held, claim.AlreadyDone, claim.Undetermined:
		return op.Kind == claim.OpClaim && res.Record != nil
	case claim.KeyReused, claim.ShardFull, claim.AttemptReleased:
		return op.Kind == claim.OpClaim
	case claim.OK, claim.Superseded:
		return op.Kind == claim.OpFinish || op.Kind == claim.OpRelease
	default:
		return false
	}
}

// HandleClaim serves Peer.Claim: it applies the operations of another host by
// a direct update, whether or not this host is the shard's owner.
func (s *Service) HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	ops, err := parseClaim(req)
	if err != nil {
		return nil, err
	}
	if !s.begin(false) {
		return nil, Error.New("shutting down")
	}
	defer s.end()
	ctx, cancel := context.WithTimeout(ctx, s.opt.ClaimTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	results := make([][]byte, len(ops))
	for i, op := range ops {
		group.Go(func() error {
			res, _, err := s.queues[req.GetShard()].submit(ctx, op)
			if err == nil {
				results[i], err = json.Marshal(res)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, Error.Wrap(err)
	}
	return &peerpb.ClaimResponse{Results: results}, nil
}

func parseClaim(req *peerpb.ClaimRequest) ([]claim.Op, error) {
	if req.GetProtocol() != peerProtocol || req.GetShard() >= claim.Shards || len(req.GetOperations()) > maxBatch {
		return nil, Error.New("protocol %d, shard %d, %d operations", req.GetProtocol(), req.GetShard(), len(req.GetOperations()))
	}
	ops := make([]claim.Op, len(req.GetOperations()))
	for i, value := range req.GetOperations() {
		if err := claim.DecodeStrict(value, &ops[i]); err != nil {
			return nil, err
		}
		if shard, ok := claim.ShardFor(ops[i].KeyHash); !ok || shard != req.GetShard() || !ops[i].Valid() {
			return nil, Error.New("malformed operation %d", i)
		}
	}
	return ops, nil
}

// HandleAnswer serves Peer.Answer: it returns the answer of an order that this
// host ran, after waiting for a running one.
func (s *Service) HandleAnswer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	if req.GetProtocol() != peerProtocol {
		return nil, Error.New("protocol %d", req.GetProtocol())
	}
	wait := min(time.Duration(max(req.GetWaitMs(), 0))*time.Millisecond, maxAnswerWait)
	a, known := s.localAnswer(ctx, req.GetKeyHash(), wait)
	resp := &peerpb.AnswerResponse{Known: known, Done: a != nil}
	if a != nil {
		resp.Status, resp.ContentType, resp.Body = int32(a.Status), a.ContentType, a.Body
	}
	return resp, nil
}

func (s *Service) localAnswer(ctx context.Context, keyHash string, wait time.Duration) (a *claim.Response, known bool) {
	s.mu.Lock()
	g := s.running[keyHash]
	s.mu.Unlock()
	if g != nil {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-g.finished:
		case <-timer.C:
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.cache.get(keyHash, s.opt.Now()); ok {
		return &e.answer, true
	}
	return nil, s.running[keyHash] != nil
}

// Await waits until ctx ends for the answer of an order that out, a Running or
// Done outcome, says another request runs or ran. Errors carry Ran when the
// order ran and its answer was not kept, and MayHaveRun otherwise.
func (s *Service) Await(ctx context.Context, o Order, out Outcome) (claim.Response, error) {
	if out.Response != nil {
		return *out.Response, nil
	}
	keyHash, ran := claim.KeyHash(o.Team, o.Key), out.Kind == Done
	denials := 0
	for ctx.Err() == nil {
		a, known, denied := s.ask(ctx, out.Host, keyHash)
		if a != nil {
			return *a, nil
		}
		if denied {
			denials++
		}
		if !known {
			r, err := s.read(ctx, keyHash)
			switch {
			case err == nil && r == nil && !ran:
				return claim.Response{}, verdict.New(verdict.MayHaveRun, 409, "order_unknown", "the order may have run")
			case err == nil && r != nil && r.State == claim.Done && r.Response != nil && r.RequestHash == o.RequestHash:
				return *r.Response, nil
			case ran || err == nil && r.State == claim.Done:
				return claim.Response{}, verdict.New(verdict.Ran, 409, "answer_not_kept", "the order ran; its answer was not kept")
			case err == nil && r.State != claim.Claimed, denials >= maxDenials:
				return claim.Response{}, verdict.New(verdict.MayHaveRun, 409, "order_unknown", "the order may have run")
			}
		}
		timer := time.NewTimer(awaitPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	if ran {
		return claim.Response{}, verdict.Wrap(ctx.Err(), verdict.Ran, 409, "answer_not_kept", "the order ran; its answer could not be read")
	}
	return claim.Response{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, 409, "order_running", "the order is still running")
}

// ask returns the answer that the host of an order has, whether the host knows
// the order, and whether it said that it does not.
func (s *Service) ask(ctx context.Context, host, keyHash string) (a *claim.Response, known, denied bool) {
	if host == s.opt.Host {
		a, known = s.localAnswer(ctx, keyHash, maxAnswerWait)
		return a, known, !known
	}
	if s.opt.ResponseFetcher == nil || host == "" {
		return nil, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, maxAnswerWait+callTimeout)
	defer cancel()
	resp, err := s.opt.ResponseFetcher.Answer(ctx, host, &peerpb.AnswerRequest{Protocol: peerProtocol, KeyHash: keyHash, WaitMs: maxAnswerWait.Milliseconds()})
	if err != nil || !resp.GetKnown() {
		return nil, false, err == nil
	}
	if !resp.GetDone() {
		return nil, true, false
	}
	return &claim.Response{Status: int(resp.GetStatus()), ContentType: resp.GetContentType(), Body: resp.GetBody()}, true, false
}

// read returns the order's record, or nil when there is none.
func (s *Service) read(ctx context.Context, keyHash string) (*claim.Record, error) {
	shard, _ := claim.ShardFor(keyHash)
	q := queue{s: s, key: s.queues[shard].key}
	if err := q.load(); err != nil {
		return nil, err
	}
	r, ok := q.base.Records[keyHash]
	if !ok {
		return nil, ctx.Err()
	}
	return &r, nil
}
