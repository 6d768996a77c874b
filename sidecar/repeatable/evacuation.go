package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
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

	w.adoptEvacuations(v, source, nil, 0)
}

// receiveEvacuations handles a value that an entry has passed on.
func (w *Worker) receiveEvacuations(from *entrySession, m *wire.Evacuations) {
	w.mu.Lock()
	defer w.mu.Unlock()

	v, confirmedAt := evacuation.Decode(m), evacuation.ConfirmedAt(m.GetAge(), uptime.Now())
	w.adoptEvacuations(v, from.entry, from, confirmedAt)

	if v.Position() == w.evacuations.Value().Position() {
		w.evacuations.Confirm(confirmedAt)
	}
}

// Evacuations returns the value of the evacuated failure domains that is in force, and the time since the store confirmed it
// last as far as is known here.
func (w *Worker) Evacuations() (evacuation.Value, time.Duration) {
	return w.evacuations.Value(), w.evacuations.Age(uptime.Now())
}

// adoptEvacuations puts a newer value into force and passes it on to the entries but the one that has sent it. If the
// failure domain of the backend server is evacuated from now on, it drops all requests and reservations and rejects the
// launches whose start was not sent. A start that got no answer is not sent again. The store has confirmed the value at the
// time confirmedAt, zero if that isn't known.
func (w *Worker) adoptEvacuations(v evacuation.Value, source string, from *entrySession, confirmedAt time.Duration) {
	now := uptime.Now()
	age := w.evacuations.Age(now)
	before := w.isEvacuated()

	changed, adopted := w.evacuations.Update(v)
	if !adopted {
		return
	}

	w.evacuations.Confirm(confirmedAt)
	evacuation.LogChange(w.log, changed, v, source, age)

	// The entries learn why the backend server is closed first, so that they request capacity elsewhere at once.
	for _, s := range w.sessions {
		if s != from {
			s.sendEvacuations(now)
		}
	}

	if w.isEvacuated() != before {
		w.updateCapacity()
		w.reportToAll(now)
	}
}

// sendEvacuations sends the entry the value in force, unless nothing is known.
func (s *entrySession) sendEvacuations(now time.Duration) {
	if f := s.worker.evacuations.Frame(now); f != nil {
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
