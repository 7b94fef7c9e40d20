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

// BenchmarkPolicy simulates all scenarios with 5 seeds and prints the tables in
// docs/measurements.md. It uses half of the processors.
func BenchmarkPolicy(b *testing.B) {
	// A simulation allocates an event per step; less frequent garbage collection saves time.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	for b.Loop() {
		measurements := measure(scenarios, []float64{0.7, 1.0, 1.3}, capacity(), 5, max(runtime.GOMAXPROCS(0)/2, 1))
		if err := writeTables(os.Stdout, measurements); err != nil {
			b.Fatal(err)
		}
	}
}

// testRate is the capacity in requests per second. It is a constant because measuring it takes
// longer than the tests.
const testRate = 104

// shortScenario returns the named scenario with shorter times for tests.
func shortScenario(name string) scenario {
	for _, s := range scenarios {
		if s.name == name {
			s.warmUp, s.measureTime, s.eventOffset = 30*time.Second, 10*time.Second, 3*time.Second
			return s
		}
	}
	panic("no scenario " + name)
}

// overloaded returns the results of the short steady scenario at 2 times capacity with seed 1.
// With less load, it takes longer until the baselines overload the engines.
var overloaded = sync.OnceValue(func() *measurement {
	return measure([]scenario{shortScenario("steady")}, []float64{2}, testRate, 1, 4)[0]
})

// Guards against policy changes that increase preemptions or stall time, or reduce throughput,
// on overloaded engines. The bounds are the targets, as ratios to the best baseline.
func TestCrowding(t *testing.T) {
	c := overloaded()
	require.Positive(t, c.median(1, preemptions), "the baseline does not overload the engines")
	require.LessOrEqual(t, c.ratio(preemptions, lower), 0.1)
	require.LessOrEqual(t, c.ratio(stall, lower), 0.25)
	require.GreaterOrEqual(t, c.ratio(tokens, higher), 0.97)
}

// Guards against a long tail of token gaps on overloaded engines: the p99 gap must be at most half
// of that of the best baseline, which is the target. A known fault exceeds it, since an engine
// prefills a prompt in one step and the dispatcher cannot split it; see KNOWN-RED.txt.
func TestCrowdingTokenGap(t *testing.T) {
	require.LessOrEqual(t, overloaded().ratio(gapP99, lower), 0.5)
}

// Guards against lost requests and slow streams in other domains when a failure domain is taken
// out of service and returns, and against overloading its engines, which return cold.
func TestDomainRestart(t *testing.T) {
	sc := shortScenario("domain")
	sc.measureTime = 30 * time.Second // the domain returns to service after 18 s
	r := simulate(sc, testRate, 1, newCorePolicy)
	require.Zero(t, r.Interrupted)
	require.Zero(t, r.Unfinished)
	require.Positive(t, r.Restarts)
	require.Zero(t, r.OverloadCrashes)
	require.LessOrEqual(t, r.OtherDomainsGapAfter, 1.5*r.OtherDomainsGapBefore)
}

// Guards against results that are not reproducible.
func TestSameSeedSameResult(t *testing.T) {
	sc := scenario{hosts: 3, reportLag: enginemodel.DefaultReportLag,
		warmUp: 2 * time.Second, measureTime: 4 * time.Second, eventOffset: time.Second, event: reclaimEngine}
	first := simulate(sc, 60, 7, newCorePolicy)
	require.Equal(t, first, simulate(sc, 60, 7, newCorePolicy))
	require.NotEqual(t, first, simulate(sc, 60, 8, newCorePolicy))
	require.Positive(t, first.TokensPerSecond)
}

// Guards against plots that count different tokens than the tables.
func TestSeriesCountsMeasuredTokens(t *testing.T) {
	s := newSeries()
	sc := shortScenario("domain")
	sc.drain, sc.observe = false, s.token
	r := simulate(sc, testRate, 1, newCorePolicy)
	sum, gaps := 0.0, int64(0)
	for i := range s.gaps {
		for region := range s.tokens {
			sum += s.tokens[region][i]
		}
		gaps += s.gaps[i].TotalCount()
	}
	require.InDelta(t, r.TokensPerSecond*sc.measureTime.Seconds(), sum, 0.5)
	require.Positive(t, gaps)
	require.Less(t, float64(gaps), sum)
}
