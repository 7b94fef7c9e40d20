package version

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// benchInputs returns the snapshot inputs of a cell of the given size.
func benchInputs(backends, teams int) Inputs {
	doc := config.Empty()
	doc.Services["models"] = config.Service{Name: "models", Kind: config.ServiceKindEngine, Models: []string{"m"}, ColdLimit: 4, WarmLimit: 64}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		sum := sha256.Sum256([]byte(name))
		doc.Teams[name] = config.Team{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "draft", MaxInFlight: 100}
	}
	hosts := make([]platform.Host, backends)
	reports := make(map[string]Report, backends)
	counters := make(map[string]*Counters, backends)
	for i := range hosts {
		id := fmt.Sprintf("runner-%05d", i)
		hosts[i] = platform.Host{ID: id, Role: platform.RoleBackend, Service: "models", Kind: "engine", Address: "192.0.2.1:8000",
			Region: "lakes-west", Domain: "west-a", State: platform.HostLive, Incarnation: "i"}
		reports[id] = Report{SampledAt: time.Unix(1, 0)}
		counters[id] = &Counters{}
	}
	return Inputs{
		Document: doc, Hosts: hosts, Reports: reports,
		Counters: func(h platform.Host) *Counters { return counters[h.ID] },
		Limit: func(platform.Host) (int, time.Time, bool) {
			return 4, time.Time{}, true
		},
		Excluded: func(platform.Host) bool { return false },
	}
}

var benchSizes = []struct{ backends, teams int }{
	{64, 1000}, {190, 1000}, {570, 1000}, {190, 3000}, {190, 9800},
}

// BenchmarkBuild measures building a routing snapshot from a new document, by the
// number of backend servers and teams of the cell.
func BenchmarkBuild(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("backends=%d/teams=%d", size.backends, size.teams), func(b *testing.B) {
			in := benchInputs(size.backends, size.teams)
			b.ReportAllocs()
			for b.Loop() {
				Build(in)
			}
		})
	}
}

// BenchmarkRebuild measures building a snapshot from an unchanged document, which a
// daemon does about 7 times a second.
func BenchmarkRebuild(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("backends=%d/teams=%d", size.backends, size.teams), func(b *testing.B) {
			in := benchInputs(size.backends, size.teams)
			b.ReportAllocs()
			for b.Loop() {
				in.Previous = Build(in)
			}
		})
	}
}
