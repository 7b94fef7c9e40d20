package forward

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// LearnMode decides for which services the capacity of the servers is learned.
type LearnMode string

const (
	// LearnAuto learns it for the services of which a server has stated its pace. It is the default.
	LearnAuto LearnMode = "auto"
	// LearnOn learns it for all services.
	LearnOn LearnMode = "on"
	// LearnOff learns it for none.
	LearnOff LearnMode = "off"
)

const (
	// paceInterval is the time between two updates of the momentary slow-downs, which last 300 ms, and of the loads that samples
	// refer to.
	paceInterval = 100 * time.Millisecond
	// estimateInterval is the time between two updates of the speeds and limits of a service. It is longer for services of many
	// servers, by estimateTime for each, so that it takes less than half a percent of a core.
	estimateInterval = 500 * time.Millisecond
	estimateTime     = time.Millisecond
	// gapSampleInterval is the time over which a generation's gaps are averaged to a sample.
	gapSampleInterval = 500 * time.Millisecond
	// wholeSampleEvents is the number of events from which a sample counts fully.
	wholeSampleEvents = 4
	// maxPendingSamples limits the samples of a server that wait for the next update; more do not improve the estimate.
	maxPendingSamples = 64
	// maxPaceReports limits the processes that a host reports, which cost some 80 bytes each in a datagram of 60 KB.
	maxPaceReports = 128
	// gapKind is the kind of samples from the gaps of generations; those of responses are named by their route.
	gapKind = "gap"
	// slowSpeed is the speed from which a server counts as slow, and speedStep the ratio of two speeds that are logged.
	slowSpeed, speedStep = 1.25, 1.25
	// At most maxSpeedLines speeds are logged in an update, and those of one server speedLogInterval apart.
	maxSpeedLines    = 4
	speedLogInterval = 5 * time.Second
)

// paces collects the measurements of servers. Requests only use the maps that need no lock and the lock of one server.
type paces struct {
	mode  LearnMode
	clock func() time.Duration
	// active has the services whose capacity is learned, and servers the *serverPace by process.
	active, servers sync.Map
	// slow is the number of slow servers by the newest estimates, and reports are the measurements of this host for the others.
	slow    atomic.Int64
	reports atomic.Pointer[[]pace.Report]
	// snapshot is the newest one, and peers are the measurements of the other hosts.
	snapshot atomic.Pointer[directory.Snapshot]
	peers    atomic.Pointer[map[serverstate.Process]pace.Report]

	// mu guards the rest. It is not held together with balancers.mu: an update takes tens of milliseconds for thousands of servers.
	mu       sync.Mutex
	learners map[string]*serviceLearner
	// retained is the snapshot whose processes the learners have.
	retained *directory.Snapshot
}

// serviceLearner is the learner of a service and its results.
type serviceLearner struct {
	*pace.Learner
	updated   time.Time
	estimates map[serverstate.Process]pace.Estimate
	reports   []pace.Report
	logged    map[serverstate.Process]loggedSpeed
	// slow is the number of slow servers.
	slow int64
}

type loggedSpeed struct {
	speed float64
	at    time.Time
}

// serverPace is what was measured of a process since the last update.
type serverPace struct {
	service string
	process serverstate.Process
	// step is the step of load, and coldUntil the end of the cold start in nanoseconds on Options.Clock.
	step      atomic.Int32
	coldUntil atomic.Int64

	mu       sync.Mutex
	samples  []pace.Sample
	stated   int
	statedAt time.Time
}

func newPaces(opts Options) *paces {
	return &paces{mode: LearnMode(cmp.Or(string(opts.LearnCapacity), string(LearnAuto))), clock: opts.Clock, learners: map[string]*serviceLearner{}}
}

// learns reports whether the capacity of a service's servers is learned.
func (ps *paces) learns(service string) bool {
	switch ps.mode {
	case LearnOff:
		return false
	case LearnOn:
		return true
	}
	_, active := ps.active.Load(service)
	return active
}

// server returns the measurements of a process; nil if the snapshot does not have it.
func (ps *paces) server(snapshot *directory.Snapshot, p serverstate.Process) *serverPace {
	if s, known := ps.servers.Load(p); known {
		return s.(*serverPace)
	}
	listed := snapshot.Servers[p.ID]
	if listed == nil || listed.StartTime != p.StartTime {
		return nil
	}
	created := &serverPace{service: listed.Service, process: p}
	created.coldUntil.Store(int64(listed.ColdUntil))
	s, _ := ps.servers.LoadOrStore(p, created)
	return s.(*serverPace)
}

