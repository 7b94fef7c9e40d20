package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/internal/boottime"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
)

// Guards against a prompt part that each host must see crash engines itself: hosts that saw two crashes
// and one reject it together, and both learn of an answer that shows that another part is sound.
func TestPeersExchangeCrashes(t *testing.T) {
	a, b, _ := startPair(t, nil, nil)
	var guards []*crashes.Guard
	for _, d := range []*testDaemon{a, b} {
		g := crashes.New(crashes.Options{HostID: d.manager.Self(), Peers: func() []string { return []string{"a", "b"} }, Clock: boottime.Now, Log: zerolog.Nop()})
		d.cfg.Evidence = g
		guards = append(guards, g)
	}
	bad, sound := attribution.PartOf("bad"), attribution.PartOf("sound")
	crash := func(n int, ageMS int64) attribution.Report {
		return attribution.Report{
			Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: fmt.Sprint("10.0.0.", n), Domain: "d", AgeMS: ageMS,
			Engines: 12, Domains: 1, Parts: []attribution.Part{bad, sound},
		}
	}
	guards[0].Merge([]attribution.Report{crash(1, 5000), crash(2, 4000)}, nil, time.Now(), "test")
	guards[1].Merge([]attribution.Report{crash(3, 3000)}, nil, time.Now(), "test")
	host, ok := a.manager.HostByID("b")
	require.True(t, ok)
	require.NoError(t, a.Sync(t.Context(), host))
	for _, g := range guards {
		require.Len(t, g.Rejections(), 1)
		assert.Len(t, g.Rejections()[0].Parts, 2)
	}
	guards[1].NewRequest("id", []string{"sound"}, func() {}).RecordAnswer()
	require.NoError(t, a.Sync(t.Context(), host))
	for _, g := range guards {
		require.Len(t, g.Rejections(), 1)
		assert.Equal(t, []attribution.Part{bad}, g.Rejections()[0].Parts)
	}
}

// Guards against a heartbeat with more crashes than a host may report.
func TestHeartbeatWithTooManyCrashes(t *testing.T) {
	hb := &peerpb.Heartbeat{Protocol: Protocol, Host: "a"}
	for range maxCrashes + 1 {
		hb.Crashes = append(hb.Crashes, &peerpb.EngineCrash{})
	}
	require.Error(t, checkHeartbeat(hb))
}
