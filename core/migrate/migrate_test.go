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

// Guards against copies that compete for an engine's link, or leave it idle, when the
// engine terminates while three hosts relay its generations. Their plans must give each
// generation its own interval on the link, without gaps, since the notice is short.
func TestPlansOfAllHostsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "generations")
		type relayed struct {
			Generation
			host int
		}
		var all []relayed
		for i := range n {
			all = append(all, relayed{
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
			var visible []Generation
			for _, r := range all {
				g := r.Generation
				g.RelayedHere = r.host == host
				visible = append(visible, g)
			}
			migrations, end := Plan(visible, transfer)
			ends = append(ends, end)
			for _, m := range migrations {
				starts[m.ID] = m.Start
			}
		}
		for _, r := range all {
			tokens[r.ID] = r.Tokens
		}
		require.Len(t, starts, n, "each generation is migrated by exactly one host")
		busy := time.Duration(0)
		for _, n := range tokens {
			busy += transfer(n)
		}
		assert.Equal(t, busy, ends[0], "the link is never idle")
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

// Guards against migrating too few generations before the engine ends: short prompts
// come first, since more of them can be copied, and generations that are about to
// complete come last.
func TestMigrationOrder(t *testing.T) {
	migrations, _ := Plan([]Generation{
		{ID: "long", Tokens: 5000, Priority: Priority(5000, 900), RelayedHere: true},
		{ID: "nearly-done", Tokens: 1000, Priority: Priority(1000, 20), RelayedHere: true},
		{ID: "short", Tokens: 2000, Priority: Priority(2000, 900), RelayedHere: true},
	}, transfer)
	var order []string
	for _, m := range migrations {
		order = append(order, m.ID)
	}
	assert.Equal(t, []string{"short", "long", "nearly-done"}, order)
}

// Guards against an idle link before the copy of a host in another region: its command
// reaches the engine later, so it starts earlier.
func TestCrossRegionHostsStartEarlier(t *testing.T) {
	migrations, end := Plan([]Generation{
		{ID: "a", Tokens: 4000, Priority: 1},
		{ID: "b", Tokens: 1000, Priority: 2, CrossRegion: true, RelayedHere: true},
	}, transfer)
	require.Len(t, migrations, 1)
	assert.Equal(t, transfer(4000)-crossRegionLead, migrations[0].Start)
	assert.Equal(t, transfer(4000)+transfer(1000), end)
	_, end = Plan([]Generation{{ID: "b", Tokens: 1000, Priority: 2, CrossRegion: true}}, transfer)
	assert.Equal(t, crossRegionLead+transfer(1000), end, "the copy starts only when the command of the host reaches the engine")
}

// Guards against copies of two engines delaying each other at one target when both
// engines of a region terminate at the same time.
func TestTargetsAreDividedAmongTerminatingEngines(t *testing.T) {
	terminating := []string{"l2", "l1"}
	targets := []string{"t3", "t1", "t2"}
	assert.Equal(t, []string{"t1", "t3"}, AssignTargets("l1", terminating, targets))
	assert.Equal(t, []string{"t2"}, AssignTargets("l2", terminating, targets))
	assert.Equal(t, []string{"t1"}, AssignTargets("l1", terminating, []string{"t1"}), "a single target is shared")
	assert.Equal(t, targets, AssignTargets("x", terminating, targets))
	assert.Empty(t, AssignTargets("l1", terminating, nil))
}

// Guards against a wrong unit in the transfer time and a division by zero for a link of
// unknown rate.
func TestTransferTime(t *testing.T) {
	assert.InDelta(t, 163, float64(TransferTime(3000, 18432, 2700).Milliseconds()), 2)
	assert.Zero(t, TransferTime(3000, 18432, 0))
}
