package serverstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRefusals() *Refusals { return NewRefusals(func() float64 { return 0.5 }) }

var one = Process{ID: "s", StartTime: 5}

// Guards against a value that is taken as it is although it excludes the server for hours, or as none although
// the server refuses.
func TestRefusalTime(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    time.Duration
		valid   bool
	}{
		{0, 0, true},
		{0.25, 250 * time.Millisecond, true},
		{3, 3 * time.Second, true},
		{600, 10 * time.Minute, true},
		{-1, DefaultRefusal, false},
		{math.NaN(), DefaultRefusal, false},
		{601, maxRefusal, false},
		{1e300, maxRefusal, false},
		{math.Inf(1), maxRefusal, false},
		{math.Inf(-1), DefaultRefusal, false},
	} {
		d, valid := RefusalTime(c.seconds)
		assert.Equal(t, c.want, d, c.seconds)
		assert.Equal(t, c.valid, valid, c.seconds)
	}
}

// Guards against a request within the refusal, a burst after it, and a server that stays excluded when it
// accepts requests again or does not answer the first one.
func TestReturnAfterRefusal(t *testing.T) {
	r := newRefusals()
	assert.True(t, r.Allows(one, at(0)))
	assert.True(t, r.Observe(one, 2*time.Second, at(0)))
	assert.True(t, r.Refuses(one, at(0)))
	assert.False(t, r.Allows(one, at(2*time.Second)), "the random delay")
	returns := 2*time.Second + 250*time.Millisecond
	assert.False(t, r.Refuses(one, at(returns)))
	assert.True(t, r.Allows(one, at(returns)))
	r.Take(one, at(returns))
	assert.False(t, r.Allows(one, at(returns+10*time.Millisecond)), "a single request")
	assert.False(t, r.Refuses(one, at(returns+10*time.Millisecond)), "that request itself may be sent")
	assert.True(t, r.Allows(one, at(returns+trialTimeout)), "without an answer")
	r.Take(one, at(returns+trialTimeout))
	assert.False(t, r.ObserveAccepted(one, at(time.Second)), "an answer to a request sent before")
	assert.True(t, r.ObserveAccepted(one, at(returns)))
	assert.True(t, r.Allows(one, at(returns+trialTimeout)))
	assert.Empty(t, r.servers)
}

// Guards against an end that an answer to a request under way shortens, and one that is not extended.
func TestLatestEndOfRefusalCounts(t *testing.T) {
	r := newRefusals()
	r.Observe(one, 2*time.Second, at(0))
	assert.False(t, r.Observe(one, 500*time.Millisecond, at(100*time.Millisecond)), "shorter")
	assert.True(t, r.Refuses(one, at(1900*time.Millisecond)))
	assert.False(t, r.Observe(one, 2*time.Second, at(50*time.Millisecond)), "the same for the log")
	assert.True(t, r.Refuses(one, at(2040*time.Millisecond)))
	assert.True(t, r.Observe(one, 4*time.Second, at(time.Second)), "longer")
	assert.True(t, r.Refuses(one, at(4900*time.Millisecond)))
	assert.False(t, r.Observe(one, 0, at(time.Second)))
}

// Guards against a refusal that the next process at the address inherits, or that an answer of the former one
// replaces.
func TestRefusalBelongsToAProcess(t *testing.T) {
	r := newRefusals()
	next := Process{ID: one.ID, StartTime: 6}
	r.Observe(one, time.Minute, at(0))
	assert.True(t, r.Allows(next, at(0)))
	r.Take(next, at(0))
	assert.False(t, r.ObserveAccepted(next, at(2*time.Minute)))
	assert.True(t, r.Refuses(one, at(time.Second)))
	assert.True(t, r.Observe(next, time.Second, at(0)))
	assert.False(t, r.Observe(one, time.Minute, at(time.Second)), "an answer of the former process")
	assert.False(t, r.Refuses(next, at(2*time.Second)))
	r.Retain(func(p Process) bool { return p != next })
	assert.Empty(t, r.servers)
}

