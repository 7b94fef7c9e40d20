package request

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// benchEngine streams tokens whose text is their send time in nanoseconds. With interval 0
// it sends as fast as the reader accepts them.
type benchEngine struct {
	tokens   int
	interval time.Duration
}

func (e benchEngine) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(headerGenerationID))
	ctx.Response.Header.Set(headerGenerationID, id)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		var ticker *time.Ticker
		if e.interval > 0 {
			ticker = time.NewTicker(e.interval)
			defer ticker.Stop()
		}
		for i := 1; i <= e.tokens; i++ {
			if ticker != nil {
				<-ticker.C
			}
			end := "null"
			if i == e.tokens {
				end = `"stop"`
			}
			fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,\"text\":\"%d\",\"finish_reason\":%s}]}\n\n",
				id, i, time.Now().UnixNano(), end)
			if ticker != nil || i%32 == 0 {
				_ = w.Flush()
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

func serveBenchEngine(b *testing.B, e benchEngine) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := &fasthttp.Server{Handler: e.handle}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// readTokens reads a stream, counts its tokens and records the age of each one on arrival.
func readTokens(url string, ages *hdrhistogram.Histogram) (int, error) {
	req, err := http.NewRequest("POST", url+"/v1/completions", strings.NewReader(`{"model":"m","stream":true,"prompt":"a"}`))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	// All streams start at the same time at one engine, which takes longer than a class's
	// usual target, because prefills run one at a time.
	req.Header.Set(headerClass, "patient")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	tokens := 0
	for scanner.Scan() {
		line := scanner.Bytes()
		at := bytes.Index(line, []byte(`"text":"`))
		if at < 0 {
			continue
		}
		tokens++
		if ages != nil {
			text := line[at+8:]
			sent, _ := strconv.ParseInt(string(text[:bytes.IndexByte(text, '"')]), 10, 64)
			_ = ages.RecordValue(max(time.Now().UnixNano()-sent, 1))
		}
	}
	return tokens, scanner.Err()
}

// runStreams reads streams concurrently. It returns the number of tokens, the CPU time of
// the process and the token ages in nanoseconds.
func runStreams(b *testing.B, url string, streams int, measureAge bool) (int, time.Duration, *hdrhistogram.Histogram) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	total, merged := 0, hdrhistogram.New(1, int64(time.Minute), 3)
	cpuBefore := cpuTime()
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var ages *hdrhistogram.Histogram
			if measureAge {
				ages = hdrhistogram.New(1, int64(time.Minute), 3)
			}
			n, err := readTokens(url, ages)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
			}
			total += n
			if ages != nil {
				merged.Merge(ages)
			}
		}()
	}
	wg.Wait()
	return total, cpuTime() - cpuBefore, merged
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchGateway(b *testing.B, engine string) string {
	r := &testGateway{t: &testing.T{}}
	r.hosts = []platform.Host{{
		ID: "models-0", Role: platform.RoleBackend, Service: "models", Address: engine, Region: "r", Domain: "d",
		State: platform.HostLive, Incarnation: "i",
	}}
	r.limit = 1 << 20
	return r.start()
}

// BenchmarkRelaySaturated measures the CPU time per token added by the gateway: the same
// engine and client run with and without it.
func BenchmarkRelaySaturated(b *testing.B) {
	const streams, tokens = 64, 5000
	engine := serveBenchEngine(b, benchEngine{tokens: tokens})
	url := benchGateway(b, engine)
	runStreams(b, url, streams, false)
	for b.Loop() {
		n, direct, _ := runStreams(b, "http://"+engine, streams, false)
		m, through, _ := runStreams(b, url, streams, false)
		require.Equal(b, streams*tokens, n)
		require.Equal(b, streams*tokens, m)
		added := max(through-direct, 1)
		b.ReportMetric(float64(m)/added.Seconds(), "tokens/core-s")
		b.ReportMetric(float64(added.Nanoseconds())/float64(m), "added-ns/token")
	}
}

// BenchmarkRelayPaced measures the latency per token added by the gateway at 10,000
// tokens/s, with one write per token.
func BenchmarkRelayPaced(b *testing.B) {
	const streams, tokens = 200, 150
	engine := serveBenchEngine(b, benchEngine{tokens: tokens, interval: 20 * time.Millisecond})
	url := benchGateway(b, engine)
	for b.Loop() {
		n, directCPU, direct := runStreams(b, "http://"+engine, streams, true)
		m, throughCPU, through := runStreams(b, url, streams, true)
		require.Equal(b, streams*tokens, n)
		require.Equal(b, streams*tokens, m)
		for _, q := range []float64{50, 99} {
			added := through.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
			b.ReportMetric(float64(added)/1e3, fmt.Sprintf("added-p%.0f-us", q))
		}
		b.ReportMetric(float64(max(throughCPU-directCPU, 1))/float64(m), "added-ns/token")
	}
}
