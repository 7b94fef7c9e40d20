package gentoken

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one team resuming another team's generation.
func TestTokenIsBoundToTeam(t *testing.T) {
	c := NewCodec([]byte("0123456789abcdef0123456789abcdef"))
	g := Generation{Service: "caption-models", Backend: "e1", Incarnation: "i1", ID: "g1", Class: "caption"}
	token := c.Encode("lantern", g)
	decoded, err := c.Decode("lantern", token)
	require.NoError(t, err)
	require.Equal(t, g, decoded)
	_, err = c.Decode("other", token)
	require.ErrorIs(t, err, ErrInvalid)
	_, err = NewCodec([]byte("another key")).Decode("lantern", token)
	require.ErrorIs(t, err, ErrInvalid)
}

// Guards against malformed event ids that are accepted and reach a backend server.
func FuzzSplitEventID(f *testing.F) {
	f.Add("token:3")
	f.Add(":")
	f.Add("a:-1")
	c := NewCodec([]byte("key"))
	f.Fuzz(func(t *testing.T, id string) {
		token, offset, err := SplitEventID(id)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, offset, 0)
		_, err = c.Decode("team", token)
		require.ErrorIs(t, err, ErrInvalid)
	})
}
