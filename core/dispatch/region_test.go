package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/admit"
)

// twoRegions returns a dispatcher for a host in region a, which has a share of the backend server "near" but none of
// "far" in region b.
func twoRegions(engine bool, limit int) *Dispatcher {
	d := New(Options{Region: "a", Engine: engine, Seed: 1})
	d.SetServers([]Server{
		{ID: "near", Region: "a", Limit: limit, Warm: true, Capacity: limit},
		{ID: "far", Region: "b", Limit: limit, Warm: true, Capacity: limit},
	}, 0, 2)
	return d
}

// Guards against a request that may use other regions waiting behind a more urgent one that still waits for its own,
// and against one that takes the capacity which the urgent one waits for.
func TestWaitForOwnRegionDelaysNoOthers(t *testing.T) {
	d := twoRegions(false, 1)
	require.Equal(t, "near", d.Offer(request(1), start).Server)
	require.Equal(t, admit.Wait, d.Offer(request(2), start).Action)
	require.Equal(t, admit.Wait, d.Offer(request(3), start).Action)
	urgent := request(4)
	urgent.Priority, urgent.Arrival = 1, start.Add(localWait)
	require.Equal(t, admit.Wait, d.Offer(urgent, urgent.Arrival).Action)
	require.Equal(t, []Outcome{{ID: 2, Action: admit.Dispatch, Server: "far"}}, d.Drain(urgent.Arrival))
	d.Ended(1, true, urgent.Arrival)
	require.Equal(t, []Outcome{{ID: 4, Action: admit.Dispatch, Server: "near"}}, d.Drain(urgent.Arrival))
	require.Equal(t, 1, d.Waiting())
}

// Guards against a wait for the own region while all its backend servers refuse requests.
func TestRefusingRegionIsNotAwaited(t *testing.T) {
	d := twoRegions(false, 1)
	d.Refuse("near", "", time.Minute, start)
	require.Equal(t, "far", d.Offer(request(1), start).Server)
}

// Guards against rejections while an engine is idle (issue 26): urgent unstreamed requests kept the engine of the
// host's region in prefill, and each blocked the queue while it waited for that engine; their prefills, which are not
// observed, ended only with the next refresh.
func TestIdleEngineOfOtherRegionServesWaitingRequests(t *testing.T) {
	for name, row := range map[string]struct{ urgentPerSecond, streamsPerSecond float64 }{
		"streams behind urgent requests": {5, 3},
		"many urgent requests":           {9, 2},
	} {
		t.Run(name, func(t *testing.T) { serveTwoRegions(t, row.urgentPerSecond, row.streamsPerSecond) })
	}
}

// serveTwoRegions offers requests for a minute to two engines in different regions and fails if one is rejected.
func serveTwoRegions(t *testing.T, urgentPerSecond, streamsPerSecond float64) {
	const (
		step     = 10 * time.Millisecond
		refresh  = 200 * time.Millisecond
		duration = 300 * time.Millisecond
	)
	d := twoRegions(true, 16)
	rng := rand.New(rand.NewPCG(1, 1))
	ends := map[uint64]time.Time{}
	streams, next := map[uint64]bool{}, uint64(0)
	var now time.Time
	apply := func(out Outcome) {
		switch out.Action {
		case admit.Dispatch:
			ends[out.ID] = now.Add(duration)
		case admit.Reject:
			require.Fail(t, "rejected", "stream %v after %s: %s", streams[out.ID], now.Sub(start), out.Shortages)
		}
	}
	for at := time.Duration(0); at < time.Minute; at += step {
		now = start.Add(at)
		for id, end := range ends {
			if streams[id] {
				d.Progress(id, 1)
			}
			if !now.Before(end) {
				d.Ended(id, true, now)
				delete(ends, id)
			}
		}
		if at%refresh == 0 {
			d.Refresh(now)
		}
		for _, out := range d.Drain(now) {
			apply(out)
		}
		for _, stream := range []bool{false, true} {
			perSecond := urgentPerSecond
			if stream {
				perSecond = streamsPerSecond
			}
			if rng.Float64() >= perSecond*step.Seconds() {
				continue
			}
			next++
			r := request(next)
			r.Arrival, r.Buffered = now, !stream
			if !stream {
				r.Class, r.Priority, r.Target = "urgent", 1, 4*time.Second
			}
			streams[next] = stream
			apply(d.Offer(r, now))
		}
	}
}
