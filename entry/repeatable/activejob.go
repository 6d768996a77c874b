package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// phase is the progress of a job.
type phase uint8

const (
	// phaseWaiting means that no task was launched.
	phaseWaiting phase = iota
	// phaseRunning means that at least one task was launched; the job can no longer be refused.
	phaseRunning
	phaseEnded
)

// reasonNoCapacity is the reason for the end of a job that is logged as refused instead.
const reasonNoCapacity = "no capacity"

// reasonDeadly is the reason for the end of a job with a task that is deadly.
const reasonDeadly = "a task crashes the backend servers that start it"

// reasonSuspected is the reason for the end of a job that is the likeliest cause of a crash while its kind may use the zone
// only. Started again there, it would most likely crash one more of the few servers that the kind has left.
const reasonSuspected = "a backend server crashed just after it had started a task of the job, whose kind crashes backend servers"

// placement is the state of one task of a job and the sidecar where it is placed.
type placement struct {
	// sidecar is the number of the sidecar, zero while the task is not placed, and server its name, which it keeps when it
	// connects again.
	sidecar  uint64
	server   string
	done     bool
	failures int
	crashes  crashCount
	// sidecarLost is true while the task may still run at a sidecar that was lost.
	sidecarLost bool
}

// activeJob is a job that has not ended. Its fields change under the dispatcher's mutex only.
type activeJob struct {
	dispatcher *Dispatcher
	number     uint64
	job        job.Job
	// expectedRun is the expected run time of a task. It is raised to the run time of a task that ran longer and did not
	// complete.
	expectedRun time.Duration
	// usualRun is the expected run time on arrival.
	usualRun   time.Duration
	arrived    time.Duration
	phase      phase
	placements []placement
	// requested and granted count reservations by the number of the sidecar. Granted ones have no launched task yet.
	requested, granted map[uint64]int
	// excluded has the sidecars where a task did not complete; they are not used while there are others.
	excluded                map[uint64]exclusion
	firstLaunch, lastLaunch time.Duration
	// slowestRun is the longest run time of a task that is done, slowestSidecar the name of the sidecar where it ran.
	slowestRun     time.Duration
	slowestSidecar string
	retryTimer     *time.Timer
	maxWaitTimer   *time.Timer
	// callers is the number of callers that wait; a job that was submitted again on another channel has several.
	callers int
	// done is closed after outcome is set.
	done    chan struct{}
	outcome job.Outcome
}

func newActiveJob(d *Dispatcher, number uint64, j job.Job, expectedRun, now time.Duration) *activeJob {
	return &activeJob{
		dispatcher: d, number: number, job: j, expectedRun: expectedRun, usualRun: expectedRun, arrived: now, callers: 1,
		placements: make([]placement, j.Tasks()),
		requested:  map[uint64]int{}, granted: map[uint64]int{}, excluded: map[uint64]exclusion{},
		done: make(chan struct{}),
	}
}

// result waits until the job has ended and returns its outcome.
func (a *activeJob) result() job.Outcome {
	<-a.done

	return a.outcome
}

// unplaced returns the number of tasks to be placed.
func (a *activeJob) unplaced() int {
	n := 0

	for _, p := range a.placements {
		if !p.done && p.sidecar == 0 && !p.sidecarLost {
			n++
		}
	}

	return n
}

// handleReserved handles n reservations that a sidecar has granted.
func (a *activeJob) handleReserved(s *sidecar, n int) {
	a.granted[s.number] += n

	a.requested[s.number] -= n
	if a.requested[s.number] <= 0 {
		// The sidecar has granted all requested reservations, so the job may request more there.
		delete(a.requested, s.number)
	}

	switch {
	case a.phase == phaseEnded || a.unplaced() == 0:
		a.releaseReservations()
		s.releaseJob(a.number)
	case s.evacuated || a.dispatcher.access(a.job, s) == quarantine.Forbidden:
		delete(a.granted, s.number)
		delete(a.requested, s.number)
		s.releaseJob(a.number)
	default:
		a.launch()
	}
}

