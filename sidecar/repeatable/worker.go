package repeatable

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// tick is how often reservations expire and overdue tasks are looked for.
	checkInterval = 50 * time.Millisecond
	// rateWindow is the time over which the rate of launched tasks is averaged.
	rateWindow = time.Second
)

// Worker runs tasks at one backend server for the entries that are connected.
type Worker struct {
	name    string
	backend Backend
	log     zerolog.Logger
	routes  *RouteDistributor
	metrics *Metrics

	mu sync.Mutex
	// life is nil until the backend server has announced itself, and after it has left.
	incarnation *incarnation
	pool        reservation.Pool
	// sessions and tasks change under mu only.
	sessions map[uint64]*entrySession
	tasks    map[Task]*task
	// ready holds launched tasks that wait for their place; some may have ended meanwhile.
	launched []*task
	// next is the number of the next session.
	nextSession uint64
	leaving     bool
	stats       ejection.Statistics
	launchRates launchMeter
	// slowness is the mean of run times in proportion to the expected ones, zero if none is known.
	slowness float64
	// remember is called with the first announcement of each life.
	save func(Announcement)
}

// NewWorker returns a worker that waits for its backend server to announce itself. Without meters nothing is counted.
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

// Run expires reservations and looks for overdue tasks until the context ends.
func (w *Worker) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			w.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := uptime.Now()
	if n := w.pool.Expire(now); n > 0 {
		w.log.Warn().Str("event", "reservations_expired").Int("count", n).Msg("reserved room was not used in time")
	}

	for _, t := range w.tasks {
		if t.overdue(now) {
			w.log.Warn().Str("event", "task_overdue").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
				Dur("run", now-t.startedAt).Dur("expected", t.expected).Msg("a task is stopped, it runs far too long")
			t.stopOutcome = Lost
			w.stats.RecordResult(time.Now(), true, now-t.startedAt)
			w.stop(t)
		}
	}

	w.schedule(now)
}

// RememberWith sets where the first announcement of each life goes, so that Recall can bring it back to the next sidecar
// here before the backend server announces itself again.
func (w *Worker) SaveWith(f func(Announcement)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.save = f
}

// Recall takes an announcement that an earlier sidecar has remembered, unless the backend server has announced itself.
// It may be out of date: if another life answers in its place, it is dropped.
func (w *Worker) Restore(ctx context.Context, a Announcement) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != nil {
		return
	}

	a.sequence = 0
	w.beginIncarnation(ctx, a)
	w.updateCapacity()
}

// Announce takes an announcement of the backend server. It tells whether the announcement is in force.
func (w *Worker) Announce(ctx context.Context, a Announcement) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	l := w.incarnation

	switch {
	case l == nil || l.announcement.instance != a.instance || l.announcement.startedAtMS < a.startedAtMS:
		if l != nil && l.announcement.startedAtMS > a.startedAtMS {
			return false
		}

		w.beginIncarnation(ctx, a)

		if w.save != nil {
			w.save(a)
		}
	case l.announcement.startedAtMS > a.startedAtMS || l.announcement.sequence > a.sequence:
		return false
	default:
		if l.announcement.draining != a.draining {
			w.log.Info().Str("event", "backend_state").Str("instance", a.instance).Bool("draining", a.draining).
				Int64("sequence", a.sequence).Msg("the backend server changed its state")
		}

		l.announcement = a
	}

	w.updateCapacity()

	return true
}

// begin starts a new life of the backend server. Nothing of the one before runs any more.
func (w *Worker) beginIncarnation(ctx context.Context, a Announcement) {
	w.endIncarnation("the backend server began another life")

	w.incarnation = newIncarnation(ctx, w, a)
	w.stats = ejection.Statistics{}
	w.slowness = 0

	w.log.Info().Str("event", "backend_announced").Str("instance", a.instance).Str("service", a.service).
		Int64("born", a.startedAtMS).Int64("cpu", a.capacity.Millicores()).Strs("labels", a.labels).Msg("a backend server announced itself")

	go w.incarnation.run()
}

// Depart forgets the backend server if it is the instance that leaves.
func (w *Worker) Depart(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != nil && w.incarnation.announcement.instance == instance {
		w.endIncarnation("the backend server left")
	}
}

// finishLife ends the present life of the backend server, if there is one, and all its tasks.
func (w *Worker) endIncarnation(reason string) {
	if w.incarnation == nil {
		return
	}

	w.log.Info().Str("event", "backend_gone").Str("instance", w.incarnation.announcement.instance).Str("reason", reason).
		Int("tasks", len(w.tasks)).Msg("the backend server is gone")
	w.incarnation.cancel()

	w.incarnation = nil
	w.pool.Clear()

	for _, t := range w.tasks {
		w.finish(t, Lost)
	}

	w.updateCapacity()
}

