package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

// suspend suspends the backend server for a time, in which its clock stands still.
func (fx *fixture) suspend(d time.Duration) {
	fx.backend.Suspend()
	<-time.After(d)
	fx.backend.Resume()
}

// Guards against tasks that are reported as lost, and so run twice, because a suspension has made the sidecar wrong about
// the clock of its backend server: when that leaves calls unanswered, their lease is longer than the sidecar counts.
func TestTasksAfterSuspensionAreNotLostWhileTheyRun(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.suspend(2 * time.Second)
	fx.awaitOpen(true)
	fx.startLong(2)
	fx.await("the tasks run", fx.hasRunning(2))

	// The sidecar renews the lease for a while.
	fx.start(wire.Launch_builder{Job: 2, Name: "other", Input: lease.Duration.String(), ExpectedMs: longMS}, 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)

	fx.backend.SetFault(leasedbackend.FaultNoAnswer)

	for range 2 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
		is.Equal(len(fx.backend.Running()), 0)
	}
}

// Guards against a run of an earlier sidecar that goes on while the backend server is used: it can't be named in a stop, and
// its lease stood still during a suspension.
func TestUnreadableRunGoesOnAfterSuspension(t *testing.T) {
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
	fx.awaitCapacity() // the sidecar knows the backend server
	fx.await("the run is listed", func() bool { return b.lists.Load() > 0 })
	fx.suspend(2 * lease.LapseTime)
	fx.awaitOpen(true)
	is.Equal(len(b.Running()), 0)
}
