// Package movebench simulates, in virtual time, engines that are reclaimed on short notice
// and compares policies for migrating their generations. It combines the engine model, the
// links between engines and the decisions of core/balance and core/migrate.
package movebench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// Policy selects how generations leave an engine that received a termination notice.
type Policy int

// Policies of Simulate.
const (
	// NoMigration leaves generations at the terminating engine.
	NoMigration Policy = iota
	// StopForFinalCopy pre-copies the KV cache of a running generation, stops the
	// generation for the final copy, and then switches over to the target.
	StopForFinalCopy
	// ResumeFromPreCopy resumes the generation at the target after the pre-copy, while the
	// source still generates tokens.
	ResumeFromPreCopy
)

// String returns the policy name printed in tables.
func (p Policy) String() string {
	return [...]string{"no migration", "stop for final copy", "resume from pre-copy"}[p]
}

// Parameters of the simulated region.
const (
	// engineCount is the number of engines in the region.
	engineCount = 4
	// tokenBytes is the KV cache size of one token, and linkMbps the rate of an engine's
	// link in Mbit/s.
	tokenBytes = 18432
	linkMbps   = 2700
	// eventTokens is the number of tokens in a stream event.
	eventTokens = enginemodel.ProductionEventTokens
	// meanPrompt and meanOutput are the mean lengths of long generations, in tokens.
	meanPrompt = 3079
	meanOutput = 932
	// gapTarget is the longest gap between two events that is not counted as late.
	gapTarget = 180 * time.Millisecond
	// noticeInterval is the time between two termination notices, noticePeriod the time
	// from a notice to the end of the engine, and replacementDelay the time from there until
	// a new engine replaces it.
	noticeInterval   = 3300 * time.Millisecond
	noticePeriod     = 1600 * time.Millisecond
	replacementDelay = 4 * time.Second
	// localLatency and remoteLatency are one-way latencies between an engine and a host of
	// its own and of another region.
	localLatency  = time.Millisecond
	remoteLatency = 30 * time.Millisecond
	// remoteShare is the share of generations relayed by hosts of another region.
	remoteShare = 0.3
	// finalCopyTime is the link time reserved for the final copy of a generation, in
	// addition to the round trip to its host, as in an earlier version of core/migrate.
	finalCopyTime = 30 * time.Millisecond
	// retryDelay is the delay before a migration that found no target is retried, as in
	// internal/forward.
	retryDelay = 60 * time.Millisecond
	// tickInterval is the resolution of the simulation.
	tickInterval = time.Millisecond
)

// Result counts long generations by outcome. Late ones exceeded gapTarget between two
// events; Lost ones ended unfinished with their engine.
type Result struct{ Generations, Migrated, Late, Lost int }

// Simulate runs a region of four engines, one of which receives a termination notice every
// 3.3 s. Long generations arrive at perSecond on average.
func Simulate(policy Policy, perSecond float64, length time.Duration, seed uint64) Result {
	s := newSimulation(policy, seed)
	nextArrival := time.Duration(0)
	for s.now < length {
		for nextArrival <= s.now {
			s.arrive()
			nextArrival += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		}
		s.tick()
	}
	return s.result
}

type simulation struct {
	policy          Policy
	random          *rand.Rand
	now             time.Duration
	engines         []*engine
	generations     map[uint64]*generation
	timers          []timer
	nextID          uint64
	nextTerminating int // index of the engine that receives the next termination notice
	result          Result
}

type engine struct {
	model       *enginemodel.Engine
	terminating bool
	linkFreeAt  time.Duration
}

type generation struct {
	id                  uint64
	engine              int
	latency             time.Duration // one-way, to the host that relays the generation
	prompt, output      int
	delivered           int // tokens
	lastEventAt, maxGap time.Duration
	migrated            bool
	target              int // requested migration target, counted from 1; 0 means none
}

// timer calls do at the given virtual time.
type timer struct {
	at time.Duration
	do func()
}

func newSimulation(policy Policy, seed uint64) *simulation {
	s := &simulation{policy: policy, random: rand.New(rand.NewPCG(seed, 7)), generations: map[uint64]*generation{}}
	for i := range engineCount {
		s.engines = append(s.engines, &engine{model: enginemodel.New(enginemodel.ProductionParams(), seed+uint64(i), s.clock())})
	}
	s.schedule(noticeInterval, s.sendNotice)
	return s
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) schedule(d time.Duration, do func()) {
	s.timers = append(s.timers, timer{s.now + d, do})
	sort.SliceStable(s.timers, func(i, j int) bool { return s.timers[i].at < s.timers[j].at })
}

func (s *simulation) tick() {
	s.now += tickInterval
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		do := s.timers[0].do
		s.timers = s.timers[1:]
		do()
	}
	for i, e := range s.engines {
		for _, ev := range e.model.Advance(s.clock()) {
			if g := s.generations[ev.ID]; g != nil {
				s.schedule(g.latency, func() { s.handleEvent(g, i, ev) })
			}
		}
	}
}

