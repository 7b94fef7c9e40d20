// Package policybench benchmarks the dispatcher of the daemon against simple load balancing
// policies, on engine models in virtual time. Several entry hosts dispatch requests to 12
// engines; each host sees only its own requests and lagged load reports. All policies receive
// the same requests, and the same seed gives the same results.
package policybench

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	engines = 12
	// regions is also the number of failure domains, since each region is one.
	regions = 3

	// warmUp is the simulated time before measurement starts, after which batch sizes and
	// length predictions are steady. At 1.3 times capacity the baselines' engines take 60 s
	// to fill up.
	warmUp = 60 * time.Second
	// measureTime is the time measured, and eventOffset the time from its start until the
	// event of the scenario.
	measureTime = 40 * time.Second
	eventOffset = 10 * time.Second
	// settleTime is the final part of the measured time whose arrivals are not counted,
	// because their first token may arrive after the end.
	settleTime = 5 * time.Second
	// drainTimeout limits the time until the last request ends.
	drainTimeout = 1500 * time.Second

	// localDelay and remoteDelay are the one-way latencies within and between regions.
	localDelay  = 500 * time.Microsecond
	remoteDelay = 30 * time.Millisecond

	// pollInterval is the interval at which a host polls load reports.
	pollInterval = 500 * time.Millisecond
	// tickInterval is the interval at which a host retries its queued requests.
	tickInterval = 25 * time.Millisecond
	// maxConfigDelay bounds the time until a host receives a change of the engines in
	// service.
	maxConfigDelay = 3 * time.Second
	// noticePeriod is the time from the termination notice of an engine to its end.
	noticePeriod = 5 * time.Second

	firstTokenTarget = 1900 * time.Millisecond
	gapTarget        = 52 * time.Millisecond

	// coldLimit is the cold_limit setting of the service. It applies to all policies.
	coldLimit = 8
)

var epoch = time.Unix(1_000_000, 0)

// policy dispatches the requests of one host.
type policy interface {
	// arrive is called for a new request and for a retry. It dispatches, queues or rejects it.
	arrive(q *request)
	// token is called when a token of the request was delivered to its caller.
	token(q *request)
	// ended is called when a dispatched request is no longer in flight at its engine.
	ended(q *request)
	// loadReported is called when the host has received a load report of the engine.
	loadReported(engine int)
	// tick is called every tickInterval.
	tick()
}

// hostState is the state of a host that does not depend on its policy.
type hostState struct {
	index, region int
	policy        policy
	views         [engines]engineView
}

// engineView is the state of an engine as seen by a host.
type engineView struct {
	report       platform.LoadReport
	reportAt     time.Time
	hasReport    bool
	outOfService bool // receives no new requests
	cold         bool
	inFlight     int
	sentAt       []time.Time // send times of this host's requests since the report
}

// sinceReport returns the number of requests that this host sent after the time of the report.
func (v *engineView) sinceReport() int {
	n := 0
	for _, t := range v.sentAt {
		if t.After(v.reportAt) {
			n++
		}
	}
	return n
}

type event struct {
	at    time.Time
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*q = old[:n]
	return e
}

// simulation is one simulation of a scenario with one policy.
type simulation struct {
	scenario  scenario
	rng       *rand.Rand
	generator *generator
	rate      float64
	now       time.Time
	queue     eventQueue
	order     uint64

	engines       []*enginemodel.Engine
	scheduledStep []time.Time // time of each engine's queued step event
	hosts         []*hostState
	requests      []*request
	unfinished    int
	start         time.Time // start and end of the measured time
	end           time.Time
	recorder      recorder
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), order: sim.order, do: do})
}

func regionOf(i int) int { return i % regions }

func (sim *simulation) delay(host *hostState, engine int) time.Duration {
	if host.region == regionOf(engine) {
		return localDelay
	}
	return remoteDelay
}

