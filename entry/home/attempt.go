package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// beginAttempt records that the task is sent to the worker. It returns false if the submission has ended or is failing.
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

// recordOutput stores the output of a task, and ends the submission if it is the last one.
func (h *Handle) recordOutput(k *task, output []byte) {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolveAttempt(k, true) || h.state != running {
		return
	}

	e := k.execution
	e.outputs[k.index] = output
	e.reservedBytes += int64(len(output))
	h.table.answerMemory.add(int64(len(output)))
	e.remainingTasks--

	if e.remainingTasks == 0 {
		h.finishComplete()
	}
}

// handleAttemptFailure handles an attempt that ran without an output, or may have run. The task is queued again if it
// may be retried; otherwise the submission fails.
func (h *Handle) handleAttemptFailure(
	k *task, ran bool, cause error, mayRetry bool, worker *fleet.Worker,
) (retried bool) {
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

// handleRejection handles an attempt that was not started and never will be. It returns true if the task is queued
// again.
func (h *Handle) handleRejection(k *task) bool {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolveAttempt(k, false) || h.state != running {
		return false
	}

	h.requeue(k)

	return true
}

// handleFinalRejection handles an attempt that was rejected for a reason that ends the submission.
func (h *Handle) handleFinalRejection(k *task, cause error) {
	h.mu.Lock()
	h.resolveAttempt(k, false)
	h.unlock()
	h.fail(cause)
}

// resolveAttempt records whether the attempt that is under way ran. It returns false if that was recorded before. The
// caller holds mu.
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

// tryRetry queues the task of a repeatable request again if the retry budget allows it. The caller holds mu.
func (h *Handle) tryRetry(k *task, worker *fleet.Worker) bool {
	if !k.execution.submission.Form().Repeatable() || k.retries >= maxRetries ||
		!h.table.retryBudget.AllowRetry(time.Now()) {
		return false
	}

	k.retries++
	k.avoidedWorker = worker
	h.requeue(k)

	return true
}

// requeue puts the task back at the head of its flow as a new attempt. The caller holds mu.
func (h *Handle) requeue(k *task) {
	k.attempt++

	q := &h.table.queue
	q.mu.Lock()
	q.tasks.Requeue(k.item)
	q.mu.Unlock()
}
