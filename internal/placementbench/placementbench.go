// Package placementbench simulates, in virtual time, the engines of a region on which many entry hosts place
// generations, and compares how hosts choose an engine. Each host knows its own load at once and that of the others
// from digests, as in internal/gossip. It combines the engine model with the decisions of core/balance and core/quota.
package placementbench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/quota"
	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// Scenario describes a region and how its hosts choose engines.
type Scenario struct {
	Hosts, Engines int
	// PerSecond is the number of generations per second.
	PerSecond float64
	// LongShare is the part of them that are long ones.
	LongShare float64
	// Choices is that of balance.Settings.
	Choices int
	// RateLimit is the number of requests per second that all hosts may send to an engine, divided by core/quota; 0
	// for no limit.
	RateLimit float64
	// ReportInterval is the time between two reports of a host to the aggregator, and DigestInterval between two
	// digests. With Instant set, each host knows the load of all others at once.
	ReportInterval, DigestInterval time.Duration
	Instant                        bool
	// Placed is set if the aggregator chooses the engine. It knows all placements at once, and the rest of the load from
	// the reports.
	Placed bool
	// ReclaimInterval is the time between two reclaims of a sixth of the engines, whose generations are lost to the
	// model and whose places others take; 0 for none.
	ReclaimInterval time.Duration
	Length          time.Duration
	Seed            uint64
}

// Result has the times to first token and between events of the generations, seen at the engine.
type Result struct {
	Generations, Rejected int
	// FirstTokens are sorted.
	FirstTokens []time.Duration
	// LateFirst counts generations whose first token came later than the target, and LateGap those with a longer gap
	// between two events than the target.
	LateFirst, LateGap int
}

// Percentile returns a percentile of the time to first token.
func (r *Result) Percentile(p float64) time.Duration {
	if len(r.FirstTokens) == 0 {
		return 0
	}
	return r.FirstTokens[min(int(p/100*float64(len(r.FirstTokens))), len(r.FirstTokens)-1)]
}

const (
	// firstTarget and shortFirstTarget are the targets for the first token of long and short generations, and
	// gapTarget that for the gap between two events.
	firstTarget      = 1800 * time.Millisecond
	shortFirstTarget = 1500 * time.Millisecond
	gapTarget        = 190 * time.Millisecond
	// Lengths in tokens.
	meanLongPrompt, longPromptSpread   = 3079, 0.35
	meanLongOutput, longOutputSpread   = 468, 0.84
	meanShortPrompt, shortPromptSpread = 2550, 0.6
	meanShortOutput, shortOutputSpread = 8, 0.89
	maxPrompt                          = 6300
	eventTokens                        = enginemodel.ProductionEventTokens
	// engineBatch and engineBlocks are those of the engines of the largest deployment.
	engineBatch, engineBlocks, blockTokens = 24, 2104, 16
	// replacementDelay is the time from the end of a reclaimed engine to the start of another one.
	noticePeriod     = 1700 * time.Millisecond
	replacementDelay = 2500 * time.Millisecond
)

type host struct {
	id       string
	balancer *balance.Balancer
	division *quota.Hosts
	// reported is the load in the newest report.
	reported map[string]balance.Load
}

type engine struct {
	id          string
	model       *enginemodel.Engine
	terminating bool
}

type generation struct {
	host            *host
	engine          string
	long            bool
	submitted, last time.Duration
	prompt, output  int
	load, placed    balance.Load
	maxGap          time.Duration
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

type simulation struct {
	Scenario
	random      *rand.Rand
	now         time.Duration
	timers      timers
	seq         int
	hosts       []*host
	engines     []*engine
	generations map[uint64]*generation
	nextID      uint64
	nextEngine  int
	aggregate   map[string]balance.Load
	// placer chooses engines with Placed, and unreported are its placements that no report contains yet.
	placer     *balance.Balancer
	unreported map[*host][]*generation
	result     Result
}

// Simulate plays a scenario.
func Simulate(scenario Scenario) Result {
	s := &simulation{Scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 1)), generations: map[uint64]*generation{}, aggregate: map[string]balance.Load{}, unreported: map[*host][]*generation{}}
	s.start()
	for len(s.timers) > 0 {
		next := heap.Pop(&s.timers).(timer)
		if next.at > s.Length {
			break
		}
		s.now = next.at
		next.run()
	}
	slices.Sort(s.result.FirstTokens)
	return s.result
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.timers, timer{at: s.now + d, seq: s.seq, run: run})
}

