package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// hand notes that the task goes to the worker, and returns false if the submission has failed meanwhile.
func (h *Held) hand(k *task, w *fleet.Worker) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state != running {
		return false
	}

	k.worker = w
	k.work.pending++

	return true
}

// completed takes the output of a task.
func (h *Held) completed(k *task, output []byte) {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolve(k, true) || h.state != running {
		return
	}

	w := k.work
	w.outputs[k.index] = output
	w.bytes += int64(len(output))
	h.table.memory.add(int64(len(output)))
	w.left--

	if w.left == 0 {
		h.complete()
	}
}

// stopped takes an attempt that ran without an output, or may have run. It is retried if that is allowed.
func (h *Held) stopped(k *task, ran bool, cause error, retry bool, at *fleet.Worker) (retried bool) {
	h.mu.Lock()
	if !ran && k.worker != nil {
		k.work.unknown = true
	}

	if !h.resolve(k, ran) || h.state != running {
		h.unlock()

		return false
	}

	if retry && h.retry(k, at) {
		h.unlock()

		return true
	}

	h.unlock()
	h.fail(cause)

	return false
}

// rejected takes an attempt that was not started and never will be. It returns true if the task is queued again.
func (h *Held) rejected(k *task) bool {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolve(k, false) || h.state != running {
		return false
	}

	h.again(k)

	return true
}

// rejectedFor takes an attempt that was not started for a reason that ends the submission.
func (h *Held) rejectedFor(k *task, cause error) {
	h.mu.Lock()
	h.resolve(k, false)
	h.unlock()
	h.fail(cause)
}

// resolve ends the pending state of a start. It returns false if that was done before. The caller holds mu.
func (h *Held) resolve(k *task, ran bool) bool {
	if k.worker == nil {
		return false
	}

	k.worker = nil
	k.work.pending--
	k.work.ran = k.work.ran || ran

	if h.state == closing {
		h.settle(false)
	}

	return true
}

// retry queues a repeatable request again within the budget. The caller holds mu.
func (h *Held) retry(k *task, at *fleet.Worker) bool {
	if !k.work.submission.Form().Repeatable() || k.retries >= maxRetries || !h.table.budget.AllowRetry(time.Now()) {
		return false
	}

	k.retries++
	k.avoid = at
	h.again(k)

	return true
}

// again puts the task back to the head of its flow as a new attempt. The caller holds mu.
func (h *Held) again(k *task) {
	k.attempt++

	q := &h.table.queue
	q.mu.Lock()
	q.tasks.Requeue(k.item)
	q.mu.Unlock()
}
