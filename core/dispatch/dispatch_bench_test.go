package dispatch

import (
	"fmt"
	"testing"
	"time"

	"monsoonkeel.example/monsoonkeel/core/schedule"
)

// BenchmarkOffer measures one decision, from Offer to Ended, by number of
// backend servers.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{25, 100, 190} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers := make([]Server, n)
			for i := range servers {
				servers[i] = Server{ID: fmt.Sprintf("s%03d", i), Region: "a", Limit: 64, Warm: true, Capacity: 64}
			}
			d := New(Options{Region: "a", Engine: true, Seed: 1})
			d.SetServers(servers, 0, 64)
			now := time.Unix(1000, 0)
			report := func() {
				for _, s := range servers {
					d.ApplyReport(s.ID, schedule.Report{At: now, InFlight: 20, Running: 20, KVUsed: 20000, KVTotal: 100000, StepMS: 30}, now)
				}
				d.Refresh(now)
			}
			report()
			b.ReportAllocs()
			for id := uint64(1); b.Loop(); id++ {
				// At the target load, a host decides 18 times between two
				// reports.
				if now = now.Add(28 * time.Millisecond); id%18 == 0 {
					b.StopTimer()
					report()
					b.StartTimer()
				}
				d.Offer(Request{ID: id, Class: "quick", Team: "t", Arrival: now, Target: 2 * time.Second, PromptTokens: 100}, now)
				d.Ended(id, false, now)
			}
		})
	}
}
