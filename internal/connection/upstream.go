package connection

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck"
)

const (
	// dialTimeout limits connection setup. One round trip between regions takes 60 ms.
	dialTimeout = 1 * time.Second
	// DefaultMaxIdle is the number of idle connections kept per backend server.
	DefaultMaxIdle = 64
	// maxIdleAge is how long a connection may be idle before it is no longer reused. It
	// is below the usual keep-alive timeout of servers, so that few reused connections
	// turn out to be closed.
	maxIdleAge = 20 * time.Second
	// idleCheckInterval is the time between two checks of the idle connections, which hold
	// bytes in the kernel that a backend server sent without a request.
	idleCheckInterval = 2 * time.Second
	// readBufferBytes is enough for several SSE events.
	readBufferBytes = 16 << 10
	// maxUnmatchedResponses is how many late responses to earlier requests are skipped.
	maxUnmatchedResponses = 3
	// maxSkippedBytes limits the body of a late response, which is read to reuse the connection.
	maxSkippedBytes = 64 << 10
	// maxReportBytes limits the load report that identifies the server of a connection.
	maxReportBytes = 64 << 10
	// maxFramingBytes limits the bytes of a response between two reads that return a part of
	// its body: the header section, chunk extensions, trailers and the read buffer.
	maxFramingBytes = 64 << 10
)

// Pool sends requests to backend servers and keeps idle connections to them. It never
// retries a request: the caller decides that from the verdict.
type Pool struct {
	// addresses holds an *idleConns for each address, so that requests to
	// different backend servers share no lock.
	addresses sync.Map
	maxIdle   int
	// checkInterval is the time between two checks of the idle connections; checking is
	// set while a check is due.
	checkInterval time.Duration
	checking      atomic.Bool
	// identifyTimeout limits the request for the load report of a new connection.
	identifyTimeout time.Duration
	// dial is Dial unless SetDial has replaced it.
	dial DialFunc
}

// SetDial replaces how connections are opened. It must be called before the pool is used.
func (p *Pool) SetDial(dial DialFunc) { p.dial = dial }

// NewPool returns an empty pool that keeps up to DefaultMaxIdle idle connections
// per address.
func NewPool() *Pool { return NewPoolSize(DefaultMaxIdle) }

// NewPoolSize returns an empty pool that keeps up to maxIdle idle connections
// per address.
func NewPoolSize(maxIdle int) *Pool {
	return &Pool{maxIdle: maxIdle, checkInterval: idleCheckInterval, identifyTimeout: dialTimeout, dial: Dial}
}

// upstreamConn is a connection to a backend server.
type upstreamConn struct {
	// Conn passes on only valid responses; responses is the same connection.
	net.Conn
	responses *responsecheck.Conn
	reader    *bufio.Reader
	address   string
	// written is the number of bytes written since the current request was started.
	written atomic.Int64
	// unusedBytes is the number of bytes read since the last byte of a body was returned,
	// and unusedLimit the number from which reads fail. Only the reader accesses them.
	unusedBytes, unusedLimit int
	// idledAt is when the connection was last returned to the pool, and maxIdle how long it
	// may then be idle; 0 means maxIdleAge.
	idledAt time.Time
	maxIdle time.Duration
	// incarnation is that of the process at the other end; empty if it was not
	// requested. It can't change while the connection is open.
	incarnation string
	// needsID is set once a response on the connection had an ID, or belonged to an earlier
	// request. A response without an ID may then be an earlier one that is sent again.
	needsID bool
}

// Write counts the bytes passed to the kernel: after the first one, the backend server
// may have executed the request.
func (c *upstreamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// errNoBody is returned when a backend server sends too many bytes that are no body.
var errNoBody = fmt.Errorf("the backend server sent more than %d bytes that are no part of a body", maxFramingBytes)

// Read fails once unusedLimit bytes were read.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.unusedBytes >= c.unusedLimit {
		return 0, errNoBody
	}
	n, err := c.Conn.Read(b)
	c.unusedBytes += n
	return n, err
}

