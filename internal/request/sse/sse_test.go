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
