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

// lateTryBackend answers the first try of a start once the second one has arrived. It carries the second one out when the
// test lets it, maybe after a restart, and answers no other. It delivers no call for a list while it is ended.
type lateTryBackend struct {
	unstoppableBackend

	mu    sync.Mutex
	tries int
	// run and permit are those of the second try, which has arrived once secondTry is closed.
	run       repeatable.Run
	permit    repeatable.Permit
	secondTry chan struct{}
	// listed is closed while lists are delivered.
	listed chan struct{}
	// lists is the number of lists that were answered.
	lists atomic.Int64
}

func newLateTryBackend() *lateTryBackend {
	b := &lateTryBackend{
		unstoppableBackend: unstoppableBackend{leasedbackend.New("i-1")},
		secondTry:          make(chan struct{}), listed: make(chan struct{}),
	}
	close(b.listed)

	return b
}

func (b *lateTryBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.mu.Lock()
	b.tries++
	try := b.tries

	if try == 2 {
		b.run, b.permit = r, p
		close(b.secondTry)
	}

	b.mu.Unlock()

	if try == 1 {
		<-b.secondTry

		return b.Server.Start(ctx, r, input, p)
	}

	return repeatable.StartAnswer{}, errStartLost
}

func (b *lateTryBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	b.mu.Lock()
	listed := b.listed
	b.mu.Unlock()

	select {
	case <-listed:
		result, err := b.Server.Watch(ctx, lastEnd, wait, p)
		if err == nil {
			b.lists.Add(1)
		}

		return result, err
	case <-ctx.Done():
		return repeatable.WatchResult{}, ctx.Err()
	}
}

// restart ends the process and starts another one with an id. Lists are not delivered before deliverLists.
func (b *lateTryBackend) restart(instance string) {
	b.mu.Lock()
	b.listed = make(chan struct{})
	b.mu.Unlock()

	b.Crash()
	b.Restart(instance)
}

func (b *lateTryBackend) deliverLists() {
	b.mu.Lock()
	defer b.mu.Unlock()

	close(b.listed)
}

// carryOutLate carries the second try out.
func (b *lateTryBackend) carryOutLate(t *testing.T) {
	t.Helper()

	is := is.New(t)
	answer, err := b.Server.Start(t.Context(), b.run, leasedbackend.Hang, b.permit)
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Started)
}

// startWithLateTry starts a task that runs, while the second try of its start is still on its way.
func startWithLateTry(t *testing.T) (*fixture, *lateTryBackend) {
	t.Helper()

	b := newLateTryBackend()
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	return fx, b
}

// awaitNoResult fails if a result arrives within a time in which one would.
func (fx *fixture) awaitNoResult(d time.Duration) {
	fx.t.Helper()

	select {
	case f := <-fx.frames:
		fx.t.Fatalf("a task that may run has ended: %v", f)
	case <-time.After(d):
	}
}

// Guards against a task that is placed again while it runs: its start was answered, and another try of it is carried out by
// the next process of the backend server. The task still counts as ended by the crash.
func TestOtherTryAtRestartedBackendIsNotForgotten(t *testing.T) {
	is := is.New(t)
	fx, b := startWithLateTry(t)
	b.restart("i-1")
	b.carryOutLate(t)
	fx.announce(1, false)
	b.deliverLists()

	ended := fx.nextFrame().GetEnded()
	is.Equal(len(fx.backend.Running()), 0)
	is.Equal(ended.GetResult(), wire.Result_RESULT_LOST)
	is.True(ended.GetCrashed())
	is.Equal(len(fx.crashedTasks), 1)
	fx.awaitOpen(true)
}

// Guards against the same after the backend server has left and comes back under its id.
func TestLateTryAfterDepartureIsNotForgotten(t *testing.T) {
	is := is.New(t)
	fx, b := startWithLateTry(t)
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	b.restart("i-1")
	fx.awaitNoResult(100 * time.Millisecond)
	b.carryOutLate(t)
	fx.announce(1, false)
	b.deliverLists()

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against the same after nothing has listened at the backend server for longer than its lease.
func TestLateTryAfterSilenceIsNotForgotten(t *testing.T) {
	is := is.New(t)
	fx, b := startWithLateTry(t)
	b.Crash()
	fx.awaitOpen(false)
	fx.awaitNoResult(time.Second)
	b.restart("i-1")
	b.carryOutLate(t)
	fx.announce(1, false)
	b.deliverLists()

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against a late start that the next process carries out before it has announced itself, after it was called.
func TestFirstCallAfterRefusedOnesFencesLateStarts(t *testing.T) {
	is := is.New(t)
	fx, b := startWithLateTry(t)
	b.Crash()
	fx.awaitOpen(false) // a call was refused

	lists := b.lists.Load()
	b.Restart("i-1")
	fx.await("a list of the next process", func() bool { return b.lists.Load() > lists })

	answer, err := b.Server.Start(t.Context(), b.run, leasedbackend.Hang, b.permit)
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Fenced)
}

// Guards against a task that waits for a late start although a process with another id rejects it.
func TestTaskIsLostAtOnceWithAnotherInstance(t *testing.T) {
	is := is.New(t)
	fx, b := startWithLateTry(t)
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	fx.awaitNoResult(100 * time.Millisecond)
	b.restart("i-2")
	fx.announce(1, false)
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	b.deliverLists()
}

// Guards against a task that is kept for ever if its backend server does not come back.
func TestTaskOfAbsentBackendIsReported(t *testing.T) {
	is := is.New(t)
	fx, _ := startWithLateTry(t)
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
}

// heldListBackend answers one call for a list only when the test lets it, with the list of the time at which it was sent.
type heldListBackend struct {
	*lateTryBackend

	// holdsNext is true if the next list is to be held back, isHeld is closed once it is.
	holdsNext        atomic.Bool
	isHeld, released chan struct{}
}

func (b *heldListBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	if !b.holdsNext.CompareAndSwap(true, false) {
		return b.lateTryBackend.Watch(ctx, lastEnd, wait, p)
	}

	result, err := b.lateTryBackend.Watch(ctx, lastEnd, 0, p)

	close(b.isHeld)
	<-b.released

	return result, err
}

// Guards against a task that is placed again while it runs: a list from before its start, which is read late after a pause of
// the sidecar, is taken for one of the next process of the backend server.
func TestListFromBeforeTheHoldSettlesNothing(t *testing.T) {
	is := is.New(t)
	b := &heldListBackend{
		lateTryBackend: newLateTryBackend(), isHeld: make(chan struct{}), released: make(chan struct{}),
	}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	b.holdsNext.Store(true)
	<-b.isHeld
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	b.Crash()
	fx.awaitOpen(false)
	fx.awaitNoResult(time.Second)
	close(b.released)
	fx.awaitNoResult(100 * time.Millisecond)
	b.restart("i-1")
	b.carryOutLate(t)
	fx.announce(1, false)
	b.deliverLists()

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}
