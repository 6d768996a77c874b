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

// service gives urgent stock checks half of the fleet, quotes and price batches the rest.
const service = `{
	"service": "service",
	"kinds": [
		{"name": "stock", "share_percent": 50, "urgent": true, "max_cores": 1},
		{"name": "quote", "share_percent": 30, "urgent": false, "max_cores": 1},
		{"name": "batch", "share_percent": 20, "urgent": false, "max_cores": 1},
	],
}`

// BenchmarkFlood floods the least urgent kind, and then the most urgent one, with three times the fleet's capacity. The
// targets: the other kinds keep at least 95 % of what they ask for within their shares, and urgent response time stays
// within 1.5 of that without a flood.
func BenchmarkFlood(b *testing.B) {
	for range b.N {
		calm := flood(b, "")
		least := flood(b, "batch")
		most := flood(b, "stock")

		report(b, "least", "stock", calm, least)
		report(b, "least", "quote", calm, least)
		report(b, "most", "quote", calm, most)
		report(b, "most", "batch", calm, most)

		if slow := float64(least.Kind("stock").Response(99)) / float64(calm.Kind("stock").Response(99)); slow > 1.5 {
			b.Errorf("urgent p99 is %.2f of that without a flood, the target is 1.5", slow)
		}
	}
}

// report compares what a kind got in a flood with what it got without.
func report(b *testing.B, name, kind string, calm, flooded *caller.Report) {
	b.Helper()

	kept := flooded.Kind(kind).Work().Seconds() / calm.Kind(kind).Work().Seconds()
	b.ReportMetric(kept, name+"-"+kind+"-kept")
	b.ReportMetric(float64(flooded.Kind(kind).Response(50))/float64(calm.Kind(kind).Response(50)), name+"-"+kind+"-p50")
	b.ReportMetric(float64(flooded.Kind(kind).Response(99))/float64(calm.Kind(kind).Response(99)), name+"-"+kind+"-p99")

	if kept < 0.95 {
		b.Errorf("in a flood of the %s urgent kind, %s keeps %.3f of its share, the target is 0.95", name, kind, kept)
	}
}

// flood runs every kind a tenth below its share, and the flooded one at three times the capacity besides.
func flood(b *testing.B, kind string) *caller.Report {
	b.Helper()

	ctx, cancel := context.WithTimeout(b.Context(), benchmark.Limit)
	defer cancel()

	s := scenario.Start(ctx, b, benchmark.Entries, benchmark.Workers, []string{"stock"}, cluster.With("slots", benchmark.Slots))
	directory := filepath.Join(s.Cluster().Directory(), "agreement")

	if err := os.WriteFile(filepath.Join(directory, "service.weir.jsonc"), []byte(service), 0o600); err != nil {
		b.Fatal(err)
	}

	s.Publish(ctx, directory)
	s.Pause(ctx, 2*time.Second)

	loads := []*scenario.Load{}
	for _, k := range benchmark.Kinds() {
		if k != kind {
			loads = append(loads, s.Begin(ctx, benchmark.Below(k)))
		}
	}

	if kind != "" {
		loads = append(loads, s.Begin(ctx, benchmark.Flood(kind)))
	}

	sum := caller.NewReport()

	for _, l := range loads {
		l.Wait()
	}

	for _, r := range s.History().Records() {
		sum.Add(r)
	}

	for _, k := range benchmark.Kinds() {
		b.Logf("flood of %q: %s complete %d of %d, p99 %s, refused %v", kind, k, sum.Kind(k).Complete(), sum.Kind(k).Submitted(),
			sum.Kind(k).Response(99), sum.Kind(k).Refused())
	}

	return sum
}
