package request

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// Guards against requests to a backend server that answers 503 and names a time for which it wants none, of
// plain services and of engines.
func TestRefusingBackendServerGetsNoRequests(t *testing.T) {
	for _, c := range []struct{ name, service, path, body string }{
		{"plain", "desk", "/services/desk/book", "x"},
		{"engine", "models", "/v1/completions", streamRequestJSON(3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &testGateway{t: t}
			var refused atomic.Int32
			r.addBackend(c.service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				refused.Add(1)
				w.Header().Set("Retry-After", "30.5")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			if c.service == "desk" {
				r.addBackend(c.service, standin.NewPlainService("i-desk-1").Handler())
			} else {
				r.addBackend(c.service, newEngine("i-models-1", standin.EngineFaults{}).Handler())
			}
			r.start()
			for range 20 {
				resp := r.do("POST", c.path, c.body, headerClass, "write")
				resp.Body.Close()
			}
			assert.EqualValues(t, 1, refused.Load())
		})
	}
}

// Guards against a caller that waits, or returns too soon, while all backend servers refuse.
func TestRequestsAreRejectedAtOnceWhileAllBackendServersRefuse(t *testing.T) {
	r := &testGateway{t: t}
	var refused atomic.Int32
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	r.start()
	for n := range 5 {
		start := time.Now()
		resp := r.do("POST", "/services/desk/book", "x", headerClass, "write", headerTimeout, "3000")
		resp.Body.Close()
		assert.Equal(t, 503, resp.StatusCode)
		assert.Less(t, time.Since(start), time.Second)
		if n > 0 {
			seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
			require.NoError(t, err)
			assert.GreaterOrEqual(t, seconds, 29)
			assert.LessOrEqual(t, seconds, 33)
		}
	}
	assert.EqualValues(t, 1, refused.Load())
}

// Guards against a change of what the host believes of a backend server that no metric counts.
func TestChangesOfRefusalsAreCounted(t *testing.T) {
	r := &testGateway{t: t}
	var received atomic.Int32
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			w.Header().Set("Retry-After", "0.3")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	r.start()
	for range 3 {
		resp := r.do("POST", "/services/desk/book", "x", headerClass, "write", headerTimeout, "3000")
		resp.Body.Close()
		time.Sleep(500 * time.Millisecond)
	}
	assert.EqualValues(t, 1, r.refusals.Load())
	assert.EqualValues(t, 1, r.refusalsEnded.Load())
	assert.EqualValues(t, 3, received.Load())
}
