package repeatable

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// maxLoggedRuns limits the runs that the log line of an unreachable backend server lists.
const maxLoggedRuns = 16

// recordCallError records a call that failed. The first call for which nothing listened is logged with the runs that
// the backend server may have lost.
func (w *Worker) recordCallError(i *incarnation, err error) {
	if w.incarnation != i {
		return
	}

	if i.failingSince == 0 {
		w.markFailing(i)
	}

	if i.notReached || !errors.Is(err, ErrNotReached) {
		return
	}

	i.notReached = true

	runs := w.startedTasks()
	lines := make([]string, 0, maxLoggedRuns)

	for _, t := range runs[:min(len(runs), maxLoggedRuns)] {
		lines = append(lines, fmt.Sprintf("%s.%d %s %dms",
			t.run.task.job, t.run.task.index, t.kind, t.age(i.failingSince).Milliseconds()))
	}

	w.log.Warn().Err(err).Str("event", "backend_unreachable").Str("instance", i.instance).Int("tasks", len(runs)).
		Strs("runs", lines).
		Msg("nothing listens at the address of the backend server; its runs, the newest first, may have ended with it")
}

// markFailing records when the first call failed, and which job had started last by then: if the backend server has
// crashed, that job is the likely cause.
func (w *Worker) markFailing(i *incarnation) {
	i.failingSince, i.suspect = uptime.Now(), reservation.Key{}

	for _, t := range w.startedTasks() {
		if t.startedAt <= i.failingSince {
			i.suspect = t.key

			return
		}
	}
}

// markCrashed records that the process of the backend server has ended with all its tasks.
func (w *Worker) markCrashed(i *incarnation) {
	if i.failingSince == 0 {
		w.markFailing(i)
	}

	i.crashed = true
}

// startedTasks returns the tasks that have started, the newest first.
func (w *Worker) startedTasks() []*task {
	started := make([]*task, 0, len(w.tasks))

	for _, t := range w.tasks {
		if t.startedAt > 0 {
			started = append(started, t)
		}
	}

	slices.SortFunc(started, func(a, b *task) int { return cmp.Compare(b.startedAt, a.startedAt) })

	return started
}

// age returns how long the task had been running at a time, zero if it started later.
func (t *task) age(at time.Duration) time.Duration { return max(0, at-t.startedAt) }
