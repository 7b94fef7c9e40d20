package gossip

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/topology"
)

// BenchmarkDigest measures the message of an aggregator with the digest of its group by the number of busy engines.
func BenchmarkDigest(b *testing.B) {
	for _, engines := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s := State{Host: "host-1", Role: topology.Primary, Digests: []Digest{{Group: topology.GroupID{Region: "west"}, Hosts: 98, Loads: manyLoads(engines)}}}
			var message []byte
			for b.Loop() {
				var err error
				message, _, err = encodeBounded(&s, zerolog.Nop())
				require.NoError(b, err)
				_, err = decode(message)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(message)), "bytes")
		})
	}
}
