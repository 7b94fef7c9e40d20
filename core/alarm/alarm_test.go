package alarm

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func observe(tr *Tracker, n int, s Sample, now time.Time) {
	for range n {
		tr.Observe("quick", s, now)
	}
}

// Guards against an alarm without a missed target: too few requests, or misses
// within the 5% that a target allows.
func TestNoAlarmWithinTarget(t *testing.T) {
	tr := NewTracker()
	tr.SetTarget("quick", Target{FirstTokenMS: 1900, TokenGapMS: 52})
	now := time.Unix(100, 0)
	observe(tr, MinRequests-1, Sample{FirstTokenMS: 5000}, now)
	require.Empty(t, tr.Active(now))
	now = now.Add(2 * Window)
	observe(tr, 95, Sample{FirstTokenMS: 100, Gaps: 100, LateGaps: 5}, now)
	observe(tr, 5, Sample{FirstTokenMS: 2000, Gaps: 100, LateGaps: 5}, now)
	require.Empty(t, tr.Active(now))
}

// Guards against a missed target without an alarm, an alarm with a wrong start
// time, and one that stays active after the target is met again.
func TestTargetAlarmRaisesAndClears(t *testing.T) {
	tr := NewTracker()
	tr.SetTarget("quick", Target{FirstTokenMS: 1900, TokenGapMS: 52})
	start := time.Unix(100, 0)
	observe(tr, 20, Sample{FirstTokenMS: 100, Gaps: 10, LateGaps: 1, WorstGapMS: 80}, start)
	observe(tr, 2, Sample{Rejected: true}, start.Add(time.Second))
	got := tr.Active(start.Add(30 * time.Second))
	require.Len(t, got, 2)
	require.Equal(t, Alarm{Kind: TokenGap, Class: "quick", Since: start, TargetMS: 52, MissShare: 0.1, WorstMS: 80, Count: 20}, got[0])
	require.Equal(t, FirstToken, got[1].Kind)
	require.Equal(t, start.Add(time.Second), got[1].Since)
	require.Equal(t, 22, got[1].Count)
	require.Empty(t, tr.Active(start.Add(Window+bucketWidth)))

	observe(tr, 30, Sample{Rejected: true}, start.Add(3*Window))
	tr.SetTarget("quick", Target{FirstTokenMS: 5000})
	require.Empty(t, tr.Active(start.Add(3*Window)))
}

// Guards against a violated guarantee without an alarm, and against unbounded
// memory use.
func TestGuaranteeViolation(t *testing.T) {
	tr := NewTracker()
	now := time.Unix(100, 0)
	tr.RecordViolation("G1", "offset repeated", now)
	tr.RecordViolation("G1", "offset repeated", now.Add(time.Second))
	require.Equal(t, []Alarm{{Kind: Guarantee, Guarantee: "G1", Detail: "offset repeated", Since: now, Count: 2}},
		tr.Active(now.Add(time.Second)))
	require.Empty(t, tr.Active(now.Add(time.Second+Window)))
	for i := range 10 * maxViolations {
		tr.RecordViolation("G2", fmt.Sprint(i), now)
	}
	require.LessOrEqual(t, len(tr.Active(now)), maxViolations+1)
}
