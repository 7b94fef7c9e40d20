package rollout

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// Settings are the bounds of a deployment on roll-outs.
type Settings struct {
	// ExposeShare of the requests for a service, plus ExposeExtra requests, may reach a bad version of it.
	ExposeShare, ExposeExtra float64
}

// Observation is the outcome of one request at a server.
type Observation struct {
	Route, Server string
	// Target is set if the server has the version that is rolled out.
	Target bool
	// Failed is set if the response is a failure, broke off or did not arrive. A request that the server rejected without
	// executing it is not observed.
	Failed bool
	// Latency is the time to the response, for streams to the first event; 0 if it does not count.
	Latency time.Duration
}

// Others are what this host knows of the other hosts.
type Others struct {
	// Report is the sum of their reports on this roll-out; its Hosts is 0 if there are none.
	Report Report
	// Live is the number of other live hosts.
	Live int
	// Rank is the number of hosts that decide before this one; see Rank.
	Rank int
	// StoreFailed is set if a store call of this host failed recently.
	StoreFailed bool
}

// Change is a change of the phase, with its reason for the log.
type Change struct {
	From, To Phase
	Reason   string
}

// Tracker is one roll-out as one host sees it. It is not safe for concurrent use.
type Tracker struct {
	id       ID
	settings Settings
	phase    Phase
}

// New returns the Tracker of a roll-out that this host learned of now. random returns a random number from 0 to 1.
func New(request fleet.Rollout, settings Settings, random func() float64, now time.Time) *Tracker {
	return &Tracker{id: ID{Service: request.Service, Target: request.Target, Created: request.Created}, settings: settings, phase: Canary}
}

// Rank returns the number of hosts of a list that decide on a roll-out before a host.
func Rank(id ID, host string, hosts []string) int { return 0 }

// ID returns what identifies the roll-out.
func (t *Tracker) ID() ID { return t.id }

// Phase returns the phase at this host.
func (t *Tracker) Phase() Phase { return t.phase }

// SetHosts sets the number of hosts among which the extra requests are divided.
func (t *Tracker) SetHosts(n int) {}

// Next counts a new request of a caller for the service and reports whether it may go to the target. If so, it counts as
// exposed until Release.
func (t *Tracker) Next(now time.Time) (exposed bool) { return false }

// Again reports whether one more attempt of a request (a retry, a hedged request, a resume, a migration) may go to the target, and
// counts it as exposed.
func (t *Tracker) Again(now time.Time) (exposed bool) { return false }

// Release takes back an exposure: the request was not sent to the target.
func (t *Tracker) Release() {}

// Uses reports whether exposed requests go to a server of the target now. servers are all of them.
func (t *Tracker) Uses(server string, servers []string, now time.Time) bool { return true }

// Observe counts the outcome of a request.
func (t *Tracker) Observe(o Observation) {}

// Report returns what this host tells the others. oldInFlight is the number of its requests in flight at servers of other
// versions.
func (t *Tracker) Report(oldInFlight int) Report { return Report{ID: t.id} }

// Update applies what is known of the other hosts and of the store, and returns the changes of the phase. It is called several
// times a second.
func (t *Tracker) Update(others Others, request fleet.Rollout, oldInFlight int, now time.Time) []Change {
	return nil
}

// Write returns the state that this host has to write to the store now, and whether there is one.
func (t *Tracker) Write(now time.Time) (fleet.RolloutState, bool) { return "", false }

// Written tells that a write of a state was sent, so that Write asks for it again only after a pause.
func (t *Tracker) Written(state fleet.RolloutState, now time.Time) {}

// Status describes the roll-out for logs, metrics and the state dump.
type Status struct {
	ID
	Phase string
	// Share is the share of the requests that go to the target, from 0 to 1.
	Share float64
	// Requests and Exposed are those of this host since it knows the roll-out.
	Requests, Exposed int64
	// Reason is that of the last change of the phase, or what the roll-out waits for.
	Reason string
	Counts []Counts
}

// Status returns the state of the roll-out.
func (t *Tracker) Status(now time.Time) Status { return Status{ID: t.id, Phase: t.phase.String()} }
