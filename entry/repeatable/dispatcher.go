// Package repeatable dispatches repeatable jobs: it reserves capacity for all tasks of a job at sidecars, starts them
// together, and stops them when the caller of the job has left.
package repeatable

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

const (
	// firstRetryDelay is how long a job waits for its reservations before it requests more at further backend servers.
	firstRetryDelay = 15 * time.Millisecond
	// retryInterval is the time between further requests for reservations.
	retryInterval = 25 * time.Millisecond
	// warmUpTime is how long after its start an entry expects further backend servers to connect.
	warmUpTime = 600 * time.Millisecond
	// pauseThreshold is the delay of a clock check above which this process counts as paused: its callers may have
	// resubmitted their jobs to another entry.
	pauseThreshold = 450 * time.Millisecond
	// tickInterval is the time between clock checks, and between checks of the sessions.
	tickInterval = 50 * time.Millisecond
	// shutdownRetryAfter is when a caller that was refused by an entry that is shutting down may retry, at another entry.
	shutdownRetryAfter = 100 * time.Millisecond
	// drainPollInterval is how often Drain checks whether all jobs have ended.
	drainPollInterval = 50 * time.Millisecond
)

// Dispatcher places the tasks of jobs at the connected sidecars.
type Dispatcher struct {
	log     zerolog.Logger
	routes  *routes.Current
	metrics *Metrics
	// started is when this dispatcher was created, on the clock of package uptime.
	started time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// sidecars, activeJobs and activeJobsByID change under mu only. The first two are keyed by number.
	sidecars       map[uint64]*sidecar
	activeJobs     map[uint64]*activeJob
	activeJobsByID map[string]*activeJob
	// lastSidecarNumber and lastJobNumber are the numbers assigned last.
	lastSidecarNumber, lastJobNumber uint64
	// ended has the outcomes of jobs that have ended here lately.
	ended        jobmemory.Ended
	cancelled    cancellations
	evacuations  evacuation.Current
	runTimes     runTimeEstimator
	runRatios    runtimes.Model
	releaseRate  admission.ReleaseRateEstimator
	throttle     admission.Throttle
	routeFetcher routeFetcher
	// quarantine has the kinds that are restricted because they seem to crash backend servers.
	quarantine quarantine.Tracker
	// interference has the pairs of kinds that slow each other down, nil if they are not to be kept apart.
	interference *interference.Model
	// zoneless has the services that have no zone, and so no restricted kinds, while the quarantine is in use.
	zoneless map[string]bool
	// crashes has the crashes under tasks of all entries. earlyCrashes has those that were reported while this entry was
	// new; they are judged together, in the order in which they happened.
	crashes      crashHistory
	earlyCrashes []reportedCrash
	// clockCheckedAt is the time of the last clock check, zero before the first one.
	clockCheckedAt time.Duration
	// sidecarEstimate is the estimated number of sidecars in the deployment, as of the last tick.
	sidecarEstimate int
	// regions has the region of each failure domain.
	regions      map[string]string
	shuttingDown bool
	// finishBy is when all jobs shall have ended once shuttingDown is true.
	finishBy time.Duration
}

// NewDispatcher returns a dispatcher to which no sidecar is connected.
func NewDispatcher(r *routes.Current, m *Metrics, log zerolog.Logger) *Dispatcher {
	now := uptime.Now()
	r.Confirm(now)

	return &Dispatcher{
		log: log, routes: r, metrics: m, started: now,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		sidecars: map[uint64]*sidecar{}, activeJobs: map[uint64]*activeJob{}, activeJobsByID: map[string]*activeJob{},
	}
}

// Submit runs a job and returns its outcome. The end of the context means that the caller has left; the job is stopped
// unless another caller waits for it.
func (d *Dispatcher) Submit(ctx context.Context, j job.Job) job.Outcome {
	begin := uptime.Now()
	a, answer := d.admit(j, begin)

	if answer != nil {
		d.metrics.recordOutcome(j, answer, uptime.Now()-begin)

		return answer
	}

	deadline := time.NewTimer(j.Timeout())
	defer deadline.Stop()

	select {
	case <-a.done:
	case <-ctx.Done():
		return d.removeCaller(a, "the caller has left")
	case <-deadline.C:
		return d.removeCaller(a, "the caller's deadline has passed")
	}

	o := a.result()
	d.metrics.recordOutcome(j, o, uptime.Now()-begin)

	return o
}

