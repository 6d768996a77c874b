package repeatable

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// capacityReport is a report of the capacity and its use at one time, which is sent to several entries.
type capacityReport struct {
	at time.Duration
	// idle is the frame for entries without work here, active the one for the others, nil until it is needed.
	idle, active *wire.Frame
}

// frame returns the frame for a session. The frames are shared and are not changed once they are returned.
func (r *capacityReport) frame(active bool) *wire.Frame {
	if !active {
		return r.idle
	}

	if r.active == nil {
		r.active = proto.CloneOf(r.idle)
		r.active.GetRoom().SetActive(true)
	}

	return r.active
}

// newReport returns a report of the capacity and its use.
func (w *Worker) newReport(now time.Duration) *capacityReport {
	b := wire.Room_builder{
		Open:            w.acceptsTasks(),
		Suspect:         w.stats.Suspect(),
		FreeCpu:         w.free().Millicores(),
		FreeMemory:      w.free().MemoryMB(),
		QueuedCpu:       w.pool.QueuedCPU(),
		LaunchedCpu:     w.launchRates.rates(now),
		RunningCpu:      w.runningCPU(),
		RoutesVersion:   w.routes.Version(),
		SharePermille:   w.sessionShare,
		UsablePermille:  w.usablePermille(),
		ServicesVersion: w.warmUp.reportedVersion(),
		RunningKinds:    w.neighbours.runningKinds(),
	}

	if w.incarnation != nil {
		a := w.server.Current()
		b.Service = a.Service()
		b.FailureDomain = a.FailureDomain()
		b.Labels = a.Labels()
		b.CapacityCpu = a.Capacity().Millicores()
		b.CapacityMemory = a.Capacity().MemoryMB()
		b.SlownessPermille = uint32(w.slowness.Value(now) * 1000)
	}

	if b.Suspect && !w.stats.AllowsProbe(time.Now()) {
		b.Open = false
	}

	return &capacityReport{at: now, idle: wire.Frame_builder{Room: b.Build()}.Build()}
}

// reportableFreeCPU returns the free capacity in millicores, or -1 if no tasks are accepted: a worker that accepts
// no tasks has to differ from one that is full.
func (w *Worker) reportableFreeCPU() int64 {
	if !w.acceptsTasks() {
		return -1
	}

	return w.free().Millicores()
}

// reportDue sends a report to the entries that need one.
func (w *Worker) reportDue(now time.Duration) {
	var r *capacityReport

	for _, s := range w.sessions {
		if !s.needsReport(now, w.reportableFreeCPU()) {
			continue
		}

		if r == nil {
			r = w.newReport(now)
		}

		s.report(r)
	}
}

// reportToAll sends a report to every entry, as one that no entry may miss for the time between two reports.
func (w *Worker) reportToAll(now time.Duration) {
	r := w.newReport(now)

	for _, s := range w.sessions {
		s.report(r)
	}
}
