package request

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// Guards against relaying events of another generation, or duplicate, skipped or truncated
// events (guarantees G1 and G4).
func TestMisbehavingEngine(t *testing.T) {
	cases := map[string]standin.EngineFaults{
		"well-behaved": {},
		"duplicate":    {DuplicateEvents: true},
		"skip":         {SkipEvents: true},
		"cross":        {Cross: true},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			r := &testGateway{t: t}
			r.addBackend("models", newEngine("i-models-0", faults).Handler())
			r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
			r.start()
			resp := r.do("POST", "/services/models/v1/completions", streamRequestJSON(9))
			defer resp.Body.Close()
			require.Equal(t, 200, resp.StatusCode)
			s := readStream(t, resp.Body, 0)
			require.True(t, s.done)
			r.requireTokens(s, 1, 9)
		})
	}
}

// Guards against presenting a stream that the engine truncated as complete.
func TestTruncatedStreamEndsWithProblem(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{Truncate: true}).Handler())
	r.start()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(4))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	require.False(t, s.done)
	require.NotNil(t, s.problem)
	require.Equal(t, verdict.Ran, s.problem.Verdict)
}

// Guards against an unstreamed response that is truncated or of another generation.
func TestUnstreamedResponseIsComplete(t *testing.T) {
	for name, faults := range map[string]standin.EngineFaults{"truncate": {Truncate: true}, "cross": {Cross: true}} {
		t.Run(name, func(t *testing.T) {
			r := &testGateway{t: t}
			r.addBackend("models", newEngine("i-models-0", faults).Handler())
			r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
			r.start()
			for range 4 {
				resp := r.do("POST", "/v1/completions", `{"model":"m","prompt":"a","max_tokens":3}`)
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode, string(body))
				var completion struct {
					ID      string
					Choices []struct{ Text string }
				}
				require.NoError(t, json.Unmarshal(body, &completion))
				want := standin.Token(completion.ID, 1) + standin.Token(completion.ID, 2) + standin.Token(completion.ID, 3)
				require.Equal(t, want, completion.Choices[0].Text)
			}
		})
	}
}

// addCrashingEngine adds an engine that, like a killed process, closes its listener and all
// connections once a generation has produced the given number of tokens.
func addCrashingEngine(r *testGateway, tokens int) {
	die := make(chan struct{}, 1)
	e := standin.NewEngine(standin.EngineConfig{
		Incarnation: "i-models-0", TokenInterval: 2 * time.Millisecond, ColdLimit: 100, WarmAfter: 1, Retention: time.Minute,
		Faults: standin.EngineFaults{DieAfterTokens: tokens},
		Exit: func() {
			select {
			case die <- struct{}{}:
			default:
			}
		},
	})
	s := r.addBackend("models", e.Handler())
	go func() {
		<-die
		_ = s.Listener.Close()
		s.CloseClientConnections()
	}()
}

// Guards against continuing a partially delivered response with a second generation
// (guarantee G1).
func TestEngineCrashAfterDelivery(t *testing.T) {
	r := &testGateway{t: t}
	addCrashingEngine(r, 5)
	r.start()
	r.gateway.streamStallTimeout = 500 * time.Millisecond
	start := time.Now()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(500))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	require.False(t, s.done)
	require.NotNil(t, s.problem)
	require.Equal(t, codeGenerationUnavailable, s.problem.Title)
	require.Less(t, time.Since(start), 5*time.Second)
	r.requireTokens(s, 1, len(s.ids))
}

// Guards against losing a buffered response when its engine crashes, and against mixing
// two attempts in it.
func TestBufferedDeliverySurvivesEngineCrash(t *testing.T) {
	r := &testGateway{t: t}
	addCrashingEngine(r, 5)
	r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
	r.start()
	for range 4 {
		resp := r.do("POST", "/v1/completions", streamRequestJSON(20), headerClass, "whole")
		s := readStream(t, resp.Body, 0)
		resp.Body.Close()
		require.True(t, s.done)
		r.requireTokens(s, 1, 20)
	}
}

