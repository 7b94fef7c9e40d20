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
	// maxBatchBytes bounds the events relayed by one write.
	maxBatchBytes = 4 << 10
	// maxWholeBytes bounds an answer that is held back until it is complete.
	maxWholeBytes = 64 << 20
)

// stream relays the generation as Server-Sent Events. The first event is
// awaited before the answer starts, so that a failure until then is a plain
// refusal with its own status.
func (gen *generation) stream() error {
	body := &streamBody{gen: gen, runs: gen.runs}
	var err error
	if gen.c.class.Delivery == config.DeliveryBuffered && !gen.resumed {
		err = body.fillWhole()
	} else {
		err = body.fill()
	}
	var rejected *rejection
	if errors.As(err, &rejected) {
		return gen.startFailed(err)
	}
	if err != nil {
		gen.dispose()
		return err
	}
	gen.delivered = true
	c := gen.c
	c.streaming = true
	c.out.Status = 200
	h := &c.http.Response.Header
	h.SetContentType("text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerGenerationID, gen.token)
	c.http.Response.ImmediateHeaderFlush = true
	c.http.Response.SetBodyStream(body, -1)
	return nil
}

// dispose ends a generation that failed before its answer started.
func (gen *generation) dispose() {
	if gen.ex != nil {
		gen.ex.Finish(false)
	}
	switch {
	case gen.place != nil:
		gen.cancelLater(0, true, gen.place)
	case gen.resumed && gen.c.ctx.Err() != nil:
		// The host that this caller left first gave up its own cancellation
		// when it saw this reader.
		gen.cancelLater(gen.grace(), true, nil)
	}
}

// grace is how long a generation without a reader is kept.
func (gen *generation) grace() time.Duration {
	return time.Duration(gen.c.class.ResumeGraceMS) * time.Millisecond
}

// streamBody is the body of a streamed answer. fasthttp pulls from it, which
// keeps the relay in the connection's own goroutine.
type streamBody struct {
	gen     *generation
	pending []byte
	read    int
	// runs is the number of generations started so far; events of an earlier
	// one are never followed by those of a later one.
	runs  int
	ended bool
	// finished says that the generation's end was handled after the end marker.
	finished bool
	last     time.Time
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	for b.read == len(b.pending) {
		if b.ended {
			b.finish()
			return 0, io.EOF
		}
		b.pending, b.read = b.pending[:0], 0
		if err := b.fill(); err != nil {
			b.fail(err)
		}
	}
	n := copy(p, b.pending[b.read:])
	b.read += n
	return n, nil
}

// fill waits for one event and takes those that have already arrived.
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

// next returns the generation's next event. A new run, which starts only while
// nothing was delivered, discards what an earlier one produced.
func (b *streamBody) next() (sse.Event, eventKind, error) {
	ev, kind, err := b.gen.next()
	if b.gen.runs != b.runs {
		b.runs, b.pending, b.last = b.gen.runs, b.pending[:0], time.Time{}
		b.gen.c.out.Tokens, b.gen.c.out.GapsOverTarget, b.gen.c.out.MaxTokenGap = 0, 0, 0
	}
	return ev, kind, err
}

// fillWhole collects the complete answer.
func (b *streamBody) fillWhole() error {
	for !b.ended {
		ev, kind, err := b.next()
		if err != nil {
			return err
		}
		b.append(ev, kind)
		if len(b.pending) > maxWholeBytes {
			return verdict.New(verdict.Ran, 502, "answer_too_large", "the answer exceeds %d bytes", maxWholeBytes)
		}
	}
	return nil
}

func (b *streamBody) append(ev sse.Event, kind eventKind) {
	switch kind {
	case eventDone:
		b.pending = append(b.pending, "data: [DONE]\n\n"...)
		b.ended = true
	case eventExtra:
		b.pending = appendData(b.pending, ev.Data)
	default:
		b.observe()
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

// observe records the time to the first token and between tokens.
func (b *streamBody) observe() {
	c := b.gen.c
	now := c.g.Now()
	c.out.Tokens++
	if b.last.IsZero() {
		c.out.FirstToken = now.Sub(c.start)
	} else {
		gap := now.Sub(b.last)
		c.out.MaxTokenGap = max(c.out.MaxTokenGap, gap)
		if t := c.class.TokenGapMS; t > 0 && gap > time.Duration(t)*time.Millisecond {
			c.out.GapsOverTarget++
		}
	}
	b.last = now
}

// fail makes the problem document the last event.
func (b *streamBody) fail(err error) {
	b.pending = append(b.pending, b.gen.c.problemEvent(err)...)
	b.ended, b.finished = true, true
	if b.gen.c.ctx.Err() == nil {
		b.gen.dispose()
		return
	}
	b.detach()
}

// finish ends a complete generation, once. It comes after the end marker was
// handed over, since the engine may take its time to end the body.
func (b *streamBody) finish() {
	if !b.finished {
		b.finished = true
		b.gen.finish()
	}
}

// detach leaves the generation at the engine for the class's grace period, so
// that the caller can reconnect to any host, and then cancels it unless it has
// a reader again.
func (b *streamBody) detach() {
	gen := b.gen
	if gen.ex != nil {
		gen.ex.Finish(false)
	}
	gen.cancelLater(gen.grace(), true, gen.place)
}

// Close implements io.Closer; fasthttp calls it when the answer is written or
// the caller is gone.
func (b *streamBody) Close() error {
	if !b.ended {
		b.ended, b.finished = true, true
		b.gen.c.cancel()
		b.detach()
	}
	b.finish()
	b.gen.c.end()
	return nil
}

// answerUnstreamed runs a generation whose answer is one JSON document. It is
// delivered only when it is complete, so a failed run can be repeated.
func (gen *generation) answerUnstreamed() error {
	err := gen.start()
	for {
		if err != nil {
			return gen.startFailed(err)
		}
		var body []byte
		if body, err = gen.readWhole(); err == nil {
			gen.deliver(body)
			return nil
		}
		if gen.c.ctx.Err() != nil {
			gen.dispose()
			return gen.c.interrupted()
		}
		failure := verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the backend server did not finish its answer")
		gen.abandon()
		if !gen.c.mayRetry(gen.runs) {
			return failure
		}
		err = gen.startAnew()
	}
}

func (gen *generation) readWhole() ([]byte, error) {
	body, err := readAnswer(gen.ex, maxWholeBytes)
	if err == nil && !json.Valid(body) {
		err = errProtocol
	}
	return body, err
}

func (gen *generation) deliver(body []byte) {
	c := gen.c
	c.http.SetContentType(string(gen.ex.Response.Header.ContentType()))
	c.http.SetBody(body)
	gen.ex.Finish(true)
	// The time to first token is not seen in an unstreamed answer.
	gen.place.Release(true)
}
