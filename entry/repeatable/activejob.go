package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// phase is how far a job has come.
type phase uint8

const (
	// waiting means that no task was launched.
	phaseWaiting phase = iota
	// running means that tasks were launched; the job is not refused any more.
	phaseRunning
	phaseEnded
)

// place is where a task is.
type placement struct {
	// sidecar is zero while the task has no place.
	sidecar  uint64
	done     bool
	failures int
	// held is true while the task may run at a sidecar that was lost.
	sidecarLost bool
}

// flight is a job that has not ended. Everything in it changes under the dispatcher's mutex.
type activeJob struct {
	dispatcher *Dispatcher
	number     uint64
	job        job.Job
	// expected is the expected run time of a task; it grows when a task was stopped that has run for longer.
	expectedRun time.Duration
	arrived     time.Duration
	phase       phase
	placements  []placement
	// asked and granted count places by sidecar; granted ones are not launched yet.
	requested, granted map[uint64]int
	// excluded are sidecars where a task failed, as long as there are others.
	excluded map[uint64]bool
	// launched is the time of the first launch, lastLaunch that of the latest.
	firstLaunch, lastLaunch time.Duration
	// slowest is the longest run of a task that is done, slowestAt the sidecar where it ran.
	slowestRun     time.Duration
	slowestSidecar string
	retryTimer     *time.Timer
	maxWaitTimer   *time.Timer
	// callers is the number of callers that wait; a job that is sent again on another channel has several.
	callers int
	// done is closed after outcome is set.
	done    chan struct{}
	outcome job.Outcome
}

func newActiveJob(d *Dispatcher, number uint64, j job.Job, expectedRun, now time.Duration) *activeJob {
	return &activeJob{
		dispatcher: d, number: number, job: j, expectedRun: expectedRun, arrived: now, callers: 1,
		placements: make([]placement, j.Tasks()),
		requested:  map[uint64]int{}, granted: map[uint64]int{}, excluded: map[uint64]bool{},
		done: make(chan struct{}),
	}
}

// result waits for the end.
func (a *activeJob) result() job.Outcome {
	<-a.done

	return a.outcome
}

// missing returns the number of tasks without a place.
func (a *activeJob) unplaced() int {
	n := 0

	for _, p := range a.placements {
		if !p.done && p.sidecar == 0 && !p.sidecarLost {
			n++
		}
	}

	return n
}

// outstanding returns the number of places that are asked for and not answered.
func (a *activeJob) requestedCount() int {
	n := 0
	for _, r := range a.requested {
		n += r
	}

	return n
}

func (a *activeJob) grantedCount() int {
	n := 0
	for _, g := range a.granted {
		n += g
	}

	return n
}

// reserved takes room that a sidecar has reserved.
func (a *activeJob) handleReserved(s *sidecar, n int) {
	a.granted[s.number] += n

	a.requested[s.number] -= n
	if a.requested[s.number] <= 0 {
		// All that was asked for there is granted, so the sidecar may be asked again.
		delete(a.requested, s.number)
	}

	switch {
	case a.phase == phaseEnded || a.unplaced() == 0:
		a.releaseReservations()
		s.releaseJob(a.number)
	default:
		a.launch()
	}
}

// launch starts the tasks without a place in the granted room and gives back the rest.
func (a *activeJob) launch() {
	if a.phase == phaseWaiting {
		a.phase = phaseRunning
		a.firstLaunch = uptime.Now()
		a.maxWaitTimer.Stop()

		a.dispatcher.log.Info().Str("event", "job_placed").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Int("tasks", a.job.Tasks()).Int("granted", a.grantedCount()).Dur("waited", a.firstLaunch-a.arrived).
			Dur("expected_run", a.expectedRun).Msg("the first tasks of a job have room")
	}

	d := a.dispatcher
	a.lastLaunch = uptime.Now()

	for _, number := range a.grantOrder() {
		s := d.sidecars[number]
		if s == nil {
			continue
		}

		var indices []uint32

		for i := range a.placements {
			p := &a.placements[i]
			if len(indices) < a.granted[number] && !p.done && p.sidecar == 0 && !p.sidecarLost {
				p.sidecar = number
				indices = append(indices, uint32(i))
			}
		}

		if len(indices) > 0 {
			s.send(wire.Frame_builder{Launch: wire.Launch_builder{
				Job: a.number, Name: a.job.ID(), Indices: indices, Input: a.job.Input(),
				ExpectedMs: uint32(a.expectedRun.Milliseconds()), Priority: uint32(a.job.Policy().Priority()),
			}.Build()}.Build())
		}
	}

	clear(a.granted)

	if a.unplaced() == 0 {
		a.releaseReservations()
		a.retryTimer.Stop()
	}
}