// Guards against a resume at another host that repeats or skips tokens or restarts the
// generation (guarantee G1).
func TestResumeAtAnotherHost(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(60))
	require.NoError(t, err)
	first := readStream(t, resp.Body, 10)
	cancel()
	resp.Body.Close()
	r.requireTokens(first, 1, 10)

	r.start() // a new gateway without the state of the first
	resp = r.do("POST", "/v1/completions", "", headerLastEventID, first.ids[9])
	defer resp.Body.Close()
	rest := readStream(t, resp.Body, 0)
	require.True(t, rest.done)
	r.requireTokens(rest, 11, 60)
}

// Guards against a generation that keeps running at the engine after its caller
// disconnected.
func TestDisconnectCancelsAtEngine(t *testing.T) {
	r := &testGateway{t: t}
	e := newEngine("i-models-0", standin.EngineFaults{})
	r.addBackend("models", e.Handler())
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(5000))
	require.NoError(t, err)
	readStream(t, resp.Body, 3)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool {
		resp, err := http.Get(r.servers[0].URL + "/debug/journal")
		require.NoError(t, err)
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		var journal struct {
			Generations []struct{ State string }
		}
		require.NoError(t, json.Unmarshal(body, &journal))
		return len(journal.Generations) == 1 && journal.Generations[0].State == "cancelled"
	}, 10*time.Second, 50*time.Millisecond)
}

// Guards against running an invalid request, or rejecting it without a problem code.
func TestInvalidRequestsAreRejected(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a backend server was called") }))
	r.start()
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"bad JSON", "/v1/completions", "{", nil, 400, "bad_json"},
		{"unknown model", "/v1/completions", `{"model":"x"}`, nil, 404, "unknown_model"},
		{"unknown class", "/v1/completions", streamRequestJSON(1), []string{headerClass, "x"}, 400, "unknown_class"},
		{"unknown team", "/v1/completions", streamRequestJSON(1), []string{"Authorization", "Bearer x"}, 401, "unknown_team"},
		{"unknown service", "/services/x/y", "", nil, 404, "unknown_service"},
		{"engine as plain service", "/services/models/y", "", nil, 404, "unknown_service"},
		{"model of another service", "/services/models/v1/completions", `{"model":"x"}`, nil, 404, "unknown_model"},
		{"bad timeout", "/v1/completions", streamRequestJSON(1), []string{headerTimeout, "-1"}, 400, "bad_timeout"},
		{"bad event id", "/v1/completions", "", []string{headerLastEventID, "abc:1"}, 400, "bad_event_id"},
		{"too large", "/v1/completions", string(make([]byte, 2<<20)), nil, 413, "body_too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := r.do("POST", c.path, c.body, c.headers...)
			defer resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode)
			var p Problem
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
			require.Equal(t, c.code, p.Title)
			require.Equal(t, verdict.NotRun, p.Verdict)
			require.Equal(t, resp.Header.Get(headerRequestID), p.RequestID)
			require.NotEmpty(t, p.RequestID)
		})
	}
}

