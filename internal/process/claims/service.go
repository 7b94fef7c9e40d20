// Package claims records orders durably before they are sent, so that an order
// is sent at most once. Concurrent claims of a shard are batched into one
// conditional update of the shard's object.
package claims

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// DefaultBatchWindow is how long the first operation of a batch waits for
	// others. It is short since operations that arrive during a write form the
	// next batch anyway: 10 ms made a single claim take 14 ms and saved no writes.
	DefaultBatchWindow = time.Millisecond
	// DefaultClaimTimeout is the timeout of a Claim call.
	DefaultClaimTimeout = 2 * time.Second
	// forwardTimeout leaves most of the claim timeout for the direct update if
	// the preferred writer does not respond.
	forwardTimeout = 500 * time.Millisecond
	// callTimeout is the timeout of one object API call, and the time added to
	// the wait of a peer call.
	callTimeout = time.Second
	// minBackoff and maxBackoff limit the delay before a write is retried.
	// maxBackoff is short compared to the claim timeout, so that new claims do
	// not time out during the backoff of an earlier batch.
	maxBackoff = 200 * time.Millisecond
	minBackoff = 5 * time.Millisecond
	// maxBatch is the limit on the operations of one write and of one peer call.
	maxBatch = 512
	// maxBackground is the limit on pending background writes. A release above it
	// is dropped, and later requests with its key get the verdict may_have_run.
	maxBackground = 1 << 16
)

// Error is the class of errors without a verdict, such as malformed peer calls.
var Error = errs.Class("claims")

// Forwarder sends operations to the preferred writers of shards.
type Forwarder interface {
	// PreferredWriter returns the preferred writer of the shard; the host is
	// empty if none is known. self is set if it is this host.
	PreferredWriter(shard uint32) (host string, self bool)
	// Claim calls Peer.Claim of the host.
	Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
}

// ResponseFetcher requests the response to an order from the host that executes it.
type ResponseFetcher interface {
	// Answer calls Peer.Answer of the host.
	Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error)
}

// Options configure a Service. Host, Store and Random are required.
type Options struct {
	// Host is the id of this host.
	Host  string
	Store platform.ObjectStore
	// Forwarder may be nil: this host then writes all shards itself.
	Forwarder Forwarder
	// ResponseFetcher may be nil: responses of other hosts are then only read
	// from the store.
	ResponseFetcher ResponseFetcher
	// Now is the clock for deadlines and retention; time.Now by default.
	// Delays and timeouts use package time.
	Now func() time.Time
	// Random is the source of attempt ids. It must be unpredictable across
	// hosts, such as crypto/rand.Reader.
	Random io.Reader
	// BatchWindow and ClaimTimeout default to DefaultBatchWindow and
	// DefaultClaimTimeout.
	BatchWindow, ClaimTimeout time.Duration
}

// Order is a non-idempotent request of a caller.
type Order struct {
	// Key is the idempotency key, unique within the team.
	Team, Key string
	// RequestHash is the hex SHA-256 of the request.
	RequestHash string
	// Deadline is the latest time at which the order may be sent.
	Deadline time.Time
}

// OutcomeKind is the state of an order after a Claim call.
type OutcomeKind int

const (
	// Unknown means that an earlier attempt may have executed the order.
	Unknown OutcomeKind = iota
	// Granted means that the caller may send the order.
	Granted
	// Done means that the order was executed before.
	Done
	// Running means that another request holds the claim and may be executing
	// the order.
	Running
)

// Outcome is the result of a Claim.
type Outcome struct {
	Kind OutcomeKind
	// Grant is set if Kind is Granted.
	Grant *Grant
	// Response is set if Kind is Done and the response is cached by this host or
	// stored in the shard.
	Response *claim.Response
	// Host is the host of the earlier attempt; empty if Kind is Granted.
	Host string
}

// Grant permits its holder to send an order once, until its deadline.
type Grant struct {
	op       claim.Op
	deadline time.Time
	ended    atomic.Bool
	finished chan struct{} // closed when the grant ends
}

// MaySend reports whether the order may be sent at now. Both the wall clock and
// the monotonic clock must be before the deadline, since either may stop while a
// host is suspended. Once MaySend returned false, it always returns false.
func (g *Grant) MaySend(now time.Time) bool {
	if !now.Before(g.deadline) || !now.Round(0).Before(g.deadline.Round(0)) {
		g.ended.Store(true)
	}
	return !g.ended.Load()
}

// Stats are the counters of a Service for the state dump.
type Stats struct {
	Running, CachedAnswers, Background                                      int
	Started                                                                 uint64 `json:"Asked"` // orders whose claim started
	Grants, Writes, Operations, Conflicts, AmbiguousWrites, RefusedCalls    uint64
	Forwards, ForwardFailures, Releases, DroppedReleases, Timeouts, Damaged uint64
}

type counters struct {
	started                                                                 atomic.Uint64
	grants, writes, operations, conflicts, ambiguous, refused               atomic.Uint64
	forwards, forwardFailures, releases, droppedReleases, timeouts, damaged atomic.Uint64
	background                                                              atomic.Int64
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
	active  int           // calls and background writes in progress
	idle    chan struct{} // closed once closed is set and active is 0
	running map[string]*Grant
	cache   responseCache
	rng     *rand.Rand
}

// New returns a Service. It fails if a required option is missing or the host id
// is longer than claim.MaxHostBytes.
func New(opt Options) (*Service, error) {
	if opt.Host == "" || len(opt.Host) > claim.MaxHostBytes || opt.Store == nil || opt.Random == nil {
		return nil, Error.New("invalid options: Host of 1 to %d bytes, Store and Random are required", claim.MaxHostBytes)
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.BatchWindow <= 0 {
		opt.BatchWindow = DefaultBatchWindow
	}
	if opt.ClaimTimeout <= 0 {
		opt.ClaimTimeout = DefaultClaimTimeout
	}
	var seed [32]byte
	if _, err := io.ReadFull(opt.Random, seed[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Service{opt: opt, idle: make(chan struct{}), running: map[string]*Grant{}, rng: rand.New(rand.NewChaCha8(seed))}
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
		Started: c.started.Load(), Grants: c.grants.Load(), Writes: c.writes.Load(), Operations: c.operations.Load(),
		Conflicts: c.conflicts.Load(), AmbiguousWrites: c.ambiguous.Load(), RefusedCalls: c.refused.Load(),
		Forwards: c.forwards.Load(), ForwardFailures: c.forwardFailures.Load(), Releases: c.releases.Load(),
		DroppedReleases: c.droppedReleases.Load(), Timeouts: c.timeouts.Load(), Damaged: c.damaged.Load(),
	}
}

// begin registers a call or background write and reports whether it may proceed.
// After Close only background writes may, if allowClosing is set and another
// call or write is still in progress.
func (s *Service) begin(allowClosing bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed && (!allowClosing || s.active == 0) {
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

// Close rejects new claims, waits until pending finishes and releases are
// recorded or ctx ends, and shuts the service down. The caller must have
// finished, released or abandoned all grants.
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
		return Error.New("closed with %d background writes of finishes and releases not recorded: %w", s.count.background.Load(), ctx.Err())
	}
}

func (s *Service) preferredWriter(shard uint32) (string, bool) {
	if s.opt.Forwarder == nil {
		return "", true
	}
	return s.opt.Forwarder.PreferredWriter(shard)
}
