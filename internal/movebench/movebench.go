// Package movebench compares what may become of the generations of an engine that
// is reclaimed on short notice: the engine model, the links between engines and
// the decisions of core/balance and core/migrate, in virtual time.
package movebench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// Policy is what becomes of the runs of an engine that gives notice.
type Policy int

// Policies of Simulate.
const (
	// NoMigration leaves runs where they are.
	NoMigration Policy = iota
	// StopForFinalCopy copies a run while it goes on, stops it for the last part of the
	// copy, and goes on at the target then.
	StopForFinalCopy
	// ResumeFromPreCopy lets the target go on from the first copy while the engine still
	// works.
	ResumeFromPreCopy
)

// String returns the name used in tables.
func (p Policy) String() string {
	return [...]string{"runs stay", "stop for the last part", "hand over from the first copy"}[p]
}

// The region that is played. What no line says otherwise comes from the users'
// pages, rounded.
const (
	// engineCount is the number of engines of the region.
	engineCount = 4
	// tokenBytes is the memory of one token, linkMbps the rate of an engine's link
	// in Mbit/s.
	tokenBytes = 18432
	linkMbps   = 2700
	// eventTokens is the number of tokens in an event.
	eventTokens = enginemodel.ProductionEventTokens
	// meanPrompt and meanOutput are the tokens of the long generations.
	meanPrompt = 3079
	meanOutput = 932
	// gapTarget is the longest pause between events that is on time.
	gapTarget = 180 * time.Millisecond
	// noticeEvery, noticeTime and returnTime are the time between two notices, from
	// a notice to the end, and from the end to the next engine.
	noticeEvery = 3300 * time.Millisecond
	noticeTime  = 1600 * time.Millisecond
	returnTime  = 4 * time.Second
	// nearWay and farWay are one way to a host of this and of another region.
	nearWay = time.Millisecond
	farWay  = 30 * time.Millisecond
	// farShare of the runs belong to hosts of another region (assumed).
	farShare = 0.3
	// lastPartTime is the time that a plan leaves on the link for the last part of
	// a run, besides the round trip to its host (as core/migrate once did).
	lastPartTime = 30 * time.Millisecond
	// retryPause is the pause before a move without a target is tried again, as in
	// internal/forward.
	retryPause = 60 * time.Millisecond
	// tickTime is the resolution of the simulation.
	tickTime = time.Millisecond
)

// Result counts long runs by their outcome.
type Result struct{ Generations, Migrated, Late, Lost int }

// Simulate plays a region of four engines of which one gives notice every 3.3 s
// and ends, at a rate of long runs a second.
func Simulate(policy Policy, perSecond float64, length time.Duration, seed uint64) Result {
	s := newSimulation(policy, seed)
	next := time.Duration(0)
	for s.now < length {
		for next <= s.now {
			s.arrive()
			next += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		}
		s.tick()
	}
	return s.result
}

type simulation struct {
	policy  Policy
	random  *rand.Rand
	now     time.Duration
	engines []*engine
	runs    map[uint64]*generation
	timers  []timer
	nextID  uint64
	nextOut int // the engine that gives notice next
	result  Result
}

type engine struct {
	model    *enginemodel.Engine
	leaving  bool
	linkFree time.Duration
}

type generation struct {
	id             uint64
	engine         int
	way            time.Duration // to the host that relays it
	prompt, output int
	delivered      int // tokens
	lastAt, worst  time.Duration
	moved          bool
	target         int // where the run was asked to go on, counted from 1
}

// timer calls do at a time.
type timer struct {
	at time.Duration
	do func()
}

func newSimulation(policy Policy, seed uint64) *simulation {
	s := &simulation{policy: policy, random: rand.New(rand.NewPCG(seed, 7)), runs: map[uint64]*generation{}}
	for i := range engineCount {
		s.engines = append(s.engines, &engine{model: enginemodel.New(enginemodel.ProductionParams(), seed+uint64(i), s.clock())})
	}
	s.after(noticeEvery, s.giveNotice)
	return s
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	s.timers = append(s.timers, timer{s.now + d, do})
	sort.SliceStable(s.timers, func(i, j int) bool { return s.timers[i].at < s.timers[j].at })
}

func (s *simulation) tick() {
	s.now += tickTime
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		do := s.timers[0].do
		s.timers = s.timers[1:]
		do()
	}
	for i, e := range s.engines {
		for _, ev := range e.model.Advance(s.clock()) {
			if r := s.runs[ev.ID]; r != nil {
				s.after(r.way, func() { s.event(r, i, ev) })
			}
		}
	}
}

