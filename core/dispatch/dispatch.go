package dispatch

import (
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/length"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

const (
	// serviceEstimate is the expected time from placement to first token.
	serviceEstimate = 150 * time.Millisecond
	// localWait is how long a request waits for its own region before other
	// regions are used, whose links are slow and billed.
	localWait = 300 * time.Millisecond
	// maxPrefill bounds a host's concurrent prefills at an engine, since a
	// prefill delays the tokens of all running streams.
	maxPrefill = 1
	// workSmoothing is the weight of a new request in the mean work.
	workSmoothing = 0.01
	// defaultStepMS is the decode step assumed before an engine reports one.
	defaultStepMS = 20
)

// Server is a backend server that may get new work.
type Server struct {
	ID, Incarnation, Region, Domain string
	// Limit is the number of requests this host may have in flight there.
	Limit int
	// Warm says that the backend server is past its cold start. Only warm
	// ones are divided into shares.
	Warm bool
	// Capacity is the number of requests that it runs at once.
	Capacity int
}

// Request is a request that asks for a place.
type Request struct {
	// ID is unique among the requests of the dispatcher.
	ID          uint64
	Class, Team string
	Priority    int
	Arrival     time.Time
	// Target is the time-to-first-token target; 0 means none.
	Target time.Duration
	// TokenGapMS is the target for the time between tokens, in milliseconds; 0 means none.
	TokenGapMS int
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// PromptTokens is the length of the prompt in tokens; 0 for plain services.
	PromptTokens int
	// Prefix identifies the beginning of the prompt, PrefixTokens long, whose
	// cache a backend server may hold; 0 means none.
	Prefix       uint64
	PrefixTokens int
	// Buffered says that the tokens are not seen while they are produced, as in
	// an unstreamed answer.
	Buffered bool
	// Attempted lists backend servers that already failed the request.
	Attempted []string
}

// Outcome is the decision about a request.
type Outcome struct {
	ID     uint64
	Action admit.Action
	// Server is set for admit.Place.
	Server string
	// RetryAfter is set for admit.Refuse.
	RetryAfter time.Duration
}

// Options configure a Dispatcher.
type Options struct {
	// Region is the region of this host.
	Region string
	// Engine says that the service's backend servers are model engines.
	Engine bool
	Seed   uint64
}

// Dispatcher decides for one service.
type Dispatcher struct {
	opt     Options
	lengths *length.Model
	queue   *admit.Queue
	reserve schedule.Headroom

	// servers may get new work. departed ones may not, but still run requests
	// of this host; their trackers are kept in case they return.
	servers    []*server
	departed   []*server
	byID       map[string]*server
	candidates []schedule.Candidate
	waiting    map[uint64]*Request
	running    map[uint64]*run
	prefixes   prefixIndex
	holders    []schedule.CachedPrefix
	// gapMS is the tightest token gap target of the running requests, in
	// milliseconds; 0 means none.
	gapMS int
	// warm is the number of warm backend servers.
	warm int
	// meanWork is the decayed mean of the offered requests' estimated work.
	meanWork float64
	hosts    int
	seed     uint64
	out      []Outcome
}

type server struct {
	Server
	tracker *schedule.Tracker
	step    schedule.StepModel
	stepMS  float64
	share   float32
}

type run struct {
	request  Request
	server   *server
	sent     time.Time
	produced int
	estimate float64
	// uncached is the part of the prompt expected to be computed, in tokens.
	uncached int
}

// New returns a Dispatcher without backend servers.
func New(opt Options) *Dispatcher {
	return &Dispatcher{
		opt: opt, lengths: length.NewModel(), queue: admit.NewQueue(), byID: map[string]*server{},
		waiting: map[uint64]*Request{}, running: map[uint64]*run{}, prefixes: newPrefixIndex(), hosts: 1, seed: opt.Seed,
	}
}

// SetServers replaces the backend servers that may get new work, sorted by
// region and id. This host is number position of hosts, sorted the same way.
// A backend server that is listed again in the same incarnation still counts
// the requests that it runs for this host.
func (d *Dispatcher) SetServers(servers []Server, position, hosts int) {
	d.hosts = hosts
	before := slices.Concat(d.servers, d.departed)
	d.servers, d.departed = d.servers[:0], d.departed[:0]
	byID := make(map[string]*server, len(servers))
	for _, s := range servers {
		known := d.byID[s.ID]
		if known == nil || known.Incarnation != s.Incarnation {
			known = &server{tracker: schedule.NewTracker()}
		}
		known.Server = s
		byID[s.ID] = known
		d.servers = append(d.servers, known)
	}
	for _, s := range before {
		if byID[s.ID] == nil && s.tracker.InFlight() > 0 {
			s.share = 0
			byID[s.ID] = s
			d.departed = append(d.departed, s)
		}
	}
	d.byID = byID
	d.candidates = append(d.candidates[:0], make([]schedule.Candidate, len(servers))...)
	d.divide(position)
}

// divide computes this host's shares of the warm backend servers.
func (d *Dispatcher) divide(position int) {
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

// ApplyReport takes a load report of a backend server.
func (d *Dispatcher) ApplyReport(id string, r schedule.Report, now time.Time) {
	s := d.byID[id]
	if s == nil || r.Incarnation != s.Incarnation {
		return
	}
	if n := s.tracker.ApplyReport(r, now); n > 0 {
		d.reserve.RecordPreemptions(n, now)
	}
	s.step.Observe(r.Running, r.StepMS)
	s.stepMS = r.StepMS
}

// Offer decides about a new request. After admit.Wait a later Drain names it.
func (d *Dispatcher) Offer(r Request, now time.Time) Outcome {
	if len(r.Attempted) > 0 && !d.anyUntried(r.Attempted) {
		return Outcome{ID: r.ID, Action: admit.Reject, RetryAfter: time.Second}
	}
	dist := d.lengths.Dist(r.Class, r.Team)
	estimate := d.estimate(&r, &dist)
	d.observeWork(estimate)
	s := d.pick(&r, &dist, true, now)
	decision := d.queue.Offer(item(&r, estimate), s != nil, now)
	switch decision.Action {
	case admit.Dispatch:
		return d.place(&r, s, &dist, estimate, now)
	case admit.Wait:
		d.waiting[r.ID] = &r
		return Outcome{ID: r.ID, Action: admit.Wait}
	}
	// Another region may still meet the target.
	if s = d.pick(&r, &dist, false, now); s != nil {
		return d.place(&r, s, &dist, estimate, now)
	}
	return Outcome{ID: r.ID, Action: admit.Reject, RetryAfter: decision.RetryAfter}
}

// observeWork updates the mean work of a request.
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

// uncached is the part of r's prompt that is expected to be computed: a prefix
// that this host sent before is taken to be cached.
func (d *Dispatcher) uncached(r *Request) int {
	if r.Prefix == 0 || len(d.prefixes.holders(r.Prefix)) == 0 {
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

// Drain returns the waiting requests that can be placed now and those that can
// no longer meet their target. The result is valid until the next call.
func (d *Dispatcher) Drain(now time.Time) []Outcome {
	d.out = d.out[:0]
	for _, r := range d.queue.Rejected(now) {
		delete(d.waiting, r.Item.ID)
		d.out = append(d.out, Outcome{ID: r.Item.ID, Action: admit.Reject, RetryAfter: r.Decision.RetryAfter})
	}
	for {
		next, ok := d.queue.Peek(now)
		if !ok {
			return d.out
		}
		r := d.waiting[next.ID]
		dist := d.lengths.Dist(r.Class, r.Team)
		s := d.pick(r, &dist, now.Sub(r.Arrival) < localWait, now)
		if s == nil && len(r.Attempted) > 0 {
			// A retry whose other backend servers are full must not hold back
			// the requests behind it: one that failed it before may serve it.
			r.Attempted = nil
			s = d.pick(r, &dist, now.Sub(r.Arrival) < localWait, now)
		}
		if s == nil {
			return d.out
		}
		d.queue.Next(now)
		delete(d.waiting, r.ID)
		d.out = append(d.out, d.place(r, s, &dist, next.Tokens, now))
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (d *Dispatcher) Cancel(id uint64) bool {
	delete(d.waiting, id)
	return d.queue.Cancel(id)
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// InFlight returns the number of this host's requests at a backend server.
func (d *Dispatcher) InFlight(id string) int {
	if s := d.byID[id]; s != nil {
		return s.tracker.InFlight()
	}
	return 0
}

// HasShareOrLoad says whether this host has a share of a backend server or work there.
func (d *Dispatcher) HasShareOrLoad(id string) bool {
	s := d.byID[id]
	return s != nil && (s.share > 0 || s.tracker.InFlight() > 0)
}

// Progress records the number of tokens that a running request has produced.
func (d *Dispatcher) Progress(id uint64, produced int) {
	if r := d.running[id]; r != nil {
		r.produced = produced
		r.server.tracker.Progress(id, produced)
	}
}

// Ended records the end of a running request. Only the length of a complete
// generation says what the engine would have produced.
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

// Refresh predicts the memory demand anew; it is called several times a second.
func (d *Dispatcher) Refresh(now time.Time) {
	d.advanceOpaque(now)
	d.gapMS = 0
	for _, r := range d.running {
		d.gapMS = tighter(d.gapMS, r.request.TokenGapMS)
	}
	var sum schedule.Survival
	n := 0
	for _, list := range [][]*server{d.servers, d.departed} {
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

// advanceOpaque estimates the tokens of requests whose tokens are not seen
// from the time they run, so that they do not count as prefilling forever.
func (d *Dispatcher) advanceOpaque(now time.Time) {
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

func (d *Dispatcher) place(r *Request, s *server, dist *length.Dist, estimate float64, now time.Time) Outcome {
	s.tracker.Sent(r.ID, r.PromptTokens, dist, now)
	d.gapMS = tighter(d.gapMS, r.TokenGapMS)
	d.running[r.ID] = &run{request: *r, server: s, sent: now, estimate: estimate, uncached: d.uncached(r)}
	d.prefixes.placed(r.Prefix, s.ID)
	return Outcome{ID: r.ID, Action: admit.Dispatch, Server: s.ID}
}
