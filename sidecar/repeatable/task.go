package repeatable

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// callTimeout bounds a call to the backend server on the same instance.
	callTimeout = 200 * time.Millisecond
	// startTries is how often an unanswered start is sent again. A repetition is idempotent.
	maxStartAttempts = 3
	// overdueFactor and overdueSlack bound how long a task may run beyond what is expected of it.
	overdueFactor    = 4
	overdueAllowance = 400 * time.Millisecond
	// roundTrip is the time from the end of a task to the launch of the next one through an entry.
	launchRoundTrip = 10 * time.Millisecond
	// slownessGain is the weight of the newest run time in the mean.
	slownessWeight = 0.05
	// runUnit is the unit of time in which the numbers of runs rise by themselves, so that a sidecar that starts anew
	// numbers higher than the one before.
	runNumberUnit = 100 * time.Millisecond
)

// task is one task that may run at the backend server. It keeps its place in the room until it is sure not to run.
type task struct {
	worker      *Worker
	incarnation *incarnation
	key         reservation.Key
	run         Run
	input       string
	size        job.Size
	// started is the time of the start on the clock of uptime, zero before; a task that has not started was not sent to
	// the backend server.
	startedAt time.Duration
	// expected is the expected run time.
	expected time.Duration
	priority int
	// arrived is the time of the launch.
	launchedAt time.Duration
	// answered is the time when the backend server had answered the start, zero before.
	startAnsweredAt time.Duration
	// stopping is true once a stop was asked for; halted is the time when the backend server had answered it.
	stopping       bool
	stopAnsweredAt time.Duration
	// result is what a stopped task is reported as.
	stopOutcome Outcome
	// after is called when the task is sure not to run.
	onEnd []func()
}

// endsSoon tells whether the task is likely to end within a round trip to an entry. One that runs far longer than
// expected says nothing about its end.
func (t *task) endsSoon(now time.Duration) bool {
	left := t.expected - (now - t.startedAt)

	return t.startedAt > 0 && left < launchRoundTrip && left > -t.expected/2
}

func (t *task) overdue(now time.Duration) bool {
	return !t.stopping && t.startAnsweredAt > 0 && now-t.startedAt > overdueFactor*t.expected+overdueAllowance
}

// launch starts tasks in reserved room of a session.
func (w *Worker) launch(s *entrySession, m *wire.Launch) {
	w.mu.Lock()
	defer w.mu.Unlock()

	key := reservation.NewKey(s.number, m.GetJob())

	for _, index := range m.GetIndices() {
		size, n := w.pool.Launch(key, 1)
		if n == 0 || w.incarnation == nil || !w.incarnation.ready {
			w.log.Info().Str("event", "launch_rejected").Str("job", m.GetName()).Uint32("task", index).
				Msg("the reservation has expired")
			w.pool.Cancel(size)
			s.sendEnded(m.GetJob(), index, wire.Result_RESULT_REJECTED, 0)

			continue
		}

		t := &task{
			worker: w, incarnation: w.incarnation, key: key, input: m.GetInput(), size: size, stopOutcome: Stopped,
			expected: time.Duration(m.GetExpectedMs()) * time.Millisecond,
			priority: int(m.GetPriority()), launchedAt: uptime.Now(),
			run: NewRun(NewTask(m.GetName(), index), time.Now().UnixNano()/int64(runNumberUnit)),
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

// beginReady starts launched tasks for which there is a place now, the most urgent first.
func (w *Worker) startLaunched() {
	slices.SortStableFunc(w.launched, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.launchedAt, b.launchedAt))
	})

	kept := w.launched[:0]

	for _, t := range w.launched {
		switch {
		case w.tasks[t.run.task] != t:
		case !w.pool.Begin(t.size):
			kept = append(kept, t)
		default:
			t.startedAt = uptime.Now()
			w.launchRates.add(t.startedAt, t.priority, t.size.Millicores())

			go t.runStart()
		}
	}

	clear(w.launched[len(kept):])
	w.launched = kept
}

// rejectReady turns away launched tasks that have not started.
func (w *Worker) rejectLaunched() {
	for _, t := range w.launched {
		if w.tasks[t.run.task] == t {
			w.finishAs(t, wire.Result_RESULT_REJECTED)
		}
	}

	w.launched = nil
}

// replace stops a run of the same task that another submission of the job left behind. The new start is rejected only
// when the old one is sure not to run, so that it does not run twice elsewhere.
func (w *Worker) replace(s *entrySession, old, t *task, number uint64) {
	w.log.Warn().Str("event", "task_replaced").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Msg("a run of an earlier submission is stopped")
	w.pool.Cancel(t.size)

	old.onEnd = append(old.onEnd, func() { s.sendEnded(number, t.run.task.index, wire.Result_RESULT_REJECTED, 0) })
	w.stop(old)
}

