package policybench

import (
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// BenchmarkPolicy measures all scenarios with 5 seeds and prints the tables of
// docs/measurements.md. It uses half the processors.
func BenchmarkPolicy(b *testing.B) {
	// A run allocates an event per step; collecting less often saves time.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	for b.Loop() {
		cells := measure(scenarios, []float64{0.7, 1.0, 1.3}, capacity(), 5, max(runtime.GOMAXPROCS(0)/2, 1))
		if err := writeTables(os.Stdout, cells); err != nil {
			b.Fatal(err)
		}
	}
}

// testRate is the capacity in requests per second, written down because
// measuring it takes longer than the tests.
const testRate = 104

// short is a scenario short enough for an ordinary test.
func short(name string) scenario {
	for _, s := range scenarios {
		if s.name == name {
			s.warmUp, s.measured, s.moment = 30*time.Second, 10*time.Second, 3*time.Second
			return s
		}
	}
	panic("no scenario " + name)
}

// crowded is a short run at 2 times capacity with seed 1; with less load it
// takes longer until the baselines' engines are crowded.
var crowded = sync.OnceValue(func() *cell {
	return measure([]scenario{short("steady")}, []float64{2}, testRate, 1, 4)[0]
})

// Guards against a change of the policy that gives up preemptions, stall time
// or throughput under crowding. The bounds are the targets.
func TestCrowding(t *testing.T) {
	c := crowded()
	require.Positive(t, c.median(1, preemptions), "the baseline is not crowded")
	require.LessOrEqual(t, c.ratio(preemptions, lower), 0.1)
	require.LessOrEqual(t, c.ratio(stall, lower), 0.25)
	require.GreaterOrEqual(t, c.ratio(tokens, higher), 0.97)
}

// Guards against a long tail between tokens under crowding. The bound is the target.
func TestCrowdingTokenGap(t *testing.T) {
	require.LessOrEqual(t, crowded().ratio(gapP99, lower), 0.5)
}

// Guards against lost requests, and slow streams elsewhere, when a failure
// domain leaves and returns, and against overloading its cold engines.
func TestDomainLeavesAndReturns(t *testing.T) {
	sc := short("domain")
	sc.measured = 30 * time.Second // the domain returns after 18 s
	r := simulate(sc, testRate, 1, newCore)
	require.Zero(t, r.Interrupted)
	require.Zero(t, r.Unfinished)
	require.Positive(t, r.Restarts)
	require.Zero(t, r.OverloadCrashes)
	require.LessOrEqual(t, r.OtherDomainsGapAfter, 1.5*r.OtherDomainsGapBefore)
}

// Guards against figures that cannot be reproduced.
func TestSameSeedSameFigures(t *testing.T) {
	sc := scenario{hosts: 3, reportLag: enginemodel.DefaultReportLag,
		warmUp: 2 * time.Second, measured: 4 * time.Second, moment: time.Second, event: reclaim}
	first := simulate(sc, 60, 7, newCore)
	require.Equal(t, first, simulate(sc, 60, 7, newCore))
	require.NotEqual(t, first, simulate(sc, 60, 8, newCore))
	require.Positive(t, first.TokensPerSecond)
}

// Guards against plots that show other tokens than the tables count.
func TestSeriesCountsMeasuredTokens(t *testing.T) {
	s := newSeries()
	sc := short("domain")
	sc.drain, sc.observe = false, s.token
	r := simulate(sc, testRate, 1, newCore)
	sum, gaps := 0.0, int64(0)
	for i := range s.gaps {
		for region := range s.tokens {
			sum += s.tokens[region][i]
		}
		gaps += s.gaps[i].TotalCount()
	}
	require.InDelta(t, r.TokensPerSecond*sc.measured.Seconds(), sum, 0.5)
	require.Positive(t, gaps)
	require.Less(t, float64(gaps), sum)
}
