package request

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// Header names towards callers.
const (
	headerClass          = "Monsoonkeel-Class"
	headerTimeout        = "Monsoonkeel-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRequestID      = "X-Request-Id"
)

// Header names towards backend servers.
const (
	headerGenerationID = "X-Generation-Id"
	headerIncarnation  = "X-Incarnation"
	headerPriority     = "X-Priority"
	headerDeadline     = "X-Deadline-Ms"
	headerFencing      = "X-Fencing-Number"
)

// RetryBudget bounds retries to a share of the first tries.
type RetryBudget interface {
	// RecordFirstAttempt counts a first try.
	RecordFirstAttempt(now time.Time)
	// AcquireRetry takes a retry from the budget and reports whether there was one.
	AcquireRetry(now time.Time) bool
}

// ColdStartReporter is told about backend servers that show signs of a cold start.
type ColdStartReporter interface {
	// ConnectionRefused is called when a backend server refused a connection.
	ConnectionRefused(backend, incarnation string)
	// RequestFailed is called when a backend server failed a request by itself.
	RequestFailed(backend, incarnation string)
	// IncarnationMismatch is called when an answer names another incarnation than expected.
	IncarnationMismatch(backend, expected, seen string)
}

// Recorder receives the outcome of each request.
type Recorder interface {
	Record(Outcome)
}

// Outcome is what is known about a request when it has ended.
type Outcome struct {
	RequestID, Team, Class, Service, Backend string
	Status                                   int
	// Code is the reason of a failure, empty on success.
	Code string
	// Verdict is the wire form of the verdict.
	Verdict string
	// QueueTime is the time without a backend server.
	QueueTime time.Duration
	// FirstToken is the time to the first token or byte; zero if there was none.
	FirstToken time.Duration
	// MaxTokenGap is the longest time between tokens.
	MaxTokenGap time.Duration
	// Tokens is the number of relayed tokens and GapsOverTarget the number of gaps
	// over the class's target.
	Tokens, GapsOverTarget int
	Attempts               int
	Total                  time.Duration
	Cancelled              bool
}

// Gateway serves callers.
type Gateway struct {
	// Snapshot returns the current routing snapshot with one atomic load.
	Snapshot func() *version.Snapshot
	// CheckFreshness returns a verdict error when this host cannot know whether its
	// configuration is current and so must not place new work.
	CheckFreshness   func(now time.Time) error
	Dispatchers      *placement.Table
	Pool             *connection.Pool
	Watcher          *connection.Watcher
	GenerationTokens *gentoken.Codec
	Orders           Orders
	RetryBudget      RetryBudget
	ColdStarts       ColdStartReporter
	Recorder         Recorder
	Log              zerolog.Logger
	Now              func() time.Time
	NewID            func() string
	// Draining says that the host is about to stop.
	Draining func() bool

	// HostCount returns the number of entry hosts that share the callers.
	HostCount func() int

	teams teamLimits
	// background counts cancellations that outlive their request.
	background sync.WaitGroup
}

// Handler routes a caller's request.
func (g *Gateway) Handler(ctx *fasthttp.RequestCtx) {
	c := g.newCall(ctx)
	if g.Draining() {
		// The connection must move to another host before this one stops.
		ctx.Response.Header.SetConnectionClose()
	}
	err := g.route(c)
	if err != nil {
		c.writeProblem(err)
	}
	if !c.streaming {
		c.end()
	}
}

// WaitBackground waits until cancellations that outlive their requests are
// sent, or ctx ends.
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
