package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// The loop adds up hosts that hear each other's reports after a delay. It has no network: time goes in steps, arrivals and
// outcomes are random by the seed.
const (
	stepTime     = 25 * time.Millisecond
	updateSteps  = 8  // steps between two updates of a host
	reportDelay  = 3  // updates after which the others know a report
	storeDelay   = 12 // steps after which hosts see a change in the store
	pendingSlots = 512
)

type testRoute struct{ weight, base float64 }

// setup is a deployment, a version and what happens to them.
type setup struct {
	hosts, oldServers, servers int
	rate                       float64
	ramp                       time.Duration
	routes                     []testRoute
	// bad tells whether a response of the target is bad, slower by slow or a failure if that is 0.
	bad  func(l *loop, route, server int) bool
	slow float64
	// both changes the outcome at all servers: a part that fails, and a factor of the latency.
	both func(l *loop, target bool, server int) (failed bool, slower float64)
	// each is called at each step.
	each func(l *loop)
	by   bool // the request's route is given to the tracker
}

type testHost struct {
	name        string
	tracker     *Tracker
	alone, gone bool
	oldInFlight int
	published   []Report
}

type loop struct {
	setup
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	steps   int
	live    []*testHost
	sums    []Report
	store   fleet.Rollout
	seen    fleet.Rollout // by the hosts
	changed int           // step of the last change of the store
	down    bool          // the store
	pending [pendingSlots][]func()
	load    []float64 // of each target server, in requests a second

	requests, exposed, badResponses int
	excess                          float64 // highest number of exposures beyond the share
	over                            time.Duration
	fiftieth, lastExposed           time.Duration
	runningAtOld                    int // when completed was written
	writes                          []fleet.RolloutState
	changes                         []Change
	failures                        []int // in a row of each target server; it is ejected at five
}

var testSettings = Settings{ExposeShare: 0.1, ExposeExtra: 50}

func newLoop(s setup, seed uint64) *loop {
	l := &loop{setup: s, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), fiftieth: -1, over: -1}
	l.now = l.start
	l.store = fleet.Rollout{Service: "s", Target: "v2", Ramp: s.ramp, Revision: 1}
	l.seen = l.store
	l.load, l.failures = make([]float64, s.servers), make([]int, s.servers)
	for i := range s.hosts {
		l.live = append(l.live, &testHost{name: "h" + strconv.Itoa(i)})
		l.restart(l.live[i])
	}
	return l
}

func (l *loop) restart(h *testHost) {
	h.tracker, h.oldInFlight, h.published = New(l.seen, testSettings, l.rng.Float64, l.now), 0, nil
	h.tracker.SetHosts(l.hosts)
}

func (l *loop) elapsed() time.Duration { return l.now.Sub(l.start) }

// run plays the loop until the store has an ended state and has shown it, or until a time.
func (l *loop) run(until time.Duration) {
	for ; l.elapsed() < until; l.now = l.now.Add(stepTime) {
		if l.store.Ended() && l.steps > l.changed+2*storeDelay {
			return
		}
		l.steps++
		if l.each != nil {
			l.each(l)
		}
		slot := &l.pending[l.steps%pendingSlots]
		for _, done := range *slot {
			done()
		}
		*slot = nil
		for i := range l.load {
			l.load[i] *= 1 - stepTime.Seconds()
		}
		for n := l.arrivals(); n > 0; n-- {
			l.request()
		}
		if l.steps%updateSteps == 0 {
			l.update()
		}
		if l.steps == l.changed+storeDelay {
			l.seen = l.store
		}
	}
}

func (l *loop) arrivals() (n int) {
	for p := 1.0; ; n++ {
		if p *= l.rng.Float64(); p < math.Exp(-l.rate*stepTime.Seconds()) {
			return n
		}
	}
}

