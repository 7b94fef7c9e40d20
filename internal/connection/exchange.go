package connection

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request and its answer on one connection.
type Exchange struct {
	Response *fasthttp.Response
	conn     *upstreamConn
	pool     *Pool
	ctx      context.Context
	stop     func() bool
	// Reused says that the connection carried an earlier request, so that a
	// failure may only mean that the server had closed it.
	Reused bool
	// sendResult receives the outcome of writing the request, if that goes on while
	// the answer is read.
	sendResult chan error
	aborted    atomic.Bool
}

// Body streams the answer's body.
func (e *Exchange) Body() io.Reader { return e.Response.BodyStream() }

// SetReadDeadline bounds the next read of the body. Zero removes the bound. The
// end of the exchange's context ends the read in any case.
func (e *Exchange) SetReadDeadline(t time.Time) {
	_ = e.conn.SetReadDeadline(t)
	if e.ctx.Err() != nil {
		// The context's own deadline may just have been replaced.
		_ = e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Abort closes the connection, also while another goroutine reads the body,
// which must call Finish afterwards.
func (e *Exchange) Abort() {
	e.aborted.Store(true)
	_ = e.conn.Close()
}

// Finish ends the exchange. The connection is reused only if complete is true,
// which promises that the body was read to its end and matched the request.
func (e *Exchange) Finish(complete bool) {
	if e.conn == nil {
		return
	}
	conn := e.conn
	e.conn = nil
	notCancelled := e.stop()
	keep := complete && notCancelled && !e.aborted.Load() && !e.Response.ConnectionClose() && e.requestSent()
	if !keep {
		// Closed first, so that closing the body stream does not wait for
		// the rest of an unfinished answer.
		_ = conn.Close()
	}
	_ = e.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(e.Response)
	if keep {
		_ = conn.SetDeadline(time.Time{})
		e.pool.put(conn)
	}
}

// requestSent reports whether the whole request was written.
func (e *Exchange) requestSent() bool {
	if e.sendResult == nil {
		return true
	}
	select {
	case err := <-e.sendResult:
		return err == nil
	default:
		return false
	}
}

func (e *Exchange) roundTrip(ctx context.Context, req *fasthttp.Request, opts Options) error {
	if err := e.send(req, opts.BodyNotReused); err != nil {
		return err
	}
	if opts.ResponseHeaderTimeout > 0 {
		e.SetReadDeadline(time.Now().Add(opts.ResponseHeaderTimeout))
	}
	for foreign := 0; ; foreign++ {
		if err := e.readResponseHeader(req.Header.IsHead()); err != nil {
			return err
		}
		if opts.MatchesRequest == nil || opts.MatchesRequest(&e.Response.Header) {
			break
		}
		if foreign >= maxUnmatchedResponses {
			return errors.New("the answers belong to other requests")
		}
		if _, err := io.Copy(io.Discard, e.Body()); err != nil {
			return err
		}
		_ = e.Response.CloseBodyStream()
	}
	e.SetReadDeadline(time.Time{})
	return ctx.Err()
}

func (e *Exchange) readResponseHeader(isHead bool) error {
	e.Response.Reset()
	e.Response.StreamBody = true
	e.Response.SkipBody = isHead
	return e.Response.ReadLimitBody(e.conn.reader, 0)
}
