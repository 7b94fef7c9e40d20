package settings

import (
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/stretchr/testify/require"
)

func parse(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	app := kingpin.New("monsoonkeeld", "")
	s := Register(app)
	_, err := app.Parse(args)
	require.NoError(t, err)
	return s, s.Load(func(string) string { return "0123456789abcdef0123456789abcdef" })
}

// Guards against a daemon that reports only the first of several invalid settings.
func TestAllErrorsAreReported(t *testing.T) {
	_, err := parse(t, "--host-id", "a b", "--region", "r", "--domain", "d", "--listen", "localhost:80",
		"--object-api", "ftp://x", "--host-list", "http://127.0.0.1:1", "--cells", "0", "--log-level", "loud")
	for _, want := range []string{"--host-id", "--listen", "--object-api", "--cells", "--log-level"} {
		require.ErrorContains(t, err, want)
	}
	require.NotContains(t, err.Error(), "--host-list")
}

// Guards against valid settings that are rejected, and against secrets that are optional.
func TestValidSettings(t *testing.T) {
	s, err := parse(t, "--host-id", "e1", "--region", "r", "--domain", "d",
		"--object-api", "http://127.0.0.1:1", "--host-list", "http://127.0.0.1:2")
	require.NoError(t, err)
	require.Len(t, s.GenerationKey, 32)
	require.Error(t, s.Load(func(string) string { return "short" }))
}

// Guards against flags that cannot be set by their environment variables.
func TestEnvironment(t *testing.T) {
	t.Setenv("MONSOONKEEL_HOST_ID", "from-env")
	s, err := parse(t, "--region", "r", "--domain", "d", "--object-api", "http://127.0.0.1:1", "--host-list", "http://127.0.0.1:2")
	require.NoError(t, err)
	require.Equal(t, "from-env", s.HostID)
}
