package fleet

import (
	"sync"
	"time"
)

// Bounds of the back-off between probes of a suspect.
const (
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
)

// probe schedules the single tasks that a suspect receives.
type probeSchedule struct {
	mu sync.Mutex
	// next is when a probe may be sent; the zero time means now.
	next  time.Time
	delay time.Duration
	// running is true while a probe has no outcome.
	running bool
}

func (p *probeSchedule) start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = now.Add(minProbeDelay)
}

// ProbeDue tells whether a probe may be sent, and for how long that has been so.
func (w *Worker) ProbeDue(now time.Time) (overdue time.Duration, due bool) {
	if !w.Report().AcceptsProbe() {
		return 0, false
	}

	w.probe.mu.Lock()
	defer w.probe.mu.Unlock()

	if w.probe.running || now.Before(w.probe.next) {
		return 0, false
	}

	return now.Sub(w.probe.next), true
}

// ProbeStarted notes that a probe was sent.
func (w *Worker) RecordProbeStart() {
	w.probe.mu.Lock()
	defer w.probe.mu.Unlock()
	w.probe.running = true
}

// ProbeEnded notes the outcome of a probe and sets the time of the next one.
func (w *Worker) RecordProbeEnd(now time.Time, success bool) {
	w.probe.mu.Lock()
	defer w.probe.mu.Unlock()
	w.probe.running = false

	if success {
		w.probe.delay = 0
		w.probe.next = now

		return
	}

	w.probe.delay = min(max(2*w.probe.delay, minProbeDelay), maxProbeDelay)
	w.probe.next = now.Add(w.probe.delay)
}
