package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against long generations that are placed where their gaps get late: servers of speeds 1, 1 and 1.3, where only the slow
// ones are late, while their machines are slowed, and a slow server that has just started and made no gap late itself.
func TestLateGapsAreLearnedByServerAndSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	l := New()
	const servers, fresh = 44, 44
	now := start
	for range 40 { // 10 s
		now = now.Add(tick)
		for i := range servers {
			o := Sample{Process: process(i), Kind: "gap", Weight: 1, Value: gap, Gaps: Gaps{Events: 15}}
			if i%3 == 2 {
				o.Value *= 1.3
				if random.Float64() < 0.1 {
					o.Gaps.Late = 1
				}
			}
			l.Observe(o, now)
		}
		l.Update(now)
	}
	for range 8 {
		now = now.Add(tick)
		l.Observe(Sample{Process: process(fresh), Kind: "gap", Weight: 1, Value: 1.3 * gap, Gaps: Gaps{Events: 15}}, now)
		l.Update(now)
	}
	estimates := l.Estimates(now)
	const events = 188
	for i := range servers {
		share := estimates[process(i)].LateShare(events)
		if i%3 == 2 {
			assert.Greater(t, share, 0.36, "half of the true share, server %d", i)
		} else {
			assert.Less(t, share, 0.05, i)
		}
	}
	assert.Greater(t, estimates[process(fresh)].LateShare(events), 0.3, "judged by the servers of its speed")
	assert.Zero(t, estimates[process(2)].LateShare(0))
	for range 4 * 60 * 5 {
		now = now.Add(tick)
		for i := range servers {
			l.Observe(Sample{Process: process(i), Kind: "gap", Weight: 1, Value: gap, Gaps: Gaps{Events: 15}}, now)
		}
		l.Update(now)
	}
	assert.Less(t, l.Estimates(now)[process(2)].LateShare(events), 0.05, "servers that are sound again are used again")
}

// Guards against false counts of another host that make a server look late, or sound, for ever.
func TestInvalidCountsOfOthersAreIgnored(t *testing.T) {
	l := New()
	now := start
	l.Observe(Sample{Process: process(0), Kind: "gap", Weight: 1, Value: gap}, now)
	for _, g := range []Gaps{{Events: -1}, {Events: 1, Late: 2}, {Events: 1, Late: -1}} {
		l.SetPeers([]Report{{Process: process(0), Gaps: g}})
		l.Update(now)
		assert.Zero(t, l.Estimates(now)[process(0)].LateRate, g)
	}
	l.SetPeers([]Report{{Process: process(0), Gaps: Gaps{Events: 1000, Late: 100}}})
	l.Update(now.Add(time.Second))
	assert.Greater(t, l.Estimates(now)[process(0)].LateRate, 0.05)
}
