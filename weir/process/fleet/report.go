package fleet

import "github.com/skylarkweir/skylarkweir/weir/connection/wire"

// Report is a load report of a sidecar. It is immutable; the zero value reports an idle worker.
type Report struct {
	sequence               uint64
	heldSlots, queuedSlots int
	failurePermille        int
	suspect                bool
	leaving                bool
	acceptsProbe           bool
	// fullQueues holds the kinds whose run queue is full; it is nil if there are none.
	fullQueues map[string]bool
	// queuedSlotsByKind holds only kinds with queued tasks; it is nil if there are none.
	queuedSlotsByKind map[string]int
}

func newReport(load *wire.Load) *Report {
	r := &Report{
		sequence: load.GetSequence(), heldSlots: int(load.GetHeldSlots()), queuedSlots: int(load.GetQueuedSlots()),
		failurePermille: int(load.GetFailurePermille()), suspect: load.GetSuspect(), leaving: load.GetLeaving(),
		acceptsProbe: load.GetProbe(),
	}

	for _, k := range load.GetKinds() {
		if n := int(k.GetQueuedSlots()); n > 0 {
			if r.queuedSlotsByKind == nil {
				r.queuedSlotsByKind = map[string]int{}
			}

			r.queuedSlotsByKind[k.GetKind()] = n
		}

		if k.GetRoom() {
			continue
		}

		if r.fullQueues == nil {
			r.fullQueues = map[string]bool{}
		}

		r.fullQueues[k.GetKind()] = true
	}

	return r
}

// Sequence returns the sequence number of the report; a later report has a higher one.
func (r *Report) Sequence() uint64 { return r.sequence }

// HeldAndQueuedSlots returns the slots of all running and queued tasks.
func (r *Report) HeldAndQueuedSlots() int { return r.heldSlots + r.queuedSlots }

// HeldSlots returns the slots of the running tasks.
func (r *Report) HeldSlots() int { return r.heldSlots }

// QueuedSlots returns the slots of the queued tasks of the kind.
func (r *Report) QueuedSlots(kind string) int { return r.queuedSlotsByKind[kind] }

// Suspect reports whether the sidecar found that its backend server fails too often.
func (r *Report) Suspect() bool { return r.suspect }

// FailurePermille returns the share of failures among the latest results, in thousandths.
func (r *Report) FailurePermille() int { return r.failurePermille }

// AcceptsProbe reports whether the sidecar accepts a single probe while its backend server is suspect.
func (r *Report) AcceptsProbe() bool { return r.acceptsProbe }

// Leaving reports whether the sidecar is shutting down and accepts no new tasks.
func (r *Report) Leaving() bool { return r.leaving }

// HasQueueCapacity reports whether the run queue of the kind accepts more tasks.
func (r *Report) HasQueueCapacity(kind string) bool { return !r.fullQueues[kind] }