// observeStatedPace records the pace that a server stated in an answer, and activates learning for its service.
func (g *Gateway) observeStatedPace(server balance.Server, percent int, now time.Time) {
	ps := g.balancers.paces
	if percent == 0 || ps.mode == LearnOff {
		return
	}
	s := ps.server(g.opts.Directory.Snapshot(), server.Process())
	if s == nil {
		return
	}
	if _, active := ps.active.LoadOrStore(s.service, struct{}{}); !active {
		g.opts.Log.Info().Str("service", s.service).Str("backend", server.ID).Msg("a backend server states its pace, learning the capacity of its service")
	}
	s.mu.Lock()
	s.stated, s.statedAt = percent, now
	s.mu.Unlock()
}

// samplePace records a measurement of a server, unless the capacity of its service is not learned or it is cold.
func (g *Gateway) samplePace(server balance.Server, service string, sample pace.Sample) {
	ps := g.balancers.paces
	if !ps.learns(service) {
		return
	}
	s := ps.server(g.opts.Directory.Snapshot(), server.Process())
	if s == nil || ps.clock() < time.Duration(s.coldUntil.Load()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) < maxPendingSamples {
		sample.Process, sample.Step = s.process, int(s.step.Load())
		s.samples = append(s.samples, sample)
	}
}

// gapSampler measures the gaps between the events of a generation.
type gapSampler struct {
	server balance.Server
	// since is the time of the event before the first gap of the sample; zero before the first event.
	since time.Time
	gaps  int
	// last is the time of the newest event, and late is set if a gap was later than the objective of the route.
	last time.Time
	late bool
}

// samplePace counts an event that arrived at now. A sample ends after gapSampleInterval.
func (s *stream) samplePace(now time.Time) {
	g := &s.gapSampler
	if g.since.IsZero() {
		s.startGaps(now)
		return
	}
	if objective := s.r.route.GapObjective; objective > 0 && now.Sub(g.last) > objective {
		g.late = true
	}
	g.last = now
	if g.gaps++; now.Sub(g.since) >= gapSampleInterval {
		s.endGaps(now)
		s.startGaps(now)
	}
}

func (s *stream) startGaps(now time.Time) {
	s.gapSampler = gapSampler{server: s.generation.currentServer(), since: now, last: now}
}

// endGaps records the gaps since the last sample. Those during a change of the engine say nothing of either.
func (s *stream) endGaps(now time.Time) {
	g := &s.gapSampler
	if g.gaps == 0 || s.generation.currentServer().Process() != g.server.Process() {
		return
	}
	sample := pace.Sample{Kind: gapKind, Value: (now.Sub(g.since) / time.Duration(g.gaps)).Seconds(), Weight: min(1, float64(g.gaps)/wholeSampleEvents)}
	if s.r.route.GapObjective > 0 {
		sample.Gaps.Events = float64(g.gaps)
	}
	if g.late {
		sample.Gaps.Late = 1
	}
	s.r.g.samplePace(g.server, s.r.service, sample)
}

// expectedEvents returns the number of events that a generation is expected to have; 0 if the route has no objective for the gaps.
func (r *request) expectedEvents() int {
	engine := r.g.balancers.engineConfig(r.service)
	if r.route.GapObjective == 0 || engine == nil {
		return 0
	}
	return r.outputTokens / max(1, engine.EventTokens)
}

// currentServer returns the engine where the generation runs.
func (gen *generation) currentServer() balance.Server {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.reservation.server
}

// sampleResponse records the time to a response. The round trip to another region takes longer than many responses, so that only
// servers of the host's region are compared.
func (r *request) sampleResponse(server balance.Server, d time.Duration) {
	if server.Region == r.g.opts.Region && r.g.balancers.paces.learns(r.service) {
		r.g.samplePace(server, r.service, pace.Sample{Kind: "route " + r.route.Name, Value: d.Seconds(), Weight: 1})
	}
}

// LearnCapacity updates what is known of the servers until ctx ends.
func (g *Gateway) LearnCapacity(ctx context.Context) {
	if g.balancers.paces.mode == LearnOff {
		return
	}
	for wait.For(ctx, paceInterval) {
		g.balancers.updatePaces(time.Now(), g.opts.Log)
	}
}

