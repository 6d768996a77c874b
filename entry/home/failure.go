package home

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// closeWait bounds how long a failed submission waits for sidecars to confirm what ran.
	closeWait = 2 * time.Second
	// cancelWait is longer than a lease, so that a sidecar that has not confirmed by then cannot start a task either.
	cancelWait = 3500 * time.Millisecond
)

func (h *Held) expire() {
	h.fail(fault.New(fault.DeadlineExceeded, "the deadline passed before all tasks had ended"))
}

// fail ends the submission as a whole: queued tasks are dropped and sent ones are closed.
func (h *Held) fail(cause error) {
	h.mu.Lock()
	defer h.unlock()

	if h.state != running {
		return
	}

	w := h.work
	h.state, w.cause = closing, cause

	q := &h.table.queue
	q.mu.Lock()
	for i := range w.tasks {
		q.tasks.Remove(w.tasks[i].item)
	}
	q.mu.Unlock()

	var at []*fleet.Worker

	for i := range w.tasks {
		if k := &w.tasks[i]; k.worker != nil && !slices.Contains(at, k.worker) {
			at = append(at, k.worker)
		}
	}

	for _, worker := range at {
		h.table.closer.add(w.ctx, worker, h)
	}

	if !h.settle(false) {
		w.timer.Stop()
		w.timer = time.AfterFunc(waitFor(cause), h.giveUp)
	}
}

// waitFor returns how long a failed submission waits for confirmations.
func waitFor(cause error) time.Duration {
	if fault.KindOf(cause) == fault.Cancelled {
		return cancelWait
	}

	return closeWait
}

// giveUp ends a submission for which the sidecars did not confirm in time what ran.
func (h *Held) giveUp() {
	h.mu.Lock()
	defer h.unlock()

	if h.state == closing {
		h.settle(true)
	}
}

// closed takes a sidecar's confirmation: of the starts handed to it, only those in started ran.
func (h *Held) closed(worker *fleet.Worker, started map[startKey]bool) {
	h.mu.Lock()
	defer h.unlock()

	if h.state != closing {
		return
	}

	w := h.work

	for i := range w.tasks {
		if k := &w.tasks[i]; k.worker == worker && h.state == closing {
			h.resolve(k, started[startKey{k.index, k.attempt}])
		}
	}
}

// settle ends a failed submission once it is known what ran, or if the wait is over. The caller holds mu.
func (h *Held) settle(late bool) bool {
	w := h.work
	// A cancellation is answered only when the sidecars have confirmed that no task starts any more. Other failures do
	// not wait for that once it is known that a task ran.
	if w.pending > 0 && !late && (!w.ran || fault.KindOf(w.cause) == fault.Cancelled) {
		return false
	}

	ran := fault.RanNone

	switch {
	case w.ran:
		ran = fault.RanSome
	case w.pending > 0 || w.unknown:
		ran = fault.RanUnknown
	}

	err := fault.WithRan(w.cause, ran)
	h.finish(fault.KindOf(err).Status(), fault.Marshal(err, h.id), err)

	return true
}