// refit sets the room to what the backend server has now, and reports it.
func (w *Worker) updateCapacity() {
	var c job.Size
	if w.acceptsTasks() {
		c = w.incarnation.announcement.capacity
	} else {
		w.pool.Clear()
		w.rejectLaunched()
	}

	w.pool.SetCapacity(c, reservation.Headroom(c.Millicores()))
	w.schedule(uptime.Now())
}

// open tells whether new tasks are taken.
func (w *Worker) acceptsTasks() bool {
	return w.incarnation != nil && w.incarnation.ready && !w.incarnation.announcement.draining && !w.leaving
}

// settle gives free room to the requests that wait and reports changes.
func (w *Worker) schedule(now time.Duration) {
	w.startLaunched()

	if w.acceptsTasks() {
		w.pool.SetOvercommit(w.cpuEndingSoon(now))

		for _, g := range w.pool.Allocate(now) {
			if s := w.sessions[g.Key().Session()]; s != nil {
				s.send(wire.Frame_builder{Reserved: wire.Reserved_builder{
					Job: g.Key().Job(), Tasks: uint32(g.Tasks()), FreeCpu: w.pool.Free().Millicores(),
				}.Build()}.Build())
			}
		}
	}

	w.reportDue(now)
}

// reportDue reports to the entries for which the room changed enough.
func (w *Worker) reportDue(now time.Duration) {
	var room *wire.Room

	for _, s := range w.sessions {
		if !s.needsReport(now, w.reportableFreeCPU()) {
			continue
		}

		if room == nil {
			room = w.report(now)
		}

		s.report(now, room)
	}
}

// reportable returns the free thousandths of a core as reports are compared by them; a closed room is told apart from a
// full one.
func (w *Worker) reportableFreeCPU() int64 {
	if !w.acceptsTasks() {
		return -1
	}

	return w.pool.Free().Millicores()
}

// report returns the state of the room.
func (w *Worker) report(now time.Duration) *wire.Room {
	b := wire.Room_builder{
		Open:          w.acceptsTasks(),
		Suspect:       w.stats.Suspect(),
		FreeCpu:       w.pool.Free().Millicores(),
		FreeMemory:    w.pool.Free().MemoryMB(),
		QueuedCpu:     w.pool.QueuedCPU(),
		LaunchedCpu:   w.launchRates.rates(now),
		RunningCpu:    w.runningCPU(),
		RoutesVersion: w.routes.Version(),
	}

	if w.incarnation != nil {
		b.Service = w.incarnation.announcement.service
		b.FailureDomain = w.incarnation.announcement.failureDomain
		b.Labels = w.incarnation.announcement.labels
		b.CapacityCpu = w.incarnation.announcement.capacity.Millicores()
		b.CapacityMemory = w.incarnation.announcement.capacity.MemoryMB()
		b.SlownessPermille = uint32(w.slowness * 1000)
	}

	if b.Suspect && !w.stats.AllowsProbe(time.Now()) {
		b.Open = false
	}

	return b.Build()
}

// endingSoon returns the thousandths of a core of tasks that are expected to end within a round trip to an entry.
func (w *Worker) cpuEndingSoon(now time.Duration) int64 {
	var sum int64

	for _, t := range w.tasks {
		if t.endsSoon(now) {
			sum += t.size.Millicores()
		}
	}

	return sum
}

// runningCPU returns thousandths of a core that run, by priority.
func (w *Worker) runningCPU() []int64 {
	sums := make([]int64, reservation.PriorityCount)

	for _, t := range w.tasks {
		if t.startedAt > 0 {
			sums[reservation.ClampPriority(t.priority)] += t.size.Millicores()
		}
	}

	return sums
}

// Leave stops taking tasks and waits until those that run have ended, at most until the context ends.
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

// Running returns the number of tasks that may run.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.tasks)
}

// meter measures how much is launched, by priority.
type launchMeter struct {
	// since is the begin of the present window, sums what was launched in it and last the rates of the one before.
	windowStart            time.Duration
	launchedCPU, lastRates [reservation.PriorityCount]int64
}

func (m *launchMeter) add(now time.Duration, priority int, cpu int64) {
	m.rates(now)
	m.launchedCPU[reservation.ClampPriority(priority)] += cpu
}

// rates returns thousandths of a core per second for each priority.
func (m *launchMeter) rates(now time.Duration) []int64 {
	if elapsed := now - m.windowStart; elapsed >= rateWindow {
		for p, sum := range m.launchedCPU {
			m.lastRates[p] = int64(float64(sum) / elapsed.Seconds())
		}

		m.windowStart, m.launchedCPU = now, [reservation.PriorityCount]int64{}
	}

	return slices.Clone(m.lastRates[:])
}
