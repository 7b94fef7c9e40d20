package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/view"
)

var (
	t0     = time.Unix(1000, 0)
	limits = Limits{Cold: 4, Warm: 20}
)

func grantOf(self string, epoch uint64, members ...string) Grant {
	return Grant{Self: self, View: view.View{Epoch: epoch, Members: members}, SlotsUsableFrom: t0, LeaseUntil: t0.Add(time.Minute)}
}

func report(seq uint64, at time.Duration, inFlight int, completed uint64) Report {
	return Report{Incarnation: "i", Sequence: seq, TakenAt: t0.Add(at), InFlight: inFlight, Completed: completed}
}

// Guards against a warm-up that progresses with time alone, on old reports, or while the
// time to first token exceeds its target.
func TestConcurrencyLimitRisesWithCompletedRequestsOnly(t *testing.T) {
	s, g, target := &State{Backend: "b"}, grantOf("a", 1, "a"), time.Second
	require.Zero(t, s.Limit(t0, limits, g), "no report yet")
	s.Observe(report(1, 0, 0, 0), limits, target, g)
	require.Equal(t, 4, s.Limit(t0, limits, g))
	s.Observe(report(2, 1, 4, 15), limits, target, g)
	require.Equal(t, 4, s.ConcurrencyLimit(), "15 of 16 completed")
	slow := report(3, 2, 4, 36)
	slow.FirstToken = target + 1
	s.Observe(slow, limits, target, g)
	require.Equal(t, 4, s.ConcurrencyLimit(), "the time to first token exceeds the target")
	s.Observe(report(3, 3, 4, 36), limits, target, g)
	require.Equal(t, 4, s.ConcurrencyLimit(), "a repeated sequence number is ignored")
	s.Observe(report(4, 4, 4, 16), limits, target, g)
	require.Equal(t, 8, s.ConcurrencyLimit())
	s.Observe(report(5, 5, 4, 47), limits, target, g)
	require.Equal(t, 8, s.ConcurrencyLimit(), "31 of 32 completed")
	s.Observe(report(6, 6, 4, 48), limits, target, g)
	require.Equal(t, 16, s.ConcurrencyLimit())
	require.Equal(t, 16, s.Limit(t0, limits, g))
	s.Observe(report(7, 7, 4, 999), limits, target, g)
	require.Equal(t, 20, s.ConcurrencyLimit(), "limited to warm_limit")
	fresh := report(1, 7, 0, 0)
	fresh.Incarnation = "j"
	s.Observe(fresh, limits, target, g)
	require.Equal(t, 4, s.ConcurrencyLimit(), "a new incarnation is cold")
}

// Guards against a cold sighting that is undone by reports taken before it, or applied
// again when it is relayed.
func TestColdSightingResetsOnce(t *testing.T) {
	s, g := &State{Backend: "b"}, grantOf("a", 1, "a")
	s.Observe(report(1, 0, 0, 1000), limits, 0, g)
	require.Equal(t, 20, s.ConcurrencyLimit(), "already warmed up by other hosts")
	seen := t0.Add(2 * time.Second)
	require.True(t, s.MarkCold(seen, seen, limits))
	require.Equal(t, 4, s.ConcurrencyLimit())
	s.Observe(report(2, time.Second, 0, 2000), limits, 0, g)
	s.Observe(report(3, 3*time.Second, 0, 3000), limits, 0, g)
	require.Equal(t, 4, s.ConcurrencyLimit(), "requests that completed before the sighting do not count")
	s.Observe(report(4, 4*time.Second, 0, 3016), limits, 0, g)
	require.Equal(t, 8, s.ConcurrencyLimit())
	require.False(t, s.MarkCold(seen.Add(300*time.Millisecond), seen.Add(3*time.Second), limits))
	require.Equal(t, 8, s.ConcurrencyLimit())
	_, cold := s.SeenCold(limits)
	require.True(t, cold)

	joined := &State{Backend: "b"}
	joined.MarkCold(seen, seen, limits)
	joined.Observe(report(5, 5*time.Second, 0, 9000), limits, 0, g)
	require.Equal(t, 4, joined.ConcurrencyLimit(), "a host that joins after the sighting must not treat the server as warm")
}

// Guards against using a reassigned slot while its previous owner may still use it.
func TestReassignedSlotWaitsForIdleReport(t *testing.T) {
	s := &State{Backend: "b"}
	s.Observe(report(1, 0, 0, 0), limits, 0, grantOf("a", 1, "a", "z"))
	kept := s.Limit(t0, limits, grantOf("a", 1, "a", "z"))
	g := grantOf("a", 2, "a")
	g.SlotsUsableFrom = t0.Add(4 * time.Second)
	require.Equal(t, kept, s.Limit(t0, limits, g), "slots that the host already owned stay usable")
	s.Observe(report(2, 3*time.Second, 0, 0), limits, 0, g)
	require.Equal(t, kept, s.Limit(t0, limits, g), "the report was taken before the old lease expired")
	s.Observe(report(3, 5*time.Second, 1, 0), limits, 0, g)
	require.Equal(t, kept, s.Limit(t0, limits, g), "the backend server is not idle")
	s.Observe(report(4, 6*time.Second, 0, 0), limits, 0, g)
	require.Equal(t, 4, s.Limit(t0, limits, g))
	require.Zero(t, s.Limit(g.LeaseUntil, limits, g), "the lease has expired")
	require.Zero(t, s.Limit(t0, limits, grantOf("a", 4, "a")), "another host may have owned the slots in epoch 3")
}

// Guards against a warm server whose quota depends on the lease, or ignores the capacity
// that the last report shows as used.
func TestWarmQuota(t *testing.T) {
	s, g := &State{Backend: "b"}, grantOf("a", 1, "a", "b", "c", "d")
	g.LeaseUntil = time.Time{}
	r := report(1, 0, 5, 1000)
	s.Observe(r, limits, 0, g)
	require.Equal(t, 8, s.Limit(t0, limits, g), "a warm server can be used without a lease")
	r.Sequence, r.InFlight, r.OwnInFlight = 2, 18, 1
	s.Observe(r, limits, 0, g)
	require.Equal(t, 3, s.Limit(t0, limits, g), "capacity for 2 requests in addition to the host's own")
}

// Compares three ways to divide a server's cold slots among 9 hosts: a fixed quota for each
// host, one owner for all slots of a server, and one owner for each slot. Reported is how
// many slots are usable with all hosts alive and while one of them is dead.
func BenchmarkColdCapacity(b *testing.B) {
	hosts := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	const cold, backends, dead = 4, 200, "a"
	// Each function returns the slots of a backend server and how many the dead host owns.
	for name, f := range map[string]func(id string) (all, lost int){
		"static": func(string) (int, int) { return len(hosts) * (cold / len(hosts)), cold / len(hosts) },
		"oneowner": func(id string) (int, int) {
			if view.Owner(id, hosts) == dead {
				return cold, cold
			}
			return cold, 0
		},
		"slots": func(id string) (all, lost int) {
			for _, owner := range view.SlotOwners(id, cold, hosts) {
				if owner == dead {
					lost++
				}
			}
			return cold, lost
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				usable, left, stopped := 0, 0, 0
				for i := range backends {
					all, lost := f(fmt.Sprint("backend-", i))
					usable, left = usable+all, left+all-lost
					if all == lost {
						stopped++
					}
				}
				b.ReportMetric(float64(usable)/backends, "usable/backend")
				b.ReportMetric(float64(left)/backends, "usable_one_dead/backend")
				b.ReportMetric(float64(stopped), "stopped_one_dead")
			}
		})
	}
}
