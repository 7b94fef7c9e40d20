package request

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

const (
	// maxBatchBytes is the size at which a batch of events is written to the caller.
	maxBatchBytes = 4 << 10
	// maxBufferedResponse is the maximum size in bytes of a response that is buffered
	// until it is complete: 1 KiB for each of 65,536 tokens, the longest expected output.
	maxBufferedResponse = 64 << 20
)

// stream relays the generation as Server-Sent Events. It waits for the first event before
// the response starts, so that an earlier failure results in an error response with its
// own status.
func (gen *generation) stream() error {
	body := &streamBody{gen: gen, attempt: gen.attempts, buffer: gen.c.newBuffer()}
	var err error
	if gen.c.class.Delivery == config.DeliveryBuffered && !gen.resumed {
		err = body.fillComplete()
	} else {
		err = body.fill()
	}
	var rejected *rejection
	if errors.As(err, &rejected) {
		body.buffer.release()
		return gen.handleStartError(err)
	}
	if err != nil {
		body.buffer.release()
		gen.discard()
		return err
	}
	gen.delivered = true
	c := gen.c
	c.streaming = true
	c.responseBegun.Store(true)
	c.outcome.Status = 200
	h := &c.http.Response.Header
	h.SetContentType("text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerGenerationID, gen.token)
	c.http.Response.ImmediateHeaderFlush = true
	c.setBodyStream(body, -1)
	return nil
}

// discard closes the exchange of a failed generation and cancels the generation at the
// engine if this host is responsible for that.
func (gen *generation) discard() {
	if gen.exchange != nil {
		gen.exchange.Finish(false)
	}
	switch {
	case gen.reservation != nil:
		gen.cancelInBackground(0, true, gen.reservation)
	case gen.resumed && (gen.c.ctx.Err() != nil || gen.events != nil):
		// The host that started the generation dropped its pending cancellation
		// because this reader was attached, so this host must cancel.
		gen.cancelInBackground(gen.resumeGrace(), true, nil)
	}
}

// resumeGrace is how long a generation without a reader is kept for a resume.
func (gen *generation) resumeGrace() time.Duration {
	return time.Duration(gen.c.class.ResumeGraceMS) * time.Millisecond
}

// streamBody is the body of a streamed response. fasthttp reads from it, so the relay runs
// in the goroutine of the caller's connection.
type streamBody struct {
	gen        *generation
	pending    []byte
	readOffset int
	// buffer is the reservation for a response that is buffered until it is complete.
	buffer *responseBuffer
	// attempt is the attempt that produced the pending events. Events of different
	// attempts are never mixed.
	attempt int
	ended   bool
	// finished is set once the generation was finished, failed or detached.
	finished    bool
	lastTokenAt time.Time
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	for b.readOffset == len(b.pending) {
		if b.ended {
			b.finish()
			return 0, io.EOF
		}
		b.pending, b.readOffset = b.pending[:0], 0
		if err := b.fill(); err != nil {
			b.fail(err)
		}
	}
	n := copy(p, b.pending[b.readOffset:])
	b.readOffset += n
	return n, nil
}

// fill waits for one event and batches it with the events that are already buffered.
func (b *streamBody) fill() error {
	for {
		ev, kind, err := b.next()
		if err != nil {
			return err
		}
		b.append(ev, kind)
		if b.ended || len(b.pending) >= maxBatchBytes || !b.gen.events.HasEvent() {
			return nil
		}
	}
}

// next returns the generation's next event. When a new attempt has started, which happens
// only before anything was delivered, it discards the events of the earlier one.
func (b *streamBody) next() (sse.Event, eventKind, error) {
	ev, kind, err := b.gen.next()
	if b.gen.attempts != b.attempt {
		b.attempt, b.pending, b.lastTokenAt = b.gen.attempts, b.pending[:0], time.Time{}
		b.gen.c.outcome.Tokens, b.gen.c.outcome.GapsOverTarget, b.gen.c.outcome.MaxTokenGap = 0, 0, 0
	}
	return ev, kind, err
}

// fillComplete buffers the complete response.
func (b *streamBody) fillComplete() error {
	for !b.ended {
		ev, kind, err := b.next()
		if err != nil {
			return err
		}
		b.append(ev, kind)
		if len(b.pending) > maxBufferedResponse {
			return verdict.New(verdict.Ran, 502, "answer_too_large", "the response exceeds %d bytes", maxBufferedResponse)
		}
		if b.buffer.reserve(cap(b.pending)) != nil {
			return newBuffersFullError(verdict.Ran)
		}
	}
	return nil
}

func (b *streamBody) append(ev sse.Event, kind eventKind) {
	switch kind {
	case eventDone:
		b.pending = append(b.pending, "data: [DONE]\n\n"...)
		b.ended = true
	case eventTrailing:
		b.pending = appendData(b.pending, ev.Data)
	default:
		b.recordToken()
		b.pending = append(b.pending, "id: "...)
		b.pending = append(b.pending, b.gen.token...)
		b.pending = append(b.pending, ':')
		b.pending = strconv.AppendInt(b.pending, int64(b.gen.offset), 10)
		b.pending = append(b.pending, '\n')
		b.pending = appendData(b.pending, ev.Data)
	}
}

func appendData(out, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		out = append(out, "data: "...)
		out = append(out, line...)
		out = append(out, '\n')
		if !more {
			return append(out, '\n')
		}
		data = rest
	}
}

