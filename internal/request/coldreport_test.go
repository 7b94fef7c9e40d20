package request

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// Guards against a backend server that is taken for restarted, hence for cold at all hosts, because its
// load report on a new connection was late: only a refused connection shows that its process ended.
func TestOnlyRefusedConnectionsReportColdServers(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		name := "late_load_report"
		if refuses {
			name = "refused_connection"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &testGateway{t: t, reports: map[string]version.Report{"desk-0": {Load: platform.LoadReport{Incarnation: "i-desk-0"}, SampledAt: time.Now()}}}
			server := r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				select {
				case <-time.After(1500 * time.Millisecond):
				case <-req.Context().Done():
				}
				w.Header().Set(headerIncarnation, "i-desk-0")
			}))
			if refuses {
				server.Close()
			}
			r.start()
			resp := r.do("POST", "/services/desk/x", "x", headerClass, "patient")
			_ = resp.Body.Close()
			require.Equal(t, 503, resp.StatusCode)
			r.mu.Lock()
			defer r.mu.Unlock()
			if refuses {
				assert.Equal(t, []string{"desk-0"}, r.refused)
				assert.Empty(t, r.unreachable)
				return
			}
			assert.Equal(t, []string{"desk-0"}, r.unreachable)
			assert.Empty(t, r.refused)
		})
	}
}
