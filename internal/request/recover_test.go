package request

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// breakingEngine is an engine stand-in that sends the first of two tokens of a generation, closes the
// connection, and from then on responds to each request to resume it as unavailable does for a time,
// and after it with the second token.
type breakingEngine struct {
	unavailable func(e *breakingEngine, w http.ResponseWriter)
	duration    time.Duration

	mu       sync.Mutex
	brokenAt time.Time
	resumes  atomic.Int32
	// early is the number of resume requests before the end of the time.
	early   atomic.Int32
	starts  atomic.Int32
	cancels atomic.Int32
}

// ServeHTTP implements http.Handler.
func (e *breakingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerGenerationID)
	switch {
	case r.Method == http.MethodDelete:
		e.cancels.Add(1)
	case strings.HasPrefix(r.URL.Path, "/v1/generations/"):
		e.resumes.Add(1)
		if e.unavailableFor() > 0 {
			e.early.Add(1)
			e.unavailable(e, w)
			return
		}
		w.Header().Set(headerGenerationID, id)
		write(w, event(id, 2, `"stop"`), "data: [DONE]\n\n")
	default:
		e.starts.Add(1)
		w.Header().Set(headerGenerationID, id)
		write(w, event(id, 1, "null"))
		time.Sleep(20 * time.Millisecond) // the host relays the token
		e.mu.Lock()
		e.brokenAt = time.Now()
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (e *breakingEngine) unavailableFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.brokenAt.Add(e.duration))
}

func respondStatus(status int) func(*breakingEngine, http.ResponseWriter) {
	return func(_ *breakingEngine, w http.ResponseWriter) { w.WriteHeader(status) }
}

