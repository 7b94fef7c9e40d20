package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

// Guards against a retry storm: for any order of attempts, the retries within any 10 s
// are at most 20% of the first attempts plus 3 per second.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := time.Unix(1000, 0)
		var firstAttempts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			} else if b.Allow(now) {
				retries = append(retries, now)
			}
			// With buckets of 1 s, a first attempt counts for at most 10 s, and a
			// span of 10 s touches at most 11 buckets with extra retries.
			since := now.Add(-Window)
			limit := Ratio*float64(count(firstAttempts, since.Add(-Window))) + ExtraPerSecond*11
			require.LessOrEqual(t, float64(count(retries, since)), limit)
		}
	})
}

func count(ts []time.Time, since time.Time) (n int) {
	for _, t := range ts {
		if t.After(since) {
			n++
		}
	}
	return n
}

// Guards against a budget that allows no retries to a host with little traffic, and against
// one that allows no more once it was used up.
func TestBudgetExtraAndEarned(t *testing.T) {
	var b Budget
	now := time.Unix(50, 0)
	allowed := func() (n int) {
		for b.Allow(now) {
			n++
		}
		return n
	}
	require.Equal(t, ExtraPerSecond, allowed())
	now = now.Add(time.Second)
	for range 50 {
		b.RecordFirstAttempt(now)
	}
	require.Equal(t, 10+ExtraPerSecond, allowed())
	now = now.Add(time.Second)
	require.Equal(t, ExtraPerSecond, allowed())
	now = now.Add(Window)
	for range 50 {
		b.RecordFirstAttempt(now)
	}
	require.Equal(t, 10+ExtraPerSecond, allowed())
}
