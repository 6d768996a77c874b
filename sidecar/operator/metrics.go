package operator

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const prefix = "skylarkweir_sidecar_"

var unfit = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// writeMetrics writes a registry as lines of name and value, sorted by name.
func writeMetrics(w io.Writer, r metrics.Registry) {
	var lines []string

	r.Each(func(name string, m any) {
		name = prefix + unfit.ReplaceAllString(name, "_")

		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()), fmt.Sprintf("%s_sum %d", name, s.Sum()))

			for _, q := range []float64{0.5, 0.9, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, q, s.Percentile(q)))
			}
		}
	})

	slices.Sort(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}
