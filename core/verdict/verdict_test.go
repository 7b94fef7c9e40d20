package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an error without an explicit verdict being reported as not run.
func TestUnknownErrorMayHaveRun(t *testing.T) {
	require.Equal(t, MayHaveRun, Of(errors.New("lost")))
	require.Equal(t, MayHaveRun, Of(fmt.Errorf("context: %w", errors.New("lost"))))
}

// Guards against a wrapped error losing its verdict.
func TestVerdictSurvivesWrapping(t *testing.T) {
	cause := errors.New("connection refused")
	err := fmt.Errorf("send: %w", Wrap(cause, NotRun, 503, "connect", "dial"))
	require.Equal(t, NotRun, Of(err))
	require.ErrorIs(t, err, cause)
}

// Guards against a wire form that cannot be parsed back, and against an unknown one being
// accepted.
func TestVerdictText(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var parsed Verdict
		require.NoError(t, parsed.UnmarshalText(text))
		require.Equal(t, v, parsed)
	}
	var v Verdict
	require.Error(t, v.UnmarshalText([]byte("never")))
}
