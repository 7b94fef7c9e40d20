package placement

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/core/schedule"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// RejectedError is returned for a request whose time-to-first-token target can no
// longer be met. Nothing was sent to a backend server.
type RejectedError struct {
	RetryAfter time.Duration
	// Shortages say why no backend server could take the request.
	Shortages dispatch.Shortages
}

// Error implements error.
func (*RejectedError) Error() string { return "no backend server can start the request in time" }

// ErrServiceRemoved is returned for a request that waited for a service which the configuration no longer
// has. Nothing was sent to a backend server.
var ErrServiceRemoved = errors.New("the service was removed from the configuration")

// Table holds one Dispatcher per service and is safe for concurrent use.
type Table struct {
	region   string
	seed     uint64
	nextID   atomic.Uint64
	services sync.Map // of *Dispatcher by service name
}

// NewTable returns an empty table for a host in region. The seed initializes the
// random choices of its dispatchers.
func NewTable(region string, seed uint64) *Table {
	return &Table{region: region, seed: seed}
}

// Dispatcher returns the dispatcher of a service and creates it on first use.
func (t *Table) Dispatcher(name string, kind config.ServiceKind) *Dispatcher {
	if known, ok := t.services.Load(name); ok {
		return known.(*Dispatcher)
	}
	opt := dispatch.Options{Region: t.region, Engine: kind == config.ServiceKindEngine, Seed: t.seed}
	created, _ := t.services.LoadOrStore(name, &Dispatcher{
		table: t, name: name, kind: kind, dispatcher: dispatch.New(opt), waiters: map[uint64]chan dispatch.Outcome{},
		backends: map[string]*version.Backend{}, reservations: map[uint64]*Reservation{},
	})
	return created.(*Dispatcher)
}

// Retain removes the backend servers of the services for which keep returns
// false, rejects their queued requests with ErrServiceRemoved, and deletes the
// dispatchers that have no running request left.
func (t *Table) Retain(keep func(name string) bool, topology Topology, now time.Time) {
	t.services.Range(func(name, known any) bool {
		if keep(name.(string)) {
			return true
		}
		d := known.(*Dispatcher)
		d.Update(&version.Service{}, topology, now)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rejectWaiters()
		if len(d.reservations) == 0 {
			d.removed = true
			t.services.Delete(name)
		}
		return true
	})
}

// Uses reports whether this host has a share of a backend server or requests in
// flight there.
func (t *Table) Uses(service, backend string) bool {
	known, ok := t.services.Load(service)
	if !ok {
		return false
	}
	d := known.(*Dispatcher)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.HasShareOrLoad(backend)
}

// Dispatcher queues the requests of one service and assigns them to backend servers.
type Dispatcher struct {
	table *Table
	name  string
	kind  config.ServiceKind

	mu sync.Mutex
	// removed is set once the table no longer has the dispatcher, so that nothing decides about
	// requests in its queue.
	removed      bool
	dispatcher   *dispatch.Dispatcher
	waiters      map[uint64]chan dispatch.Outcome
	backends     map[string]*version.Backend
	reservations map[uint64]*Reservation
	// nextDecision runs decide; nil until a request had to wait.
	nextDecision *time.Timer
	// hasRefusals is set while backend servers refuse requests, so that answers do not need the lock
	// otherwise.
	hasRefusals atomic.Bool
}

// Reservation is the right to run one request at a backend server. It counts
// against the server's limit until it is released.
type Reservation struct {
	*version.Backend
	owner    *Dispatcher
	id       uint64
	tokens   atomic.Int64
	released atomic.Bool
}

