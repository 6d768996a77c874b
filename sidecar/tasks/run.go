package tasks

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

// Run is a start that is queued or running, or whose outcome is held.
type Run struct {
	// request has no input once the task has ended.
	request Request
	task    *share.Task[*Run]
	// ctx is set when the task is started.
	ctx    context.Context //nolint:containedctx // the task outlives the exchange that requested it
	cancel context.CancelFunc
	// offeredAt is the time of the decision to accept or reject the start, startedAt that of the decision to run it.
	offeredAt, startedAt time.Time
	// running is true from the decision to start until the end of the task.
	running bool
	done    chan struct{}
	// outcome is set before done is closed and does not change afterwards.
	outcome Outcome
	// heldBytes is what the table counts for the input and, after the end, for the output.
	heldBytes int64
}

func newRun(r Request, now time.Time) *Run {
	return &Run{request: r, offeredAt: now, done: make(chan struct{})}
}

// Done returns a channel that is closed when the outcome is set.
func (r *Run) Done() <-chan struct{} { return r.done }

// Outcome returns nil until Done is closed.
func (r *Run) Outcome() Outcome {
	select {
	case <-r.done:
		return r.outcome
	default:
		return nil
	}
}

// ID returns the ID of the start.
func (r *Run) ID() ID { return r.request.id }

func (r *Run) finish(o Outcome) {
	r.outcome = o
	r.request.input = nil
	close(r.done)
}
