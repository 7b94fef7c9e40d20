package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/core/schedule"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// RejectedError is returned when the request's target can no longer be met. Nothing
// was sent.
type RejectedError struct{ RetryAfter time.Duration }

// Error implements error.
func (*RejectedError) Error() string { return "no backend server can start the request in time" }

// Table holds the dispatchers of all services.
type Table struct {
	region   string
	seed     uint64
	nextID   atomic.Uint64
	services sync.Map // of *Service by name
}

// NewTable returns an empty table for a host in region.
func NewTable(region string, seed uint64) *Table {
	return &Table{region: region, seed: seed}
}

// Dispatcher returns the dispatcher of a service, creating it if needed.
func (t *Table) Dispatcher(name string, kind config.ServiceKind) *Dispatcher {
	if known, ok := t.services.Load(name); ok {
		return known.(*Dispatcher)
	}
	opt := dispatch.Options{Region: t.region, Engine: kind == config.KindEngine, Seed: t.seed}
	created, _ := t.services.LoadOrStore(name, &Dispatcher{
		table: t, d: dispatch.New(opt), waiters: map[uint64]chan dispatch.Outcome{},
		backends: map[string]*version.Backend{}, running: map[uint64]*Reservation{},
	})
	return created.(*Dispatcher)
}

// Retain updates the services that keep returns false for as services without
// backend servers, so that their waiting requests are refused at their targets,
// and forgets those that have no request left.
func (t *Table) Retain(keep func(name string) bool, topology Topology, now time.Time) {
	t.services.Range(func(name, known any) bool {
		if keep(name.(string)) {
			return true
		}
		s := known.(*Dispatcher)
		s.Update(&version.Service{}, topology, now)
		if s.idle() {
			t.services.Delete(name)
		}
		return true
	})
}

// Uses says whether this host has a share of a backend server or work there.
func (t *Table) Uses(service, backend string) bool {
	known, ok := t.services.Load(service)
	if !ok {
		return false
	}
	s := known.(*Dispatcher)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.HasShareOrLoad(backend)
}

// Dispatcher places the requests of one service.
type Dispatcher struct {
	table *Table

	mu       sync.Mutex
	d        *dispatch.Dispatcher
	waiters  map[uint64]chan dispatch.Outcome
	backends map[string]*version.Backend
	running  map[uint64]*Reservation
}

// Reservation is a place taken at a backend server.
type Reservation struct {
	*version.Backend
	service *Dispatcher
	id      uint64
	tokens  atomic.Int64
	ended   atomic.Bool
}

// Acquire waits for a place. It returns *Refused or ctx's error.
func (s *Dispatcher) Acquire(ctx context.Context, r dispatch.Request) (*Reservation, error) {
	r.ID = s.table.nextID.Add(1)
	s.mu.Lock()
	out := s.d.Offer(r, time.Now())
	switch out.Action {
	case admit.Dispatch:
		p := s.take(out)
		s.mu.Unlock()
		return p, nil
	case admit.Reject:
		s.mu.Unlock()
		return nil, &RejectedError{RetryAfter: out.RetryAfter}
	}
	// Buffered, so that a decision never waits for a request that gave up.
	ch := make(chan dispatch.Outcome, 1)
	s.waiters[r.ID] = ch
	s.mu.Unlock()
	select {
	case out = <-ch:
	case <-ctx.Done():
		return nil, s.giveUp(r.ID, ctx.Err())
	}
	if out.Action == admit.Reject {
		return nil, &RejectedError{RetryAfter: out.RetryAfter}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[r.ID], nil
}

// take records a placement. The lock is held.
func (s *Dispatcher) take(out dispatch.Outcome) *Reservation {
	p := &Reservation{Backend: s.backends[out.Server], service: s, id: out.ID}
	p.Counters.Add(1)
	s.running[out.ID] = p
	return p
}

// giveUp removes a request whose caller no longer waits.
func (s *Dispatcher) giveUp(id uint64, err error) error {
	s.mu.Lock()
	delete(s.waiters, id)
	p := s.running[id]
	if p == nil {
		s.d.Cancel(id)
	}
	s.mu.Unlock()
	if p != nil {
		p.Release(false)
	}
	return err
}

// drain passes on the decisions about waiting requests. The lock is held.
func (s *Dispatcher) drain(now time.Time) {
	for _, out := range s.d.Drain(now) {
		if out.Action == admit.Dispatch {
			s.take(out)
		}
		if ch := s.waiters[out.ID]; ch != nil {
			delete(s.waiters, out.ID)
			ch <- out
		}
	}
}

// RecordTokens records the number of tokens produced so far. Only the first one takes
// the service's lock: it ends the prefill, which may let another request start.
func (p *Reservation) RecordTokens(produced int) {
	p.tokens.Store(int64(produced))
	if produced != 1 {
		return
	}
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.Progress(p.id, produced)
	s.drain(time.Now())
}

// Release gives the place back; complete says that the generation ended by itself.
func (p *Reservation) Release(complete bool) {
	if p.ended.Swap(true) {
		return
	}
	p.Counters.Add(-1)
	s, now := p.service, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, p.id)
	if n := p.tokens.Load(); n > 0 {
		s.d.Progress(p.id, int(n))
	}
	s.d.Ended(p.id, complete, now)
	s.drain(now)
}

// Topology is what a dispatcher needs to know about the entry hosts.
type Topology struct {
	// Position is this host's place among Hosts hosts sorted by region and id.
	Position, Hosts int
}

// Update takes a new version of the service and decides about waiting requests.
func (s *Dispatcher) Update(svc *version.Service, topology Topology, now time.Time) {
	servers := make([]dispatch.Server, len(svc.Backends))
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.backends)
	for i, b := range svc.Backends {
		s.backends[b.Host.ID] = b
		servers[i] = dispatch.Server{
			ID: b.Host.ID, Incarnation: b.Incarnation(), Region: b.Host.Region, Domain: b.Host.Domain,
			Limit: b.CurrentLimit(now), Warm: b.Warm, Capacity: b.Capacity,
		}
	}
	s.d.SetServers(servers, topology.Position, topology.Hosts)
	for _, b := range svc.Backends {
		s.d.ApplyReport(b.Host.ID, report(b), now)
	}
	for id, p := range s.running {
		if n := p.tokens.Load(); n > 0 {
			s.d.Progress(id, int(n))
		}
	}
	s.d.Refresh(now)
	s.drain(now)
}

func report(b *version.Backend) schedule.Report {
	return schedule.Report{
		At: b.LoadSampledAt, InFlight: b.Load.Running + b.Load.Waiting, Running: b.Load.Running,
		KVUsed: b.Load.BlocksUsed * b.Load.BlockTokens, KVTotal: b.Load.BlocksTotal * b.Load.BlockTokens,
		Preemptions: b.Load.Preemptions, StepMS: b.Load.StepMS, Incarnation: b.Incarnation(),
	}
}

func (s *Dispatcher) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.Waiting() == 0 && len(s.running) == 0
}

// Waiting returns the number of waiting requests by service.
func (t *Table) Waiting() map[string]int {
	out := map[string]int{}
	t.services.Range(func(name, known any) bool {
		s := known.(*Dispatcher)
		s.mu.Lock()
		defer s.mu.Unlock()
		out[name.(string)] = s.d.Waiting()
		return true
	})
	return out
}
