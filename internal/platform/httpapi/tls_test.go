package httpapi_test

import (
	"crypto/tls"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// tlsBaseVariable names the server that the test process calls that TestResponsesOverTLSAreChecked starts.
const tlsBaseVariable = "TEST_TLS_BASE"

// Guards against responses over TLS that are not checked, or are checked before they are decrypted, and against a server whose
// certificate is not verified. Another process makes the calls, since a process reads its trusted certificates once.
func TestResponsesOverTLSAreChecked(t *testing.T) {
	if base := os.Getenv(tlsBaseVariable); base != "" {
		_, err := httpapi.NewHostList(base).Hosts(t.Context())
		require.NoError(t, err)
		object, err := httpapi.NewObjectStore(base).Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "value", string(object.Value))
		return
	}
	for name, c := range map[string]struct {
		text    string
		trusted bool
		want    string
	}{
		"valid":               {responsetest.Unusual["HTTP/1.2 and chunks"], true, "PASS"},
		"invalid":             {responsetest.Invalid["blank in a name"], true, "invalid field name"},
		"unknown certificate": {responsetest.Unusual["HTTP/1.0"], false, "certificate signed by unknown authority"},
	} {
		server := httptest.NewTLSServer(nil) // for its certificate
		trusted := filepath.Join(t.TempDir(), "trusted.pem")
		if c.trusted {
			block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
			require.NoError(t, os.WriteFile(trusted, pem.EncodeToMemory(block), 0o600))
		}
		server.Close()
		l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: server.TLS.Certificates})
		require.NoError(t, err)
		serveTexts(t, l, c.text)
		command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
		command.Env = append(os.Environ(), "SSL_CERT_DIR=/nonexistent", "SSL_CERT_FILE="+trusted, tlsBaseVariable+"=https://"+l.Addr().String())
		out, err := command.CombinedOutput()
		assert.Equal(t, c.want == "PASS", err == nil, name)
		assert.Contains(t, string(out), c.want, name)
	}
}
