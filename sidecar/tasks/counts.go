package tasks

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// counts are the counters of a table.
type counts struct {
	accepted, queued, started, repeated, closed, completed, failed gometrics.Counter
	rejected                                                       map[wire.Rejection]gometrics.Counter
	// waited and ran are times in microseconds.
	waited, ran *metrics.Histogram
}

func newCounts(r gometrics.Registry) counts {
	c := counts{
		rejected: map[wire.Rejection]gometrics.Counter{},
		waited:   metrics.NewHistogram(metrics.Microseconds),
		ran:      metrics.NewHistogram(metrics.Microseconds),
	}

	r.GetOrRegister("weir_sidecar_queue_wait_seconds", c.waited)
	r.GetOrRegister("weir_sidecar_run_seconds", c.ran)

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

// reasonName returns the name of a reason in logs and metrics.
func reasonName(r wire.Rejection) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REJECTION_"))
}

func (c *counts) end(o Outcome) {
	if _, ok := o.(Completed); ok {
		c.completed.Inc(1)
		return
	}

	c.failed.Inc(1)
}

func (c *counts) reject(reason wire.Rejection) { c.rejected[reason].Inc(1) }
