// Package sse parses streams of Server-Sent Events from backend servers, either into
// fields (Reader) or into unmodified frames (FrameReader).
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/zeebo/errs"
)

// MaxEventBytes is the maximum size of one event, including the comments and empty lines
// before it; a completion chunk is far smaller.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned for an event over MaxEventBytes.
var ErrTooLarge = errs.New("event too large")

// Event holds the fields of one event. Its slices are valid until the next call of
// Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
}

// Reader parses events from a stream.
type Reader struct {
	r    *bufio.Reader
	id   []byte
	name []byte
	data []byte
	line []byte
}

// NewReader returns a Reader with its own buffer on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10)}
}

// HasEvent reports whether the buffer contains a complete event, so that a relay can
// batch buffered events without blocking on a partially received one.
func (r *Reader) HasEvent() bool {
	b, _ := r.r.Peek(r.r.Buffered())
	empty := true
	for {
		line, rest, found := bytes.Cut(b, []byte("\n"))
		if !found {
			return false
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 && !empty {
			return true
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		empty = empty && !isField(name)
		b = rest
	}
}

func isField(name []byte) bool {
	switch string(name) {
	case "id", "event", "data":
		return true
	}
	return false
}

// Next returns the next event, or io.EOF at the end of the stream. An event that is
// truncated by the end of the stream is dropped with io.ErrUnexpectedEOF; one over
// MaxEventBytes fails with ErrTooLarge.
func (r *Reader) Next() (Event, error) {
	r.id, r.name, r.data = r.id[:0], r.name[:0], r.data[:0]
	empty, size := true, 0
	for {
		line, err := r.readLine()
		if err != nil {
			if err == io.EOF && !empty {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		// Comments and repeated fields count, since a server can send them without end.
		if size += len(line); size > MaxEventBytes {
			return Event{}, ErrTooLarge
		}
		if line = trimLineEnding(line); len(line) == 0 {
			if empty {
				continue
			}
			return Event{ID: r.id, Name: r.name, Data: r.data}, nil
		}
		if r.parseField(line) {
			empty = false
		}
	}
}

// parseField stores the field of a line. It reports whether the line is a known
// field; comments and other fields are ignored.
func (r *Reader) parseField(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.name = append(r.name[:0], value...)
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	default:
		return false
	}
	return true
}

// readLine returns a line with its line ending. An unterminated last line fails
// with io.ErrUnexpectedEOF.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		chunk, err := r.r.ReadSlice('\n')
		if err == nil && len(r.line) == 0 {
			return chunk, nil
		}
		r.line = append(r.line, chunk...)
		switch {
		case err == nil:
			return r.line, nil
		case err == io.EOF && len(r.line) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(r.line) > MaxEventBytes:
			return nil, ErrTooLarge
		}
	}
}

func trimLineEnding(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r"))
}
