package repeatable

import (
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// recordCancellations stops the tasks of cancelled jobs, whichever entry has placed them, and tells the other entries. Each
// cancellation is passed on once.
func (w *Worker) recordCancellations(from *entrySession, m *wire.Cancellations) {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := uptime.Now()

	var added []jobmemory.Cancellation

	for _, c := range jobmemory.DecodeCancellations(m) {
		if !w.cancelled.Record(c, now) {
			continue
		}

		added = append(added, c)

		for _, t := range w.tasks {
			if t.run.task.job == c.ID() {
				w.abandon(t)
			}
		}
	}

	if len(added) == 0 {
		return
	}

	w.log.Info().Str("event", "jobs_cancelled").Str("entry", from.entry).Int("jobs", len(added)).
		Int("entries", len(w.sessions)-1).Msg("jobs were cancelled; their tasks are stopped, and the other entries are told")

	for _, s := range w.sessions {
		if s != from {
			s.sendCancellations(added)
		}
	}
}

// sendCancellations tells the entry of cancelled jobs.
func (s *entrySession) sendCancellations(all []jobmemory.Cancellation) {
	for _, f := range jobmemory.CancellationFrames(all) {
		s.send(f)
	}
}