// Guards against retrying a non-idempotent request that may have run, against reporting it
// as not run, and against failing a request after a refused connection although another
// server has capacity.
func TestPlainVerdicts(t *testing.T) {
	r := &testGateway{t: t}
	var calls atomic.Int32
	r.addBackend("desk", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	r.start()
	resp := r.do("POST", "/services/desk/book", "x", headerClass, "write")
	var p Problem
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
	resp.Body.Close()
	require.Equal(t, verdict.MayHaveRun, p.Verdict)
	require.EqualValues(t, 1, calls.Load())

	r.servers[0].Close()
	resp = r.do("POST", "/services/desk/book", "x", headerClass, "write")
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
	resp.Body.Close()
	require.Equal(t, verdict.NotRun, p.Verdict)

	r.addBackend("desk", standin.NewPlainService("i-desk-1").Handler())
	r.start()
	for range 3 {
		resp = r.do("POST", "/services/desk/book", "x", headerClass, "write")
		resp.Body.Close()
		require.Equal(t, 200, resp.StatusCode)
	}
}

// Guards against losing the method, body or trailers of a passed-through request.
func TestPassThroughPreservesMethodBodyAndTrailers(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("desk", standin.NewPlainService("i-desk-0").Handler())
	r.start()
	resp := r.do("PATCH", "/services/desk/a/b?c=d", "body", headerClass, "lookup", "TE", "trailers")
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var echo struct{ Method, Path, Body string }
	require.NoError(t, json.Unmarshal(body, &echo))
	require.Equal(t, "PATCH", echo.Method)
	require.Contains(t, echo.Path, "/a/b")
	require.Equal(t, "body", echo.Body)
	require.NotEmpty(t, resp.Trailer.Get("X-Body-Sha256"))
}

// rejectingOrders fails every claim, as during an outage of the object API.
type rejectingOrders struct{}

// Claim implements Orders.
func (rejectingOrders) Claim(context.Context, OrderRequest) (ClaimResult, error) {
	return ClaimResult{}, verdict.New(verdict.NotRun, 503, "claim_timeout", "the order could not be claimed in time")
}

// Guards against an error for a repeated request that implies that the order never ran.
func TestFailedClaimMentionsEarlierRequests(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("desk", standin.NewPlainService("i-desk-0").Handler())
	r.start()
	r.gateway.Orders = rejectingOrders{}
	resp := r.do("POST", "/services/desk/orders", "x", headerClass, "order", headerIdempotencyKey, "k")
	defer resp.Body.Close()
	var p Problem
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
	require.Equal(t, verdict.NotRun, p.Verdict)
	require.Contains(t, p.Detail, "an earlier request")
}

// Guards against a generation that keeps running because the cancel request arrived before
// the engine detected the closed connection; seen once in the scenario disconnect_cancels
// on a busy machine.
func TestCancelIsRetriedWhileReaderIsAttached(t *testing.T) {
	r := &testGateway{t: t}
	e := newEngine("i-models-0", standin.EngineFaults{}).Handler()
	var cancels atomic.Int32
	r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == "DELETE" && cancels.Add(1) <= 2 {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.ServeHTTP(w, req)
	}))
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(5000))
	require.NoError(t, err)
	readStream(t, resp.Body, 3)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool { return cancels.Load() == 3 }, 10*time.Second, 20*time.Millisecond)
}

// Guards against a generation that keeps running because its engine could not be asked to cancel it at first, for
// longer than the first attempts take.
func TestCancelIsRetriedUntilTheEngineResponds(t *testing.T) {
	for name, fail := range map[string]func(http.ResponseWriter){
		"fails":                 func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"closes the connection": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &testGateway{t: t}
			e := newEngine("i-models-0", standin.EngineFaults{}).Handler()
			var cancels, accepted atomic.Int32
			r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.Method == "DELETE" && cancels.Add(1) <= maxCancelAttempts {
					fail(w)
					return
				}
				if req.Method == "DELETE" {
					accepted.Add(1)
				}
				e.ServeHTTP(w, req)
			}))
			r.start()
			ctx, cancel := context.WithCancel(context.Background())
			resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(5000))
			require.NoError(t, err)
			readStream(t, resp.Body, 3)
			cancel()
			resp.Body.Close()
			require.Eventually(t, func() bool { return accepted.Load() == 1 }, 10*time.Second, 20*time.Millisecond)
			require.Eventually(t, func() bool { return r.counters["models-0"].InFlight() == 0 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against a team that exceeds its limit of requests in flight, and against slots
// that are not released.
func TestTeamLimit(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	r.start()
	// A limit of 4 over 2 hosts is a quota of 2 for this host.
	var bodies []io.ReadCloser
	for range 2 {
		resp := r.do("POST", "/v1/completions", streamRequestJSON(300), "Authorization", "Bearer small-key")
		require.Equal(t, 200, resp.StatusCode)
		bodies = append(bodies, resp.Body)
	}
	resp := r.do("POST", "/v1/completions", streamRequestJSON(3), "Authorization", "Bearer small-key")
	resp.Body.Close()
	require.Equal(t, 429, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	for _, b := range bodies {
		require.True(t, readStream(t, b, 0).done)
		b.Close()
	}
	require.Eventually(t, func() bool {
		resp := r.do("POST", "/v1/completions", streamRequestJSON(3), "Authorization", "Bearer small-key")
		defer resp.Body.Close()
		return resp.StatusCode == 200
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against an engine that fails requests but still gets the load of a warm one.
func TestFailedRequestIsReportedAndRetried(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
	r.start()
	for range 4 {
		resp := r.do("POST", "/v1/completions", streamRequestJSON(3))
		require.True(t, readStream(t, resp.Body, 0).done)
		resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Contains(t, r.failed, "models-0")
}
