// Package claims records orders durably before they are sent. Claims of one
// shard are grouped into one conditional update of the shard's object.
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
	// DefaultBatchWindow is how long the first operation of a batch waits for others.
	// Operations that arrive during a write form the next batch anyway, and
	// 10 ms made a single claim take 14 ms without saving writes.
	DefaultBatchWindow = time.Millisecond
	// DefaultClaimTimeout bounds a Claim call.
	DefaultClaimTimeout = 2 * time.Second
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
	// PreferredWriter returns the shard's owner; an empty host means that none is known.
	PreferredWriter(shard uint32) (host string, self bool)
	Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
}

// ResponseFetcher asks the host that runs an order for its answer.
type ResponseFetcher interface {
	Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error)
}

// Options configure a Service. Host, Store and Random are required.
type Options struct {
	// Host is the id of this host.
	Host  string
	Store platform.ObjectStore
	// Forwarder is nil when every write is direct.
	Forwarder Forwarder
	// ResponseFetcher is nil when other hosts' answers are read from the store only.
	ResponseFetcher ResponseFetcher
	// Now is the clock of deadlines and retention; time.Now by default.
	// Waits use package time.
	Now func() time.Time
	// Random supplies attempt ids and must be unpredictable across hosts,
	// such as crypto/rand.Reader.
	Random io.Reader
	// BatchWindow and ClaimTimeout have defaults.
	BatchWindow, ClaimTimeout time.Duration
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
	// Response is set when Done and the answer was kept in the shard.
	Response *claim.Response
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
	Started                                                                 uint64 `json:"Asked"` // orders whose claim started
	Grants, Writes, Operations, Conflicts, AmbiguousWrites, RefusedCalls    uint64
	Forwards, ForwardFailures, Releases, DroppedReleases, Timeouts, Damaged uint64
}

type counters struct {
	asked                                                           atomic.Uint64
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
		Started: c.asked.Load(), Grants: c.grants.Load(), Writes: c.writes.Load(), Operations: c.operations.Load(),
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

func (s *Service) owner(shard uint32) (string, bool) {
	if s.opt.Forwarder == nil {
		return "", true
	}
	return s.opt.Forwarder.PreferredWriter(shard)
}
