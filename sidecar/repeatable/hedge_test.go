package repeatable_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// errNoAnswer is returned by calls whose answer is lost.
var errNoAnswer = errors.New("no answer")

// measuredJobs is how many jobs are run so that the times of answers are known.
const measuredJobs = 30

// lossyBackend passes the starts of the job "lossy" to a function of the test, with the number of the try from 1 on.
type lossyBackend struct {
	*leasedbackend.Server

	tries atomic.Int64
	// triesBeforeList is the number of tries when a list of runs had the lossy one for the first time, zero before.
	triesBeforeList atomic.Int64
	start           func(ctx context.Context, try int64, carryOut func() (repeatable.StartAnswer, error)) (repeatable.StartAnswer, error)
}

func (b *lossyBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	carryOut := func() (repeatable.StartAnswer, error) { return b.Server.Start(ctx, r, input, p) }

	if r.Task().Job() != "lossy" {
		return carryOut()
	}

	return b.start(ctx, b.tries.Add(1), carryOut)
}

func (b *lossyBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	result, err := b.Server.Watch(ctx, lastEnd, wait, p)

	for _, r := range result.Running() {
		if r.Task().Job() == "lossy" {
			b.triesBeforeList.CompareAndSwap(0, b.tries.Load())
		}
	}

	return result, err
}

// newLossyFixture returns a fixture whose sidecar knows how long answers take.
func newLossyFixture(t *testing.T, b *lossyBackend) *fixture {
	t.Helper()

	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	for n := range uint64(measuredJobs) {
		fx.startJob(n+1, fmt.Sprint("job-", n), "1ms", 1)
		is.New(t).Equal(fx.nextResult(), wire.Result_RESULT_DONE)
	}

	return fx
}

// Guards against a lost answer that costs the whole time limit of a call: another try is sent while the first one may
// still be answered.
func TestLostAnswerIsFollowedByAnotherTry(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		ctx context.Context, try int64, carryOut func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		if try > 1 {
			close(second)

			return carryOut()
		}

		select {
		case <-second:
		case <-ctx.Done():
			t.Error("no second try before the time limit of the first one")
		}

		return repeatable.StartAnswer{}, errNoAnswer
	}
	fx := newLossyFixture(t, b)

	fx.startJob(measuredJobs+1, "lossy", "1ms", 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("lossy", 0)), 1)
}

// Guards against a slow answer that is thrown away: it settles the start although another try was sent meanwhile.
func TestLateAnswerSettlesTheStart(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		ctx context.Context, try int64, carryOut func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		if try == 1 {
			answer, err := carryOut()
			<-second

			return answer, err
		}

		if try == 2 {
			close(second)
		}

		<-ctx.Done()

		return repeatable.StartAnswer{}, ctx.Err()
	}
	fx := newLossyFixture(t, b)

	fx.startJob(measuredJobs+1, "lossy", "1ms", 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("lossy", 0)), 1)
}

// Guards against a backend server that answers nothing, for instance since it is frozen, and is called again and again.
func TestUnansweringServerIsNotFlooded(t *testing.T) {
	const (
		tasks = 4
		// maxTries is the unused budget of repeats, and for each task the tries that reach their time limit.
		maxTries = 20 + tasks*4
	)

	is := is.New(t)
	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		ctx context.Context, _ int64, _ func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		<-ctx.Done()

		return repeatable.StartAnswer{}, ctx.Err()
	}
	fx := newLossyFixture(t, b)

	fx.startJob(measuredJobs+1, "lossy", "1ms", tasks)

	for range tasks {
		is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	}

	is.True(b.tries.Load() <= maxTries)
}

// Guards against a backend server whose calls fail at once, with a status that says nothing or a broken connection, and that is
// called again without a pause for as long as its tasks are expected to run.
func TestQuickFailuresDoNotFloodTheServer(t *testing.T) {
	const (
		tasks = 4
		// maxTries is the unused budget of repeats with what it gains in 2 s, and for each task the tries at the distance of
		// the longest limit in 2 s and what the answer to its stop adds to the budget.
		maxTries = 20 + 4 + tasks*(11+3)
	)

	is := is.New(t)
	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		context.Context, int64, func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		return repeatable.StartAnswer{}, errNoAnswer
	}
	fx := newLossyFixture(t, b)

	fx.start(wire.Launch_builder{Job: measuredJobs + 1, Name: "lossy", Input: "1ms", ExpectedMs: 2000}, tasks)

	for range tasks {
		is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	}

	t.Log("tries:", b.tries.Load())
	is.True(b.tries.Load() <= maxTries)
}

// Guards against tries of a start that go on although the list of runs shows that the task runs.
func TestListedRunNeedsNoFurtherTry(t *testing.T) {
	// triesInTransit is how many tries may be sent while the list is on its way.
	const triesInTransit = 2

	is := is.New(t)
	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		ctx context.Context, _ int64, carryOut func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		_, err := carryOut()
		<-ctx.Done()

		return repeatable.StartAnswer{}, errors.Join(err, ctx.Err())
	}
	fx := newLossyFixture(t, b)

	fx.start(wire.Launch_builder{Job: measuredJobs + 1, Name: "lossy", Input: "2s", ExpectedMs: 2000}, 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
	is.True(b.triesBeforeList.Load() > 0)
	is.True(b.tries.Load() <= b.triesBeforeList.Load()+triesInTransit)
}
