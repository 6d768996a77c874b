package repeatable

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

const (
	// checkInterval is how often the worker checks for expired reservations and overdue tasks, and how long it waits
	// before it repeats an unanswered stop.
	checkInterval = 50 * time.Millisecond
	// idleCheckInterval replaces checkInterval while there is nothing to check but the sessions.
	idleCheckInterval = session.KeepAliveInterval
	// rateWindow is the minimum time over which launch rates are averaged.
	rateWindow = time.Second
)

// Worker runs tasks at one backend server for the connected entries.
type Worker struct {
	name    string
	backend Backend
	log     zerolog.Logger
	routes  *RouteDistributor
	metrics *Metrics

	mu sync.Mutex
	// server is what is believed of the backend server, and incarnation the one in force, nil if there is none.
	server      succession.State
	incarnation *incarnation
	// lastToken is higher than the fencing tokens of the starts at incarnations that have ended.
	lastToken int64
	pool      reservation.Pool
	// sessions and tasks change under mu only.
	sessions map[uint64]*entrySession
	tasks    map[Task]*task
	// launched holds tasks that wait for free capacity to start; some may have ended meanwhile.
	launched []*task
	// lastSession is the number of the latest session.
	lastSession uint64
	// leaving is true once Leave was called.
	leaving     bool
	stats       ejection.Statistics
	launchRates launchMeter
	neighbours  neighbourRecorder
	// slowness is that of the incarnation of the backend server.
	slowness runtimes.Slowness
	// save is called with the announcement of each incarnation once that has answered, with one that changes its drain state,
	// and with the last one when the backend server has left.
	save func(succession.Announcement)
	// pastCrashes has the latest crashes of the backend server, the newest last.
	pastCrashes []pastCrash
	// cancelled has the jobs that were cancelled lately, at any entry.
	cancelled jobmemory.Cancelled
	warmUp    warmUp
	placement regionOfServer
	// failureDomain is the domain of this sidecar, which counts until the backend server has announced its own. evacuations
	// changes under mu only.
	failureDomain string
	evacuations   evacuation.Current
	// sessionShare is the part of the known entries, in thousandths, that is in the set of sessions.
	sessionShare uint32
}

// NewWorker returns a worker that waits for its backend server to announce itself. Without metrics nothing is counted.
func NewWorker(name string, b Backend, r *RouteDistributor, m *Metrics, log zerolog.Logger) *Worker {
	w := &Worker{
		name: name, backend: b, log: log, routes: r, metrics: m,
		sessions: map[uint64]*entrySession{}, tasks: map[Task]*task{},
	}

	if m != nil {
		w.registerGauges(m.registry)
	}

	return w
}

// Run expires reservations, stops overdue tasks and keeps the sessions alive until the context ends.
func (w *Worker) Run(ctx context.Context) {
	t := time.NewTimer(checkInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			t.Reset(w.sweep())
		case <-ctx.Done():
			return
		}
	}
}

// sweep does the periodic work and returns the time until the next call, which is longer while there is no work.
func (w *Worker) sweep() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := uptime.Now()
	w.finishDeparture(now)
	w.applyWarmUp(now)

	inUse := w.sessionsInUse()

	if len(inUse) == 0 && len(w.tasks) == 0 {
		w.keepSessions(inUse, now, idleCheckInterval)
		w.tickLease(now, idleCheckInterval)

		return idleCheckInterval
	}

	w.keepSessions(inUse, now, checkInterval)
	w.tickLease(now, checkInterval)

	if n := w.pool.Expire(now); n > 0 {
		w.log.Warn().Str("event", "reservations_expired").Int("count", n).
			Msg("reservations expired before their tasks were launched")
	}

	for _, t := range w.tasks {
		if t.overdue(now) {
			w.log.Warn().Str("event", "task_overdue").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
				Dur("run", now-t.startedAt).Dur("expected", t.expected).
				Msg("stopping an overdue task: it runs for more than 4 times its expected run time plus 400 ms")
			t.stopOutcome = Lost
			w.stats.RecordResult(time.Now(), true, now-t.startedAt)
			w.stop(t)
		}
	}

	w.expireHeld(now)
	w.schedule(now)

	return w.nextCheck(now)
}

// tickLease records that this process runs, and checks again after the interval.
func (w *Worker) tickLease(now, interval time.Duration) {
	if w.incarnation != nil {
		w.incarnation.lease.Tick(now, interval)
	}
}

// SaveWith sets the function that saves what a restarted sidecar has to know of the backend server before it announces
// itself again: Restore passes it on.
func (w *Worker) SaveWith(f func(succession.Announcement)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.save = f
}

// Depart begins the end of the incarnation of the backend server if it is the one that leaves. The time of its start is in
// Unix milliseconds, zero if it is not known.
func (w *Worker) Depart(instance string, startedAtMS int64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.server.Depart(instance, startedAtMS) {
		w.saveAnnouncement(w.incarnation)
		w.beginDeparture(w.incarnation)
	}
}

