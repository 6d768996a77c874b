package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// access returns how a job may use the backend server of a sidecar.
func (d *Dispatcher) access(j job.Job, s *sidecar) quarantine.Access {
	return d.quarantine.Access(j.Policy().Service(), j.Policy().Kind(), s.inZone)
}

// handleBackendCrash handles the report that the backend server of a sidecar seems to have crashed.
func (d *Dispatcher) handleBackendCrash(s *sidecar, m *wire.BackendCrash, now time.Duration) {
	d.updateZones()

	exposures := make([]quarantine.Exposure, 0, len(m.GetExposures()))

	for _, e := range m.GetExposures() {
		age := time.Duration(e.GetAgeUs()) * time.Microsecond
		exposures = append(exposures,
			quarantine.NewExposure(e.GetKind(), age, float64(e.GetStartsPer_1000S())/1000))
	}

	changes := d.quarantine.RecordCrash(s.report.GetService(), exposures, s.inZone, now)
	d.log.Info().Str("event", "backend_crashed").Str("sidecar", s.name).Bool("in_zone", s.inZone).
		Stringer("exposures", quarantine.Exposures(exposures)).Msg("a backend server seems to have crashed")
	d.applyQuarantine(changes)
}

// advanceQuarantine passes the time to the tracker of crashes.
func (d *Dispatcher) advanceQuarantine(now time.Duration) {
	if !d.quarantine.Restricts() {
		return
	}

	d.updateZones()
	d.applyQuarantine(d.quarantine.Advance(now, d.isZoneUsable))
}

// applyQuarantine logs the changes and withdraws the requests for reservations that are no longer allowed.
func (d *Dispatcher) applyQuarantine(changes []quarantine.Change) {
	for _, c := range changes {
		d.log.Warn().Str("event", "kind_restricted").Str("kind", c.Kind()).Stringer("level", c.Level()).
			Float64("evidence", c.Evidence()).Msg("changed which backend servers a kind may use, by its part in their crashes")
	}

	if len(changes) == 0 {
		return
	}

	for _, a := range d.activeJobs {
		for number := range a.requested {
			if s := d.sidecars[number]; s != nil && d.access(a.job, s) == quarantine.Forbidden {
				delete(a.requested, number)
				s.releaseJob(a.number)
			}
		}
	}
}

// updateZones chooses the zone of each service among the connected sidecars.
func (d *Dispatcher) updateZones() {
	names := map[string][]string{}
	for _, s := range d.sidecars {
		names[s.report.GetService()] = append(names[s.report.GetService()], s.name)
	}

	zones := map[string]map[string]bool{}
	for service, members := range names {
		zones[service] = quarantine.Zone(members)
	}

	for _, s := range d.sidecars {
		s.inZone = zones[s.report.GetService()][s.name]
	}
}

// isZoneUsable reports whether a backend server in the zone of a service accepts tasks.
func (d *Dispatcher) isZoneUsable(service string) bool {
	for _, s := range d.sidecars {
		if s.inZone && s.report.GetService() == service && s.report.GetOpen() {
			return true
		}
	}

	return false
}
