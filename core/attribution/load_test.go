package attribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	step = 10 * time.Millisecond
	// contactTime is the time after the fifth crash from which at most maxLateSends requests with a
	// part that crashes engines may be sent.
	contactTime  = 4 * time.Second
	maxLateSends = 3
)

// model is a deployment in virtual time: hosts with their trackers, engines that crash, and callers.
type model struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*modelHost
	engines []*modelEngine
	// perSecond is the rate of sound requests. badParts are the parts that crash engines, and
	// badPerSecond the rate of requests with one of them, in first or middle position.
	perSecond, badPerSecond float64
	badParts                []Part
	// badTogether is set if all requests with a bad part that were sent together crash their engines at
	// the same moment.
	badTogether bool
	// firstToken is the mean time from the receipt of a request to the begin of its answer.
	firstToken time.Duration
	// newParts is the share of sound requests whose second part was never used before.
	newParts float64
	// firstParts is the lowest of the popular first parts.
	firstParts Part
	// loss is the share of messages between hosts that are lost; onlyBadHosts limits the hosts that
	// receive requests with bad parts.
	loss         float64
	onlyBadHosts int
	processes    int
	parts        Part

	crashTimes      []time.Duration // of crashes by a bad part
	lateSends       int
	soundRejections int
	soundSent       int
}

type modelHost struct {
	id      string
	tracker *Tracker
	// frozenUntil and cutUntil are the ends of a freeze and of a time without messages.
	frozenUntil, cutUntil time.Duration
	inbox                 []message
}

type message struct {
	arrives time.Duration
	reports []Report
	answers []Answer
}

type modelEngine struct {
	process Process
	address string
	domain  string
	downTil time.Duration
	waiting []*modelRequest
}

type modelRequest struct {
	host   *modelHost
	parts  []Part
	bad    bool
	begins time.Duration
}

func newModel(seed uint64, hosts, engineCount int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 22)), firstToken: 400 * time.Millisecond, perSecond: 20, newParts: 0.2, parts: 1 << 20, firstParts: 1000, onlyBadHosts: hosts}
	for n := range hosts {
		m.hosts = append(m.hosts, &modelHost{id: fmt.Sprint("host-", n), tracker: New()})
	}
	for n := range engineCount {
		e := &modelEngine{address: fmt.Sprint("10.0.0.", n), domain: fmt.Sprint("domain-", n*3/engineCount)}
		m.engines = append(m.engines, e)
		m.startEngine(e)
	}
	return m
}

func (m *model) startEngine(e *modelEngine) {
	m.processes++
	e.process, e.waiting = Process{ID: fmt.Sprint("engine-", m.processes), StartTime: int64(m.processes)}, nil
}

// run advances the time to end; each is called at every step.
func (m *model) run(end time.Duration, each func()) {
	for ; m.now < end; m.now += step {
		if each != nil {
			each()
		}
		for range m.arrivals(m.perSecond) {
			m.send(m.soundParts(), false, m.hosts)
		}
		for range m.arrivals(m.badPerSecond) {
			m.send(m.badRequest(), true, m.hosts[:m.onlyBadHosts])
		}
		for _, e := range m.engines {
			m.advance(e)
		}
		if m.now%(150*time.Millisecond) == 0 {
			m.gossip()
		}
		for _, h := range m.hosts {
			m.receive(h)
		}
	}
}

func (m *model) arrivals(perSecond float64) int {
	n := 0
	for p := perSecond * step.Seconds(); p > 0; p-- {
		if m.rng.Float64() < p {
			n++
		}
	}
	return n
}

// soundParts returns the parts of a sound request: one of 8 popular first parts and one of 100 others.
func (m *model) soundParts() []Part {
	if m.rng.Float64() < m.newParts {
		m.parts++
		return []Part{m.firstParts + Part(m.rng.IntN(8)), m.parts}
	}
	return []Part{m.firstParts + Part(m.rng.IntN(8)), Part(2000 + m.rng.IntN(100))}
}

// badRequest replaces a part of a sound request, or adds one.
func (m *model) badRequest() []Part {
	parts := m.soundParts()
	bad := m.badParts[m.rng.IntN(len(m.badParts))]
	switch m.rng.IntN(3) {
	case 0:
		return []Part{bad, parts[1]}
	case 1:
		return []Part{parts[0], bad}
	default:
		return []Part{parts[0], bad, parts[1]}
	}
}

