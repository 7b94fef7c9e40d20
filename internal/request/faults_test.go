package request

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// scriptedEngine is an engine stand-in. It responds to a generation with the events that
// script writes for its id, and to every resume with status 404. It counts cancellations.
type scriptedEngine struct {
	script  func(w http.ResponseWriter, id string)
	cancels atomic.Int32
}

// ServeHTTP implements http.Handler.
func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodDelete:
		e.cancels.Add(1)
	case strings.HasPrefix(r.URL.Path, "/v1/generations/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		id := r.Header.Get(headerGenerationID)
		w.Header().Set(headerGenerationID, id)
		e.script(w, id)
	}
}

func event(id string, offset int, finish string) string {
	return fmt.Sprintf("id: %s:%d\ndata: {\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":%s}]}\n\n",
		id, offset, standin.Token(id, offset), finish)
}

func write(w http.ResponseWriter, parts ...string) {
	_, _ = io.WriteString(w, strings.Join(parts, ""))
	_ = http.NewResponseController(w).Flush()
}

// Guards against tokens of two generations in one stream (guarantee G1), when the first
// generation fails in the same write as its first token, before anything was delivered.
func TestFirstBatchOfFailedAttemptIsDiscarded(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", &scriptedEngine{script: func(w http.ResponseWriter, id string) {
		write(w, event(id, 1, "null"), "event: error\ndata: {}\n\n")
	}})
	r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
	r.start()
	for range 4 {
		resp := r.do("POST", "/v1/completions", streamRequestJSON(3))
		s := readStream(t, resp.Body, 0)
		resp.Body.Close()
		require.True(t, s.done)
		r.requireTokens(s, 1, 3)
	}
}

// Guards against an error at the end of every stream if an engine's JSON contains
// whitespace, and against delaying the end marker until the engine ends its body.
func TestEndMarkerIsRelayedWithoutDelay(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", &scriptedEngine{script: func(w http.ResponseWriter, id string) {
		write(w, event(id, 1, "null"), event(id, 2, ` "stop"`), "data: [DONE]\n\n")
		time.Sleep(2 * time.Second)
	}})
	r.start()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
	defer resp.Body.Close()
	begin := time.Now()
	buf, done := make([]byte, 4096), ""
	for !strings.Contains(done, "[DONE]") {
		n, err := resp.Body.Read(buf)
		require.NoError(t, err)
		done += string(buf[:n])
	}
	require.Less(t, time.Since(begin), time.Second)
}

// Guards against holding back an event until the next one arrives, if an engine sends a
// comment in the same write.
func TestEventBeforeCommentIsRelayedWithoutDelay(t *testing.T) {
	r := &testGateway{t: t}
	received := make(chan struct{})
	r.addBackend("models", &scriptedEngine{script: func(w http.ResponseWriter, id string) {
		write(w, event(id, 1, "null"), ": waiting\n\n")
		select {
		case <-received:
			write(w, event(id, 2, `"stop"`), "data: [DONE]\n\n")
		case <-time.After(2 * time.Second):
		}
	}})
	r.start()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
	defer resp.Body.Close()
	r.requireTokens(readStream(t, resp.Body, 1), 1, 1)
	close(received)
	require.True(t, readStream(t, resp.Body, 0).done)
}

// Guards against reporting healthy engines as cold because one request fails at each of
// them.
func TestRequestThatFailsEverywhereIsNotReported(t *testing.T) {
	r := &testGateway{t: t}
	for range 2 {
		r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}))
	}
	r.start()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(3))
	resp.Body.Close()
	require.Equal(t, 502, resp.StatusCode)
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Empty(t, r.failed)
}

// Guards against reporting an engine's rejection as an internal error if it occurs on the
// second attempt.
func TestRejectionOfSecondAttempt(t *testing.T) {
	r := &testGateway{t: t}
	var attempts atomic.Int32
	engine := &scriptedEngine{script: func(w http.ResponseWriter, _ string) {
		if attempts.Add(1) == 1 {
			write(w, "event: error\ndata: {}\n\n")
			return
		}
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, "too long")
	}}
	r.addBackend("models", engine)
	r.addBackend("models", engine)
	r.start()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(3))
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, 422, resp.StatusCode)
	require.Equal(t, "too long", string(body))
}

// Guards against a rejection that is relayed as complete although its body broke off or
// exceeds the limit.
func TestIncompleteRejectionIsNotRelayed(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter){
		"broken off": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(http.StatusUnprocessableEntity)
			write(w, "too long")
			panic(http.ErrAbortHandler)
		},
		"over the limit": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusUnprocessableEntity)
			write(w, strings.Repeat("x", maxRejectionBytes+1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := &testGateway{t: t}
			for range 2 {
				r.addBackend("models", &scriptedEngine{script: func(w http.ResponseWriter, _ string) { respond(w) }})
			}
			r.start()
			resp := r.do("POST", "/v1/completions", streamRequestJSON(3))
			defer resp.Body.Close()
			var p Problem
			assert.Equal(t, 502, resp.StatusCode)
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
			assert.Equal(t, "backend_failed", p.Title)
			assert.Equal(t, verdict.MayHaveRun, p.Verdict)
		})
	}
}

