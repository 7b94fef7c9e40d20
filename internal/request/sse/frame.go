package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// frameBufferBytes is the size of the read buffer, enough for several events.
	frameBufferBytes = 8 << 10
	// MaxFrameBytes is the maximum size of one event, and of the comments and empty lines
	// between two events. All streams of an engine may reach it at the same time.
	MaxFrameBytes = 64 << 10
)

// Frame is one event as received on the wire.
type Frame struct {
	// Raw holds the unmodified bytes, including the terminating empty line. It is
	// valid until the next call of Next.
	Raw []byte
	// ID is the numeric event id; HasID is false if there is none.
	ID    int64
	HasID bool
	// Event is set if there is an id or data. Comments, empty lines and other fields alone
	// are no event.
	Event bool
}

// FrameReader reads events and preserves their bytes.
type FrameReader struct {
	r   *bufio.Reader
	raw []byte
	// otherBytes is the number of bytes since the last event.
	otherBytes int
}

// NewFrameReader returns a FrameReader with its own buffer on r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, frameBufferBytes)}
}

// Next returns the next event, or comments and empty lines between two events, or io.EOF at
// the end of the stream. An event that is truncated by the end of the stream is dropped with
// io.ErrUnexpectedEOF, also where the reader's error wraps that. More than MaxFrameBytes for an event, or without an event, fail with
// ErrTooLarge.
func (f *FrameReader) Next() (Frame, error) {
	f.raw = f.raw[:0]
	frame := Frame{}
	for {
		start := len(f.raw)
		if err := f.appendLine(); err != nil {
			if len(f.raw) > 0 && (err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF)) {
				err = io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
		text := bytes.TrimRight(f.raw[start:], "\r\n")
		if len(text) == 0 {
			frame.Raw = f.raw
			return frame, f.countOther(frame)
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch string(name) {
		case "id":
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			frame.ID, frame.HasID = n, err == nil
			frame.Event = frame.Event || frame.HasID
		case "data":
			frame.Event = true
		}
	}
}

// countOther counts the bytes between two events.
func (f *FrameReader) countOther(frame Frame) error {
	if frame.Event {
		f.otherBytes = 0
		return nil
	}
	if f.otherBytes += len(frame.Raw); f.otherBytes > MaxFrameBytes {
		return ErrTooLarge
	}
	return nil
}

// appendLine reads a line of any length and appends it to the raw bytes of the event.
func (f *FrameReader) appendLine() error {
	for {
		part, err := f.r.ReadSlice('\n')
		f.raw = append(f.raw, part...)
		if len(f.raw) > MaxFrameBytes {
			return ErrTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
