package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Guards against a backend server that is offered to entries until the lease of its tasks ends although nothing listens
// there, and against giving up its tasks before that.
func TestUnreachableBackendIsClosedAtOnce(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 2)
	fx.await("the tasks run", fx.hasRunning(2))

	fx.backend.SetFault(leasedbackend.FaultNotListening)
	fx.awaitOpen(false)
	is.Equal(len(fx.frames), 0) // no task is given up yet

	for range 2 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
		is.Equal(len(fx.backend.Running()), 0)
	}

	fx.backend.SetFault(leasedbackend.FaultNone)
	fx.awaitOpen(true)
}

// Guards against a task that waits for the end of a lease although its start was not delivered.
func TestUndeliveredStartIsRejected(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.backend.SetFault(leasedbackend.FaultNotListening)
	fx.entry.Send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: 1, Tasks: 1, Cpu: core, Memory: 1, PatienceMs: 60_000, ExpectedMs: 50, NeededPermille: 1000,
	}.Build()}.Build())

	if f := fx.nextFrameOrClosed(); f != nil {
		is.True(f.HasReserved())
		fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
			Job: 1, Name: "job", Indices: []uint32{0}, Input: leasedbackend.Hang, ExpectedMs: 50,
		}.Build()}.Build())
		is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	}
}

// Guards against a result that does not tell a crash of the backend server from other losses.
func TestLossByCrashIsReported(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Crash, 1)

	f := fx.nextFrame()
	is.True(f.HasEnded())
	is.Equal(f.GetEnded().GetResult(), wire.Result_RESULT_LOST)
	is.True(f.GetEnded().GetCrashed())

	fx.backend.Restart("i-2")
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(2, "next", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))
	fx.backend.SetFault(leasedbackend.FaultUnresponsive)

	f = fx.nextFrame()
	is.True(f.HasEnded())
	is.True(!f.GetEnded().GetCrashed())
}

// Guards against a report of a crash that leaves out a kind, or does not tell which one started last.
func TestCrashIsReportedWithTheKinds(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startKind(1, "older", "lookup")
	fx.await("the older task runs", fx.hasRunning(1))
	fx.startKind(2, "newer", "quick")
	fx.await("the newer task runs", fx.hasRunning(2))
	fx.backend.Crash()

	select {
	case m := <-fx.crashes:
		is.Equal(len(m.GetExposures()), 2)
		is.Equal(m.GetExposures()[0].GetKind(), "quick")
		is.Equal(m.GetExposures()[1].GetKind(), "lookup")
		is.True(m.GetExposures()[0].GetAgeUs() <= m.GetExposures()[1].GetAgeUs())
		is.True(m.GetExposures()[0].GetStartsPer_1000S() > 0)
	case <-time.After(waitTimeout):
		t.Fatalf("no report of the crash within %s", waitTimeout)
	}
}

// Guards against blaming a crash on a task whose start was on its way when the backend server crashed.
func TestUnansweredStartIsNoCrash(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "older", leasedbackend.Hang, 1)
	fx.await("the older task runs", fx.hasRunning(1))

	fx.backend.SetFault(leasedbackend.FaultNoAnswer)
	fx.startJob(2, "unanswered", leasedbackend.Hang, 1)
	fx.await("the unanswered task runs", fx.hasRunning(2))
	fx.backend.Crash()

	for range 2 {
		m := fx.nextFrame().GetEnded()
		is.Equal(m.GetResult(), wire.Result_RESULT_LOST)
		is.Equal(m.GetCrashed(), m.GetJob() == 1)
		is.Equal(m.GetSuspected(), m.GetJob() == 1)
	}
}

// Guards against blaming tasks for the planned end of a backend server.
func TestEndOfLeavingBackendIsNoCrash(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startLong(1)
	fx.await("the task runs", fx.hasRunning(1))

	fx.announce(2, true)
	fx.awaitOpen(false)
	fx.backend.Crash()

	m := fx.nextFrame().GetEnded()
	is.Equal(m.GetResult(), wire.Result_RESULT_LOST)
	is.True(!m.GetCrashed())
	is.Equal(len(fx.crashes), 0)
	is.Equal(len(fx.crashedTasks), 0)
}
