package repeatable_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// lingeringBackend does not answer the first stops of a run.
type lingeringBackend struct {
	*leasedbackend.Server

	mu sync.Mutex
	// unanswered is the number of stops that are still to be left unanswered.
	unanswered int
	// stopSent is closed by the first stop.
	stopSent chan struct{}
	once     sync.Once
}

func (b *lingeringBackend) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	b.once.Do(func() { close(b.stopSent) })

	b.mu.Lock()
	defer b.mu.Unlock()

	if b.unanswered > 0 {
		b.unanswered--

		return errors.New("no answer")
	}

	return b.Server.Stop(ctx, r, p)
}

// Guards against starts that bring a backend server over its capacity while a run that an order carried out late has left
// over is being stopped.
func TestOrphanedRunOccupiesCapacity(t *testing.T) {
	const cores, lateStops = 4, 3

	is := is.New(t)
	b := &lingeringBackend{Server: leasedbackend.New("i-1"), unanswered: lateStops, stopSent: make(chan struct{})}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announceCores(1, cores)
	fx.awaitOpen(true)

	b.StartOrphaned(repeatable.NewRun(repeatable.NewTask("late", 0), 7))
	<-b.stopSent // the sidecar knows of the run

	fx.startLong(cores)
	fx.await("the tasks run", fx.hasRunning(cores))
	is.True(b.PeakRunning() <= cores)
}

// Guards against capacity that stays occupied by an orphaned run of a process that has ended.
func TestCapacityOfOrphanIsFreeAfterRestart(t *testing.T) {
	const cores, unlimited = 4, 1 << 30

	b := &lingeringBackend{Server: leasedbackend.New("i-1"), unanswered: unlimited, stopSent: make(chan struct{})}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announceCores(1, cores)
	fx.awaitOpen(true)

	b.StartOrphaned(repeatable.NewRun(repeatable.NewTask("late", 0), 7))
	<-b.stopSent
	b.Crash()
	b.Restart("i-2")
	fx.announceCores(1, cores+1)

	for fx.awaitOpen(true).GetCapacityCpu() != (cores+1)*core {
		t.Log("report of the earlier process")
	}

	fx.startLong(cores + 1)
	fx.await("the tasks run", fx.hasRunning(cores+1))
}

// Guards against starts that bring a backend server over its capacity while the stop of a task that was given up is not
// confirmed.
func TestGivenUpTaskOccupiesCapacity(t *testing.T) {
	const cores, lateStops = 4, 3

	is := is.New(t)
	b := &lingeringBackend{Server: leasedbackend.New("i-1"), unanswered: lateStops, stopSent: make(chan struct{})}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announceCores(1, cores)
	fx.awaitOpen(true)
	fx.startLong(cores)
	fx.await("the tasks run", fx.hasRunning(cores))

	fx.entry.Send(wire.Frame_builder{Halt: wire.Halt_builder{Job: 1, Indices: []uint32{0}}.Build()}.Build())
	<-b.stopSent
	fx.request(2, 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED) // the frames arrive in order: nothing was reserved before
	is.True(fx.nextFrame().HasReserved())
	is.True(b.PeakRunning() <= cores)
}

// delayedListBackend delays its first list that shows a run, and counts the stops.
type delayedListBackend struct {
	*leasedbackend.Server

	once sync.Once
	// listed receives the run of the list that is delayed until released is closed.
	listed   chan repeatable.Run
	released chan struct{}
	stops    atomic.Int64
}

func (b *delayedListBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	result, err := b.Server.Watch(ctx, lastEnd, wait, p)

	if len(result.Running()) > 0 {
		b.once.Do(func() {
			b.listed <- result.Running()[0]
			<-b.released
		})
	}

	return result, err
}

func (b *delayedListBackend) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	b.stops.Add(1)

	return b.Server.Stop(ctx, r, p)
}

// Guards against a run that is taken for an orphaned one after its end: a list that was answered before the end arrives
// after the one that tells it.
func TestListFromBeforeAnEndShowsNoOrphan(t *testing.T) {
	is := is.New(t)
	b := &delayedListBackend{
		Server: leasedbackend.New("i-1"), listed: make(chan repeatable.Run), released: make(chan struct{}),
	}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startLong(1)

	r := <-b.listed
	is.NoErr(b.Server.Stop(t.Context(), r, repeatable.NewPermit("i-1", 0, 0)))
	is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED)
	close(b.released)

	fx.startLong(1)
	fx.await("the next task runs", fx.hasRunning(1))
	is.Equal(b.stops.Load(), int64(0))
}

// Guards against an orphaned run that goes on while another entry runs the task: its stops are not carried out, and the sidecar
// renews its lease.
func TestOrphanedRunIsNotKeptAlive(t *testing.T) {
	b := &unstoppableBackend{leasedbackend.New("i-1")}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	b.StartOrphaned(repeatable.NewRun(repeatable.NewTask("late", 0), 7))
	fx.await("the lease of the run ends", fx.hasRunning(0))
}
