package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// named returns the observation of a response that names a limit.
func named(limit float64, d time.Duration) Observation {
	return Observation{Limit: limit, SentAt: at(d), At: at(d)}
}

func newLimiter(host string) *Limiter { return New(host, func() float64 { return 0.5 }) }

// Guards against tokens that were saved up before a limit was named, or while no request came.
func TestTokensDoNotAccumulate(t *testing.T) {
	l := newLimiter("host-0")
	assert.True(t, l.Allows("s", at(0)))
	assert.True(t, l.Observe("s", 1, named(2, 0)))
	sent := 0
	for d := time.Duration(0); d < 4*time.Second; d += 10 * time.Millisecond {
		if l.Allows("s", at(d)) {
			l.Take("s", at(d))
			sent++
		}
	}
	assert.InDelta(t, 8, sent, 1)
	sent = 0
	for range 10 {
		if l.Allows("s", at(time.Minute)) {
			l.Take("s", at(time.Minute))
			sent++
		}
	}
	assert.Equal(t, 1, sent)
}

// Guards against a limit that is dropped by a response that was overtaken, one that stays after the server has
// stopped naming it, and one that a new process at the same address inherits.
func TestLimitChanges(t *testing.T) {
	l := newLimiter("host-0")
	l.Observe("s", 5, named(2, time.Second))
	assert.False(t, l.Observe("s", 5, Observation{SentAt: at(900 * time.Millisecond), At: at(2 * time.Second)}))
	assert.True(t, l.Limited("s"))
	assert.True(t, l.Observe("s", 5, named(0.25, 3*time.Second)))
	assert.False(t, l.Observe("s", 5, named(9, 2*time.Second)), "an older response")
	assert.False(t, l.Observe("s", 4, named(9, 4*time.Second)), "an earlier process")
	assert.True(t, l.Observe("s", 5, Observation{SentAt: at(4 * time.Second), At: at(5 * time.Second)}))
	assert.False(t, l.Limited("s"))
	l.Observe("s", 5, named(2, 6*time.Second))
	l.Observe("s", 6, Observation{SentAt: at(7 * time.Second), At: at(7 * time.Second)})
	assert.False(t, l.Limited("s"))
	l.Observe("s", 6, named(2, 8*time.Second))
	l.Retain(func(string, int64) bool { return false })
	assert.False(t, l.Limited("s"))
}

// Guards against limits and demands of other hosts that are no numbers or absurd.
func TestAbsurdReports(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		assert.False(t, Valid(v))
		l := newLimiter("host-0")
		l.Merge([]HostReports{{Host: "host-1", ReceivedAt: at(0), Reports: []Report{{ID: "s", Limit: v, Demand: 1}, {ID: "r", Limit: 2, Demand: v}}}}, 0, at(0))
		assert.False(t, l.Limited("s"))
		assert.True(t, l.Allows("r", at(0)))
	}
	assert.True(t, Valid(0))
	tiny := newLimiter("host-0")
	tiny.Observe("s", 1, named(1e-300, 0))
	next, ok := tiny.NextAt("s", at(0))
	assert.True(t, ok)
	assert.Less(t, next.Sub(at(0)), time.Minute)
	l := newLimiter("host-0")
	l.Merge([]HostReports{{Host: "host-1", ReceivedAt: at(0), Reports: []Report{{ID: "s", Limit: 2, AgeMS: 0}, {ID: "r", Limit: 2, AgeMS: math.MaxInt64}}}}, 0, at(0))
	assert.True(t, l.Limited("s"))
	assert.True(t, l.Limited("r"))
}

// Guards against a Retry-After that brings all rejected callers back at the same time.
func TestPromisesSpreadCallers(t *testing.T) {
	l := newLimiter("host-0")
	l.Observe("s", 1, named(2, 0))
	var last time.Time
	for n := range 60 {
		next, ok := l.Promise("s", at(0))
		require.True(t, ok)
		assert.LessOrEqual(t, next.Sub(at(0)), MaxPromise)
		if n > 0 && next.After(last) {
			assert.InDelta(t, 0.5/usedShare, next.Sub(last).Seconds(), 0.01)
		}
		last = next
	}
}

