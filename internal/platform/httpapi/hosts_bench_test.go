package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serveJSON serves value as JSON with the ETag. Conditional requests get 304
// Not Modified.
func serveJSON(b *testing.B, value any, etag string) (string, *countingListener) {
	body, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &countingListener{Listener: inner}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if len(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) > 0 {
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
		ctx.Response.Header.Set(fasthttp.HeaderETag, etag)
		ctx.SetBody(body)
	}}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown() })
	return inner.Addr().String(), l
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReadHosts measures one read of the host list by fleet size, with the
// list changed and unchanged. The reported CPU time includes the server's, which
// sends a pre-encoded body.
func BenchmarkReadHosts(b *testing.B) {
	for _, etag := range []string{"", `"1"`} {
		for _, n := range []int{1350, 4500, 13500} {
			b.Run(fmt.Sprintf("unchanged=%t/hosts=%d", etag != "", n), func(b *testing.B) {
				hosts := make([]platform.Host, n)
				for i := range hosts {
					hosts[i] = platform.Host{ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleBackend, Service: "service-1", Kind: "engine",
						Address: fmt.Sprintf("10.0.%d.%d:8000", i>>8, i&255), Region: "lakes-west", Domain: "west-a", State: platform.HostLive,
						Incarnation: "0b9d5a1c-7c59-4d9e-8f6a-2a3b4c5d6e7f", ChecksFencing: true}
				}
				address, l := serveJSON(b, map[string]any{"revision": 1, "hosts": hosts}, etag)
				list := NewHostList("http://" + address)
				if _, err := list.Hosts(context.Background()); err != nil {
					b.Fatal(err)
				}
				before, bytes := cpuTime(), l.bytes.Load()
				for b.Loop() {
					if _, err := list.Hosts(context.Background()); (err != nil) != (etag != "") {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(l.bytes.Load()-bytes)/float64(b.N), "bytes/op")
			})
		}
	}
}

// BenchmarkPollLoads measures one round of load polls by number of backend
// servers. The reported CPU time includes the servers'.
func BenchmarkPollLoads(b *testing.B) {
	for _, n := range []int{16, 64, 190} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			var addresses []string
			var listeners []*countingListener
			for range n {
				address, l := serveJSON(b, platform.LoadReport{Incarnation: "0b9d5a1c-7c59-4d9e-8f6a-2a3b4c5d6e7f", Sequence: 86400, AgeMS: 100,
					Running: 48, Waiting: 3, BlocksUsed: 41000, BlocksTotal: 65536, BlockTokens: 16, Completed: 400000, Preemptions: 12,
					RecentFirstTokenMS: 640, StepMS: 31.5}, "")
				addresses, listeners = append(addresses, address), append(listeners, l)
			}
			loads := NewLoadReporter()
			sum := func() (total int64) {
				for _, l := range listeners {
					total += l.bytes.Load()
				}
				return total
			}
			before, bytes := cpuTime(), sum()
			for b.Loop() {
				for _, address := range addresses {
					if _, err := loads.Load(context.Background(), address); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(sum()-bytes)/float64(b.N), "bytes/op")
		})
	}
}
