package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// Guards against a number of polls that grows with the backend servers of the cell, and
// against a backend server that is never polled.
func TestChoosePollsIsBounded(t *testing.T) {
	var hosts []platform.Host
	for i := range 190 {
		hosts = append(hosts, platform.Host{ID: fmt.Sprint(i)})
	}
	use := func(h platform.Host) usage {
		switch h.ID {
		case "0":
			return usedCold
		case "1", "2":
			return usedWarm
		}
		return unused
	}
	lastPolled, polls := map[string]time.Time{}, map[string]int{}
	now := time.Unix(1000, 0)
	const rounds = 200 // 100 s
	for range rounds {
		chosen := choosePolls(hosts, use, lastPolled, now)
		require.LessOrEqual(t, len(chosen), 3+maxUnusedPolls)
		for _, h := range chosen {
			lastPolled[h.ID] = now
			polls[h.ID]++
		}
		now = now.Add(pollInterval)
	}
	require.Equal(t, rounds, polls["0"])
	require.Equal(t, rounds/2, polls["1"])
	for _, h := range hosts {
		require.GreaterOrEqual(t, polls[h.ID], rounds*maxUnusedPolls/len(hosts), h.ID)
	}
}
