package tasks

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// counts are the counters of a table.
type counts struct {
	accepted, queued, started, repeated, closed, completed, failed metrics.Counter
	rejected                                                       map[wire.Rejection]metrics.Counter
	// waited and ran are times in microseconds.
	waited, ran metrics.Histogram
}

func newCounts(r metrics.Registry) counts {
	// The sample favours the last five minutes.
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(1028, 0.015) }

	c := counts{
		rejected: map[wire.Rejection]metrics.Counter{},
		waited:   metrics.GetOrRegisterHistogram("tasks.queued_us", r, sample()),
		ran:      metrics.GetOrRegisterHistogram("tasks.run_us", r, sample()),
	}

	for _, p := range []struct {
		name    string
		counter *metrics.Counter
	}{
		{"tasks.accepted", &c.accepted},
		{"tasks.queued", &c.queued},
		{"tasks.started", &c.started},
		{"tasks.repeated", &c.repeated},
		{"tasks.completed", &c.completed},
		{"tasks.failed", &c.failed},
		{"submissions.closed", &c.closed},
	} {
		*p.counter = metrics.GetOrRegisterCounter(p.name, r)
	}

	for number := range wire.Rejection_name {
		reason := wire.Rejection(number)
		c.rejected[reason] = metrics.GetOrRegisterCounter("tasks.rejected."+reasonName(reason), r)
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