// updatePaces passes the measurements since the last update on to the learners, and their results to the balancers.
func (bs *balancers) updatePaces(now time.Time, log zerolog.Logger) {
	servers := bs.learnedServers()
	ps := bs.paces
	ps.mu.Lock()
	slowdowns := ps.observe(now)
	ps.retain()
	var changed []string
	for name, list := range servers {
		if l := ps.learner(name); now.Sub(l.updated) >= max(estimateInterval, time.Duration(len(list))*estimateTime) {
			l.update(now, ps.reportsOf(list))
			l.logSpeeds(now, name, log)
			changed = append(changed, name)
		}
	}
	estimates := make(map[string]map[serverstate.Process]pace.Estimate, len(changed))
	for _, name := range changed {
		estimates[name] = ps.learners[name].estimates
	}
	if len(changed) > 0 {
		ps.publish()
	}
	ps.mu.Unlock()

	bs.mu.Lock()
	defer bs.mu.Unlock()
	for name, e := range estimates {
		bs.services[name].setPaces(e)
	}
	for s, slowdown := range slowdowns {
		if service := bs.services[s.service]; service != nil {
			service.setSlowdown(s.process, slowdown)
		}
	}
}

// learnedServers returns the servers of the services whose capacity is learned, and updates the loads that samples refer to.
func (bs *balancers) learnedServers() map[string][]balance.Server {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	servers := map[string][]balance.Server{}
	for name, s := range bs.services {
		if bs.paces.learns(name) {
			servers[name] = s.servers
		}
	}
	if len(servers) == 0 {
		return nil
	}
	bs.paces.servers.Range(func(_, value any) bool {
		s := value.(*serverPace)
		if service := bs.services[s.service]; service != nil {
			s.step.Store(int32(pace.Step(service.balancer.Share(s.process.ID))))
		}
		return true
	})
	return servers
}

// observe passes measurements on to the learners, and returns the momentary slow-downs of the servers that stated their pace
// lately. mu must be held.
func (ps *paces) observe(now time.Time) map[*serverPace]float64 {
	slowdowns := map[*serverPace]float64{}
	ps.servers.Range(func(_, value any) bool {
		s := value.(*serverPace)
		if !ps.learns(s.service) {
			return true
		}
		s.mu.Lock()
		samples, stated, statedAt := s.samples, s.stated, s.statedAt
		s.samples, s.stated = nil, 0
		s.mu.Unlock()
		l := ps.learner(s.service)
		if stated > 0 {
			l.State(s.process, stated, statedAt)
		}
		for _, sample := range samples {
			l.Observe(sample, now)
		}
		if now.Sub(statedAt) < estimateInterval {
			slowdowns[s] = l.Slowdown(s.process, now)
		}
		return true
	})
	return slowdowns
}

// update updates the estimates.
func (l *serviceLearner) update(now time.Time, peers []pace.Report) {
	l.updated = now
	l.SetPeers(peers)
	l.Update(now)
	l.estimates, l.reports = l.Estimates(now), l.Reports()
}

// publish updates what is read without mu: the number of slow servers, and the measurements for the other hosts, those of the
// processes with the most samples. mu must be held.
func (ps *paces) publish() {
	slow := int64(0)
	var list []pace.Report
	for _, l := range ps.learners {
		slow += l.slow
		list = append(list, l.reports...)
	}
	ps.slow.Store(slow)
	if len(list) > maxPaceReports {
		slices.SortFunc(list, func(a, b pace.Report) int { return cmp.Compare(b.Total(), a.Total()) })
		list = list[:maxPaceReports]
	}
	slices.SortFunc(list, func(a, b pace.Report) int { return cmp.Compare(a.ID, b.ID) })
	ps.reports.Store(&list)
}

func (s *serviceState) setPaces(estimates map[serverstate.Process]pace.Estimate) {
	s.balancer.SetPaces(estimates)
	if s.placed != nil {
		s.placed.SetPaces(estimates)
	}
}

func (s *serviceState) setSlowdown(p serverstate.Process, slowdown float64) {
	s.balancer.SetSlowdown(p, slowdown)
	if s.placed != nil {
		s.placed.SetSlowdown(p, slowdown)
	}
}

func (ps *paces) learner(service string) *serviceLearner {
	l := ps.learners[service]
	if l == nil {
		l = &serviceLearner{Learner: pace.New(), logged: map[serverstate.Process]loggedSpeed{}}
		ps.learners[service] = l
	}
	return l
}

// reportsOf returns the measurements of the other hosts of some servers.
func (ps *paces) reportsOf(servers []balance.Server) (list []pace.Report) {
	peers := ps.peers.Load()
	if peers == nil {
		return nil
	}
	for _, s := range servers {
		if r, known := (*peers)[s.Process()]; known {
			list = append(list, r)
		}
	}
	return list
}

