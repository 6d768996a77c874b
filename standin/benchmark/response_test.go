package benchmark_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/benchmark"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

func TestMain(m *testing.M) {
	code := m.Run()

	cluster.RemoveSharedPrograms()
	os.Exit(code)
}

// BenchmarkResponse reports the ratio of response time to the ideal response time at four loads. The targets: at 60 %
// of the capacity p50 is at most 1.1, p99 at most 1.5 and overhead at most 0.1 messages per task; at 120 % goodput is
// at least 95 % of the capacity.
func BenchmarkResponse(b *testing.B) {
	for _, c := range []struct {
		name                       string
		utilization                float64
		maxP50, maxP99, minGoodput float64
	}{
		{"30%", 0.3, 0, 0, 0},
		{"60%", 0.6, 1.1, 1.5, 0},
		{"90%", 0.9, 0, 0, 0},
		{"120%", 1.2, 0, 0, 0.95},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				measureResponse(b, c.utilization, c.maxP50, c.maxP99, c.minGoodput)
			}
		})
	}
}

func measureResponse(b *testing.B, utilization, maxP50, maxP99, minGoodput float64) {
	b.Helper()

	ctx, cancel := context.WithTimeout(b.Context(), benchmark.RunTimeout)
	defer cancel()

	s := scenario.Start(ctx, b, benchmark.EntryCount, benchmark.WorkerCount, []string{"fit", "stock", "order"},
		cluster.WithSetting("slots", benchmark.SlotsPerWorker))
	before, loadStart := s.Metrics(ctx), time.Now()
	report := s.StartLoad(ctx, benchmark.MixedLoad(utilization, 21)).Wait()
	after := s.Metrics(ctx)
	overhead := benchmark.OverheadMessages(before, after)
	starts := s.Starts(ctx)
	all := report.All()

	for _, kind := range []string{"fit", "stock", "order"} {
		k := report.Kind(kind)
		b.ReportMetric(k.ResponseRatio(50), kind+"-p50")
		b.ReportMetric(k.ResponseRatio(99), kind+"-p99")
	}

	b.ReportMetric(all.ResponseRatio(50), "p50")
	b.ReportMetric(all.ResponseRatio(99), "p99")
	b.ReportMetric(float64(all.Complete())/float64(all.Submitted()), "complete")

	// Goodput is measured after the first quarter of the time, when the queues have filled up.
	from, to := loadStart.Add(benchmark.LoadSeconds*time.Second/4), loadStart.Add(benchmark.LoadSeconds*time.Second)
	complete := map[string]bool{}

	for _, r := range s.History().Records() {
		complete[r.Ticket()] = r.Complete()
	}

	usefulTime := scenario.CoreTime(starts, from, to, func(s cluster.TaskStart) bool { return complete[s.Submission()] })
	goodput := usefulTime.Seconds() / to.Sub(from).Seconds() / (benchmark.WorkerCount * benchmark.SlotsPerWorker)
	overheadPerTask := overhead / float64(len(starts))

	for name, value := range after {
		if benchmark.IsOverheadMetric(name) && value > before[name] {
			b.Logf("%s: %.0f", name, value-before[name])
		}
	}

	b.ReportMetric(goodput, "goodput")
	b.ReportMetric(overheadPerTask, "wasted/task")
	b.Logf("refused: %v", all.Refused())

	if maxP50 > 0 && (all.ResponseRatio(50) > maxP50 || all.ResponseRatio(99) > maxP99) {
		b.Errorf("response time is %.2f (p50) and %.2f (p99) times the ideal, the targets are at most %.2f and %.2f",
			all.ResponseRatio(50), all.ResponseRatio(99), maxP50, maxP99)
	}

	if goodput < minGoodput {
		b.Errorf("goodput is %.3f of the capacity, the target is at least %.2f", goodput, minGoodput)
	}

	if maxP50 > 0 && overheadPerTask > 0.1 {
		b.Errorf("%.3f overhead messages per task, the target is at most 0.1", overheadPerTask)
	}
}
