package repeatable

import (
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// SetFailureDomain sets the failure domain of this sidecar, which counts as that of the backend server until it announces
// its own.
func (w *Worker) SetFailureDomain(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.failureDomain = domain
	w.updateCapacity()
}

// isEvacuated reports whether the operator has evacuated the failure domain of the backend server, so that no task starts
// there. The caller holds mu.
func (w *Worker) isEvacuated() bool {
	domain := w.server.Current().FailureDomain()
	if domain == "" {
		domain = w.failureDomain
	}

	return w.evacuations.Value().Has(domain)
}

// AdoptEvacuations puts a value of the evacuated failure domains into force if it is newer than the one in force, and passes
// it on to the entries.
func (w *Worker) AdoptEvacuations(v evacuation.Value, source string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.adoptEvacuations(v, source, nil)
}

// receiveEvacuations handles a value that an entry has passed on.
func (w *Worker) receiveEvacuations(from *entrySession, v evacuation.Value) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.adoptEvacuations(v, from.entry, from)

	if v.Position() == w.evacuations.Value().Position() {
		w.evacuations.Confirm(uptime.Now())
	}
}

// adoptEvacuations puts a newer value into force and passes it on to the entries but the one that has sent it. If the
// failure domain of the backend server is evacuated from now on, it drops all requests and reservations and rejects the
// launches whose start was not sent. A start that got no answer is not sent again.
func (w *Worker) adoptEvacuations(v evacuation.Value, source string, from *entrySession) {
	now := uptime.Now()
	age := w.evacuations.Age(now)
	before := w.isEvacuated()

	changed, adopted := w.evacuations.Update(v)
	if !adopted {
		return
	}

	evacuation.LogChange(w.log, changed, v, source, age)

	// The entries learn why the backend server is closed first, so that they request capacity elsewhere at once.
	for _, s := range w.sessions {
		if s != from {
			s.sendEvacuations(v)
		}
	}

	if w.isEvacuated() != before {
		w.updateCapacity()
		w.reportToAll(now)
	}
}

// sendEvacuations sends the entry a value, unless nothing is known.
func (s *entrySession) sendEvacuations(v evacuation.Value) {
	if f := v.Frame(); f != nil {
		s.send(f)
	}
}

// rejectEvacuated rejects a launch, as the failure domain is evacuated. A run of an earlier submission of the same task is
// stopped first, as the entry may place a rejected task elsewhere at once.
func (w *Worker) rejectEvacuated(s *entrySession, jobNumber uint64, t Task) {
	w.recordEvacuatedStart(t)

	if old := w.tasks[t]; old != nil {
		w.replace(s, old, &task{run: NewRun(t, 0)}, jobNumber)

		return
	}

	s.sendRejected(jobNumber, t.index)
}

// recordEvacuatedStart logs and counts a launch that is rejected before its start is sent, as the failure domain is
// evacuated.
func (w *Worker) recordEvacuatedStart(t Task) {
	w.metrics.count("starts_rejected_total", "reason", "evacuated")
	w.log.Info().Str("event", "start_evacuated").Str("job", t.job).Uint32("task", t.index).
		Int64("position", w.evacuations.Value().Position()).
		Msg("rejecting a launch before its start is sent, as the failure domain is evacuated")
}