// simulate runs a scenario at an average rate in requests per second.
func simulate(sc scenario, rate float64, seed uint64, newPolicy func(*simulation, *hostState) policy) Result {
	sc = sc.times()
	sim := &simulation{scenario: sc, rate: rate, rng: rand.New(rand.NewPCG(seed, 0x73696d)), generator: newGenerator(seed), now: epoch}
	sim.start = epoch.Add(sc.warmUp)
	sim.end = sim.start.Add(sc.measureTime)
	sim.recorder = newRecorder()
	params := enginemodel.DefaultParams()
	params.ReportLag = sc.reportLag
	for i := range engines {
		sim.engines = append(sim.engines, enginemodel.New(params, seed*engines+uint64(i), sim.now))
	}
	sim.scheduledStep = make([]time.Time, engines)
	for i := range sc.hosts {
		h := &hostState{index: i, region: regionOf(i)}
		h.policy = newPolicy(sim, h)
		sim.hosts = append(sim.hosts, h)
		sim.after(time.Duration(sim.rng.Int64N(int64(pollInterval))), func() { sim.poll(h) })
		sim.after(time.Duration(sim.rng.Int64N(int64(tickInterval))), func() { sim.tick(h) })
	}
	sim.after(sim.generator.interarrival(sim.rate), sim.arrival)
	sim.after(sc.warmUp, func() { sim.recorder.totalsAtStart = sim.engineTotals() })
	sim.after(sc.warmUp+sc.measureTime, func() { sim.recorder.totalsAtEnd = sim.engineTotals() })
	if sc.event != nil {
		sim.after(sc.warmUp+sc.eventOffset, func() { sc.event(sim) })
	}
	limit := sim.end
	if sc.drain {
		limit = sim.end.Add(drainTimeout)
	}
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at.After(limit) || (e.at.After(sim.end) && sim.unfinished == 0) {
			break
		}
		sim.now = e.at
		e.do()
	}
	return sim.recorder.result(sim)
}

func (sim *simulation) arrival() {
	if !sim.now.Before(sim.end) {
		return
	}
	q := sim.generator.draw(uint64(len(sim.requests)), sim.now, len(sim.hosts))
	sim.requests = append(sim.requests, q)
	sim.unfinished++
	sim.hosts[q.host].policy.arrive(q)
	sim.after(sim.generator.interarrival(sim.rate), sim.arrival)
}

func (sim *simulation) poll(h *hostState) {
	for i, e := range sim.engines {
		report, ok := e.Load(sim.now)
		if !ok {
			continue
		}
		v := &h.views[i]
		v.report, v.hasReport = report, true
		v.reportAt = sim.now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
		kept := v.sentAt[:0]
		for _, t := range v.sentAt {
			if t.After(v.reportAt) {
				kept = append(kept, t)
			}
		}
		v.sentAt = kept
		h.policy.loadReported(i)
	}
	sim.after(pollInterval, func() { sim.poll(h) })
}

func (sim *simulation) tick(h *hostState) {
	h.policy.tick()
	sim.after(tickInterval, func() { sim.tick(h) })
}

// limit returns the maximum number of requests that a host may have in flight at an engine. It
// is 0 while the engine is out of service, and the host's quota of the concurrency limit while
// the engine is cold. The engine counts as warm once that limit reaches its maximum batch size.
func (sim *simulation) limit(h *hostState, engine int) int {
	v := &h.views[engine]
	if v.outOfService {
		return 0
	}
	if !v.cold {
		return 1 << 20
	}
	concurrency := coldLimit
	if v.hasReport {
		for uint64(concurrency) <= v.report.Completed {
			concurrency *= 2
		}
	}
	if concurrency >= enginemodel.DefaultMaxRunning {
		v.cold = false
	}
	slots := 0
	for i := range concurrency {
		if hash(uint64(engine), uint64(i))%uint64(len(sim.hosts)) == uint64(h.index) {
			slots++
		}
	}
	return slots
}

// hash maps small integers to well-distributed values.
func hash(parts ...uint64) uint64 {
	x := uint64(0x9e3779b97f4a7c15)
	for _, p := range parts {
		x = (x ^ p) * 0xbf58476d1ce4e5b9
		x ^= x >> 29
	}
	return x
}

