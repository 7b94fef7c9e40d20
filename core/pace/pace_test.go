package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

var start = time.Unix(1000, 0)

func process(i int) serverstate.Process {
	return serverstate.Process{ID: fmt.Sprint("s", i), StartTime: 1}
}

const (
	gap  = 0.04
	tick = 250 * time.Millisecond
)

// feed adds samples of servers to a learner: at each tick, perTick of each server at random loads below maxStep, with the spread of
// real gaps. It returns the time of the end.
func feed(l *Learner, from time.Time, d time.Duration, perTick int, maxStep int, factors []func(step int) float64) time.Time {
	random := rand.New(rand.NewPCG(1, uint64(from.UnixNano())))
	for now := from; ; now = now.Add(tick) {
		if now.Sub(from) >= d {
			return now
		}
		for i, factor := range factors {
			for range perTick {
				step := random.IntN(maxStep)
				l.Observe(Sample{Process: process(i), Kind: "gap", Step: step, Weight: 1, Value: gap * factor(step) * math.Exp2(0.06*float64(step)+0.5*random.NormFloat64())}, now)
			}
		}
		l.Update(now)
	}
}

func constant(f float64) func(int) float64 { return func(int) float64 { return f } }

// Guards against a wrong speed where servers differ for good, one slows for a while, or one process is replaced, and against a
// speed that stays without samples.
func TestSpeedFollowsServers(t *testing.T) {
	l := New()
	usual := []func(int) float64{constant(1), constant(1), constant(1), constant(1.3)}
	now := feed(l, start, 20*time.Second, 5, 6, usual)
	speed := func(i int) float64 { return l.Estimates(now)[process(i)].Speed }
	for i, want := range []float64{1, 1, 1, 1.3} {
		assert.InDelta(t, want, speed(i), 0.15, i)
		assert.Equal(t, 1.0, l.Estimates(now)[process(i)].Limit, "the usual slow-down by load is no limit")
	}
	slowed := []func(int) float64{constant(3), constant(1), constant(1), constant(1.3)}
	now = feed(l, now, 10*time.Second, 5, 6, slowed)
	t.Logf("10 s after a slow-down to 3: %.2f", speed(0))
	assert.Greater(t, speed(0), 2.0)
	now = feed(l, now, 20*time.Second, 5, 6, usual)
	t.Logf("20 s after its end: %.2f", speed(0))
	assert.InDelta(t, 1, speed(0), 0.25)
	now = feed(l, now, time.Minute, 5, 6, usual[:3])
	assert.InDelta(t, 1, speed(3), 0.1, "without samples")
	assert.Equal(t, Estimate{}, l.Estimates(now)[serverstate.Process{ID: "s3", StartTime: 2}], "another process")
	l.Retain(func(p serverstate.Process) bool { return p == process(0) })
	assert.Len(t, l.servers, 1)
}

// Guards against a single bad sample, or damaged figures of another host, that decide the speed of a server.
func TestFewSamplesCountLittle(t *testing.T) {
	l := New()
	now := feed(l, start, 10*time.Second, 5, 6, []func(int) float64{constant(1), constant(1), constant(1)})
	l.Observe(Sample{Process: process(7), Kind: "gap", Value: gap * 100, Weight: 1}, now)
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		l.Observe(Sample{Process: process(0), Kind: "gap", Value: v, Weight: 1}, now)
	}
	l.Observe(Sample{Process: process(0), Kind: "gap", Value: 1, Weight: 1, Step: LoadSteps}, now)
	r := Report{Process: process(1)}
	r.Samples[0], r.LogRatios[0] = 1e6, math.Inf(1)
	r.Samples[1], r.LogRatios[1] = math.NaN(), 1
	l.SetPeers([]Report{r})
	l.Update(now)
	l.Update(now)
	estimates := l.Estimates(now)
	assert.InDelta(t, 1.5, estimates[process(7)].Speed, 0.5)
	assert.Equal(t, MaxSpeed, estimates[process(1)].Speed)
	assert.InDelta(t, 1, estimates[process(0)].Speed, 0.2)
}

