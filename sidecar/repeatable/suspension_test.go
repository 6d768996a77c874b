package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
