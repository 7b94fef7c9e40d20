package movebench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const seedCount = 3

// Guards against lost and late generations when an engine of a region is reclaimed on short
// notice every 3.3 s. Without migration they are lost; stopping them for the final copy
// delays their callers; resuming from the pre-copy hardly does.
func TestGenerationsOfReclaimedEngines(t *testing.T) {
	t.Log("| long generations/s | policy | generations | migrated | late | lost |")
	for _, load := range []float64{0.8, 1.6, 2.4} {
		results := map[Policy]Result{}
		for _, policy := range []Policy{NoMigration, StopForFinalCopy, ResumeFromPreCopy} {
			var sum Result
			for seed := range uint64(seedCount) {
				r := Simulate(policy, load, 60*time.Second, seed)
				sum = Result{Generations: sum.Generations + r.Generations, Migrated: sum.Migrated + r.Migrated, Late: sum.Late + r.Late, Lost: sum.Lost + r.Lost}
			}
			t.Logf("| %.1f | %s | %d | %d | %d | %d |", load, policy, sum.Generations, sum.Migrated, sum.Late, sum.Lost)
			results[policy] = sum
		}
		failed := func(p Policy) float64 {
			return float64(results[p].Late+results[p].Lost) / float64(results[p].Generations)
		}
		assert.Positive(t, results[ResumeFromPreCopy].Migrated)
		assert.Less(t, failed(StopForFinalCopy), failed(NoMigration), "load %v", load)
		assert.Less(t, failed(ResumeFromPreCopy), failed(StopForFinalCopy), "load %v", load)
		assert.Less(t, results[ResumeFromPreCopy].Lost, results[StopForFinalCopy].Lost, "load %v", load)
	}
}
