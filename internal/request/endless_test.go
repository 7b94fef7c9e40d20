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

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
)

const (
	// endlessCallerTimeoutMS is far longer than the host needs to reach a bound.
	endlessCallerTimeoutMS = "30000"
	// socketBufferSlack is room for sent bytes that are still in socket buffers. A host that
	// reads without a bound passes it within a second.
	socketBufferSlack = 48 << 20
	// maxCallerBytes is how much of a response the caller reads before it disconnects.
	maxCallerBytes = 32 << 20
	// endlessWriteBytes is the minimum size of one write of an endlessServer.
	endlessWriteBytes = 32 << 10

	okHeader      = "HTTP/1.1 200 OK\r\n"
	lengthHeader  = okHeader + "Content-Length: 1099511627776\r\n\r\n"
	closeHeader   = okHeader + "Connection: close\r\n\r\n"
	chunkedHeader = okHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// filler is a part of a line without end.
var filler = strings.Repeat("x", 256)

// endlessResponse is a response without end: start, followed by part for i = 0, 1, 2 and so on.
type endlessResponse struct {
	start func(id string) string
	part  func(id string, i int) string
	// chunked makes start and the parts the body of a chunked response, in large chunks.
	chunked bool
	// pause is the time between two parts; without it, parts are sent in large writes.
	pause time.Duration
}

func repeat(start, part string) endlessResponse {
	return endlessResponse{
		start: func(string) string { return start },
		part:  func(string, int) string { return part },
	}
}

// endlessServer is a backend server that sends an endless response to every request except
// cancellations, until the host closes the connection.
type endlessServer struct {
	response endlessResponse
	// noResume makes the server respond to every resume with status 404.
	noResume bool
	requests atomic.Int32
	open     atomic.Int32
	cancels  atomic.Int32
	// mostSent is the largest number of bytes sent on one connection.
	mostSent atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodDelete:
		e.cancels.Add(1)
		return
	case e.noResume && strings.HasPrefix(r.URL.Path, "/v1/generations/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerGenerationID)
	if rest, ok := strings.CutPrefix(r.URL.Path, "/v1/generations/"); ok {
		id = rest
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	e.requests.Add(1)
	e.open.Add(1)
	defer e.open.Add(-1)
	e.send(conn, id)
}

func (e *endlessServer) send(conn net.Conn, id string) {
	defer conn.Close()
	total := int64(0)
	defer func() {
		for {
			most := e.mostSent.Load()
			if total <= most || e.mostSent.CompareAndSwap(most, total) {
				return
			}
		}
	}()
	write := func(out []byte) error {
		n, err := conn.Write(out)
		total += int64(n)
		return err
	}
	if e.response.chunked && write([]byte(chunkedHeader)) != nil {
		return
	}
	out := []byte(e.response.start(id))
	for i := 0; ; i++ {
		out = append(out, e.response.part(id, i)...)
		if len(out) < endlessWriteBytes && e.response.pause == 0 {
			continue
		}
		if e.response.chunked {
			out = fmt.Appendf(nil, "%x\r\n%s\r\n", len(out), out)
		}
		if write(out) != nil {
			return
		}
		out = out[:0]
		time.Sleep(e.response.pause)
	}
}

// countingOrders grants every claim and counts the abandoned ones.
type countingOrders struct {
	grantingOrders
	abandoned *atomic.Int32
}

// Claim implements Orders.
func (o countingOrders) Claim(context.Context, OrderRequest) (ClaimResult, error) {
	return ClaimResult{Grant: o}, nil
}

// Abandon implements OrderGrant.
func (o countingOrders) Abandon() { o.abandoned.Add(1) }

// callKind is a kind of request of a caller.
type callKind string

const (
	callUnstreamed callKind = "unstreamed"
	callStreamed   callKind = "streamed"
	callBuffered   callKind = "buffered"
	callResumed    callKind = "resumed"
	callPlain      callKind = "plain"
	callIdempotent callKind = "idempotent"
	callOrder      callKind = "order"
)

var (
	streamKinds  = []callKind{callStreamed, callBuffered, callResumed}
	allCallKinds = []callKind{callUnstreamed, callStreamed, callBuffered, callResumed, callPlain, callIdempotent, callOrder}
)

func (k callKind) isGeneration() bool {
	return k == callUnstreamed || k == callStreamed || k == callBuffered || k == callResumed
}

// endlessResult is what the caller received.
type endlessResult struct {
	status  int
	body    string
	err     error
	problem *Problem
	done    bool
}

// call sends one request of the kind and reads the response.
func (r *testGateway) call(kind callKind, timeoutMS string) endlessResult {
	r.t.Helper()
	method, path, body := "POST", "/v1/completions", streamRequestJSON(100)
	headers := []string{"Authorization", "Bearer small-key", headerTimeout, timeoutMS}
	switch kind {
	case callUnstreamed:
		body = `{"model":"m","prompt":"a b","max_tokens":100}`
	case callBuffered:
		headers = append(headers, headerClass, "whole")
	case callResumed:
		headers = append(headers, headerLastEventID, r.eventID(1))
	case callPlain:
		path, headers = "/services/desk/x", append(headers, headerClass, "write")
	case callIdempotent:
		method, path, headers = "GET", "/services/desk/x", append(headers, headerClass, "lookup")
	case callOrder:
		path, headers = "/services/desk/x", append(headers, headerClass, "order", headerIdempotencyKey, "k")
	}
	resp, err := r.doWithContext(context.Background(), method, path, body, headers...)
	if err != nil {
		return endlessResult{err: err}
	}
	return readEndless(resp)
}

// eventID returns the id of an event of a generation at the server models-0.
func (r *testGateway) eventID(offset int) string {
	token := r.gateway.GenerationTokens.Encode("small", gentoken.Generation{
		Service: "models", Backend: "models-0", Incarnation: "i-models-0", ID: "resumed", Class: "caption",
	})
	return fmt.Sprintf("%s:%d", token, offset)
}

// readEndless reads the response up to maxCallerBytes and then disconnects.
func readEndless(resp *http.Response) endlessResult {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCallerBytes))
	result := endlessResult{status: resp.StatusCode, body: string(data), err: err}
	problem := result.body
	if i := strings.LastIndex(problem, "event: error\ndata: "); i >= 0 {
		problem = problem[i+len("event: error\ndata: "):]
	}
	var p Problem
	if json.Unmarshal([]byte(problem), &p) == nil && p.Type != "" {
		result.problem = &p
	}
	result.done = strings.HasSuffix(result.body, "data: [DONE]\n\n")
	return result
}

// requireReleased requires that the request's connections are closed, that its reservations
// and team slots are released, and that its last outcome is recorded.
func (r *testGateway) requireReleased(e *endlessServer) Outcome {
	r.t.Helper()
	require.NotZero(r.t, e.requests.Load())
	require.Eventually(r.t, func() bool { return e.open.Load() == 0 }, 10*time.Second, time.Millisecond, "a connection to the server is still open")
	require.Eventually(r.t, func() bool {
		for _, c := range r.counters {
			if c.InFlight() != 0 {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond, "a reservation is not released")
	require.Eventually(r.t, func() bool {
		n, ok := r.gateway.teams.inFlight.Load("small")
		return ok && n.(*atomic.Int64).Load() == 0
	}, 10*time.Second, time.Millisecond, "the team slot is not released")
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Len(r.t, r.outcomes, 1)
	return r.outcomes[0]
}

// startEndless starts a gateway with e as the only backend server of the kind of request.
func startEndless(t *testing.T, kind callKind, e *endlessServer) (*testGateway, *atomic.Int32) {
	r := &testGateway{t: t}
	service := "desk"
	if kind.isGeneration() {
		service = "models"
	}
	r.addBackend(service, e)
	r.start()
	abandoned := &atomic.Int32{}
	r.gateway.Orders = countingOrders{abandoned: abandoned}
	return r, abandoned
}

// requireFailure requires that the caller received an error response or a stream that ends
// with its problem event, and that the host did not wait for the caller's timeout.
func (result endlessResult) requireFailure(t *testing.T) {
	t.Helper()
	require.NoError(t, result.err)
	require.False(t, result.done)
	require.NotNil(t, result.problem, "no problem: status %d, %d bytes", result.status, len(result.body))
	require.NotEqual(t, "deadline_exceeded", result.problem.Title)
	require.NotEqual(t, "not_run", result.problem.Verdict.String())
}

// Guards against a host that reads bytes without end in the header section of a response.
func TestEndlessHeaderSection(t *testing.T) {
	responses := map[string]endlessResponse{
		"no line end":       repeat("", filler),
		"empty lines":       repeat("", "\r\n"),
		"status line":       repeat("HTTP/1.1 200 ", filler),
		"header line":       repeat(okHeader+"X-Long: ", filler),
		"header lines":      repeat(okHeader, "X-More: x\r\n"),
		"interim responses": repeat("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
	}
	for name, response := range responses {
		for _, kind := range allCallKinds {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				e := &endlessServer{response: response}
				r, abandoned := startEndless(t, kind, e)
				result := r.call(kind, endlessCallerTimeoutMS)
				result.requireFailure(t)
				require.GreaterOrEqual(t, result.status, 400)
				outcome := r.requireReleased(e)
				require.NotEmpty(t, outcome.Code)
				require.LessOrEqual(t, e.mostSent.Load(), int64(socketBufferSlack))
				if kind == callOrder {
					require.EqualValues(t, 1, abandoned.Load())
				}
			})
		}
	}
}

const usageEvent = "data: {\"choices\":[],\"usage\":{\"total_tokens\":3}}\n\n"

// endlessEvents are event streams without end. The ones that begin with an event fail only
// after a part of a streamed response was delivered.
func endlessEvents() map[string]endlessResponse {
	first := func(finish string) func(id string) string {
		return func(id string) string {
			return event(id, 1, "null") + event(id, 2, finish)
		}
	}
	fixed := func(part string) func(string, int) string { return func(string, int) string { return part } }
	rows := map[string]endlessResponse{
		"no line end":          repeat("", filler),
		"no line end, later":   {start: first("null"), part: fixed(filler)},
		"comment lines":        repeat("", ": waiting\n"),
		"comment events":       repeat("", ": waiting\n\n"),
		"comment lines, later": {start: first("null"), part: fixed(": waiting\n")},
		"empty lines":          repeat("", "\n"),
		"id lines":             repeat("", "id: x:1\n"),
		"empty data lines":     {start: first("null"), part: fixed("data:\n")},
		"data lines":           {start: first("null"), part: fixed("data: x\n")},
		"after the finish":     {start: first(`"stop"`), part: fixed(filler)},
		"repeated event":       {start: first("null"), part: func(id string, _ int) string { return event(id, 2, "null") }},
		"trailing events":      {start: first(`"stop"`), part: fixed(usageEvent)},
		"events without id":    {start: first("null"), part: fixed(usageEvent)},
		"foreign events":       {start: first("null"), part: func(string, int) string { return event("foreign", 2, "null") }},
	}
	for name, row := range rows {
		row.chunked = true
		rows[name] = row
	}
	return rows
}

// Guards against a host that reads an engine's stream without end although it contains no
// further event for the caller, and against a stream that then looks complete.
func TestEndlessEvents(t *testing.T) {
	for name, body := range endlessEvents() {
		for _, kind := range streamKinds {
			for _, canResume := range []bool{true, false} {
				if kind == callResumed && !canResume {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/can resume %v", name, kind, canResume), func(t *testing.T) {
					t.Parallel()
					e := &endlessServer{response: body, noResume: !canResume}
					r, _ := startEndless(t, kind, e)
					result := r.call(kind, endlessCallerTimeoutMS)
					result.requireFailure(t)
					outcome := r.requireReleased(e)
					require.NotEmpty(t, outcome.Code)
					require.LessOrEqual(t, e.mostSent.Load(), int64(socketBufferSlack))
					if kind != callResumed {
						require.Eventually(t, func() bool { return e.cancels.Load() > 0 }, 10*time.Second, time.Millisecond)
					}
				})
			}
		}
	}
}

// Guards against a stream of tokens without end: an engine that does not stop the generation.
func TestEndlessTokens(t *testing.T) {
	const last = maxGenerationTokens - 10
	e := &endlessServer{response: endlessResponse{
		start:   func(string) string { return "" },
		part:    func(id string, i int) string { return event(id, last+1+i, "null") },
		chunked: true,
	}}
	r, _ := startEndless(t, callResumed, e)
	result := readEndless(r.do("POST", "/v1/completions", "", "Authorization", "Bearer small-key",
		headerTimeout, endlessCallerTimeoutMS, headerLastEventID, r.eventID(last)))
	result.requireFailure(t)
	require.LessOrEqual(t, strings.Count(result.body, "id: "), maxGenerationTokens-last)
	r.requireReleased(e)
}

// Guards against an engine's rejection that is cut off at the size limit, or by the end of
// the connection, and looks complete to the caller, and against waiting without end for the
// body of a rejection.
func TestIncompleteRejection(t *testing.T) {
	const header = "HTTP/1.1 422 Unprocessable Entity\r\n"
	slow := repeat(header+"\r\n", "x")
	slow.pause = time.Millisecond
	responses := map[string]endlessResponse{
		"unknown length": repeat(header+"\r\n", filler),
		"known length":   repeat(header+"Content-Length: 1099511627776\r\n\r\n", filler),
		"slow":           slow,
	}
	for name, response := range responses {
		for _, kind := range []callKind{callUnstreamed, callStreamed, callBuffered} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				e := &endlessServer{response: response}
				r, _ := startEndless(t, kind, e)
				r.gateway.responseBodyTimeout = 200 * time.Millisecond
				result := r.call(kind, endlessCallerTimeoutMS)
				result.requireFailure(t)
				require.Equal(t, 502, result.status)
				require.NotEmpty(t, r.requireReleased(e).Code)
			})
		}
	}
}

