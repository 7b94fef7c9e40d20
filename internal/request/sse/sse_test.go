package sse

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against relaying an event that was truncated by a broken connection.
func TestTruncatedEventIsNotReturned(t *testing.T) {
	r := NewReader(strings.NewReader("id: g:1\ndata: a\n\nid: g:2\ndata: b\n"))
	e, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "g:1", string(e.ID))
	_, err = r.Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against events that are parsed differently when bytes arrive one at a time.
func TestOneByteReads(t *testing.T) {
	in := ": comment\r\n\r\nid: g:1\r\nevent: error\r\ndata: a\r\ndata: b\r\n\r\ndata: [DONE]\n\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(in)))
	e, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "error", string(e.Name))
	require.Equal(t, "a\nb", string(e.Data))
	e, err = r.Next()
	require.NoError(t, err)
	require.Equal(t, "[DONE]", string(e.Data))
	_, err = r.Next()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against reading without end lines that contain no event: comments, empty lines and
// fields that replace their earlier value.
func TestLinesWithoutEventAreBounded(t *testing.T) {
	for _, line := range []string{": comment\n", ": comment\n\n", "\n", "\r\n", "id: g:1\n", "event: x\n", "data:\n", "retry: 1\n", "x"} {
		in := &repeatedLine{line: line}
		_, err := NewReader(in).Next()
		require.ErrorIs(t, err, ErrTooLarge, "%q", line)
		require.Less(t, in.read, MaxEventBytes+64<<10, "%q", line)
	}
}

// Guards against a bound on lines without an event that also counts the events between them.
func TestBoundAppliesToEachEvent(t *testing.T) {
	r := NewReader(&repeatedLine{line: ": comment\n\n" + "data: " + strings.Repeat("x", 1<<10) + "\n\n"})
	for range 2 * MaxEventBytes >> 10 {
		_, err := r.Next()
		require.NoError(t, err)
	}
}

// repeatedLine yields a line again and again and counts the bytes.
type repeatedLine struct {
	line string
	read int
}

// Read implements io.Reader.
func (r *repeatedLine) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.line[(r.read+n)%len(r.line):])
	}
	r.read += n
	return n, nil
}

// Guards against a relay that waits for the network with an event in hand: a comment with an
// empty line is no event.
func TestHasEventIgnoresComments(t *testing.T) {
	for in, want := range map[string]bool{
		": comment\n\n":                    false,
		"\n\n":                             false,
		"retry: 1\n\n":                     false,
		"data: a\n":                        false,
		"data: a\n\n":                      true,
		"data: a\r\n\r\n":                  true,
		": comment\n\n\nid: g:1\ndata\n\n": true,
	} {
		r := NewReader(strings.NewReader("data: first\n\n" + in))
		_, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, want, r.HasEvent(), "%q", in)
	}
}

// Guards against malformed input from a backend server that crashes the relay.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("data\n\n:\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
