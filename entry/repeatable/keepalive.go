package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// keepSessions marks the sidecars that have work of this entry, ends the sessions of unresponsive sidecars, and sends the
// keep-alives that are due. One call a tick serves all sessions of the process.
func (d *Dispatcher) keepSessions(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	inUse := map[uint64]bool{}
	for _, a := range d.activeJobs {
		a.addSidecars(inUse)
	}

	d.sidecarEstimate = d.estimateSidecars()
	d.advanceQuarantine(now)
	d.advanceInterference(now)
	d.fetchNewerRoutes(now)
	d.sendCancellations()

	for _, s := range d.sidecars {
		s.SetActive(inUse[s.number], now)
		s.EndIfUnresponsive(now)

		if s.AnswerOverdue(now, tickInterval) || s.sentRoutesVersion != d.routes.Version() {
			d.sendKeepAlive(s)
		}
	}
}

// answerKeepAlive answers the report of a sidecar with a keep-alive if one is due soon.
func (d *Dispatcher) answerKeepAlive(s *sidecar, now time.Duration) {
	if s.AnswerDue(now) {
		d.sendKeepAlive(s)
	}
}

func (d *Dispatcher) sendKeepAlive(s *sidecar) {
	s.sentRoutesVersion = d.routes.Version()

	s.send(wire.Frame_builder{KeepAlive: wire.KeepAlive_builder{
		RoutesVersion: s.sentRoutesVersion, Active: s.Active(), Sidecars: uint32(d.sidecarEstimate),
		EvacuationsAge: d.evacuations.WireAge(uptime.Now()),
	}.Build()}.Build())
}

// estimateSidecars returns the estimated number of sidecars in the deployment.
func (d *Dispatcher) estimateSidecars() int {
	shares := make([]uint32, 0, len(d.sidecars))
	for _, s := range d.sidecars {
		shares = append(shares, s.report.GetSharePermille())
	}

	return sessionset.EstimateSidecars(shares)
}

// addSidecars adds the numbers of the sidecars where the job has requests, reservations or tasks.
func (a *activeJob) addSidecars(inUse map[uint64]bool) {
	for number := range a.requested {
		inUse[number] = true
	}

	for number := range a.granted {
		inUse[number] = true
	}

	for _, p := range a.placements {
		if p.sidecar != 0 {
			inUse[p.sidecar] = true
		}
	}
}