// endlessBodies are bodies without end, by the framing of their response.
func endlessBodies() map[string]endlessResponse {
	chunked := repeat("", filler)
	chunked.chunked = true
	return map[string]endlessResponse{
		"known length": repeat(lengthHeader, filler),
		"until close":  repeat(closeHeader, filler),
		"chunked":      chunked,
	}
}

// Guards against a host that buffers a response without a limit, reads more of it than it
// may buffer, or waits without end for the rest.
func TestEndlessBufferedBody(t *testing.T) {
	bodies := endlessBodies()
	for name, body := range endlessBodies() {
		body.pause = time.Millisecond
		bodies[name+", slow"] = body
	}
	for name, body := range bodies {
		for _, kind := range []callKind{callUnstreamed, callOrder} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				e := &endlessServer{response: body}
				r, abandoned := startEndless(t, kind, e)
				r.gateway.responseBodyTimeout = 30 * time.Second
				timeoutMS := endlessCallerTimeoutMS
				if body.pause > 0 {
					r.gateway.responseBodyTimeout = 200 * time.Millisecond
				}
				if body.pause > 0 && kind == callOrder {
					timeoutMS = "500"
				}
				result := r.call(kind, timeoutMS)
				result.requireFailure(t)
				require.GreaterOrEqual(t, result.status, 500)
				require.NotEmpty(t, r.requireReleased(e).Code)
				require.LessOrEqual(t, e.mostSent.Load(), int64(maxBufferedResponse+socketBufferSlack))
				require.Zero(t, r.gateway.buffers.reserved.Load())
				if kind == callOrder {
					require.EqualValues(t, 1, abandoned.Load())
				}
			})
		}
	}
}