// event reaches the host of a run. Tokens come to the caller in events, each once.
func (s *simulation) event(r *generation, engine int, ev enginemodel.Event) {
	if s.runs[r.id] != r || ev.Kind != enginemodel.Token {
		return
	}
	if r.target == engine+1 {
		// The target's first token: the engine before is told to stop.
		before := s.engines[r.engine].model
		r.engine, r.target = engine, 0
		s.after(r.way, func() { before.Cancel(r.id, s.clock()) })
	}
	if engine != r.engine || ev.Offset <= r.delivered {
		return
	}
	if ev.Offset%eventTokens != 0 && ev.Offset != r.output {
		return
	}
	if r.delivered > 0 {
		r.worst = max(r.worst, s.now-r.lastAt)
	}
	r.delivered, r.lastAt = ev.Offset, s.now
	if ev.Offset == r.output {
		s.end(r, false)
	}
}

func (s *simulation) end(r *generation, lost bool) {
	delete(s.runs, r.id)
	s.result.Generations++
	switch {
	case lost:
		s.result.Lost++
	case r.worst > gapTarget:
		s.result.Late++
	}
	if r.moved {
		s.result.Migrated++
	}
}

func (s *simulation) arrive() {
	r := &generation{id: s.nextID, way: nearWay, prompt: 1 + int(s.random.ExpFloat64()*meanPrompt/2) + meanPrompt/2,
		output: eventTokens * (1 + int(s.random.ExpFloat64()*meanOutput/eventTokens))}
	s.nextID++
	if s.random.Float64() < farShare {
		r.way = farWay
	}
	at := s.pick(balance.Request{Tokens: r.prompt + r.output/2, Prefill: r.prompt})
	if at < 0 {
		return // refused, and no matter here
	}
	r.engine = at
	if _, err := s.engines[at].model.Submit(s.request(r), s.clock()); err == nil {
		s.runs[r.id] = r
	}
}

func (s *simulation) request(r *generation) enginemodel.Request {
	return enginemodel.Request{ID: r.id, Prompt: r.prompt, Output: r.output}
}

// tieScale makes the loads of no two engines equal: all are multiples of it but
// for the engine's number. The balancer breaks ties by chance and in the order of
// a map, which would make no two plays alike.
const tieScale = 2 * engineCount

// pick asks the balancer of a host that knows all work.
func (s *simulation) pick(job balance.Request) int {
	b := balance.New(s.random.IntN)
	b.Configure(balance.Settings{Domain: "a", Region: "west", KVTokens: tieScale * s.capacity()})
	job.Tokens, job.Prefill = tieScale*job.Tokens, tieScale*job.Prefill
	var servers []balance.Server
	loads := map[string]balance.Load{}
	for i, e := range s.engines {
		if e.model.Up() && !e.leaving {
			servers = append(servers, balance.Server{ID: nameOf(i), Domain: "a", Region: "west"})
			loads[nameOf(i)] = balance.Load{Tokens: i}
		}
	}
	for _, r := range s.runs {
		load := balance.Load{Requests: 1, Tokens: tieScale * (r.prompt + r.delivered + (r.output-r.delivered)/2)}
		if r.delivered == 0 {
			load.Prefill = tieScale * r.prompt
		}
		loads[nameOf(r.engine)] = loads[nameOf(r.engine)].Plus(load)
	}
	b.SetServers(servers)
	b.SetPeerLoad(loads)
	chosen, why := b.Pick(job, s.clock())
	if why != balance.Chosen {
		return -1
	}
	for i := range s.engines {
		if nameOf(i) == chosen.ID {
			return i
		}
	}
	return -1
}

func (s *simulation) capacity() int {
	p := enginemodel.ProductionParams()
	return p.Blocks * p.BlockTokens
}

func nameOf(i int) string { return fmt.Sprint("e", i) }

// giveNotice reclaims the next engine.
func (s *simulation) giveNotice() {
	s.after(noticeEvery, s.giveNotice)
	i := s.nextOut
	s.nextOut = (s.nextOut + 1) % engineCount
	e := s.engines[i]
	if !e.model.Up() || e.leaving {
		return
	}
	e.leaving = true
	s.after(noticeTime, func() { s.reclaimed(i) })
	if s.policy != NoMigration {
		s.plan(i)
	}
}

func (s *simulation) reclaimed(i int) {
	s.engines[i].model.Stop(s.clock())
	for _, r := range s.at(i) {
		s.end(r, true)
	}
	s.after(returnTime, func() {
		s.engines[i] = &engine{model: enginemodel.New(enginemodel.ProductionParams(), s.nextID, s.clock())}
	})
}

// at returns the runs of an engine, in a fixed order.
func (s *simulation) at(engine int) []*generation {
	var out []*generation
	for _, r := range s.runs {
		if r.engine == engine {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