// launch starts unplaced tasks on the granted reservations. When all tasks are placed, it releases the rest.
func (a *activeJob) launch() {
	if a.phase == phaseWaiting {
		a.phase = phaseRunning
		a.firstLaunch = uptime.Now()
		a.maxWaitTimer.Stop()
		a.dispatcher.throttle.RecordStart(a.job.Policy().Kind(), a.firstLaunch)

		a.dispatcher.log.Info().Str("event", "job_placed").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Int("tasks", a.job.Tasks()).Int("granted", a.grantedCount()).Dur("waited", a.firstLaunch-a.arrived).
			Dur("expected_run", a.expectedRun).Msg("launching the first tasks of a job")
	}

	d := a.dispatcher
	a.lastLaunch = uptime.Now()

	var surplus []*sidecar

	for _, number := range a.grantOrder() {
		s := d.sidecars[number]
		if s == nil {
			continue
		}

		var indices []uint32

		for i := range a.placements {
			p := &a.placements[i]
			if len(indices) < a.granted[number] && !p.done && p.sidecar == 0 && !p.sidecarLost {
				p.sidecar, p.server = number, s.name
				indices = append(indices, uint32(i))
			}
		}

		if len(indices) > 0 {
			s.send(wire.Frame_builder{Launch: wire.Launch_builder{
				Job: a.number, Name: a.job.ID(), Indices: indices, Input: a.job.Input(),
				ExpectedMs: uint32(a.expectedRun.Milliseconds()), Priority: uint32(a.job.Policy().Priority()),
				Kind:          a.job.Policy().Kind(),
				MaxPerServer:  uint32(a.job.Constraints().MaxTasksPerServer()),
				RequiredLabel: a.job.Constraints().RequiredLabel(), AllowedRegions: a.job.Policy().Regions(),
				WantsNeighbours: d.interference != nil,
			}.Build()}.Build())
		}

		if len(indices) < a.granted[number] && a.requested[number] == 0 {
			surplus = append(surplus, s)
		}
	}

	clear(a.granted)

	if a.unplaced() == 0 {
		for _, s := range surplus {
			s.releaseJob(a.number)
		}

		a.releaseReservations()
		a.retryTimer.Stop()
	}
}

// grantOrder returns the sidecars with granted reservations, the most reservations first, so that the input is sent to
// few sidecars.
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

// releaseReservations releases what is requested or reserved and not launched.
func (a *activeJob) releaseReservations() {
	for number := range a.requested {
		if s := a.dispatcher.sidecars[number]; s != nil {
			s.releaseJob(a.number)
		}
	}

	clear(a.requested)
	clear(a.granted)
}

// retryReservations requests reservations at further backend servers for the tasks that are still unplaced.
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

// handleMaxWait decides again on a job that got no reservation within its maximum wait.
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
			Int("tasks", a.job.Tasks()).Dur("waited", waited).Stringer("load", load).Dur("max_wait", v.MaxWait()).
			Msg("no capacity within the maximum wait of a job; extending it, as the job can still meet its objective")
		a.maxWaitTimer.Reset(v.MaxWait())
	case admission.Refuse:
		d.log.Info().Str("event", "job_refused").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Str("reason", v.Reason()).Int("tasks", a.job.Tasks()).Dur("expected_run", a.expectedRun).Dur("waited", waited).
			Stringer("load", load).Dur("retry_after", v.RetryAfter()).Uint64("routes", d.routes.Version()).
			Msg("job refused: no capacity within its maximum wait")
		a.end(job.NewRefused(v.Reason(), v.RetryAfter()), reasonNoCapacity)
	}
}

// incompleteOutcome returns the outcome of a job that did not complete: refused if no task was launched, interrupted
// otherwise.
func (a *activeJob) incompleteOutcome(reason string, after time.Duration) job.Outcome {
	if a.phase == phaseWaiting {
		return job.NewRefused(reason, after)
	}

	return job.NewInterrupted(reason)
}

