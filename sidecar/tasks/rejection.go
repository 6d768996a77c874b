package tasks

import (
	"container/heap"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// checkNew returns the rejection of a new start, or nil if it may be offered to the scheduler.
func (t *Table) checkNew(s *submission, r Request, now time.Time) *Rejected {
	switch {
	case s != nil && now.Before(s.closedUntil):
		return &Rejected{wire.Rejection_REJECTION_CLOSED, "the submission was closed"}
	case t.leaving:
		// Checked before r.rejection: a leaving worker also loses its registration, and an entry handles the reason
		// LEAVING better than NOT_REGISTERED.
		return &Rejected{wire.Rejection_REJECTION_LEAVING, "the sidecar is leaving"}
	case t.evacuated:
		return evacuatedRejection()
	case r.rejection != nil:
		return r.rejection
	case !r.lease.Valid(r.leaseEpoch, uptime.Now()):
		return &Rejected{wire.Rejection_REJECTION_LEASE_LAPSED, "the start is of a lapsed lease epoch"}
	case !now.Before(r.deadline):
		return &Rejected{wire.Rejection_REJECTION_DEADLINE, "the deadline has passed"}
	case t.starts >= t.limits.maxStarts:
		return &Rejected{wire.Rejection_REJECTION_TABLE_FULL, "the start table is full"}
	case t.heldBytes+int64(len(r.input))+t.meanOutputBytes()*int64(len(t.queued)+len(t.running)+1) > t.limits.maxBytes:
		return &Rejected{wire.Rejection_REJECTION_TABLE_FULL, "inputs and outcomes held fill the memory for them"}
	case !r.probe && t.statistics.Suspect():
		return &Rejected{wire.Rejection_REJECTION_SUSPECT, "the backend server is suspect and takes probes only"}
	default:
		return nil
	}
}

func evacuatedRejection() *Rejected {
	return &Rejected{wire.Rejection_REJECTION_EVACUATED, "the failure domain of the worker is evacuated"}
}

// meanOutputBytes returns the expected size of an output. Counting it for every queued and running task keeps the held
// outputs within the limit, because an output cannot be rejected once its task has run.
func (t *Table) meanOutputBytes() int64 { return int64(t.meanOutput) }

// offerRejection returns the rejection for the result of an offer, or nil if the task was accepted.
func offerRejection(r share.OfferResult) *Rejected {
	switch r {
	case share.QueueFull:
		return &Rejected{wire.Rejection_REJECTION_QUEUE_FULL, "the run queue of the kind is full"}
	case share.ExceedsAllowance:
		return &Rejected{wire.Rejection_REJECTION_QUEUE_FULL, "the member's allowance here is smaller than the task"}
	case share.UnknownKind:
		return &Rejected{wire.Rejection_REJECTION_UNKNOWN_KIND, "the agreement has no such kind"}
	case share.TooLarge:
		return &Rejected{wire.Rejection_REJECTION_INVALID, "the worker is smaller than the task"}
	default:
		return nil
	}
}

// checkQueued returns the rejection of a queued start that must no longer run, or nil.
func (t *Table) checkQueued(run *Run, now time.Time) *Rejected {
	switch r := run.request; {
	case t.evacuated:
		return evacuatedRejection()
	case !now.Before(r.deadline):
		return &Rejected{wire.Rejection_REJECTION_DEADLINE, "the deadline passed in the queue"}
	case !r.lease.Valid(r.leaseEpoch, uptime.Now()):
		return &Rejected{wire.Rejection_REJECTION_LEASE_LAPSED, "the lease lapsed in the queue"}
	case !r.probe && t.statistics.Suspect():
		return &Rejected{wire.Rejection_REJECTION_SUSPECT, "the backend server became suspect while the task was queued"}
	default:
		return nil
	}
}

// removeRejected removes a start whose task did not run from the table. A later start with the same ID is a new one.
func (t *Table) removeRejected(run *Run, r Rejected) {
	delete(t.queued, run)
	t.heldBytes -= run.heldBytes
	t.starts--

	if s := t.submissions[run.request.id.submission]; s != nil {
		s.remove(run.request.id)

		if len(s.records) == 0 && s.closedUntil.IsZero() {
			heap.Remove(&t.expiry, s.heapIndex)
			delete(t.submissions, s.id)
		}
	}

	t.endRejected(run, r)
}

func (t *Table) endRejected(run *Run, r Rejected) {
	t.metrics.countRejection(r.reason)
	addTaskFields(t.log.Info().Str("event", "task_rejected"), run).Str("reason", reasonName(r.reason)).Msg(r.message)
	run.finish(r)
}
