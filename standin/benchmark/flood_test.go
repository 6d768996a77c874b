package benchmark_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/benchmark"
	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// serviceFile gives half of the fleet to the urgent kind stock, and the rest to the kinds quote and batch.
const serviceFile = `{
	"service": "service",
	"kinds": [
		{"name": "stock", "share_percent": 50, "urgent": true, "max_cores": 1},
		{"name": "quote", "share_percent": 30, "urgent": false, "max_cores": 1},
		{"name": "batch", "share_percent": 20, "urgent": false, "max_cores": 1},
	],
}`

// BenchmarkFlood offers three times the fleet's capacity in the least urgent kind, and then in the most urgent one. The
// targets: the other kinds, which stay within their shares, complete at least 95 % of the work that they complete
// without a flood, and the p99 response time of the urgent kind is at most 1.5 times that without a flood.
func BenchmarkFlood(b *testing.B) {
	for range b.N {
		baseline := runFlood(b, "")
		leastUrgent := runFlood(b, "batch")
		mostUrgent := runFlood(b, "stock")

		compareKind(b, "least", "stock", baseline, leastUrgent)
		compareKind(b, "least", "quote", baseline, leastUrgent)
		compareKind(b, "most", "quote", baseline, mostUrgent)
		compareKind(b, "most", "batch", baseline, mostUrgent)

		if slowdown := float64(leastUrgent.Kind("stock").ResponseTime(99)) /
			float64(baseline.Kind("stock").ResponseTime(99)); slowdown > 1.5 {
			b.Errorf("urgent p99 response time is %.2f times that without a flood, the target is at most 1.5", slowdown)
		}
	}
}

// compareKind reports the work and the response time of a kind during a flood as ratios to those without a flood.
func compareKind(b *testing.B, flood, kind string, baseline, flooded *caller.Report) {
	b.Helper()

	keptShare := flooded.Kind(kind).CoreTime().Seconds() / baseline.Kind(kind).CoreTime().Seconds()
	b.ReportMetric(keptShare, flood+"-"+kind+"-kept")
	b.ReportMetric(
		float64(flooded.Kind(kind).ResponseTime(50))/float64(baseline.Kind(kind).ResponseTime(50)), flood+"-"+kind+"-p50")
	b.ReportMetric(
		float64(flooded.Kind(kind).ResponseTime(99))/float64(baseline.Kind(kind).ResponseTime(99)), flood+"-"+kind+"-p99")

	if keptShare < 0.95 {
		b.Errorf("in a flood of the %s urgent kind, %s completes %.3f of its usual work, the target is at least 0.95",
			flood, kind, keptShare)
	}
}

// runFlood runs every kind at 90 % of its share. If floodedKind is not empty, that kind offers three times the fleet's
// capacity instead.
func runFlood(b *testing.B, floodedKind string) *caller.Report {
	b.Helper()

	ctx, cancel := context.WithTimeout(b.Context(), benchmark.RunTimeout)
	defer cancel()

	s := scenario.Start(ctx, b, benchmark.EntryCount, benchmark.WorkerCount, []string{"stock"},
		cluster.WithSetting("slots", benchmark.SlotsPerWorker))
	directory := filepath.Join(s.Cluster().Directory(), "agreement")

	if err := os.WriteFile(filepath.Join(directory, "service.weir.jsonc"), []byte(serviceFile), 0o600); err != nil {
		b.Fatal(err)
	}

	s.Publish(ctx, directory)
	s.Sleep(ctx, 2*time.Second)

	loads := []*scenario.Load{}
	for _, k := range benchmark.FloodKinds() {
		if k != floodedKind {
			loads = append(loads, s.StartLoad(ctx, benchmark.LoadBelowShare(k)))
		}
	}

	if floodedKind != "" {
		loads = append(loads, s.StartLoad(ctx, benchmark.FloodLoad(floodedKind)))
	}

	total := caller.NewReport()

	for _, l := range loads {
		l.Wait()
	}

	for _, r := range s.History().Records() {
		total.Add(r)
	}

	for _, k := range benchmark.FloodKinds() {
		b.Logf("flood of %q: %s: %d of %d submissions complete, p99 %s, refused: %v", floodedKind, k,
			total.Kind(k).Complete(), total.Kind(k).Submitted(), total.Kind(k).ResponseTime(99), total.Kind(k).Refused())
	}

	return total
}
