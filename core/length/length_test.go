package length

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a biased prediction: conditional quantiles and means match those computed
// directly from the samples.
func TestRemainingMatchesSamples(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := NewModel()
	var all []int
	for range 400 {
		n := int(math.Exp(5+rng.NormFloat64())) + 1
		m.Observe("c", "t", n)
		all = append(all, n)
	}
	all = all[len(all)-200:]
	sort.Ints(all)
	d := m.Dist("c", "t")
	for _, soFar := range []int{0, 50, 150} {
		var rest []int
		sum := 0
		for _, n := range all {
			if n > soFar {
				rest = append(rest, n-soFar)
				sum += n - soFar
			}
		}
		for _, q := range []float64{0.5, 0.9} {
			want := float64(rest[int(q*float64(len(rest)))])
			require.InEpsilon(t, want, d.Remaining(soFar, q), 0.35, "soFar %d q %v", soFar, q)
		}
		require.InEpsilon(t, float64(sum)/float64(len(rest)), d.MeanRemaining(soFar), 0.3)
	}
}

// Guards against predictions from old observations after the distribution has shifted.
func TestFollowsShift(t *testing.T) {
	m := NewModel()
	for range 5000 {
		m.Observe("c", "t", 100)
	}
	for range 3 * teamHalfLife {
		m.Observe("c", "t", 4000)
	}
	require.Greater(t, m.RemainingQuantile("c", "t", 0.5, 0), 3000)
}

// Guards against a new team or class without a usable prediction, and against wrong values
// for lengths that are shorter or longer than all observed ones.
func TestFallbacks(t *testing.T) {
	m := NewModel()
	require.Greater(t, m.RemainingQuantile("c", "t", 0.5, 0), 0)
	for range 200 {
		m.Observe("c", "t", 1000)
	}
	require.InEpsilon(t, 1000, m.RemainingQuantile("c", "new", 0.5, 0), 0.2)
	d := m.Dist("c", "t")
	require.InEpsilon(t, 9000, d.Remaining(9000, 0.5), 0.01)
	require.Equal(t, 0.0, d.ProbabilityAbove(MaxTokens))
	require.Equal(t, 1.0, d.ProbabilityAbove(-1))
	m.Observe("c", "t", 0)
	require.Zero(t, d.Survival(1, MaxTokens))
}

// Guards against memory use that grows with the number of teams observed since the start.
func TestTeamsBounded(t *testing.T) {
	m := NewModel()
	for i := range 3 * maxTeams {
		m.Observe("c", fmt.Sprint(i), 10)
	}
	c := m.classes["c"]
	require.LessOrEqual(t, len(c.recent)+len(c.old), 2*maxTeams)
}
