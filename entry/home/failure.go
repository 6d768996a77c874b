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

	e := h.execution
	h.state, e.cause = closing, cause

	q := &h.table.queue
	q.mu.Lock()
	for i := range e.tasks {
		q.tasks.Remove(e.tasks[i].item)
	}
	q.mu.Unlock()

	var workers []*fleet.Worker

	for i := range e.tasks {
		if k := &e.tasks[i]; k.worker != nil && !slices.Contains(workers, k.worker) {
			workers = append(workers, k.worker)
		}
	}

	for _, worker := range workers {
		h.table.closes.add(e.ctx, worker, h)
	}

	if !h.tryFinishFailed(false) {
		e.timer.Stop()
		e.timer = time.AfterFunc(confirmationTimeout(cause), h.handleCloseTimeout)
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

	e := h.execution

	for i := range e.tasks {
		if k := &e.tasks[i]; k.worker == worker && h.state == closing {
			h.resolveAttempt(k, started[attemptKey{k.index, k.attempt}])
		}
	}
}

// tryFinishFailed ends a failed submission if it is known what ran or if the confirmations timed out. It returns
// whether the submission ended. The caller holds mu.
func (h *Handle) tryFinishFailed(timedOut bool) bool {
	e := h.execution
	// A cancellation is answered only once the sidecars have confirmed that no further task starts. Other failures do
	// not wait for that if it is known that a task ran.
	if e.unresolvedStarts > 0 && !timedOut && (!e.hasRun || fault.KindOf(e.cause) == fault.Cancelled) {
		return false
	}

	ran := fault.RanNone

	switch {
	case e.hasRun:
		ran = fault.RanSome
	case e.unresolvedStarts > 0 || e.hasUnknownStart:
		ran = fault.RanUnknown
	}

	err := fault.WithRan(e.cause, ran)
	h.finish(fault.KindOf(err).Status(), fault.Marshal(err, h.id), err)

	return true
}
