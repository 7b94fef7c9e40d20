package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// frameBufferBytes holds several events.
const frameBufferBytes = 8 << 10

// Frame is one event as its bytes stand on the wire, the empty line included.
// Raw is valid until the next call of Next.
type Frame struct {
	Raw []byte
	// ID is the event's number; HasID is false if it has none.
	ID    int64
	HasID bool
}

// FrameReader reads events without changing their bytes.
type FrameReader struct {
	r   *bufio.Reader
	raw []byte
}

// NewFrameReader returns a FrameReader of r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, frameBufferBytes)}
}

// Next returns the next event. An event that is cut off by the end of the
// stream is not returned: the error is then io.ErrUnexpectedEOF.
func (f *FrameReader) Next() (Frame, error) {
	f.raw = f.raw[:0]
	frame := Frame{}
	for {
		line, err := f.r.ReadSlice('\n')
		f.raw = append(f.raw, line...)
		if err == bufio.ErrBufferFull && len(f.raw) <= MaxEventBytes {
			continue
		}
		if err == nil && len(f.raw) > MaxEventBytes || err == bufio.ErrBufferFull {
			return Frame{}, ErrTooLarge
		}
		if err != nil {
			if err == io.EOF && len(f.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			frame.Raw = f.raw
			return frame, nil
		}
		if name, value, _ := bytes.Cut(text, []byte(":")); string(name) == "id" {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			frame.ID, frame.HasID = n, err == nil
		}
	}
}
