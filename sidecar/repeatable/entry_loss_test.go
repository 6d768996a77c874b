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
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

// leaseRecorder is a backend server that carries out no stop. It records the latest lease that it was given while
// something ran, and counts the stops.
type leaseRecorder struct {
	unstoppableBackend

	stops atomic.Int64

	mu       sync.Mutex
	leaseEnd time.Duration
}

func newLeaseRecorder() *leaseRecorder {
	return &leaseRecorder{unstoppableBackend: unstoppableBackend{leasedbackend.New("i-1")}}
}

func (b *leaseRecorder) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.record(p)

	return b.Server.Start(ctx, r, input, p)
}

func (b *leaseRecorder) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	b.record(p)

	return b.Server.Watch(ctx, lastEnd, wait, p)
}

func (b *leaseRecorder) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	b.stops.Add(1)

	return b.unstoppableBackend.Stop(ctx, r, p)
}

func (b *leaseRecorder) record(p repeatable.Permit) {
	// Once the run has ended, there is no need for the lease to end.
	if len(b.Running()) == 0 {
		return
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.leaseEnd = max(b.leaseEnd, p.LeaseEnd())
}

func (b *leaseRecorder) latestLease() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.leaseEnd
}

// silence stops the frames of the test entry, and returns the time on the backend server's clock once the sidecar has
// received the last one.
func (fx *fixture) silence() time.Duration {
	fx.t.Helper()

	is := is.New(fx.t)

	close(fx.stopKeepAlives)
	<-fx.keepAlivesStopped

	// The answer to this launch, which has no reservation, shows that everything sent before has arrived.
	const unknownJob = 1000

	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: unknownJob, Name: "unknown", Indices: []uint32{0},
	}.Build()}.Build())
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)

	// The token is too low, so that the call does nothing.
	w, err := fx.backend.Watch(fx.t.Context(), 0, 0, repeatable.NewPermit(fx.backend.Instance(), 0, 0))
	is.NoErr(err)
	is.True(w.Fenced())

	return w.Clock()
}

// Guards against a task that runs on while another entry runs it again: its entry is lost, and the sidecar, which was
// paused and has not found out yet, renews the lease on an answer that arrived in the pause.
func TestLeaseIsNotRenewedForExpiredSession(t *testing.T) {
	is := is.New(t)
	b := newLeaseRecorder()
	fx := newFixtureWithoutChecks(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	lost := fx.silence()
	fx.await("the lease ends", fx.hasRunning(0))
	is.True(b.latestLease() <= lost+session.Timeout+lease.Duration)
}

// Guards against a task that runs on while another entry runs it again: it is being stopped without success, so that the
// sidecar takes the session with its entry for one without work and finds out late that the entry is lost.
func TestLeaseEndsThoughOnlyStoppingTasksAreLeft(t *testing.T) {
	is := is.New(t)
	b := newLeaseRecorder()
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task is overdue", func() bool { return b.stops.Load() > 0 })

	lost := fx.silence()
	fx.await("the lease ends", fx.hasRunning(0))
	is.True(b.latestLease() <= lost+session.Timeout+lease.Duration)
}