// expectBody starts a new count of unused bytes, of which up to bodyBytes may be a body.
func (c *upstreamConn) expectBody(bodyBytes int) {
	c.unusedBytes, c.unusedLimit = 0, maxFramingBytes+bodyBytes
}

func newUpstreamConn(c net.Conn, address string) *upstreamConn {
	responses := responsecheck.NewConn(c)
	conn := &upstreamConn{Conn: responses, responses: responses, address: address}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn
}

// Options select how a request is sent.
type Options struct {
	// NoReuse requires a new connection. The server may have closed an idle one
	// unnoticed, and then it is unknown whether a non-idempotent request was executed.
	NoReuse bool
	// Incarnation, if set, is that of the only process that may receive the request:
	// the limit on requests in flight applies to that process, and one that replaced
	// it at the same address is cold.
	Incarnation string
	// ResponseHeaderTimeout limits the wait for the header section of the response; 0
	// means no limit except that of the context.
	ResponseHeaderTimeout time.Duration
	// BeforeSend, if set, is called when the connection is ready, right before the first
	// byte is sent; its error cancels the request. The setup may take long, or the
	// process may be suspended, so leases and other permissions that expire must be
	// checked here.
	BeforeSend func() error
	// DialTimeout limits the connection setup; 0 means the default of 1 s.
	DialTimeout time.Duration
	// MaxIdleTime is the longest idle time of a reused connection; 0 means the
	// default of 20 s.
	MaxIdleTime time.Duration
	// IDHeader, if set, is the header field with the request's ID, which the server repeats
	// in its response. A response without it belongs to the request only if no earlier
	// response on the connection had one; the connection is then not reused.
	IDHeader string
	// SkipOtherIDs skips responses with another ID, which are late responses to earlier
	// requests. Otherwise they are returned.
	SkipOtherIDs bool
	// BodyNotReused is set when the request's body isn't modified after Do returns, so
	// that a long body is sent without a copy.
	BodyNotReused bool
}

// WrongIncarnationError is returned when the process at the address isn't the one of
// Options.Incarnation. Actual is its incarnation.
type WrongIncarnationError struct{ Actual string }

// Error implements error.
func (e *WrongIncarnationError) Error() string {
	return "another process listens at the address of the backend server: incarnation " + e.Actual
}

// BeforeSendError is returned when Options.BeforeSend returned an error, or when the context ended
// before the request was sent.
type BeforeSendError struct{ Cause error }

// Error implements error.
func (e *BeforeSendError) Error() string { return e.Cause.Error() }

// Unwrap returns the error of Options.BeforeSend, or one with CodeCancelled.
func (e *BeforeSendError) Unwrap() error { return e.Cause }

const (
	// CodeConnectFailed is the verdict code of a failed connection setup.
	CodeConnectFailed = "connect_failed"
	// CodeCancelled is the verdict code of a request whose context ended before it was sent.
	CodeCancelled = "cancelled"
	// CodeNoResponse is the verdict code of a connection that failed before the response.
	CodeNoResponse = "backend_failed"
)

// Do sends req to address and reads the header section of the response. Unless
// BeforeSend failed, an error carries a verdict: NotRun if no byte of the request was
// sent, else MayHaveRun. The end of ctx also ends the exchange.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, opts Options) (*Exchange, error) {
	conn, reused, err := p.prepare(ctx, address, opts)
	if err != nil {
		return nil, err
	}
	conn.written.Store(0)
	conn.maxIdle = opts.MaxIdleTime
	e := &Exchange{conn: conn, pool: p, ctx: ctx, Reused: reused, Response: fasthttp.AcquireResponse()}
	e.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := e.roundTrip(ctx, req, opts); err != nil {
		v := verdict.MayHaveRun
		if conn.written.Load() == 0 {
			v = verdict.NotRun
		}
		e.Finish(false)
		return nil, verdict.Wrap(err, v, 502, CodeNoResponse, "the backend server did not respond")
	}
	return e, nil
}

// errUnexpectedResponse is returned for a new connection on which the backend server sent
// bytes, or which it closed, before a request was sent.
var errUnexpectedResponse = errors.New("the backend server responded before the request was sent, or closed the connection")