// send dispatches a request to an engine, which receives it after the one-way latency.
func (sim *simulation) send(h *hostState, q *request, engine int) {
	q.engine = engine
	v := &h.views[engine]
	v.inFlight++
	v.sentAt = append(v.sentAt, sim.now)
	sim.after(sim.delay(h, engine), func() { sim.submit(h, q, engine) })
}

func (sim *simulation) submit(h *hostState, q *request, engine int) {
	sim.advance(engine)
	wasUp := sim.engines[engine].Up()
	lost, err := sim.engines[engine].Submit(enginemodel.Request{
		ID: q.id, Prompt: q.prompt, Output: q.output, Prefix: q.prefix, PrefixTokens: q.prefixTokens,
		Priority: classes[q.class].priority}, sim.now)
	if err != nil {
		h.views[engine].outOfService = true
		sim.handleLost(q)
		return
	}
	if wasUp && !sim.engines[engine].Up() {
		sim.recorder.overloadCrashes++
	}
	sim.handleEvents(engine, lost)
	sim.scheduleStep(engine)
}

// scheduleStep queues an event for the end of the engine's current step.
func (sim *simulation) scheduleStep(engine int) {
	at, ok := sim.engines[engine].NextAt()
	if !ok || sim.scheduledStep[engine].Equal(at) {
		return
	}
	sim.scheduledStep[engine] = at
	sim.after(at.Sub(sim.now), func() {
		if sim.scheduledStep[engine].Equal(sim.now) {
			sim.advance(engine)
			sim.scheduleStep(engine)
		}
	})
}

func (sim *simulation) advance(engine int) {
	sim.handleEvents(engine, sim.engines[engine].Advance(sim.now))
}

func (sim *simulation) handleEvents(engine int, events []enginemodel.Event) {
	for _, e := range events {
		q := sim.requests[e.ID]
		switch e.Kind {
		case enginemodel.Token:
			sim.recorder.token(sim, q, e.At)
			if sim.scenario.observe != nil {
				sim.scenario.observe(sim, q, e.At)
			}
			q.delivered++
			q.lastTokenAt = e.At
			sim.hosts[q.host].policy.token(q)
		case enginemodel.Finished:
			sim.finish(q)
			sim.release(q)
		case enginemodel.Lost:
			sim.handleLost(q)
		}
	}
}

// release removes a request from the in-flight requests of its host.
func (sim *simulation) release(q *request) {
	h := sim.hosts[q.host]
	h.views[q.engine].inFlight--
	h.policy.ended(q)
}

func (sim *simulation) finish(q *request) {
	q.done = true
	sim.unfinished--
}

// handleLost ends a request whose engine has stopped, or retries it if no token was delivered.
// The host sees that its connection was refused or broken and stops using the engine.
func (sim *simulation) handleLost(q *request) {
	h := sim.hosts[q.host]
	h.views[q.engine].outOfService = true
	sim.release(q)
	if q.delivered > 0 {
		q.interrupted = true
		sim.finish(q)
		return
	}
	q.attempted = append(q.attempted, q.engine)
	h.policy.arrive(q)
}

// reject ends a request that was not executed (verdict not_run).
func (sim *simulation) reject(q *request) {
	q.rejected = true
	sim.finish(q)
}

// setOutOfService takes an engine out of service or returns it. Each host receives the change
// after a random delay of up to maxConfigDelay.
func (sim *simulation) setOutOfService(engine int, outOfService bool) {
	for _, h := range sim.hosts {
		sim.after(time.Duration(sim.rng.Int64N(int64(maxConfigDelay))), func() { h.views[engine].outOfService = outOfService })
	}
}

// restart starts a stopped engine cold and returns it to service.
func (sim *simulation) restart(engine int) {
	sim.engines[engine].Start(sim.now)
	sim.recorder.restarts++
	for _, h := range sim.hosts {
		h.views[engine].hasReport, h.views[engine].cold = false, true
	}
	sim.setOutOfService(engine, false)
}
