package fleet

import (
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Worker is one incarnation of a sidecar and its worker. Its identity is immutable; the other fields are accessed
// without locks.
type Worker struct {
	identity *wire.Worker
	// services is nil if the worker serves every service.
	services map[string]bool

	// report is never nil.
	report atomic.Pointer[Report]
	// rejected holds the kinds that the worker rejected for lack of capacity since its latest report; it may be nil.
	rejected atomic.Pointer[rejections]
	// registrationOffsetPlusOne is the log offset of the registration plus one; zero means not registered.
	registrationOffsetPlusOne atomic.Int64
	// lastContact is when the latest message of the worker arrived, in nanoseconds after origin.
	lastContact atomic.Int64
	// outstanding counts the slots of this entry's starts without an outcome, slotsSinceReport those of the starts sent
	// after the latest report arrived.
	outstanding, slotsSinceReport atomic.Int64
	connected, leaving            atomic.Bool
	ejected                       atomic.Bool
	// evacuated is true while the operator has evacuated the failure domain of the worker.
	evacuated atomic.Bool
	probe     probeSchedule
}

type rejections struct {
	kinds map[string]bool
}

// Name returns the name of the worker.
func (w *Worker) Name() string { return w.identity.GetName() }

// Incarnation returns the incarnation of the sidecar process.
func (w *Worker) Incarnation() uint64 { return w.identity.GetIncarnation() }

// FailureDomain returns the failure domain of the worker.
func (w *Worker) FailureDomain() string { return w.identity.GetFailureDomain() }

// Rack returns the rack of the worker.
func (w *Worker) Rack() string { return w.identity.GetRack() }

// Slots returns the number of cores, one slot each.
func (w *Worker) Slots() int { return int(w.identity.GetSlots()) }

// MemoryMB returns the memory of the worker in MB.
func (w *Worker) MemoryMB() int { return int(w.identity.GetMemoryMb()) }

// Serves reports whether the backend server offers the service.
func (w *Worker) Serves(service string) bool { return w.services == nil || w.services[service] }

// RegistrationOffset returns the log offset of the registration, or false while the worker is not known to be
// registered.
func (w *Worker) RegistrationOffset() (offset int64, registered bool) {
	j := w.registrationOffsetPlusOne.Load()

	return j - 1, j > 0
}

// Report returns the latest load report, or the zero Report before the first one.
func (w *Worker) Report() *Report { return w.report.Load() }

// LastContact returns when the latest message of the worker arrived.
func (w *Worker) LastContact() time.Time { return origin.Add(time.Duration(w.lastContact.Load())) }

func (w *Worker) recordContact(now time.Time) { w.lastContact.Store(int64(now.Sub(origin))) }

// origin has a monotonic clock reading, so that a step of the wall clock does not make workers appear unresponsive.
var origin = time.Now()

// Connected reports whether the worker is connected.
func (w *Worker) Connected() bool { return w.connected.Load() }

// Leaving reports whether the worker announced, in a message or a report, that it accepts no new tasks.
func (w *Worker) Leaving() bool { return w.leaving.Load() || w.Report().Leaving() }

// Evacuated reports whether the operator has evacuated the failure domain, so that no task is to start there.
func (w *Worker) Evacuated() bool { return w.evacuated.Load() }

// Ejected reports whether the worker receives probes only.
func (w *Worker) Ejected() bool { return w.ejected.Load() }

// Outstanding returns the slots of this entry's starts that have no outcome yet.
func (w *Worker) Outstanding() int { return int(w.outstanding.Load()) }

// Load estimates the held and queued slots: those of the latest report plus this entry's starts since then. It is at
// least the slots of this entry's starts without an outcome, since the sidecar may have sent the report before it
// received them.
func (w *Worker) Load() int {
	return int(max(int64(w.Report().HeldAndQueuedSlots())+max(0, w.slotsSinceReport.Load()), w.outstanding.Load()))
}

// CanStart reports whether the worker is estimated to have enough free slots to start the task at once.
func (w *Worker) CanStart(kind string, slots int) bool {
	return w.Load()+slots <= w.Slots() && w.HasQueueCapacity(kind)
}

// CanQueue reports whether the run queue of the kind is estimated to be short enough for another task of that many
// slots.
func (w *Worker) CanQueue(kind string, slots int) bool {
	if !w.HasQueueCapacity(kind) {
		return false
	}

	r := w.Report()
	// Starts that the report does not include occupy the free slots first and then the queue.
	queuedSinceReport := max(0, w.Load()-r.HeldAndQueuedSlots()-max(0, w.Slots()-r.HeldSlots()))

	return r.QueuedSlots(kind)+queuedSinceReport < slots*max(minQueueTasks, w.Slots()/slotsPerQueueTask)
}

// An entry fills the run queue of a kind up to one task for each slotsPerQueueTask slots, and at least minQueueTasks.
// This is half of the limit of the sidecar, which is a quarter of its slots, since several entries use the same free
// capacity at the same time: at 120 % load, filling up to the limit makes the sidecars reject 0.45 starts per task, and
// up to half of it 0.005. All slots are held in both cases (BenchmarkPolicies).
const (
	minQueueTasks     = 1
	slotsPerQueueTask = 8
)

// RecordStart counts a start of that many slots. It returns the latest report, which does not include the start, to be
// passed to RecordEnd.
func (w *Worker) RecordStart(slots int) *Report {
	r := w.Report()
	w.outstanding.Add(int64(slots))
	w.slotsSinceReport.Add(int64(slots))

	return r
}

// RecordEnd reverses RecordStart once the outcome of the start is known or the entry stopped waiting for it.
func (w *Worker) RecordEnd(slots int, reportAtStart *Report) {
	w.outstanding.Add(-int64(slots))

	if w.Report() == reportAtStart {
		w.slotsSinceReport.Add(-int64(slots))
	}
}

// allKinds is the key of rejections that apply to every kind.
const allKinds = ""

// RecordRejection records that the worker rejected the kind, or every kind if it is empty. It applies until the next
// load report.
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

// HasQueueCapacity reports whether the run queue of the kind accepts tasks, as far as the latest report and the
// rejections since then show.
func (w *Worker) HasQueueCapacity(kind string) bool {
	if r := w.rejected.Load(); r != nil && (r.kinds[allKinds] || r.kinds[kind]) {
		return false
	}

	return w.Report().HasQueueCapacity(kind)
}
