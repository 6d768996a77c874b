package metrics_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// Guards against output that a scraper rejects or misreads: a repeated type line, unescaped labels, a wrong unit.
func TestWrite(t *testing.T) {
	is := is.New(t)
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter(metrics.Name("weir_refused_total", "kind", "a\"b\n", "code", "x"), r).Inc(2)
	gometrics.GetOrRegisterCounter(metrics.Name("weir_refused_total", "kind", "z", "code", "x"), r).Inc(1)
	gometrics.GetOrRegisterCounter("weir_refused_total_2", r).Inc(1)
	gometrics.GetOrRegisterGauge("weir.open-files", r).Update(7)
	gometrics.GetOrRegisterTimer(metrics.Name("weir_seconds", "path", "x"), r).Update(1500 * time.Millisecond)
	is.NoErr(r.Register("weir_bytes_total", metrics.FunctionalCounter(func() int64 { return 9 })))

	h := metrics.NewHistogram(metrics.Thousandths)
	h.Update(2500)
	is.NoErr(r.Register("weir_ratio", h))

	var b strings.Builder
	is.NoErr(metrics.Write(&b, r))
	is.Equal(b.String(), `# TYPE weir_bytes_total counter
weir_bytes_total 9
# TYPE weir_open_files gauge
weir_open_files 7
# TYPE weir_ratio summary
weir_ratio{quantile="0.5"} 2.5
weir_ratio{quantile="0.9"} 2.5
weir_ratio{quantile="0.99"} 2.5
weir_ratio{quantile="0.999"} 2.5
weir_ratio_sum 2.5
weir_ratio_count 1
# TYPE weir_refused_total counter
weir_refused_total{kind="a\"b\n",code="x"} 2
weir_refused_total{kind="z",code="x"} 1
# TYPE weir_refused_total_2 counter
weir_refused_total_2 1
# TYPE weir_seconds summary
weir_seconds{path="x",quantile="0.5"} 1.5
weir_seconds{path="x",quantile="0.9"} 1.5
weir_seconds{path="x",quantile="0.99"} 1.5
weir_seconds{path="x",quantile="0.999"} 1.5
weir_seconds_sum{path="x"} 1.5
weir_seconds_count{path="x"} 1
`)
}