// Guards against a response of a plain service that is cut off by the caller's timeout and
// looks complete. The protocol has no limit for its length.
func TestEndlessPlainBody(t *testing.T) {
	for name, body := range endlessBodies() {
		body.pause = time.Millisecond
		for _, kind := range []callKind{callPlain, callIdempotent} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				e := &endlessServer{response: body}
				r, _ := startEndless(t, kind, e)
				result := r.call(kind, "500")
				require.Equal(t, 200, result.status)
				require.Error(t, result.err)
				require.Equal(t, "answer_cut", r.requireReleased(e).Code)
			})
		}
	}
}

// Guards against many long responses that together take more memory than a host has: each
// of them may take maxBufferedResponse.
func TestBufferedResponsesShareALimit(t *testing.T) {
	long := strings.Repeat("x", 2*unreservedBytes)
	for _, kind := range []callKind{callUnstreamed, callBuffered, callOrder} {
		t.Run(string(kind), func(t *testing.T) {
			r := &testGateway{t: t}
			r.addBackend("models", &scriptedEngine{script: func(w http.ResponseWriter, id string) {
				if kind == callUnstreamed {
					write(w, `"`+long+`"`)
					return
				}
				data := `data: {"choices":[{"text":"` + long + `","finish_reason":"stop"}]}`
				write(w, "id: "+id+":1\n"+data+"\n\ndata: [DONE]\n\n")
			}})
			r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w, long) }))
			r.start()
			r.gateway.Orders = countingOrders{grantingOrders{responses: make(chan OrderResponse, 1)}, &atomic.Int32{}}
			buffers := &r.gateway.buffers
			buffers.reserved.Store(maxBufferedTotal)
			result := r.call(kind, endlessCallerTimeoutMS)
			result.requireFailure(t)
			require.Equal(t, "response_buffers_full", result.problem.Title)
			require.Equal(t, 502, result.status)
			require.EqualValues(t, maxBufferedTotal, buffers.reserved.Load())

			buffers.reserved.Store(0)
			result = r.call(kind, endlessCallerTimeoutMS)
			require.NoError(t, result.err)
			require.Equal(t, 200, result.status)
			require.Contains(t, result.body, long)
			require.Eventually(t, func() bool { return buffers.reserved.Load() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against a stream that is kept open without progress by events that were already
// accepted.
func TestSlowRepeatedEventsAreAStall(t *testing.T) {
	const last = 10_000
	e := &endlessServer{response: endlessResponse{
		start:   func(string) string { return "" },
		part:    func(id string, _ int) string { return event(id, last, "null") },
		chunked: true,
		pause:   10 * time.Millisecond,
	}}
	r, _ := startEndless(t, callResumed, e)
	r.gateway.streamStallTimeout = 200 * time.Millisecond
	result := readEndless(r.do("POST", "/v1/completions", "", "Authorization", "Bearer small-key",
		headerTimeout, endlessCallerTimeoutMS, headerLastEventID, r.eventID(last)))
	result.requireFailure(t)
	r.requireReleased(e)
}

// Guards against a host that reads the framing of a chunked response without end: chunk
// sizes, chunk extensions and trailers, which contain no byte of the body.
func TestEndlessChunkFraming(t *testing.T) {
	responses := map[string]endlessResponse{
		"chunk extension":        repeat(chunkedHeader+"5;", filler),
		"chunk extension, later": repeat(chunkedHeader+"1\r\n \r\n5;", filler),
		"chunk size":             repeat(chunkedHeader, "0"),
		"trailers":               repeat(chunkedHeader+"0\r\n", "X-More: x\r\n"),
		"trailer line":           repeat(chunkedHeader+"0\r\nX-Long: ", filler),
	}
	for name, response := range responses {
		for _, kind := range allCallKinds {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				e := &endlessServer{response: response}
				r, _ := startEndless(t, kind, e)
				result := r.call(kind, endlessCallerTimeoutMS)
				if kind == callPlain || kind == callIdempotent {
					// The connection breaks off before or after the headers.
					require.Error(t, result.err)
				} else {
					result.requireFailure(t)
				}
				require.NotEmpty(t, r.requireReleased(e).Code)
				require.LessOrEqual(t, e.mostSent.Load(), int64(socketBufferSlack))
			})
		}
	}
}

// Guards against a complete stream whose connection is kept and read while its engine sends
// bytes after the end marker without end.
func TestEndlessBytesAfterEndMarker(t *testing.T) {
	for _, kind := range []callKind{callStreamed, callBuffered} {
		t.Run(string(kind), func(t *testing.T) {
			e := &endlessServer{response: endlessResponse{
				start:   func(id string) string { return event(id, 1, `"stop"`) + "data: [DONE]\n\n" },
				part:    func(string, int) string { return usageEvent },
				chunked: true,
			}}
			r, _ := startEndless(t, kind, e)
			result := r.call(kind, endlessCallerTimeoutMS)
			require.NoError(t, result.err)
			require.True(t, result.done)
			require.NotContains(t, result.body, "usage")
			require.Empty(t, r.requireReleased(e).Code)
			require.LessOrEqual(t, e.mostSent.Load(), int64(socketBufferSlack))
		})
	}
}
