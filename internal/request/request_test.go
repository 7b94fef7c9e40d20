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

// Guards against events of other generations, repeated, missing or cut events
// reaching the caller (G1, G4).
func TestMisbehavingEngine(t *testing.T) {
	cases := map[string]standin.EngineFaults{
		"well-behaved": {},
		"duplicate":    {DuplicateEvents: true},
		"skip":         {SkipEvents: true},
		"cross":        {Cross: true},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			r := &rig{t: t}
			r.addBackend("models", newEngine("i-models-0", faults).Handler())
			r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
			r.start()
			resp := r.do("POST", "/services/models/v1/completions", streamBodyJSON(9))
			defer resp.Body.Close()
			require.Equal(t, 200, resp.StatusCode)
			s := readStream(t, resp.Body, 0)
			require.True(t, s.done)
			r.requireWhole(s, 1, 9)
		})
	}
}

// Guards against a stream cut off by its engine looking finished.
func TestTruncatedStreamEndsWithProblem(t *testing.T) {
	r := &rig{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{Truncate: true}).Handler())
	r.start()
	resp := r.do("POST", "/v1/completions", streamBodyJSON(4))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	require.False(t, s.done)
	require.NotNil(t, s.problem)
	require.Equal(t, verdict.Ran, s.problem.Verdict)
}

// Guards against an unstreamed answer that is cut off or of another generation.
func TestUnstreamedAnswerIsWhole(t *testing.T) {
	for name, faults := range map[string]standin.EngineFaults{"truncate": {Truncate: true}, "cross": {Cross: true}} {
		t.Run(name, func(t *testing.T) {
			r := &rig{t: t}
			r.addBackend("models", newEngine("i-models-0", faults).Handler())
			r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
			r.start()
			for range 4 {
				resp := r.do("POST", "/v1/completions", `{"model":"m","prompt":"a","max_tokens":3}`)
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode, string(body))
				var answer struct {
					ID      string
					Choices []struct{ Text string }
				}
				require.NoError(t, json.Unmarshal(body, &answer))
				want := standin.Token(answer.ID, 1) + standin.Token(answer.ID, 2) + standin.Token(answer.ID, 3)
				require.Equal(t, want, answer.Choices[0].Text)
			}
		})
	}
}

