package fleet

import "github.com/skylarkweir/skylarkweir/weir/connection/wire"

// Report is a sidecar's load report. It is immutable; the zero value reports an idle worker.
type Report struct {
	sequence               uint64
	heldSlots, queuedSlots int
	failurePermille        int
	suspect                bool
	leaving                bool
	acceptsProbe           bool
	// full holds the kinds whose run queue takes no more tasks; it is nil if there are none.
	fullQueues map[string]bool
	// queuedByKind holds the queued slots of the kinds that queue something.
	queuedSlotsByKind map[string]int
}

func newReport(l *wire.Load) *Report {
	r := &Report{
		sequence: l.GetSequence(), heldSlots: int(l.GetHeldSlots()), queuedSlots: int(l.GetQueuedSlots()),
		failurePermille: int(l.GetFailurePermille()), suspect: l.GetSuspect(), leaving: l.GetLeaving(), acceptsProbe: l.GetProbe(),
	}

	for _, k := range l.GetKinds() {
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

// Sequence returns the number of the report; a higher one is fresher.
func (r *Report) Sequence() uint64 { return r.sequence }

// Busy returns the slots held and queued.
func (r *Report) HeldAndQueuedSlots() int { return r.heldSlots + r.queuedSlots }

// Held returns the slots held by running tasks.
func (r *Report) HeldSlots() int { return r.heldSlots }

// Queued returns the queued slots of the kind.
func (r *Report) QueuedSlots(kind string) int { return r.queuedSlotsByKind[kind] }

// Suspect tells whether the backend server fails too often.
func (r *Report) Suspect() bool { return r.suspect }

// FailurePermille returns the share of failures among the latest results in 1/1000.
func (r *Report) FailurePermille() int { return r.failurePermille }

// Probe tells whether the sidecar accepts a single probe while suspect.
func (r *Report) AcceptsProbe() bool { return r.acceptsProbe }

// Leaving tells whether the sidecar is leaving.
func (r *Report) Leaving() bool { return r.leaving }

// Room tells whether the run queue of the kind takes more tasks.
func (r *Report) HasQueueCapacity(kind string) bool { return !r.fullQueues[kind] }
