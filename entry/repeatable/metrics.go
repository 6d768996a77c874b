package repeatable

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Metrics counts jobs by priority and outcome.
type Metrics struct {
	registry gometrics.Registry
}

// NewMetrics returns metrics that are registered in a registry.
func NewMetrics(r gometrics.Registry) *Metrics { return &Metrics{r} }

// RegisterGauges registers the gauges that are read from the dispatcher whenever the metrics are written.
func (m *Metrics) RegisterGauges(d *Dispatcher) {
	for name, read := range map[string]func() int64{
		"sidecars_connected": func() int64 { return int64(len(d.sidecars)) },
		"jobs_in_flight":     func() int64 { return int64(len(d.activeJobs)) },
		"jobs_remembered":    func() int64 { return int64(d.ended.Len()) },
		"jobs_cancelled":     func() int64 { return int64(d.cancelled.known.Len()) },
		"run_ratio_labels":   func() int64 { return int64(d.runRatios.KnownLabels()) },
		"run_ratio_servers":  func() int64 { return int64(d.runRatios.KnownServers()) },
		"evacuated_domains":  func() int64 { return int64(d.evacuations.Value().Len()) },
		"evacuation_age_ms":  func() int64 { return d.evacuations.Age(uptime.Now()).Milliseconds() },
		"interference_pairs": func() int64 { return int64(d.interference.PairCount()) },
		"interference_kinds": func() int64 { return int64(d.interference.Kinds()) },
		"routes_version":     func() int64 { return int64(d.routes.Version()) },
		"routes_age_ms":      func() int64 { return d.routes.SinceConfirmation(uptime.Now()).Milliseconds() },
	} {
		gometrics.NewRegisteredFunctionalGauge(name, m.registry, func() int64 {
			d.mu.Lock()
			defer d.mu.Unlock()

			return read()
		})
	}
}

func (m *Metrics) recordOutcome(j job.Job, o job.Outcome, took time.Duration) {
	if m == nil {
		return
	}

	labels := []string{"priority", priorityLabel(j.Policy().Priority()), "outcome", outcomeLabel(o)}

	m.registry.GetOrRegister(metrics.Name("jobs_total", labels...), gometrics.NewCounter).(gometrics.Counter).Inc(1)
	m.registry.GetOrRegister(metrics.Name("job_seconds", labels...), func() gometrics.Histogram {
		return metrics.NewHistogram(metrics.Microseconds)
	}).(gometrics.Histogram).Update(took.Microseconds())
}

func priorityLabel(p int) string { return string(rune('0' + min(p, 9))) }

func outcomeLabel(o job.Outcome) string {
	switch o.(type) {
	case job.Completed:
		return "completed"
	case job.Failed:
		return "failed"
	case job.Refused:
		return "refused"
	case job.Cancelled:
		return "cancelled"
	default:
		return "broken"
	}
}
