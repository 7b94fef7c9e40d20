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

// benchKeeper returns a manager of a cell with the given members, which renews
// its view, and backend servers.
func benchKeeper(b *testing.B, members, backends int) (*Manager, *platformtest.Store) {
	list := &hostList{}
	for i := range members {
		list.hosts = append(list.hosts, entry(i))
	}
	for i := range backends {
		list.hosts = append(list.hosts, platform.Host{ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleBackend,
			Service: "models", State: platform.HostLive, Incarnation: "i"})
	}
	store := platformtest.NewStore()
	k := New(Config{Self: entry(0), Cells: 1, Store: store, Hosts: list, Log: zerolog.Nop(), Now: time.Now,
		ConfigAge: func(time.Time) (time.Duration, bool) { return 0, true }})
	ctx := context.Background()
	k.ReadHosts(ctx)
	for i := range members {
		k.RecordSyncResponse(entry(i).ID, time.Now(), view.Age{Known: true}, false)
	}
	k.RefreshView(ctx)
	k.RefreshView(ctx)
	if got := len(k.View().Members); got != members {
		b.Fatalf("%d members in the view, want %d", got, members)
	}
	return k, store
}

var benchMembers = []int{8, 16, 32, 64}

// BenchmarkRenew measures one renewal of the view and its size by members.
func BenchmarkRenew(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			k, _ := benchKeeper(b, members, 190)
			for b.Loop() {
				for i := range members {
					k.RecordSyncResponse(entry(i).ID, time.Now(), view.Age{Known: true}, false)
				}
				k.RefreshView(context.Background())
			}
			b.ReportMetric(float64(len(k.View().Encode())), "bytes")
		})
	}
}

// BenchmarkFreshness measures the check that every request makes.
func BenchmarkFreshness(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			k, _ := benchKeeper(b, members, 190)
			now := time.Now()
			for b.Loop() {
				k.Freshness(now)
			}
		})
	}
}

// BenchmarkSettleSlots measures the first idle report of a backend server under
// a new epoch, when a member works out which of 64 cold slots it owns.
func BenchmarkSettleSlots(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			k, _ := benchKeeper(b, members, 190)
			limits := coldstart.Limits{Cold: 4, Warm: 64}
			sentAt := time.Now().Add(view.LeaseDuration + 2*view.LeaseMargin) // after rights have begun
			for b.Loop() {
				delete(k.backends, "runner-00000")
				k.ObserveLoad("runner-00000", limits, time.Second, platform.LoadReport{Incarnation: "i", Sequence: 1}, sentAt, 0)
			}
		})
	}
}

// BenchmarkLimits measures the limits of all backend servers of the cell, which
// every build of the routing snapshot asks for.
func BenchmarkLimits(b *testing.B) {
	for _, backends := range []int{64, 190, 570} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			k, _ := benchKeeper(b, 64, backends)
			limits := coldstart.Limits{Cold: 4, Warm: 64}
			now := time.Now()
			for i := range backends {
				k.ObserveLoad(fmt.Sprintf("runner-%05d", i), limits, time.Second, platform.LoadReport{Incarnation: "i", Sequence: 1}, now, 0)
			}
			hosts := k.Hosts()
			for b.Loop() {
				for i := range hosts {
					k.Limit(hosts[i].ID, now)
				}
			}
		})
	}
}

// BenchmarkOwnCell measures the filtering of the host list by hosts of the
// whole fleet, in proportion to 55 cells and 13,500 hosts.
func BenchmarkOwnCell(b *testing.B) {
	for _, hosts := range []int{1350, 4500, 13500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			all := make([]platform.Host, hosts)
			for i := range all {
				all[i] = platform.Host{ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleBackend}
			}
			k := New(Config{Self: entry(0), Cells: max(hosts*55/13500, 1), Log: zerolog.Nop()})
			for b.Loop() {
				k.ownCell(all)
			}
		})
	}
}
