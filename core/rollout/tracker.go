package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

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
	id    ID
	known time.Time
	ramp  time.Duration

	phase  Phase
	reason string

	exposure exposure
	used     subset
	own      observed
	judge    judgement
	progress progress
	writer   writer
}

// New returns the Tracker of a roll-out that this host learned of now. random returns a random number from 0 to 1.
func New(request fleet.Rollout, settings Settings, random func() float64, now time.Time) *Tracker {
	t := &Tracker{
		id: ID{Service: request.Service, Target: request.Target, Created: request.Created}, known: now, ramp: request.Ramp, phase: Canary,
		exposure: newExposure(settings, random), judge: newJudgement(), own: newObserved(),
	}
	t.writer.request = request
	t.progress.since, t.progress.updated = now, now
	if over := t.storePhase(request); over != Unknown {
		t.phase, t.reason = over, "the store has this state"
	}
	return t
}

// Rank returns the number of hosts of a list that decide on a roll-out before a host.
func Rank(id ID, host string, hosts []string) int {
	own := rankHash(id, host)
	rank := 0
	for _, other := range hosts {
		if h := rankHash(id, other); other != host && (h < own || h == own && other < host) {
			rank++
		}
	}
	return rank
}

func rankHash(id ID, host string) uint64 {
	return xxhash.Sum64String(id.Service + "/" + id.Target + "/" + host)
}

// ID returns what identifies the roll-out.
func (t *Tracker) ID() ID { return t.id }

// Phase returns the phase at this host.
func (t *Tracker) Phase() Phase { return t.phase }

// SetHosts sets the number of hosts among which the extra requests are divided.
func (t *Tracker) SetHosts(n int) { t.exposure.setHosts(n) }

// Next counts a new request of a caller for the service and reports whether it may go to the target. If so, it counts as
// exposed until Release.
func (t *Tracker) Next(now time.Time) (exposed bool) { return t.next(1, now) }

// NextOn is Next for a request on a known route. In the canary phase it prefers requests on routes with little traffic, so that
// the version is judged on each route in about the same time.
func (t *Tracker) NextOn(route string, now time.Time) (exposed bool) {
	return t.next(t.judge.preference(route), now)
}

func (t *Tracker) next(preference float64, now time.Time) bool {
	t.exposure.requests++
	return t.takes(preference, now)
}

// Again reports whether one more attempt of a request (a retry, a hedged request, a resume, a migration) may go to the target, and
// counts it as exposed.
func (t *Tracker) Again(now time.Time) (exposed bool) { return t.takes(1, now) }

// takes exposes a request. preference is relative to the mean of the requests.
func (t *Tracker) takes(preference float64, now time.Time) bool {
	share := t.share(now)
	switch {
	case t.phase == Canary:
		elapsed := now.Sub(t.known)
		return t.exposure.takeCanary(min(preference*t.exposure.canaryChance(elapsed, t.canaryTime()-elapsed), maxCanaryShare))
	case t.phase == Shifting && share <= t.exposure.settings.ExposeShare:
		return t.exposure.take(min(preference*share, maxCanaryShare))
	}
	return t.exposure.take(share)
}

// Release takes back an exposure: the request was not sent to the target.
func (t *Tracker) Release() { t.exposure.exposed = max(0, t.exposure.exposed-1) }

// Uses reports whether exposed requests go to a server of the target now. servers are all of them.
func (t *Tracker) Uses(server string, servers []string, now time.Time) bool {
	if t.phase > Shifting || t.phase == Shifting && t.progress.shifted >= t.stepTime() {
		return t.phase != RolledBack
	}
	late := t.progress.since.Sub(t.known) - t.canaryTime()
	if t.phase == Canary {
		late = now.Sub(t.known) - t.canaryTime()
	}
	n := subsetSize(len(servers), t.share(now), late)
	return t.used.contains(t.id, server, servers, n)
}

// Observe counts the outcome of a request.
func (t *Tracker) Observe(o Observation) { t.own.add(o, t.judge.slowFrom(o.Route)) }

// Report returns what this host tells the others. oldInFlight is the number of its requests in flight at servers of other
// versions. The lists are copies.
func (t *Tracker) Report(oldInFlight int) Report {
	return Report{
		ID: t.id, MinPhase: t.phase, MaxPhase: t.phase, Hosts: 1, OldInFlight: oldInFlight,
		Counts: append([]Counts(nil), t.own.counts...), Servers: append([]ServerCounts(nil), t.own.servers...),
	}
}

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
func (t *Tracker) Status(now time.Time) Status {
	reason := t.reason
	if t.progress.waitsFor != "" && t.phase < Completed {
		reason = t.progress.waitsFor
	}
	return Status{
		ID: t.id, Phase: t.phase.String(), Share: t.share(now), Requests: t.exposure.requests, Exposed: t.exposure.exposed,
		Reason: reason, Counts: append([]Counts(nil), t.own.counts...),
	}
}

type countKey struct {
	route  string
	target bool
}

// observed are the outcomes at this host.
type observed struct {
	counts      []Counts
	servers     []ServerCounts
	countIndex  map[countKey]int
	serverIndex map[string]int
}

func newObserved() observed {
	return observed{countIndex: map[countKey]int{}, serverIndex: map[string]int{}}
}

func (s *observed) add(o Observation, slowFrom int) {
	key := countKey{o.Route, o.Target}
	i, ok := s.countIndex[key]
	if !ok {
		i = len(s.counts)
		s.countIndex[key] = i
		s.counts = append(s.counts, Counts{Route: o.Route, Target: o.Target})
	}
	c := &s.counts[i]
	c.Requests++
	bad := o.Failed
	if o.Failed {
		c.Failures++
	} else if o.Latency > 0 {
		b := latencyBucket(o.Latency)
		c.Latency[b]++
		bad = b >= slowFrom
	}
	if !o.Target {
		return
	}
	j, ok := s.serverIndex[o.Server]
	if !ok {
		j = len(s.servers)
		s.serverIndex[o.Server] = j
		s.servers = append(s.servers, ServerCounts{Server: o.Server})
	}
	s.servers[j].Requests++
	if bad {
		s.servers[j].Bad++
	}
}

// firstBucket is the end of the first bucket of the latency; each further one ends at twice the time.
const firstBucket = 4 * time.Millisecond

func latencyBucket(d time.Duration) int {
	for i, end := 0, firstBucket; i < LatencyBuckets-1; i, end = i+1, 2*end {
		if d <= end {
			return i
		}
	}
	return LatencyBuckets - 1
}
