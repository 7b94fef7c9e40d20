package connection

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request to a backend server and the response to it, on one connection.
type Exchange struct {
	Response *fasthttp.Response
	conn     *upstreamConn
	pool     *Pool
	ctx      context.Context
	stop     func() bool
	// Reused is set when the connection carried an earlier request. The server may then
	// have closed it, so a failure doesn't mean that the server is unhealthy.
	Reused bool
	// sendResult receives the result of writing the request when that happens while the
	// response is read; otherwise it is nil.
	sendResult chan error
	aborted    atomic.Bool
	// hasOtherID is set if the response has no ID or another one than the request.
	hasOtherID bool
	body       responseBody
}

// Body returns the stream of the response body, or nil if the response has none. It must
// not be read after Finish. A read fails if the server sends more than 64 KiB of framing,
// such as chunk extensions, without a byte of the body. An empty body that only the end of the
// connection delimits is truncated: the end of a server looks the same, and one that means an
// empty body states its length. One whose server refuses connections at its end fails with
// *ServerEndedError.
func (e *Exchange) Body() io.Reader {
	if e.body.stream == nil {
		return nil
	}
	return &e.body
}

// ServerEndedError is the error at the end of a body that only the end of the connection delimits, if
// the server has ended too. It may have ended with its last answer, or have broken the body off.
type ServerEndedError struct {
	// At is when the connection ended.
	At time.Time
}

// Error implements error.
func (e *ServerEndedError) Error() string {
	return "the server of a response without a length has ended: " + io.ErrUnexpectedEOF.Error()
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e *ServerEndedError) Unwrap() error { return io.ErrUnexpectedEOF }

// identityLength is fasthttp's Content-Length of a body that ends with its connection.
const identityLength = -2

// endCheckTimeout limits the connection setup that shows whether a server has ended.
const endCheckTimeout = 400 * time.Millisecond

// responseBody is the stream of a response body with a limit on the framing in it. After an
// error, all reads return that error: a body with malformed chunks could otherwise be read
// on to its apparent end by a caller that ignores an error returned together with data, as
// fasthttp does.
type responseBody struct {
	ctx    context.Context
	stream io.Reader
	conn   *upstreamConn
	// endsWithConnection is set for a body without a length or chunks.
	endsWithConnection bool
	// received is set once a byte of the body was read.
	received bool
	err      error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.conn.unusedLimit = maxFramingBytes + len(p)
	n, err := b.stream.Read(p)
	if n > 0 {
		b.conn.unusedBytes = 0
		b.received = true
	}
	if err == io.EOF && b.endsWithConnection {
		err = b.endOfConnection()
	}
	b.err = err
	return n, err
}

// endOfConnection returns the error of a read at the end of the connection that delimits the body.
func (b *responseBody) endOfConnection() error {
	at := time.Now()
	switch {
	case !b.received, wasReset(b.conn.Conn):
		return io.ErrUnexpectedEOF
	case Refuses(b.ctx, b.conn.address, endCheckTimeout):
		return &ServerEndedError{At: at}
	}
	return io.EOF
}

// SetReadDeadline sets the deadline of reads of the body; zero means none. The end of
// the exchange's context ends a read in any case.
func (e *Exchange) SetReadDeadline(t time.Time) {
	_ = e.conn.SetReadDeadline(t)
	if e.ctx.Err() != nil {
		// The call above may have replaced the past deadline that the end of the
		// context had set.
		_ = e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Abort closes the connection. It may be called while another goroutine reads the body;
// that goroutine must call Finish afterwards.
func (e *Exchange) Abort() {
	e.aborted.Store(true)
	_ = e.conn.Close()
}

// Finish ends the exchange and releases its response. With complete set, the caller
// guarantees that the body was read to its end and belongs to the request; only then is
// the connection reused.
func (e *Exchange) Finish(complete bool) {
	if e.conn == nil {
		return
	}
	conn := e.conn
	e.conn = nil
	notCancelled := e.stop()
	reuse := complete && notCancelled && !e.aborted.Load() && !e.hasOtherID && !e.Response.ConnectionClose() && e.requestSent()
	if !reuse {
		// Closed first, so that closing the body stream doesn't wait for the rest of
		// an unfinished response.
		_ = conn.Close()
	}
	_ = e.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(e.Response)
	if reuse {
		_ = conn.SetDeadline(time.Time{})
		conn.needsID = true
		e.pool.put(conn)
	}
}

// requestSent reports whether the request was written completely.
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

// roundTrip sends the request and reads the header section of the response to it.
func (e *Exchange) roundTrip(ctx context.Context, req *fasthttp.Request, opts Options) error {
	// The request may be a copy of a caller's, which has the version of that connection.
	req.Header.SetProtocol("HTTP/1.1")
	e.conn.responses.ExpectResponse(req.Header.IsHead())
	if err := e.send(req, opts.BodyNotReused); err != nil {
		return err
	}
	if opts.ResponseHeaderTimeout > 0 {
		e.SetReadDeadline(time.Now().Add(opts.ResponseHeaderTimeout))
	}
	for unmatched := 0; ; unmatched++ {
		if err := e.readResponseHeader(req.Header.IsHead()); err != nil {
			return err
		}
		skip, err := e.checkID(req, opts)
		if err != nil {
			return err
		}
		if !skip {
			break
		}
		if unmatched >= maxUnmatchedResponses {
			return errors.New("the responses on the connection belong to other requests")
		}
		if err := e.skipBody(); err != nil {
			return err
		}
	}
	e.SetReadDeadline(time.Time{})
	return ctx.Err()
}

// errNoID is returned for a response without an ID that may belong to an earlier request.
var errNoID = errors.New("the response has no ID and may belong to an earlier request on the connection")

// checkID compares the ID of the response with that of the request. skip is set for a response
// to another request; it is an error if that is unknown.
func (e *Exchange) checkID(req *fasthttp.Request, opts Options) (skip bool, err error) {
	if opts.IDHeader == "" {
		return false, nil
	}
	id := e.Response.Header.Peek(opts.IDHeader)
	if len(id) == 0 && e.conn.needsID {
		return false, errNoID
	}
	e.conn.needsID = e.conn.needsID || len(id) > 0
	e.hasOtherID = !bytes.Equal(id, req.Header.Peek(opts.IDHeader))
	return e.hasOtherID && len(id) > 0 && opts.SkipOtherIDs, nil
}

// skipBody reads the body of a response to another request. A body of maxSkippedBytes or
// more is an error.
func (e *Exchange) skipBody() error {
	body := e.Body()
	if body == nil {
		return nil
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes))
	if err != nil {
		return err
	}
	if skipped == maxSkippedBytes {
		return fmt.Errorf("the body of a response to another request is longer than %d bytes", maxSkippedBytes)
	}
	return e.Response.CloseBodyStream()
}

func (e *Exchange) readResponseHeader(isHead bool) error {
	e.Response.Reset()
	e.Response.StreamBody = true
	e.Response.SkipBody = isHead
	e.conn.expectBody(0)
	err := e.conn.readResponse(e.Response, 0)
	e.conn.expectBody(0)
	e.body = responseBody{
		ctx: e.ctx, stream: e.Response.BodyStream(), conn: e.conn, endsWithConnection: e.Response.Header.ContentLength() == identityLength,
	}
	return err
}
