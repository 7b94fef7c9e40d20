package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

const (
	// dialTimeout bounds connection setup: one regional round trip takes 60 ms.
	dialTimeout = 1 * time.Second
	// DefaultMaxIdle bounds the idle connections kept per backend server.
	DefaultMaxIdle = 64
	// maxIdleAge is below the usual keep-alive timeout of servers, so that few
	// reused connections turn out to be closed.
	maxIdleAge = 20 * time.Second
	// readBufferBytes holds several SSE events.
	readBufferBytes = 16 << 10
	// maxUnmatchedResponses is how many late answers to earlier requests are passed over.
	maxUnmatchedResponses = 3
	// maxReportBytes bounds the load report that identifies a connection.
	maxReportBytes = 64 << 10
)

// Pool keeps idle connections to backend servers. It never repeats a request:
// the caller decides from the verdict.
type Pool struct {
	// addresses holds an *idleConns for each address, so that requests to
	// different backend servers share no lock.
	addresses sync.Map
	maxIdle   int
}

type idleConns struct {
	mu    sync.Mutex
	conns []*upstreamConn
}

// NewPool returns an empty pool that keeps up to DefaultMaxIdle idle connections
// per address.
func NewPool() *Pool { return NewPoolSize(DefaultMaxIdle) }

// NewPoolSize returns an empty pool that keeps up to maxIdle idle connections
// per address.
func NewPoolSize(maxIdle int) *Pool { return &Pool{maxIdle: maxIdle} }

func (p *Pool) idle(address string) *idleConns {
	if known, ok := p.addresses.Load(address); ok {
		return known.(*idleConns)
	}
	created, _ := p.addresses.LoadOrStore(address, &idleConns{})
	return created.(*idleConns)
}

type upstreamConn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	written atomic.Int64
	idledAt time.Time
	// incarnation is the process at the other end, if it was asked for. It
	// cannot change while the connection is open.
	incarnation string
}

// Write counts the bytes handed to the kernel: once one has left, the request
// may have run.
func (c *upstreamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Options select how a request is sent.
type Options struct {
	// NoReuse forbids a reused connection; the peer can close one unnoticed,
	// which leaves the verdict of a non-idempotent request unknown.
	NoReuse bool
	// Incarnation, if set, is the only process that may get the request: the
	// limit of requests in flight holds for it alone, and a process that was
	// replaced at the same address is cold.
	Incarnation string
	// ResponseHeaderTimeout bounds the wait for the head of the answer; 0 means no bound
	// but that of the context.
	ResponseHeaderTimeout time.Duration
	// BeforeSend, if set, is called when the connection is ready, right before the
	// first byte is sent. The setup may take long or the process may have been
	// paused, so rights that lapse must be checked here.
	BeforeSend func() error
	// DialTimeout bounds the connection setup; 0 means the default of 1 s.
	DialTimeout time.Duration
	// MaxIdleTime is the longest idle time of a reused connection; 0 means the
	// default of 20 s.
	MaxIdleTime time.Duration
	// MatchesRequest, if set, reports whether an answer belongs to the request. Others
	// are late answers to earlier requests on the connection and passed over.
	MatchesRequest func(*fasthttp.ResponseHeader) bool
	// BodyNotReused promises that the request's body is not reused after Do returns,
	// so that a long one is sent without a copy.
	BodyNotReused bool
}

// WrongIncarnationError says that another process than the expected one listens at
// the address.
type WrongIncarnationError struct{ Actual string }

// Error implements error.
func (e *WrongIncarnationError) Error() string {
	return "the address belongs to incarnation " + e.Actual
}

// BeforeSendError says that Options.Check refused the request.
type BeforeSendError struct{ Cause error }

// Error implements error.
func (e *BeforeSendError) Error() string { return e.Cause.Error() }

// Unwrap returns the error of Options.Check.
func (e *BeforeSendError) Unwrap() error { return e.Cause }

const (
	// CodeConnectFailed marks a backend server that could not be connected to.
	CodeConnectFailed = "connect_failed"
	// CodeNoResponse marks a connection that failed before an answer came.
	CodeNoResponse = "backend_failed"
)

// Do sends req to address and reads the head of the answer. A failure is a
// verdict error: NotRun if no byte of the request left this process. The
// exchange ends when ctx ends.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, opts Options) (*Exchange, error) {
	conn, reused, err := p.get(ctx, address, opts)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, 502, CodeConnectFailed, "cannot connect to the backend server")
	}
	if opts.BeforeSend != nil {
		if err := opts.BeforeSend(); err != nil {
			p.put(conn)
			return nil, &BeforeSendError{Cause: err}
		}
	}
	conn.written.Store(0)
	e := &Exchange{conn: conn, pool: p, ctx: ctx, Reused: reused, Response: fasthttp.AcquireResponse()}
	e.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := e.roundTrip(ctx, req, opts); err != nil {
		v := verdict.MayHaveRun
		if conn.written.Load() == 0 {
			v = verdict.NotRun
		}
		e.Finish(false)
		return nil, verdict.Wrap(err, v, 502, CodeNoResponse, "the backend server did not answer")
	}
	return e, nil
}

