package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

// Guards against a request that waits although a backend server can take it (issue 26): after any sequence of requests,
// tokens, ends, reports and changes of the servers, no request waits while a plain backend server in its region is below
// its limit, and no decision is due before the time that NextDecision names.
func TestNoDecisionIsDueBeforeNextDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := rapid.Bool().Draw(t, "engine")
		d := New(Options{Region: "a", Engine: engine, Seed: 1})
		all := []Server{
			{ID: "s1", Incarnation: "1", Region: "a", Limit: 3, Warm: true, Capacity: 3},
			{ID: "s2", Incarnation: "1", Region: "a", Limit: 2, Warm: true, Capacity: 2},
			{ID: "s3", Incarnation: "1", Region: "b", Limit: 3, Warm: true, Capacity: 3},
		}
		listed := all
		d.SetServers(listed, 0, 2)
		now, next, nextDecision := start, uint64(1), time.Time{}
		running := map[uint64]bool{}
		apply := func(out Outcome) {
			if out.Action == admit.Dispatch {
				running[out.ID] = true
			}
		}
		drain := func() {
			for _, out := range d.Drain(now) {
				apply(out)
			}
			require.Empty(t, d.Drain(now), "decided by the second of two calls at once")
			nextDecision = d.NextDecision(now)
			if d.Waiting() == 0 || engine {
				return
			}
			for _, s := range listed {
				require.True(t, s.Region != "a" || d.InFlight(s.ID) >= s.Limit, "%d requests wait while %s is free", d.Waiting(), s.ID)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := now
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if nextDecision.IsZero() || now.Before(nextDecision) {
				require.Empty(t, d.Drain(now), "at %s, decided at %s, next decision at %s", now, before, nextDecision)
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r := request(next)
				r.Arrival, r.Priority, r.Buffered = now, rapid.IntRange(0, 1).Draw(t, "priority"), rapid.Bool().Draw(t, "buffered")
				r.Target = time.Duration(rapid.IntRange(0, 3).Draw(t, "target")) * time.Second
				next++
				apply(d.Offer(r, now))
				drain()
				continue
			case 2:
				for id := range running {
					d.Progress(id, 1)
				}
			case 3:
				if len(running) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(running))).Draw(t, "ended")
					d.Ended(id, rapid.Bool().Draw(t, "complete"), now)
					delete(running, id)
				}
			case 4:
				listed = slices.DeleteFunc(slices.Clone(all), func(Server) bool { return rapid.Bool().Draw(t, "gone") })
				if len(listed) > 0 && rapid.Bool().Draw(t, "replaced") {
					listed[0].Incarnation = "2"
				}
				d.SetServers(listed, 0, 2)
			case 5:
				for _, s := range listed {
					d.ApplyReport(s.ID, schedule.Report{At: now, InFlight: d.InFlight(s.ID), Running: d.InFlight(s.ID), KVTotal: 65536, StepMS: 20, Incarnation: s.Incarnation}, now)
				}
				d.Refresh(now)
			}
			drain()
		}
	})
}
