package home

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// tableMetrics holds the metrics of a table.
type tableMetrics struct {
	registry gometrics.Registry
	starts   gometrics.Counter
	retries  gometrics.Counter
	// queueWaits holds the times in the wait queue in microseconds.
	queueWaits *metrics.Histogram
	// responseRatio holds the response times of tasks in thousandths of their run times.
	responseRatio *metrics.Histogram
}

func (t *Table) metrics() *tableMetrics {
	t.metricsOnce.Do(func() {
		r := t.registry
		if r == nil {
			r = gometrics.NewRegistry()
		}

		t.cachedMetrics = &tableMetrics{
			registry:      r,
			starts:        gometrics.GetOrRegisterCounter("weir_entry_starts_total", r),
			retries:       gometrics.GetOrRegisterCounter("weir_entry_retries_total", r),
			queueWaits:    metrics.NewHistogram(metrics.Microseconds),
			responseRatio: metrics.NewHistogram(metrics.Thousandths),
		}

		r.GetOrRegister("weir_entry_queue_wait_seconds", t.cachedMetrics.queueWaits)
		r.GetOrRegister("weir_entry_response_ratio", t.cachedMetrics.responseRatio)
		r.GetOrRegister("weir_entry_queue_tasks", gometrics.NewFunctionalGauge(t.waitingTasks))
		r.GetOrRegister("weir_entry_submissions_held", gometrics.NewFunctionalGauge(t.count.Load))
		r.GetOrRegister("weir_entry_submissions_in_flight", gometrics.NewFunctionalGauge(t.inflight.Load))
		r.GetOrRegister("weir_entry_answer_memory_bytes", gometrics.NewFunctionalGauge(t.answerMemory.bytesInUse))
	})

	return t.cachedMetrics
}

// labelledCounter returns the counter of the metric that has this value of the label.
func (m *tableMetrics) labelledCounter(name, label, value string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(metrics.Name(name, label, value), m.registry)
}

func (m *tableMetrics) countStart() { m.starts.Inc(1) }

func (m *tableMetrics) countRetry() { m.retries.Inc(1) }

func (m *tableMetrics) countRejection(reason string) {
	m.labelledCounter("weir_entry_rejects_total", "reason", reason).Inc(1)
}

func (m *tableMetrics) countRefusal(err error) {
	m.labelledCounter("weir_entry_refusals_total", "code", fault.KindOf(err).Code()).Inc(1)
}

func (m *tableMetrics) countEnd(cause error) {
	outcome := "complete"
	if cause != nil {
		outcome = fault.KindOf(cause).Code()
	}

	m.labelledCounter("weir_entry_submissions_ended_total", "outcome", outcome).Inc(1)
}

func (m *tableMetrics) observeQueueWait(d time.Duration) { m.queueWaits.Update(d.Microseconds()) }

func (m *tableMetrics) observeCompletion(responseTime, runTime time.Duration) {
	if runTime > 0 {
		m.responseRatio.Update(int64(responseTime) * 1000 / int64(runTime))
	}
}

// registerKindGauges registers a gauge of the waiting tasks for each kind.
func (m *tableMetrics) registerKindGauges(t *Table, r *rules) {
	for name := range r.kinds {
		m.registry.GetOrRegister(metrics.Name("weir_entry_kind_queue_tasks", "kind", name),
			gometrics.NewFunctionalGauge(func() int64 { return t.waitingTasksOfKind(name) }))
	}
}

func (t *Table) waitingTasks() int64 {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	return int64(t.queue.tasks.WaitingTasks())
}

func (t *Table) waitingTasksOfKind(kind string) int64 {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	return int64(t.queue.tasks.WaitingTasksOfKind(kind))
}

func (m *memoryAccount) bytesInUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.usedBytes
}
