// Package httpapi adapts the platform interfaces to HTTP/JSON, as described in
// section 4.2 of docs/design.md.
package httpapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// defaultTimeout bounds a call whose context has no earlier deadline.
	defaultTimeout = 10 * time.Second
	// maxDialTime bounds the dial, so that an unreachable host is reported as
	// refused before a typical call's deadline passes.
	maxDialTime = 2 * time.Second
	// exchangeGrace is the time that a call waits past its context's end for the
	// exchange's own error.
	exchangeGrace = 10 * time.Millisecond
	// maxAnswerBytes bounds an answer; a list of objects can be larger than one object.
	maxAnswerBytes = 16 * platform.MaxObjectBytes
	// maxIdleConnection is shorter than the idle time-out of common servers, so
	// that a reused connection has rarely been closed by the peer.
	maxIdleConnection = 5 * time.Second
)

// dialError marks a failure before any byte of the request was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// notSent reports whether err proves that no byte of the request was sent.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// client does single-attempt calls. It is safe for concurrent use.
type client struct {
	http *fasthttp.Client
	base string
}

func newClient(base string) *client {
	return &client{
		base: strings.TrimRight(base, "/"),
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			DisablePathNormalizing:    true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       maxIdleConnection,
			MaxResponseBodySize:       maxAnswerBytes,
			DialTimeout:               dial,
		},
	}
}

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > maxDialTime {
		timeout = maxDialTime
	}
	conn, err := fasthttp.DialDualStackTimeout(addr, timeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// call is one request; header holds alternating names and values.
type call struct {
	method, path string
	header       []string
	body         []byte
	timeout      time.Duration
	// long marks a call that waits at the server. It gets its own connection,
	// which is closed when the context ends, so that no abandoned wait holds a
	// connection for minutes.
	long bool
}

type answer struct {
	status int
	etag   string
	body   []byte
	err    error
}

// do sends one request and waits for the answer, at most until ctx ends. An
// error that matches platform.ErrUnavailable means that nothing was sent.
func (c *client) do(ctx context.Context, call call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, fmt.Errorf("%w: not sent: %w", platform.ErrUnavailable, err)
	}
	timeout := call.timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	// fasthttp knows deadlines but no cancellation, so the exchange runs in its
	// own goroutine, which ends at the deadline at the latest.
	done := make(chan answer, 1)
	go func() { done <- c.exchange(ctx, call, deadline) }()
	select {
	case a := <-done:
		return a, contextError(ctx, a.err)
	case <-ctx.Done():
		// The exchange ends at about the same deadline, and only its own error
		// tells whether the dial or the answer was late.
		select {
		case a := <-done:
			return a, contextError(ctx, a.err)
		case <-time.After(exchangeGrace):
			return answer{}, ctx.Err()
		}
	}
}

// contextError adds the context's error, so that callers see that their own
// deadline ended the call.
func contextError(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case notSent(err):
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	case errors.Is(err, fasthttp.ErrTimeout):
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}

func (c *client) exchange(ctx context.Context, call call, deadline time.Time) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + call.path)
	req.Header.SetMethod(call.method)
	for i := 0; i+1 < len(call.header); i += 2 {
		req.Header.Set(call.header[i], call.header[i+1])
	}
	if call.body != nil {
		// Copied, because the caller may reuse its buffer when its context ends
		// before the exchange does.
		req.SetBody(call.body)
	}
	send := c.http.DoDeadline
	if call.long {
		req.SetConnectionClose()
		var release func()
		send, release = c.dedicated(ctx, req)
		defer release()
	}
	if err := send(req, resp, deadline); err != nil {
		return answer{err: err}
	}
	return answer{
		status: resp.StatusCode(),
		etag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), resp.Body()...),
	}
}

// dedicated returns a function that sends req over a new connection, which is
// closed when ctx ends, and a function that must be called after the answer.
func (c *client) dedicated(ctx context.Context, req *fasthttp.Request) (send func(*fasthttp.Request, *fasthttp.Response, time.Time) error, release func()) {
	unwatch := func() bool { return true }
	isTLS := string(req.URI().Scheme()) == "https"
	host := &fasthttp.HostClient{
		Addr:                      fasthttp.AddMissingPort(string(req.URI().Host()), isTLS),
		IsTLS:                     isTLS,
		NoDefaultUserAgentHeader:  c.http.NoDefaultUserAgentHeader,
		DisablePathNormalizing:    c.http.DisablePathNormalizing,
		MaxIdemponentCallAttempts: c.http.MaxIdemponentCallAttempts,
		RetryIfErr:                c.http.RetryIfErr,
		MaxResponseBodySize:       c.http.MaxResponseBodySize,
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			conn, err := dial(addr, timeout)
			if err == nil {
				unwatch = context.AfterFunc(ctx, func() { _ = conn.Close() }) // the exchange reports the error
			}
			return conn, err
		},
	}
	return host.DoDeadline, func() { unwatch() }
}

// statusError maps an answer that is no success to an error. Statuses with a
// meaning of their own are handled by the caller first.
func statusError(a answer) error {
	detail := strings.TrimSpace(string(a.body[:min(len(a.body), 200)]))
	switch a.status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d: %s", platform.ErrUnavailable, a.status, detail)
	case fasthttp.StatusNotFound:
		return platform.ErrNotFound
	}
	return fmt.Errorf("unexpected status %d: %s", a.status, detail)
}

// escapePath escapes each segment of a key and refuses keys whose meaning a
// server on the way could change by cleaning the path.
func escapePath(key string) (string, error) {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		if s == "" || s == "." || s == ".." {
			return "", fmt.Errorf("invalid key %q: empty, \".\" and \"..\" segments are not allowed", key)
		}
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/"), nil
}
