package fleet

import (
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Worker is one incarnation of a sidecar with its worker. Its identity does not change; the rest is read and
// written without locks.
type Worker struct {
	identity *wire.Worker
	// services is nil if the worker serves every service.
	services map[string]bool

	// report is never nil.
	report atomic.Pointer[Report]
	// refused holds the kinds that the worker rejected for want of room since its latest report; it may be nil.
	rejected atomic.Pointer[rejections]
	// joinedPlusOne is the log offset of the registration plus one; zero means not registered.
	registrationOffsetPlusOne atomic.Int64
	// heard is when the worker was last heard from, in nanoseconds after origin.
	lastContact atomic.Int64
	// outstanding counts the slots of this entry's starts without an outcome; since counts those sent after the report.
	outstanding, slotsSinceReport atomic.Int64
	connected, leaving            atomic.Bool
	ejected                       atomic.Bool
	probe                         probeSchedule
}

type rejections struct {
	kinds map[string]bool
}

// Name returns the name of the worker.
func (w *Worker) Name() string { return w.identity.GetName() }

// Incarnation returns the incarnation of the sidecar process.
func (w *Worker) Incarnation() uint64 { return w.identity.GetIncarnation() }

// FailureDomain returns the failure domain.
func (w *Worker) FailureDomain() string { return w.identity.GetFailureDomain() }

// Rack returns the rack.
func (w *Worker) Rack() string { return w.identity.GetRack() }

// Slots returns the number of cores.
func (w *Worker) Slots() int { return int(w.identity.GetSlots()) }

// MemoryMB returns the size of the memory.
func (w *Worker) MemoryMB() int { return int(w.identity.GetMemoryMb()) }

// Serves tells whether the backend server offers the service.
func (w *Worker) Serves(service string) bool { return w.services == nil || w.services[service] }

// Joined returns the log offset of the registration, and false while it is not known.
func (w *Worker) RegistrationOffset() (offset int64, registered bool) {
	j := w.registrationOffsetPlusOne.Load()

	return j - 1, j > 0
}

// Report returns the latest load report; before the first one it is the zero Report.
func (w *Worker) Report() *Report { return w.report.Load() }

// Heard returns when the worker was last heard from.
func (w *Worker) LastContact() time.Time { return origin.Add(time.Duration(w.lastContact.Load())) }

func (w *Worker) recordContact(now time.Time) { w.lastContact.Store(int64(now.Sub(origin))) }

// origin carries a monotonic reading, so that a step of the wall clock does not make workers appear silent.
var origin = time.Now()

// Connected tells whether the worker has a connection now.
func (w *Worker) Connected() bool { return w.connected.Load() }

// Leaving tells whether the worker said that it leaves.
func (w *Worker) Leaving() bool { return w.leaving.Load() || w.Report().Leaving() }

// Ejected tells whether the worker receives probes only.
func (w *Worker) Ejected() bool { return w.ejected.Load() }

// Outstanding returns the slots of this entry's starts that have no outcome yet.
func (w *Worker) Outstanding() int { return int(w.outstanding.Load()) }

// Load estimates the slots held and queued: the report and the own starts since, but at least the own starts
// without an outcome, since a report may have been sent before it saw them.
func (w *Worker) Load() int {
	return int(max(int64(w.Report().HeldAndQueuedSlots())+max(0, w.slotsSinceReport.Load()), w.outstanding.Load()))
}

// Free tells whether the worker is estimated to start a task of that many slots at once.
func (w *Worker) CanStart(kind string, slots int) bool {
	return w.Load()+slots <= w.Slots() && w.HasQueueCapacity(kind)
}

// Queues tells whether the run queue of the kind is estimated to take a task of that many slots.
func (w *Worker) CanQueue(kind string, slots int) bool {
	if !w.HasQueueCapacity(kind) {
		return false
	}

	r := w.Report()
	// Starts that the report does not include fill the free slots first and then the queue.
	queuedSinceReport := max(0, w.Load()-r.HeldAndQueuedSlots()-max(0, w.Slots()-r.HeldSlots()))

	return r.QueuedSlots(kind)+queuedSinceReport < slots*max(minQueueTasks, w.Slots()/slotsPerQueueTask)
}

// The number of tasks of a kind up to which an entry fills a run queue. It is half of the sidecar's bound, which is a
// quarter of the slots: several entries see the same free place, and up to the bound 0.45 starts for each task are
// rejected at 120 % load, but 0.005 up to half of it, with all slots held in both cases (BenchmarkPolicies).
const (
	minQueueTasks     = 1
	slotsPerQueueTask = 8
)

// Started counts a start of that many slots. It returns the report that does not include the start, for Ended.
func (w *Worker) RecordStart(slots int) *Report {
	r := w.Report()
	w.outstanding.Add(int64(slots))
	w.slotsSinceReport.Add(int64(slots))

	return r
}

// Ended takes back the count of a start whose outcome is known or given up.
func (w *Worker) RecordEnd(slots int, reportAtStart *Report) {
	w.outstanding.Add(-int64(slots))

	if w.Report() == reportAtStart {
		w.slotsSinceReport.Add(-int64(slots))
	}
}

// anyKind stands for all kinds in refusals.
const allKinds = ""

// Refuse notes that the worker rejected the kind, or all kinds if it is empty. It holds until the next report.
func (w *Worker) RecordRejection(kind string) {
	for {
		old := w.rejected.Load()
		next := &rejections{kinds: map[string]bool{kind: true}}

		if old != nil {
			for k := range old.kinds {
				next.kinds[k] = true
			}
		}

		if w.rejected.CompareAndSwap(old, next) {
			return
		}
	}
}

// Room tells whether the run queue of the kind is not known to be full.
func (w *Worker) HasQueueCapacity(kind string) bool {
	if r := w.rejected.Load(); r != nil && (r.kinds[allKinds] || r.kinds[kind]) {
		return false
	}

	return w.Report().HasQueueCapacity(kind)
}
