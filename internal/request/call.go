package request

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// maxRequestIDBytes bounds a request id set by the caller; a longer one is replaced.
const maxRequestIDBytes = 128

// call is the state of one request of a caller.
type call struct {
	g *Gateway
	// snapshot is the routing snapshot that decides about the call: parts of two could reject what
	// each of them allows.
	snapshot *version.Snapshot
	http     *fasthttp.RequestCtx
	ctx      context.Context
	cancel   context.CancelFunc
	unwatch  func()
	// cancelCause cancels the call's context with a cause.
	cancelCause context.CancelCauseFunc
	// responseBegun is set when the header of the response may have been sent.
	responseBegun atomic.Bool
	start         time.Time
	team          config.Team
	class         config.Class
	service       *version.Service
	// maybeSent is set when a byte of the request may have reached a backend server.
	maybeSent bool
	streaming bool
	// prompt holds the messages of a generation's prompt.
	prompt *crashes.Request
	// releaseTeam releases the call's slot in its team's limit.
	releaseTeam func()
	outcome     Outcome
}

func (g *Gateway) newCall(http *fasthttp.RequestCtx) *call {
	ctx, cancelCause := context.WithCancelCause(context.Background())
	cancel := func() { cancelCause(nil) }
	c := &call{g: g, snapshot: g.Snapshot(), http: http, ctx: ctx, cancel: cancel, cancelCause: cancelCause, start: g.Now(), releaseTeam: func() {}}
	g.calls.Store(c, nil)
	if g.stopping.Load() {
		c.cancelForShutdown()
	}
	c.unwatch = g.Watcher.Add(http.Conn(), cancel)
	c.outcome.RequestID = string(http.Request.Header.Peek(headerRequestID))
	if c.outcome.RequestID == "" || len(c.outcome.RequestID) > maxRequestIDBytes {
		c.outcome.RequestID = g.NewID()
	}
	http.Response.Header.Set(headerRequestID, c.outcome.RequestID)
	return c
}

// end releases the call's resources and records its outcome. It is called once.
func (c *call) end() {
	c.unwatch()
	c.prompt.End()
	c.releaseTeam()
	c.g.calls.Delete(c)
	c.outcome.Cancelled = c.ctx.Err() == context.Canceled && !c.cancelledByShutdown()
	c.cancel()
	c.outcome.Total = c.g.Now().Sub(c.start)
	if c.outcome.Status == 0 {
		c.outcome.Status = c.http.Response.StatusCode()
	}
	if c.outcome.Verdict == "" {
		c.outcome.Verdict = verdict.Ran.String()
	}
	c.g.Recorder.Record(c.outcome)
}

func (g *Gateway) route(c *call) error {
	path := string(c.http.Path())
	switch {
	case path == "/v1/models":
		return c.serveModels()
	case path == "/v1/completions", path == "/v1/chat/completions":
		return c.serveCompletion(path, "")
	case strings.HasPrefix(path, "/v1/generations/"):
		return c.serveResume(strings.TrimPrefix(path, "/v1/generations/"))
	case strings.HasPrefix(path, "/services/"):
		return c.servePlain(strings.TrimPrefix(path, "/services/"))
	}
	return verdict.New(verdict.NotRun, 404, "not_found", "no such path")
}

// authenticate looks up the caller's team by its bearer key.
func (c *call) authenticate() error {
	key, ok := bytes.CutPrefix(c.http.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if ok {
		c.team, ok = c.snapshot.TeamByKey(key)
	}
	if !ok {
		return verdict.New(verdict.NotRun, 401, "unknown_team", "the bearer key is missing or unknown")
	}
	c.outcome.Team = c.team.Name
	return nil
}

// classify determines the class from the class header, else from the service's rules,
// else from the team's default.
func (c *call) classify(method, path string) error {
	name := string(c.http.Request.Header.Peek(headerClass))
	if name == "" {
		name = c.service.ClassFor(method, path)
	}
	if name == "" {
		name = c.team.DefaultClass
	}
	if name == "" {
		return verdict.New(verdict.NotRun, 400, "no_class", "no class specified: set %s", headerClass)
	}
	class, ok := c.snapshot.Document.Classes[name]
	if !ok {
		return verdict.New(verdict.NotRun, 400, "unknown_class", "unknown class %q", name)
	}
	c.class = class
	c.outcome.Class = name
	return nil
}

// applyTimeout sets the call's deadline from the caller's timeout header, if any.
func (c *call) applyTimeout() error {
	raw := string(c.http.Request.Header.Peek(headerTimeout))
	if raw == "" {
		return nil
	}
	ms, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return verdict.New(verdict.NotRun, 400, "bad_timeout", "%s must be an integer from 1 to 86400000, got %q", headerTimeout, raw)
	}
	c.setTimeout(time.Duration(ms) * time.Millisecond)
	return nil
}

// setTimeout cancels the call's context after d.
func (c *call) setTimeout(d time.Duration) {
	parent := c.cancel
	ctx, cancel := context.WithTimeout(c.ctx, d)
	c.ctx = ctx
	c.cancel = func() { cancel(); parent() }
}

// remainingMS returns the milliseconds until the call's deadline, at least 1, or 0
// without a deadline.
func (c *call) remainingMS() int64 {
	d, ok := c.ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d).Milliseconds(), 1)
}

// deadlinePassed reports whether the call's deadline has passed. A connection that
// fails after it is not evidence of a failed backend server, even if the context is
// not done yet.
func (c *call) deadlinePassed() bool {
	d, ok := c.ctx.Deadline()
	return ok && !time.Now().Before(d)
}

// contextError returns the error for a call whose context is done.
func (c *call) contextError() error {
	if rejection := c.prompt.InterruptedBy(); rejection != nil {
		return c.rejectedPrompt(rejection)
	}
	if c.cancelledByShutdown() {
		return c.shutdownError()
	}
	if c.ctx.Err() == context.DeadlineExceeded {
		return c.newError(504, "deadline_exceeded", "the request's deadline passed")
	}
	return c.newError(499, "caller_disconnected", "the caller closed the connection")
}

// errShutdown is the cause with which the end of a graceful shutdown cancels calls.
var errShutdown = errors.New("the host is shutting down")

func (c *call) cancelForShutdown() {
	if !c.responseBegun.Load() {
		c.cancelCause(errShutdown)
	}
}

func (c *call) cancelledByShutdown() bool { return context.Cause(c.ctx) == errShutdown }

// contextErrorIfDone returns contextError if the call's context is done.
func (c *call) contextErrorIfDone() error {
	if c.ctx.Err() == nil {
		return nil
	}
	return c.contextError()
}

func (c *call) shutdownError() error {
	if c.maybeSent {
		return c.newError(504, "host_stops", "the host shut down before the response was complete")
	}
	e := c.newError(503, "host_stops", "the host is shutting down")
	e.RetryAfterSeconds = 1
	return e
}

// newError returns an error with the verdict NotRun if no attempt of this call can
// have reached a backend server, else with MayHaveRun.
func (c *call) newError(status int, code, format string, args ...any) *verdict.Error {
	v := verdict.NotRun
	if c.maybeSent {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, status, code, format, args...)
}
