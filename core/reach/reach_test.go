package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a host that takes the crash of some servers for the loss of its path, and against one that does not notice the
// loss.
func TestPathIsLostWhenAllConnectionsFail(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		server string // empty for a connection that is set up
		ms     int
		lost   bool
	}
	for name, c := range map[string]struct {
		servers int
		steps   []step
	}{
		"three failures at two servers":                 {12, []step{{"a", 0, false}, {"b", 10, false}, {"a", 20, true}, {"c", 30, true}, {"", 40, false}, {"a", 50, false}}},
		"one server of several":                         {12, []step{{"a", 0, false}, {"a", 10, false}, {"a", 20, false}, {"a", 30, false}, {"b", 40, true}}},
		"the only server":                               {1, []step{{"a", 0, false}, {"a", 10, false}, {"a", 20, true}}},
		"a connection between the failures":             {12, []step{{"a", 0, false}, {"b", 10, false}, {"", 15, false}, {"c", 20, false}, {"a", 30, false}, {"b", 40, true}}},
		"failures that are far apart":                   {12, []step{{"a", 0, false}, {"b", 4000, false}, {"c", 8000, false}, {"a", 9100, false}, {"b", 9200, true}}},
		"a service whose servers were listed meanwhile": {0, []step{{"a", 0, false}, {"a", 10, false}, {"a", 20, true}}},
	} {
		t.Run(name, func(t *testing.T) {
			var p Path
			for i, s := range c.steps {
				before := p.Lost()
				if s.server == "" {
					assert.Equal(t, before, p.Connected(), "step %d", i)
				} else {
					assert.Equal(t, s.lost && !before, p.Failed(s.server, c.servers, after(s.ms)), "step %d", i)
				}
				assert.Equal(t, s.lost, p.Lost(), "step %d", i)
			}
		})
	}
}
