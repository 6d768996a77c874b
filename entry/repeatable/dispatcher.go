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
	firstAgain = 15 * time.Millisecond
	// again is the pause between further requests.
	again = 25 * time.Millisecond
	// lostAfter is how long tasks of a lost sidecar may run on: until the sidecar misses this entry and stops them, or
	// until their lease ends if it was lost at the last moment.
	lostAfter = 1150 * time.Millisecond
	// settleTime is how long after its start an entry expects to hear of further backend servers.
	settleTime = 600 * time.Millisecond
	// pause is a gap in the clock of this process from which on its callers may have sent their jobs elsewhere.
	pause = 400 * time.Millisecond
	// pauseTick is how often the gap is looked for.
	pauseTick = 100 * time.Millisecond
	// drainPoll is how often the end of the jobs in flight is looked for.
	drainPoll = 50 * time.Millisecond
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
	sidecars map[uint64]*sidecar
	flights  map[uint64]*flight
	ids      map[string]*flight
	// nextSidecar and nextFlight are the last numbers given.
	nextSidecar, nextFlight uint64
	runs                    runTimes
	turnover                admission.ReleaseRateEstimator
	fetching                catchUp
	leaving                 bool
}

// NewDispatcher returns a dispatcher without sidecars.
func NewDispatcher(b *routes.Book, m *Meters, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{
		log: log, routes: b, meters: m, started: uptime.Now(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		sidecars: map[uint64]*sidecar{}, flights: map[uint64]*flight{}, ids: map[string]*flight{},
	}
}

// Submit runs a job and returns how it ended. When the context ends, the caller has left and the job is stopped.
func (d *Dispatcher) Submit(ctx context.Context, j job.Job) job.Outcome {
	begin := uptime.Now()
	f, refusal := d.admit(j, begin)

	if refusal != nil {
		d.meters.ended(j, *refusal, uptime.Now()-begin)

		return *refusal
	}

	deadline := time.NewTimer(j.Timeout())
	defer deadline.Stop()

	select {
	case <-f.done:
	case <-ctx.Done():
		return d.abandon(f, "the caller has left")
	case <-deadline.C:
		return d.abandon(f, "the caller's deadline has passed")
	}

	o := f.result()
	d.meters.ended(j, o, uptime.Now()-begin)

	return o
}

// admit takes a job or refuses it. A job that is in flight already is joined.
func (d *Dispatcher) admit(j job.Job, now time.Duration) (*flight, *job.Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if f := d.ids[j.ID()]; f != nil {
		f.callers++

		return f, nil
	}

	run := d.runs.expect(j)
	load := d.load(j, now)

	if d.leaving {
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
		f := d.take(j, run, now)
		f.again = time.AfterFunc(firstAgain, f.askAgain)
		f.giveUp = time.AfterFunc(v.MaxWait(), f.runOut)
		d.ask(f, f.job.Tasks(), now)

		return f, nil
	}

	return nil, nil
}

func (d *Dispatcher) take(j job.Job, run, now time.Duration) *flight {
	d.nextFlight++
	f := newFlight(d, d.nextFlight, j, run, now)
	d.flights[f.number] = f
	d.ids[j.ID()] = f

	return f
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
		if !s.usable(j, now) {
			continue
		}

		servers++
		free += s.free().Millicores()
		queued += s.queuedBefore(j.Policy().Priority())
		capacity += s.capacity().Millicores()
		running.Add(s.room.GetRunningCpu())
		launched.Add(s.room.GetLaunchedCpu())

		if s.capacity().Millicores() > largest.Millicores() {
			largest = s.capacity()
		}
	}

	priority := j.Policy().Priority()
	rate := d.turnover.Rate(priority, capacity, running, launched)

	return admission.NewLoad(free, queued, capacity, running, priority, rate, largest, servers).
		WithWarmUp(d.started + settleTime - now)
}

