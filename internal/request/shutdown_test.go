package request

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
