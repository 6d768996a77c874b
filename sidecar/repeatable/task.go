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
	startTries = 3
	// overdueFactor and overdueSlack bound how long a task may run beyond what is expected of it.
	overdueFactor = 4
	overdueSlack  = 400 * time.Millisecond
	// roundTrip is the time from the end of a task to the launch of the next one through an entry.
	roundTrip = 10 * time.Millisecond
	// slownessGain is the weight of the newest run time in the mean.
	slownessGain = 0.05
	// runUnit is the unit of time in which the numbers of runs rise by themselves, so that a sidecar that starts anew
	// numbers higher than the one before.
	runUnit = 100 * time.Millisecond
)

// task is one task that may run at the backend server. It keeps its place in the room until it is sure not to run.
type task struct {
	worker *Worker
	life   *life
	key    reservation.Key
	run    Run
	input  string
	size   job.Size
	// started is the time of the start on the clock of uptime, zero before; a task that has not started was not sent to
	// the backend server.
	started time.Duration
	// expected is the expected run time.
	expected time.Duration
	priority int
	// arrived is the time of the launch.
	arrived time.Duration
	// answered is the time when the backend server had answered the start, zero before.
	answered time.Duration
	// stopping is true once a stop was asked for; halted is the time when the backend server had answered it.
	stopping bool
	halted   time.Duration
	// result is what a stopped task is reported as.
	result How
	// after is called when the task is sure not to run.
	after []func()
}

// endsSoon tells whether the task is likely to end within a round trip to an entry. One that runs far longer than
// expected says nothing about its end.
func (t *task) endsSoon(now time.Duration) bool {
	left := t.expected - (now - t.started)

	return t.started > 0 && left < roundTrip && left > -t.expected/2
}

func (t *task) overdue(now time.Duration) bool {
	return !t.stopping && t.answered > 0 && now-t.started > overdueFactor*t.expected+overdueSlack
}

// launch starts tasks in reserved room of a session.
func (w *Worker) launch(s *entrySession, m *wire.Launch) {
	w.mu.Lock()
	defer w.mu.Unlock()

	key := reservation.NewKey(s.number, m.GetJob())

	for _, index := range m.GetIndices() {
		size, n := w.room.Launch(key, 1)
		if n == 0 || w.life == nil || !w.life.ready {
			w.log.Info().Str("event", "launch_rejected").Str("job", m.GetName()).Uint32("task", index).
				Msg("the reservation has expired")
			w.room.Cancel(size)
			s.ended(m.GetJob(), index, wire.Result_RESULT_REJECTED, 0)

			continue
		}

		t := &task{
			worker: w, life: w.life, key: key, input: m.GetInput(), size: size, result: Stopped,
			expected: time.Duration(m.GetExpectedMs()) * time.Millisecond,
			priority: int(m.GetPriority()), arrived: uptime.Now(),
			run: NewRun(NewTask(m.GetName(), index), time.Now().UnixNano()/int64(runUnit)),
		}

		if old := w.tasks[t.run.task]; old != nil {
			w.replace(s, old, t, m.GetJob())

			continue
		}

		w.tasks[t.run.task] = t
		w.ready = append(w.ready, t)
	}

	w.beginReady()
}

// beginReady starts launched tasks for which there is a place now, the most urgent first.
func (w *Worker) beginReady() {
	slices.SortStableFunc(w.ready, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrived, b.arrived))
	})

	kept := w.ready[:0]

	for _, t := range w.ready {
		switch {
		case w.tasks[t.run.task] != t:
		case !w.room.Begin(t.size):
			kept = append(kept, t)
		default:
			t.started = uptime.Now()
			w.meter.add(t.started, t.priority, t.size.CPU())

			go t.runStart()
		}
	}

	clear(w.ready[len(kept):])
	w.ready = kept
}

// rejectReady turns away launched tasks that have not started.
func (w *Worker) rejectReady() {
	for _, t := range w.ready {
		if w.tasks[t.run.task] == t {
			w.finishAs(t, wire.Result_RESULT_REJECTED)
		}
	}

	w.ready = nil
}

