package httpapi_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
)

// Guards against one odd entry of another writer that hides all hosts of the list, or whose address is taken into use.
func TestOddHostsCostOnlyThemselves(t *testing.T) {
	host := func(id, address string) string {
		return fmt.Sprintf(`{"id":%q,"role":"backend","service":"m","address":%q,"state":"live","incarnation":"1"}`, id, address)
	}
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	odd := map[string]string{
		"null": "null", "number": "7", "text": `"x"`, "list": "[]", "empty": "{}", "nested": deep,
		"nested unknown field": `{"x":` + deep + `,` + host("odd", "10.1.0.9:80")[1:],
		"ID of another type":   `{"id":7,"role":"backend","state":"live","address":"10.1.0.9:80"}`,
		"no ID":                host("", "10.1.0.9:80"),
		"very long ID":         host(strings.Repeat("i", 1<<20), "10.1.0.9:80"),
		"unknown state":        strings.Replace(host("odd", "10.1.0.9:80"), "live", "asleep", 1),
		"number beyond floats": strings.Replace(host("odd", "10.1.0.9:80"), `"1"`, "1e400", 1),
		"port 0":               host("odd", "10.1.0.9:0"),
		"port 65536":           host("odd", "10.1.0.9:65536"),
		"port -1":              host("odd", "10.1.0.9:-1"),
		"no port":              host("odd", "10.1.0.9"),
		"peer port 65536":      strings.Replace(host("odd", "10.1.0.9:80"), `"state"`, `"peer_address":"10.1.0.9:65536","state"`, 1),
		"line break":           host("odd", "10.1.0.9\r\n:80"),
		"address with a zone":  host("odd", "[fe80::1%eth0]:80"),
		"not a literal":        strings.Replace(host("odd", "10.1.0.9:80"), `"1"`, "NaN", 1),
	}
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, fmt.Sprintf(`{"revision":7,"hosts":[%s,%s,%s]}`, host("first", "10.1.0.1:80"), entry, host("last", "10.1.0.2:80")))
			}))
			defer server.Close()
			list := httpapi.NewHostList(server.URL)
			invalid := 0
			list.OnInvalid = func(error) { invalid++ }
			hosts, err := list.Hosts(t.Context())
			require.NoError(t, err)
			require.Len(t, hosts, 2)
			assert.Equal(t, []string{"first", "last"}, []string{hosts[0].ID, hosts[1].ID})
			assert.Equal(t, 1, invalid)
		})
	}
}