// refuse responds with status 503 and the rest of the time.
func refuse(e *breakingEngine, w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.FormatFloat(max(e.unavailableFor().Seconds(), 0), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abort(*breakingEngine, http.ResponseWriter) { panic(http.ErrAbortHandler) }

// limitedRetries is a budget of a number of retries.
type limitedRetries struct{ left atomic.Int32 }

// RecordFirstAttempt implements RetryBudget.
func (*limitedRetries) RecordFirstAttempt(time.Time) {}

// AcquireRetry implements RetryBudget.
func (l *limitedRetries) AcquireRetry(time.Time) bool { return l.left.Add(-1) >= 0 }

// Guards against a generation that is given up as lost although it runs: its connection broke, and its
// engine refuses to resume it, or fails to respond, for longer than a few attempts take.
func TestGenerationOfUnavailableEngineIsResumed(t *testing.T) {
	for name, unavailable := range map[string]func(*breakingEngine, http.ResponseWriter){
		"503":                  respondStatus(http.StatusServiceUnavailable),
		"503 with Retry-After": refuse,
		"429":                  respondStatus(http.StatusTooManyRequests),
		"500":                  respondStatus(http.StatusInternalServerError),
		"closes":               abort,
	} {
		for _, class := range []string{"caption", "whole"} {
			t.Run(name+"/"+class, func(t *testing.T) {
				t.Parallel()
				engine := &breakingEngine{unavailable: unavailable, duration: 1500 * time.Millisecond}
				r := &testGateway{t: t}
				r.addBackend("models", engine)
				r.start()
				r.gateway.RetryBudget = &limitedRetries{}
				resp := r.do("POST", "/v1/completions", streamRequestJSON(2), headerClass, class)
				defer resp.Body.Close()
				s := readStream(t, resp.Body, 0)
				require.True(t, s.done, "status %d, problem %+v", resp.StatusCode, s.problem)
				r.requireTokens(s, 1, 2)
				assert.NotZero(t, engine.early.Load())
				assert.EqualValues(t, 1, engine.starts.Load())
			})
		}
	}
}

// Guards against a generation that is given up as lost because its engine refuses connections for a while.
func TestGenerationOfEngineThatRefusesConnectionsIsResumed(t *testing.T) {
	engine := &breakingEngine{unavailable: abort}
	r := &testGateway{t: t}
	server := r.addBackend("models", engine)
	r.start()
	listened := make(chan *http.Server, 1)
	resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
	defer resp.Body.Close()
	address := server.Listener.Addr().String()
	require.NoError(t, server.Listener.Close())
	time.AfterFunc(1500*time.Millisecond, func() {
		defer close(listened)
		l, err := net.Listen("tcp", address)
		if assert.NoError(t, err) {
			s := &http.Server{Handler: engine}
			listened <- s
			go func() { _ = s.Serve(l) }()
		}
	})
	s := readStream(t, resp.Body, 0)
	if again := <-listened; again != nil {
		defer again.Close()
	}
	require.True(t, s.done, "problem %+v", s.problem)
	r.requireTokens(s, 1, 2)
}

// Guards against a caller that waits for as long as a silent engine may be silent for one whose process has ended.
func TestStreamOfEndedEngineEndsSoon(t *testing.T) {
	r := &testGateway{t: t}
	addCrashingEngine(r, 5)
	r.start()
	start := time.Now()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(500))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	assert.Less(t, time.Since(start), closedPortTimeout+maxResumeBackoff+2*time.Second)
	require.NotNil(t, s.problem)
}

// Guards against a caller that waits without end, or is told that its generation is lost, while the engine
// fails to respond; and against a generation that then keeps running.
func TestUnavailableEngineEndsStreamInTime(t *testing.T) {
	engine := &breakingEngine{unavailable: respondStatus(http.StatusServiceUnavailable), duration: time.Minute}
	r := &testGateway{t: t}
	r.addBackend("models", engine)
	r.start()
	r.gateway.streamStallTimeout = 500 * time.Millisecond
	start := time.Now()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	assert.Less(t, time.Since(start), 5*time.Second)
	require.NotNil(t, s.problem)
	assert.Equal(t, codeGenerationUnavailable, s.problem.Title)
	assert.Equal(t, verdict.Ran, s.problem.Verdict)
	require.Eventually(t, func() bool { return engine.cancels.Load() > 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a generation of which nothing was delivered that waits for its engine although another one
// could run it, and against two generations in one response.
func TestUndeliveredGenerationOfUnavailableEngineIsReplaced(t *testing.T) {
	engine := &breakingEngine{unavailable: respondStatus(http.StatusServiceUnavailable), duration: time.Minute}
	r := &testGateway{t: t}
	for range 2 {
		r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.Method == http.MethodPost && engine.starts.Load() > 0 {
				id := q.Header.Get(headerGenerationID)
				w.Header().Set(headerGenerationID, id)
				write(w, event(id, 1, "null"), event(id, 2, `"stop"`), "data: [DONE]\n\n")
				return
			}
			engine.ServeHTTP(w, q)
		}))
	}
	r.start()
	retries := &limitedRetries{}
	retries.left.Store(1)
	r.gateway.RetryBudget = retries
	start := time.Now()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(2), headerClass, "whole")
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	require.True(t, s.done, "status %d", resp.StatusCode)
	r.requireTokens(s, 1, 2)
	assert.Less(t, time.Since(start), 3*time.Second)
	require.Eventually(t, func() bool { return engine.cancels.Load() > 0 }, 5*time.Second, 10*time.Millisecond)
}

// resumableEngine is an engine stand-in that sends the first of two tokens and waits. respond responds to
// each request to resume the generation unless it is nil.
type resumableEngine struct {
	respond atomic.Pointer[func(w http.ResponseWriter)]
	resumes atomic.Int32
}

// ServeHTTP implements http.Handler.
func (e *resumableEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerGenerationID)
	w.Header().Set(headerGenerationID, id)
	switch {
	case r.Method == http.MethodDelete:
	case strings.HasPrefix(r.URL.Path, "/v1/generations/"):
		e.resumes.Add(1)
		if respond := e.respond.Load(); respond != nil {
			(*respond)(w)
			return
		}
		write(w, event(id, 2, `"stop"`), "data: [DONE]\n\n")
	case r.Method == http.MethodPost:
		write(w, event(id, 1, "null"))
		<-r.Context().Done()
	}
}