// Acquire waits for a reservation at a backend server. It returns *RejectedError,
// ErrServiceRemoved or the error of ctx.
func (d *Dispatcher) Acquire(ctx context.Context, r dispatch.Request) (*Reservation, error) {
	r.ID = d.table.nextID.Add(1)
	d.mu.Lock()
	if d.removed {
		d.mu.Unlock()
		return d.table.Dispatcher(d.name, d.kind).Acquire(ctx, r)
	}
	now := time.Now()
	out := d.dispatcher.Offer(r, now)
	switch out.Action {
	case admit.Dispatch:
		reservation := d.reserve(out)
		d.mu.Unlock()
		return reservation, nil
	case admit.Reject:
		d.mu.Unlock()
		return nil, &RejectedError{RetryAfter: out.RetryAfter, Shortages: out.Shortages}
	}
	// Buffered, so that delivering a decision never blocks on a cancelled request.
	ch := make(chan dispatch.Outcome, 1)
	d.waiters[r.ID] = ch
	d.scheduleDecision(now)
	d.mu.Unlock()
	var decided bool
	select {
	case out, decided = <-ch:
	case <-ctx.Done():
		return nil, d.cancelWaiter(r.ID, ctx.Err())
	}
	if !decided {
		return nil, ErrServiceRemoved
	}
	if out.Action == admit.Reject {
		return nil, &RejectedError{RetryAfter: out.RetryAfter, Shortages: out.Shortages}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reservations[r.ID], nil
}

// reserve records the reservation of an outcome. The caller holds the lock.
func (d *Dispatcher) reserve(out dispatch.Outcome) *Reservation {
	reservation := &Reservation{Backend: d.backends[out.Server], owner: d, id: out.ID}
	reservation.Counters.Add(1)
	d.reservations[out.ID] = reservation
	return reservation
}

// cancelWaiter removes a queued request whose context ended. If a reservation was
// made in the meantime, it is released.
func (d *Dispatcher) cancelWaiter(id uint64, err error) error {
	d.mu.Lock()
	delete(d.waiters, id)
	reservation := d.reservations[id]
	if reservation == nil {
		d.dispatcher.Cancel(id)
	}
	d.mu.Unlock()
	if reservation != nil {
		reservation.Release(false)
	}
	return err
}

// rejectWaiters ends the wait of all queued requests without a decision. The caller
// holds the lock.
func (d *Dispatcher) rejectWaiters() {
	for id, ch := range d.waiters {
		d.dispatcher.Cancel(id)
		close(ch)
	}
	clear(d.waiters)
}

// deliverDecisions sends the decisions about queued requests to their waiters. The
// caller holds the lock.
func (d *Dispatcher) deliverDecisions(now time.Time) {
	for _, out := range d.dispatcher.Drain(now) {
		if out.Action == admit.Dispatch {
			d.reserve(out)
		}
		if ch := d.waiters[out.ID]; ch != nil {
			delete(d.waiters, out.ID)
			ch <- out
		}
	}
	d.scheduleDecision(now)
}

// scheduleDecision has the queued requests decided about when passing time alone may
// change the decision, so that they wait neither for the next snapshot nor for the
// end of another request. The caller holds the lock.
func (d *Dispatcher) scheduleDecision(now time.Time) {
	at := d.dispatcher.NextDecision(now)
	switch {
	case at.IsZero():
		if d.nextDecision != nil {
			d.nextDecision.Stop()
		}
	case d.nextDecision == nil:
		d.nextDecision = time.AfterFunc(at.Sub(now), d.decide)
	default:
		d.nextDecision.Reset(at.Sub(now))
	}
}

// RecordTokens records the number of tokens produced so far. Only the first token
// takes the dispatcher's lock: it ends the prefill, after which another request may
// start.
func (r *Reservation) RecordTokens(produced int) {
	r.tokens.Store(int64(produced))
	if produced != 1 {
		return
	}
	d := r.owner
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatcher.Progress(r.id, produced)
	d.deliverDecisions(time.Now())
}

// Release ends the reservation; further calls have no effect. Complete is set when
// the request ran to its end, not when it failed or was cancelled.
func (r *Reservation) Release(complete bool) {
	if r.released.Swap(true) {
		return
	}
	r.Counters.Add(-1)
	d, now := r.owner, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reservations, r.id)
	if n := r.tokens.Load(); n > 0 {
		d.dispatcher.Progress(r.id, int(n))
	}
	d.dispatcher.Ended(r.id, complete, now)
	d.deliverDecisions(now)
}

// Topology locates this host among the entry hosts.
type Topology struct {
	// Position is this host's index among all Hosts entry hosts, sorted by region
	// and id.
	Position, Hosts int
}

// Update applies a new version of the service and decides about queued requests.
func (d *Dispatcher) Update(svc *version.Service, topology Topology, now time.Time) {
	servers := make([]dispatch.Server, len(svc.Backends))
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.backends)
	for i, b := range svc.Backends {
		d.backends[b.Host.ID] = b
		servers[i] = dispatch.Server{
			ID: b.Host.ID, Incarnation: b.Incarnation(), Region: b.Host.Region, Domain: b.Host.Domain,
			Limit: b.CurrentLimit(now), Warm: b.Warm, Capacity: b.Capacity,
		}
	}
	d.dispatcher.SetServers(servers, topology.Position, topology.Hosts)
	d.hasRefusals.Store(d.dispatcher.HasRefusals())
	for _, b := range svc.Backends {
		d.dispatcher.ApplyReport(b.Host.ID, report(b), now)
	}
	for id, r := range d.reservations {
		if n := r.tokens.Load(); n > 0 {
			d.dispatcher.Progress(id, int(n))
		}
	}
	d.dispatcher.Refresh(now)
	d.deliverDecisions(now)
}

func report(b *version.Backend) schedule.Report {
	return schedule.Report{
		At: b.LoadSampledAt, InFlight: b.Load.Running + b.Load.Waiting, Running: b.Load.Running,
		KVUsed: b.Load.BlocksUsed * b.Load.BlockTokens, KVTotal: b.Load.BlocksTotal * b.Load.BlockTokens,
		Preemptions: b.Load.Preemptions, StepMS: b.Load.StepMS, Incarnation: b.Incarnation(),
	}
}

// Waiting returns the number of queued requests by service name.
func (t *Table) Waiting() map[string]int {
	out := map[string]int{}
	t.services.Range(func(name, known any) bool {
		d := known.(*Dispatcher)
		d.mu.Lock()
		defer d.mu.Unlock()
		out[name.(string)] = d.dispatcher.Waiting()
		return true
	})
	return out
}
