package sse

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against events that are relayed with altered bytes or incomplete.
func TestFramesPreserveBytes(t *testing.T) {
	long := strings.Repeat("x", 3*frameBufferBytes)
	stream := "id: 1\ndata: a\n\nversion: 3\r\nid:2\r\ndata: b\r\n\r\ndata: " + long + "\n\n: note\n\n"
	r := NewFrameReader(strings.NewReader(stream))
	var joined strings.Builder
	var ids []int64
	for {
		f, err := r.Next()
		if err != nil {
			assert.Equal(t, io.EOF, err)
			break
		}
		joined.Write(f.Raw)
		if f.HasID {
			ids = append(ids, f.ID)
		}
	}
	assert.Equal(t, stream, joined.String())
	assert.Equal(t, []int64{1, 2}, ids)
}

// Guards against relaying an incomplete event when an engine dies while writing it.
func TestTruncatedFrameIsNotReturned(t *testing.T) {
	r := NewFrameReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	_, err := r.Next()
	assert.NoError(t, err)
	_, err = r.Next()
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

// Guards against unbounded buffering of an event that never ends.
func TestOversizedFrameIsRejected(t *testing.T) {
	_, err := NewFrameReader(strings.NewReader("data: " + strings.Repeat("x", MaxEventBytes+1) + "\n\n")).Next()
	assert.True(t, errors.Is(err, ErrTooLarge))
}

// Guards against frames whose bytes differ from those of the stream, and against malformed
// input that crashes the reader.
func FuzzFrames(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("id: 99999999999999999999\n\n\r\n\r\nid\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := NewFrameReader(strings.NewReader(stream))
		read := 0
		for {
			frame, err := r.Next()
			if err != nil {
				break
			}
			if !strings.HasPrefix(stream[read:], string(frame.Raw)) {
				t.Fatalf("frame %q does not match the stream at the read offset", frame.Raw)
			}
			read += len(frame.Raw)
		}
	})
}
