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
	// maxResponseWait is the limit of one wait for the response to a running order.
	maxResponseWait = 5 * time.Second
	// maxUnknownReplies is the number of replies without the order, from the host
	// that holds its claim, after which a repeated request fails: the host has
	// abandoned the order or was restarted. More than one is needed, since the
	// host may not have registered its new grant yet.
	maxUnknownReplies = 3
	// pollInterval is the time between two polls for the response to an order.
	pollInterval = 100 * time.Millisecond
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
		return res, Error.New("peer returned %d results for one operation", len(resp.GetResults()))
	}
	if err := claim.DecodeStrict(resp.GetResults()[0], &res); err != nil {
		return res, err
	}
	if !matchesOperation(&op, &res) {
		return res, Error.New("result %q of the peer does not match the operation", res.Code)
	}
	return res, nil
}

// matchesOperation reports whether a peer's result is a possible result of the
// operation. Any other result is unsafe to act on.
func matchesOperation(op *claim.Op, res *claim.Result) bool {
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

// HandleClaim serves Peer.Claim: it applies the operations of another host by a
// direct update, whether or not this host is the preferred writer of the shard.
func (s *Service) HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	ops, err := parseClaimRequest(req)
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

func parseClaimRequest(req *peerpb.ClaimRequest) ([]claim.Op, error) {
	if req.GetProtocol() != peerProtocol || req.GetShard() >= claim.Shards || len(req.GetOperations()) > maxBatch {
		return nil, Error.New("invalid claim request: protocol %d, shard %d, %d operations", req.GetProtocol(), req.GetShard(), len(req.GetOperations()))
	}
	ops := make([]claim.Op, len(req.GetOperations()))
	for i, value := range req.GetOperations() {
		if err := claim.DecodeStrict(value, &ops[i]); err != nil {
			return nil, err
		}
		if shard, ok := claim.ShardFor(ops[i].KeyHash); !ok || shard != req.GetShard() || !ops[i].Valid() {
			return nil, Error.New("operation %d of the claim request is malformed", i)
		}
	}
	return ops, nil
}

// HandleAnswer serves Peer.Answer: it returns the response to an order that this
// host executed. For a running order it waits for the response first.
func (s *Service) HandleAnswer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	if req.GetProtocol() != peerProtocol {
		return nil, Error.New("unsupported peer protocol %d", req.GetProtocol())
	}
	wait := min(time.Duration(max(req.GetWaitMs(), 0))*time.Millisecond, maxResponseWait)
	response, known := s.localResponse(ctx, req.GetKeyHash(), wait)
	resp := &peerpb.AnswerResponse{Known: known, Done: response != nil}
	if response != nil {
		resp.Status, resp.ContentType, resp.Body = int32(response.Status), response.ContentType, response.Body
	}
	return resp, nil
}

func (s *Service) localResponse(ctx context.Context, keyHash string, wait time.Duration) (response *claim.Response, known bool) {
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
		return &e.response, true
	}
	return nil, s.running[keyHash] != nil
}

// Await waits until ctx ends for the response to an order that another request
// executes or has executed; out is a Running or Done outcome of that order.
// Errors carry Ran if the order was executed and its response is not available,
// and MayHaveRun otherwise.
func (s *Service) Await(ctx context.Context, o Order, out Outcome) (claim.Response, error) {
	if out.Response != nil {
		return *out.Response, nil
	}
	keyHash, ran := claim.KeyHash(o.Team, o.Key), out.Kind == Done
	unknownReplies := 0
	for ctx.Err() == nil {
		response, known, repliedUnknown := s.fetchResponse(ctx, out.Host, keyHash)
		if response != nil {
			return *response, nil
		}
		if repliedUnknown {
			unknownReplies++
		}
		if !known {
			r, err := s.readRecord(ctx, keyHash)
			switch {
			case err == nil && r == nil && !ran:
				return claim.Response{}, verdict.New(verdict.MayHaveRun, 409, "order_unknown", "the order may have been executed")
			case err == nil && r != nil && r.State == claim.Done && r.Response != nil && r.RequestHash == o.RequestHash:
				return *r.Response, nil
			case ran || err == nil && r.State == claim.Done:
				return claim.Response{}, verdict.New(verdict.Ran, 409, "answer_not_kept", "the order was executed; its response was not stored")
			case err == nil && r.State != claim.Claimed, unknownReplies >= maxUnknownReplies:
				return claim.Response{}, verdict.New(verdict.MayHaveRun, 409, "order_unknown", "the order may have been executed")
			}
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	if ran {
		return claim.Response{}, verdict.Wrap(ctx.Err(), verdict.Ran, 409, "answer_not_kept", "the order was executed; its response could not be read")
	}
	return claim.Response{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, 409, "order_running", "the order is still running")
}

// fetchResponse requests the response to an order from its host. known reports
// whether the host has the order, and repliedUnknown whether the host replied
// that it does not.
func (s *Service) fetchResponse(ctx context.Context, host, keyHash string) (response *claim.Response, known, repliedUnknown bool) {
	if host == s.opt.Host {
		response, known = s.localResponse(ctx, keyHash, maxResponseWait)
		return response, known, !known
	}
	if s.opt.ResponseFetcher == nil || host == "" {
		return nil, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, maxResponseWait+callTimeout)
	defer cancel()
	resp, err := s.opt.ResponseFetcher.Answer(ctx, host, &peerpb.AnswerRequest{Protocol: peerProtocol, KeyHash: keyHash, WaitMs: maxResponseWait.Milliseconds()})
	if err != nil || !resp.GetKnown() {
		return nil, false, err == nil
	}
	if !resp.GetDone() {
		return nil, true, false
	}
	return &claim.Response{Status: int(resp.GetStatus()), ContentType: resp.GetContentType(), Body: resp.GetBody()}, true, false
}

// readRecord returns the order's record, or nil if there is none.
func (s *Service) readRecord(ctx context.Context, keyHash string) (*claim.Record, error) {
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
