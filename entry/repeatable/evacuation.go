package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// AdoptEvacuations puts a value of the evacuated failure domains into force if it is newer than the one in force. Nothing is
// launched there any more once it returns.
func (d *Dispatcher) AdoptEvacuations(v evacuation.Value, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.adoptEvacuations(v, source, nil, 0)
}

// ConfirmEvacuations records that the store has answered at the time now, on the clock of package uptime, so that the value
// in force is its newest.
func (d *Dispatcher) ConfirmEvacuations(now time.Duration) { d.evacuations.Confirm(now) }

// Evacuations returns the value of the evacuated failure domains that is in force, and the time since it was confirmed last.
func (d *Dispatcher) Evacuations() (evacuation.Value, time.Duration) {
	return d.evacuations.Value(), d.evacuations.Age(uptime.Now())
}

// receiveEvacuations handles a value that a sidecar has passed on.
func (d *Dispatcher) receiveEvacuations(from *sidecar, m *wire.Evacuations, now time.Duration) {
	v := evacuation.Decode(m)
	confirmedAt := evacuation.ConfirmedAt(m.GetAge(), now)
	d.adoptEvacuations(v, from.name, from, confirmedAt)

	if v.Position() == d.evacuations.Value().Position() {
		d.evacuations.Confirm(confirmedAt)
	}
}

// adoptEvacuations passes a value that is newer than the one in force on to all sidecars but the one that has sent it, and
// gives up what is requested in the evacuated domains. The store has confirmed the value at the time confirmedAt, zero if
// that isn't known.
func (d *Dispatcher) adoptEvacuations(v evacuation.Value, source string, from *sidecar, confirmedAt time.Duration) {
	now := uptime.Now()
	age := d.evacuations.Age(now)

	changed, adopted := d.evacuations.Update(v)
	if !adopted {
		return
	}

	d.evacuations.Confirm(confirmedAt)
	evacuation.LogChange(d.log, changed, v, source, age)

	for _, s := range d.sidecars {
		if s != from {
			s.sendEvacuations(&d.evacuations, now)
		}
	}

	if changed.IsEmpty() {
		return
	}

	for _, s := range d.sidecars {
		s.evacuated = v.Has(s.domain)
	}

	d.giveUpEvacuated(now)
}

// checkEvacuated checks whether the backend server of a sidecar is in an evacuated domain after a report, which may name
// another domain than the one before.
func (d *Dispatcher) checkEvacuated(s *sidecar) {
	evacuated := d.evacuations.Value().Has(s.domain)
	if evacuated == s.evacuated {
		return
	}

	s.evacuated = evacuated
	d.giveUpEvacuated(uptime.Now())
}

// giveUpEvacuated gives up the requests and reservations in evacuated domains. Their jobs request capacity elsewhere at once.
// Jobs of which no task was launched are refused if there is no other domain.
func (d *Dispatcher) giveUpEvacuated(now time.Duration) {
	for _, a := range d.activeJobs {
		released := a.releaseEvacuated()

		switch {
		case a.phase == phaseWaiting && a.refuseIfEvacuated(now):
		case released:
			a.placeUnplaced()
		}
	}
}

// refuseIfEvacuated ends the job as refused if evacuations leave no backend server that can run it, and reports whether it
// does.
func (a *activeJob) refuseIfEvacuated(now time.Duration) bool {
	d := a.dispatcher
	load := d.load(a.job, now)

	v, refused := admission.Decide(a.job, a.expectedRun, load, d.random).(admission.Refuse)
	if !refused || !load.IsEvacuated() {
		return false
	}

	a.end(d.refuse(a.job, a.expectedRun, load, v.Reason(), v.RetryAfter()), reasonNoCapacity)

	return true
}

// releaseEvacuated releases what is requested or reserved in evacuated domains and not launched, and reports whether there
// was anything.
func (a *activeJob) releaseEvacuated() bool {
	released := false

	for _, numbers := range []map[uint64]int{a.requested, a.granted} {
		for number := range numbers {
			if s := a.dispatcher.sidecars[number]; s != nil && s.evacuated {
				delete(numbers, number)
				s.releaseJob(a.number)

				released = true
			}
		}
	}

	return released
}

// sendEvacuations sends the sidecar the value in force, unless nothing is known.
func (s *sidecar) sendEvacuations(c *evacuation.Current, now time.Duration) {
	if f := c.Frame(now); f != nil {
		s.send(f)
	}
}

// evacuatedServers tells whether evacuations leave a backend server that can run a job. The zero value has none.
type evacuatedServers struct {
	// evacuated and others count the backend servers of the service in evacuated domains and in others, labelled ones those
	// with the label that the job requires.
	evacuated, others                 int
	labelledEvacuated, labelledOthers int
}

// add counts the backend server of a sidecar, whether it accepts tasks or not.
func (e *evacuatedServers) add(j job.Job, s *sidecar) {
	if s.service != j.Policy().Service() {
		return
	}

	labelled := 0
	if slices.Contains(s.report.GetLabels(), j.Constraints().RequiredLabel()) {
		labelled = 1
	}

	if s.evacuated {
		e.evacuated++
		e.labelledEvacuated += labelled
	} else {
		e.others++
		e.labelledOthers += labelled
	}
}

// reason returns why a job is refused because of evacuations, or an empty string.
func (e *evacuatedServers) reason(j job.Job) string {
	switch {
	case e.evacuated > 0 && e.others == 0:
		return admission.AllEvacuated
	case j.Constraints().RequiredLabel() != "" && e.labelledEvacuated > 0 && e.labelledOthers == 0:
		return admission.LabelEvacuated
	default:
		return ""
	}
}