// recordToken records the time to first token and the inter-token latency.
func (b *streamBody) recordToken() {
	c := b.gen.c
	now := c.g.Now()
	c.outcome.Tokens++
	if b.lastTokenAt.IsZero() {
		c.outcome.FirstToken = now.Sub(c.start)
	} else {
		gap := now.Sub(b.lastTokenAt)
		c.outcome.MaxTokenGap = max(c.outcome.MaxTokenGap, gap)
		if t := c.class.TokenGapMS; t > 0 && gap > time.Duration(t)*time.Millisecond {
			c.outcome.GapsOverTarget++
		}
	}
	b.lastTokenAt = now
}

// fail ends the stream with the problem document as its last event. The caller can still resume a
// generation that is unavailable.
func (b *streamBody) fail(err error) {
	b.pending = append(b.pending, b.gen.c.problemEvent(err)...)
	b.ended, b.finished = true, true
	if b.gen.c.ctx.Err() != nil || isUnavailable(err) {
		b.detach()
		return
	}
	b.gen.discard()
}

// finish finishes a completed generation, once. It runs after the end marker was passed to
// the caller, because the engine may end the body late.
func (b *streamBody) finish() {
	if !b.finished {
		b.finished = true
		b.gen.finish()
	}
}

// detach keeps the generation running at the engine for the class's grace period, in which
// the caller can resume it at any host. After that the generation is cancelled unless a
// reader is attached.
func (b *streamBody) detach() {
	gen := b.gen
	if gen.exchange != nil {
		gen.exchange.Finish(false)
	}
	gen.cancelInBackground(gen.resumeGrace(), true, gen.reservation)
}

// Close implements io.Closer. fasthttp calls it when the response is written or the caller
// has disconnected.
func (b *streamBody) Close() error {
	if !b.ended {
		b.ended, b.finished = true, true
		b.gen.c.cancel()
		b.detach()
	}
	b.finish()
	b.buffer.release()
	b.gen.c.end()
	return nil
}

// serveUnstreamed serves a generation whose response is one JSON document. The response is
// delivered only when it is complete, so a failed attempt can be retried.
func (gen *generation) serveUnstreamed() error {
	err := gen.start()
	for {
		if err != nil {
			return gen.handleStartError(err)
		}
		var body []byte
		buffer := gen.c.newBuffer()
		if body, err = gen.readUnstreamed(buffer); err == nil {
			gen.c.prompt.RecordAnswer()
			gen.deliver(body, buffer)
			return nil
		}
		buffer.release()
		if gen.c.ctx.Err() != nil {
			gen.discard()
			return gen.c.contextError()
		}
		gen.recordBrokenAnswer(err)
		failure := verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the backend server did not complete its response")
		gen.abandon()
		if errors.Is(err, errBuffersFull) {
			return newBuffersFullError(verdict.Ran)
		}
		if !gen.c.acquireRetry(gen.attempts) {
			return failure
		}
		err = gen.startAttempts()
	}
}

func (gen *generation) readUnstreamed(buffer *responseBuffer) ([]byte, error) {
	gen.exchange.SetReadDeadline(time.Now().Add(gen.c.g.bodyTimeout()))
	body, err := readResponse(gen.exchange, maxBufferedResponse, buffer)
	if err == nil && !json.Valid(body) {
		err = errProtocol
	}
	return body, err
}

func (gen *generation) deliver(body []byte, buffer *responseBuffer) {
	c := gen.c
	c.http.SetContentType(string(gen.exchange.Response.Header.ContentType()))
	c.setBody(body, buffer)
	gen.exchange.Finish(true)
	// The time to first token cannot be observed in an unstreamed response.
	gen.reservation.Release(true)
}