func (s *simulation) clock() time.Time { return time.Unix(0, int64(s.now)) }

func (s *simulation) start() {
	members := map[string]fleet.Host{}
	for i := range s.Hosts {
		id := fmt.Sprint("host-", i)
		members[id] = fleet.Host{ID: id, Region: "west"}
	}
	for i := range s.Hosts {
		id := fmt.Sprint("host-", i)
		h := &host{id: id, balancer: balance.New(s.random.IntN, nil, nil), division: quota.NewHosts(id, "west", members, 1)}
		h.balancer.Configure(balance.Settings{Domain: "a", Region: "west", KVTokens: engineBlocks * blockTokens, Choices: s.Choices, Limited: s.RateLimit > 0})
		s.hosts = append(s.hosts, h)
		if !s.Instant {
			s.after(time.Duration(s.random.Int64N(int64(s.ReportInterval))), func() { s.report(h) })
		}
	}
	s.placer = balance.New(s.random.IntN, nil, nil)
	s.placer.Configure(balance.Settings{Domain: "a", Region: "west", KVTokens: engineBlocks * blockTokens, Limited: s.RateLimit > 0})
	for range s.Engines {
		s.addEngine()
	}
	s.setServers()
	if !s.Instant {
		s.after(0, s.digest)
	}
	s.arrive()
	if s.ReclaimInterval > 0 {
		s.after(s.ReclaimInterval, s.reclaim)
	}
}

func (s *simulation) addEngine() {
	params := enginemodel.ProductionParams()
	params.MaxRunning, params.Blocks = engineBatch, engineBlocks
	s.nextEngine++
	s.engines = append(s.engines, &engine{id: fmt.Sprint("engine-", s.nextEngine), model: enginemodel.New(params, s.Seed+uint64(s.nextEngine), s.clock())})
}

func (s *simulation) setServers() {
	for _, h := range s.hosts {
		var servers []balance.Server
		for _, e := range s.engines {
			if !e.terminating {
				server := balance.Server{ID: e.id, Domain: "a", Region: "west"}
				if s.RateLimit > 0 {
					server.PerSecond = h.division.Quota(e.id, "west", s.RateLimit)
				}
				servers = append(servers, server)
			}
		}
		h.balancer.SetServers(servers)
	}
	var servers []balance.Server
	for _, e := range s.engines {
		if !e.terminating {
			servers = append(servers, balance.Server{ID: e.id, Domain: "a", Region: "west", PerSecond: int(s.RateLimit / 5)})
		}
	}
	s.placer.SetServers(servers)
}

// reclaim ends a sixth of the engines after a notice.
func (s *simulation) reclaim() {
	s.after(s.ReclaimInterval, s.reclaim)
	for range s.Engines / 6 {
		live := slices.DeleteFunc(slices.Clone(s.engines), func(e *engine) bool { return e.terminating })
		if len(live) == 0 {
			return
		}
		e := live[s.random.IntN(len(live))]
		e.terminating = true
		s.after(noticePeriod, func() { s.end(e) })
	}
	s.setServers()
}

func (s *simulation) end(e *engine) {
	s.engines = slices.DeleteFunc(s.engines, func(o *engine) bool { return o == e })
	for id, g := range s.generations {
		if g.engine == e.id {
			s.finish(id, g)
		}
	}
	s.after(replacementDelay, func() {
		s.addEngine()
		s.setServers()
	})
}

// report copies the load of a host to the aggregator.
func (s *simulation) report(h *host) {
	s.after(s.ReportInterval, func() { s.report(h) })
	for id, l := range h.reported {
		s.aggregate[id] = minus(s.aggregate[id], l)
	}
	h.reported = h.balancer.OwnLoad()
	for id, l := range h.reported {
		s.aggregate[id] = s.aggregate[id].Plus(l)
	}
	for _, g := range s.unreported[h] {
		s.placer.RemoveLoad(g.engine, g.placed)
	}
	delete(s.unreported, h)
}

func (s *simulation) digest() {
	s.after(s.DigestInterval, s.digest)
	for _, h := range s.hosts {
		s.setPeerLoad(h, s.aggregate, h.reported)
	}
}

