package daemon

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/process/configlog"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
)

// retryBudget shares a pure retry budget among requests. First tries, which
// are as frequent as requests, take no lock.
type retryBudget struct {
	firstTries atomic.Int64

	mu     sync.Mutex
	budget retry.Budget
}

// RecordFirstAttempt implements request.RetryBudget.
func (r *retryBudget) RecordFirstAttempt(time.Time) { r.firstTries.Add(1) }

// AcquireRetry implements request.RetryBudget.
func (r *retryBudget) AcquireRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold(now)
	return r.budget.Allow(now)
}

// fold moves the counted first tries to the budget. It is called several times
// a second, so that they count for the second in which they were made.
func (r *retryBudget) fold(now time.Time) {
	for range r.firstTries.Swap(0) {
		r.budget.RecordFirstAttempt(now)
	}
}

// tick folds while no retry does.
func (r *retryBudget) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold(now)
}

// newRand returns a source for choices that need no secrecy.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// configSource gives peers the configuration log.
type configSource struct{ *configlog.Log }

// Revision implements peers.ConfigSource.
func (c configSource) Revision() config.Revision { return c.Current().Revision }

// fresh refuses new work when this host cannot know whether its configuration
// is current, since a failure domain may have been taken out meanwhile.
func (d *Daemon) fresh(now time.Time) error {
	if until := d.freshUntil.Load(); until != nil && now.Before(*until) || d.refreshFreshness(now) {
		return nil
	}
	e := verdict.New(verdict.NotRun, 503, "configuration_not_confirmed",
		"this host reaches neither the object API nor enough other hosts to know that its configuration is current")
	e.RetryAfterSeconds = 1
	return e
}

// refreshFreshness applies the freshness rule and stores until when a
// confirmation holds, so that the request path needs one atomic load. During
// an outage of the object API the rule is applied to each request: what peers
// were last heard to say can change the finding at any moment.
func (d *Daemon) refreshFreshness(now time.Time) bool {
	state := d.membership.Freshness(now)
	until := now
	if age, known := d.config.ConfirmedAge(now); known && state == view.Fresh {
		until = now.Add(view.FreshnessBound - age)
	}
	d.freshUntil.Store(&until)
	return state.MayServe()
}

// markReturnedCold treats the backend servers of a returned failure domain, or
// undrained ones, as cold: their caches and batches are empty, and all hosts
// would send to them at once. Every host does the same for the same change.
func (d *Daemon) markReturnedCold(before, after *config.Document) {
	if before == nil {
		return
	}
	for _, h := range d.membership.Hosts() {
		if h.Role == platform.RoleBackend && before.OutOfService(h.ID, h.Domain) && !after.OutOfService(h.ID, h.Domain) {
			d.membership.RecordCold(membership.ColdSighting{Backend: h.ID, Incarnation: h.Incarnation, At: time.Now()})
		}
	}
}

// coldReporter turns observations of the request path into cold sightings.
type coldReporter struct{ d *Daemon }

// ConnectionRefused implements request.ColdStartReporter.
func (c coldReporter) ConnectionRefused(backend, incarnation string) {
	c.d.routing.exclude(backend)
	c.d.peers.ReportCold(membership.ColdSighting{Backend: backend, Incarnation: incarnation, At: time.Now()})
}

// RequestFailed implements request.ColdStartReporter. An engine that turned cold without
// notice fails requests when it gets the load of a warm one.
func (c coldReporter) RequestFailed(backend, incarnation string) {
	c.d.peers.ReportCold(membership.ColdSighting{Backend: backend, Incarnation: incarnation, At: time.Now()})
}

// IncarnationMismatch implements request.ColdStartReporter.
func (c coldReporter) IncarnationMismatch(backend, _, seen string) {
	// The limits in the routing snapshot are those of the process before.
	c.d.routing.exclude(backend)
	c.d.peers.ReportCold(membership.ColdSighting{Backend: backend, Incarnation: seen, At: time.Now()})
}
