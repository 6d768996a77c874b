package home

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Parameters of the histograms' samples; the library's documentation recommends them for recent values.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters holds the metrics of a table.
type meters struct {
	registry metrics.Registry
	starts   metrics.Counter
	retries  metrics.Counter
	// waits is the time in the wait queue in microseconds.
	waits metrics.Histogram
	// ratio is the response time of a task in thousandths of its run time.
	ratio metrics.Histogram
}

func (t *Table) meters() *meters {
	t.metricsOnce.Do(func() {
		r := t.registry
		if r == nil {
			r = metrics.NewRegistry()
		}

		t.measured = &meters{
			registry: r,
			starts:   metrics.GetOrRegisterCounter("starts", r),
			retries:  metrics.GetOrRegisterCounter("retries", r),
			waits:    metrics.GetOrRegisterHistogram("wait_us", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
			ratio:    metrics.GetOrRegisterHistogram("response_permille", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		}

		r.GetOrRegister("queue.tasks", metrics.NewFunctionalGauge(t.queued))
		r.GetOrRegister("submissions.held", metrics.NewFunctionalGauge(t.count.Load))
		r.GetOrRegister("submissions.in_flight", metrics.NewFunctionalGauge(t.inflight.Load))
		r.GetOrRegister("answers.bytes", metrics.NewFunctionalGauge(t.memory.bytes))
	})

	return t.measured
}

func (m *meters) start() { m.starts.Inc(1) }

func (m *meters) retry() { m.retries.Inc(1) }

func (m *meters) reject(reason string) {
	metrics.GetOrRegisterCounter("rejects."+reason, m.registry).Inc(1)
}

func (m *meters) refused(err error) {
	metrics.GetOrRegisterCounter("refusals."+fault.KindOf(err).Code(), m.registry).Inc(1)
}

func (m *meters) ended(cause error) {
	outcome := "complete"
	if cause != nil {
		outcome = fault.KindOf(cause).Code()
	}

	metrics.GetOrRegisterCounter("ended."+outcome, m.registry).Inc(1)
}

func (m *meters) waited(d time.Duration) { m.waits.Update(d.Microseconds()) }

func (m *meters) completed(response, run time.Duration) {
	if run > 0 {
		m.ratio.Update(int64(response) * 1000 / int64(run))
	}
}

// kinds registers a gauge of the waiting tasks of each kind.
func (m *meters) kinds(t *Table, r *rules) {
	for name := range r.kinds {
		m.registry.GetOrRegister("queue.tasks."+name, metrics.NewFunctionalGauge(func() int64 { return t.queuedOf(name) }))
	}
}

func (t *Table) queued() int64 {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	return int64(t.queue.tasks.Tasks())
}

func (t *Table) queuedOf(kind string) int64 {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	return int64(t.queue.tasks.TasksOf(kind))
}

func (m *memory) bytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.used
}
