package standincmd

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a stand-in, which has no authentication, that is reachable from
// other machines, and against an engine that is missing from the host list
// without an error.
func TestRunRejectsInvalidFlags(t *testing.T) {
	for want, args := range map[string][]string{
		"not a loopback IP address":            {"hosts", "--listen", "0.0.0.0:0"},
		"--hosts requires --service, --domain": {"engine", "--listen", "127.0.0.1:0", "--hosts", "http://127.0.0.1:1", "--id", "r1", "--region", "bkk"},
		"must be positive":                     {"engine", "--listen", "127.0.0.1:0", "--token-interval", "0s"},
		"must not be negative":                 {"weights", "--listen", "127.0.0.1:0", "--size=-1"},
	} {
		require.ErrorContains(t, run(t.Context(), args, zerolog.Nop()), want)
	}
}