// dyingEngine closes its listener's connections once a generation has
// produced some tokens, as a killed process does.
func dyingEngine(r *rig, tokens int) {
	die := make(chan struct{}, 1)
	e := standin.NewEngine(standin.EngineConfig{
		Incarnation: "i-models-0", TokenInterval: 2 * time.Millisecond, ColdLimit: 100, WarmAfter: 1, Retention: time.Minute,
		Faults: standin.EngineFaults{DieAfterTokens: tokens},
		Die: func() {
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

// Guards against a second generation continuing a delivered first part (G1).
func TestEngineDeathAfterDelivery(t *testing.T) {
	r := &rig{t: t}
	dyingEngine(r, 5)
	r.start()
	resp := r.do("POST", "/v1/completions", streamBodyJSON(500))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	require.False(t, s.done)
	require.NotNil(t, s.problem)
	require.Equal(t, "generation_lost", s.problem.Title)
	r.requireWhole(s, 1, len(s.ids))
}

// Guards against a held-back answer being lost with its engine, or mixing two runs.
func TestWholeDeliverySurvivesEngineDeath(t *testing.T) {
	r := &rig{t: t}
	dyingEngine(r, 5)
	r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
	r.start()
	for range 4 {
		resp := r.do("POST", "/v1/completions", streamBodyJSON(20), headerClass, "whole")
		s := readStream(t, resp.Body, 0)
		resp.Body.Close()
		require.True(t, s.done)
		r.requireWhole(s, 1, 20)
	}
}

// Guards against a resume that repeats, skips or restarts (G1), at another host.
func TestResumeAtAnotherHost(t *testing.T) {
	r := &rig{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.try(ctx, "POST", "/v1/completions", streamBodyJSON(60))
	require.NoError(t, err)
	first := readStream(t, resp.Body, 10)
	cancel()
	resp.Body.Close()
	r.requireWhole(first, 1, 10)

	r.start() // another gateway without the first one's memory
	resp = r.do("POST", "/v1/completions", "", headerLastEventID, first.ids[9])
	defer resp.Body.Close()
	rest := readStream(t, resp.Body, 0)
	require.True(t, rest.done)
	r.requireWhole(rest, 11, 60)
}

// Guards against an abandoned generation keeping its engine busy.
func TestDisconnectCancelsAtEngine(t *testing.T) {
	r := &rig{t: t}
	e := newEngine("i-models-0", standin.EngineFaults{})
	r.addBackend("models", e.Handler())
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.try(ctx, "POST", "/v1/completions", streamBodyJSON(5000))
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

// Guards against malformed requests running or being refused without a reason.
func TestBadRequestsDoNotRun(t *testing.T) {
	r := &rig{t: t}
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
		{"unknown class", "/v1/completions", streamBodyJSON(1), []string{headerClass, "x"}, 400, "unknown_class"},
		{"unknown team", "/v1/completions", streamBodyJSON(1), []string{"Authorization", "Bearer x"}, 401, "unknown_team"},
		{"unknown service", "/services/x/y", "", nil, 404, "unknown_service"},
		{"engine as plain service", "/services/models/y", "", nil, 404, "unknown_service"},
		{"model of another service", "/services/models/v1/completions", `{"model":"x"}`, nil, 404, "unknown_model"},
		{"bad timeout", "/v1/completions", streamBodyJSON(1), []string{headerTimeout, "-1"}, 400, "bad_timeout"},
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

// Guards against a call that may have run being repeated or called not run,
// and against a refused connection failing a call that another server can take.
func TestPlainVerdicts(t *testing.T) {
	r := &rig{t: t}
	var runs atomic.Int32
	r.addBackend("desk", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	r.start()
	resp := r.do("POST", "/services/desk/book", "x", headerClass, "write")
	var p Problem
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
	resp.Body.Close()
	require.Equal(t, verdict.MayHaveRun, p.Verdict)
	require.EqualValues(t, 1, runs.Load())

	r.servers[0].Close()
	resp = r.do("POST", "/services/desk/book", "x", headerClass, "write")
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
	resp.Body.Close()
	require.Equal(t, verdict.NotRun, p.Verdict)

	r.addBackend("desk", standin.NewPlain("i-desk-1").Handler())
	r.start()
	for range 3 {
		resp = r.do("POST", "/services/desk/book", "x", headerClass, "write")
		resp.Body.Close()
		require.Equal(t, 200, resp.StatusCode)
	}
}

// Guards against lost trailers, methods and bodies of passed-through calls.
func TestPassThroughIsWhole(t *testing.T) {
	r := &rig{t: t}
	r.addBackend("desk", standin.NewPlain("i-desk-0").Handler())
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

// refusedOrders refuses every claim, as during an outage of the object API.
type refusedOrders struct{}

// Claim implements Orders.
func (refusedOrders) Claim(context.Context, OrderRequest) (ClaimResult, error) {
	return ClaimResult{}, verdict.New(verdict.NotRun, 503, "claim_timeout", "the order could not be claimed in time")
}

// Guards against a refused repeat being read as proof that the order never ran.
func TestRefusedClaimMentionsEarlierRequests(t *testing.T) {
	r := &rig{t: t}
	r.addBackend("desk", standin.NewPlain("i-desk-0").Handler())
	r.start()
	r.gateway.Orders = refusedOrders{}
	resp := r.do("POST", "/services/desk/orders", "x", headerClass, "order", headerIdempotencyKey, "k")
	defer resp.Body.Close()
	var p Problem
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
	require.Equal(t, verdict.NotRun, p.Verdict)
	require.Contains(t, p.Detail, "an earlier request")
}

// Guards against a generation that runs on because the engine had not yet
// noticed the closed connection when it was told to cancel; seen once in the
// scenario disconnect_cancels on a busy machine.
func TestCancelIsRepeatedWhileEngineSeesReader(t *testing.T) {
	r := &rig{t: t}
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
	resp, err := r.try(ctx, "POST", "/v1/completions", streamBodyJSON(5000))
	require.NoError(t, err)
	readStream(t, resp.Body, 3)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool { return cancels.Load() == 3 }, 10*time.Second, 20*time.Millisecond)
}

// Guards against a team exceeding its limit of requests in flight, and against
// places that are not given back.
func TestTeamLimit(t *testing.T) {
	r := &rig{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	r.start()
	// A limit of 4 over 2 hosts lets this host run 2.
	var bodies []io.ReadCloser
	for range 2 {
		resp := r.do("POST", "/v1/completions", streamBodyJSON(300), "Authorization", "Bearer small-key")
		require.Equal(t, 200, resp.StatusCode)
		bodies = append(bodies, resp.Body)
	}
	resp := r.do("POST", "/v1/completions", streamBodyJSON(3), "Authorization", "Bearer small-key")
	resp.Body.Close()
	require.Equal(t, 429, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	for _, b := range bodies {
		require.True(t, readStream(t, b, 0).done)
		b.Close()
	}
	require.Eventually(t, func() bool {
		resp := r.do("POST", "/v1/completions", streamBodyJSON(3), "Authorization", "Bearer small-key")
		defer resp.Body.Close()
		return resp.StatusCode == 200
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against an engine that fails under load keeping the load of a warm one.
func TestFailedRequestIsReportedAndRetried(t *testing.T) {
	r := &rig{t: t}
	r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
	r.start()
	for range 4 {
		resp := r.do("POST", "/v1/completions", streamBodyJSON(3))
		require.True(t, readStream(t, resp.Body, 0).done)
		resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Contains(t, r.failed, "models-0")
}
