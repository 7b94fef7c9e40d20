// Package httpapi implements the interfaces of package platform over HTTP and
// JSON. The protocol is described in section 4.2 of docs/design.md.
package httpapi

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck"
)

const (
	// defaultTimeout limits a call whose context has no earlier deadline.
	defaultTimeout = 10 * time.Second
	// maxDialTimeout limits the dial, so that an unreachable host is reported as
	// unavailable before the deadline of a typical call.
	maxDialTimeout = 2 * time.Second
	// exchangeGrace is how long a call waits after the end of its context for the
	// error of the exchange, which tells a slow dial from a slow response.
	exchangeGrace = 10 * time.Millisecond
	// maxResponseBytes limits a response body; a list of objects can be larger than
	// one object.
	maxResponseBytes = 16 * platform.MaxObjectBytes
	// maxHeaderBytes limits the header section of a response.
	maxHeaderBytes = 16 << 10
	// maxIdleConnDuration is shorter than the idle timeout of common servers, so
	// that a reused connection has rarely been closed by the server.
	maxIdleConnDuration = 5 * time.Second
)

// dialError is a failure to connect: no byte of the request was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// notSent reports whether err proves that no byte of the request was sent.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// client sends requests without retrying them. It is safe for concurrent use.
type client struct {
	http *fasthttp.Client
	// base has the scheme http also for a server with TLS, for which dial sets TLS up.
	base string
	dial fasthttp.DialFuncWithTimeout
}

func newClient(base string) *client {
	c := &client{base: strings.TrimRight(base, "/"), dial: dialTCP}
	if u, err := url.Parse(c.base); err == nil && u.Scheme == "https" {
		u.Scheme, u.Host = "http", fasthttp.AddMissingPort(u.Host, true)
		c.base, c.dial = u.String(), dialTLS
	}
	c.http = &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxResponseBodySize:       maxResponseBytes,
		ReadBufferSize:            maxHeaderBytes,
		DialTimeout:               c.dial,
	}
	return c
}

// dialTCP opens a connection that fails when what the server sends is no HTTP response.
func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := fasthttp.DialDualStackTimeout(addr, limitDial(timeout))
	if err != nil {
		return nil, &dialError{err}
	}
	return responsecheck.NewConn(conn), nil
}

// dialTLS is dialTCP for a server with TLS: responses can be checked only once they are decrypted.
func dialTLS(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: limitDial(timeout)}, "tcp", addr, nil)
	if err != nil {
		return nil, &dialError{err}
	}
	return responsecheck.NewConn(conn), nil
}

func limitDial(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return maxDialTimeout
	}
	return min(timeout, maxDialTimeout)
}

// call is one request. header holds alternating names and values.
type call struct {
	method, path string
	header       []string
	body         []byte
	timeout      time.Duration
	// ownConnection selects a new connection that is closed when the context ends. It
	// is set for a call that the server may hold open, so that an abandoned call does
	// not occupy a connection for minutes, and for one whose response must not be an
	// earlier response that the server sends again.
	ownConnection bool
}

type response struct {
	status int
	etag   string
	body   []byte
	err    error
}

// do sends one request and waits for the response, at most until ctx ends. An
// error that matches platform.ErrUnavailable means that nothing was sent.
func (c *client) do(ctx context.Context, call call) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, fmt.Errorf("%w: request not sent: %w", platform.ErrUnavailable, err)
	}
	timeout := call.timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	// fasthttp supports deadlines but not cancellation, so the exchange runs in
	// its own goroutine, which ends at the deadline at the latest.
	done := make(chan response, 1)
	go func() { done <- c.exchange(ctx, call, deadline) }()
	select {
	case resp := <-done:
		return resp, classifyError(ctx, resp.err)
	case <-ctx.Done():
		// The exchange ends at about the same deadline, and only its own error
		// distinguishes a failed dial from a late response.
		select {
		case resp := <-done:
			return resp, classifyError(ctx, resp.err)
		case <-time.After(exchangeGrace):
			return response{}, ctx.Err()
		}
	}
}

// classifyError adds the category to the error of an exchange: ErrUnavailable
// if nothing was sent, else the error of the context or the deadline that ended
// the call.
func classifyError(ctx context.Context, err error) error {
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

func (c *client) exchange(ctx context.Context, call call, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + call.path)
	req.Header.SetMethod(call.method)
	for i := 0; i+1 < len(call.header); i += 2 {
		req.Header.Set(call.header[i], call.header[i+1])
	}
	if call.body != nil {
		// SetBody copies: the caller may reuse its buffer when its context ends
		// before the exchange does.
		req.SetBody(call.body)
	}
	send := c.http.DoDeadline
	if call.ownConnection {
		req.SetConnectionClose()
		var release func()
		send, release = c.dedicatedConnection(ctx, req)
		defer release()
	}
	if err := send(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{
		status: resp.StatusCode(),
		etag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), resp.Body()...),
	}
}

// dedicatedConnection returns a function that sends req over a new connection,
// which is closed when ctx ends, and a function that must be called when the
// exchange has ended and its response is read.
func (c *client) dedicatedConnection(ctx context.Context, req *fasthttp.Request) (send func(*fasthttp.Request, *fasthttp.Response, time.Time) error, release func()) {
	stopClosing := func() bool { return true }
	host := &fasthttp.HostClient{
		Addr:                      fasthttp.AddMissingPort(string(req.URI().Host()), false),
		NoDefaultUserAgentHeader:  c.http.NoDefaultUserAgentHeader,
		DisablePathNormalizing:    c.http.DisablePathNormalizing,
		MaxIdemponentCallAttempts: c.http.MaxIdemponentCallAttempts,
		RetryIfErr:                c.http.RetryIfErr,
		MaxResponseBodySize:       c.http.MaxResponseBodySize,
		ReadBufferSize:            c.http.ReadBufferSize,
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			conn, err := c.dial(addr, timeout)
			if err == nil {
				stopClosing = context.AfterFunc(ctx, func() { _ = conn.Close() }) // the exchange reports the error
			}
			return conn, err
		},
	}
	return host.DoDeadline, func() { stopClosing() }
}

// statusError converts an unsuccessful response to an error. Callers handle
// the statuses that have a special meaning in their protocol first.
func statusError(resp response) error {
	detail := strings.TrimSpace(string(resp.body[:min(len(resp.body), 200)]))
	switch resp.status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d: %s", platform.ErrUnavailable, resp.status, detail)
	case fasthttp.StatusNotFound:
		return platform.ErrNotFound
	}
	return fmt.Errorf("unexpected status %d: %s", resp.status, detail)
}

// escapePath escapes each segment of a key. It rejects keys that an
// intermediary would change by normalizing the path.
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
