package repeatable

import (
	"context"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// stopCall is the stop of a task. It is sent until the backend server confirms it.
type stopCall struct{ task *task }

func (c *stopCall) run() { newHedge(c.task.incarnation, c).run() }

func (c *stopCall) try(int) tryResult {
	t := c.task

	ctx, cancel := context.WithTimeout(t.incarnation.ctx, callTimeout)
	defer cancel()

	sent := uptime.Now()
	err := t.worker.backend.Stop(ctx, t.run, t.incarnation.newPermit())
	t.incarnation.recordAnswerTime(sent, err)

	return t.worker.handleStopAnswer(t, err)
}

func (c *stopCall) repeats() bool { return true }

// handleStopAnswer handles the answer to a stop and returns what it means for the stop.
func (w *Worker) handleStopAnswer(t *task, err error) tryResult {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return trySettled
	}

	if err != nil {
		w.log.Warn().Err(err).Str("event", "stop_unanswered").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
			Msg("backend server did not answer a stop; sending it again")

		return tryUnanswered
	}

	if t.stopAnsweredAt == 0 {
		t.stopAnsweredAt = uptime.Now()
	}

	return trySettled
}