// Preconnect opens a connection ahead of its use, unless an idle one is there.
func (p *Pool) Preconnect(ctx context.Context, address string, timeout time.Duration) error {
	idle := p.idle(address)
	idle.mu.Lock()
	have := len(idle.conns) > 0
	idle.mu.Unlock()
	if have {
		return nil
	}
	c, err := Dial(ctx, address, timeout)
	if err != nil {
		return err
	}
	p.put(&upstreamConn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBufferBytes)})
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
	c, err := Dial(ctx, address, orDefault(opts.DialTimeout, dialTimeout))
	if err != nil {
		return nil, false, err
	}
	conn := &upstreamConn{Conn: c, address: address}
	conn.reader = bufio.NewReaderSize(c, readBufferBytes)
	if opts.Incarnation == "" {
		return conn, false, nil
	}
	if err := conn.identify(ctx); err != nil {
		_ = c.Close()
		return nil, false, err
	}
	if conn.incarnation != opts.Incarnation {
		_ = c.Close()
		return nil, false, &WrongIncarnationError{Actual: conn.incarnation}
	}
	return conn, false, nil
}

// identify asks for the load report, since every answer names the incarnation.
func (c *upstreamConn) identify(ctx context.Context) error {
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/v1/load")
	req.Header.SetHost(c.address)
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := resp.ReadLimitBody(c.reader, maxReportBytes); err != nil {
		return err
	}
	if resp.ConnectionClose() {
		return errors.New("the backend server closed the new connection")
	}
	c.incarnation = string(resp.Header.Peek("X-Incarnation"))
	if resp.StatusCode() != fasthttp.StatusOK || c.incarnation == "" {
		return fmt.Errorf("the load report that identifies the connection answered %d", resp.StatusCode())
	}
	if !stop() {
		return ctx.Err()
	}
	return c.SetDeadline(time.Time{})
}

func orDefault(d, missing time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return missing
}

func (p *Pool) takeIdle(address string, maxIdle time.Duration) *upstreamConn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		// Unread bytes on an idle connection belong to an earlier answer.
		stale := c.reader.Buffered() > 0 || time.Since(c.idledAt) > maxIdle || readable(c.Conn)
		if !stale {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(address string) *upstreamConn {
	idle := p.idle(address)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	last := len(idle.conns) - 1
	if last < 0 {
		return nil
	}
	c := idle.conns[last]
	idle.conns = idle.conns[:last]
	return c
}

func (p *Pool) put(c *upstreamConn) {
	c.idledAt = time.Now()
	idle := p.idle(c.address)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	if len(idle.conns) >= p.maxIdle {
		_ = c.Close()
		return
	}
	idle.conns = append(idle.conns, c)
}

// Retain closes the idle connections to addresses that keep returns false for.
func (p *Pool) Retain(keep func(address string) bool) {
	p.addresses.Range(func(key, value any) bool {
		if !keep(key.(string)) {
			p.addresses.Delete(key)
			value.(*idleConns).closeAll()
		}
		return true
	})
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(func(string) bool { return false }) }

func (i *idleConns) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		_ = c.Close()
	}
	i.conns = nil
}
