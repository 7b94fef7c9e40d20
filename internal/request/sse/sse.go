// Package sse reads Server-Sent Events as backend servers send them.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/zeebo/errs"
)

// MaxEventBytes bounds one event; a model's chunk is far smaller.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned for an event over MaxEventBytes.
var ErrTooLarge = errs.New("event too large")

// Event is one event. Its slices are valid until the next call of Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	r    *bufio.Reader
	id   []byte
	name []byte
	data []byte
	line []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10)}
}

// HasEvent reports whether a whole event was already received, so that a relay
// can batch events without waiting for one that is cut in the middle.
func (r *Reader) HasEvent() bool {
	b, _ := r.r.Peek(r.r.Buffered())
	return bytes.Contains(b, []byte("\n\n"))
}

// Next returns the next event. An event cut off by the end of the stream is
// not returned: the error is then io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.id, r.name, r.data = r.id[:0], r.name[:0], r.data[:0]
	empty := true
	for {
		line, err := r.readLine()
		if err != nil {
			if err == io.EOF && !empty {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if empty {
				continue
			}
			return Event{ID: r.id, Name: r.name, Data: r.data}, nil
		}
		if r.field(line) {
			empty = false
		}
		if len(r.data) > MaxEventBytes {
			return Event{}, ErrTooLarge
		}
	}
}

// field stores a line and reports whether it belongs to an event; comments do not.
func (r *Reader) field(line []byte) bool {
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

// readLine returns a line without its end; a last line without an end is an
// io.ErrUnexpectedEOF.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.r.ReadSlice('\n')
		if err == nil && len(r.line) == 0 {
			return trimEnd(part), nil
		}
		r.line = append(r.line, part...)
		switch {
		case err == nil:
			return trimEnd(r.line), nil
		case err == io.EOF && len(r.line) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(r.line) > MaxEventBytes:
			return nil, ErrTooLarge
		}
	}
}

func trimEnd(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r"))
}
