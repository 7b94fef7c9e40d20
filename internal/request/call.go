package request

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// maxRequestIDBytes bounds a request id that a caller chose.
const maxRequestIDBytes = 128

// call is one request of a caller.
type call struct {
	g       *Gateway
	http    *fasthttp.RequestCtx
	ctx     context.Context
	cancel  context.CancelFunc
	unwatch func()
	start   time.Time
	team    config.Team
	class   config.Class
	service *version.Service
	// attempted says that a byte of the request may have reached a backend server.
	attempted bool
	streaming bool
	// releaseTeam ends the call's part of its team's limit.
	releaseTeam func()
	out         Outcome
}

func (g *Gateway) newCall(http *fasthttp.RequestCtx) *call {
	ctx, cancel := context.WithCancel(context.Background())
	c := &call{g: g, http: http, ctx: ctx, cancel: cancel, start: g.Now(), releaseTeam: func() {}}
	c.unwatch = g.Watcher.Add(http.Conn(), cancel)
	c.out.RequestID = string(http.Request.Header.Peek(headerRequestID))
	if c.out.RequestID == "" || len(c.out.RequestID) > maxRequestIDBytes {
		c.out.RequestID = g.NewID()
	}
	http.Response.Header.Set(headerRequestID, c.out.RequestID)
	return c
}

// end releases the call and reports its outcome, once.
func (c *call) end() {
	c.unwatch()
	c.releaseTeam()
	c.out.Cancelled = c.ctx.Err() == context.Canceled
	c.cancel()
	c.out.Total = c.g.Now().Sub(c.start)
	if c.out.Status == 0 {
		c.out.Status = c.http.Response.StatusCode()
	}
	if c.out.Verdict == "" {
		c.out.Verdict = verdict.Ran.String()
	}
	c.g.Recorder.Record(c.out)
}

func (g *Gateway) route(c *call) error {
	path := string(c.http.Path())
	switch {
	case path == "/v1/models":
		return c.models()
	case path == "/v1/completions", path == "/v1/chat/completions":
		return c.model(path, "")
	case strings.HasPrefix(path, "/v1/generations/"):
		return c.resumeByPath(strings.TrimPrefix(path, "/v1/generations/"))
	case strings.HasPrefix(path, "/services/"):
		return c.plain(strings.TrimPrefix(path, "/services/"))
	}
	return verdict.New(verdict.NotRun, 404, "not_found", "no such path")
}

// authenticate finds the caller's team.
func (c *call) authenticate() error {
	key, ok := bytes.CutPrefix(c.http.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if ok {
		c.team, ok = c.g.Snapshot().TeamByKey(key)
	}
	if !ok {
		return verdict.New(verdict.NotRun, 401, "unknown_team", "the bearer key is missing or unknown")
	}
	c.out.Team = c.team.Name
	return nil
}

// classify finds the class: header first, then the service's rules, then the
// team's default.
func (c *call) classify(method, path string) error {
	name := string(c.http.Request.Header.Peek(headerClass))
	if name == "" {
		name = c.service.ClassFor(method, path)
	}
	if name == "" {
		name = c.team.DefaultClass
	}
	if name == "" {
		return verdict.New(verdict.NotRun, 400, "no_class", "no class given: set %s", headerClass)
	}
	class, ok := c.g.Snapshot().Document.Classes[name]
	if !ok {
		return verdict.New(verdict.NotRun, 400, "unknown_class", "unknown class %q", name)
	}
	c.class = class
	c.out.Class = name
	return nil
}

// deadline applies the caller's timeout to the call.
func (c *call) deadline() error {
	raw := string(c.http.Request.Header.Peek(headerTimeout))
	if raw == "" {
		return nil
	}
	ms, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return verdict.New(verdict.NotRun, 400, "bad_timeout", "%s must be 1 to 86400000, got %q", headerTimeout, raw)
	}
	c.endAfter(time.Duration(ms) * time.Millisecond)
	return nil
}

// endAfter bounds the call.
func (c *call) endAfter(d time.Duration) {
	parent := c.cancel
	ctx, cancel := context.WithTimeout(c.ctx, d)
	c.ctx = ctx
	c.cancel = func() { cancel(); parent() }
}

// remainingMS returns the time left for the call, or 0 without a deadline.
func (c *call) remainingMS() int64 {
	d, ok := c.ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d).Milliseconds(), 1)
}

// deadlinePassed says whether the call's deadline is due. A connection that
// failed then says nothing about the backend server, even if the context has
// not ended yet.
func (c *call) deadlinePassed() bool {
	d, ok := c.ctx.Deadline()
	return ok && !time.Now().Before(d)
}

// interrupted explains why ctx ended.
func (c *call) interrupted() error {
	if c.ctx.Err() == context.DeadlineExceeded {
		return c.failure(504, "deadline_exceeded", "the request's deadline passed")
	}
	return c.failure(499, "caller_disconnected", "the caller closed the connection")
}

// failure returns an error whose verdict says not run only if no attempt of
// this call may have reached a backend server.
func (c *call) failure(status int, code, format string, args ...any) *verdict.Error {
	v := verdict.NotRun
	if c.attempted {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, status, code, format, args...)
}
