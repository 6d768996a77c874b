package home

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// work is what a submission needs until its last start is over.
type execution struct {
	handle       *Handle
	submission   submission.Submission
	requirements placement.Task
	// spread is guarded by the lock of the queue.
	spread   placement.Spread
	accepted time.Time
	// deadline is at most the ticket's expiry: sidecars forget starts after that, and a repeated start would run again.
	deadline time.Time
	// limit is the member's limit in slots.
	memberLimitSlots int
	ctx              context.Context
	cancel           context.CancelFunc
	timer            *time.Timer
	tasks            []task
	outputs          [][]byte
	// left counts tasks without an output; pending counts starts of which it is not known whether they ran.
	remainingTasks, unresolvedStarts int
	// ran is true once a start is known to have run; unknown is true once the fate of a start was given up.
	hasRun, hasUnknownStart bool
	// cause is why the submission fails; nil while it runs.
	cause error
	// bytes is the memory reserved for inputs and outputs.
	reservedBytes int64
}

// task is one task of a submission. Its fields are guarded by the lock of the Held, but for the item, which is guarded
// by the lock of the queue.
type task struct {
	execution *execution
	index     int
	attempt   int
	retries   int
	item      *waitqueue.Item[*task]
	// worker is set while a start was handed to a sidecar and its fate is not known.
	worker *fleet.Worker
	// avoid is the worker that failed the last attempt.
	avoidedWorker *fleet.Worker
	// waited is true once the log says that the task waits; guarded by the lock of the queue.
	hasWaited bool
}

// allowed tells whether the member has an allowance at the worker.
func (w *execution) hasAllowance(worker string) bool {
	r := w.handle.table.rules.Load()

	return r == nil || r.hasAllowance(w.handle.member, worker)
}