func (s *simulation) setPeerLoad(h *host, sum, own map[string]balance.Load) {
	loads := make(map[string]balance.Load, len(sum))
	for id, l := range sum {
		loads[id] = minus(l, own[id])
	}
	h.balancer.SetPeerLoad(loads)
}

func minus(a, b balance.Load) balance.Load {
	return a.Plus(balance.Load{Requests: -b.Requests, Tokens: -b.Tokens, Prefill: -b.Prefill})
}

func (s *simulation) lognormal(mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*s.random.NormFloat64()-spread*spread/2)))
}

func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.PerSecond*float64(time.Second)), s.arrive)
	g := &generation{host: s.hosts[s.random.IntN(len(s.hosts))], long: s.random.Float64() < s.LongShare, submitted: s.now}
	if g.long {
		g.prompt, g.output = s.lognormal(meanLongPrompt, longPromptSpread), s.lognormal(meanLongOutput, longOutputSpread)
	} else {
		g.prompt, g.output = s.lognormal(meanShortPrompt, shortPromptSpread), s.lognormal(meanShortOutput, shortOutputSpread)
	}
	g.prompt = min(g.prompt, maxPrompt)
	if s.Instant {
		sum := map[string]balance.Load{}
		for _, h := range s.hosts {
			for id, l := range h.balancer.OwnLoad() {
				sum[id] = sum[id].Plus(l)
			}
		}
		s.setPeerLoad(g.host, sum, g.host.balancer.OwnLoad())
	}
	s.result.Generations++
	g.load = balance.Load{Requests: 1, Tokens: g.prompt + g.output/2, Prefill: g.prompt}
	server, reason := s.choose(g)
	if reason != balance.Chosen {
		s.result.Rejected++
		return
	}
	g.engine = server.ID
	i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.id == server.ID })
	if _, err := s.engines[i].model.Submit(enginemodel.Request{ID: s.nextID, Prompt: g.prompt, Output: g.output}, s.clock()); err != nil {
		s.result.Rejected++
		return
	}
	g.host.balancer.AddRequest(server.ID, g.load, s.clock())
	s.generations[s.nextID] = g
	s.nextID++
	s.step(s.engines[i])
}

// choose chooses the engine of a generation.
func (s *simulation) choose(g *generation) (balance.Server, balance.Reason) {
	req := balance.Request{Tokens: g.load.Tokens, Prefill: g.prompt}
	if !s.Placed {
		return g.host.balancer.Pick(req, s.clock())
	}
	s.placer.SetPeerLoad(s.aggregate)
	server, reason := s.placer.Pick(req, s.clock())
	if reason == balance.Chosen {
		g.placed = g.load
		s.placer.AddRequest(server.ID, g.load, s.clock())
		s.unreported[g.host] = append(s.unreported[g.host], g)
	}
	return server, reason
}

// step schedules the end of an engine's step.
func (s *simulation) step(e *engine) {
	at, ok := e.model.NextAt()
	if !ok {
		return
	}
	s.after(at.Sub(s.clock()), func() {
		if due, ok := e.model.NextAt(); !ok || !due.Equal(s.clock()) {
			return
		}
		for _, event := range e.model.Advance(s.clock()) {
			s.handle(event)
		}
		s.step(e)
	})
}

func (s *simulation) handle(event enginemodel.Event) {
	g := s.generations[event.ID]
	switch {
	case g == nil || event.Kind != enginemodel.Token:
		return
	case event.Offset == 1:
		s.first(g)
	case event.Offset%eventTokens == 0:
		g.maxGap = max(g.maxGap, s.now-g.last)
		g.last = s.now
	}
	if event.Offset == g.output {
		s.finish(event.ID, g)
	}
}

func (s *simulation) first(g *generation) {
	target := shortFirstTarget
	if g.long {
		target = firstTarget
	}
	took := s.now - g.submitted
	s.result.FirstTokens = append(s.result.FirstTokens, took)
	if took > target {
		s.result.LateFirst++
	}
	g.last = s.now
	g.host.balancer.RemoveLoad(g.engine, balance.Load{Prefill: g.prompt})
	g.load.Prefill = 0
}

func (s *simulation) finish(id uint64, g *generation) {
	delete(s.generations, id)
	g.host.balancer.RemoveLoad(g.engine, g.load)
	if g.maxGap > gapTarget {
		s.result.LateGap++
	}
}
