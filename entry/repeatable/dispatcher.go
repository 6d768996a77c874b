// Package repeatable dispatches repeatable jobs: it reserves room for all tasks of a job at sidecars, starts them
// together, and ends them with their caller.
package repeatable

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

const (
	// firstAgain is how long a job waits for its places before it asks at more backend servers.
	firstRetryDelay = 15 * time.Millisecond
	// again is the pause between further requests.
	retryInterval = 25 * time.Millisecond
	// lostAfter is how long tasks of a lost sidecar may run on: until the sidecar misses this entry and stops them, or
	// until their lease ends if it was lost at the last moment.
	lostTaskRunLimit = 1150 * time.Millisecond
	// settleTime is how long after its start an entry expects to hear of further backend servers.
	warmUpTime = 600 * time.Millisecond
	// pause is a gap in the clock of this process from which on its callers may have sent their jobs elsewhere.
	pauseThreshold = 400 * time.Millisecond
	// pauseTick is how often the gap is looked for.
	pauseCheckInterval = 100 * time.Millisecond
	// drainPoll is how often the end of the jobs in flight is looked for.
	drainPollInterval = 50 * time.Millisecond
)

// Dispatcher places jobs on the sidecars that are connected.
type Dispatcher struct {
	log    zerolog.Logger
	routes *routes.Book
	meters *Meters
	// started is when this dispatcher was made.
	started time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// sidecars, flights and ids change under mu only.
	sidecars       map[uint64]*sidecar
	activeJobs     map[uint64]*activeJob
	activeJobsByID map[string]*activeJob
	// nextSidecar and nextFlight are the last numbers given.
	lastSidecarNumber, lastJobNumber uint64
	runTimes                         runTimeEstimator
	releaseRate                      admission.ReleaseRateEstimator
	routeFetcher                     routeFetcher
	shuttingDown                     bool
}

