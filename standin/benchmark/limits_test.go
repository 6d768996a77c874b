package benchmark_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/skylarkweir/skylarkweir/standin/benchmark"
)

// BenchmarkLimits compares the split of a member's limit over workers with the split over entries, for a member that
// always has waiting tasks. It reports the average and the peak of the used part of the limit.
func BenchmarkLimits(b *testing.B) {
	const seed = 20261204

	for _, serving := range []int{4, 1} {
		for _, method := range []string{benchmark.SplitOverWorkers, benchmark.SplitOverEntries} {
			b.Run(fmt.Sprintf("split=%s/serving=%d", method, serving), func(b *testing.B) {
				b.Log("seed", seed)

				for range b.N {
					used, peak := benchmark.SimulateLimit(method, serving, rand.New(rand.NewPCG(seed, 1)))
					b.ReportMetric(used, "used")
					b.ReportMetric(peak, "peak")
				}
			})
		}
	}
}
