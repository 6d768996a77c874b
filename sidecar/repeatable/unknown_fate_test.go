package repeatable_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// rejectingBackend rejects each start after the first one, whose answer a test lets the server drop.
type rejectingBackend struct {
	*leasedbackend.Server

	result repeatable.StartResult

	mu     sync.Mutex
	starts int
}

func (b *rejectingBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.mu.Lock()
	b.starts++
	isFirst := b.starts == 1
	b.mu.Unlock()

	if isFirst {
		return b.Server.Start(ctx, r, input, p)
	}

	return repeatable.NewStartAnswer(b.result, 0), nil
}

// Guards against a task that an entry places again while its first run goes on: the first try of the start is carried
// out without an answer, and the repeated one is rejected.
func TestRejectedRepeatDoesNotSettleAnUnansweredStart(t *testing.T) {
	for _, result := range []repeatable.StartResult{
		repeatable.Fenced, repeatable.Outdated, repeatable.LeaseExpired, repeatable.Full, repeatable.Unhealthy, repeatable.Invalid,
	} {
		t.Run(result.String(), func(t *testing.T) {
			is := is.New(t)
			b := &rejectingBackend{Server: leasedbackend.New("i-1"), result: result}
			fx := newFixtureCalling(t, b.Server, b)
			fx.announce(1, false)
			fx.awaitOpen(true)

			b.DropAnswers(1)
			fx.startJob(1, "job", leasedbackend.Hang, 1)

			is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
			is.Equal(len(fx.backend.Running()), 0)
			is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 0)), 1)
		})
	}
}

// lateListBackend does not answer the first start, and delivers no list of runs from then on until it has answered the
// second one.
type lateListBackend struct {
	*leasedbackend.Server

	mu     sync.Mutex
	starts int
	// listsHeld is closed by the first start, listsReleased by the answer to the second one.
	listsHeld, listsReleased chan struct{}
}

func newLateListBackend() *lateListBackend {
	return &lateListBackend{
		Server: leasedbackend.New("i-1"), listsHeld: make(chan struct{}), listsReleased: make(chan struct{}),
	}
}

func (b *lateListBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.mu.Lock()
	b.starts++
	n := b.starts
	b.mu.Unlock()

	if n == 1 {
		close(b.listsHeld)
	}

	answer, err := b.Server.Start(ctx, r, input, p)

	switch n {
	case 1:
		<-ctx.Done()

		return repeatable.StartAnswer{}, ctx.Err()
	case 2:
		close(b.listsReleased)
	}

	return answer, err
}

func (b *lateListBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	result, err := b.Server.Watch(ctx, lastEnd, wait, p)

	select {
	case <-b.listsHeld:
	default:
		return result, err
	}

	select {
	case <-b.listsReleased:
		return result, err
	case <-ctx.Done():
		return repeatable.WatchResult{}, ctx.Err()
	}
}

// Guards against a second run of a task that is done: its start was not answered, the list with its end is late, and the
// repeated start is rejected as outdated.
func TestEndedRunIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	b := newLateListBackend()
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.startJob(1, "job", "1ms", 1)

	is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 0)), 1)
}

// Guards against a task that runs more often than its attempts allow: a run that failed is told as lost since a stop was
// sent before the list with its end arrived.
func TestFailedRunCountsAlthoughItIsBeingStopped(t *testing.T) {
	is := is.New(t)
	b := newLateListBackend()
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.startJob(1, "job", leasedbackend.Fail, 1)

	is.Equal(fx.nextResult(), wire.Result_RESULT_FAILED)
}

// clocklessBackend has lists that do not tell its clock, so that no lease can be given. It counts the starts.
type clocklessBackend struct {
	*leasedbackend.Server

	starts atomic.Int64
}

func (b *clocklessBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.starts.Add(1)

	return b.Server.Start(ctx, r, input, p)
}

func (b *clocklessBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	result, err := b.Server.Watch(ctx, lastEnd, wait, p)

	return repeatable.NewWatchResult(0, result.StartedAtMS(), result.Running(), result.Ended()), err
}

// Guards against starts without a lease, which the backend server can only reject, and against the doubt that such a
// rejection leaves after a try without an answer.
func TestStartWithoutLeaseIsNotSent(t *testing.T) {
	is := is.New(t)
	b := &clocklessBackend{Server: leasedbackend.New("i-1")}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.startJob(1, "job", "1ms", 1)

	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(b.starts.Load(), int64(0))
}