// ask reserves room for n more tasks.
func (d *Dispatcher) ask(f *flight, n int, now time.Duration) {
	servers := make([]jobplacement.Server, 0, len(d.sidecars))

	for _, s := range d.sidecars {
		if s.usable(f.job, now) && !f.excluded[s.number] && f.asked[s.number] == 0 {
			servers = append(servers, s.server(f.job.Policy().Priority()))
		}
	}

	p := jobplacement.Choose(jobplacement.NewDemand(n, f.job.Size(), f.job.Constraints(), f.expected), servers, d.random)

	share := p.NeededShare(n, f.outstanding())

	for _, a := range p.Requests() {
		s := d.sidecars[a.ID()]
		f.asked[s.number] += a.Tasks()
		s.reserve(f, a.Tasks(), share, now)
	}

	if len(servers) == 0 {
		// Nothing is left but where tasks failed before; they may be asked next time.
		clear(f.excluded)
	}

	d.log.Debug().Str("event", "job_asks").Str("job", f.job.ID()).Int("tasks", n).Int("places", len(p.Requests())).
		Int("short", p.Shortfall()).Int("candidates", len(servers)).Int("excluded", len(f.excluded)).Int("asked", len(f.asked)).Msg("room is asked for")
}

// abandon takes a caller away that does not wait any more, and ends the job after the last one.
func (d *Dispatcher) abandon(f *flight, reason string) job.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()

	if f.phase == ended {
		return f.outcome
	}

	o := f.givenUp(reason, 0)
	f.callers--

	if f.callers == 0 {
		f.end(o, reason)
	}

	return o
}

// Callers returns how many callers wait for a job.
func (d *Dispatcher) Callers(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	if f := d.ids[id]; f != nil {
		return f.callers
	}

	return 0
}

// Servers returns the number of backend servers of a service that take tasks.
func (d *Dispatcher) Servers(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, s := range d.sidecars {
		if s.room.GetOpen() && s.room.GetService() == service && s.Alive() {
			n++
		}
	}

	return n
}

// Cancel ends a job by its id on behalf of its caller. It tells whether the job was in flight here.
func (d *Dispatcher) Cancel(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	f := d.ids[id]
	if f == nil {
		return false
	}

	f.end(job.Cancelled{}, "cancelled")

	return true
}

// State tells whether a job is in flight here, and whether one of its tasks has started.
func (d *Dispatcher) State(id string) (known, started bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	f := d.ids[id]
	if f == nil {
		return false, false
	}

	return true, f.phase != waiting
}

// Waiting returns the number of jobs of a kind of which no task has started.
func (d *Dispatcher) Waiting(kind string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, f := range d.flights {
		if f.phase == waiting && f.job.Policy().Kind() == kind {
			n++
		}
	}

	return n
}

// Ready tells whether jobs can be served.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.leaving && d.routes.Table() != nil && len(d.sidecars) > 0
}

// Refuse lets all further jobs be refused.
func (d *Dispatcher) Refuse() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.leaving = true
}

// InFlight returns the number of jobs that have not ended.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return len(d.flights)
}

// Drain waits until no job is in flight.
func (d *Dispatcher) Drain(ctx context.Context) error {
	t := time.NewTicker(drainPoll)
	defer t.Stop()

	for d.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "%d repeatable jobs are in flight", d.InFlight())
		}
	}

	return nil
}

// Run watches for pauses of this process until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(pauseTick)
	defer t.Stop()

	last := uptime.Now()

	for {
		select {
		case <-t.C:
			now := uptime.Now()
			if now-last > pauseTick+pause {
				d.paused(now - last)
			}

			last = now
		case <-ctx.Done():
			return
		}
	}
}

// paused ends all jobs after this process stood still: their tasks were stopped by the sidecars, and their callers may
// have sent them elsewhere.
func (d *Dispatcher) paused(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.log.Warn().Str("event", "process_paused").Dur("gap", gap).Int("jobs", len(d.flights)).
		Msg("this process stood still, its jobs are given up")

	for _, f := range d.flights {
		f.end(f.givenUp("the entry stood still", time.Second), "pause")
	}
}
