// Package claims records orders durably before they are sent. Claims of one
// shard are grouped into one conditional update of the shard's object.
package claims

import (
	"context"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// DefaultWindow is how long the first operation of a batch waits for others.
	// Operations that arrive during a write form the next batch anyway, and
	// 10 ms made a single claim take 14 ms without saving writes.
	DefaultWindow = time.Millisecond
	// DefaultClaimWait bounds a Claim call.
	DefaultClaimWait = 2 * time.Second
	// forwardTimeout leaves most of the claim wait to the direct update when
	// the owner does not answer.
	forwardTimeout = 500 * time.Millisecond
	// callTimeout bounds one call of the object API.
	callTimeout = time.Second
	// maxBackoff is short against the claim wait, so that new claims do not
	// wait out the backoff of an old batch.
	maxBackoff = 200 * time.Millisecond
	minBackoff = 5 * time.Millisecond
	// maxBatch bounds the operations of one write and of one peer call.
	maxBatch = 512
	// maxBackground bounds the pending background writes; a release beyond it
	// is dropped and its record shows may_have_run.
	maxBackground = 1 << 16
)

// Error is the class of errors that carry no verdict, such as malformed peer calls.
var Error = errs.Class("claims")

// Forwarder reaches the advisory owners of shards.
type Forwarder interface {
	// Owner returns the shard's owner; an empty host means that none is known.
	Owner(shard uint32) (host string, self bool)
	Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
}

// Answerer asks the host that runs an order for its answer.
type Answerer interface {
	Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error)
}

// Options configure a Service. Host, Store and Random are required.
type Options struct {
	// Host is the id of this host.
	Host  string
	Store platform.ObjectStore
	// Forwarder is nil when every write is direct.
	Forwarder Forwarder
	// Answerer is nil when other hosts' answers are read from the store only.
	Answerer Answerer
	// Now is the clock of deadlines and retention; time.Now by default.
	// Waits use package time.
	Now func() time.Time
	// Random supplies attempt ids and must be unpredictable across hosts,
	// such as crypto/rand.Reader.
	Random io.Reader
	// Window and ClaimWait have defaults.
	Window, ClaimWait time.Duration
}

// Order is a non-idempotent request of a caller.
type Order struct {
	Team, Key string
	// RequestHash is the hex SHA-256 of the request.
	RequestHash string
	// Deadline is the latest time at which the order may be sent.
	Deadline time.Time
}

// OutcomeKind says what a claim met.
type OutcomeKind int

const (
	// Unknown means that an earlier attempt may have run.
	Unknown OutcomeKind = iota
	// Granted means that the caller may send the order.
	Granted
	// Done means that the order ran before.
	Done
	// Running means that a host runs the order.
	Running
)

// Outcome is the result of a Claim.
type Outcome struct {
	Kind OutcomeKind
	// Grant is set when Granted.
	Grant *Grant
	// Answer is set when Done and the answer was kept in the shard.
	Answer *claim.Answer
	// Host is the host of a Done or Running order.
	Host string
}

// Grant is the right to send an order once, until its deadline.
type Grant struct {
	op       claim.Op
	deadline time.Time
	ended    atomic.Bool
	finished chan struct{} // closed when the grant ends
}

// MaySend says whether the order may be sent now. Both the wall clock and the
// monotonic clock must be before the deadline, since either may stand still
// while a host is paused. Once false, it stays false.
func (g *Grant) MaySend(now time.Time) bool {
	if !now.Before(g.deadline) || !now.Round(0).Before(g.deadline.Round(0)) {
		g.ended.Store(true)
	}
	return !g.ended.Load()
}

// Stats are the counters of a Service for the state dump.
type Stats struct {
	Running, CachedAnswers, Background                                      int
	Grants, Writes, Operations, Conflicts, AmbiguousWrites, RefusedCalls    uint64
	Forwards, ForwardFailures, Releases, DroppedReleases, Timeouts, Damaged uint64
}

type counters struct {
	grants, writes, operations, conflicts, ambiguous, refused       atomic.Uint64
	forwards, forwardFailures, releases, dropped, timeouts, damaged atomic.Uint64
	background                                                      atomic.Int64
}

// Service claims orders. Its methods may be called concurrently.
type Service struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	queues [claim.Shards]queue
	count  counters

	mu      sync.Mutex
	closed  bool
	active  int           // calls and background writes
	idle    chan struct{} // closed when closed and active is 0
	running map[string]*Grant
	cache   answerCache
	jitter  *rand.Rand
}

