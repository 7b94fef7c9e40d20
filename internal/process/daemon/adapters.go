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

// retryBudget makes a retry.Budget safe for concurrent use. First attempts, which
// are as frequent as requests, take no lock.
type retryBudget struct {
	firstAttempts atomic.Int64

	mu     sync.Mutex
	budget retry.Budget
}

// RecordFirstAttempt implements request.RetryBudget.
func (r *retryBudget) RecordFirstAttempt(time.Time) { r.firstAttempts.Add(1) }

// AcquireRetry implements request.RetryBudget.
func (r *retryBudget) AcquireRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countFirstAttempts(now)
	return r.budget.Allow(now)
}

// countFirstAttempts adds the first attempts made since the last call to the
// budget. It is called several times a second, so that an attempt counts for the
// second in which it was made. The lock is held.
func (r *retryBudget) countFirstAttempts(now time.Time) {
	for range r.firstAttempts.Swap(0) {
		r.budget.RecordFirstAttempt(now)
	}
}

// update adds the recorded first attempts to the budget; it is called regularly, so
// that they are counted even if there are no retries.
func (r *retryBudget) update(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countFirstAttempts(now)
}

// newRand returns a randomly seeded generator for purposes other than cryptography.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// configSource adapts the configuration log to peers.ConfigSource.
type configSource struct{ *configlog.Log }

// Revision implements peers.ConfigSource.
func (c configSource) Revision() config.Revision { return c.Current().Revision }

// checkFreshness returns an error if this host's configuration is not confirmed
// recently enough to accept new requests, since a failure domain may have been
// taken out of service in the meantime.
func (d *Daemon) checkFreshness(now time.Time) error {
	if until := d.freshUntil.Load(); until != nil && now.Before(*until) || d.updateFreshness(now) {
		return nil
	}
	e := verdict.New(verdict.NotRun, 503, "configuration_not_confirmed",
		"this host reaches neither the object API nor enough other hosts to confirm that its configuration is current")
	e.RetryAfterSeconds = 1
	return e
}

// updateFreshness applies the freshness rule, reports whether new requests may be
// accepted, and stores the time until which a confirmation is fresh, so that the
// request path needs one atomic load. During a store outage the rule is applied to
// each request, since the responses of peers can change its result at any time.
func (d *Daemon) updateFreshness(now time.Time) bool {
	state := d.membership.Freshness(now)
	until := now
	if age, known := d.config.ConfirmedAge(now); known && state == view.Fresh {
		until = now.Add(view.FreshnessBound - age)
	}
	d.freshUntil.Store(&until)
	return state.MayServe()
}

// markRestoredCold marks backend servers as cold that return to service, themselves
// or with their failure domain: their caches and batches are empty, and all hosts
// would send to them at the same time. Every host does this for the same change.
func (d *Daemon) markRestoredCold(previous, current *config.Document) {
	if previous == nil {
		return
	}
	for _, h := range d.membership.Hosts() {
		if h.Role == platform.RoleBackend && previous.OutOfService(h.ID, h.Domain) && !current.OutOfService(h.ID, h.Domain) {
			d.membership.RecordCold(membership.ColdSighting{Backend: h.ID, Incarnation: h.Incarnation, At: time.Now()})
		}
	}
}

// coldReporter converts observations of the request path into cold sightings.
type coldReporter struct{ d *Daemon }

// ConnectionRefused implements request.ColdStartReporter.
func (c coldReporter) ConnectionRefused(backend, incarnation string) {
	c.d.routing.exclude(backend)
	c.d.peers.ReportCold(membership.ColdSighting{Backend: backend, Incarnation: incarnation, At: time.Now()})
}

// ConnectFailed implements request.ColdStartReporter. A silence is no evidence of a restart, so the other
// hosts are not told.
func (c coldReporter) ConnectFailed(backend string) { c.d.routing.exclude(backend) }

// RequestFailed implements request.ColdStartReporter. An engine that has become cold
// unnoticed fails requests when it gets the load of a warm one.
func (c coldReporter) RequestFailed(backend, incarnation string) {
	c.d.peers.ReportCold(membership.ColdSighting{Backend: backend, Incarnation: incarnation, At: time.Now()})
}

// IncarnationMismatch implements request.ColdStartReporter.
func (c coldReporter) IncarnationMismatch(backend, _, seen string) {
	// The limits in the routing snapshot are those of the previous process.
	c.d.routing.exclude(backend)
	c.d.peers.ReportCold(membership.ColdSighting{Backend: backend, Incarnation: seen, At: time.Now()})
}

// otherBackends returns the addresses of the live backend servers but the one at an address, in random order.
func (d *Daemon) otherBackends(address string) (addresses []string) {
	for _, h := range d.membership.Hosts() {
		if h.Role == platform.RoleBackend && h.State == platform.HostLive && h.Address != address {
			addresses = append(addresses, h.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
