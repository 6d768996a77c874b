package repeatable_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
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