// Guards against a server that slows at half its places and is filled all the same, and against a limit that stays after
// the server has changed.
func TestLimitWhereServerSlows(t *testing.T) {
	l := New()
	knee := func(step int) float64 {
		if step >= 4 {
			return 3
		}
		return 1
	}
	factors := []func(int) float64{knee, constant(1), constant(1)}
	now := feed(l, start, 30*time.Second, 5, LoadSteps, factors)
	e := l.Estimates(now)
	assert.Equal(t, 0.5, e[process(0)].Limit)
	assert.Equal(t, 1.0, e[process(1)].Limit)
	assert.InDelta(t, 1, e[process(0)].Speed, 0.25, "the load past the limit does not make it slow below")
	now = feed(l, now, 3*time.Minute, 5, LoadSteps, []func(int) float64{constant(1), constant(1), constant(1)})
	assert.Equal(t, 1.0, l.Estimates(now)[process(0)].Limit)
}

// Guards against hosts whose ratios refer to different values: a host that starts during a slow-down of all servers, and one
// that measures other routes, must agree with the others. It also guards against values that drift away together.
func TestHostsAgreeOnTheUsualValue(t *testing.T) {
	usual := []func(int) float64{constant(1), constant(1), constant(1.3)}
	slow := []func(int) float64{constant(2.5), constant(2.5), constant(3.25)}
	old, fresh := New(), New()
	now := feed(old, start, 20*time.Second, 2, 6, usual)
	now = feed(old, now, 4*time.Second, 2, 6, slow)
	fresh.SetPeers(old.Reports())
	fresh.Update(now)
	assert.InDelta(t, 1.3, fresh.Estimates(now)[process(2)].Speed, 0.2, "before it has samples of its own")
	exchange := func(d time.Duration, factors []func(int) float64) {
		for end := now.Add(d); now.Before(end); {
			a, b := old.Reports(), fresh.Reports() // one second old when they are replaced
			feed(old, now, time.Second, 2, 6, factors)
			now = feed(fresh, now, time.Second, 2, 6, factors)
			old.SetPeers(b)
			fresh.SetPeers(a)
		}
	}
	difference := func() float64 { return math.Abs(old.usual["gap"].log - fresh.usual["gap"].log) }
	exchange(2*time.Second, slow)
	t.Logf("difference of the usual gaps after 2 s: %.2f, in binary logarithms", difference())
	exchange(10*time.Second, usual)
	t.Logf("10 s later: %.2f", difference())
	// Half of the ratio between the speeds of servers cannot exchange their order, also if one host measures only the slow ones.
	assert.Less(t, difference(), math.Log2(1.3)/2)
	exchange(2*time.Minute, usual)
	assert.Less(t, difference(), math.Log2(1.3)/2)
	assert.InDelta(t, math.Log2(gap), old.usual["gap"].log, 0.5)
	assert.InDelta(t, 1.3, fresh.Estimates(now)[process(2)].Speed, 0.2)
}

// Guards against a server that attracts or repels work by false figures, and a true one that is not believed.
func TestStatedPaceCountsAsFarAsMeasured(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	l := New()
	var truth, liar, always float64
	now := start
	for i := range 400 { // 100 s, a figure of each server at each tick
		now = start.Add(time.Duration(i) * tick)
		for s := range 3 {
			real, states := 1.0, 100
			if random.Float64() < 0.15 {
				real = 2.5
			}
			switch s {
			case 0:
				states = int(100 * real)
			case 1:
				states = []int{25, 400}[random.IntN(2)]
			case 2:
				states = 25
			}
			l.State(process(s), states, now)
			l.Observe(Sample{Process: process(s), Kind: "gap", Value: gap * math.Sqrt(real) * math.Exp2(0.3*random.NormFloat64()), Weight: 1}, now)
			slowdown := l.Estimates(now)[process(s)].Slowdown
			if i < 200 {
				continue
			}
			switch {
			case s == 0 && real > 1:
				truth = max(truth, slowdown)
			case s == 1:
				liar = max(liar, slowdown, 1/slowdown)
			case s == 2:
				always = max(always, slowdown, 1/slowdown)
			}
		}
		l.Update(now)
	}
	t.Logf("largest factors: true figures %.2f, false changes %.2f, always the same false figure %.2f", truth, liar, always)
	assert.Greater(t, truth, 1.5)
	assert.Less(t, liar, 1.5)
	assert.Less(t, always, 1.1)
	later := l.Estimates(now.Add(statedTimeout + 1))
	assert.Equal(t, 1.0, later[process(0)].Slowdown, "a figure that is too old")
}
