package policybench

import (
	"os"
	"runtime"
	"testing"
)

func BenchmarkPolicy(b *testing.B) {
	for b.Loop() {
		cells := measure(scenarios, []float64{0.7, 1.0, 1.3}, 5, max(runtime.GOMAXPROCS(0)/2, 1))
		if err := writeTables(os.Stdout, cells); err != nil {
			b.Fatal(err)
		}
	}
}
