package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/process/settings"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// serveHosts serves a host list of 64 entry hosts and the given number of backend servers,
// and returns its base URL.
func serveHosts(b *testing.B, backends int) string {
	var hosts []platform.Host
	for i := range 64 {
		hosts = append(hosts, platform.Host{ID: fmt.Sprintf("entry-%04d", i), Role: platform.RoleEntry, Address: fmt.Sprintf("10.1.0.%d:80", i),
			PeerAddress: fmt.Sprintf("10.1.0.%d:81", i), Region: fmt.Sprint("region-", i%7), Domain: fmt.Sprint("domain-", i%21),
			State: platform.HostLive, Incarnation: "0b9d5a1c-7c59-4d9e-8f6a-2a3b4c5d6e7f"})
	}
	for i := range backends {
		hosts = append(hosts, platform.Host{ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleBackend, Service: "models", Kind: "engine",
			Address: fmt.Sprintf("10.2.%d.%d:80", i>>8, i&255), Region: fmt.Sprint("region-", i%7), Domain: fmt.Sprint("domain-", i%21),
			State: platform.HostLive, Incarnation: "0b9d5a1c-7c59-4d9e-8f6a-2a3b4c5d6e7f"})
	}
	body, err := json.Marshal(map[string]any{"revision": 1, "hosts": hosts})
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown() })
	return "http://" + l.Addr().String()
}

// benchDocument returns an encoded configuration with the given number of teams.
func benchDocument(b *testing.B, teams int) []byte {
	doc := config.Empty()
	doc.Revision = 1
	doc.Classes["draft"] = config.Class{Name: "draft", FirstTokenMS: 1900, TokenGapMS: 52, Revision: 1}
	doc.Services["models"] = config.Service{Name: "models", Kind: config.ServiceKindEngine, Models: []string{"m"}, ColdLimit: 4, WarmLimit: 64, Revision: 1}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		sum := sha256.Sum256([]byte(name))
		doc.Teams[name] = config.Team{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "draft", MaxInFlight: 100, Revision: 1}
	}
	raw, err := config.Encode(doc)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// newBenchDaemon returns a daemon with the host list, a configuration and a load report of
// every backend server. Its loops are not running.
func newBenchDaemon(b *testing.B, hostList string, document []byte, backends int) *Daemon {
	d, err := New(&settings.Settings{HostID: "entry-0000", Region: "region-0", Domain: "domain-0", Listen: "127.0.0.1:0",
		AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", ObjectAPI: hostList, HostList: hostList, Cells: 1, MaxBodyBytes: 1 << 20,
		OperatorToken: []byte("0123456789abcdef"), GenerationKey: []byte("0123456789abcdef")}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	d.membership.ReadHosts(context.Background())
	if err := d.config.Merge(nil, document); err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	limits := coldstart.Limits{Cold: 4, Warm: 64}
	for _, h := range d.membership.Hosts() {
		if h.Role == platform.RoleBackend {
			report := platform.LoadReport{Incarnation: h.Incarnation, Sequence: 1, Running: 30, Completed: 1 << 20, BlocksTotal: 65536, BlockTokens: 16}
			d.membership.ObserveLoad(h.ID, limits, time.Second, report, now, 0)
			d.routing.reports[h.ID] = version.Report{Load: report, SampledAt: now, RequestedAt: now}
		}
	}
	d.routing.rebuild()
	svc, ok := d.snapshot.Load().Service("models")
	if !ok || len(svc.Backends) != backends {
		b.Fatalf("the snapshot does not contain %d backend servers of the service", backends)
	}
	return d
}

// BenchmarkRoutingRebuild measures one rebuild of the routing state, which a daemon does
// about 7 times a second. The connection pool is empty.
func BenchmarkRoutingRebuild(b *testing.B) {
	document := benchDocument(b, 1000)
	for _, backends := range []int{64, 190, 570} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			d := newBenchDaemon(b, serveHosts(b, backends), document, backends)
			b.ReportAllocs()
			for b.Loop() {
				d.routing.rebuild()
			}
		})
	}
}

// BenchmarkDaemonMemory measures the live heap and the stacks of an idle daemon in a cell
// of 64 members and 190 backend servers, for several numbers of teams.
func BenchmarkDaemonMemory(b *testing.B) {
	for _, teams := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			document, hosts := benchDocument(b, teams), serveHosts(b, 190)
			for b.Loop() {
				before := memoryInUse()
				d := newBenchDaemon(b, hosts, document, 190)
				b.ReportMetric((memoryInUse()-before)/1e6, "MB")
				runtime.KeepAlive(d)
			}
		})
	}
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // The second collection empties the pools.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
