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
	// ctx is set when the task starts.
	ctx    context.Context //nolint:containedctx // the task outlives the exchange that asked for it
	cancel context.CancelFunc
	// offered and started are the times of the decisions.
	offeredAt, startedAt time.Time
	// running is true from the decision to start until the end.
	running bool
	done    chan struct{}
	// outcome is set before done is closed and not changed after it.
	outcome Outcome
	// size is the number of bytes that the table counts for the input or the output.
	heldBytes int64
}

func newRun(r Request, now time.Time) *Run {
	return &Run{request: r, offeredAt: now, done: make(chan struct{})}
}

// Done is closed when the outcome is known.
func (r *Run) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome. It is nil before Done is closed.
func (r *Run) Outcome() Outcome {
	select {
	case <-r.done:
		return r.outcome
	default:
		return nil
	}
}

// ID returns the identity of the start.
func (r *Run) ID() ID { return r.request.id }

func (r *Run) finish(o Outcome) {
	r.outcome = o
	r.request.input = nil
	close(r.done)
}
