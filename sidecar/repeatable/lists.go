package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// handleOtherInstance ends an incarnation after another one has answered a call for it.
func (w *Worker) handleOtherInstance(i *incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation == i {
		w.markCrashed(i)
		w.endIncarnation("another instance answered", replaced)
	}
}

// handleUnanswered handles a call without an answer: once the lease has expired, the tasks are reported as lost. It
// reports whether the call is the first one without an answer.
func (w *Worker) handleUnanswered(i *incarnation, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != i {
		return false
	}

	first := w.recordCallError(i, err)
	w.finishDeparture(uptime.Now())

	if w.incarnation != i || !i.lease.Expired(uptime.Now()) {
		return first
	}

	if n := len(w.tasks) - w.held(); i.ready || n > 0 {
		w.log.Warn().Err(err).Str("event", "backend_silent").Str("instance", i.instance).
			Int("tasks", n).
			Msg("backend server is unresponsive and its lease has expired; its tasks are reported as lost, unless a start may still be carried out")
	}

	i.ready = false

	end := unresponsive

	if i.notReached {
		w.markCrashed(i)

		end = ended
	}

	w.loseTasks(i, end)
	w.updateCapacity()

	return first
}

// handleWatchResult handles the answer to a call to Watch that was sent at the time sent.
func (w *Worker) handleWatchResult(i *incarnation, result WatchResult, sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != i {
		return
	}

	w.recordAnswer(i)

	if result.fenced {
		i.raiseToken()

		return
	}

	if !w.recordListAnswer(i, result.startedAtMS, sent) {
		return
	}

	i.listedAt = max(i.listedAt, sent)

	// An answer that was overtaken by a later one lists ends again. A task that is launched again at once has the run number
	// of its last run until the backend server rejects that.
	handled := i.lastEnd

	for _, e := range result.ended {
		if e.number != 0 && e.number <= handled {
			continue
		}

		i.lastEnd = max(i.lastEnd, e.number)

		if t := w.tasks[e.run.task]; t != nil && t.run.number == e.run.number {
			w.finish(t, e.outcome)
		}
	}

	w.recordUnreadable(i, result)

	// A run that can't be named in a stop ends with its lease, which is not renewed before the server is ready.
	unlapsed := i.unreadable.unlapsed(result.clock)
	orphanedRuns := w.reconcileRuns(i, result, sent)
	w.recordOrphans(i, orphanedRuns, result.clock, sent)

	if !i.ready && len(orphanedRuns) == 0 && unlapsed == 0 {
		i.ready = true
		i.startRates.Begin(uptime.Now())

		w.log.Info().Str("event", "backend_ready").Str("instance", i.instance).
			Msg("backend server accepts tasks")
		w.updateCapacity()
	}

	w.schedule(uptime.Now())
}

// reconcileRuns compares the worker's tasks with the runs at the backend server. It reports tasks that do not run there
// as lost, and returns the orphaned runs, which belong to none of the tasks.
func (w *Worker) reconcileRuns(i *incarnation, result WatchResult, sent time.Duration) []Run {
	present := make(map[Run]bool, len(result.running))

	var orphanedRuns []Run

	for _, r := range result.running {
		present[r] = true

		t := w.tasks[r.task]
		if t == nil || t.run.number != r.number || t.isHeld() {
			orphanedRuns = append(orphanedRuns, r)

			continue
		}

		if t.startAnsweredAt == 0 {
			// The answer to the start was lost, or is on its way.
			t.startAnsweredAt = uptime.Now()
			t.startCall.call.Confirm()
		}
	}

	for _, t := range w.tasks {
		if t.isHeld() && present[t.run] {
			t.heldSince = uptime.Now()
		}

		isListCurrent := t.isSettledByList(sent, result.clock)
		if isListCurrent && !result.hasMoreEnds && !present[t.run] && !i.unreadable.mayHold(t) {
			w.finish(t, Lost)
		}
	}

	return orphanedRuns
}
