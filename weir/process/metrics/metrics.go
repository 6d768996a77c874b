// Package metrics writes a go-metrics registry in the Prometheus text format.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// contentType is the media type of version 0.0.4 of the text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

var (
	quantiles    = []float64{0.5, 0.9, 0.99, 0.999}
	labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
)

// Name returns the registry name of a metric with labels, which are passed as alternating names and values.
func Name(base string, labels ...string) string {
	if len(labels) < 2 {
		return base
	}

	var b strings.Builder
	b.WriteString(base)

	separator := byte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteByte(separator)
		b.WriteString(labels[i] + `="` + labelEscaper.Replace(labels[i+1]) + `"`)

		separator = ','
	}

	b.WriteByte('}')

	return b.String()
}

// Handler returns a handler that serves the registry in the text format.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_ = Write(w, r)
	})
}

// Write writes all metrics sorted by name, so that metrics that differ only in labels are adjacent. Timers are written
// in seconds; a meter is written as its count, since scrapers compute rates themselves.
func Write(w io.Writer, r gometrics.Registry) error {
	byName := map[string]any{}
	names := []string{}

	r.Each(func(name string, metric any) {
		byName[name] = metric
		names = append(names, name)
	})
	slices.SortFunc(names, compareNames)

	b := &writer{Writer: bufio.NewWriter(w)}
	for _, n := range names {
		b.writeMetric(n, byName[n])
	}

	return b.Flush()
}

// compareNames compares the base names first, because '{' sorts after letters: a longer base name would otherwise
// separate metrics that differ only in labels.
func compareNames(a, b string) int {
	baseA, labelsA := split(a)
	baseB, labelsB := split(b)

	if c := strings.Compare(baseA, baseB); c != 0 {
		return c
	}

	return strings.Compare(labelsA, labelsB)
}

type writer struct {
	*bufio.Writer
	// lastBase is the base name of the latest type line.
	lastBase string
}

func (w *writer) writeMetric(name string, metric any) {
	base, labels := split(name)

	switch m := metric.(type) {
	case *Histogram:
		s := m.Snapshot()
		w.writeSummary(base, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), m.divisor)
	case gometrics.Counter:
		w.writeType(base, "counter")
		w.writeSample(base, labels, float64(m.Count()))
	case gometrics.Gauge:
		w.writeType(base, "gauge")
		w.writeSample(base, labels, float64(m.Value()))
	case gometrics.GaugeFloat64:
		w.writeType(base, "gauge")
		w.writeSample(base, labels, m.Value())
	case gometrics.Meter:
		w.writeType(base, "counter")
		w.writeSample(base, labels, float64(m.Snapshot().Count()))
	case gometrics.Histogram:
		s := m.Snapshot()
		w.writeSummary(base, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case gometrics.Timer:
		s := m.Snapshot()
		w.writeSummary(base, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1e9)
	}
}

func (w *writer) writeSummary(base, labels string, values []float64, sum float64, count int64, unit float64) {
	w.writeType(base, "summary")

	for i, q := range quantiles {
		quantile := `quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"`
		if labels != "" {
			quantile = labels + "," + quantile
		}

		w.writeSample(base, quantile, values[i]/unit)
	}

	w.writeSample(base+"_sum", labels, sum/unit)
	w.writeSample(base+"_count", labels, float64(count))
}

func (w *writer) writeType(base, kind string) {
	if w.lastBase == base {
		return
	}

	w.lastBase = base
	fmt.Fprintf(w, "# TYPE %s %s\n", base, kind)
}

func (w *writer) writeSample(name, labels string, value float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}

	text := strconv.FormatFloat(value, 'g', -1, 64)
	if math.IsInf(value, 1) {
		text = "+Inf"
	}

	fmt.Fprintf(w, "%s %s\n", name, text)
}

// split returns the base name, in which characters that the text format does not allow are replaced, and the labels
// without braces.
func split(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")

	return strings.Map(sanitize, base), strings.TrimSuffix(labels, "}")
}

func sanitize(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == ':':
		return r
	default:
		return '_'
	}
}