// handleEvent processes an engine event at the host that relays the generation. The caller
// receives tokens in events of eventTokens, each token once.
func (s *simulation) handleEvent(g *generation, engine int, ev enginemodel.Event) {
	if s.generations[g.id] != g || ev.Kind != enginemodel.Token {
		return
	}
	if g.target == engine+1 {
		// First token of the target: cancel the generation at the source.
		previous := s.engines[g.engine].model
		g.engine, g.target = engine, 0
		s.schedule(g.latency, func() { previous.Cancel(g.id, s.clock()) })
	}
	if engine != g.engine || ev.Offset <= g.delivered {
		return
	}
	if ev.Offset%eventTokens != 0 && ev.Offset != g.output {
		return
	}
	if g.delivered > 0 {
		g.maxGap = max(g.maxGap, s.now-g.lastEventAt)
	}
	g.delivered, g.lastEventAt = ev.Offset, s.now
	if ev.Offset == g.output {
		s.finish(g, false)
	}
}

func (s *simulation) finish(g *generation, lost bool) {
	delete(s.generations, g.id)
	s.result.Generations++
	switch {
	case lost:
		s.result.Lost++
	case g.maxGap > gapTarget:
		s.result.Late++
	}
	if g.migrated {
		s.result.Migrated++
	}
}

func (s *simulation) arrive() {
	g := &generation{id: s.nextID, latency: localLatency, prompt: 1 + int(s.random.ExpFloat64()*meanPrompt/2) + meanPrompt/2,
		output: eventTokens * (1 + int(s.random.ExpFloat64()*meanOutput/eventTokens))}
	s.nextID++
	if s.random.Float64() < remoteShare {
		g.latency = remoteLatency
	}
	at := s.pick(balance.Request{Tokens: g.prompt + g.output/2, Prefill: g.prompt})
	if at < 0 {
		return // rejected requests are not counted
	}
	g.engine = at
	if _, err := s.engines[at].model.Submit(s.modelRequest(g), s.clock()); err == nil {
		s.generations[g.id] = g
	}
}

func (s *simulation) modelRequest(g *generation) enginemodel.Request {
	return enginemodel.Request{ID: g.id, Prompt: g.prompt, Output: g.output}
}

// tieBreakScale multiplies all loads, and each engine's index is added to its load, so that
// no two loads are equal. The balancer breaks ties at random and in map order, which would
// make simulations with the same seed differ.
const tieBreakScale = 2 * engineCount

// pick returns the index of the engine chosen by a balancer that sees the load of all
// generations, or -1 when no engine has capacity.
func (s *simulation) pick(request balance.Request) int {
	b := balance.New(s.random.IntN, nil, nil)
	b.Configure(balance.Settings{Domain: "a", Region: "west", KVTokens: tieBreakScale * s.kvCapacity()})
	request.Tokens, request.Prefill = tieBreakScale*request.Tokens, tieBreakScale*request.Prefill
	var servers []balance.Server
	loads := map[string]balance.Load{}
	for i, e := range s.engines {
		if e.model.Up() && !e.terminating {
			servers = append(servers, balance.Server{ID: engineID(i), Domain: "a", Region: "west"})
			loads[engineID(i)] = balance.Load{Tokens: i}
		}
	}
	for _, g := range s.generations {
		load := balance.Load{Requests: 1, Tokens: tieBreakScale * (g.prompt + g.delivered + (g.output-g.delivered)/2)}
		if g.delivered == 0 {
			load.Prefill = tieBreakScale * g.prompt
		}
		loads[engineID(g.engine)] = loads[engineID(g.engine)].Plus(load)
	}
	b.SetServers(servers)
	b.SetPeerLoad(loads)
	server, outcome := b.Pick(request, s.clock())
	if outcome != balance.Chosen {
		return -1
	}
	for i := range s.engines {
		if engineID(i) == server.ID {
			return i
		}
	}
	return -1
}

func (s *simulation) kvCapacity() int {
	p := enginemodel.ProductionParams()
	return p.Blocks * p.BlockTokens
}

func engineID(i int) string { return fmt.Sprint("e", i) }

// sendNotice sends the termination notice to the next engine and schedules its end.
func (s *simulation) sendNotice() {
	s.schedule(noticeInterval, s.sendNotice)
	i := s.nextTerminating
	s.nextTerminating = (s.nextTerminating + 1) % engineCount
	e := s.engines[i]
	if !e.model.Up() || e.terminating {
		return
	}
	e.terminating = true
	s.schedule(noticePeriod, func() { s.terminate(i) })
	if s.policy != NoMigration {
		s.scheduleMigrations(i)
	}
}

func (s *simulation) terminate(i int) {
	s.engines[i].model.Stop(s.clock())
	for _, g := range s.generationsAt(i) {
		s.finish(g, true)
	}
	s.schedule(replacementDelay, func() {
		s.engines[i] = &engine{model: enginemodel.New(enginemodel.ProductionParams(), s.nextID, s.clock())}
	})
}

// generationsAt returns the generations of an engine, ordered by ID.
func (s *simulation) generationsAt(engine int) []*generation {
	var out []*generation
	for _, g := range s.generations {
		if g.engine == engine {
			out = append(out, g)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
