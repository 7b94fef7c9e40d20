package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var limits = Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 58}

// Guards against a retry storm when all backend servers fail every request: the retries
// of all hosts together stay within the limits in every window.
func TestSharedBudgetHoldsOverAllHosts(t *testing.T) {
	const hosts = 9
	budgets := make([]SharedBudget, hosts)
	start := time.Unix(1000, 0)
	var requests, retries []time.Time
	for ms := 0; ms < 30000; ms += 5 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := &budgets[(ms/5)%hosts]
		b.RecordFirstAttempt(limits, now)
		requests = append(requests, now)
		for b.Allow(limits, hosts, now) {
			retries = append(retries, now)
		}
	}
	for ms := 10000; ms < 30000; ms += 100 {
		end := start.Add(time.Duration(ms) * time.Millisecond)
		inWindow := func(times []time.Time, end time.Time) (n int) {
			for _, at := range times {
				if !at.After(end) && at.After(end.Add(-limits.Window)) {
					n++
				}
			}
			return n
		}
		// The limit refers to the requests of that window, of the window before it or of
		// the window half a window earlier, whichever has most.
		most := max(inWindow(requests, end), inWindow(requests, end.Add(-limits.Window/2)), inWindow(requests, end.Add(-limits.Window)))
		assert.LessOrEqual(t, float64(inWindow(retries, end)), limits.Ratio*float64(most)+limits.Extra)
	}
	assert.NotEmpty(t, retries)
}

// Guards against a budget that stays used up: it allows retries again after the window. A host
// whose quota is less than one retry gets none.
func TestSharedBudgetRecovers(t *testing.T) {
	var b SharedBudget
	now := time.Unix(1000, 0)
	l := Limits{Window: time.Second, Extra: 2}
	assert.True(t, b.Allow(l, 1, now))
	assert.True(t, b.Allow(l, 1, now))
	assert.False(t, b.Available(l, 1, now))
	assert.False(t, b.Allow(l, 1, now.Add(time.Second)))
	assert.True(t, b.Allow(l, 1, now.Add(time.Second+1)))
	assert.False(t, b.Available(l, 9, now), "a ninth of 2 allows no retry")
	assert.True(t, b.Allow(l, 1, now.Add(time.Second+1)))
	assert.False(t, b.Available(l, 1, now.Add(time.Second+1)))
}
