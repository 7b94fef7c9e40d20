package migrate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

func transfer(tokens int) time.Duration { return TransferTime(tokens, 18432, 2700) }

// Pattern: an engine is reclaimed while three hosts relay its runs. Their plans
// must give each run a time of its own on the engine's link, without a pause
// between two copies: the notice is short.
func TestPlansOfAllHostsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "runs")
		type owned struct {
			Generation
			host int
		}
		var all []owned
		for i := range n {
			all = append(all, owned{
				Generation: Generation{
					ID:       string(rune('a' + i)),
					Tokens:   rapid.IntRange(1, 6000).Draw(t, "tokens"),
					Priority: Priority(rapid.IntRange(1, 6000).Draw(t, "prompt"), rapid.IntRange(1, 2000).Draw(t, "output")),
				},
				host: rapid.IntRange(0, 2).Draw(t, "host"),
			})
		}
		starts := map[string]time.Duration{}
		tokens := map[string]int{}
		var ends []time.Duration
		for host := range 3 {
			var view []Generation
			for _, r := range all {
				own := r.Generation
				own.RelayedHere = r.host == host
				view = append(view, own)
			}
			steps, end := Plan(view, transfer)
			ends = append(ends, end)
			for _, s := range steps {
				starts[s.ID] = s.Start
			}
		}
		for _, r := range all {
			tokens[r.ID] = r.Tokens
		}
		require.Len(t, starts, n, "each run is moved by exactly one host")
		busy := time.Duration(0)
		for _, n := range tokens {
			busy += transfer(n)
		}
		assert.Equal(t, busy, ends[0], "the link does not idle")
		for a, startA := range starts {
			for b, startB := range starts {
				if a != b && startA <= startB {
					assert.GreaterOrEqual(t, startB, startA+transfer(tokens[a]))
				}
			}
		}
		assert.Equal(t, ends[0], ends[1])
		assert.Equal(t, ends[1], ends[2])
	})
}

// Pattern: notices are short. Short prompts go first, since more of them fit,
// and runs that end soon anyway go last.
func TestOrderOfMoves(t *testing.T) {
	steps, _ := Plan([]Generation{
		{ID: "long", Tokens: 5000, Priority: Priority(5000, 900), RelayedHere: true},
		{ID: "nearly-done", Tokens: 1000, Priority: Priority(1000, 20), RelayedHere: true},
		{ID: "short", Tokens: 2000, Priority: Priority(2000, 900), RelayedHere: true},
	}, transfer)
	var order []string
	for _, s := range steps {
		order = append(order, s.ID)
	}
	assert.Equal(t, []string{"short", "long", "nearly-done"}, order)
}

// A host in another region is heard later, so it starts earlier.
func TestRemoteHostsStartAhead(t *testing.T) {
	steps, end := Plan([]Generation{
		{ID: "a", Tokens: 4000, Priority: 1},
		{ID: "b", Tokens: 1000, Priority: 2, CrossRegion: true, RelayedHere: true},
	}, transfer)
	require.Len(t, steps, 1)
	assert.Equal(t, transfer(4000)-remoteLead, steps[0].Start)
	assert.Equal(t, transfer(4000)+transfer(1000), end)
	_, end = Plan([]Generation{{ID: "b", Tokens: 1000, Priority: 2, CrossRegion: true}}, transfer)
	assert.Equal(t, remoteLead+transfer(1000), end, "its copy cannot begin at once")
}

// Pattern: two engines of a region are reclaimed at the same time. Their copies
// must not meet at one target.
func TestTargetsAreDividedAmongLeavingEngines(t *testing.T) {
	leaving := []string{"l2", "l1"}
	open := []string{"t3", "t1", "t2"}
	assert.Equal(t, []string{"t1", "t3"}, AssignTargets("l1", leaving, open))
	assert.Equal(t, []string{"t2"}, AssignTargets("l2", leaving, open))
	assert.Equal(t, []string{"t1"}, AssignTargets("l1", leaving, []string{"t1"}), "one target is shared")
	assert.Equal(t, open, AssignTargets("x", leaving, open))
	assert.Empty(t, AssignTargets("l1", leaving, nil))
}

func TestTransferTime(t *testing.T) {
	assert.InDelta(t, 163, float64(TransferTime(3000, 18432, 2700).Milliseconds()), 2)
	assert.Zero(t, TransferTime(3000, 18432, 0))
}
