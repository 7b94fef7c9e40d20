package dispatch

import (
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/length"
	"monsoonkeel.example/monsoonkeel/core/schedule"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

const (
	// serviceEstimate is the expected time from dispatch to the first token.
	serviceEstimate = 150 * time.Millisecond
	// localWait is how long a request waits for capacity in its own region
	// before other regions are used, whose links are slow and billed.
	localWait = 300 * time.Millisecond
	// maxPrefill limits a host's concurrent prefills at an engine, since a
	// prefill delays the tokens of all running generations.
	maxPrefill = 1
	// workSmoothing is the weight of a new request in meanWork.
	workSmoothing = 0.01
	// defaultStepMS is the decode step time in ms assumed until an engine
	// reports one.
	defaultStepMS = 20
)

// Dispatcher admits the requests of one service and assigns them to backend
// servers.
type Dispatcher struct {
	opt      Options
	lengths  *length.Model
	queue    *admit.Queue
	headroom schedule.Headroom

	// servers may receive new requests. removed ones may not, but still run
	// requests of this host; their trackers are kept in case they are listed
	// again.
	servers        []*server
	removed        []*server
	byID           map[string]*server
	candidates     []schedule.Candidate
	waiting        map[uint64]*Request
	running        map[uint64]*inFlightRequest
	prefixes       prefixIndex
	cachedPrefixes []schedule.CachedPrefix
	// attempted are the indexes of the backend servers at which the request being
	// placed failed.
	attempted []int
	// assumedPrefills are the buffered requests that count as prefilling, in the order
	// of ends; some may have ended.
	assumedPrefills []assumedPrefill
	// gapMS is the lowest token gap target of the running requests, in
	// milliseconds; 0 means none.
	gapMS int
	// warm is the number of warm backend servers.
	warm int
	// meanWork is the exponentially weighted mean of the estimated work of
	// offered requests.
	meanWork float64
	hosts    int
	seed     uint64
	out      []Outcome
	// refusals are the backend servers that refuse requests of this host for a time.
	refusals *serverstate.Refusals
	// first is the shortage of the first queued request when it was last considered; zero if none waits.
	first Shortage
	// drainedAt is the time of the last Drain.
	drainedAt time.Time
}

type server struct {
	Server
	tracker *schedule.Tracker
	step    schedule.StepModel
	stepMS  float64
	share   float32
}

type inFlightRequest struct {
	request  Request
	server   *server
	sent     time.Time
	produced int
	estimate float64
	// uncached is the number of prompt tokens that the engine is expected to
	// prefill.
	uncached int
}

// assumedPrefill is the prefill of a request whose tokens are not observed.
type assumedPrefill struct {
	id   uint64
	ends time.Time
}

// New returns a Dispatcher without backend servers.
func New(opt Options) *Dispatcher {
	d := &Dispatcher{
		opt: opt, lengths: length.NewModel(), queue: admit.NewQueue(), byID: map[string]*server{},
		waiting: map[uint64]*Request{}, running: map[uint64]*inFlightRequest{}, prefixes: newPrefixIndex(), hosts: 1, seed: opt.Seed,
	}
	d.refusals = serverstate.NewRefusals(d.random)
	return d
}

// SetServers replaces the backend servers that may receive new requests, sorted
// by region and id. position is the index of this host among hosts, sorted the
// same way. Requests in flight for this host remain counted at a backend server
// that is listed again with the same incarnation.
func (d *Dispatcher) SetServers(servers []Server, position, hosts int) {
	d.hosts = hosts
	before := slices.Concat(d.servers, d.removed)
	d.servers, d.removed = d.servers[:0], d.removed[:0]
	byID := make(map[string]*server, len(servers))
	for _, s := range servers {
		current := d.byID[s.ID]
		if current == nil || current.Incarnation != s.Incarnation {
			current = &server{tracker: schedule.NewTracker()}
		}
		current.Server = s
		byID[s.ID] = current
		d.servers = append(d.servers, current)
	}
	for _, s := range before {
		if byID[s.ID] == nil && s.tracker.InFlight() > 0 {
			s.share = 0
			byID[s.ID] = s
			d.removed = append(d.removed, s)
		}
	}
	d.byID = byID
	// A process that is not listed may be listed again.
	d.refusals.Retain(func(p serverstate.Process) bool {
		listed, same := d.isListed(p)
		return same || !listed
	})
	d.candidates = append(d.candidates[:0], make([]schedule.Candidate, len(servers))...)
	d.assignShares(position)
}

// assignShares computes this host's shares of the warm backend servers.
func (d *Dispatcher) assignShares(position int) {
	d.warm = 0
	for _, s := range d.servers {
		if s.Warm {
			d.warm++
		}
	}
	at := 0
	for _, s := range d.servers {
		s.share = 0
		if s.Warm {
			s.share = schedule.Share(position, d.hosts, at, d.warm)
			at++
		}
	}
}

// ApplyReport applies a load report of a backend server; reports of untracked
// servers and of other incarnations are ignored.
func (d *Dispatcher) ApplyReport(id string, r schedule.Report, now time.Time) {
	s := d.byID[id]
	if s == nil || r.Incarnation != s.Incarnation {
		return
	}
	if n := s.tracker.ApplyReport(r, now); n > 0 {
		d.headroom.RecordPreemptions(n, now)
	}
	s.step.Observe(r.Running, r.StepMS)
	s.stepMS = r.StepMS
}

// Offer decides about a new request. After admit.Wait, a later Drain returns
// the decision.
func (d *Dispatcher) Offer(r Request, now time.Time) Outcome {
	if after, refused := d.refusedFor(&r, now); refused {
		return d.reject(&r, after, now)
	}
	if len(r.Attempted) > 0 && !d.hasUnattempted(r.Attempted) {
		return d.reject(&r, time.Second, now)
	}
	d.endAssumedPrefills(now)
	dist := d.lengths.Dist(r.Class, r.Team)
	estimate := d.estimate(&r, &dist)
	d.observeWork(estimate)
	s := d.pick(&r, &dist, scopeOf(now.Sub(r.Arrival)), now)
	decision := d.queue.Offer(item(&r, estimate), s != nil, now)
	switch decision.Action {
	case admit.Dispatch:
		return d.assign(&r, s, &dist, estimate, now)
	case admit.Wait:
		d.waiting[r.ID] = &r
		return Outcome{ID: r.ID, Action: admit.Wait}
	}
	// Another region may still meet the target.
	if s = d.pick(&r, &dist, allRegions, now); s != nil {
		return d.assign(&r, s, &dist, estimate, now)
	}
	return d.reject(&r, decision.RetryAfter, now)
}

func (d *Dispatcher) reject(r *Request, after time.Duration, now time.Time) Outcome {
	shortages := Shortages{Rejected: d.shortage(r, allRegions, now), First: d.first}
	if !d.drainedAt.IsZero() {
		shortages.SinceDrain = now.Sub(d.drainedAt)
	}
	return Outcome{ID: r.ID, Action: admit.Reject, RetryAfter: after, Shortages: shortages}
}

// observeWork adds the estimated work of a request to meanWork.
func (d *Dispatcher) observeWork(estimate float64) {
	if d.meanWork == 0 {
		d.meanWork = estimate
	}
	d.meanWork += workSmoothing * (estimate - d.meanWork)
}

func (d *Dispatcher) estimate(r *Request, dist *length.Dist) float64 {
	if !d.opt.Engine {
		return 1
	}
	return float64(d.uncached(r)) + dist.MeanRemaining(0)
}

// uncached returns the number of prompt tokens of r that the engine is expected
// to prefill. A prefix that this host sent before is assumed to be cached.
func (d *Dispatcher) uncached(r *Request) int {
	if r.Prefix == 0 || len(d.prefixes.servers(r.Prefix)) == 0 {
		return r.PromptTokens
	}
	return max(r.PromptTokens-r.PrefixTokens, 0)
}

func item(r *Request, estimate float64) admit.Item {
	return admit.Item{
		ID: r.ID, Class: r.Class, Team: r.Team, Priority: r.Priority, Arrival: r.Arrival,
		Target: r.Target, Deadline: r.Deadline, ServiceTime: min(serviceEstimate, r.Target/4), Tokens: estimate,
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (d *Dispatcher) Cancel(id uint64) bool {
	delete(d.waiting, id)
	return d.queue.Cancel(id)
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// InFlight returns the number of this host's requests in flight at a backend
// server.
func (d *Dispatcher) InFlight(id string) int {
	if s := d.byID[id]; s != nil {
		return s.tracker.InFlight()
	}
	return 0
}

// HasShareOrLoad reports whether this host has a share of a backend server or
// requests in flight there.
func (d *Dispatcher) HasShareOrLoad(id string) bool {
	s := d.byID[id]
	return s != nil && (s.share > 0 || s.tracker.InFlight() > 0)
}

// Progress sets the number of tokens that a running request has produced;
// unknown ids are ignored.
func (d *Dispatcher) Progress(id uint64, produced int) {
	if r := d.running[id]; r != nil {
		r.produced = produced
		r.server.tracker.Progress(id, produced)
	}
}

// Ended records the end of a running request. An incomplete generation does not
// correct the predicted output lengths and the team's charge, since its length
// does not show what the engine would have produced.
func (d *Dispatcher) Ended(id uint64, complete bool, now time.Time) {
	r := d.running[id]
	if r == nil {
		return
	}
	delete(d.running, id)
	r.server.tracker.Ended(id, now)
	if !complete || !d.opt.Engine {
		return
	}
	if !r.request.Buffered {
		d.lengths.Observe(r.request.Class, r.request.Team, r.produced)
	}
	d.queue.AdjustCharge(r.request.Team, r.estimate, float64(r.uncached+r.produced))
}

// Refresh recomputes the predicted KV cache demand; it is called several times
// a second.
func (d *Dispatcher) Refresh(now time.Time) {
	d.advanceBuffered(now)
	d.gapMS = 0
	for _, r := range d.running {
		d.gapMS = tighterTarget(d.gapMS, r.request.TokenGapMS)
	}
	var sum schedule.Survival
	n := 0
	for _, list := range [][]*server{d.servers, d.removed} {
		for _, s := range list {
			n += s.tracker.AddSurvival(&sum)
		}
	}
	for i := range sum {
		if n > 0 {
			sum[i] /= float32(n)
		}
	}
	for _, s := range d.servers {
		s.tracker.Refresh(&sum, now)
	}
}

// endAssumedPrefills lets the requests whose tokens are not observed count as
// prefilling no longer once their first token is expected.
func (d *Dispatcher) endAssumedPrefills(now time.Time) {
	n := 0
	for ; n < len(d.assumedPrefills) && !now.Before(d.assumedPrefills[n].ends); n++ {
		if r := d.running[d.assumedPrefills[n].id]; r != nil && r.produced == 0 {
			d.Progress(d.assumedPrefills[n].id, 1)
		}
	}
	d.assumedPrefills = slices.Delete(d.assumedPrefills, 0, n)
}

// advanceBuffered estimates the tokens produced by requests whose tokens are
// not observed, from their running time.
func (d *Dispatcher) advanceBuffered(now time.Time) {
	for id, r := range d.running {
		if !r.request.Buffered {
			continue
		}
		step := r.server.stepMS
		if step <= 0 {
			step = defaultStepMS
		}
		if elapsed := now.Sub(r.sent) - serviceEstimate; elapsed > 0 {
			d.Progress(id, 1+int(float64(elapsed.Milliseconds())/step))
		}
	}
}

func (d *Dispatcher) assign(r *Request, s *server, dist *length.Dist, estimate float64, now time.Time) Outcome {
	s.tracker.Sent(r.ID, r.PromptTokens, dist, now)
	if d.refusals.HasAny() {
		d.refusals.Take(s.process(), now)
	}
	d.gapMS = tighterTarget(d.gapMS, r.TokenGapMS)
	d.running[r.ID] = &inFlightRequest{request: *r, server: s, sent: now, estimate: estimate, uncached: d.uncached(r)}
	if r.Buffered {
		d.assumedPrefills = append(d.assumedPrefills, assumedPrefill{r.ID, now.Add(serviceEstimate)})
	}
	d.prefixes.record(r.Prefix, s.ID)
	return Outcome{ID: r.ID, Action: admit.Dispatch, Server: s.ID}
}
