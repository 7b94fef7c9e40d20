package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

// newBenchManager returns the manager of the renewer in a cell with the given number of
// members and backend servers.
func newBenchManager(b *testing.B, members, backends int) (*Manager, *platformtest.Store) {
	list := &hostList{}
	for i := range members {
		list.hosts = append(list.hosts, entry(i))
	}
	for i := range backends {
		list.hosts = append(list.hosts, platform.Host{ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleBackend,
			Service: "models", State: platform.HostLive, Incarnation: "i"})
	}
	store := platformtest.NewStore()
	m := New(Config{Self: entry(0), Cells: 1, Store: store, Hosts: list, Log: zerolog.Nop(), Now: time.Now,
		ConfigAge: func(time.Time) (time.Duration, bool) { return 0, true }})
	ctx := context.Background()
	m.ReadHosts(ctx)
	for i := range members {
		m.RecordSyncResponse(entry(i).ID, time.Now(), view.Age{Known: true}, false)
	}
	m.RefreshView(ctx)
	m.RefreshView(ctx)
	if got := len(m.View().Members); got != members {
		b.Fatalf("%d members in the view, want %d", got, members)
	}
	return m, store
}

var benchMembers = []int{8, 16, 32, 64}

// BenchmarkRenew measures one renewal of the view and the size of the view.
func BenchmarkRenew(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			m, _ := newBenchManager(b, members, 190)
			for b.Loop() {
				for i := range members {
					m.RecordSyncResponse(entry(i).ID, time.Now(), view.Age{Known: true}, false)
				}
				m.RefreshView(context.Background())
			}
			b.ReportMetric(float64(len(m.View().Encode())), "bytes")
		})
	}
}

// BenchmarkFreshness measures the freshness rule, which is applied to each request during a
// store outage.
func BenchmarkFreshness(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			m, _ := newBenchManager(b, members, 190)
			now := time.Now()
			for b.Loop() {
				m.Freshness(now)
			}
		})
	}
}

// BenchmarkConfirmSlots measures the first idle report of a backend server under a new
// epoch, for which a member determines which of 64 cold slots it owns.
func BenchmarkConfirmSlots(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			m, _ := newBenchManager(b, members, 190)
			limits := coldstart.Limits{Cold: 4, Warm: 64}
			sentAt := time.Now().Add(view.LeaseDuration + 2*view.LeaseMargin) // New slots are usable.
			for b.Loop() {
				delete(m.backends, "runner-00000")
				m.ObserveLoad("runner-00000", limits, time.Second, platform.LoadReport{Incarnation: "i", Sequence: 1}, sentAt, 0)
			}
		})
	}
}

// BenchmarkLimits measures the computation of the limits of all backend servers of the
// cell, which every build of the routing snapshot does.
func BenchmarkLimits(b *testing.B) {
	for _, backends := range []int{64, 190, 570} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			m, _ := newBenchManager(b, 64, backends)
			limits := coldstart.Limits{Cold: 4, Warm: 64}
			now := time.Now()
			for i := range backends {
				m.ObserveLoad(fmt.Sprintf("runner-%05d", i), limits, time.Second, platform.LoadReport{Incarnation: "i", Sequence: 1}, now, 0)
			}
			hosts := m.Hosts()
			for b.Loop() {
				for i := range hosts {
					m.Limit(hosts[i].ID, now)
				}
			}
		})
	}
}

// BenchmarkHostsOfCell measures the filtering of the host list of a fleet, with 55 cells
// per 13,500 hosts.
func BenchmarkHostsOfCell(b *testing.B) {
	for _, hosts := range []int{1350, 4500, 13500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			entries := make([]platform.Host, hosts)
			for i := range entries {
				entries[i] = platform.Host{ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleBackend}
			}
			m := New(Config{Self: entry(0), Cells: max(hosts*55/13500, 1), Log: zerolog.Nop()})
			for b.Loop() {
				m.hostsOfCell(entries)
			}
		})
	}
}
