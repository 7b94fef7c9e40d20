package request

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

const (
	// maxBufferedTotal is the maximum size in bytes of all long responses that this host
	// buffers at a time: eight of the largest size.
	maxBufferedTotal = 8 * maxBufferedResponse
	// unreservedBytes is the size up to which a buffered response does not count towards
	// maxBufferedTotal; most responses are shorter. The last byte is read only to see that
	// a response is longer than maxBufferedBody.
	unreservedBytes = maxBufferedBody + 1
	// initialBufferBytes is the size of the first buffer of a response.
	initialBufferBytes = 4 << 10
)

var (
	errResponseTooLarge = errors.New("the response is too large")
	errBuffersFull      = errors.New("too many long responses are buffered")
)

// bufferBudget limits the memory of all buffered responses to maxBufferedTotal.
type bufferBudget struct {
	reserved atomic.Int64 // bytes
}

// responseBuffer is the part of the budget that one response has reserved.
type responseBuffer struct {
	budget   *bufferBudget
	reserved int64 // bytes
}

func (c *call) newBuffer() *responseBuffer { return &responseBuffer{budget: &c.g.buffers} }

// reserve raises the reservation to size bytes.
func (b *responseBuffer) reserve(size int) error {
	more := int64(size) - b.reserved
	if size <= unreservedBytes || more <= 0 {
		return nil
	}
	if b.budget.reserved.Add(more) > maxBufferedTotal {
		b.budget.reserved.Add(-more)
		return errBuffersFull
	}
	b.reserved += more
	return nil
}

func (b *responseBuffer) release() {
	b.budget.reserved.Add(-b.reserved)
	b.reserved = 0
}

// newBuffersFullError returns the error of a request whose response cannot be buffered. The
// status is not 503, which clients repeat by themselves: the request has run.
func newBuffersFullError(v verdict.Verdict) error {
	return verdict.Wrap(errBuffersFull, v, 502, "response_buffers_full", "the host buffers too many long responses")
}

// readResponse reads the complete body. It fails if the body is truncated or longer than
// limit bytes, or if the budget does not suffice for it.
func readResponse(ex *connection.Exchange, limit int, buffer *responseBuffer) ([]byte, error) {
	if ex.Response.SkipBody || ex.Body() == nil {
		return nil, nil
	}
	length := ex.Response.Header.ContentLength()
	if length > limit {
		return nil, errResponseTooLarge
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), initialBufferBytes), limit+1)
			if err := buffer.reserve(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := ex.Body().Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, errResponseTooLarge
		case err == io.EOF && length >= 0 && length != len(body):
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// bufferedBody is a response body that releases its reservation when it was written to the
// caller.
type bufferedBody struct {
	bytes.Reader
	buffer *responseBuffer
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.buffer.release()
	return nil
}

// setBody sets the body of the caller's response, which then owns the buffer.
func (c *call) setBody(body []byte, buffer *responseBuffer) {
	if buffer.reserved == 0 {
		c.http.Response.SetBody(body)
		return
	}
	b := &bufferedBody{buffer: buffer}
	b.Reset(body)
	c.setBodyStream(b, len(body))
}