func (t *task) runStart() {
	for try := 0; ; try++ {
		answer, err := t.start()

		again := t.worker.handleStartResult(t, answer, err, try)
		if !again {
			return
		}
	}
}

func (t *task) start() (StartResult, error) {
	ctx, cancel := context.WithTimeout(t.incarnation.ctx, callTimeout)
	defer cancel()

	answer, clock, err := t.worker.backend.Start(ctx, t.run, t.input, t.incarnation.newPermit())
	if err == nil {
		t.incarnation.recordClock(clock)
	}

	return answer, err
}

// started takes the answer to a start and tells whether to send it again.
func (w *Worker) handleStartResult(t *task, answer StartResult, err error, try int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return false
	}

	if err != nil {
		w.log.Warn().Err(err).Str("event", "start_unanswered").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
			Int64("run", t.run.number).Int("try", try).Msg("the backend server did not answer a start")

		if try+1 < maxStartAttempts && !t.stopping {
			return true
		}

		t.stopOutcome = Lost
		w.stats.RecordResult(time.Now(), true, 0)
		w.stop(t)

		return false
	}

	if answer == Started {
		t.startAnsweredAt = uptime.Now()

		return false
	}

	w.log.Info().Str("event", "start_rejected").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Int64("run", t.run.number).Stringer("answer", answer).Msg("the backend server rejected a start")

	if try+1 < maxStartAttempts && !t.stopping {
		switch answer {
		case Fenced:
			t.incarnation.raiseToken()

			return true
		case Outdated:
			t.run.number++

			return true
		case LeaseExpired:
			return true
		default:
		}
	}

	if answer == Unhealthy {
		w.stats.RecordResult(time.Now(), true, 0)
	}

	w.finishAs(t, wire.Result_RESULT_REJECTED)
	w.schedule(uptime.Now())

	return false
}

// stop ends a task. It keeps its place until the backend server confirms.
func (w *Worker) stop(t *task) {
	switch {
	case t.stopping:
		return
	case t.startedAt == 0:
		w.finishAs(t, wire.Result_RESULT_STOPPED)

		return
	}

	t.stopping = true

	go t.runStop()
}

func (t *task) runStop() {
	for {
		call, cancel := context.WithTimeout(t.incarnation.ctx, callTimeout)
		err := t.worker.backend.Stop(call, t.run, t.incarnation.newPermit())

		cancel()

		if t.worker.handleStopAnswer(t, err) {
			return
		}

		select {
		case <-time.After(checkInterval):
		case <-t.incarnation.ctx.Done():
			return
		}
	}
}

// stopped takes the answer to a stop and tells whether no more stops are needed.
func (w *Worker) handleStopAnswer(t *task, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return true
	}

	if err != nil {
		w.log.Warn().Err(err).Str("event", "stop_unanswered").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
			Msg("the backend server did not answer a stop")

		return false
	}

	t.stopAnsweredAt = uptime.Now()

	return true
}

// finish ends a task that is sure not to run any more.
func (w *Worker) finish(t *task, how Outcome) {
	if t.stopping && how != Done {
		how = t.stopOutcome
	}

	switch how {
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

// learn takes the run time of a task that is done.
func (w *Worker) recordRunTime(t *task) {
	run := uptime.Now() - t.startedAt
	w.stats.RecordResult(time.Now(), false, run)

	if w.stats.Suspect() {
		w.stats.BeginProbe()
		w.stats.EndProbe(time.Now(), false, true)
	}

	if t.expected <= 0 {
		return
	}

	ratio := float64(run) / float64(t.expected)
	if w.slowness == 0 {
		w.slowness = 1
	}

	w.slowness += slownessWeight * (ratio - w.slowness)
}

func (w *Worker) finishAs(t *task, r wire.Result) {
	delete(w.tasks, t.run.task)

	run := time.Duration(0)

	if t.startedAt > 0 {
		run = uptime.Now() - t.startedAt
		w.pool.End(t.size)
	} else {
		w.pool.Cancel(t.size)
	}

	w.metrics.recordTask(r, run)

	if s := w.sessions[t.key.Session()]; s != nil {
		s.sendEnded(t.key.Job(), t.run.task.index, r, run)
	}

	for _, f := range t.onEnd {
		f()
	}
}

// halt stops tasks of a job of a session; without indices all of them.
func (w *Worker) halt(s *entrySession, m *wire.Halt) {
	w.mu.Lock()
	defer w.mu.Unlock()

	key := reservation.NewKey(s.number, m.GetJob())
	all := len(m.GetIndices()) == 0

	for _, t := range w.tasks {
		if t.key == key && (all || slices.Contains(m.GetIndices(), t.run.task.index)) {
			w.stop(t)
		}
	}
}