// endIncarnation ends the current incarnation of the backend server, if there is one, gives up its tasks and begins the
// incarnation that was announced meanwhile, if there is one.
func (w *Worker) endIncarnation(reason string, end processEnd) {
	if w.incarnation == nil {
		return
	}

	w.log.Info().Str("event", "backend_gone").Str("instance", w.incarnation.instance).Str("reason", reason).
		Int("tasks", len(w.tasks)).Msg("incarnation of the backend server ended; its tasks are reported as lost, unless a start may still be carried out")
	w.incarnation.cancel()

	last := w.incarnation
	w.lastToken = max(w.lastToken, last.fenceStarts())
	w.incarnation = nil
	w.pool.Clear()
	w.pool.LiftLimits()
	w.warmUp.isCold = false
	w.loseTasks(last, end)

	if w.server.End() {
		w.beginIncarnation(last.ctx)
	}

	w.updateCapacity()
}

// updateCapacity sets the pool to the capacity of the backend server, or to zero while it does not accept tasks, less what
// orphaned runs occupy, and schedules.
func (w *Worker) updateCapacity() {
	var capacity, occupied job.Size
	if w.acceptsTasks() {
		capacity = w.server.Current().Capacity()
		occupied = w.incarnation.orphans.size(w.tasks, capacity)
	} else {
		w.pool.Clear()
		w.rejectLaunched()
	}

	before := w.pool.Capacity()
	w.pool.SetCapacity(capacity, reservation.Headroom(capacity.Millicores()))
	grown := w.pool.SetOccupied(occupied)

	shrunk := capacity.Millicores() < before.Millicores() || capacity.MemoryMB() < before.MemoryMB()
	if (shrunk || grown) && w.pool.Exceeded() {
		// What has not started may start at once elsewhere.
		w.pool.ReleaseReserved()
		w.rejectLaunched()
	}

	w.schedule(uptime.Now())
}

// acceptsTasks reports whether new tasks are accepted.
func (w *Worker) acceptsTasks() bool {
	i := w.incarnation

	return i != nil && i.ready && !i.notReached && !w.server.Current().Draining() && !w.leaving && !w.isEvacuated()
}

// schedule starts launched tasks, reserves free capacity for the waiting requests and reports changes to the entries.
func (w *Worker) schedule(now time.Duration) {
	w.applyWarmUp(now)
	w.startLaunched()

	if w.acceptsTasks() {
		w.pool.SetOvercommit(w.cpuEndingSoon(now))

		for _, g := range w.pool.Allocate(now) {
			if s := w.sessions[g.Key().Session()]; s != nil {
				s.send(wire.Frame_builder{Reserved: wire.Reserved_builder{
					Job: g.Key().Job(), Tasks: uint32(g.Tasks()), FreeCpu: w.free().Millicores(),
				}.Build()}.Build())
			}
		}
	}

	w.reportDue(now)
}

// cpuEndingSoon returns the capacity, in millicores, of the tasks that are expected to end within a round trip
// to an entry.
func (w *Worker) cpuEndingSoon(now time.Duration) int64 {
	var sum int64

	for _, t := range w.tasks {
		if t.endsSoon(now) {
			sum += t.size.Millicores()
		}
	}

	return sum
}

// runningCPU returns the capacity that started tasks use, in millicores for each priority.
func (w *Worker) runningCPU() []int64 {
	sums := make([]int64, reservation.PriorityCount)

	for _, t := range w.tasks {
		if t.startedAt > 0 {
			sums[reservation.ClampPriority(t.priority)] += t.size.Millicores()
		}
	}

	return sums
}

// Leave stops accepting tasks and waits until the current ones have ended, at most until the context ends.
func (w *Worker) Leave(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.updateCapacity()
	w.mu.Unlock()

	t := time.NewTicker(checkInterval)
	defer t.Stop()

	for w.Running() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Running returns the number of tasks that are launched and not certain to have ended.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.tasks)
}

// running returns the number of tasks that have started.
func (w *Worker) running() int {
	n := 0

	for _, t := range w.tasks {
		if t.startedAt > 0 {
			n++
		}
	}

	return n
}

// launchMeter measures the rate at which capacity is taken by started tasks, for each priority.
type launchMeter struct {
	// windowStart is the start of the current window, launchedCPU the capacity of the tasks that started in it and
	// lastRates the rates of the window before.
	windowStart            time.Duration
	launchedCPU, lastRates [reservation.PriorityCount]int64
}

func (m *launchMeter) add(now time.Duration, priority int, cpu int64) {
	m.rates(now)
	m.launchedCPU[reservation.ClampPriority(priority)] += cpu
}

// rates returns the rates of the last complete window, in millicores per second for each priority.
func (m *launchMeter) rates(now time.Duration) []int64 {
	if elapsed := now - m.windowStart; elapsed >= rateWindow {
		for p, sum := range m.launchedCPU {
			m.lastRates[p] = int64(float64(sum) / elapsed.Seconds())
		}

		m.windowStart, m.launchedCPU = now, [reservation.PriorityCount]int64{}
	}

	return slices.Clone(m.lastRates[:])
}