// setPeers replaces the measurements of the other hosts.
func (ps *paces) setPeers(reports []pace.Report) {
	if ps.mode == LearnOff {
		return
	}
	peers := make(map[serverstate.Process]pace.Report, len(reports))
	for _, r := range reports {
		peers[r.Process] = r
	}
	ps.peers.Store(&peers)
}

// ownReports returns the measurements of this host for the others.
func (ps *paces) ownReports() []pace.Report {
	if list := ps.reports.Load(); list != nil {
		return *list
	}
	return nil
}

// retain drops the processes that the newest snapshot does not have. mu must be held.
func (ps *paces) retain() {
	now := ps.snapshot.Load()
	if now == nil || now == ps.retained {
		return
	}
	ps.retained = now
	keep := func(p serverstate.Process) bool {
		s := now.Servers[p.ID]
		return s != nil && s.StartTime == p.StartTime
	}
	ps.servers.Range(func(key, value any) bool {
		if p := key.(serverstate.Process); !keep(p) {
			ps.servers.Delete(p)
		} else {
			value.(*serverPace).coldUntil.Store(int64(now.Servers[p.ID].ColdUntil))
		}
		return true
	})
	for _, l := range ps.learners {
		l.Retain(keep)
		maps.DeleteFunc(l.logged, func(p serverstate.Process, _ loggedSpeed) bool { return !keep(p) })
	}
}

// logSpeeds counts the slow servers and logs the speeds that have changed.
func (l *serviceLearner) logSpeeds(now time.Time, service string, log zerolog.Logger) {
	lines := 0
	l.slow = 0
	for p, e := range l.estimates {
		if e.Speed >= slowSpeed {
			l.slow++
		}
		if lines < maxSpeedLines && l.logSpeed(p, e, now, service, log) {
			lines++
		}
	}
}

// logSpeed logs a speed that has changed by a step, and reports whether it did. Only hosts that measure the server log it: with
// all hosts, a day of 142 hosts had 5,000 lines.
func (l *serviceLearner) logSpeed(p serverstate.Process, e pace.Estimate, now time.Time, service string, log zerolog.Logger) bool {
	last, known := l.logged[p]
	if !known {
		last.speed = 1
	}
	if math.Abs(math.Log2(e.Speed/last.speed)) < math.Log2(speedStep) || now.Sub(last.at) < speedLogInterval || now.Sub(e.SampledAt) > speedLogInterval {
		return false
	}
	l.logged[p] = loggedSpeed{e.Speed, now}
	log.Info().Str("service", service).Str("backend", p.ID).Float64("speed", e.Speed).Float64("former", last.speed).
		Float64("limit", e.Limit).Float64("late_rate", e.LateRate).Float64("samples", e.Samples).Msg("learned speed of a backend server changed")
	return true
}

// PaceState is what was learned of a server, for the state dump.
type PaceState struct {
	Service string  `json:"service"`
	Backend string  `json:"backend"`
	Speed   float64 `json:"speed"`
	// Slowdown is that of this moment, in addition to Speed.
	Slowdown float64 `json:"slowdown"`
	Limit    float64 `json:"limit"`
	// LateRate is the number of spells with late gaps per event.
	LateRate float64 `json:"late_rate"`
	Samples  float64 `json:"samples"`
	// AgeMS is the age of this host's last sample; -1 for none.
	AgeMS int64 `json:"age_ms"`
}

// Paces returns what was learned of the servers, ordered by service and server.
func (g *Gateway) Paces() []PaceState {
	ps, now := g.balancers.paces, time.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	list := []PaceState{}
	for service, l := range ps.learners {
		for p, e := range l.estimates {
			age := int64(-1)
			if !e.SampledAt.IsZero() {
				age = now.Sub(e.SampledAt).Milliseconds()
			}
			list = append(list, PaceState{Service: service, Backend: p.ID, Speed: e.Speed, Slowdown: e.Slowdown, Limit: e.Limit, LateRate: e.LateRate, Samples: e.Samples, AgeMS: age})
		}
	}
	slices.SortFunc(list, func(a, b PaceState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend))
	})
	return list
}

// learnedServices returns for each service of the snapshot whether the capacity of its servers is learned.
func (bs *balancers) learnedServices() map[string]bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	out := make(map[string]bool, len(bs.services))
	for name := range bs.services {
		out[name] = bs.paces.learns(name)
	}
	return out
}
