package request

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// Guards against requests that get no response when the drain timeout ends: those without a
// response get a problem with a true verdict, and streams that have begun continue.
func TestRequestsAreAnsweredAtTheEndOfTheDrain(t *testing.T) {
	r := &testGateway{t: t, limit: 1}
	received := make(chan struct{}, 4)
	released := make(chan struct{})
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/slow" { // a load report
			w.Header().Set("X-Incarnation", "i-desk-0")
			return
		}
		received <- struct{}{}
		<-released
	}))
	r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
	r.start()
	stream := r.do("POST", "/services/models/v1/completions", streamRequestJSON(300))
	defer func() { _ = stream.Body.Close() }()
	require.Equal(t, 200, stream.StatusCode)
	defer close(released)

	answers := make(chan Problem, 2)
	send := func() {
		resp := r.do("POST", "/services/desk/slow", "x", headerClass, "patient")
		defer func() { _ = resp.Body.Close() }()
		var p Problem
		assert.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
		answers <- p
	}
	go send()
	select {
	case <-received:
	case <-time.After(2 * time.Second):
		t.Fatal("not received")
	}
	go send() // waits for the only slot
	time.Sleep(50 * time.Millisecond)

	r.gateway.CancelRequests()
	statuses := map[int]verdict.Verdict{}
	for range 2 {
		select {
		case p := <-answers:
			statuses[p.Status] = p.Verdict
		case <-time.After(2 * time.Second):
			t.Fatal("no response")
		}
	}
	assert.Equal(t, map[int]verdict.Verdict{504: verdict.MayHaveRun, 503: verdict.NotRun}, statuses)
	late := r.do("POST", "/services/desk/slow", "x", headerClass, "patient")
	_ = late.Body.Close()
	assert.Equal(t, 503, late.StatusCode)
	assert.NotEmpty(t, late.Header.Get("Retry-After"))
	assert.Empty(t, received)
	s := readStream(t, stream.Body, 0)
	require.True(t, s.done)
	r.requireTokens(s, 1, 300)
}

// Guards against requests that wait for a slot being sent when the end of a drain frees one: the
// slot of a request that was cancelled went to one that was to be cancelled a moment later.
func TestSlotsFreedAtTheEndOfTheDrainAreNotUsed(t *testing.T) {
	for _, tc := range []struct{ name, path, body, class string }{
		{"plain", "/services/desk/slow", "x", "patient"},
		{"order", "/services/desk/slow", "x", "patient order"},
		{"stream", "/v1/completions", streamRequestJSON(3), "patient"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &testGateway{t: t, limit: 1}
			var received atomic.Int32
			open := make(chan struct{})
			release := sync.OnceFunc(func() { close(open) })
			for _, service := range []string{"desk", "models"} {
				r.addBackend(service, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
					if req.Method == http.MethodPost {
						received.Add(1)
						<-open
					}
				}))
			}
			r.start()
			t.Cleanup(release) // runs before the server's own cleanup, which waits for the handler
			r.gateway.Orders = grantingOrders{responses: make(chan OrderResponse, 1)}
			doc := testDocument()
			doc.Classes["patient order"] = config.Class{Name: "patient order", FirstTokenMS: 60_000, Order: true}
			r.apply(doc)

			problems := make(chan Problem, 2)
			for i := range 2 {
				go func() {
					resp := r.do("POST", tc.path, tc.body, headerClass, tc.class, headerIdempotencyKey, fmt.Sprint(i))
					defer func() { _ = resp.Body.Close() }()
					var p Problem
					_ = json.NewDecoder(resp.Body).Decode(&p) // the response of the server is no problem
					problems <- p
				}()
			}
			require.Eventually(t, func() bool {
				waiting := r.gateway.Dispatchers.Waiting()
				return received.Load() == 1 && waiting["desk"]+waiting["models"] == 1
			}, 5*time.Second, time.Millisecond)
			// CancelRequests has begun and has not reached the waiting request.
			r.gateway.stopping.Store(true)
			release()
			rejected := 0
			for range 2 {
				select {
				case p := <-problems:
					if p.Status == 503 && p.Verdict == verdict.NotRun {
						rejected++
					}
				case <-time.After(10 * time.Second):
					t.Fatal("no response")
				}
			}
			assert.Equal(t, 1, rejected)
			assert.EqualValues(t, 1, received.Load())
		})
	}
}

// Guards against an order at its server that gets no response at the end of a drain, while other
// requests do: it was not cancelled, so that the process closed the caller's connection and did not
// record that the order may have run.
func TestOrderAtServerIsAnsweredAtTheEndOfTheDrain(t *testing.T) {
	for _, part := range []string{"header", "body"} {
		t.Run(part, func(t *testing.T) {
			r := &testGateway{t: t}
			received := make(chan struct{}, 1)
			open := make(chan struct{})
			r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.Method != http.MethodPost {
					return
				}
				if part == "body" {
					w.Header().Set("Content-Length", "4")
					_, _ = w.Write([]byte("do"))
					w.(http.Flusher).Flush()
				}
				received <- struct{}{}
				<-open
			}))
			r.start()
			t.Cleanup(func() { close(open) }) // runs before the server's own cleanup, which waits for the handler
			abandoned := &atomic.Int32{}
			r.gateway.Orders = countingOrders{grantingOrders{responses: make(chan OrderResponse, 1)}, abandoned}
			doc := testDocument()
			doc.Classes["patient order"] = config.Class{Name: "patient order", FirstTokenMS: 60_000, Order: true}
			r.apply(doc)
			problems := make(chan Problem, 1)
			go func() {
				resp := r.do("POST", "/services/desk/slow", "x", headerClass, "patient order", headerIdempotencyKey, "a")
				defer func() { _ = resp.Body.Close() }()
				var p Problem
				assert.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
				problems <- p
			}()
			<-received
			r.gateway.CancelRequests()
			select {
			case p := <-problems:
				assert.Equal(t, 504, p.Status)
				assert.Equal(t, verdict.MayHaveRun, p.Verdict)
				assert.EqualValues(t, 1, abandoned.Load())
			case <-time.After(5 * time.Second):
				t.Fatal("no response")
			}
		})
	}
}
