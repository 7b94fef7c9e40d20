package daemon

import (
	"math/rand/v2"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/process/configlog"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
)

type retryState = retry.Budget

// First implements request.RetryBudget.
func (r *retryBudget) First(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.FirstTry(now)
}

// Retry implements request.RetryBudget.
func (r *retryBudget) Retry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.Allow(now)
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
	if d.keeper.Freshness(now).MayServe() {
		return nil
	}
	e := verdict.New(verdict.NotRun, 503, "configuration_not_confirmed",
		"this host reaches neither the object API nor enough other hosts to know that its configuration is current")
	e.RetryAfterSeconds = 1
	return e
}

// coldReporter turns observations of the request path into cold sightings.
type coldReporter struct{ d *Daemon }

// Refused implements request.ColdReporter.
func (c coldReporter) Refused(backend, incarnation string) {
	c.d.routing.exclude(backend, incarnation)
	c.d.peers.NotifyCold(membership.Sighting{Backend: backend, Incarnation: incarnation, At: time.Now()})
}

// Incarnation implements request.ColdReporter.
func (c coldReporter) Incarnation(backend, _, seen string) {
	// The limits in the routing snapshot are those of the process before.
	c.d.routing.exclude(backend, seen)
	c.d.peers.NotifyCold(membership.Sighting{Backend: backend, Incarnation: seen, At: time.Now()})
}
