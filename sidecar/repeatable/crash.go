package repeatable

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// maxLoggedRuns limits the runs that the log line of an unreachable backend server lists.
const maxLoggedRuns = 16

// recordCallError records a call that failed, and reports whether it is the first one since the last answer. After the
// first call for which nothing listened, no more tasks are accepted until a call is answered. The tasks occupy their
// capacity until their lease has ended: the process may run on although it refuses connections.
func (w *Worker) recordCallError(i *incarnation, err error) bool {
	if w.incarnation != i {
		return false
	}

	i.lastLoss = uptime.Now()

	first := i.failingSince == 0
	if first {
		w.markFailing(i)
	}

	if !i.notReached && errors.Is(err, ErrNotReached) {
		i.notReached = true
		i.lease.Suspend()
		// The next process may be called before it has announced itself.
		i.fenceStarts()
		w.logUnreachable(i, err)
		w.updateCapacity()
		w.reportToAll(uptime.Now())
		w.reportCrash(i)
	}

	return first
}

// recordAnswer records a call that was answered. It accepts tasks again if nothing listened before.
func (w *Worker) recordAnswer(i *incarnation) {
	wasClosed := i.notReached
	i.failingSince, i.notReached, i.crashed = 0, false, false

	if wasClosed && i.ready {
		w.log.Info().Str("event", "backend_reached").Str("instance", i.instance).Int("tasks", len(w.tasks)).
			Msg("backend server answers again; it accepts tasks")
		w.updateCapacity()
	}
}

const (
	// maxPastCrashes and pastCrashTime limit the crashes that are told to an entry that connects: those that may still
	// restrict a kind.
	maxPastCrashes = 6
	pastCrashTime  = 10 * time.Second
)

// pastCrash is a crash that is told to entries that connect later.
type pastCrash struct {
	at        time.Duration
	exposures []*wire.CrashExposure
}

// reportCrash tells every entry which kinds ran at a backend server that seems to have crashed. One that was leaving, or
// that never accepted tasks from this process, says nothing about its tasks.
func (w *Worker) reportCrash(i *incarnation) {
	if w.server.Current().Draining() || !i.ready {
		return
	}

	c := pastCrash{i.failingSince, w.exposures(i)}

	w.pastCrashes = append(w.pastCrashes, c)
	if len(w.pastCrashes) > maxPastCrashes {
		w.pastCrashes = w.pastCrashes[1:]
	}

	for _, s := range w.sessions {
		s.send(wire.Frame_builder{BackendCrash: wire.BackendCrash_builder{Exposures: c.exposures}.Build()}.Build())
	}
}

// sendPastCrashes tells the entry of a new session the crashes of the last seconds.
func (s *entrySession) sendPastCrashes(now time.Duration) {
	for _, c := range s.worker.pastCrashes {
		if ago := now - c.at; ago < pastCrashTime {
			s.send(wire.Frame_builder{BackendCrash: wire.BackendCrash_builder{
				Exposures: c.exposures, AgoMs: uint32(max(1, ago.Milliseconds())),
			}.Build()}.Build())
		}
	}
}

// loseTasks ends the tasks as lost that no process can run any more. If the backend server has crashed, all entries are told
// which tasks had started.
func (w *Worker) loseTasks(i *incarnation, end processEnd) {
	var crashed []*wire.CrashedTask

	for _, t := range w.tasks {
		if t.isHeld() {
			if end == replaced && t.incarnation.instance == i.instance {
				w.finish(t, Lost)
			}

			continue
		}

		if t.hasCrashed() {
			crashed = append(crashed, wire.CrashedTask_builder{
				Job: t.run.task.job, Index: t.run.task.index, Suspected: t.key == i.suspect,
			}.Build())
		}

		if t.mayRunAfter(end) {
			t.hold()
		} else {
			w.finish(t, Lost)
		}
	}

	if len(crashed) == 0 {
		return
	}

	frame := wire.Frame_builder{CrashedTasks: wire.CrashedTasks_builder{Tasks: crashed}.Build()}.Build()
	for _, s := range w.sessions {
		s.send(frame)
	}
}

// hasCrashed reports whether the task ended with the process of the backend server. That counts only for a task that is
// known to have started: the answer to a start is also lost if the backend server crashes for another reason before it
// arrives.
func (t *task) hasCrashed() bool { return t.startAnsweredAt > 0 && t.incarnation.crashed }

// exposures describes the tasks that had started when calls began to fail, by kind, the kind of the newest first.
func (w *Worker) exposures(i *incarnation) []*wire.CrashExposure {
	var exposures []*wire.CrashExposure

	seen := map[string]bool{}

	for _, t := range w.startedTasks() {
		if t.kind == "" || seen[t.kind] || t.startedAt > i.failingSince {
			continue
		}

		seen[t.kind] = true
		exposures = append(exposures, wire.CrashExposure_builder{
			Kind: t.kind, AgeUs: uint32(t.age(i.failingSince).Microseconds()),
			StartsPer_1000S: uint32(1000 * i.startRates.Rate(t.kind, i.failingSince)),
		}.Build())
	}

	return exposures
}

// logUnreachable logs the runs that the backend server may have lost.
func (w *Worker) logUnreachable(i *incarnation, err error) {
	runs := w.startedTasks()
	lines := make([]string, 0, maxLoggedRuns)

	for _, t := range runs[:min(len(runs), maxLoggedRuns)] {
		lines = append(lines, fmt.Sprintf("%s.%d %s %dms",
			t.run.task.job, t.run.task.index, t.kind, t.age(i.failingSince).Milliseconds()))
	}

	w.log.Warn().Err(err).Str("event", "backend_unreachable").Str("instance", i.instance).Int("tasks", len(runs)).
		Strs("runs", lines).
		Msg("nothing listens at the address of the backend server, which accepts no more tasks; its runs, the newest first, " +
			"may have ended with it")
}

// markFailing records when the first call failed, and which job had started last by then: if the backend server has
// crashed, that job is the likely cause.
func (w *Worker) markFailing(i *incarnation) {
	i.failingSince, i.suspect = uptime.Now(), reservation.Key{}

	for _, t := range w.startedTasks() {
		if t.startAnsweredAt > 0 {
			i.suspect = t.key

			return
		}
	}
}

// markCrashed records that the process of the backend server has ended with all its tasks. The end of one that was
// leaving is no crash.
func (w *Worker) markCrashed(i *incarnation) {
	if w.server.Current().Draining() {
		return
	}

	if i.failingSince == 0 {
		w.markFailing(i)
	}

	i.crashed = true
}

// startedTasks returns the tasks that have started at the current process, the newest first.
func (w *Worker) startedTasks() []*task {
	started := make([]*task, 0, len(w.tasks))

	for _, t := range w.tasks {
		if t.startedAt > 0 && !t.isHeld() {
			started = append(started, t)
		}
	}

	slices.SortFunc(started, func(a, b *task) int { return cmp.Compare(b.startedAt, a.startedAt) })

	return started
}

// age returns how long the task had been running at a time, zero if it started later.
func (t *task) age(at time.Duration) time.Duration { return max(0, at-t.startedAt) }
