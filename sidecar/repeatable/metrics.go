package repeatable

import (
	"context"
	"errors"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// Metrics counts tasks and measures their run times, by result.
type Metrics struct {
	registry gometrics.Registry
}

// NewMetrics returns metrics that are registered in r.
func NewMetrics(r gometrics.Registry) *Metrics { return &Metrics{r} }

func (m *Metrics) recordTask(r wire.Result, run time.Duration) {
	if m == nil {
		return
	}

	result := strings.ToLower(strings.TrimPrefix(r.String(), "RESULT_"))

	m.registry.GetOrRegister(metrics.Name("tasks_total", "result", result), gometrics.NewCounter).(gometrics.Counter).Inc(1)
	m.registry.GetOrRegister(metrics.Name("task_seconds", "result", result), func() gometrics.Histogram {
		return metrics.NewHistogram(metrics.Microseconds)
	}).(gometrics.Histogram).Update(run.Microseconds())
}

// recordAnnouncement counts an announcement by its result.
func (m *Metrics) recordAnnouncement(r succession.Result) {
	m.count("announcements_total", "result", r.String())
}

// RecordInvalidAnnouncement counts an announcement that names no backend server to use, by the reason, which is one of few.
func (w *Worker) RecordInvalidAnnouncement(reason string) {
	w.metrics.count("announcements_invalid_total", "reason", reason)
}

// count increments a counter with a label.
func (m *Metrics) count(name, label, value string) {
	if m == nil {
		return
	}

	m.registry.GetOrRegister(metrics.Name(name, label, value), gometrics.NewCounter).(gometrics.Counter).Inc(1)
}

// recordTry counts a try of a call by its result, which is answered if the try has not failed. A try that this process
// has broken off is not counted.
func (m *Metrics) recordTry(name, answered string, err error) {
	if m == nil || errors.Is(err, context.Canceled) {
		return
	}

	result := answered

	switch {
	case errors.Is(err, ErrNotReached):
		result = "undelivered"
	case errors.Is(err, ErrOtherInstance):
		result = "other_instance"
	case err != nil:
		result = "unanswered"
	}

	m.registry.GetOrRegister(metrics.Name(name, "result", result), gometrics.NewCounter).(gometrics.Counter).Inc(1)
}

// recordWatch counts a call that renews the lease and lists the runs by its result.
func (m *Metrics) recordWatch(result WatchResult, err error) {
	answered := "listed"
	if result.fenced {
		answered = "fenced"
	}

	m.recordTry("watch_tries_total", answered, err)
}

// registerGauges registers the gauges of the worker, which are read when the metrics are written.
func (w *Worker) registerGauges(r gometrics.Registry) {
	for name, read := range map[string]func() int64{
		"room_capacity_millicores": func() int64 { return w.pool.Capacity().Millicores() },
		"room_free_millicores":     func() int64 { return w.free().Millicores() },
		"cold_left_ms":             func() int64 { return w.warmUp.ramp.Left(uptime.Now()).Milliseconds() },
		"room_usable_permille":     func() int64 { return int64(w.usablePermille()) },
		"tasks_running":            func() int64 { return int64(len(w.tasks)) },
		"tasks_fate_unknown":       func() int64 { return int64(len(w.unknownFates())) },
		"tasks_fate_unknown_ms":    func() int64 { return w.longestUnknownFate(uptime.Now()).Milliseconds() },
		"entries_connected":        func() int64 { return int64(len(w.sessions)) },
		"evacuated":                func() int64 { return boolGauge(w.isEvacuated()) },
		"evacuated_domains":        func() int64 { return int64(w.evacuations.Value().Len()) },
		"evacuation_age_ms":        func() int64 { return w.evacuations.Age(uptime.Now()).Milliseconds() },
		"routes_version":           func() int64 { return int64(w.routes.Version()) },
	} {
		gometrics.NewRegisteredFunctionalGauge(name, r, func() int64 {
			w.mu.Lock()
			defer w.mu.Unlock()

			return read()
		})
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}

	return 0
}
