package repeatable

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// callTimeout limits a call to the backend server, which runs on the same instance.
	callTimeout = 200 * time.Millisecond
	// maxStopTime is how long a stop may go without an answer before the lease is let go, which ends all runs at the backend
	// server. Each stop is sent many times within it.
	maxStopTime = time.Second
	// overdueFactor and overdueAllowance limit the run time of a task: overdueFactor times the expected run time, plus
	// overdueAllowance.
	overdueFactor    = 4
	overdueAllowance = 400 * time.Millisecond
	// launchRoundTrip is the time from the end of a task to the launch of the next one through an entry.
	launchRoundTrip = 10 * time.Millisecond
	// runNumberUnit is the unit of the wall-clock time from which run numbers are taken, so that a restarted sidecar
	// uses higher numbers than the one before.
	runNumberUnit = 100 * time.Millisecond
)

// task is a launched task. It occupies capacity until it is certain that it does not run at the backend server.
type task struct {
	worker      *Worker
	incarnation *incarnation
	key         reservation.Key
	run         Run
	input       string
	size        job.Size
	// startedAt is the time of the start on the clock of package uptime, zero before; a task that has not started was
	// not sent to the backend server.
	startedAt time.Duration
	// expected is the expected run time, zero if it is not known.
	expected time.Duration
	priority int
	// kind is the kind of the job, empty if the entry does not name it.
	kind   string
	limits startLimits
	// launchedAt is when the launch was received.
	launchedAt time.Duration
	// mark is where the record of neighbours began, nil if there is none; surroundings is what ran beside the task.
	mark         *interference.Mark
	surroundings interference.Surroundings
	// startAnsweredAt is when the answer to the start was received, zero before.
	startAnsweredAt time.Duration
	// confirmedAt is when a try of the start was last answered as started, zero before.
	confirmedAt time.Duration
	// startCall is the start of the task.
	startCall startCall
	// stopCall is the stop of the task.
	stopCall stopCall
	// stopping is true once a stop was requested; stopAnsweredAt is when its answer was received, zero before.
	stopping       bool
	stopAnsweredAt time.Duration
	// abandoned is true once nobody waits for the end of the task: its entry was lost or has ended the job. The job may be
	// started elsewhere after a time in which the task has to end, whether its stop is answered or not.
	abandoned bool
	// stopOutcome is the outcome that is reported for a stopped task that did not complete.
	stopOutcome Outcome
	// heldSince is when the process ended that the task was sent to, or when a later one last listed its run, zero before: it
	// may still be started by a later process.
	heldSince time.Duration
	// onEnd is called when it is certain that the task does not run.
	onEnd []func()
}

// endsSoon reports whether the task is likely to end within a round trip to an entry. The end of a task that runs much
// longer than expected cannot be predicted.
func (t *task) endsSoon(now time.Duration) bool {
	remaining := t.expected - (now - t.startedAt)

	return t.startedAt > 0 && remaining < launchRoundTrip && remaining > -t.expected/2
}

func (t *task) overdue(now time.Duration) bool {
	return !t.stopping && t.startAnsweredAt > 0 && now-t.startedAt > overdueFactor*t.expected+overdueAllowance
}

// launch accepts tasks for which the session holds reservations, and rejects the others.
func (w *Worker) launch(s *entrySession, m *wire.Launch) {
	w.mu.Lock()
	defer w.mu.Unlock()

	key := reservation.NewKey(s.number, m.GetJob())

	if m.GetWantsNeighbours() {
		w.neighbours.ask(s)
	}

	for _, index := range m.GetIndices() {
		if w.isEvacuated() {
			w.rejectEvacuated(s, m.GetJob(), NewTask(m.GetName(), index))

			continue
		}

		size, n := w.pool.Launch(key, 1)
		if n == 0 || w.incarnation == nil || !w.incarnation.ready {
			w.log.Info().Str("event", "launch_rejected").Str("job", m.GetName()).Uint32("task", index).
				Msg("rejecting a launch: it has no reservation any more or the backend server is not ready")
			w.pool.Cancel(size)
			s.sendRejected(m.GetJob(), index)

			continue
		}

		t := &task{
			worker: w, incarnation: w.incarnation, key: key, input: m.GetInput(), size: size, stopOutcome: Stopped,
			expected: time.Duration(m.GetExpectedMs()) * time.Millisecond,
			priority: int(m.GetPriority()), kind: m.GetKind(), launchedAt: uptime.Now(),
			limits:   startLimits{int(m.GetMaxPerServer()), m.GetRequiredLabel(), m.GetAllowedRegions()},
			run:      NewRun(NewTask(m.GetName(), index), time.Now().UnixNano()/int64(runNumberUnit)),
			stopCall: stopCall{call: delivery.NewCall(delivery.Stop)},
		}

		if old := w.tasks[t.run.task]; old != nil {
			w.replace(s, old, t, m.GetJob())

			continue
		}

		w.tasks[t.run.task] = t
		w.launched = append(w.launched, t)
	}

	w.startLaunched()
}

// startLaunched starts the launched tasks for which there is free capacity, the most urgent first. Those that a limit of their
// job rules out are rejected.
func (w *Worker) startLaunched() {
	slices.SortStableFunc(w.launched, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.launchedAt, b.launchedAt))
	})

	waiting := w.launched[:0]

	for _, t := range w.launched {
		switch {
		case w.tasks[t.run.task] != t || w.rejectBeyondLimit(t):
		case !w.pool.Begin(t.size):
			waiting = append(waiting, t)
		default:
			if w.running() == 0 {
				t.incarnation.lease.BeginWork(uptime.Now())
			}

			t.startedAt = uptime.Now()
			w.neighbours.begin(t)
			t.startCall.task = t
			t.startCall.call.Send()
			w.warmUp.recordStart(t.size, t.startedAt)
			w.launchRates.add(t.startedAt, t.priority, t.size.Millicores())
			t.incarnation.startRates.Record(t.kind, t.run.task.job, t.startedAt)

			go t.startCall.run()
		}
	}

	clear(w.launched[len(waiting):])
	w.launched = waiting
}

