package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// maxHoldTime is how long a task whose start may still be carried out waits for a list of the next process of its backend
// server. A process that starts under the same id later than that may still carry the start out.
const maxHoldTime = 5 * time.Second

// processEnd is what is known of a process of the backend server whose tasks are given up.
type processEnd uint8

const (
	// unresponsive is a process whose lease has ended. If it goes on, it rejects late starts by their lease.
	unresponsive processEnd = iota
	// ended is a process that has ended. Calls for it that are still on their way may be carried out by a later process with
	// the same id, whose clock does not reject them.
	ended
	// restarted is a process after which one with the same id has started, which may have answered the last starts.
	restarted
	// replaced is a process that another one with a different id has taken the place of, which rejects all calls for it.
	replaced
)

// mayRunAfter reports whether a later process may run the task. An answer to one try tells nothing of another one, and an
// answer to a start does not tell which process has given it.
func (t *task) mayRunAfter(end processEnd) bool {
	switch {
	case t.startedAt == 0 || end == unresponsive || end == replaced:
		return false
	case end == restarted && t.confirmedAt > t.incarnation.listedAt:
		return true
	default:
		return !t.startCall.call.Settled()
	}
}

func (t *task) isHeld() bool { return t.heldSince > 0 }

// hold keeps a task whose process has ended until a list of runs shows that no later process runs it. Such a list comes with
// a higher fencing token, so that no start is carried out after it.
func (t *task) hold() {
	t.heldSince = uptime.Now()

	if !t.stopping {
		t.stopping, t.stopOutcome = true, Lost
	}

	t.worker.log.Info().Str("event", "task_held").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Int64("run", t.run.number).Str("instance", t.incarnation.instance).Int("unanswered", t.startCall.call.Unanswered()).
		Msg("the start may be carried out by the next process of the backend server; the task is " +
			"reported as lost once that process does not list it")
}

// held returns the number of held tasks.
func (w *Worker) held() int {
	n := 0

	for _, t := range w.tasks {
		if t.isHeld() {
			n++
		}
	}

	return n
}

// isSettledByList reports whether a list of runs that doesn't show the task says that it does not run and never will. The list
// was requested at the time sent and has a reading of the backend server's clock. A list that was requested before the answer
// to the start or stop may be from before the task ran, and one that was requested before the task was held may come from the
// process that has ended.
func (t *task) isSettledByList(sent, clock time.Duration) bool {
	if t.isHeld() {
		return t.heldSince < sent
	}

	return (t.startAnsweredAt > 0 && t.startAnsweredAt < sent) || (t.stopAnsweredAt > 0 && t.stopAnsweredAt < sent) ||
		t.hasLapsedAt(clock)
}

// loseHeldOfOthers reports the held tasks as lost that were sent to a process with another id than the incarnation, which
// has answered and so has taken the place of theirs.
func (w *Worker) loseHeldOfOthers(i *incarnation) {
	for _, t := range w.tasks {
		if t.isHeld() && t.incarnation.instance != i.instance {
			w.finish(t, Lost)
		}
	}
}

// expireHeld reports the held tasks as lost for which no next process has answered in time.
func (w *Worker) expireHeld(now time.Duration) {
	for _, t := range w.tasks {
		if !t.isHeld() || now-t.heldSince <= maxHoldTime {
			continue
		}

		w.log.Warn().Str("event", "task_hold_expired").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
			Msg("no later process of the backend server has listed its runs in time; the task is reported as lost")
		w.finish(t, Lost)
	}
}
