package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// hand notes that the task goes to the worker, and returns false if the submission has failed meanwhile.
func (h *Handle) beginAttempt(k *task, w *fleet.Worker) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state != running {
		return false
	}

	k.worker = w
	k.execution.unresolvedStarts++

	return true
}

// completed takes the output of a task.
func (h *Handle) recordOutput(k *task, output []byte) {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolveAttempt(k, true) || h.state != running {
		return
	}

	w := k.execution
	w.outputs[k.index] = output
	w.reservedBytes += int64(len(output))
	h.table.answerMemory.add(int64(len(output)))
	w.remainingTasks--

	if w.remainingTasks == 0 {
		h.finishComplete()
	}
}

// stopped takes an attempt that ran without an output, or may have run. It is retried if that is allowed.
func (h *Handle) handleAttemptFailure(k *task, ran bool, cause error, mayRetry bool, worker *fleet.Worker) (retried bool) {
	h.mu.Lock()
	if !ran && k.worker != nil {
		k.execution.hasUnknownStart = true
	}

	if !h.resolveAttempt(k, ran) || h.state != running {
		h.unlock()

		return false
	}

	if mayRetry && h.tryRetry(k, worker) {
		h.unlock()

		return true
	}

	h.unlock()
	h.fail(cause)

	return false
}

// rejected takes an attempt that was not started and never will be. It returns true if the task is queued again.
func (h *Handle) handleRejection(k *task) bool {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolveAttempt(k, false) || h.state != running {
		return false
	}

	h.requeue(k)

	return true
}

// rejectedFor takes an attempt that was not started for a reason that ends the submission.
func (h *Handle) handleFinalRejection(k *task, cause error) {
	h.mu.Lock()
	h.resolveAttempt(k, false)
	h.unlock()
	h.fail(cause)
}

// resolve ends the pending state of a start. It returns false if that was done before. The caller holds mu.
func (h *Handle) resolveAttempt(k *task, ran bool) bool {
	if k.worker == nil {
		return false
	}

	k.worker = nil
	k.execution.unresolvedStarts--
	k.execution.hasRun = k.execution.hasRun || ran

	if h.state == closing {
		h.tryFinishFailed(false)
	}

	return true
}

// retry queues a repeatable request again within the budget. The caller holds mu.
func (h *Handle) tryRetry(k *task, worker *fleet.Worker) bool {
	if !k.execution.submission.Form().Repeatable() || k.retries >= maxRetries || !h.table.retryBudget.AllowRetry(time.Now()) {
		return false
	}

	k.retries++
	k.avoidedWorker = worker
	h.requeue(k)

	return true
}

// again puts the task back to the head of its flow as a new attempt. The caller holds mu.
func (h *Handle) requeue(k *task) {
	k.attempt++

	q := &h.table.queue
	q.mu.Lock()
	q.tasks.Requeue(k.item)
	q.mu.Unlock()
}
