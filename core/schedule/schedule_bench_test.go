package schedule

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures one choice by number of candidates, without and with
// predicted demand.
func BenchmarkPick(b *testing.B) {
	for _, predicted := range []bool{false, true} {
		for _, n := range []int{64, 190, 570} {
			b.Run(fmt.Sprintf("predicted=%t/candidates=%d", predicted, n), func(b *testing.B) {
				candidates := make([]Candidate, n)
				for i := range candidates {
					candidates[i] = Candidate{Index: i, Domain: "west-a", Region: []string{"a", "b", "c"}[i%3],
						Limit: 8, OwnInFlight: i % 4, ReportedInFlight: i % 60, Capacity: 64}
					if predicted {
						candidates[i].KVTokens, candidates[i].Headroom = 1e6, 2
						candidates[i].Share, candidates[i].Hosts = 0.02, 64
					}
				}
				seed := uint64(0)
				for b.Loop() {
					seed++
					if Pick(candidates, Request{Region: "a", PromptTokens: 400}, seed) < 0 {
						b.Fatal("no candidate")
					}
				}
			})
		}
	}
}
