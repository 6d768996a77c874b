package repeatable

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// reportGap is the least time between two reports of a changed room to one entry, for each entry that is connected:
	// with many entries the reports of all sidecars would cost each of them more than the jobs.
	reportIntervalPerEntry = 6 * time.Millisecond
	// leastReportGap is the same with few entries.
	minReportInterval = 20 * time.Millisecond
	// reportShare is the change of free room, in proportion to the capacity, that is worth a report.
	minReportChange = 0.08
)

// entrySession is the session of one entry.
type entrySession struct {
	*session.Session

	worker *Worker
	number uint64
	entry  string
	// reported is the time of the last report and free what it said.
	reportedAt      time.Duration
	reportedFreeCPU int64
	// routes is the newest version of the routes that the entry has.
	routesVersion uint64
}

// Serve speaks with an entry until the session ends, then stops the entry's tasks.
func (w *Worker) Serve(ctx context.Context, entry string, t *session.Session) {
	s := &entrySession{Session: t, worker: w, entry: entry}

	w.mu.Lock()
	w.nextSession++
	s.number = w.nextSession
	w.sessions[s.number] = s
	s.reportNow()
	w.mu.Unlock()

	w.log.Info().Str("event", "entry_connected").Str("entry", entry).Msg("an entry is connected")

	k := &periodicReporter{s}
	go k.run(ctx)

	t.Run(ctx, s.handleFrame)
	w.endSession(s)
}

// drop ends a session: its entry is gone or cut off, so its callers may send their jobs elsewhere.
func (w *Worker) endSession(s *entrySession) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.sessions, s.number)
	w.pool.ReleaseSession(s.number)

	stopped := 0

	for _, t := range w.tasks {
		if t.key.Session() == s.number {
			w.stop(t)

			stopped++
		}
	}

	w.routes.Remove(s)
	w.log.Warn().Str("event", "entry_lost").Str("entry", s.entry).Dur("silent", s.Heard()).Int("stopped", stopped).
		Msg("the session with an entry has ended")
	w.schedule(uptime.Now())
}

// keeper sends a report now and then, which renews the session.
type periodicReporter struct{ session *entrySession }

func (k *periodicReporter) run(ctx context.Context) {
	t := time.NewTicker(session.KeepAlive)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			k.session.worker.mu.Lock()
			if now := uptime.Now(); now-k.session.reportedAt >= session.KeepAlive/2 {
				k.session.report(now, k.session.worker.report(now))
			}
			k.session.worker.mu.Unlock()
		case <-k.session.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *entrySession) send(f *wire.Frame) { s.Send(f) }

// due tells whether what is free changed enough to matter to the entry.
func (s *entrySession) needsReport(now time.Duration, free int64) bool {
	change := max(free-s.reportedFreeCPU, s.reportedFreeCPU-free)
	gap := max(minReportInterval, reportIntervalPerEntry*time.Duration(len(s.worker.sessions)))

	return now-s.reportedAt >= gap && float64(change) >= minReportChange*float64(s.worker.pool.Capacity().Millicores()+1)
}

// reportNow tells the entry the present state of the room.
func (s *entrySession) reportNow() {
	now := uptime.Now()
	s.report(now, s.worker.report(now))
}

// report tells the entry the state of the room.
func (s *entrySession) report(now time.Duration, room *wire.Room) {
	s.reportedAt, s.reportedFreeCPU = now, s.worker.reportableFreeCPU()
	s.send(wire.Frame_builder{Room: room}.Build())
}

func (s *entrySession) sendEnded(number uint64, index uint32, r wire.Result, run time.Duration) {
	s.send(wire.Frame_builder{Ended: wire.Ended_builder{
		Job: number, Index: index, Result: r, RunMs: uint32(run.Milliseconds()), FreeCpu: s.worker.pool.Free().Millicores(),
	}.Build()}.Build())
}

func (s *entrySession) handleFrame(f *wire.Frame) {
	switch f.WhichBody() {
	case wire.Frame_KeepAlive_case:
		s.worker.routes.RecordVersion(s, f.GetKeepAlive().GetRoutesVersion())
	case wire.Frame_Reserve_case:
		s.reserve(f.GetReserve())
	case wire.Frame_Release_case:
		s.release(f.GetRelease())
	case wire.Frame_Launch_case:
		s.worker.launch(s, f.GetLaunch())
	case wire.Frame_Halt_case:
		s.worker.halt(s, f.GetHalt())
	case wire.Frame_RoutesFetch_case:
		s.worker.routes.Fetch(s, f.GetRoutesFetch().GetVersion())
	case wire.Frame_Routes_case:
		s.worker.routes.Receive(f.GetRoutes())
	default:
		s.worker.log.Warn().Str("event", "frame_unknown").Str("entry", s.entry).Msg("a frame is not understood")
	}
}

func (s *entrySession) reserve(m *wire.Reserve) {
	w := s.worker

	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.acceptsTasks() {
		s.reportNow()

		return
	}

	now := uptime.Now()
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

	w.pool.Add(reservation.NewRequest(
		reservation.NewKey(s.number, m.GetJob()), int(m.GetTasks()), job.NewSize(m.GetCpu(), m.GetMemory()),
		int(m.GetPriority()), now-ms(m.GetWaitedMs()), now+ms(m.GetPatienceMs()), ms(m.GetExpectedMs()),
		float64(m.GetNeededPermille())/1000,
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