// grantOrder returns the sidecars with granted room, the largest grants first, so that few of them get the input.
func (a *activeJob) grantOrder() []uint64 {
	order := make([]uint64, 0, len(a.granted))
	for number := range a.granted {
		order = append(order, number)
	}

	slices.SortFunc(order, func(x, y uint64) int {
		if a.granted[x] != a.granted[y] {
			return a.granted[y] - a.granted[x]
		}

		return int(x) - int(y)
	})

	return order
}

// release gives back what is asked for and not launched.
func (a *activeJob) releaseReservations() {
	for number := range a.requested {
		if s := a.dispatcher.sidecars[number]; s != nil {
			s.releaseJob(a.number)
		}
	}

	clear(a.requested)
	clear(a.granted)
}

// askAgain asks at more backend servers for what is still missing.
func (a *activeJob) retryReservations() {
	d := a.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if a.phase == phaseEnded {
		return
	}

	if n := a.unplaced(); n > 0 {
		d.requestReservations(a, n, uptime.Now())
		a.retryTimer.Reset(retryInterval)
	}
}

// runOut judges a job that did not get any room in time once more.
func (a *activeJob) handleMaxWait() {
	d := a.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if a.phase != phaseWaiting {
		return
	}

	now := uptime.Now()
	waited := now - a.arrived
	load := d.load(a.job, now)

	switch v := admission.ExtendWait(a.job, a.expectedRun, waited, load, d.random).(type) {
	case admission.Admit:
		d.log.Info().Str("event", "job_waits_on").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Int("tasks", a.job.Tasks()).Dur("waited", waited).Stringer("load", load).Dur("patience", v.MaxWait()).
			Msg("a job without room yet can still be on time")
		a.maxWaitTimer.Reset(v.MaxWait())
	case admission.Refuse:
		d.log.Info().Str("event", "job_refused").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Str("reason", v.Reason()).Int("tasks", a.job.Tasks()).Dur("expected_run", a.expectedRun).Dur("waited", waited).
			Stringer("load", load).Dur("retry_after", v.RetryAfter()).Uint64("routes", d.routes.Version()).
			Msg("a job did not find room in time")
		a.end(job.NewRefused(v.Reason(), v.RetryAfter()), "no room")
	}
}

// givenUp returns the outcome of a job that is not completed: refused if nothing has started.
func (a *activeJob) incompleteOutcome(reason string, after time.Duration) job.Outcome {
	if a.phase == phaseWaiting {
		return job.NewRefused(reason, after)
	}

	return job.NewInterrupted(reason)
}

// end ends the job, releases its room and stops its tasks.
func (a *activeJob) end(o job.Outcome, reason string) {
	if a.phase == phaseEnded {
		return
	}

	a.stopTimers()
	a.releaseReservations()

	halted := map[uint64]bool{}

	for _, p := range a.placements {
		if s := a.dispatcher.sidecars[p.sidecar]; s != nil && !p.done && !halted[p.sidecar] {
			halted[p.sidecar] = true

			s.send(wire.Frame_builder{Halt: wire.Halt_builder{Job: a.number}.Build()}.Build())
		}
	}

	if _, completed := o.(job.Completed); !completed && a.phase == phaseRunning {
		a.dispatcher.log.Info().Str("event", "job_ended").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Str("reason", reason).Int("stopped_at", len(halted)).Dur("since_arrival", uptime.Now()-a.arrived).
			Msg("a job ends without being completed")
	}

	a.phase = phaseEnded
	a.outcome = o
	delete(a.dispatcher.activeJobs, a.number)
	delete(a.dispatcher.activeJobsByID, a.job.ID())
	close(a.done)
}

