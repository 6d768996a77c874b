package repeatable_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

// garblingBackend returns lists of runs with rows that can't be read.
type garblingBackend struct {
	*leasedbackend.Server

	// garble replaces the result of a call to Watch.
	garble atomic.Pointer[func(repeatable.WatchResult) repeatable.WatchResult]
	// lists counts the results, acknowledged is the highest number that was acknowledged.
	lists, acknowledged atomic.Uint64
	// gate, if it is set, is closed when lists are delivered again.
	gate atomic.Pointer[chan struct{}]
}

// holdLists holds the calls for lists back until the returned function is called.
func (b *garblingBackend) holdLists() (deliver func()) {
	gate := make(chan struct{})
	b.gate.Store(&gate)

	return func() { close(gate) }
}

func (b *garblingBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	b.acknowledged.Store(max(b.acknowledged.Load(), lastEnd))

	if gate := b.gate.Load(); gate != nil {
		<-*gate
	}

	result, err := b.Server.Watch(ctx, lastEnd, wait, p)

	if garble := b.garble.Load(); garble != nil && err == nil {
		result = (*garble)(result)
	}

	b.lists.Add(1)

	return result, err
}

func (b *garblingBackend) setGarble(f func(repeatable.WatchResult) repeatable.WatchResult) {
	b.garble.Store(&f)
}

// withRuns returns the result with rows that can't be read in place of its list of runs.
func withRuns(r repeatable.WatchResult, unreadable ...repeatable.UnreadableRun) repeatable.WatchResult {
	return repeatable.NewWatchResult(r.Clock(), r.StartedAtMS(), nil, r.Ended()).WithUnreadable(unreadable, nil)
}

// longLaunch launches a task that is not stopped as overdue within a test.
var longLaunch = wire.Launch_builder{Job: 1, Name: "job", Input: leasedbackend.Hang, ExpectedMs: 60_000}

// Guards against a task that an entry places again while it runs, because its row in the list of runs can't be read.
func TestTaskWithUnreadableRowIsNotLost(t *testing.T) {
	task := repeatable.NewTask("job", 0)

	for name, row := range map[string]repeatable.UnreadableRun{
		"no task": repeatable.NewUnreadableRun("null"),
		"no run":  repeatable.NewUnreadableRunOf(task, "null"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &garblingBackend{Server: leasedbackend.New("i-1")}
			fx := newFixtureCalling(t, b.Server, b)
			fx.announce(1, false)
			fx.awaitOpen(true)

			b.setGarble(func(r repeatable.WatchResult) repeatable.WatchResult {
				if len(r.Running()) == 0 {
					return r
				}

				return withRuns(r, row)
			})
			fx.start(longLaunch, 1)
			fx.await("the run has begun", fx.hasRunning(1))

			const lists = 8

			first := b.lists.Load()
			fx.await("the run is listed", func() bool { return b.lists.Load() >= first+lists })
			is.Equal(len(fx.frames), 0)

			fx.entry.Send(wire.Frame_builder{Halt: wire.Halt_builder{Job: 1}.Build()}.Build())
			is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED)
			is.Equal(len(b.Running()), 0)
		})
	}
}

// Guards against a row that can't be read and that keeps tasks which have gone from being reported as lost: it was
// listed before they were started, or names another task.
func TestTaskThatIsGoneIsLostBesideAnUnreadableRow(t *testing.T) {
	for name, row := range map[string]repeatable.UnreadableRun{
		"no task":    repeatable.NewUnreadableRun("null"),
		"no run":     repeatable.NewUnreadableRunOf(repeatable.NewTask("job", 0), "null"),
		"other task": repeatable.NewUnreadableRunOf(repeatable.NewTask("job", 1), "null"),
		"foreign":    repeatable.NewForeignRun("null"),
	} {
		t.Run(name, func(t *testing.T) {
			b := &garblingBackend{Server: leasedbackend.New("i-1")}
			b.setGarble(func(r repeatable.WatchResult) repeatable.WatchResult { return withRuns(r, row) })

			fx := newFixtureCalling(t, b.Server, b)
			fx.announce(1, false)
			fx.awaitOpen(true)
			fx.start(longLaunch, 1)
			is.New(t).Equal(fx.nextResult(), wire.Result_RESULT_LOST)
		})
	}
}

// Guards against two runs of a task at the same time, of which the first one was left by an earlier sidecar and can't
// be named in a stop: tasks are accepted only when it has ended with its lease.
func TestUnreadableRunOfAnEarlierSidecarEndsFirst(t *testing.T) {
	is := is.New(t)
	b := &garblingBackend{Server: leasedbackend.New("i-1")}
	b.setGarble(func(r repeatable.WatchResult) repeatable.WatchResult {
		if len(r.Running()) == 0 {
			return r
		}

		return withRuns(r, repeatable.NewUnreadableRun("null"))
	})

	fx := newFixtureCalling(t, b.Server, b)

	r, err := b.Server.Watch(t.Context(), 0, 0, repeatable.NewPermit("i-1", 1, 0))
	is.NoErr(err)
	_, err = b.Server.Watch(t.Context(), 0, 0, repeatable.NewPermit("i-1", 1, r.Clock()+lease.Duration))
	is.NoErr(err)
	b.StartOrphaned(repeatable.NewRun(repeatable.NewTask("job", 0), 1))

	fx.announce(1, false)
	fx.awaitOpen(true)
	is.Equal(len(b.Running()), 0)
}

// Guards against an end that can't be read and that is listed for ever, or that is taken for another one: its task is
// reported as lost once its run is not listed any more, and the ends after it are read.
func TestUnreadableEndIsAcknowledged(t *testing.T) {
	is := is.New(t)
	b := &garblingBackend{Server: leasedbackend.New("i-1")}
	b.setGarble(func(r repeatable.WatchResult) repeatable.WatchResult {
		var (
			ended      []repeatable.EndedRun
			unreadable []repeatable.UnreadableEnd
		)

		for _, e := range r.Ended() {
			if e.Number() == 1 {
				unreadable = append(unreadable, repeatable.NewUnreadableEnd(1, "[1]"))
			} else {
				ended = append(ended, e)
			}
		}

		return repeatable.NewWatchResult(r.Clock(), r.StartedAtMS(), r.Running(), ended).WithUnreadable(nil, unreadable)
	})

	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.startJob(1, "job", "1ms", 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	fx.await("the end is acknowledged", func() bool { return b.acknowledged.Load() == 1 })

	fx.startJob(2, "other", "1ms", 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
}

// Guards against a task that is done and is reported as lost, so that it is started again: its end is not in the list, since
// only the first ends that are not acknowledged are listed at a time.
func TestEndBeyondTheListIsNotLost(t *testing.T) {
	is := is.New(t)
	b := &garblingBackend{Server: leasedbackend.New("i-1")}
	b.setGarble(func(r repeatable.WatchResult) repeatable.WatchResult {
		if len(r.Ended()) <= 1 {
			return r
		}

		return repeatable.NewWatchResult(r.Clock(), r.StartedAtMS(), r.Running(), r.Ended()[:1]).WithMoreEnds()
	})

	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	deliver := b.holdLists()
	fx.startJob(1, "job", "1ms", 3)
	fx.await("the runs have ended", func() bool { return fx.backend.StartCount(repeatable.NewTask("job", 2)) == 1 })
	fx.await("the runs have ended", fx.hasRunning(0))
	deliver()

	for range 3 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
	}
}
