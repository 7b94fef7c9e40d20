package connection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a kept connection that is closed although its caller sent a request within the
// idle limit, however late the server or the caller runs.
func TestRequestsWithinIdleLimitAreAnswered(t *testing.T) {
	const (
		callers  = 16
		requests = 60
		idle     = 30 * time.Millisecond
	)
	limits := testLimits
	limits.IdleTimeout, limits.HeaderTimeout = idle, time.Minute
	address := startCallers(t, &Server{Limits: func() CallerLimits { return limits }, Handle: echo})
	var answered, closedLate atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			// The server is idle since the last request was sent, or later.
			last := time.Now()
			conn, r := dialCaller(t, address)
			for n := range requests {
				// Some pauses are about as long as the limit.
				time.Sleep(time.Duration(rand.Int64N(int64(idle + idle/5))))
				assert.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
				sending := time.Now()
				_, err := io.WriteString(conn, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n))
				pause := time.Since(last)
				if err == nil {
					_, err = r.Peek(1)
				}
				if err == nil {
					_, body := readResponse(t, r)
					assert.Equal(t, fmt.Sprintf("/%d ", n), body)
					answered.Add(1)
					last = sending
					continue
				}
				if !assert.GreaterOrEqual(t, pause, idle, "no response: %v", err) {
					return
				}
				closedLate.Add(1)
				last = time.Now()
				conn, r = dialCaller(t, address)
			}
		})
	}
	wg.Wait()
	t.Logf("%d answered, %d closed after the limit", answered.Load(), closedLate.Load())
	assert.NotZero(t, answered.Load())
}
