package home

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// closeTimeout bounds how long a failed submission waits for the sidecars to confirm which starts ran.
	closeTimeout = 2 * time.Second
	// cancelTimeout is the same for cancelled submissions. It is longer than a lease, so that a sidecar that has not
	// confirmed by then can no longer start a task either.
	cancelTimeout = 3500 * time.Millisecond
)

func (h *Handle) failOnDeadline() {
	h.fail(fault.New(fault.DeadlineExceeded, "the deadline passed before all tasks had ended"))
}

// fail ends the whole submission: tasks in the queue are removed, and those already sent are closed at their workers.
func (h *Handle) fail(cause error) {
	h.mu.Lock()
	defer h.unlock()

	if h.state != running {
		return
	}

	w := h.execution
	h.state, w.cause = closing, cause

	q := &h.table.queue
	q.mu.Lock()
	for i := range w.tasks {
		q.tasks.Remove(w.tasks[i].item)
	}
	q.mu.Unlock()

	var workers []*fleet.Worker

	for i := range w.tasks {
		if k := &w.tasks[i]; k.worker != nil && !slices.Contains(workers, k.worker) {
			workers = append(workers, k.worker)
		}
	}

	for _, worker := range workers {
		h.table.closes.add(w.ctx, worker, h)
	}

	if !h.tryFinishFailed(false) {
		w.timer.Stop()
		w.timer = time.AfterFunc(confirmationTimeout(cause), h.handleCloseTimeout)
	}
}

// confirmationTimeout returns how long a submission that failed for this cause waits for confirmations.
func confirmationTimeout(cause error) time.Duration {
	if fault.KindOf(cause) == fault.Cancelled {
		return cancelTimeout
	}

	return closeTimeout
}

// handleCloseTimeout ends a submission for which the sidecars have not confirmed in time what ran.
func (h *Handle) handleCloseTimeout() {
	h.mu.Lock()
	defer h.unlock()

	if h.state == closing {
		h.tryFinishFailed(true)
	}
}

// confirmClose handles the confirmation of a sidecar: of the starts sent to it, only those in started ran.
func (h *Handle) confirmClose(worker *fleet.Worker, started map[attemptKey]bool) {
	h.mu.Lock()
	defer h.unlock()

	if h.state != closing {
		return
	}

	w := h.execution

	for i := range w.tasks {
		if k := &w.tasks[i]; k.worker == worker && h.state == closing {
			h.resolveAttempt(k, started[attemptKey{k.index, k.attempt}])
		}
	}
}

// tryFinishFailed ends a failed submission if it is known what ran or if the confirmations timed out. It returns
// whether the submission ended. The caller holds mu.
func (h *Handle) tryFinishFailed(timedOut bool) bool {
	w := h.execution
	// A cancellation is answered only once the sidecars have confirmed that no further task starts. Other failures do
	// not wait for that if it is known that a task ran.
	if w.unresolvedStarts > 0 && !timedOut && (!w.hasRun || fault.KindOf(w.cause) == fault.Cancelled) {
		return false
	}

	ran := fault.RanNone

	switch {
	case w.hasRun:
		ran = fault.RanSome
	case w.unresolvedStarts > 0 || w.hasUnknownStart:
		ran = fault.RanUnknown
	}

	err := fault.WithRan(w.cause, ran)
	h.finish(fault.KindOf(err).Status(), fault.Marshal(err, h.id), err)

	return true
}
