package forward

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

const (
	// maxBufferedBody is the largest response body that is buffered before it is
	// forwarded, in bytes. A buffered response that breaks off can be retried or
	// reported as an error.
	maxBufferedBody = 256 << 10
	// shortBodyBytes is the size up to which a response is always buffered. Longer ones
	// need a share of the buffer capacity.
	shortBodyBytes = 16 << 10
	// chunkBytes is the buffer size for copying responses that are not buffered.
	chunkBytes = 8 << 10
	// minBufferBytes suffices for one response of the largest buffered size.
	minBufferBytes = maxBufferedBody
)

// responseBuffers limits the memory for responses to callers that read slowly.
type responseBuffers struct {
	capacity *semaphore.Weighted
	chunks   sync.Pool
}

func newResponseBuffers(capacity int64) *responseBuffers {
	return &responseBuffers{
		capacity: semaphore.NewWeighted(max(capacity, minBufferBytes)),
		chunks:   sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }},
	}
}

// readStart buffers a response body completely if it is short, or if there is buffer
// capacity and it is not too long; otherwise it reads the start. release returns the
// capacity. complete reports whether the whole body was read.
func (a *responseBuffers) readStart(body io.Reader) (read []byte, complete bool, release func(), err error) {
	release = func() {}
	read, complete, err = readUpTo(body, shortBodyBytes)
	if err != nil || complete || !a.capacity.TryAcquire(maxBufferedBody) {
		return read, complete, release, err
	}
	release = func() { a.capacity.Release(maxBufferedBody) }
	rest, complete, err := readUpTo(body, maxBufferedBody-shortBodyBytes)
	return append(read, rest...), complete, release, err
}

// readUpTo reads a body to its end or up to limit bytes.
func readUpTo(body io.Reader, limit int) (read []byte, complete bool, err error) {
	if body == nil {
		return nil, true, nil
	}
	read, err = io.ReadAll(io.LimitReader(body, int64(limit)))
	return read, err == nil && len(read) < limit, err
}

// copyRest copies the rest of a body in chunks.
func (a *responseBuffers) copyRest(to io.Writer, body io.Reader) error {
	chunk := a.chunks.Get().(*[]byte)
	defer a.chunks.Put(chunk)
	_, err := io.CopyBuffer(to, body, *chunk)
	return err
}

// deliver forwards a response to the caller, buffered if it is not too long, and releases the reservation at its
// server.
func (r *request) deliver(ex *connection.Exchange, res *reservation) error {
	body, complete, release, err := r.g.responseBuffers.readStart(r.g.body(ex, res.server))
	if err != nil {
		release()
		ex.Finish(false)
		r.releaseFailed(res, err)
		return unusableResponse(err)
	}
	r.observe(res, ex.Response.StatusCode() >= fasthttp.StatusInternalServerError)
	return r.deliverStart(&readResponse{ex: ex, start: body, complete: complete, release: release}, res)
}

// readResponse is a response of which the start, or all if complete is set, has been read. release returns
// the buffer capacity.
type readResponse struct {
	ex       *connection.Exchange
	start    []byte
	complete bool
	release  func()
}

// drop ends a response that is not delivered.
func (resp *readResponse) drop() {
	resp.release()
	resp.ex.Finish(resp.complete)
}

// deliverStart forwards a response to the caller, and the rest of it if it is not complete, and releases the
// reservation at its server.
func (r *request) deliverStart(resp *readResponse, res *reservation) error {
	r.status = resp.ex.Response.StatusCode()
	r.responded = true
	if resp.complete {
		r.call.Respond(r.status, responseHeader(&resp.ex.Response.Header), resp.start)
		resp.release()
		resp.ex.Finish(true)
		res.release(r.isEngineFailure())
		return nil
	}
	// The start must not stay in memory once its capacity was returned.
	start := resp.start
	resp.start = nil
	return r.deliverUnbuffered(resp.ex, res, start, resp.release)
}

// isEngineFailure reports whether the response is the failure of an engine, which counts towards its ejection. Plain
// services fail requests for their content.
func (r *request) isEngineFailure() bool {
	return r.route.Kind == route.Stream && (r.status == fasthttp.StatusInternalServerError || r.status == fasthttp.StatusBadGateway)
}

// deliverUnbuffered forwards a response of which the start has been read. release
// returns the buffer capacity of the start.
func (r *request) deliverUnbuffered(ex *connection.Exchange, res *reservation, start []byte, release func()) error {
	body := callerBody{r.call}
	err := toCaller(r.call.Begin(r.status, responseHeader(&ex.Response.Header)))
	if err == nil {
		_, err = body.Write(start)
	}
	release()
	if err == nil {
		err = r.g.responseBuffers.copyRest(body, r.g.body(ex, res.server))
	}
	if err == nil {
		err = toCaller(r.call.End())
	}
	ex.Finish(err == nil)
	if err == nil {
		res.release(r.isEngineFailure())
		return nil
	}
	r.releaseFailed(res, err) // the abort cancels the call's context, which it looks at
	return r.abort(err)
}

// abort ends a response of which a part was sent, so that it does not look complete, and returns the error of the request. err is why.
func (r *request) abort(err error) error {
	// The error is determined first, since the abort also cancels the call's context.
	failure := error(unusableResponse(err))
	switch {
	case r.ctx.Err() != nil:
		failure = r.interruptionError(true)
	case isCallerError(err):
		failure = callerLeftError(err)
	}
	r.call.Abort()
	return failure
}
