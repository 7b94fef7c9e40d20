package request

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memoryInUse returns the bytes in use by heap spans and stacks after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // The second collection empties the sync.Pools.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkMemory measures the memory per idle caller connection and per open stream. Both
// ends of each connection and the engine run in this process, so the results are upper
// bounds for the gateway alone.
func BenchmarkMemory(b *testing.B) {
	for _, kind := range []string{"connection", "stream"} {
		for _, n := range []int{100, 400, 1600} {
			b.Run(fmt.Sprintf("%s=%d", kind, n), func(b *testing.B) {
				engine := serveBenchEngine(b, benchEngine{tokens: 1 << 20, interval: 500 * time.Millisecond})
				address := strings.TrimPrefix(benchGateway(b, engine), "http://")
				for b.Loop() {
					bytesBefore := memoryInUse()
					conns := make([]net.Conn, n)
					var wg sync.WaitGroup
					for i := range conns {
						wg.Go(func() {
							var err error
							if conns[i], err = openMeasured(address, kind == "stream"); err != nil {
								b.Error(err)
							}
						})
					}
					wg.Wait()
					if b.Failed() {
						return
					}
					b.ReportMetric((memoryInUse()-bytesBefore)/float64(n), "bytes/"+kind)
					for _, c := range conns {
						require.NoError(b, c.Close())
					}
				}
			})
		}
	}
}

// openMeasured opens a connection and waits for its first response: one token of a stream,
// or the model list.
func openMeasured(address string, stream bool) (net.Conn, error) {
	request, want := "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\n\r\n", `"m"`
	if stream {
		body := `{"model":"m","stream":true,"prompt":"a"}`
		request = fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		want = `"text"`
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte(request)); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return nil, err
	}
	var received []byte
	buf := make([]byte, 512)
	for !bytes.Contains(received, []byte(want)) {
		n, err := c.Read(buf)
		if err != nil {
			return nil, err
		}
		received = append(received, buf[:n]...)
	}
	return c, nil
}
