package sse

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

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

// Guards against an event that is split, or that gets an id from its data, because a line is
// longer than the read buffer.
func TestFramesWithLongLines(t *testing.T) {
	for _, line := range []string{
		"data: " + strings.Repeat("x", frameBufferBytes-len("data: ")),
		"data: " + strings.Repeat("x", frameBufferBytes-len("data: ")) + "id: 9",
		"data: " + strings.Repeat("x", frameBufferBytes-len("data: ")) + "\r",
		"data: " + strings.Repeat("x", 2*frameBufferBytes-len("data: ")),
	} {
		event := "id: 1\n" + line + "\ndata: y\n\n"
		for offset := range 3 {
			// An event before it moves the line in the buffer.
			before := strings.Repeat(":", offset*7) + "\n\n"
			if offset == 0 {
				before = ""
			}
			r := NewFrameReader(strings.NewReader(before + event))
			if offset > 0 {
				_, err := r.Next()
				assert.NoError(t, err)
			}
			f, err := r.Next()
			assert.NoError(t, err)
			assert.Equal(t, event, string(f.Raw))
			assert.Equal(t, int64(1), f.ID)
		}
	}
}

// Guards against relaying an incomplete event when an engine dies while writing it.
func TestTruncatedFrameIsNotReturned(t *testing.T) {
	r := NewFrameReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
	_, err := r.Next()
	assert.NoError(t, err)
	_, err = r.Next()
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

// Guards against an event that the end of its server truncates and that looks like the end of the stream between two events.
func TestTruncatedFrameAtTheEndOfItsServer(t *testing.T) {
	ended := fmt.Errorf("the server has ended: %w", io.ErrUnexpectedEOF)
	for text, want := range map[string]error{"id: 1\ndata: a\n\n": ended, "id: 1\ndata: a\n\nid: 2\ndata": io.ErrUnexpectedEOF} {
		r := NewFrameReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(ended)))
		_, err := r.Next()
		assert.NoError(t, err)
		_, err = r.Next()
		assert.Equal(t, want, err, "%q", text)
	}
}

// endlessReader repeats a unit without end.
type endlessReader struct{ unit string }

func (e endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n+len(e.unit) <= len(p) {
		n += copy(p[n:], e.unit)
	}
	return n, nil
}

// Guards against unbounded buffering of an event that never ends, and against a read that goes
// on for as long as the stream has no event.
func TestOversizedFrameIsRejected(t *testing.T) {
	for _, c := range []struct{ start, unit string }{
		{"data: ", "x"}, {"id: 1\n", "data: x\n"}, {"id: 1\n", ": x\n"},
		{"", "\n"}, {"", "\r\n"}, {"", ": x\n\n"}, {"", "event: x\n\n"}, {"", "id: x\n\n"},
	} {
		r := NewFrameReader(io.MultiReader(strings.NewReader(c.start), endlessReader{c.unit}))
		read := 0
		for {
			f, err := r.Next()
			if err != nil {
				assert.ErrorIs(t, err, ErrTooLarge)
				break
			}
			read += len(f.Raw)
		}
		assert.LessOrEqual(t, read, MaxFrameBytes, "%q %q", c.start, c.unit)
	}
}

// Guards against the rejection of an event of the maximum size, or of comments that keep a
// paused stream open.
func TestFramesUpToTheMaximumAreReturned(t *testing.T) {
	event := "data: " + strings.Repeat("x", MaxFrameBytes-len("data: \n\n")) + "\n\n"
	comment := ": " + strings.Repeat("x", MaxFrameBytes/2-len(": \n\n")) + "\n\n"
	stream := strings.Repeat(event+comment+comment, 3)
	r := NewFrameReader(strings.NewReader(stream))
	var joined strings.Builder
	for {
		f, err := r.Next()
		if err != nil {
			assert.Equal(t, io.EOF, err)
			break
		}
		assert.Equal(t, strings.HasPrefix(string(f.Raw), "data"), f.Event)
		joined.Write(f.Raw)
	}
	assert.Equal(t, stream, joined.String())
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