// startResumable starts a generation whose caller leaves after the first token, and then another host with
// the same engine. It returns the generation's path and the ID of the event.
func startResumable(t *testing.T, engine *resumableEngine) (r *testGateway, path, eventID string) {
	t.Helper()
	r = &testGateway{t: t}
	r.addBackend("models", engine)
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(2))
	require.NoError(t, err)
	s := readStream(t, resp.Body, 1)
	path = "/v1/generations/" + resp.Header.Get(headerGenerationID)
	cancel()
	resp.Body.Close()
	r.start()
	return r, path, s.ids[0]
}

// Guards against a caller that resumes at another host and is told that its generation is lost, without a
// time to return, because the engine refuses requests for a time.
func TestResumeAtAnotherHostDuringRefusal(t *testing.T) {
	for _, c := range []struct {
		name       string
		retryAfter string
		timeoutMS  string
		least      int
	}{
		{name: "longer than a caller waits", retryAfter: "120", least: 120},
		{name: "beyond the caller's timeout", retryAfter: "4", timeoutMS: "2000", least: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engine := &resumableEngine{}
			r, path, eventID := startResumable(t, engine)
			refuse := func(w http.ResponseWriter) {
				w.Header().Set("Retry-After", c.retryAfter)
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			engine.respond.Store(&refuse)
			headers := []string{headerLastEventID, eventID}
			if c.timeoutMS != "" {
				headers = append(headers, headerTimeout, c.timeoutMS)
			}
			start := time.Now()
			resp := r.do("GET", path, "", headers...)
			defer resp.Body.Close()
			assert.Less(t, time.Since(start), 1500*time.Millisecond)
			var p Problem
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
			assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			assert.Equal(t, codeGenerationUnavailable, p.Title)
			assert.Equal(t, verdict.Ran, p.Verdict)
			seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
			require.NoError(t, err)
			assert.GreaterOrEqual(t, seconds, c.least)
			assert.LessOrEqual(t, seconds, c.least+2) // a random delay of up to 1 s, rounded up
		})
	}
	t.Run("waited for", func(t *testing.T) {
		t.Parallel()
		engine := &resumableEngine{}
		r, path, eventID := startResumable(t, engine)
		refuse := func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			engine.respond.Store(nil)
		}
		engine.respond.Store(&refuse)
		start := time.Now()
		resp := r.do("GET", path, "", headerLastEventID, eventID)
		defer resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		s := readStream(t, resp.Body, 0)
		assert.True(t, s.done)
		assert.Len(t, s.ids, 1)
		assert.GreaterOrEqual(t, time.Since(start), time.Second)
		assert.EqualValues(t, 2, engine.resumes.Load())
	})
}

// Guards against a caller that waits for a generation which its engine does not have, or which ran in a
// process that another one has replaced, whatever that responds.
func TestResumeOfLostGeneration(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter){
		"404": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) },
		"410": func(w http.ResponseWriter) { w.WriteHeader(http.StatusGone) },
		"503 of another incarnation": func(w http.ResponseWriter) {
			w.Header().Set(headerIncarnation, "other")
			w.Header().Set("Retry-After", "20")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"200 of another incarnation": func(w http.ResponseWriter) { w.Header().Set(headerIncarnation, "other") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := &resumableEngine{}
			r, path, eventID := startResumable(t, engine)
			engine.respond.Store(&respond)
			start := time.Now()
			resp := r.do("GET", path, "", headerLastEventID, eventID)
			defer resp.Body.Close()
			var p Problem
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
			assert.Equal(t, http.StatusGone, resp.StatusCode)
			assert.Equal(t, "generation_lost", p.Title)
			assert.Less(t, time.Since(start), 2*time.Second)
			assert.EqualValues(t, 1, engine.resumes.Load())
		})
	}
}
