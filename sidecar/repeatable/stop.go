package repeatable

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// stopCall is the stop of a task. It is sent until the backend server confirms it.
type stopCall struct {
	task *task
	// call is what is known of the tries together. It changes under the worker's mutex.
	call delivery.Call
	// sentAt is when the first try was sent.
	sentAt time.Duration
}

func (c *stopCall) run() { newHedge(c.task.incarnation, c).run() }

func (c *stopCall) try(attempt int) tryResult {
	t := c.task

	r, ok := t.worker.beginStopTry(t, attempt)
	if !ok {
		return trySettled
	}

	return t.worker.handleStopAnswer(t, t.incarnation.sendStop(r))
}

func (c *stopCall) repeats() bool { return true }

// beginStopTry records that a try is sent, and returns the run to stop. It returns false if the task has ended.
func (w *Worker) beginStopTry(t *task, attempt int) (Run, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return Run{}, false
	}

	// The first try counts as sent from the moment that the stop was requested.
	if attempt > 0 {
		t.stopCall.call.Send()
	}

	return t.run, true
}

// sendStop sends one try of a stop.
func (i *incarnation) sendStop(r Run) error {
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()

	sent := uptime.Now()
	err := i.worker.backend.Stop(ctx, r, i.newPermit())
	i.recordAnswerTime(sent, err)
	i.worker.metrics.recordTry("stop_tries_total", "stopped", err)

	return err
}

// callReply returns what came back for a try that is either confirmed or fails with an error.
func callReply(err error) delivery.Reply {
	switch {
	case err == nil:
		return delivery.Confirmed
	case errors.Is(err, ErrNotReached):
		return delivery.NotDelivered
	default:
		return delivery.NoReply
	}
}

// handleStopAnswer handles the answer to a stop and returns what it means for the stop.
func (w *Worker) handleStopAnswer(t *task, err error) tryResult {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return trySettled
	}

	t.stopCall.call.Record(callReply(err))

	if err != nil {
		w.log.Warn().Err(err).Str("event", "stop_unanswered").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
			Stringer("state", t.stopCall.call.State()).Int("unanswered", t.stopCall.call.Unanswered()).
			Dur("since_stop", uptime.Now()-t.stopCall.sentAt).
			Msg("backend server did not answer a stop; sending it again")

		return tryUnanswered
	}

	if t.stopAnsweredAt == 0 {
		t.stopAnsweredAt = uptime.Now()
	}

	return trySettled
}
