package jobplacement_test

import (
	"testing"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// BenchmarkChoose compares a plan for 8 tasks at 70 servers without and with known run ratios.
func BenchmarkChoose(b *testing.B) {
	for name, uneven := range map[string]bool{"uniform": false, "uneven": true} {
		b.Run(name, func(b *testing.B) {
			source := random()
			d := newDemand(8, job.Constraints{}).WithObjective(500 * time.Millisecond)

			for b.Loop() {
				servers := make([]jobplacement.Server, 0, 70)

				for id := range uint64(70) {
					s := newServer(id, int64(id%4), 2, 1)
					if uneven {
						s = s.WithRunRatio(0.5 + float64(id%2))
					}

					servers = append(servers, s)
				}

				jobplacement.Choose(d, servers, source)
			}
		})
	}
}