func (l *loop) request() {
	route, x := 0, l.rng.Float64()
	for x -= l.routes[0].weight; x > 0 && route < len(l.routes)-1; x -= l.routes[route].weight {
		route++
	}
	h := l.live[l.rng.IntN(len(l.live))]
	if h.gone {
		return
	}
	l.requests++
	name, tracker := "r"+strconv.Itoa(route), h.tracker
	var target bool
	if l.by {
		target = tracker.NextOn(name, l.now)
	} else {
		target = tracker.Next(l.now)
	}
	server := l.rng.IntN(l.oldServers)
	if target {
		server = l.targetServer(tracker)
		if server < 0 {
			tracker.Release()
			target, server = false, 0
		}
	}
	latency := 30 * math.Exp(0.5*l.rng.NormFloat64())
	failed := l.rng.Float64() < l.routes[route].base
	if l.both != nil {
		f, slower := l.both(l, target, server)
		failed, latency = failed || f, latency*slower
	}
	bad := false
	if target {
		l.exposed++
		l.load[server]++
		l.lastExposed = l.elapsed()
		if bad = l.bad != nil && l.bad(l, route, server); bad && l.slow == 0 {
			failed = true
		} else if bad {
			latency *= l.slow
		}
	} else {
		h.oldInFlight++
	}
	if e := float64(l.exposed) - testSettings.ExposeShare*float64(l.requests); e > l.excess {
		l.excess = e
		if e > testSettings.ExposeExtra && l.over < 0 {
			l.over = l.elapsed()
		}
	}
	o := Observation{Route: name, Server: strconv.Itoa(server), Target: target, Failed: failed, Latency: time.Duration(latency * float64(time.Millisecond))}
	slot := (l.steps + 1 + min(pendingSlots-2, int(o.Latency/stepTime))) % pendingSlots
	l.pending[slot] = append(l.pending[slot], func() {
		tracker.Observe(o)
		if target && failed {
			l.failures[server]++
		} else if target {
			l.failures[server] = 0
		}
		if bad {
			if l.badResponses++; l.badResponses == 50 {
				l.fiftieth = l.elapsed()
			}
		}
		if !target && h.tracker == tracker {
			h.oldInFlight--
		}
	})
}

// targetServer chooses a server of the target that is used and not ejected; -1 if there is none.
func (l *loop) targetServer(t *Tracker) int {
	names := make([]string, l.servers)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	var usable []int
	for i, name := range names {
		if t.Uses(name, names, l.now) {
			usable = append(usable, i)
		}
	}
	if healthy := slices.DeleteFunc(slices.Clone(usable), func(i int) bool { return l.failures[i] >= 5 }); len(healthy) > 0 {
		usable = healthy
	}
	return usable[l.rng.IntN(len(usable))]
}

func (l *loop) update() {
	sum := Report{ID: l.live[0].tracker.ID()}
	for _, h := range l.live {
		if h.gone {
			continue
		}
		r := h.tracker.Report(h.oldInFlight)
		h.published = append(h.published, r)
		if !h.alone {
			sum.Add(r)
		}
	}
	l.sums = append(l.sums, sum)
	names := make([]string, len(l.live))
	liveHosts := 0
	for i, h := range l.live {
		names[i] = h.name
		if !h.gone && !h.alone {
			liveHosts++
		}
	}
	for _, h := range l.live {
		if h.gone {
			continue
		}
		others := Others{Rank: Rank(h.tracker.ID(), h.name, names), StoreFailed: l.down}
		if n := len(l.sums); n > reportDelay && !h.alone {
			others.Report, others.Live = l.sums[n-1-reportDelay], liveHosts-1
			if m := len(h.published); m > reportDelay {
				others.Report = without(others.Report, h.published[m-1-reportDelay])
			}
		}
		l.changes = append(l.changes, h.tracker.Update(others, l.seen, h.oldInFlight, l.now)...)
		if state, ok := h.tracker.Write(l.now); ok {
			h.tracker.Written(state, l.now)
			l.write(h, state)
		}
	}
}

func (l *loop) write(h *testHost, state fleet.RolloutState) {
	if l.down || l.seen.Revision != l.store.Revision {
		return
	}
	l.writes = append(l.writes, state)
	if state == fleet.RolloutCompleted {
		for _, other := range l.live {
			l.runningAtOld += other.oldInFlight
		}
	}
	l.store.State, l.store.StateTarget, l.changed = state, l.store.Target, l.steps
	l.store.Revision++
}

// without takes the report of one host from a sum.
func without(sum, own Report) Report {
	sum.Hosts--
	sum.OldInFlight -= own.OldInFlight
	sum.Counts, sum.Servers = slices.Clone(sum.Counts), slices.Clone(sum.Servers)
	for _, c := range own.Counts {
		s := sum.countsOf(c.Route, c.Target)
		s.Requests -= c.Requests
		s.Failures -= c.Failures
		for i, n := range c.Latency {
			s.Latency[i] -= n
		}
	}
	for _, c := range own.Servers {
		s := sum.serverOf(c.Server)
		s.Requests -= c.Requests
		s.Bad -= c.Bad
	}
	return sum
}

func (l *loop) String() string {
	return fmt.Sprintf("%s after %.1f s: %d of %d exposed, excess %.0f over at %.1f, bad %d, 50th at %.1f, last exposed %.1f; %v",
		l.store.State, l.elapsed().Seconds(), l.exposed, l.requests, l.excess, l.over.Seconds(), l.badResponses, l.fiftieth.Seconds(), l.lastExposed.Seconds(), l.changes)
}