// model is a deployment in virtual time whose hosts send to one server with a limit.
type model struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*modelHost
	limit   float64
	named   bool
	loss    float64
	arrived []modelArrival
	// extra counts requests that are sent without a token, such as control calls.
	extraPerSecond float64
}

type modelHost struct {
	id        string
	limiter   *Limiter
	perSecond float64
	// toldAt is when the host got its first response with the limit.
	toldAt      time.Duration
	frozenUntil time.Duration
	cutUntil    time.Duration
	excused     time.Duration // until then
	inbox       map[string]HostReports
}

type modelArrival struct {
	at      time.Duration
	counted bool
}

func newModel(seed uint64, hosts int, limit float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 22)), limit: limit, named: true}
	for n := range hosts {
		m.hosts = append(m.hosts, m.newHost(fmt.Sprint("host-", n), hosts))
	}
	return m
}

func (m *model) newHost(id string, hosts int) *modelHost {
	h := &modelHost{id: id, limiter: New(id, m.rng.Float64), toldAt: -1, inbox: map[string]HostReports{}}
	h.limiter.SetHosts(hosts, at(m.now))
	return h
}

const modelStep = 10 * time.Millisecond

func (m *model) run(end time.Duration, each func()) {
	for ; m.now < end; m.now += modelStep {
		if each != nil {
			each()
		}
		for _, h := range m.hosts {
			if m.now < h.frozenUntil {
				continue
			}
			if m.rng.Float64() < h.perSecond*modelStep.Seconds() {
				h.limiter.Want("s", at(m.now))
				if h.limiter.Allows("s", at(m.now)) {
					m.send(h)
				}
			}
			if m.rng.Float64() < m.extraPerSecond*modelStep.Seconds() {
				m.send(h)
			}
		}
		if m.now%(150*time.Millisecond) == 0 {
			m.gossip()
		}
	}
}

func (m *model) send(h *modelHost) {
	h.limiter.Take("s", at(m.now))
	counted := m.named && h.toldAt >= 0 && m.now >= h.toldAt+500*time.Millisecond && m.now >= h.excused
	m.arrived = append(m.arrived, modelArrival{m.now, counted})
	limit := 0.0
	if m.named {
		limit = m.limit
		if h.toldAt < 0 {
			h.toldAt = m.now
		}
	}
	h.limiter.Observe("s", 1, Observation{Limit: limit, SentAt: at(m.now), At: at(m.now + modelStep)})
}

