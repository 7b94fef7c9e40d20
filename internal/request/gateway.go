package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// Headers exchanged with callers.
const (
	headerClass          = "Monsoonkeel-Class"
	headerTimeout        = "Monsoonkeel-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRequestID      = "X-Request-Id"
)

// Headers exchanged with backend servers.
const (
	headerGenerationID = "X-Generation-Id"
	headerIncarnation  = "X-Incarnation"
	headerPriority     = "X-Priority"
	headerDeadline     = "X-Deadline-Ms"
	headerFencing      = "X-Fencing-Number"
)

// RetryBudget limits retries to a fraction of the first attempts.
type RetryBudget interface {
	// RecordFirstAttempt counts the first attempt of a request.
	RecordFirstAttempt(now time.Time)
	// AcquireRetry reports whether the budget allows a retry and, if so, consumes it.
	AcquireRetry(now time.Time) bool
}

// ColdStartReporter receives events which indicate that a backend server restarted or
// is no longer warm.
type ColdStartReporter interface {
	// ConnectionRefused is called when a backend server refused a connection.
	ConnectionRefused(backend, incarnation string)
	// ConnectFailed is called when a connection to a backend server could not be set up for another
	// reason; the server may only be slow.
	ConnectFailed(backend string)
	// RequestFailed is called when a backend server responded with status 500 to a
	// request that another one accepted.
	RequestFailed(backend, incarnation string)
	// IncarnationMismatch is called when a response comes from an incarnation other
	// than the expected one.
	IncarnationMismatch(backend, expected, seen string)
}

// Recorder receives the outcome of each request when it has ended.
type Recorder interface {
	Record(Outcome)
	// RefusalBegan is called when a backend server refuses requests for a time, and RefusalEnded when it
	// accepts one afterwards.
	RefusalBegan()
	RefusalEnded()
}

// Outcome summarizes a request that has ended, for logs and metrics.
type Outcome struct {
	RequestID, Team, Class, Service, Backend string
	Status                                   int
	// Code is the problem code of a failure, empty on success.
	Code string
	// Verdict is the verdict in its wire format.
	Verdict string
	// QueueTime is the time spent waiting for reservations, over all attempts.
	QueueTime time.Duration
	// Shortage says why no backend server could take the request, if it was rejected for that.
	Shortage string
	// FirstToken is the time to first token, or to the first byte of a response without
	// tokens; zero if there was none.
	FirstToken time.Duration
	// MaxTokenGap is the longest inter-token latency.
	MaxTokenGap time.Duration
	// Tokens is the number of relayed tokens, and GapsOverTarget the number of token
	// gaps that exceed the class's target.
	Tokens, GapsOverTarget int
	Attempts               int
	Total                  time.Duration
	Cancelled              bool
}

// Gateway is the HTTP handler for the requests of callers.
type Gateway struct {
	// Snapshot returns the current routing snapshot without locking.
	Snapshot func() *version.Snapshot
	// CheckFreshness returns a verdict error if this host's configuration is not
	// confirmed recently enough to send new requests to backend servers.
	CheckFreshness   func(now time.Time) error
	Dispatchers      *placement.Table
	Pool             *connection.Pool
	Watcher          *connection.Watcher
	GenerationTokens *gentoken.Codec
	Orders           Orders
	RetryBudget      RetryBudget
	ColdStarts       ColdStartReporter
	Recorder         Recorder
	// Crashes rejects requests with messages that crash engines; nil for none.
	Crashes *crashes.Guard
	Log     zerolog.Logger
	Now     func() time.Time
	NewID   func() string
	// Draining reports whether the host is shutting down.
	Draining func() bool

	// HostCount returns the number of entry hosts over which callers are balanced.
	HostCount func() int

	// streamStallTimeout replaces defaultStallTimeout if it is not 0.
	streamStallTimeout time.Duration
	// responseBodyTimeout replaces defaultBodyTimeout if it is not 0.
	responseBodyTimeout time.Duration

	teams   teamLimits
	buffers bufferBudget
	// calls holds each running *call. stopping is set by CancelRequests.
	calls    sync.Map
	stopping atomic.Bool
	// background tracks cancellations and order writes that outlive their request.
	background sync.WaitGroup
}

func (g *Gateway) stallTimeout() time.Duration {
	if g.streamStallTimeout > 0 {
		return g.streamStallTimeout
	}
	return defaultStallTimeout
}

func (g *Gateway) bodyTimeout() time.Duration {
	if g.responseBodyTimeout > 0 {
		return g.responseBodyTimeout
	}
	return defaultBodyTimeout
}

// Handler serves one request of a caller.
func (g *Gateway) Handler(ctx *fasthttp.RequestCtx) {
	c := g.newCall(ctx)
	if g.Draining() {
		// Makes the caller reconnect to another host before this one shuts down.
		ctx.Response.Header.SetConnectionClose()
	}
	err := c.contextErrorIfDone()
	if err == nil {
		err = g.route(c)
	}
	if err != nil {
		c.writeProblem(err)
	}
	if !c.streaming {
		c.end()
	}
}

// CancelRequests ends the requests whose response has not begun, because the host stops, and
// rejects new ones. A stream that has begun is left: its caller can resume it at another host.
func (g *Gateway) CancelRequests() {
	g.stopping.Store(true)
	g.calls.Range(func(key, _ any) bool {
		key.(*call).cancelForShutdown()
		return true
	})
}

// WaitBackground waits until the cancellations and order writes that outlive their
// requests are done, or until ctx ends.
func (g *Gateway) WaitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