// New returns a Service.
func New(opt Options) (*Service, error) {
	if opt.Host == "" || len(opt.Host) > claim.MaxHostBytes || opt.Store == nil || opt.Random == nil {
		return nil, Error.New("options need a host of at most %d bytes, a store and a random source", claim.MaxHostBytes)
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Window <= 0 {
		opt.Window = DefaultWindow
	}
	if opt.ClaimWait <= 0 {
		opt.ClaimWait = DefaultClaimWait
	}
	var seed [32]byte
	if _, err := io.ReadFull(opt.Random, seed[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Service{opt: opt, idle: make(chan struct{}), running: map[string]*Grant{}, jitter: rand.New(rand.NewChaCha8(seed))}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for i := range s.queues {
		s.queues[i].init(s, uint32(i))
	}
	return s, nil
}

// Stats returns the current counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	running, cached := len(s.running), s.cache.len()
	s.mu.Unlock()
	c := &s.count
	return Stats{
		Running: running, CachedAnswers: cached, Background: int(c.background.Load()),
		Grants: c.grants.Load(), Writes: c.writes.Load(), Operations: c.operations.Load(),
		Conflicts: c.conflicts.Load(), AmbiguousWrites: c.ambiguous.Load(), RefusedCalls: c.refused.Load(),
		Forwards: c.forwards.Load(), ForwardFailures: c.forwardFailures.Load(), Releases: c.releases.Load(),
		DroppedReleases: c.dropped.Load(), Timeouts: c.timeouts.Load(), Damaged: c.damaged.Load(),
	}
}

// begin registers a call or background write; it fails for new calls after Close.
func (s *Service) begin(evenClosed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed && (!evenClosed || s.active == 0) {
		return false
	}
	s.active++
	return true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.closed && s.active == 0 {
		close(s.idle)
	}
}

// Close refuses new claims, waits until pending finishes and releases are
// recorded or ctx ends, and stops the service. Grants must be finished,
// released or abandoned before.
func (s *Service) Close(ctx context.Context) error {
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	if first && s.active == 0 {
		close(s.idle)
	}
	s.mu.Unlock()
	defer s.cancel()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return Error.New("%d finishes and releases not recorded: %w", s.count.background.Load(), ctx.Err())
	}
}

func notRun(status int, code, format string, args ...any) *verdict.Error {
	e := verdict.New(verdict.NotRun, status, code, format, args...)
	if status == 503 {
		e.RetryAfterSeconds = 1
	}
	return e
}

// Claim claims the order. Every error is a *verdict.Error with NotRun: this
// request was not sent and will not be sent. An earlier request with the same
// key may have run when the error is not about the key.
func (s *Service) Claim(ctx context.Context, o Order) (Outcome, error) {
	if !s.begin(false) {
		return Outcome{}, notRun(503, "shutting_down", "the host is shutting down")
	}
	defer s.end()
	op, err := s.claimOp(o)
	if err != nil {
		return Outcome{}, err
	}
	if out, known, err := s.local(&op); known {
		return out, err
	}
	wait, cancel := context.WithTimeout(ctx, s.opt.ClaimWait)
	defer cancel()
	res, exposed, err := s.execute(wait, op)
	if err != nil {
		s.count.timeouts.Add(1)
		if exposed {
			s.releaseLater(op)
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
		return op, verdict.Wrap(err, verdict.NotRun, 500, "random_source", "no attempt id")
	}
	op.Attempt = hex.EncodeToString(id[:])
	if !op.Valid() {
		return op, notRun(400, "invalid_order", "the request hash or the deadline is malformed")
	}
	return op, nil
}

// local answers a repeat that this host runs or ran, without the store.
func (s *Service) local(op *claim.Op) (Outcome, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.cache.get(op.KeyHash, s.opt.Now()); ok {
		if e.requestHash != op.RequestHash {
			return Outcome{}, true, misuse()
		}
		a := e.answer
		return Outcome{Kind: Done, Answer: &a, Host: s.opt.Host}, true, nil
	}
	if g, ok := s.running[op.KeyHash]; ok {
		if g.op.RequestHash != op.RequestHash {
			return Outcome{}, true, misuse()
		}
		return Outcome{Kind: Running, Host: s.opt.Host}, true, nil
	}
	return Outcome{}, false, nil
}

func misuse() error {
	return notRun(422, "idempotency_key_reused", "the Idempotency-Key was used with another request")
}

func (s *Service) outcome(op *claim.Op, res claim.Result, deadline time.Time) (Outcome, error) {
	switch r := res.Record; res.Code {
	case claim.Granted:
		g := &Grant{op: *op, deadline: deadline, finished: make(chan struct{})}
		if !g.MaySend(s.opt.Now()) {
			s.releaseLater(*op)
			return Outcome{}, notRun(504, "deadline_passed", "the deadline passed while the order was claimed")
		}
		s.count.grants.Add(1)
		s.mu.Lock()
		s.running[op.KeyHash] = g
		s.mu.Unlock()
		return Outcome{Kind: Granted, Grant: g}, nil
	case claim.AlreadyDone:
		return Outcome{Kind: Done, Answer: r.Answer, Host: r.Host}, nil
	case claim.Held:
		return s.held(op.KeyHash, r), nil
	case claim.Undetermined:
		return Outcome{Kind: Unknown, Host: r.Host}, nil
	case claim.Misuse:
		return Outcome{}, misuse()
	case claim.Full:
		return Outcome{}, notRun(503, "claim_shard_full", "the claim shard is full")
	default:
		return Outcome{}, notRun(503, "claim_refused", "the claim was refused: %s", res.Code)
	}
}

// held reports Unknown when the record's host cannot be running the order: it
// is this host without a grant, as after a restart.
func (s *Service) held(keyHash string, r *claim.Record) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Host != s.opt.Host || s.running[keyHash] != nil {
		return Outcome{Kind: Running, Host: r.Host}
	}
	return Outcome{Kind: Unknown, Host: r.Host}
}

// Finish records that the order ran and returns when the record is durable.
// When ctx ends first it returns an error with verdict Ran, and the record is
// still written in the background.
func (s *Service) Finish(ctx context.Context, g *Grant, a claim.Answer) error {
	op := g.op
	op.Kind, op.Answer = claim.OpFinish, &a
	if len(a.Body) > claim.MaxAnswerBytes {
		op.Answer = nil
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
func (s *Service) drop(g *Grant, a *claim.Answer) {
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

func (s *Service) owner(shard uint32) (string, bool) {
	if s.opt.Forwarder == nil {
		return "", true
	}
	return s.opt.Forwarder.Owner(shard)
}
