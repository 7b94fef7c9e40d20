package request

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// truncatedServer is a backend server that breaks off inside the header section of each response
// or right after it: one byte later with each request.
type truncatedServer struct {
	head     string
	requests atomic.Int32
}

// ServeHTTP implements http.Handler. One in three connections is reset, and before one in five ends
// the server is silent.
func (s *truncatedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	n := int(s.requests.Add(1) - 1)
	_, _ = io.WriteString(conn, s.head[:n%(len(s.head)+1)])
	if n%5 == 2 {
		time.Sleep(200 * time.Millisecond)
	}
	if n%3 == 1 && n%(len(s.head)+1) != len(s.head) {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a response that looks complete although its server broke off inside the header
// section or right after it, and against an order that is sent again then.
func TestTruncatedHeaderSection(t *testing.T) {
	const callers = 4
	for name, framing := range map[string]string{
		"length": "Content-Length: 10\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n", "until close": "Connection: close\r\n\r\n",
	} {
		for _, kind := range allCallKinds {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				t.Parallel()
				s := &truncatedServer{head: okHeader + "Content-Type: text/event-stream\r\n" + framing}
				r := &testGateway{t: t}
				for range 2 {
					r.addBackend("models", s)
					r.addBackend("desk", s)
				}
				r.start()
				r.gateway.streamStallTimeout = time.Second    // resumes fail for twice this time
				r.gateway.HostCount = func() int { return 1 } // whose share is the team's limit of 4 requests
				abandoned := &atomic.Int32{}
				r.gateway.Orders = countingOrders{abandoned: abandoned}
				var calls atomic.Int32
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						for int(s.requests.Load()) <= len(s.head) {
							calls.Add(1)
							result := r.call(kind, endlessCallerTimeoutMS)
							ended := result.err != nil || result.status >= 400 || result.problem != nil
							assert.True(t, ended && !result.done, "status %d with %d bytes is complete", result.status, len(result.body))
							if result.problem != nil {
								assert.NotEqual(t, "not_run", result.problem.Verdict.String(), fmt.Sprint(result.problem))
							}
						}
					})
				}
				wg.Wait()
				if kind == callOrder || kind == callPlain {
					assert.Equal(t, calls.Load(), s.requests.Load(), "a request is sent once")
				}
				if kind == callOrder {
					assert.Equal(t, calls.Load(), abandoned.Load())
				}
			})
		}
	}
}
