package home

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// execution is the state that a submission needs until its last start has ended.
type execution struct {
	handle       *Handle
	submission   submission.Submission
	requirements placement.Task
	// spread is guarded by the lock of the queue.
	spread   placement.Spread
	accepted time.Time
	// deadline is not after the expiry of the ticket: sidecars delete their records of starts after that, so a start
	// that is sent again would run twice.
	deadline time.Time
	// memberLimitSlots is the member's limit at the time of admission.
	memberLimitSlots int
	ctx              context.Context
	cancel           context.CancelFunc
	timer            *time.Timer
	tasks            []task
	outputs          [][]byte
	// remainingTasks counts tasks without an output; unresolvedStarts counts starts not yet known to have run or not.
	remainingTasks, unresolvedStarts int
	// hasRun is true if a start is known to have run; hasUnknownStart is true if a start ended with an unknown outcome.
	hasRun, hasUnknownStart bool
	// cause is the reason why the submission failed; nil before that.
	cause error
	// reservedBytes is the memory reserved for inputs and outputs.
	reservedBytes int64
}

// task is one task of a submission. Its fields are guarded by the lock of the Handle, unless another one is named. The
// state of the item is guarded by the lock of the queue.
type task struct {
	execution *execution
	index     int
	attempt   int
	retries   int
	item      *waitqueue.Item[*task]
	// worker is set while a start was sent to it and the outcome is not known.
	worker *fleet.Worker
	// avoidedWorker is the worker at which the last attempt failed.
	avoidedWorker *fleet.Worker
	// hasWaited is true once no worker could take the task in a pass; guarded by the lock of the queue.
	hasWaited bool
}

// hasAllowance reports whether the member has an allowance at the worker.
func (e *execution) hasAllowance(worker string) bool {
	r := e.handle.table.rules.Load()

	return r == nil || r.hasAllowance(e.handle.member, worker)
}