// Guards against a streamed response that looks complete although its chunked framing was
// malformed: fasthttp drops an error that a read returns together with data.
func TestMalformedChunkBreaksResponse(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			// The first chunk is one byte longer than announced.
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst.0\r\n\r\n")
			_ = conn.Close()
		}
	}))
	r.start()
	resp := r.do("GET", "/services/desk/a", "", "Monsoonkeel-Class", "lookup")
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.Error(t, err, "the response ends as complete after %q", body)
}

// Guards against a resumed generation that keeps running after its caller disconnects
// before the first new token.
func TestResumedGenerationIsCancelled(t *testing.T) {
	r := &testGateway{t: t}
	release := make(chan struct{})
	defer close(release)
	var cancels atomic.Int32
	r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(headerGenerationID)
		switch {
		case req.Method == http.MethodDelete:
			cancels.Add(1)
		case strings.HasPrefix(req.URL.Path, "/v1/generations/"):
			write(w, ": waiting\n\n")
			select {
			case <-release:
			case <-req.Context().Done():
			}
		default:
			w.Header().Set(headerGenerationID, id)
			write(w, event(id, 1, "null"))
			<-req.Context().Done()
		}
	}))
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(5))
	require.NoError(t, err)
	first := readStream(t, resp.Body, 1)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool { return cancels.Load() == 1 }, 5*time.Second, 10*time.Millisecond)
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = r.doWithContext(ctx, "POST", "/v1/completions", "", headerLastEventID, first.ids[0])
	require.Error(t, err)
	require.Eventually(t, func() bool { return cancels.Load() == 2 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a resumed stream that ends like a complete one although the engine sent its end
// marker after a token without a finish reason.
func TestResumedStreamWithoutFinishReasonFails(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(headerGenerationID)
		if !strings.HasPrefix(req.URL.Path, "/v1/generations/") {
			w.Header().Set(headerGenerationID, id)
			write(w, event(id, 1, "null"))
			<-req.Context().Done()
			return
		}
		id = strings.TrimPrefix(req.URL.Path, "/v1/generations/")
		write(w, event(id, 2, "null")+"data: [DONE]\n\n")
	}))
	r.start()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := r.doWithContext(ctx, "POST", "/v1/completions", streamRequestJSON(5))
	require.NoError(t, err)
	first := readStream(t, resp.Body, 1)
	cancel()
	_ = resp.Body.Close()
	resp = r.do("POST", "/v1/completions", "", headerLastEventID, first.ids[0])
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.NotContains(t, string(body), "[DONE]")
	assert.Contains(t, string(body), "generation_lost")
}

// Guards against decoded path bytes in the request line or the query, against forwarding
// hop-by-hop or internal headers, and against recording a response without a body as
// truncated.
func TestPassThroughSanitizesRequest(t *testing.T) {
	r := &testGateway{t: t}
	var uri string
	var headers http.Header
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		uri, headers = req.RequestURI, req.Header.Clone()
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "s")
		w.WriteHeader(http.StatusNoContent)
	}))
	r.start()
	resp := r.do("GET", "/services/desk/a%20b%3Fx=1?y=%20z", "", headerClass, "lookup",
		"Connection", "X-Hop", "X-Hop", "h", headerPriority, "9", "TE", "gzip")
	resp.Body.Close()
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
	require.Equal(t, "/a%20b%3Fx=1?y=%20z", uri)
	for _, name := range []string{"X-Hop", "Te", headerPriority, "Authorization"} {
		require.Empty(t, headers.Get(name), name)
	}
	require.Empty(t, resp.Header.Get("X-Secret"))
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.outcomes) == 1 && r.outcomes[0].Code == ""
	}, time.Second, time.Millisecond)
}

// grantingOrders grants every claim and passes on the stored responses.
type grantingOrders struct{ responses chan OrderResponse }

// Claim implements Orders.
func (o grantingOrders) Claim(context.Context, OrderRequest) (ClaimResult, error) {
	return ClaimResult{Grant: o}, nil
}
func (grantingOrders) MaySend(time.Time) bool { return true }
func (o grantingOrders) Finish(_ context.Context, response OrderResponse) error {
	o.responses <- response
	return nil
}
func (grantingOrders) Release(context.Context) error { return nil }
func (grantingOrders) Abandon()                      {}

// Guards against storing an encoded response, whose Content-Encoding is not replayed to a
// repeated request.
func TestOrderResponseIsStoredUnencoded(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_ = json.NewEncoder(w).Encode(req.Header.Get("Accept-Encoding"))
	}))
	r.start()
	orders := grantingOrders{responses: make(chan OrderResponse, 1)}
	r.gateway.Orders = orders
	resp := r.do("POST", "/services/desk/orders", "x", headerClass, "order", headerIdempotencyKey, "k", "Accept-Encoding", "gzip")
	resp.Body.Close()
	require.Equal(t, "\"\"\n", string((<-orders.responses).Body))
}

// Guards against a caller that occupies a connection by sending an oversized body one byte
// at a time.
func TestDiscardBodyIsBounded(t *testing.T) {
	caller, server := net.Pipe()
	defer caller.Close()
	go func() {
		for {
			if _, err := caller.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	begin := time.Now()
	discardBody(server, 200*time.Millisecond)
	require.Less(t, time.Since(begin), 2*time.Second)
	server.Close()
}
