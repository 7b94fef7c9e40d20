package request

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/schedule"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// notifier wakes all waiters when capacity may have appeared.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

type seedCounter struct{ n atomic.Uint64 }

func (s *seedCounter) next() uint64 { return s.n.Add(1) }

// candidatePool reuses candidate slices, so that placing does not allocate.
var candidatePool = sync.Pool{New: func() any { return new([]schedule.Candidate) }}

// placement is a place taken at a backend server.
type placement struct {
	*version.Backend
	g    *Gateway
	once sync.Once
}

// release gives the place back, once.
func (p *placement) release() {
	p.once.Do(func() {
		p.Counters.Release()
		p.g.CapacityChanged()
	})
}

// sendOptions binds a request to the process that the placement's limit holds
// for and to the rights under which it was placed.
func (p *placement) sendOptions(fresh bool) connection.Options {
	return connection.Options{Fresh: fresh, Incarnation: p.Load.Incarnation, Check: p.mayStillSend}
}

// mayStillSend refuses when the lease or the confirmation of the configuration
// lapsed since the request was placed, as in a process that was paused.
func (p *placement) mayStillSend() error {
	now := p.g.Now()
	if p.CurrentLimit(now) == 0 {
		e := verdict.New(verdict.NotRun, 503, "lease_lapsed", "the right to use the backend server lapsed before the request was sent")
		e.RetryAfterSeconds = 1
		return e
	}
	return p.g.Fresh(now)
}

// noteSendFailure records what a failed send says about the backend server.
func (c *call) noteSendFailure(p *placement, err error) {
	var other *connection.IncarnationError
	var withheld *connection.WithheldError
	switch {
	case errors.As(err, &withheld):
	case errors.As(err, &other):
		c.g.Cold.Incarnation(p.Host.ID, p.Load.Incarnation, other.Seen)
	case verdict.Of(err) == verdict.NotRun:
		c.g.Cold.Refused(p.Host.ID, p.Host.Incarnation)
	default:
		c.attempted = true
	}
}

// minQueueWait bounds the wait for a place from below: a class with a short
// target still waits out a configuration change.
const minQueueWait = 250 * time.Millisecond

// place waits for a place at a backend server of the call's service. It gives
// up when the class's first-token target can no longer be met.
func (c *call) place(tried []string) (*placement, error) {
	began := c.g.Now()
	defer func() { c.out.Queued += c.g.Now().Sub(began) }()
	timer := time.NewTimer(max(time.Duration(c.class.FirstTokenMS)*time.Millisecond, minQueueWait))
	defer timer.Stop()
	for {
		changed := c.g.capacity.wait()
		if err := c.g.Fresh(c.g.Now()); err != nil {
			return nil, err
		}
		if p := c.tryPlace(tried); p != nil {
			return p, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			e := c.failure(503, "no_capacity", "no backend server of %s can start the request in time", c.service.Name)
			e.RetryAfterSeconds = 1
			return nil, e
		case <-c.ctx.Done():
			return nil, c.interrupted()
		}
	}
}

// tryPlace takes a place at the best backend server, or returns nil.
func (c *call) tryPlace(tried []string) *placement {
	svc, ok := c.g.Snapshot().Service(c.service.Name)
	if !ok {
		return nil
	}
	now := c.g.Now()
	buf := candidatePool.Get().(*[]schedule.Candidate)
	defer candidatePool.Put(buf)
	candidates := appendCandidates((*buf)[:0], svc, tried, now)
	*buf = candidates
	for range candidates {
		at := schedule.Pick(candidates, schedule.Request{Region: c.g.Region}, c.g.seed.next())
		if at < 0 {
			return nil
		}
		b := svc.Backends[candidates[at].Index]
		if b.Counters.TryAcquire(candidates[at].Limit, now) {
			return &placement{Backend: b, g: c.g}
		}
		// Another request took the last place between the pick and now.
		candidates[at].Limit = 0
	}
	return nil
}

func appendCandidates(out []schedule.Candidate, svc *version.Service, tried []string, now time.Time) []schedule.Candidate {
	for i, b := range svc.Backends {
		if contains(tried, b.Host.ID) {
			continue
		}
		memory := 0.0
		if b.Load.BlocksTotal > 0 {
			memory = float64(b.Load.BlocksUsed) / float64(b.Load.BlocksTotal)
		}
		out = append(out, schedule.Candidate{
			Index:          i,
			Domain:         b.Host.Domain,
			Region:         b.Host.Region,
			Limit:          b.CurrentLimit(now),
			Own:            b.Counters.InFlight(),
			ReportedWork:   b.Load.Running + b.Load.Waiting,
			OwnSinceReport: b.Counters.StartedSince(b.LoadTaken),
			MemoryUsed:     memory,
			Capacity:       b.Capacity,
		})
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// mayRetry takes a retry from the budget for a request that failed before
// anything was delivered.
func (c *call) mayRetry(tries int) bool {
	return tries < maxTries && c.ctx.Err() == nil && c.g.Retries.Retry(c.g.Now())
}

// maxTries bounds the backend servers that one request is tried at.
const maxTries = 3
