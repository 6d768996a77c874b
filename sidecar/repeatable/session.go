package repeatable

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

const (
	// reportIntervalPerPair, times the number of pairs of connected entries, counted both ways, is the minimum time between
	// two reports of changed capacity to one entry. So a sidecar sends fewer reports the more entries it has: they would
	// cost each process more than the jobs, and entries learn of most changes from the answers to their own requests.
	reportIntervalPerPair = 6 * time.Millisecond
	// minReportInterval is the lower bound of this time, which applies with few entries.
	minReportInterval = 20 * time.Millisecond
	// reportAudience is how long after its last request an entry gets reports of changed capacity. Without requests, the
	// reports that keep the session alive are enough.
	reportAudience = 2 * time.Second
	// minReportChange is the change of the free capacity that causes a report, as a fraction of the whole capacity.
	minReportChange = 0.08
)

// entrySession is the session with one entry.
type entrySession struct {
	*session.Session

	worker *Worker
	// number identifies the session in the worker.
	number uint64
	// entry is the name of the entry.
	entry string
	// reportedAt is the time of the last report; reportedFreeCPU is its free capacity in millicores, or -1 if no
	// tasks were accepted.
	reportedAt      time.Duration
	reportedFreeCPU int64
	// requestedAt is the time of the last request for reservations, zero before the first.
	requestedAt time.Duration
	// routesVersion is the newest version of the routes that the entry has, routesFetches how often it was asked for its
	// routes, and routesUnavailable the last version that it asked for in vain. They change under the mutex of the route
	// distributor.
	routesVersion     uint64
	routesFetches     int
	routesUnavailable uint64
	// sidecars is the entry's estimate of the number of sidecars in the deployment, zero if it has none.
	sidecars atomic.Int64
	// startedAt is when the session began, on the clock of package uptime.
	startedAt time.Duration
	// wantsNeighbours is true once the entry has asked for what runs beside its tasks.
	wantsNeighbours bool
}

// Serve handles the frames of an entry until the session ends, then stops the entry's tasks.
func (w *Worker) Serve(ctx context.Context, entry string, t *session.Session) {
	s := &entrySession{Session: t, worker: w, entry: entry, startedAt: uptime.Now()}

	w.mu.Lock()
	w.lastSession++
	s.number = w.lastSession
	w.sessions[s.number] = s
	s.sendEvacuations(s.startedAt)
	s.reportNow()
	s.sendPastCrashes(s.startedAt)
	s.sendCancellations(w.cancelled.All(s.startedAt))
	w.mu.Unlock()

	w.log.Info().Str("event", "entry_connected").Str("entry", entry).Msg("entry connected")

	t.Run(ctx, s.handleFrame)
	w.endSession(s)
}

// endSession removes a session and stops its tasks: the entry has ended or cannot be reached, so its callers may send
// their jobs to another entry.
func (w *Worker) endSession(s *entrySession) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.sessions, s.number)
	w.neighbours.endSession(s)
	w.pool.ReleaseSession(s.number)

	stopped := 0

	for _, t := range w.tasks {
		if t.key.Session() == s.number {
			w.abandon(t)

			stopped++
		}
	}

	w.routes.Remove(s)
	w.log.Warn().Str("event", "entry_lost").Str("entry", s.entry).Dur("silent", s.SinceContact(uptime.Now())).
		Int("stopped", stopped).Msg("session with an entry ended; its tasks are stopped")
	w.schedule(uptime.Now())
}

func (s *entrySession) send(f *wire.Frame) { s.Send(f) }

// needsReport reports whether the entry has requested reservations lately, the free capacity has changed by
// minReportChange and the last report is old enough for another one. A change between open and closed, which a free
// capacity of -1 stands for, concerns every entry.
func (s *entrySession) needsReport(now time.Duration, free int64) bool {
	if (free < 0) != (s.reportedFreeCPU < 0) {
		return now-s.reportedAt >= minReportInterval
	}

	if s.requestedAt == 0 || now-s.requestedAt >= reportAudience {
		return false
	}

	change := max(free-s.reportedFreeCPU, s.reportedFreeCPU-free)
	n := time.Duration(len(s.worker.sessions))
	interval := max(minReportInterval, reportIntervalPerPair*n*(n-1))

	return now-s.reportedAt >= interval &&
		float64(change) >= minReportChange*float64(s.worker.pool.Capacity().Millicores()+1)
}

// reportNow sends the current capacity to the entry.
func (s *entrySession) reportNow() { s.report(s.worker.newReport(uptime.Now())) }

