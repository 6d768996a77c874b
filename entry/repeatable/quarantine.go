package repeatable

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// access returns how a job may use the backend server of a sidecar. Without a zone there is nothing to which a kind could be
// confined, so it may use every server.
func (d *Dispatcher) access(j job.Job, s *sidecar) quarantine.Access {
	if d.zoneless[j.Policy().Service()] {
		return quarantine.Allowed
	}

	return d.quarantine.Access(j.Policy().Service(), j.Policy().Kind(), s.inZone)
}

// isKeptToZone reports whether the kind of a job may use the zone only.
func (d *Dispatcher) isKeptToZone(j job.Job) bool {
	return !d.zoneless[j.Policy().Service()] && d.quarantine.Level(j.Policy().Kind()) >= quarantine.Probed
}

// newEntryTime is how long after its start an entry collects the crashes of the last seconds from its sidecars, before
// it judges them.
const newEntryTime = 300 * time.Millisecond

// reportedCrash is a crash of the backend server of a sidecar, at a time on the clock of package uptime.
type reportedCrash struct {
	at        time.Duration
	sidecar   *sidecar
	exposures []quarantine.Exposure
}

// handleBackendCrash handles the report that the backend server of a sidecar seems to have crashed.
func (d *Dispatcher) handleBackendCrash(s *sidecar, m *wire.BackendCrash, now time.Duration) {
	c := reportedCrash{now - time.Duration(m.GetAgoMs())*time.Millisecond, s, decodeExposures(m.GetExposures())}

	switch {
	case now < d.started+newEntryTime:
		d.earlyCrashes = append(d.earlyCrashes, c)
	case m.GetAgoMs() == 0:
		d.recordCrash(c)
	}
}

func decodeExposures(encoded []*wire.CrashExposure) []quarantine.Exposure {
	exposures := make([]quarantine.Exposure, 0, len(encoded))

	for _, e := range encoded {
		age := time.Duration(e.GetAgeUs()) * time.Microsecond
		exposures = append(exposures, quarantine.NewExposure(e.GetKind(), age, float64(e.GetStartsPer_1000S())/1000))
	}

	return exposures
}

func (d *Dispatcher) recordCrash(c reportedCrash) {
	now := uptime.Now()
	d.updateZones(now)

	changes := d.quarantine.RecordCrash(c.sidecar.service, c.exposures, c.sidecar.inZone, c.at)
	d.log.Info().Str("event", "backend_crashed").Str("sidecar", c.sidecar.name).Bool("in_zone", c.sidecar.inZone).
		Dur("ago", now-c.at).Stringer("exposures", quarantine.Exposures(c.exposures)).
		Msg("a backend server seems to have crashed")
	d.applyQuarantine(changes)
}

// recordEarlyCrashes judges the crashes that were reported while this entry was new.
func (d *Dispatcher) recordEarlyCrashes() {
	slices.SortFunc(d.earlyCrashes, func(a, b reportedCrash) int { return cmp.Compare(a.at, b.at) })

	for _, c := range d.earlyCrashes {
		d.recordCrash(c)
	}

	d.earlyCrashes = nil
}

// advanceQuarantine passes the time to the records of crashes.
func (d *Dispatcher) advanceQuarantine(now time.Duration) {
	d.crashes.expire(now)

	if now >= d.started+newEntryTime {
		d.recordEarlyCrashes()
	}

	if d.quarantine.IsEmpty() {
		return
	}

	d.updateZones(now)
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

	d.updateZones(uptime.Now())

	for _, a := range d.activeJobs {
		for number := range a.requested {
			if s := d.sidecars[number]; s != nil && d.access(a.job, s) == quarantine.Forbidden {
				delete(a.requested, number)
				s.releaseJob(a.number)
			}
		}
	}
}

const (
	// zoneMemory is how long a backend server that accepts no tasks counts as a member of its service. One that has crashed
	// is expected back; another one replaces it in the zone if it stays away.
	zoneMemory = 10 * time.Second
	// crashReportDelay is the time from the report that a backend server is closed to the one of its crash, which is judged
	// by the zone to which the server belonged.
	crashReportDelay = 50 * time.Millisecond
)

// updateZones chooses the zone of each service among the connected sidecars.
func (d *Dispatcher) updateZones(now time.Duration) {
	d.setZones(now, zoneMemory, func(string) bool { return true })
	d.updateZoneless()

	open := map[string]bool{}

	for _, s := range d.sidecars {
		if s.inZone && s.closedFor(now) < crashReportDelay {
			open[s.service] = true
		}
	}

	d.setZones(now, crashReportDelay, func(service string) bool {
		return !open[service] && d.quarantine.ReplacesZone(service)
	})
}

// updateZoneless finds the services without a zone, as they have too few backend servers.
func (d *Dispatcher) updateZoneless() {
	d.zoneless = map[string]bool{}

	for _, s := range d.sidecars {
		d.zoneless[s.service] = true
	}

	for _, s := range d.sidecars {
		if s.inZone {
			d.zoneless[s.service] = false
		}
	}
}

// setZones sets the zone of each service that is to be changed, among the sidecars that have been closed for less than a
// time.
func (d *Dispatcher) setZones(now, memory time.Duration, changes func(service string) bool) {
	names := map[string][]string{}

	for _, s := range d.sidecars {
		if !s.evacuated && s.closedFor(now) < memory {
			names[s.service] = append(names[s.service], s.name)
		}
	}

	zones := map[string]map[string]bool{}
	for service, members := range names {
		zones[service] = quarantine.Zone(members)
	}

	for _, s := range d.sidecars {
		if changes(s.service) {
			s.inZone = zones[s.service][s.name]
		}
	}
}

// isZoneUsable reports whether a backend server in the zone of a service accepts tasks, or any one if there is no zone.
func (d *Dispatcher) isZoneUsable(service string) bool {
	for _, s := range d.sidecars {
		if (s.inZone || d.zoneless[service]) && s.service == service && s.isOpen() {
			return true
		}
	}

	return false
}
