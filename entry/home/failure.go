package home

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// closeWait bounds how long a failed submission waits for sidecars to confirm what ran.
	closeTimeout = 2 * time.Second
	// cancelWait is longer than a lease, so that a sidecar that has not confirmed by then cannot start a task either.
	cancelTimeout = 3500 * time.Millisecond
)

func (h *Handle) failOnDeadline() {
	h.fail(fault.New(fault.DeadlineExceeded, "the deadline passed before all tasks had ended"))
}

// fail ends the submission as a whole: queued tasks are dropped and sent ones are closed.
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

// waitFor returns how long a failed submission waits for confirmations.
func confirmationTimeout(cause error) time.Duration {
	if fault.KindOf(cause) == fault.Cancelled {
		return cancelTimeout
	}

	return closeTimeout
}

// giveUp ends a submission for which the sidecars did not confirm in time what ran.
func (h *Handle) handleCloseTimeout() {
	h.mu.Lock()
	defer h.unlock()

	if h.state == closing {
		h.tryFinishFailed(true)
	}
}

// closed takes a sidecar's confirmation: of the starts handed to it, only those in started ran.
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

// settle ends a failed submission once it is known what ran, or if the wait is over. The caller holds mu.
func (h *Handle) tryFinishFailed(timedOut bool) bool {
	w := h.execution
	// A cancellation is answered only when the sidecars have confirmed that no task starts any more. Other failures do
	// not wait for that once it is known that a task ran.
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
