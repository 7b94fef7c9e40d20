package length

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

// Guards against probabilities above 1 by rounding, which give predicted demand a negative variance.
func TestSurvivalIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		lengths := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 4).Draw(t, "lengths")
		for range rapid.IntRange(1, 200).Draw(t, "count") {
			m.Observe("c", "t", rapid.SampledFrom(lengths).Draw(t, "length"))
			d := m.Dist("c", "t")
			soFar := rapid.IntRange(0, 5000).Draw(t, "soFar")
			last := 1.0
			for _, ahead := range []int{0, 1, 32, 96, 480, 4064} {
				p := d.Survival(soFar, ahead)
				require.LessOrEqual(t, p, last, "after %d tokens, %d ahead", soFar, ahead)
				require.GreaterOrEqual(t, p, 0.0)
				last = p
			}
		}
	})
}