// rejectLaunched rejects the launched tasks that have not started.
func (w *Worker) rejectLaunched() {
	for _, t := range w.launched {
		if w.tasks[t.run.task] != t {
			continue
		}

		if w.isEvacuated() {
			w.recordEvacuatedStart(t.run.task)
		}

		w.finishAs(t, wire.Result_RESULT_REJECTED)
	}

	w.launched = nil
}

// replace stops a run of the same task that belongs to an earlier submission of the job. The new launch is rejected
// only after it is certain that the old run has ended, because the entry may place a rejected task at another worker
// at once, and the two runs must not overlap.
func (w *Worker) replace(s *entrySession, old, t *task, jobNumber uint64) {
	w.log.Warn().Str("event", "task_replaced").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Msg("stopping a run of an earlier submission of the same task")
	w.pool.Cancel(t.size)

	old.onEnd = append(old.onEnd, func() { s.sendRejected(jobNumber, t.run.task.index) })
	w.stop(old)
}

// stop stops a task. The task occupies capacity until the backend server confirms that it does not run.
func (w *Worker) stop(t *task) {
	switch {
	case t.stopping:
		return
	case t.startedAt == 0:
		w.finishAs(t, wire.Result_RESULT_STOPPED)

		return
	}

	t.stopping = true
	t.stopCall.task, t.stopCall.sentAt = t, uptime.Now()
	t.stopCall.call.Send()

	go t.stopCall.run()
}

// abandon stops a task for whose end nobody waits.
func (w *Worker) abandon(t *task) {
	t.abandoned = true
	w.stop(t)
}

// awaitsStop reports whether the stop of an abandoned task at an incarnation has not been answered, or that of any task for
// long. A task whose session has expired counts as abandoned although the session has not been ended yet: after a pause of
// this process, calls may come before the next check of the sessions. The caller holds mu.
func (w *Worker) awaitsStop(i *incarnation, now time.Duration) bool {
	for _, t := range w.tasks {
		if t.incarnation == i && t.startedAt > 0 && t.stopCall.call.Claim() == delivery.MayRun &&
			(t.abandoned || t.isStopOverdue(now) || w.hasExpired(t, now)) {
			return true
		}
	}

	return false
}

// isStopOverdue reports whether the task is being stopped for so long that its lease is to end.
func (t *task) isStopOverdue(now time.Duration) bool {
	return t.stopping && now-t.stopCall.sentAt > maxStopTime
}

// hasLapsedAt reports whether no start of the task can be carried out any more at a time on the backend server's clock: it
// has passed the lease of all calls that were sent.
func (t *task) hasLapsedAt(clock time.Duration) bool {
	return t.stopping && t.startedAt > 0 && clock > t.incarnation.lastLeaseEnd()
}

// hasExpired reports whether the session of a task has expired.
func (w *Worker) hasExpired(t *task, now time.Duration) bool {
	s := w.sessions[t.key.Session()]

	return s == nil || s.Expired(now)
}

// finish ends a task that is certain not to run any longer, and reports its result.
func (w *Worker) finish(t *task, outcome Outcome) {
	// A run that ended by itself keeps its outcome, although a stop was sent.
	if t.stopping && (outcome == Stopped || outcome == Lost) {
		outcome = t.stopOutcome
	}

	switch outcome {
	case Done:
		w.recordRunTime(t)
		w.finishAs(t, wire.Result_RESULT_DONE)
	case Failed:
		w.stats.RecordResult(time.Now(), true, uptime.Now()-t.startedAt)
		w.finishAs(t, wire.Result_RESULT_FAILED)
	case Stopped:
		w.finishAs(t, wire.Result_RESULT_STOPPED)
	default:
		w.finishAs(t, wire.Result_RESULT_LOST)
	}
}

// recordRunTime records the run time of a task that is done.
func (w *Worker) recordRunTime(t *task) {
	run := uptime.Now() - t.startedAt
	w.stats.RecordResult(time.Now(), false, run)

	if w.stats.Suspect() {
		w.stats.BeginProbe()
		w.stats.EndProbe(time.Now(), false, true)
	}

	w.slowness.Observe(run, t.expected, uptime.Now())
}

func (w *Worker) finishAs(t *task, r wire.Result) {
	delete(w.tasks, t.run.task)

	run := time.Duration(0)

	if t.startedAt > 0 {
		run = uptime.Now() - t.startedAt
		w.pool.End(t.size)
		w.neighbours.end(t, w.pool.Capacity().Millicores())
	} else {
		w.pool.Cancel(t.size)
	}

	w.metrics.recordTask(r, run)

	if s := w.sessions[t.key.Session()]; s != nil {
		s.sendEnded(t, r, run)
	}

	for _, f := range t.onEnd {
		f()
	}
}

// halt stops tasks of a job of a session: those with the indices in m, or all if there are none.
func (w *Worker) halt(s *entrySession, m *wire.Halt) {
	w.mu.Lock()
	defer w.mu.Unlock()

	key := reservation.NewKey(s.number, m.GetJob())
	all := len(m.GetIndices()) == 0

	for _, t := range w.tasks {
		if t.key == key && (all || slices.Contains(m.GetIndices(), t.run.task.index)) {
			w.abandon(t)
		}
	}
}