// admit admits a job, or returns the outcome of one that is not admitted. A caller that submits an active job again joins
// that job.
func (d *Dispatcher) admit(j job.Job, now time.Duration) (*activeJob, job.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handlePause(now)

	if a := d.activeJobsByID[j.ID()]; a != nil {
		a.callers++

		return a, nil
	}

	if o, ok := d.remembered(j, now); ok {
		return nil, o
	}

	if d.crashes.isDeadly(j) {
		d.log.Info().Str("event", "job_deadly").Str("job", j.ID()).Str("kind", j.Policy().Kind()).
			Msg("job failed on arrival: a task of it crashes the backend servers that start it")

		return nil, job.Failed{}
	}

	run := d.runTimes.estimate(j)
	load := d.load(j, now)

	switch v := d.decide(j, run, load, now, d.random).(type) {
	case admission.Refuse:
		return nil, d.refuse(j, run, load, v.Reason(), v.RetryAfter())
	case admission.Admit:
		a := d.addJob(j, run, now)
		a.retryTimer = time.AfterFunc(firstRetryDelay, a.retryReservations)
		a.maxWaitTimer = time.AfterFunc(v.MaxWait(), a.handleMaxWait)
		d.requestReservations(a, a.job.Tasks(), now)

		return a, nil
	}

	return nil, nil
}

// decide decides on a job that arrives now. It changes nothing but the state of random.
func (d *Dispatcher) decide(
	j job.Job, run time.Duration, load admission.Load, now time.Duration, random *rand.Rand,
) admission.Decision {
	if d.shuttingDown && now+j.Policy().Objective(run) > d.finishBy {
		return admission.NewRefuse("the entry is shutting down", shutdownRetryAfter)
	}

	decision := admission.Decide(j, run, load, random)

	if v, ok := decision.(admission.Admit); ok && d.throttle.Refuses(j.Policy().Kind(), now, random) {
		return admission.NewRefuse(admission.Throttled, admission.RetryAfter(v.ExpectedWait(), random))
	}

	return decision
}

// refuse logs that a job is refused and returns the refusal.
func (d *Dispatcher) refuse(
	j job.Job, run time.Duration, load admission.Load, reason string, retryAfter time.Duration,
) job.Refused {
	d.log.Info().Str("event", "job_refused").Str("job", j.ID()).Str("kind", j.Policy().Kind()).Str("reason", reason).
		Int("tasks", j.Tasks()).Int64("cpu", j.Size().Millicores()).Dur("expected_run", run).Stringer("load", load).
		Dur("retry_after", retryAfter).Uint64("routes", d.routes.Version()).
		Stringer("kind_level", d.quarantine.Level(j.Policy().Kind())).Msg("job refused")

	return job.NewRefused(reason, retryAfter)
}

func (d *Dispatcher) addJob(j job.Job, run, now time.Duration) *activeJob {
	d.lastJobNumber++
	a := newActiveJob(d, d.lastJobNumber, j, run, now)
	d.activeJobs[a.number] = a
	d.activeJobsByID[j.ID()] = a
	d.crashes.apply(a)

	return a
}

// load returns the load of the job's service, from the last reports of the sidecars that can run the job.
func (d *Dispatcher) load(j job.Job, now time.Duration) admission.Load {
	var (
		free, queued, capacity int64
		running, launched      admission.Usage
		largest                job.Size
		evacuated              evacuatedServers
		servers                int
	)

	for _, s := range d.sidecars {
		evacuated.add(j, s)

		if d.omission(j, s, now) != "" {
			continue
		}

		servers++
		free += s.freeCapacity().Millicores()
		queued += s.queuedMillicores(j.Policy().Priority())
		capacity += s.usableMillicores()
		running.Add(s.report.GetRunningCpu())
		launched.Add(s.report.GetLaunchedCpu())

		if s.capacity().Millicores() > largest.Millicores() {
			largest = s.capacity()
		}
	}

	priority := j.Policy().Priority()
	rate := d.releaseRate.Rate(priority, capacity, running, launched)

	return admission.NewLoad(free, queued, capacity, running, priority, rate, largest, servers).
		WithWarmUp(d.started + warmUpTime - now).WithElsewhere(d.serversElsewhere(j, now)).WithEvacuated(evacuated.reason(j))
}