func (a *activeJob) stopTimers() {
	a.retryTimer.Stop()
	a.maxWaitTimer.Stop()
}

// taskEnded takes the end of a task.
func (a *activeJob) handleTaskEnded(s *sidecar, index uint32, r wire.Result, run time.Duration) {
	if a.phase == phaseEnded || int(index) >= len(a.placements) || a.placements[index].sidecar != s.number {
		return
	}

	p := &a.placements[index]
	p.sidecar = 0

	switch r {
	case wire.Result_RESULT_DONE:
		p.done = true
		a.dispatcher.runTimes.observe(a.job, run)
		a.dispatcher.releaseRate.Observe(a.job.Policy().Priority(), run)

		if run > a.slowestRun {
			a.slowestRun, a.slowestSidecar = run, s.name
		}
	case wire.Result_RESULT_FAILED:
		p.failures++
		a.excluded[s.number] = true
	case wire.Result_RESULT_REJECTED, wire.Result_RESULT_LOST, wire.Result_RESULT_STOPPED:
		a.excluded[s.number] = true
	default:
	}

	if r != wire.Result_RESULT_DONE {
		// A task that was stopped for its long run may be a long one, and gets more time at the next backend server.
		a.expectedRun = max(a.expectedRun, run)

		a.dispatcher.log.Info().Str("event", "task_not_done").Str("job", a.job.ID()).Uint32("task", index).
			Str("sidecar", s.name).Stringer("result", r).Dur("run", run).Int("failures", p.failures).Msg("a task is not done")
	}

	switch {
	case p.failures >= a.job.Policy().MaxAttempts():
		a.end(job.Failed{}, "a task failed too often")
	case a.allDone():
		a.logLate()
		a.end(job.Completed{}, "")
	case !p.done:
		a.placeUnplaced()
	}
}

// logLate tells where the time of a job went that is completed later than its objective for the expected run time.
func (a *activeJob) logLate() {
	took, objective := uptime.Now()-a.arrived, a.job.Policy().Objective(a.expectedRun)
	if took <= objective {
		return
	}

	a.dispatcher.log.Info().Str("event", "job_late").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
		Int("tasks", a.job.Tasks()).Dur("took", took).Dur("objective", objective).Dur("expected_run", a.expectedRun).
		Dur("first_launch", a.firstLaunch-a.arrived).Dur("last_launch", a.lastLaunch-a.arrived).
		Dur("slowest_run", a.slowestRun).Str("slowest_at", a.slowestSidecar).Msg("a job is completed later than its objective")
}

func (a *activeJob) allDone() bool {
	for _, p := range a.placements {
		if !p.done {
			return false
		}
	}

	return true
}

// placeAgain asks for room for the tasks of a running job that lost their place.
func (a *activeJob) placeUnplaced() {
	d := a.dispatcher

	d.requestReservations(a, a.unplaced(), uptime.Now())
	a.retryTimer.Reset(retryInterval)
}

// sidecarLost marks the tasks at a lost sidecar. They are placed again once they are sure not to run.
func (a *activeJob) handleSidecarLoss(s *sidecar) {
	delete(a.requested, s.number)
	delete(a.granted, s.number)

	lost := false

	for i := range a.placements {
		if a.placements[i].sidecar == s.number {
			a.placements[i].sidecarLost = true
			lost = true
		}
	}

	if lost {
		time.AfterFunc(lostTaskRunLimit, func() { a.freeLostTasks(s.number) })
	}
}

// unhold frees the tasks that were at a lost sidecar.
func (a *activeJob) freeLostTasks(number uint64) {
	d := a.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if a.phase == phaseEnded {
		return
	}

	freed := false

	for i := range a.placements {
		if p := &a.placements[i]; p.sidecarLost && p.sidecar == number {
			p.sidecarLost, p.sidecar = false, 0
			freed = true
		}
	}

	if freed {
		a.placeUnplaced()
	}
}