// replace stops a run of the same task that another submission of the job left behind. The new start is rejected only
// when the old one is sure not to run, so that it does not run twice elsewhere.
func (w *Worker) replace(s *entrySession, old, t *task, number uint64) {
	w.log.Warn().Str("event", "task_replaced").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Msg("a run of an earlier submission is stopped")
	w.room.Cancel(t.size)

	old.after = append(old.after, func() { s.ended(number, t.run.task.index, wire.Result_RESULT_REJECTED, 0) })
	w.stop(old)
}

func (t *task) runStart() {
	for try := 0; ; try++ {
		answer, err := t.start()

		again := t.worker.started(t, answer, err, try)
		if !again {
			return
		}
	}
}

func (t *task) start() (Answer, error) {
	ctx, cancel := context.WithTimeout(t.life.ctx, callTimeout)
	defer cancel()

	answer, clock, err := t.worker.backend.Start(ctx, t.run, t.input, t.life.permit())
	if err == nil {
		t.life.observe(clock)
	}

	return answer, err
}

// started takes the answer to a start and tells whether to send it again.
func (w *Worker) started(t *task, answer Answer, err error, try int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return false
	}

	if err != nil {
		w.log.Warn().Err(err).Str("event", "start_unanswered").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
			Int64("run", t.run.number).Int("try", try).Msg("the backend server did not answer a start")

		if try+1 < startTries && !t.stopping {
			return true
		}

		t.result = Lost
		w.stats.RecordResult(time.Now(), true, 0)
		w.stop(t)

		return false
	}

	if answer == Started {
		t.answered = uptime.Now()

		return false
	}

	w.log.Info().Str("event", "start_rejected").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Int64("run", t.run.number).Stringer("answer", answer).Msg("the backend server rejected a start")

	if try+1 < startTries && !t.stopping {
		switch answer {
		case Fenced:
			t.life.raise()

			return true
		case Outdated:
			t.run.number++

			return true
		case Late:
			return true
		default:
		}
	}

	if answer == Unwell {
		w.stats.RecordResult(time.Now(), true, 0)
	}

	w.finishAs(t, wire.Result_RESULT_REJECTED)
	w.settle(uptime.Now())

	return false
}

// stop ends a task. It keeps its place until the backend server confirms.
func (w *Worker) stop(t *task) {
	switch {
	case t.stopping:
		return
	case t.started == 0:
		w.finishAs(t, wire.Result_RESULT_STOPPED)

		return
	}

	t.stopping = true

	go t.runStop()
}

func (t *task) runStop() {
	for {
		call, cancel := context.WithTimeout(t.life.ctx, callTimeout)
		err := t.worker.backend.Stop(call, t.run, t.life.permit())

		cancel()

		if t.worker.stopped(t, err) {
			return
		}

		select {
		case <-time.After(tick):
		case <-t.life.ctx.Done():
			return
		}
	}
}

// stopped takes the answer to a stop and tells whether no more stops are needed.
func (w *Worker) stopped(t *task, err error) bool {
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

	t.halted = uptime.Now()

	return true
}

// finish ends a task that is sure not to run any more.
func (w *Worker) finish(t *task, how How) {
	if t.stopping && how != Done {
		how = t.result
	}

	switch how {
	case Done:
		w.learn(t)
		w.finishAs(t, wire.Result_RESULT_DONE)
	case Failed:
		w.stats.RecordResult(time.Now(), true, uptime.Now()-t.started)
		w.finishAs(t, wire.Result_RESULT_FAILED)
	case Stopped:
		w.finishAs(t, wire.Result_RESULT_STOPPED)
	default:
		w.finishAs(t, wire.Result_RESULT_LOST)
	}
}

// learn takes the run time of a task that is done.
func (w *Worker) learn(t *task) {
	run := uptime.Now() - t.started
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

	w.slowness += slownessGain * (ratio - w.slowness)
}

func (w *Worker) finishAs(t *task, r wire.Result) {
	delete(w.tasks, t.run.task)

	run := time.Duration(0)

	if t.started > 0 {
		run = uptime.Now() - t.started
		w.room.End(t.size)
	} else {
		w.room.Cancel(t.size)
	}

	w.meters.ended(r, run)

	if s := w.sessions[t.key.Session()]; s != nil {
		s.ended(t.key.Job(), t.run.task.index, r, run)
	}

	for _, f := range t.after {
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