// Guards against requests within a refusal because the store lists its process later than the answer arrived, or because the
// server is not listed for a while; and against a refusal that the next process inherits, or that is kept for ever.
func TestRefusalOutlastsChangesOfTheList(t *testing.T) {
	const refusal = time.Minute
	heard, end := at(0), at(2*time.Minute)
	before, after := heard.Add(-time.Second).UnixMilli(), heard.Add(time.Second).UnixMilli()
	type listed struct {
		startTime int64
		ok        bool
	}
	for name, c := range map[string]struct {
		listed []listed
		now    time.Time
		// refuses is the start time of the process that refuses then; 0 for none.
		refuses int64
	}{
		"same process":                            {[]listed{{5, true}}, heard, 5},
		"not listed for a while":                  {[]listed{{0, false}, {5, true}}, heard, 5},
		"process that had started before":         {[]listed{{before, true}}, heard, before},
		"process that started afterwards":         {[]listed{{after, true}}, heard, 0},
		"process that started before, and a next": {[]listed{{before, true}, {after, true}}, heard, 0},
		"not listed any more":                     {[]listed{{0, false}}, end, 0},
		"former process":                          {[]listed{{4, true}}, heard, 5},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRefusals()
			r.Observe(one, refusal, heard)
			for _, l := range c.listed {
				r.Update(func(string) (int64, bool) { return l.startTime, l.ok }, c.now)
			}
			if c.refuses == 0 {
				assert.Empty(t, r.servers)
				return
			}
			assert.True(t, r.Refuses(Process{ID: one.ID, StartTime: c.refuses}, heard.Add(refusal-1)))
		})
	}
}

// Guards against hosts or callers that return at the same moment.
func TestReturnsAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	returns, promises := map[time.Duration]int{}, map[time.Duration]int{}
	for range 200 {
		r := NewRefusals(random.Float64)
		r.Observe(one, 3*time.Second, at(0))
		returns[r.ReturnsAt(one).Sub(start).Round(10*time.Millisecond)]++
		require.False(t, r.ReturnsAt(one).Before(at(3*time.Second)))
		require.False(t, r.Promise(one).Before(r.ReturnsAt(one)))
		promises[r.Promise(one).Sub(r.ReturnsAt(one)).Round(10*time.Millisecond)]++
	}
	assert.Greater(t, len(returns), 50)
	assert.Greater(t, len(promises), 50)
}

// Guards against capacity that stays unused, and against requests to a refusing server, while a third of the
// servers refuse for 2 s by turns: hosts that heed the refusals against hosts that ignore them.
func TestThirdOfServersRefusesByTurns(t *testing.T) {
	heeded, sent, refused := refuseByTurns(true)
	ignored, sentIgnored, refusedIgnored := refuseByTurns(false)
	t.Logf("capacity used: heeded %.3f, ignored %.3f; requests to servers that refuse: %d and %d; most of a host in a refusal: %d and %d",
		heeded, ignored, refused, refusedIgnored, sent, sentIgnored)
	assert.Greater(t, heeded, 0.9)
	assert.Greater(t, heeded, ignored)
	assert.Less(t, refused, refusedIgnored)
	assert.LessOrEqual(t, sent, 2)
	assert.Greater(t, sentIgnored, 2)
}

// refuseByTurns returns the share of the capacity of the servers that accept which is used, the most
// requests of a host that reach a server between half a second after it has refused one of that host and
// the end of the time that it named, and the number of requests that servers refuse.
func refuseByTurns(heed bool) (used float64, sent, refused int) {
	const (
		hosts, servers = 6, 9
		tick           = 10 * time.Millisecond
		turn           = 2 * time.Second
		ticks          = 3000
		perTick        = 4 // requests that a server takes in a tick
	)
	random := rand.New(rand.NewPCG(3, 4))
	var states [hosts]*Refusals
	for h := range states {
		states[h] = NewRefusals(random.Float64)
	}
	var windows [hosts][servers][]time.Time // ends of the times named
	count := map[string]int{}
	served, capacity := 0, 0
	for n := range ticks {
		now := at(time.Duration(n) * tick)
		round := int(now.Sub(start) / turn)
		end := start.Add(time.Duration(round+1) * turn)
		var taken [servers]int
		refuses := func(s int) bool { return s%3 == round%3 }
		for h := range states {
			for range servers * perTick / hosts {
				first := random.IntN(servers)
				for i := range servers {
					s := (first + i) % servers
					p := Process{ID: fmt.Sprint(s), StartTime: 1}
					if heed && !states[h].Allows(p, now) || taken[s] == perTick {
						continue
					}
					states[h].Take(p, now)
					if w := windows[h][s]; len(w) > 0 && now.Before(w[len(w)-1]) && now.After(w[0].Add(500*time.Millisecond)) {
						key := fmt.Sprint(h, s, w[len(w)-1])
						count[key]++
						sent = max(sent, count[key])
					}
					if refuses(s) {
						refused++
						if w := windows[h][s]; len(w) == 0 || !now.Before(w[len(w)-1]) {
							windows[h][s] = []time.Time{now, end}
						}
						states[h].Observe(p, end.Sub(now), now)
						break // the request is lost for this tick
					}
					states[h].ObserveAccepted(p, now)
					taken[s]++
					served++
					break
				}
			}
		}
		capacity += servers * 2 / 3 * perTick
	}
	return float64(served) / float64(capacity), sent, refused
}