// prepare returns a connection on which the first byte of the request may be sent. What can
// be read before that is no response to the request.
func (p *Pool) prepare(ctx context.Context, address string, opts Options) (*upstreamConn, bool, error) {
	for {
		conn, reused, err := p.get(ctx, address, opts)
		if err == nil && opts.BeforeSend != nil {
			if err := opts.BeforeSend(); err != nil {
				p.put(conn)
				return nil, false, &BeforeSendError{Cause: err}
			}
		}
		if err == nil && ctx.Err() != nil {
			// The write could be faster than the deadline that the end of ctx sets.
			p.put(conn)
			cause := verdict.Wrap(ctx.Err(), verdict.NotRun, 504, CodeCancelled, "the request was cancelled before it was sent")
			return nil, false, &BeforeSendError{Cause: cause}
		}
		if err == nil && conn.hasUnread() {
			_ = conn.Close()
			if reused {
				continue
			}
			err = errUnexpectedResponse
		}
		if err != nil {
			return nil, false, verdict.Wrap(err, verdict.NotRun, 502, CodeConnectFailed, "cannot connect to the backend server")
		}
		return conn, reused, nil
	}
}

// Preconnect opens a connection for a later request, unless the pool has an idle one.
func (p *Pool) Preconnect(ctx context.Context, address string, timeout time.Duration) error {
	idle := p.idle(address)
	idle.mu.Lock()
	have := len(idle.conns) > 0
	idle.mu.Unlock()
	if have {
		return nil
	}
	c, err := p.dial(ctx, address, timeout)
	if err != nil {
		return err
	}
	p.put(newUpstreamConn(c, address))
	return nil
}

func (p *Pool) get(ctx context.Context, address string, opts Options) (*upstreamConn, bool, error) {
	for !opts.NoReuse {
		c := p.takeIdle(address, orDefault(opts.MaxIdleTime, maxIdleAge))
		if c == nil {
			break
		}
		if opts.Incarnation == "" || c.incarnation == opts.Incarnation {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, address, orDefault(opts.DialTimeout, dialTimeout))
	if err != nil {
		return nil, false, err
	}
	conn := newUpstreamConn(c, address)
	if opts.Incarnation == "" {
		return conn, false, nil
	}
	if err := conn.identify(ctx, opts.IDHeader, p.identifyTimeout); err != nil {
		_ = c.Close()
		return nil, false, err
	}
	if conn.incarnation != opts.Incarnation {
		_ = c.Close()
		return nil, false, &WrongIncarnationError{Actual: conn.incarnation}
	}
	return conn, false, nil
}

// identify requests the load report, whose header fields contain the incarnation of the
// process, as those of every response do. The call has an ID of its own in idHeader, so that
// its response sent again is not taken as that to the request.
func (c *upstreamConn) identify(ctx context.Context, idHeader string, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(timeout))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.expectBody(maxReportBytes)
	req.SetRequestURI("/v1/load")
	req.Header.SetHost(c.address)
	if idHeader != "" {
		req.Header.Set(idHeader, rand.Text())
	}
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := c.readResponse(resp, maxReportBytes); err != nil {
		return err
	}
	if resp.ConnectionClose() {
		return errors.New("the backend server closed the new connection")
	}
	c.incarnation = string(resp.Header.Peek("X-Incarnation"))
	c.needsID = idHeader != "" && len(resp.Header.Peek(idHeader)) > 0
	if resp.StatusCode() != fasthttp.StatusOK || c.incarnation == "" {
		return fmt.Errorf("load report of the backend server has status %d or no incarnation", resp.StatusCode())
	}
	if !stop() {
		return ctx.Err()
	}
	return c.SetDeadline(time.Time{})
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// hasUnread reports whether the server sent bytes that belong to no response that was read, or closed the connection.
func (c *upstreamConn) hasUnread() bool {
	return !c.responses.BetweenResponses() || c.reader.Buffered() > 0 || readable(c.Conn)
}