// NewDispatcher returns a dispatcher without sidecars.
func NewDispatcher(b *routes.Book, m *Meters, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{
		log: log, routes: b, meters: m, started: uptime.Now(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		sidecars: map[uint64]*sidecar{}, activeJobs: map[uint64]*activeJob{}, activeJobsByID: map[string]*activeJob{},
	}
}

// Submit runs a job and returns how it ended. When the context ends, the caller has left and the job is stopped.
func (d *Dispatcher) Submit(ctx context.Context, j job.Job) job.Outcome {
	begin := uptime.Now()
	a, refusal := d.admit(j, begin)

	if refusal != nil {
		d.meters.recordOutcome(j, *refusal, uptime.Now()-begin)

		return *refusal
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
	d.meters.recordOutcome(j, o, uptime.Now()-begin)

	return o
}

// admit takes a job or refuses it. A job that is in flight already is joined.
func (d *Dispatcher) admit(j job.Job, now time.Duration) (*activeJob, *job.Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if a := d.activeJobsByID[j.ID()]; a != nil {
		a.callers++

		return a, nil
	}

	run := d.runTimes.estimate(j)
	load := d.load(j, now)

	if d.shuttingDown {
		r := job.NewRefused("the entry is shutting down", 100*time.Millisecond)

		return nil, &r
	}

	switch v := admission.Decide(j, run, load, d.random).(type) {
	case admission.Refuse:
		d.log.Info().Str("event", "job_refused").Str("job", j.ID()).Str("kind", j.Policy().Kind()).Str("reason", v.Reason()).
			Int("tasks", j.Tasks()).Int64("cpu", j.Size().Millicores()).Dur("expected_run", run).Stringer("load", load).
			Dur("retry_after", v.RetryAfter()).Uint64("routes", d.routes.Version()).Msg("a job is refused on arrival")

		r := job.NewRefused(v.Reason(), v.RetryAfter())

		return nil, &r
	case admission.Admit:
		a := d.addJob(j, run, now)
		a.retryTimer = time.AfterFunc(firstRetryDelay, a.retryReservations)
		a.maxWaitTimer = time.AfterFunc(v.MaxWait(), a.handleMaxWait)
		d.requestReservations(a, a.job.Tasks(), now)

		return a, nil
	}

	return nil, nil
}

func (d *Dispatcher) addJob(j job.Job, run, now time.Duration) *activeJob {
	d.lastJobNumber++
	a := newActiveJob(d, d.lastJobNumber, j, run, now)
	d.activeJobs[a.number] = a
	d.activeJobsByID[j.ID()] = a

	return a
}

// load sums up what is known of the job's service.
func (d *Dispatcher) load(j job.Job, now time.Duration) admission.Load {
	var (
		free, queued, capacity int64
		running, launched      admission.Usage
		largest                job.Size
	)

	servers := 0

	for _, s := range d.sidecars {
		if !s.canRun(j, now) {
			continue
		}

		servers++
		free += s.freeCapacity().Millicores()
		queued += s.queuedCPU(j.Policy().Priority())
		capacity += s.capacity().Millicores()
		running.Add(s.report.GetRunningCpu())
		launched.Add(s.report.GetLaunchedCpu())

		if s.capacity().Millicores() > largest.Millicores() {
			largest = s.capacity()
		}
	}

	priority := j.Policy().Priority()
	rate := d.releaseRate.Rate(priority, capacity, running, launched)

	return admission.NewLoad(free, queued, capacity, running, priority, rate, largest, servers).
		WithWarmUp(d.started + warmUpTime - now)
}

// ask reserves room for n more tasks.
func (d *Dispatcher) requestReservations(a *activeJob, n int, now time.Duration) {
	servers := make([]jobplacement.Server, 0, len(d.sidecars))

	for _, s := range d.sidecars {
		if s.canRun(a.job, now) && !a.excluded[s.number] && a.requested[s.number] == 0 {
			servers = append(servers, s.candidate(a.job.Policy().Priority()))
		}
	}

	p := jobplacement.Choose(jobplacement.NewDemand(n, a.job.Size(), a.job.Constraints(), a.expectedRun), servers, d.random)

	share := p.NeededShare(n, a.requestedCount())

	for _, r := range p.Requests() {
		s := d.sidecars[r.ID()]
		a.requested[s.number] += r.Tasks()
		s.requestReservation(a, r.Tasks(), share, now)
	}

	if len(servers) == 0 {
		// Nothing is left but where tasks failed before; they may be asked next time.
		clear(a.excluded)
	}

	d.log.Debug().Str("event", "job_asks").Str("job", a.job.ID()).Int("tasks", n).Int("places", len(p.Requests())).
		Int("short", p.Shortfall()).Int("candidates", len(servers)).Int("excluded", len(a.excluded)).Int("asked", len(a.requested)).Msg("room is asked for")
}

// abandon takes a caller away that does not wait any more, and ends the job after the last one.
func (d *Dispatcher) removeCaller(a *activeJob, reason string) job.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()

	if a.phase == phaseEnded {
		return a.outcome
	}

	o := a.incompleteOutcome(reason, 0)
	a.callers--

	if a.callers == 0 {
		a.end(o, reason)
	}

	return o
}

// Callers returns how many callers wait for a job.
func (d *Dispatcher) Callers(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	if a := d.activeJobsByID[id]; a != nil {
		return a.callers
	}

	return 0
}

// OpenServers returns the number of backend servers of a service that take tasks.
func (d *Dispatcher) OpenServers(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, s := range d.sidecars {
		if s.report.GetOpen() && s.report.GetService() == service && s.Alive() {
			n++
		}
	}

	return n
}

// Cancel ends a job by its id on behalf of its caller. It tells whether the job was in flight here.
func (d *Dispatcher) Cancel(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	a := d.activeJobsByID[id]
	if a == nil {
		return false
	}

	a.end(job.Cancelled{}, "cancelled")

	return true
}

// State tells whether a job is in flight here, and whether one of its tasks has started.
func (d *Dispatcher) State(id string) (known, started bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	a := d.activeJobsByID[id]
	if a == nil {
		return false, false
	}

	return true, a.phase != phaseWaiting
}

// WaitingJobs returns the number of jobs of a kind of which no task has started.
func (d *Dispatcher) WaitingJobs(kind string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, a := range d.activeJobs {
		if a.phase == phaseWaiting && a.job.Policy().Kind() == kind {
			n++
		}
	}

	return n
}

// Ready tells whether jobs can be served.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.shuttingDown && d.routes.Table() != nil && len(d.sidecars) > 0
}

// RefuseNewJobs makes Submit refuse every further job, for the shutdown of the entry.
func (d *Dispatcher) RefuseNewJobs() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.shuttingDown = true
}

// ActiveJobs returns the number of jobs that have not ended.
func (d *Dispatcher) ActiveJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return len(d.activeJobs)
}

// Drain waits until no job is in flight.
func (d *Dispatcher) Drain(ctx context.Context) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()

	for d.ActiveJobs() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "%d repeatable jobs are in flight", d.ActiveJobs())
		}
	}

	return nil
}

// Run watches for pauses of this process until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()

	last := uptime.Now()

	for {
		select {
		case <-t.C:
			now := uptime.Now()
			if now-last > pauseCheckInterval+pauseThreshold {
				d.handlePause(now - last)
			}

			last = now
		case <-ctx.Done():
			return
		}
	}
}

// paused ends all jobs after this process stood still: their tasks were stopped by the sidecars, and their callers may
// have sent them elsewhere.
func (d *Dispatcher) handlePause(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.log.Warn().Str("event", "process_paused").Dur("gap", gap).Int("jobs", len(d.activeJobs)).
		Msg("this process stood still, its jobs are given up")

	for _, a := range d.activeJobs {
		a.end(a.incompleteOutcome("the entry stood still", time.Second), "pause")
	}
}
