package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkRelaySizes measures the CPU time per token added by the gateway, by the number of
// concurrent streams; tokens are sent as fast as possible, or one every 20 ms.
func BenchmarkRelaySizes(b *testing.B) {
	for _, c := range []struct {
		name     string
		streams  []int
		tokens   int
		interval time.Duration
	}{
		{"saturated", []int{16, 64, 256}, 4000, 0},
		{"paced", []int{50, 200, 400}, 100, 20 * time.Millisecond},
	} {
		for _, streams := range c.streams {
			b.Run(fmt.Sprintf("%s/streams=%d", c.name, streams), func(b *testing.B) {
				engine := serveBenchEngine(b, benchEngine{tokens: c.tokens, interval: c.interval})
				url := benchGateway(b, engine)
				runStreams(b, url, streams, false)
				var added time.Duration
				relayed := 0
				for b.Loop() {
					n, direct, _ := runStreams(b, "http://"+engine, streams, false)
					m, through, _ := runStreams(b, url, streams, false)
					require.Equal(b, n, m)
					added, relayed = added+through-direct, relayed+m
				}
				b.ReportMetric(float64(added.Nanoseconds())/float64(relayed), "added-ns/token")
			})
		}
	}
}
