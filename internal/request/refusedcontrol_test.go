package request

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refusingEngine is an engine stand-in that sends the first of two tokens of a generation, is silent for a
// time and goes on. It refuses the first requests to resume or cancel a generation, for a time that it names.
type refusingEngine struct {
	silence    time.Duration
	retryAfter string
	// refusals is the number of requests that it refuses.
	refusals int

	mu       sync.Mutex
	refused  []time.Time
	accepted []time.Time
}

// ServeHTTP implements http.Handler.
func (e *refusingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerGenerationID)
	if strings.HasPrefix(r.URL.Path, "/v1/generations/") {
		if !e.accept() {
			if e.retryAfter != "" {
				w.Header().Set("Retry-After", e.retryAfter)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodGet {
			w.Header().Set(headerGenerationID, id)
			write(w, event(id, 2, `"stop"`), "data: [DONE]\n\n")
		}
		return
	}
	w.Header().Set(headerGenerationID, id)
	write(w, event(id, 1, "null"))
	select {
	case <-time.After(e.silence):
		write(w, event(id, 2, `"stop"`), "data: [DONE]\n\n")
	case <-r.Context().Done():
	}
}

func (e *refusingEngine) accept() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.refused) < e.refusals {
		e.refused = append(e.refused, time.Now())
		return false
	}
	e.accepted = append(e.accepted, time.Now())
	return true
}

// calls returns when requests to resume or cancel were refused and accepted.
func (e *refusingEngine) calls() (refused, accepted []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.refused...), append([]time.Time(nil), e.accepted...)
}

// Guards against an engine that gets more than two requests to resume silent generations in the time for which
// it wants none, half a second after it said so, and against a stream that does not go on after it.
func TestRefusingEngineGetsNoResumes(t *testing.T) {
	const streams = 3
	engine := &refusingEngine{silence: 2500 * time.Millisecond, retryAfter: "30", refusals: 1000}
	r := &testGateway{t: t}
	r.addBackend("models", engine)
	r.start()
	r.gateway.streamStallTimeout = 300 * time.Millisecond
	var callers sync.WaitGroup
	for range streams {
		callers.Go(func() {
			resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
			defer resp.Body.Close()
			assert.True(t, readStream(t, resp.Body, 0).done)
		})
	}
	callers.Wait()
	refused, _ := engine.calls()
	require.NotEmpty(t, refused)
	within := 0
	for _, at := range refused {
		if at.Sub(refused[0]) >= 500*time.Millisecond {
			within++
		}
	}
	assert.LessOrEqual(t, within, 2, "of %d", len(refused))
	assert.LessOrEqual(t, len(refused), streams)
}

// Guards against a silent generation that is never resumed because its engine once refused that.
func TestSilentGenerationIsResumedAfterRefusal(t *testing.T) {
	engine := &refusingEngine{silence: time.Minute, retryAfter: "1", refusals: 1}
	r := &testGateway{t: t}
	r.addBackend("models", engine)
	r.start()
	r.gateway.streamStallTimeout = 100 * time.Millisecond
	resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
	defer resp.Body.Close()
	s := readStream(t, resp.Body, 0)
	require.True(t, s.done)
	r.requireTokens(s, 1, 2)
	refused, accepted := engine.calls()
	require.Len(t, refused, 1)
	require.Len(t, accepted, 1)
	assert.GreaterOrEqual(t, accepted[0].Sub(refused[0]), time.Second)
}

// Guards against a generation that keeps running after its caller has left because its engine refused the
// cancellation, against cancellations within the time that the engine named, and against one right after it:
// the caller could not resume the generation until then.
func TestRefusedCancellationIsSentLater(t *testing.T) {
	for _, c := range []struct {
		name, retryAfter string
		refusals         int
		least            time.Duration
	}{
		{name: "for a time", retryAfter: "1", refusals: 1, least: time.Second + minGraceAfterRefusal},
		{name: "without a time", refusals: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engine := &refusingEngine{silence: time.Minute, retryAfter: c.retryAfter, refusals: c.refusals}
			r := &testGateway{t: t}
			r.addBackend("models", engine)
			r.start()
			ctx, cancel := context.WithCancel(context.Background())
			resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(2))
			require.NoError(t, err)
			readStream(t, resp.Body, 1)
			cancel()
			resp.Body.Close()
			require.Eventually(t, func() bool { _, accepted := engine.calls(); return len(accepted) == 1 }, 15*time.Second, 10*time.Millisecond)
			refused, accepted := engine.calls()
			require.Len(t, refused, c.refusals)
			assert.GreaterOrEqual(t, accepted[0].Sub(refused[0]), c.least)
			// The slot at the engine is taken until the generation is cancelled.
			require.Eventually(t, func() bool { return r.counters["models-0"].InFlight() == 0 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against cancellations to an engine that another answer has said refuses requests.
func TestCancellationHeedsRefusalOfAnotherRequest(t *testing.T) {
	engine := &refusingEngine{silence: time.Minute, retryAfter: "2", refusals: 1}
	r := &testGateway{t: t}
	r.addBackend("models", engine)
	r.start()
	r.gateway.streamStallTimeout = 200 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(2))
	require.NoError(t, err)
	readStream(t, resp.Body, 1)
	require.Eventually(t, func() bool { refused, _ := engine.calls(); return len(refused) == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool { _, accepted := engine.calls(); return len(accepted) == 1 }, 15*time.Second, 10*time.Millisecond)
	refused, accepted := engine.calls()
	require.Len(t, refused, 1)
	assert.GreaterOrEqual(t, accepted[0].Sub(refused[0]), 2*time.Second)
}