func (m *model) gossip() {
	for _, from := range m.hosts {
		if m.now < from.frozenUntil || m.now < from.cutUntil {
			continue
		}
		for _, to := range m.hosts {
			if to != from && m.now >= to.cutUntil && m.rng.Float64() >= m.loss {
				to.inbox[from.id] = HostReports{Host: from.id, ReceivedAt: at(m.now), Reports: from.limiter.Reports(at(m.now))}
			}
		}
	}
	for _, h := range m.hosts {
		if m.now < h.frozenUntil {
			continue
		}
		var live []HostReports
		for id, r := range h.inbox {
			if at(m.now).Sub(r.ReceivedAt) > 2250*time.Millisecond {
				delete(h.inbox, id)
				continue
			}
			live = append(live, r)
		}
		slices.SortFunc(live, func(a, b HostReports) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		h.limiter.Merge(live, 0, at(m.now))
	}
}

// worstExcess returns by how much the arrivals of a window of 4 s exceed 1.5 times the limit and 5 requests.
func (m *model) worstExcess() int {
	var counted []time.Duration
	for _, a := range m.arrived {
		if a.counted {
			counted = append(counted, a.at)
		}
	}
	worst := 0
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at-from < 4*time.Second {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst - int(1.5*m.limit*4+5)
}

// used returns the share of the limit that was used since from.
func (m *model) used(from time.Duration) float64 {
	n := 0
	for _, a := range m.arrived {
		if a.at >= from {
			n++
		}
	}
	return float64(n) / (m.limit * (m.now - from).Seconds())
}

// Guards against hosts that exceed a limit together, and against a limit that is left unused: even and uneven
// traffic, one host with all of it, traffic that moves, limits below one a second, lost messages, restarts,
// freezes, cuts, hosts that never used the server, and calls that need no token.
func TestSharesOfALimit(t *testing.T) {
	even := func(perSecond float64) func(*model) {
		return func(m *model) {
			for _, h := range m.hosts {
				h.perSecond = perSecond
			}
		}
	}
	for _, c := range []struct {
		name      string
		hosts     int
		limit     float64
		configure func(*model)
		each      func(*model)
		used      float64 // at least, of the limit
	}{
		{"even", 9, 3.5, even(1.2), nil, 0.75},
		{"even, low limit", 9, 2.5, even(1.2), nil, 0.75},
		{"even, below one a second", 9, 0.4, even(1.2), nil, 0.7},
		{"even, many hosts", 40, 3.5, even(1), nil, 0.7},
		{"overload", 9, 3.5, even(20), nil, 0.85},
		{"demand below the limit", 9, 20, even(0.5), nil, 0.15},
		{"one host has all traffic", 9, 3.5, func(m *model) { m.hosts[4].perSecond = 20 }, nil, 0.8},
		{"one host, below one a second", 9, 0.4, func(m *model) { m.hosts[4].perSecond = 20 }, nil, 0.7},
		{"a third of the messages is lost", 9, 3.5, even(3), func(m *model) { m.loss = 0.33 }, 0.75},
		{"traffic moves every 2 s", 9, 3.5, func(*model) {}, func(m *model) {
			if m.now%(2*time.Second) == 0 {
				for _, h := range m.hosts {
					h.perSecond = 0
				}
				m.hosts[m.rng.IntN(len(m.hosts))].perSecond = 20
			}
		}, 0.4},
		{"a quiet time before a burst", 9, 2.5, func(*model) {}, func(m *model) {
			for _, h := range m.hosts {
				h.perSecond = 0.1
				if m.now%(8*time.Second) > 6*time.Second {
					h.perSecond = 20
				}
			}
		}, 0.3},
		{"a host restarts every 3 s", 9, 3.5, even(3), func(m *model) {
			if m.now%(3*time.Second) == 0 {
				i := m.rng.IntN(len(m.hosts))
				h := m.newHost(m.hosts[i].id, len(m.hosts))
				h.perSecond, h.excused = 3, m.now+4*time.Second
				m.hosts[i] = h
			}
		}, 0.7},
		{"a host freezes, another is cut off", 9, 3.5, even(3), func(m *model) {
			if m.now%(9*time.Second) == 3*time.Second {
				m.hosts[0].frozenUntil, m.hosts[0].excused = m.now+4*time.Second, m.now+8*time.Second
				m.hosts[1].cutUntil, m.hosts[1].excused = m.now+4*time.Second, m.now+8*time.Second
			}
		}, 0.6},
		{"calls without a token", 9, 3.5, func(m *model) { even(3)(m); m.extraPerSecond = 0.1 }, nil, 0.75},
		{"the limit changes", 9, 3.5, even(3), func(m *model) {
			if m.now == 20*time.Second {
				m.limit = 1
				m.arrived = nil
				for _, h := range m.hosts {
					h.toldAt = -1
				}
			}
		}, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst, used := math.MinInt, 0.0
			const seeds = 5
			for seed := range uint64(seeds) {
				m := newModel(seed, c.hosts, c.limit)
				c.configure(m)
				m.run(40*time.Second, func() {
					if c.each != nil {
						c.each(m)
					}
				})
				worst = max(worst, m.worstExcess())
				used += m.used(24*time.Second) / seeds
			}
			t.Logf("worst window %+d over the bound, %.2f of the limit used", worst, used)
			assert.LessOrEqual(t, worst, 0)
			assert.GreaterOrEqual(t, used, c.used)
		})
	}
}
