package repeatable_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// launchOne reserves capacity for a task and launches it.
func (fx *fixture) launchOne(number uint64, index, maxPerServer uint32, requiredLabel string) {
	fx.t.Helper()
	fx.reserve(number, 1)
	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: number, Name: "job", Indices: []uint32{index}, Input: leasedbackend.Hang, ExpectedMs: longMS,
		MaxPerServer: maxPerServer, RequiredLabel: requiredLabel,
	}.Build()}.Build())
}

// Guards against more tasks of a job at the backend server than it allows, which several entries have placed, or one that
// does not know of all.
func TestStartBeyondTheLimitOfItsJobIsRejected(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	for index := range uint32(2) {
		fx.launchOne(uint64(index)+1, index, 2, "")
		fx.await("the task runs", fx.hasRunning(int(index)+1))
	}

	fx.launchOne(3, 2, 2, "")
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 2)), 0)

	fx.launchOne(4, 3, 3, "") // a job may be sent again with another limit
	fx.await("the task runs", fx.hasRunning(3))
}

// Guards against the same where it is not known whether the other task runs.
func TestTaskOfUnknownFateCountsForTheLimitOfItsJob(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.backend.DropAnswers(1 << 30)
	fx.launchOne(1, 0, 1, "")
	fx.await("the task runs", fx.hasRunning(1))

	fx.launchOne(2, 1, 1, "")

	f := fx.nextFrame()
	is.Equal(f.GetEnded().GetJob(), uint64(2))
	is.Equal(f.GetEnded().GetResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 1)), 0)
}

// Guards against a start at a backend server without the label that the job requires.
func TestStartWithoutTheRequiredLabelIsRejected(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.launchOne(1, 0, 0, "b")
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 0)), 0)

	fx.launchOne(2, 0, 0, "a")
	fx.await("the task runs", fx.hasRunning(1))
}