func (m *model) send(parts []Part, bad bool, hosts []*modelHost) {
	host := hosts[m.rng.IntN(len(hosts))]
	if m.now < host.frozenUntil {
		return
	}
	if !bad {
		m.soundSent++
	}
	if r := host.tracker.Rejections().Find(parts); r != nil && !host.tracker.AllowTrial(r, parts, m.now, false) {
		if !bad {
			m.soundRejections++
		}
		return
	}
	e := m.engines[m.rng.IntN(len(m.engines))]
	if m.now < e.downTil {
		return
	}
	if bad && len(m.crashTimes) >= 5 && m.now > m.crashTimes[4]+contactTime {
		m.lateSends++
	}
	begins := m.now + m.firstToken/2 + time.Duration(m.rng.Float64()*float64(m.firstToken))
	if bad && m.badTogether {
		begins = m.now + m.firstToken
	}
	e.waiting = append(e.waiting, &modelRequest{host: host, parts: parts, bad: bad, begins: begins})
}

// advance begins the answers that are due at an engine. One with a bad part crashes it.
func (m *model) advance(e *modelEngine) {
	waiting := e.waiting[:0]
	crashes := false
	for _, r := range e.waiting {
		switch {
		case m.now < r.begins:
			waiting = append(waiting, r)
		case r.bad:
			waiting = append(waiting, r)
			crashes = true
		default:
			r.host.tracker.RecordAnswer(r.parts, m.now)
		}
	}
	e.waiting = waiting
	if crashes {
		m.crashTimes = append(m.crashTimes, m.now)
		m.crash(e)
	}
}

// crash ends an engine; each host records the crash with its requests that had not begun.
func (m *model) crash(e *modelEngine) {
	for _, r := range e.waiting {
		r.host.tracker.RecordCrash(Crash{Process: e.process, Address: e.address, Domain: e.domain, At: m.now, Engines: len(m.engines), Domains: 3, Parts: r.parts})
	}
	m.startEngine(e)
	e.downTil = m.now + 2*time.Second
}

func (m *model) gossip() {
	for _, from := range m.hosts {
		if m.now < from.frozenUntil || m.now < from.cutUntil {
			continue
		}
		from.tracker.Expire(m.now)
		for _, to := range m.hosts {
			if to != from && m.now >= to.cutUntil && m.rng.Float64() >= m.loss {
				delay := time.Duration(m.rng.IntN(100)) * time.Millisecond
				to.inbox = append(to.inbox, message{m.now + delay, from.tracker.Reports(m.now), from.tracker.Answers(m.now)})
			}
		}
	}
}

func (m *model) receive(h *modelHost) {
	if m.now < h.frozenUntil {
		return
	}
	rest := h.inbox[:0]
	for _, msg := range h.inbox {
		if m.now < msg.arrives {
			rest = append(rest, msg)
			continue
		}
		h.tracker.Merge(msg.reports, msg.answers, m.now)
	}
	h.inbox = rest
}

// loadSeeds is the number of seeds of each row.
const loadSeeds = 5

