package tasks

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// tableMetrics are the counters and histograms of a table.
type tableMetrics struct {
	accepted, queued, started, repeated, closed, completed, failed gometrics.Counter
	rejected                                                       map[wire.Rejection]gometrics.Counter
	// queueTime and runTime are in microseconds.
	queueTime, runTime *metrics.Histogram
}

func newTableMetrics(r gometrics.Registry) tableMetrics {
	c := tableMetrics{
		rejected:  map[wire.Rejection]gometrics.Counter{},
		queueTime: metrics.NewHistogram(metrics.Microseconds),
		runTime:   metrics.NewHistogram(metrics.Microseconds),
	}

	r.GetOrRegister("weir_sidecar_queue_wait_seconds", c.queueTime)
	r.GetOrRegister("weir_sidecar_run_seconds", c.runTime)

	for _, p := range []struct {
		name    string
		counter *gometrics.Counter
	}{
		{"weir_sidecar_tasks_accepted_total", &c.accepted},
		{"weir_sidecar_tasks_queued_total", &c.queued},
		{"weir_sidecar_tasks_started_total", &c.started},
		{"weir_sidecar_tasks_repeated_total", &c.repeated},
		{"weir_sidecar_tasks_completed_total", &c.completed},
		{"weir_sidecar_tasks_failed_total", &c.failed},
		{"weir_sidecar_submissions_closed_total", &c.closed},
	} {
		*p.counter = gometrics.GetOrRegisterCounter(p.name, r)
	}

	for number := range wire.Rejection_name {
		reason := wire.Rejection(number)
		name := metrics.Name("weir_sidecar_tasks_rejected_total", "reason", reasonName(reason))
		c.rejected[reason] = gometrics.GetOrRegisterCounter(name, r)
	}

	return c
}

// reasonName returns the name of a reason in logs and metrics: the enum value in lower case, without its prefix.
func reasonName(r wire.Rejection) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REJECTION_"))
}

func (c *tableMetrics) countOutcome(o Outcome) {
	if _, ok := o.(Completed); ok {
		c.completed.Inc(1)
		return
	}

	c.failed.Inc(1)
}

func (c *tableMetrics) countRejection(reason wire.Rejection) { c.rejected[reason].Inc(1) }
