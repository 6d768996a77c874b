package home

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// meters holds the metrics of a table.
type meters struct {
	registry gometrics.Registry
	starts   gometrics.Counter
	retries  gometrics.Counter
	// waits is the time in the wait queue in microseconds.
	waits *metrics.Histogram
	// ratio is the response time of a task in thousandths of its run time.
	ratio *metrics.Histogram
}

func (t *Table) meters() *meters {
	t.metricsOnce.Do(func() {
		r := t.registry
		if r == nil {
			r = gometrics.NewRegistry()
		}

		t.measured = &meters{
			registry: r,
			starts:   gometrics.GetOrRegisterCounter("weir_entry_starts_total", r),
			retries:  gometrics.GetOrRegisterCounter("weir_entry_retries_total", r),
			waits:    metrics.NewHistogram(metrics.Microseconds),
			ratio:    metrics.NewHistogram(metrics.Thousandths),
		}

		r.GetOrRegister("weir_entry_queue_wait_seconds", t.measured.waits)
		r.GetOrRegister("weir_entry_response_ratio", t.measured.ratio)
		r.GetOrRegister("weir_entry_queue_tasks", gometrics.NewFunctionalGauge(t.queued))
		r.GetOrRegister("weir_entry_submissions_held", gometrics.NewFunctionalGauge(t.count.Load))
		r.GetOrRegister("weir_entry_submissions_in_flight", gometrics.NewFunctionalGauge(t.inflight.Load))
		r.GetOrRegister("weir_entry_answer_memory_bytes", gometrics.NewFunctionalGauge(t.memory.bytes))
	})

	return t.measured
}

// count returns a counter of a family that differs in one label.
func (m *meters) count(name, label, value string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(metrics.Name(name, label, value), m.registry)
}

func (m *meters) start() { m.starts.Inc(1) }

func (m *meters) retry() { m.retries.Inc(1) }

func (m *meters) reject(reason string) {
	m.count("weir_entry_rejects_total", "reason", reason).Inc(1)
}

func (m *meters) refused(err error) {
	m.count("weir_entry_refusals_total", "code", fault.KindOf(err).Code()).Inc(1)
}

func (m *meters) ended(cause error) {
	outcome := "complete"
	if cause != nil {
		outcome = fault.KindOf(cause).Code()
	}

	m.count("weir_entry_submissions_ended_total", "outcome", outcome).Inc(1)
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
		m.registry.GetOrRegister(metrics.Name("weir_entry_kind_queue_tasks", "kind", name),
			gometrics.NewFunctionalGauge(func() int64 { return t.queuedOf(name) }))
	}
}

func (t *Table) queued() int64 {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	return int64(t.queue.tasks.WaitingTasks())
}

func (t *Table) queuedOf(kind string) int64 {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	return int64(t.queue.tasks.WaitingTasksOfKind(kind))
}

func (m *memory) bytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.used
}