// requestReservations requests reservations for n more tasks.
func (d *Dispatcher) requestReservations(a *activeJob, n int, now time.Duration) {
	ratios := d.runRatios.Kind(a.job.Policy().Kind(), now)
	servers, limited := d.candidates(a, ratios, now)

	p := jobplacement.Choose(a.demand(n, now), servers, d.random)

	share := p.NeededShare(n, a.requestedCount())

	for _, r := range p.Requests() {
		s := d.sidecars[r.ID()]
		a.requested[s.number] += r.Tasks()
		s.requestReservation(a, r.Tasks(), share, now)
	}

	if len(servers) == 0 {
		a.readmit(limited)
	}

	d.log.Debug().Str("event", "job_asks").Str("job", a.job.ID()).Int("tasks", n).Int("places", len(p.Requests())).
		Int("short", p.Shortfall()).Int("candidates", len(servers)).Int("excluded", len(a.excluded)).
		Int("asked", len(a.requested)).Msg("requested reservations for the tasks of a job")
}

// candidates returns the backend servers where tasks of the job may be placed, and whether the limit of the job rules others
// out.
func (d *Dispatcher) candidates(a *activeJob, ratios *runtimes.Kind, now time.Duration) (servers []jobplacement.Server, limited bool) {
	servers = make([]jobplacement.Server, 0, len(d.sidecars))
	limit := a.job.Constraints().MaxTasksPerServer()

	var placed map[string]int
	if limit > 0 {
		placed = a.placedTasks()
	}

	for _, s := range d.sidecars {
		if !s.canRun(a.job, now) || a.excluded[s.number] > 0 || a.requested[s.number] > 0 {
			continue
		}

		if limit > 0 && placed[s.name] >= limit {
			limited = true

			continue
		}

		candidate := s.candidateFor(a.job, ratios).WithPlaced(placed[s.name]).WithSlowdown(d.slowdown(a.job, s))

		switch d.access(a.job, s) {
		case quarantine.Allowed:
			servers = append(servers, candidate)
		case quarantine.LastResort:
			servers = append(servers, candidate.AsLastResort())
		case quarantine.Forbidden:
		}
	}

	return servers, limited
}

// removeCaller removes a caller that no longer waits, and ends the job when no caller is left.
func (d *Dispatcher) removeCaller(a *activeJob, reason string) job.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()

	if a.phase == phaseEnded {
		return a.outcome
	}

	a.callers--

	if a.callers > 0 {
		// The job may still start for the others, so this caller can't be told that it never runs.
		return job.NewInterrupted(reason)
	}

	o := a.incompleteOutcome(reason, 0)
	a.end(o, reason)

	return o
}

// RefuseNewJobs makes Submit refuse every further job, for the shutdown of the entry.
func (d *Dispatcher) RefuseNewJobs() { d.FinishBy(0) }

// FinishBy makes Submit refuse the jobs that may not meet their objective by the deadline, a time on the clock of package
// uptime. Until the shutdown of the entry is complete, callers still send jobs on connections that were idle.
func (d *Dispatcher) FinishBy(deadline time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.shuttingDown, d.finishBy = true, deadline
}

// ActiveJobs returns the number of jobs that have not ended.
func (d *Dispatcher) ActiveJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return len(d.activeJobs)
}

// Drain waits until no job is active.
func (d *Dispatcher) Drain(ctx context.Context) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()

	for d.ActiveJobs() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "drain with %d repeatable jobs still active", d.ActiveJobs())
		}
	}

	return nil
}

// Run detects pauses of this process and keeps the sessions with sidecars alive until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	d.checkClock(uptime.Now())

	for {
		select {
		case <-t.C:
			now := uptime.Now()
			d.checkClock(now)
			d.keepSessions(now)
		case <-ctx.Done():
			return
		}
	}
}
