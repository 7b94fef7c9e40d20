package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

func newEngine(t *testing.T, config EngineConfig) string {
	if config.TokenInterval == 0 {
		config.TokenInterval = 5 * time.Millisecond
	}
	config.Incarnation, config.Retention = "i1", time.Minute
	engine := NewEngine(config)
	go engine.Run(t.Context())
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	return server.URL
}

func do(t *testing.T, ctx context.Context, method, url, body, generation string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	if generation != "" {
		request.Header.Set("X-Generation-Id", generation)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func status(t *testing.T, method, url, body, generation string) int {
	t.Helper()
	response := do(t, t.Context(), method, url, body, generation)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	require.NoError(t, json.NewDecoder(do(t, t.Context(), http.MethodGet, url, "", "").Body).Decode(out))
}

type event struct{ id, text string }

// readEvents reads token events until the body ends or limit events were
// read; done reports whether the end marker was received.
func readEvents(t *testing.T, body io.Reader, limit int) (events []event, done bool) {
	t.Helper()
	var id string
	for lines := bufio.NewScanner(body); len(events) < limit && lines.Scan(); {
		line := lines.Text()
		if after, ok := strings.CutPrefix(line, "id: "); ok {
			id = after
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return events, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if ok {
			require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		}
		if len(chunk.Choices) > 0 {
			events = append(events, event{id, chunk.Choices[0].Delta.Content})
		}
	}
	return events, false
}

func expected(generation string, from, to int) []event {
	events := []event{}
	for offset := from; offset <= to; offset++ {
		events = append(events, event{fmt.Sprintf("%s:%d", generation, offset), Token(generation, offset)})
	}
	return events
}

const chat, warmup = "/v1/chat/completions", `{"max_tokens":1}`

// Guards against a generation that ends when its reader disconnects, and against
// a resumed stream that repeats or loses tokens.
func TestResumeReturnsExactlyRemainingTokens(t *testing.T) {
	url := newEngine(t, EngineConfig{})
	ctx, cancel := context.WithCancel(t.Context())
	response := do(t, ctx, http.MethodPost, url+chat, `{"stream":true,"max_tokens":30}`, "g1")
	require.Equal(t, "i1", response.Header.Get("X-Incarnation"))
	events, done := readEvents(t, response.Body, 7)
	require.False(t, done)
	require.Equal(t, expected("g1", 1, 7), events)
	cancel()
	response = do(t, t.Context(), http.MethodGet, url+"/v1/generations/g1?offset=7", "", "")
	events, done = readEvents(t, response.Body, 100)
	require.True(t, done)
	require.Equal(t, expected("g1", 8, 30), events)
	require.Equal(t, http.StatusRequestedRangeNotSatisfiable, status(t, "GET", url+"/v1/generations/g1?offset=31", "", ""))
	require.Equal(t, http.StatusConflict, status(t, "POST", url+chat, warmup, "g1"), "a generation id cannot be reused")
}

// Guards against a cold limit that is not enforced or not recorded, and
// against an engine that never becomes warm.
func TestColdLimit(t *testing.T) {
	url := newEngine(t, EngineConfig{ColdLimit: 2, WarmAfter: 2})
	var wait sync.WaitGroup
	statuses := make([]int, 2)
	for i := range statuses {
		wait.Go(func() { statuses[i] = status(t, "POST", url+chat, `{"max_tokens":4000}`, fmt.Sprint("long", i)) })
	}
	var journal struct {
		Cold               bool
		ColdViolations     int `json:"cold_violations"`
		MaxColdConcurrency int `json:"max_cold_concurrency"`
		Running            int
		Generations        []generation
	}
	require.Eventually(t, func() bool {
		getJSON(t, url+"/debug/journal", &journal)
		return journal.Running == 2
	}, 5*time.Second, time.Millisecond)
	require.Zero(t, journal.ColdViolations, "two concurrent generations are within the cold limit")
	require.Equal(t, http.StatusInternalServerError, status(t, "POST", url+chat, warmup, "third"))
	wait.Wait()
	require.Equal(t, []int{500, 500}, statuses)
	getJSON(t, url+"/debug/journal", &journal)
	require.Equal(t, 1, journal.ColdViolations)
	require.Equal(t, 3, journal.MaxColdConcurrency)
	require.True(t, journal.Generations[2].ColdLimitExceeded)

	for i := range 2 {
		require.Equal(t, http.StatusOK, status(t, "POST", url+chat, warmup, fmt.Sprint("short", i)))
	}
	getJSON(t, url+"/debug/journal", &journal)
	require.False(t, journal.Cold)
	require.Equal(t, http.StatusOK, status(t, "PUT", url+"/faults", `{"cold":true}`, ""))
	getJSON(t, url+"/debug/journal", &journal)
	require.True(t, journal.Cold)
}

// Guards against a conditional cancellation that ends a generation with an
// attached reader.
func TestCancelIfDetached(t *testing.T) {
	url := newEngine(t, EngineConfig{})
	ctx, cancel := context.WithCancel(t.Context())
	response := do(t, ctx, http.MethodPost, url+chat, `{"stream":true,"max_tokens":100000}`, "g1")
	_, _ = readEvents(t, response.Body, 1)
	target := url + "/v1/generations/g1?if_detached=1"
	require.Equal(t, http.StatusConflict, status(t, "DELETE", target, "", ""))
	cancel()
	require.Eventually(t, func() bool { return status(t, "DELETE", target, "", "") == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusGone, status(t, "GET", url+"/v1/generations/g1?offset=1", "", ""))
}

// Guards against fault switches without an effect: tests of the daemon would
// pass without testing anything.
func TestStreamFaults(t *testing.T) {
	died := make(chan struct{}, 100)
	url := newEngine(t, EngineConfig{Exit: func() { died <- struct{}{} }})
	stream := func(faults, generation string) ([]event, bool) {
		require.Equal(t, http.StatusOK, status(t, "PUT", url+"/faults", faults, ""))
		return readEvents(t, do(t, t.Context(), "POST", url+chat, `{"stream":true,"max_tokens":4}`, generation).Body, 100)
	}
	events, done := stream(`{"truncate":true}`, "g1")
	require.Equal(t, expected("g1", 1, 4), events)
	require.False(t, done)
	events, _ = stream(`{"duplicate_events":true}`, "g2")
	require.Len(t, events, 8)
	events, _ = stream(`{"skip_events":true}`, "g3")
	require.Equal(t, append(expected("g3", 1, 2), expected("g3", 4, 4)...), events)
	events, _ = stream(`{"cross":true}`, "g4")
	require.Equal(t, expected("g3", 1, 4), events)
	require.Empty(t, died)
	_, _ = stream(`{"die_after_tokens":3}`, "g5")
	require.NotEmpty(t, died)

	require.Equal(t, http.StatusOK, status(t, "PUT", url+"/faults", `{"stall":true}`, ""))
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	events, done = readEvents(t, do(t, ctx, "POST", url+chat, `{"stream":true,"max_tokens":4}`, "g6").Body, 100)
	require.Empty(t, events)
	require.False(t, done)
	require.Error(t, ctx.Err(), "a stalled stream stays open")
	require.Equal(t, http.StatusBadRequest, status(t, "PUT", url+"/faults", `{"stal":true}`, ""), "a misspelt switch is rejected")
}

// Guards against an engine that checks or ignores fencing tokens contrary to its
// setting, and against load reports without the configured lag.
func TestControlAndLoad(t *testing.T) {
	for checks, second := range map[bool]int{true: http.StatusConflict, false: http.StatusOK} {
		url := newEngine(t, EngineConfig{ChecksFencing: checks})
		require.Equal(t, http.StatusOK, status(t, "POST", url+"/v1/orders", `{"kind":"load","name":"m","fencing_number":5}`, ""))
		require.Equal(t, second, status(t, "POST", url+"/v1/orders", `{"kind":"load","name":"m","fencing_number":4}`, ""))
	}
	url := newEngine(t, EngineConfig{Faults: EngineFaults{LoadLagMS: 400}})
	require.Equal(t, http.StatusOK, status(t, "POST", url+chat, warmup, ""))
	var report platform.LoadReport
	getJSON(t, url+"/v1/load", &report)
	require.Zero(t, report.Completed)
	require.Eventually(t, func() bool {
		getJSON(t, url+"/v1/load", &report)
		return report.Completed == 1 && report.AgeMS >= 400
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against a call that is missing from the journal when its response is
// lost, and against a trailer that does not match the body.
func TestPlain(t *testing.T) {
	server := httptest.NewServer(NewPlainService("i1").Handler())
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/orders?x=1", strings.NewReader("sign"))
	require.NoError(t, err)
	request.Header.Set("TE", "trailers")
	request.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.JSONEq(t, `{"method":"POST","path":"/orders?x=1","body":"sign","request_id":"r1","run":1,"trailers":{}}`, string(body))
	require.Equal(t, digest(body), response.Trailer.Get("X-Body-Sha256"))

	require.Equal(t, http.StatusOK, status(t, "PUT", server.URL+"/faults", `{"close_after_run":true}`, ""))
	request, err = http.NewRequest(http.MethodPost, server.URL+"/orders", strings.NewReader("sign"))
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "k1")
	// net/http retries requests with an Idempotency-Key that fail on a reused
	// connection; a new transport has none.
	_, err = (&http.Transport{}).RoundTrip(request)
	require.Error(t, err)
	var journal struct{ Runs []plainRun }
	getJSON(t, server.URL+"/debug/journal", &journal)
	require.Len(t, journal.Runs, 2)
	require.Equal(t, "k1", journal.Runs[1].IdempotencyKey)
}

// Guards against a graceful shutdown that cuts off a running stream, against a host
// that is removed from the list before it was listed as leaving, and against a host
// list without the configured lag.
func TestGracefulShutdown(t *testing.T) {
	hosts := httptest.NewServer(NewHostList().Handler())
	defer hosts.Close()
	listed := func() []platform.Host {
		var list hostListState
		getJSON(t, hosts.URL+"/hosts", &list)
		return list.Hosts
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &Server{
		Handler:      NewEngine(EngineConfig{TokenInterval: 10 * time.Millisecond}).Handler(),
		DrainTimeout: 20 * time.Second,
		Log:          zerolog.Nop(),
		Registration: &Registration{HostsURL: hosts.URL, DrainDelay: 20 * time.Millisecond, Host: platform.Host{
			ID: "r1", Role: platform.RoleBackend, Kind: "engine", Service: "s", Region: "bkk", Domain: "bkk-a",
		}},
	}
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx, listener) }()
	require.Eventually(t, func() bool { return len(listed()) == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, platform.HostLive, listed()[0].State)

	response := do(t, t.Context(), "POST", "http://"+listener.Addr().String()+chat, `{"stream":true,"max_tokens":60}`, "g1")
	stop()
	require.Eventually(t, func() bool { return listed()[0].State == platform.HostLeaving }, 5*time.Second, 5*time.Millisecond)
	events, done := readEvents(t, response.Body, 100)
	require.True(t, done)
	require.Equal(t, expected("g1", 1, 60), events)
	require.NoError(t, <-stopped)
	require.Empty(t, listed())
	require.Equal(t, http.StatusOK, status(t, "PUT", hosts.URL+"/faults", `{"lag_ms":60000}`, ""))
	require.Empty(t, listed(), "the state before the first registration is listed")
}

// Guards against held writes that take effect before their release, and against
// reads that are held too.
func TestHeldWritesTakeEffectWhenReleased(t *testing.T) {
	objects := NewObjectAPI(ObjectFaults{HoldWrites: true})
	server := httptest.NewServer(objects.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(objects.Stop)
	put := make(chan int, 1)
	go func() {
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/objects/claims/1", strings.NewReader("x"))
		request.Header.Set("If-None-Match", "*")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			put <- 0
			return
		}
		_ = response.Body.Close()
		put <- response.StatusCode
	}()
	require.Eventually(t, func() bool {
		objects.mu.Lock()
		defer objects.mu.Unlock()
		return objects.counts["writes"] == 1
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusNotFound, status(t, http.MethodGet, server.URL+"/objects/claims/1", "", ""), "reads are not held")
	require.Empty(t, put)

	objects.faults.update(func(f *ObjectFaults) bool { f.HoldWrites = false; return true })
	require.Equal(t, http.StatusNoContent, <-put)
	require.Equal(t, http.StatusOK, status(t, http.MethodGet, server.URL+"/objects/claims/1", "", ""))
}