// end ends the job, releases its reservations and stops its tasks.
func (a *activeJob) end(o job.Outcome, reason string) {
	if a.phase == phaseEnded {
		return
	}

	if a.phase == phaseWaiting {
		a.dispatcher.throttle.RecordFailure(a.job.Policy().Kind(), uptime.Now())
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

	if _, completed := o.(job.Completed); !completed && reason != reasonNoCapacity {
		a.dispatcher.log.Info().Str("event", "job_ended").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
			Str("reason", reason).Bool("started", a.phase == phaseRunning).Int("stopped_at", len(halted)).
			Dur("since_arrival", uptime.Now()-a.arrived).Msg("job ended before completion; stopping its tasks")
	}

	a.phase = phaseEnded
	a.outcome = o
	a.dispatcher.ended.Record(a.job.ID(), o, uptime.Now())
	delete(a.dispatcher.activeJobs, a.number)
	delete(a.dispatcher.activeJobsByID, a.job.ID())
	close(a.done)
}

func (a *activeJob) stopTimers() {
	a.retryTimer.Stop()
	a.maxWaitTimer.Stop()
}

// handleTaskEnded handles the end of a task. A task that did not complete is placed again unless it has
// failed as often as the job allows attempts.
func (a *activeJob) handleTaskEnded(s *sidecar, m *wire.Ended) {
	index, r, run := m.GetIndex(), m.GetResult(), time.Duration(m.GetRunMs())*time.Millisecond

	if a.phase == phaseEnded || int(index) >= len(a.placements) || a.placements[index].sidecar != s.number {
		return
	}

	p := &a.placements[index]
	p.sidecar = 0

	switch r {
	case wire.Result_RESULT_DONE:
		p.done = true
		a.dispatcher.learnRunTime(a, int(index), s, run, uptime.Now())
		a.observeInterference(s, m, uptime.Now())
		a.dispatcher.releaseRate.Observe(a.job.Policy().Priority(), run)

		if run > a.slowestRun {
			a.slowestRun, a.slowestSidecar = run, s.name
		}
	case wire.Result_RESULT_FAILED:
		p.failures++
		a.excluded[s.number] = failedThere
	case wire.Result_RESULT_REJECTED, wire.Result_RESULT_LOST, wire.Result_RESULT_STOPPED:
		a.excluded[s.number] = max(a.excluded[s.number], notCompletedThere)
	default:
	}

	if r == wire.Result_RESULT_LOST {
		p.crashes.add(m.GetCrashed(), m.GetSuspected())
	}

	if r != wire.Result_RESULT_DONE {
		// A task that was stopped because it ran too long may need that time, so the next backend server allows it more.
		a.expectedRun = max(a.expectedRun, run)

		a.dispatcher.log.Info().Str("event", "task_not_done").Str("job", a.job.ID()).Uint32("task", index).
			Str("sidecar", s.name).Stringer("result", r).Dur("run", run).Int("failures", p.failures).
			Bool("crashed", m.GetCrashed()).Int("crashes", p.crashes.total).Int("suspected", p.crashes.suspected).
			Msg("task ended without completing")
	}

	switch {
	case p.failures >= a.job.Policy().AttemptLimit():
		a.end(job.Failed{}, "a task failed too often")
	case p.crashes.isDeadly():
		a.end(job.Failed{}, reasonDeadly)
	case m.GetSuspected() && a.dispatcher.isKeptToZone(a.job):
		a.end(a.incompleteOutcome(reasonSuspected, 0), reasonSuspected)
	case p.crashes.lostTooOften():
		a.end(a.incompleteOutcome("a task was lost too often", 0), "a task was lost too often")
	case a.allDone():
		a.logLate()
		a.end(job.Completed{}, "")
	case !p.done:
		a.placeUnplaced()
	}
}

// logLate logs where the time went if the job completed later than its objective for the expected run time.
func (a *activeJob) logLate() {
	took, objective := uptime.Now()-a.arrived, a.job.Policy().Objective(a.expectedRun)
	if took <= objective {
		return
	}

	a.dispatcher.log.Info().Str("event", "job_late").Str("job", a.job.ID()).Str("kind", a.job.Policy().Kind()).
		Int("tasks", a.job.Tasks()).Dur("took", took).Dur("objective", objective).Dur("expected_run", a.expectedRun).
		Dur("first_launch", a.firstLaunch-a.arrived).Dur("last_launch", a.lastLaunch-a.arrived).
		Dur("slowest_run", a.slowestRun).Str("slowest_at", a.slowestSidecar).
		Msg("job completed later than its objective")
}

func (a *activeJob) allDone() bool {
	for _, p := range a.placements {
		if !p.done {
			return false
		}
	}

	return true
}

// placeUnplaced requests reservations for the tasks of a running job that are no longer placed.
func (a *activeJob) placeUnplaced() {
	d := a.dispatcher

	d.requestReservations(a, a.unplaced(), uptime.Now())
	a.retryTimer.Reset(retryInterval)
}
