package fleet

import (
	"sync"
	"time"
)

// Limits of the exponential back-off between probes of a suspect worker.
const (
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
)

// probeSchedule schedules the single tasks that a suspect worker receives.
type probeSchedule struct {
	mu sync.Mutex
	// nextAt is the time from which a probe may be sent; the zero time allows one at once.
	nextAt time.Time
	delay  time.Duration
	// inFlight is true from the start of a probe until its outcome.
	inFlight bool
}

func (p *probeSchedule) start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextAt = now.Add(minProbeDelay)
}

// ProbeDue reports whether a probe may be sent, and for how long it has been due.
func (w *Worker) ProbeDue(now time.Time) (overdue time.Duration, due bool) {
	if !w.Report().AcceptsProbe() {
		return 0, false
	}

	w.probe.mu.Lock()
	defer w.probe.mu.Unlock()

	if w.probe.inFlight || now.Before(w.probe.nextAt) {
		return 0, false
	}

	return now.Sub(w.probe.nextAt), true
}

// RecordProbeStart records that a probe was sent.
func (w *Worker) RecordProbeStart() {
	w.probe.mu.Lock()
	defer w.probe.mu.Unlock()
	w.probe.inFlight = true
}

// RecordProbeEnd records the outcome of a probe and sets the time of the next one.
func (w *Worker) RecordProbeEnd(now time.Time, success bool) {
	w.probe.mu.Lock()
	defer w.probe.mu.Unlock()
	w.probe.inFlight = false

	if success {
		w.probe.delay = 0
		w.probe.nextAt = now

		return
	}

	w.probe.delay = min(max(2*w.probe.delay, minProbeDelay), maxProbeDelay)
	w.probe.nextAt = now.Add(w.probe.delay)
}