// report sends a capacity report to the entry.
func (s *entrySession) report(r *capacityReport) {
	s.reportedAt, s.reportedFreeCPU = r.at, s.worker.reportableFreeCPU()
	s.send(r.frame(s.Active()))
}

// sendEnded reports the end of a task.
func (s *entrySession) sendEnded(t *task, r wire.Result, run time.Duration) {
	crashed := r == wire.Result_RESULT_LOST && t.hasCrashed()

	m := wire.Ended_builder{
		Job: t.key.Job(), Index: t.run.task.index, Result: r, RunMs: uint32(run.Milliseconds()),
		FreeCpu: s.worker.free().Millicores(), Crashed: crashed,
		Suspected: crashed && t.key == t.incarnation.suspect,
	}.Build()
	s.describeNeighbours(m, t)
	s.send(wire.Frame_builder{Ended: m}.Build())
}

// sendRejected reports a task that was not launched.
func (s *entrySession) sendRejected(jobNumber uint64, index uint32) {
	s.send(wire.Frame_builder{Ended: wire.Ended_builder{
		Job: jobNumber, Index: index, Result: wire.Result_RESULT_REJECTED, FreeCpu: s.worker.free().Millicores(),
	}.Build()}.Build())
}

func (s *entrySession) handleFrame(f *wire.Frame) {
	switch f.WhichBody() {
	case wire.Frame_KeepAlive_case:
		s.sidecars.Store(int64(f.GetKeepAlive().GetSidecars()))
		s.worker.evacuations.Confirm(evacuation.ConfirmedAt(f.GetKeepAlive().GetEvacuationsAge(), uptime.Now()))
		s.worker.routes.RecordVersion(s, f.GetKeepAlive().GetRoutesVersion())
	case wire.Frame_Reserve_case:
		s.reserve(f.GetReserve())
	case wire.Frame_Release_case:
		s.release(f.GetRelease())
	case wire.Frame_Launch_case:
		s.worker.launch(s, f.GetLaunch())
	case wire.Frame_Halt_case:
		s.worker.halt(s, f.GetHalt())
	case wire.Frame_Cancellations_case:
		s.worker.recordCancellations(s, f.GetCancellations())
	case wire.Frame_Evacuations_case:
		s.worker.receiveEvacuations(s, f.GetEvacuations())
	case wire.Frame_RoutesFetch_case:
		s.worker.routes.Fetch(s, f.GetRoutesFetch().GetVersion())
	case wire.Frame_Routes_case:
		s.worker.routes.Receive(f.GetRoutes())
	case wire.Frame_ServiceSettings_case:
		s.worker.receiveServiceSettings(s, f.GetServiceSettings())
	default:
		s.worker.log.Warn().Str("event", "frame_unknown").Str("entry", s.entry).Msg("ignoring a frame of an unknown type")
	}
}

// maxReserveTasks bounds the tasks of one request for reservations. An entry requests up to 2.5 reservations for each of
// at most 1000 tasks.
const maxReserveTasks = 10_000

// isValid reports whether the pool can account for the request.
func isValid(m *wire.Reserve) bool {
	return m.GetTasks() > 0 && m.GetTasks() <= maxReserveTasks &&
		m.GetCpu() >= 0 && m.GetCpu() <= math.MaxInt32 && m.GetMemory() >= 0 && m.GetMemory() <= math.MaxInt32
}

func (s *entrySession) reserve(m *wire.Reserve) {
	w := s.worker

	if !isValid(m) {
		w.log.Warn().Str("event", "frame_invalid").Str("entry", s.entry).Uint64("job", m.GetJob()).
			Uint32("tasks", m.GetTasks()).Int64("cpu", m.GetCpu()).Int64("memory", m.GetMemory()).
			Msg("ignoring a request for reservations with values out of range")

		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.acceptsTasks() {
		s.reportNow()

		return
	}

	now := uptime.Now()
	s.SetActive(true, now)
	s.requestedAt = now

	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

	w.pool.Add(reservation.NewRequest(
		reservation.NewKey(s.number, m.GetJob()), int(m.GetTasks()), job.NewSize(m.GetCpu(), m.GetMemory()),
		int(m.GetPriority()), now-ms(m.GetWaitedMs()), now+ms(m.GetPatienceMs()), ms(m.GetExpectedMs()),
		min(1, float64(m.GetNeededPermille())/1000),
	))
	w.schedule(now)
}

func (s *entrySession) release(m *wire.Release) {
	w := s.worker

	w.mu.Lock()
	defer w.mu.Unlock()

	w.pool.Release(reservation.NewKey(s.number, m.GetJob()))
	w.schedule(uptime.Now())
}