// Guards against requests with a part that crashes engines that are sent on and on, or that drag
// sound requests into the rejection: crashes that are spread over the hosts, two parts at a time, lost
// messages, hosts that see no crash, and hosts that restart, freeze or are cut off.
func TestLoadWithPartsThatCrashEngines(t *testing.T) {
	for _, c := range []struct {
		name      string
		configure func(*model)
		each      func(*model)
	}{
		{"spread over nine hosts", func(*model) {}, nil},
		{"two parts", func(m *model) { m.badParts, m.badPerSecond = []Part{1, 2}, 4 }, nil},
		{"four hosts see no crash", func(m *model) { m.onlyBadHosts = 5 }, nil},
		{"a third of the messages is lost", func(m *model) { m.loss = 0.33 }, nil},
		{"long queues", func(m *model) { m.perSecond, m.firstToken = 60, 1500*time.Millisecond }, nil},
		{"every request has a new part", func(m *model) { m.newParts = 1 }, nil},
		{"a host restarts every 5 s", func(*model) {}, func(m *model) {
			if m.now%(5*time.Second) == 0 {
				m.hosts[m.rng.IntN(len(m.hosts))].tracker = New()
			}
		}},
		{"a host is cut off, another freezes", func(*model) {}, func(m *model) {
			if m.now == 3*time.Second {
				m.hosts[0].frozenUntil, m.hosts[1].cutUntil = 8*time.Second, 8*time.Second
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			late, worstLate, unserved, sent := 0, 0, 0, 0
			for seed := range uint64(loadSeeds) {
				m := newModel(seed, 9, 12)
				m.badParts, m.badPerSecond = []Part{1}, 2
				c.configure(m)
				m.run(40*time.Second, func() {
					if c.each != nil {
						c.each(m)
					}
				})
				late, worstLate = late+m.lateSends, max(worstLate, m.lateSends)
				unserved, sent = unserved+m.soundRejections, sent+m.soundSent
				for _, h := range m.hosts {
					assert.Subset(t, m.badParts, rejected(h.tracker), "seed %d, %s", seed, h.id)
				}
			}
			t.Logf("%d sent late, worst seed %d; %d of %d sound requests rejected", late, worstLate, unserved, sent)
			assert.LessOrEqual(t, worstLate, maxLateSends)
			assert.LessOrEqual(t, float64(unserved), 0.001*float64(sent))
		})
	}
}

// Guards against requests with a part that crashes engines that are sent on and on because several of them
// crash engines at the same moment, at any hosts or all in one failure domain.
func TestLoadWithPartsThatCrashEnginesTogether(t *testing.T) {
	const pause = 5 * time.Second // longer than contactTime, so that each later round counts as sent late
	for _, c := range []struct {
		name      string
		together  int
		configure func(*model)
	}{
		{"six", 6, func(*model) {}},
		{"three", 3, func(*model) {}},
		{"twenty", 20, func(*model) {}},
		{"six at two hosts", 6, func(m *model) { m.onlyBadHosts = 2 }},
		{"six, a third of the messages is lost", 6, func(m *model) { m.loss = 0.33 }},
		{"ten, all engines in one failure domain", 10, func(m *model) {
			for _, e := range m.engines {
				e.domain = "domain-0"
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(loadSeeds) {
				m := newModel(seed, 9, 12)
				m.badParts, m.badTogether = []Part{1}, true
				c.configure(m)
				m.run(4*pause, func() {
					if m.now%pause != 0 {
						return
					}
					for range c.together {
						m.send(m.badRequest(), true, m.hosts[:m.onlyBadHosts])
					}
				})
				assert.LessOrEqual(t, m.lateSends, maxLateSends, "seed %d", seed)
				assert.LessOrEqual(t, float64(m.soundRejections), 0.001*float64(m.soundSent), "seed %d", seed)
				for _, h := range m.hosts {
					assert.Equal(t, m.badParts, rejected(h.tracker), "seed %d, %s", seed, h.id)
				}
			}
		})
	}
}

// Guards against sound parts that are rejected because engines crash for another reason: all engines
// of a failure domain at once, one after the other in a release, one again and again, cold ones under
// load, or any engine at any time; with popular and with new parts.
func TestCrashesWithOtherCausesRejectNothing(t *testing.T) {
	for _, c := range []struct {
		name      string
		configure func(*model)
		each      func(m *model)
	}{
		{"a failure domain loses power", func(*model) {}, func(m *model) {
			if m.now%(10*time.Second) == 5*time.Second {
				for _, e := range m.engines[:4] {
					m.crash(e)
				}
			}
		}},
		{"its engines end within a second", func(*model) {}, func(m *model) {
			if at := m.now % (10 * time.Second); at >= 5*time.Second && at < 6*time.Second && at%(250*time.Millisecond) == 0 {
				m.crash(m.engines[(at-5*time.Second)/(250*time.Millisecond)])
			}
		}},
		{"a release without notice", func(*model) {}, func(m *model) {
			if m.now%time.Second == 0 {
				m.crash(m.engines[int(m.now/time.Second)%len(m.engines)])
			}
		}},
		{"one engine again and again", func(m *model) {}, func(m *model) {
			if m.now%(2500*time.Millisecond) == 0 {
				m.crash(m.engines[0])
			}
		}},
		{"overloaded cold engines", func(m *model) { m.firstToken, m.perSecond = 1500*time.Millisecond, 40 }, func(m *model) {
			for _, e := range m.engines {
				if len(e.waiting) > 10 {
					m.crash(e)
				}
			}
		}},
		{"a failure domain ends within a second as new popular parts appear", func(m *model) { m.perSecond, m.firstToken = 40, time.Second }, func(m *model) {
			at := m.now % (5 * time.Second)
			if at == 0 {
				m.firstParts += 8
			}
			if at > 0 && at <= time.Second && at%(250*time.Millisecond) == 0 {
				m.crash(m.engines[at/(250*time.Millisecond)-1])
			}
		}},
		{"six engines of a failure domain end at once as new popular parts appear", func(m *model) {
			m.perSecond, m.firstToken = 40, time.Second
			for n, e := range m.engines {
				e.domain = fmt.Sprint("domain-", n/6)
			}
		}, func(m *model) {
			switch m.now % (5 * time.Second) {
			case 0:
				m.firstParts += 8
			case 400 * time.Millisecond:
				for _, e := range m.engines[:6] {
					m.crash(e)
				}
			}
		}},
		{"any engine at any time, new parts only", func(m *model) { m.newParts = 1 }, func(m *model) {
			if m.rng.Float64() < step.Seconds() {
				m.crash(m.engines[m.rng.IntN(len(m.engines))])
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rejections, sent := 0, 0
			for seed := range uint64(loadSeeds) {
				m := newModel(seed, 9, 12)
				c.configure(m)
				m.run(40*time.Second, func() { c.each(m) })
				rejections, sent = rejections+m.soundRejections, sent+m.soundSent
			}
			t.Logf("%d of %d requests rejected", rejections, sent)
			assert.Zero(t, rejections)
		})
	}
}
