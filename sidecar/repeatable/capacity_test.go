package repeatable_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// longMS is an expected run time that no test reaches.
const longMS = 60_000

// startLong starts job 1 with tasks that go on until they are halted.
func (fx *fixture) startLong(tasks int) {
	fx.t.Helper()
	fx.start(wire.Launch_builder{Job: 1, Name: "running", Input: leasedbackend.Hang, ExpectedMs: longMS}, tasks)
}

// announceCores passes an announcement with another capacity to the sidecar.
func (fx *fixture) announceCores(sequence, cores int64) {
	fx.t.Helper()
	is.New(fx.t).True(fx.worker.Announce(fx.t.Context(), succession.NewAnnouncement(fx.backend.Instance(), "service",
		"domain", fx.backend.StartedAtMS(), sequence, job.NewSize(cores*core, 1024), []string{"a"}, false)).Accepted())
}

// reserve requests reservations for a job and waits until all are granted.
func (fx *fixture) reserve(number uint64, tasks int) {
	fx.t.Helper()
	fx.request(number, tasks)

	for reserved := 0; reserved < tasks; {
		f := fx.nextFrame()
		is.New(fx.t).True(f.HasReserved())

		reserved += int(f.GetReserved().GetTasks())
	}
}

func (fx *fixture) request(number uint64, tasks int) {
	fx.entry.Send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: number, Tasks: uint32(tasks), Cpu: core, Memory: 1, PatienceMs: 60_000, ExpectedMs: 50, NeededPermille: 1000,
	}.Build()}.Build())
}

func (fx *fixture) launch(number uint64, name string, tasks int) {
	indices := make([]uint32, tasks)
	for n := range indices {
		indices[n] = uint32(n)
	}

	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: number, Name: name, Indices: indices, Input: leasedbackend.Hang, ExpectedMs: longMS,
	}.Build()}.Build())
}

// Guards against starts that bring a backend server over a capacity that shrank after they were reserved, and against
// such tasks waiting there although other backend servers may have capacity.
func TestShrunkCapacityRejectsWhatWasReserved(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announceCores(1, 4)
	fx.awaitOpen(true)
	fx.startLong(2)
	fx.await("the tasks run", fx.hasRunning(2))

	fx.reserve(2, 2)
	fx.announceCores(2, 1)
	fx.launch(2, "reserved", 2)

	for range 2 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	}

	is.Equal(fx.backend.PeakRunning(), 2)
}

// Guards against capacity that is not used after it has grown again, and against counting what runs over the shrunk
// capacity as free.
func TestGrownCapacityIsUsed(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announceCores(1, 4)
	fx.awaitOpen(true)
	fx.startLong(3)
	fx.await("the tasks run", fx.hasRunning(3))

	fx.announceCores(2, 1)
	fx.request(2, 1)
	fx.entry.Send(wire.Frame_builder{Halt: wire.Halt_builder{Job: 1, Indices: []uint32{0}}.Build()}.Build())
	is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED) // two run, over a capacity of one

	fx.announceCores(3, 4)

	f := fx.nextFrame()
	is.True(f.HasReserved()) // not before the capacity has grown: the frames arrive in order
	fx.launch(2, "next", 1)
	fx.await("the next task runs", fx.hasRunning(3))
	is.Equal(fx.backend.PeakRunning(), 3)
}
