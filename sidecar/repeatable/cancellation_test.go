package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
)

func (fx *fixture) cancel(id string, age time.Duration) {
	for _, f := range jobmemory.CancellationFrames([]jobmemory.Cancellation{jobmemory.NewCancellation(id, age)}) {
		fx.entry.Send(f)
	}
}

// Guards against tasks of a cancelled job that run on, or start, for an entry that does not know yet.
func TestCancelledJobRunsNothingAtTheSidecar(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.launchOne(1, 0, 0, "")
	fx.await("the task runs", fx.hasRunning(1))

	fx.cancel("job", 0)
	is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED)
	is.Equal(len(fx.backend.Running()), 0)

	fx.launchOne(2, 1, 0, "")
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 1)), 0)
}

// Guards against an entry that was restarted and starts a job that was cancelled before, and against a cancellation that is
// remembered for longer the more often it is passed on.
func TestEntryThatConnectsLearnsOfCancelledJobs(t *testing.T) {
	const age = 10 * time.Second

	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.cancel("job", age)
	fx.cancel("old", jobmemory.CancelledAge+time.Second)
	fx.reserve(1, 1) // the frames before it have been read
	fx.entry.End("restarted")
	fx.attach()

	fx.reserve(1, 1) // so have those after the attachment

	all := jobmemory.DecodeCancellations(<-fx.cancellations)
	is.Equal(len(all), 1)
	is.Equal(all[0].ID(), "job")
	is.True(all[0].Age() >= age)
}
