package repeatable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against a task that is abandoned or runs twice when the answer to its start is lost.
func TestLostAnswerOfStart(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.backend.DropAnswers(1)
	fx.startJob(1, "job", "20ms", 1)

	result := fx.nextResult()
	is.Equal(result, wire.Result_RESULT_DONE)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 0)), 1)
}

// Guards against a sidecar that cannot start tasks because its predecessor, whose clock was ahead, has left a higher
// fencing token at the backend server.
func TestTokenIsRaisedAfterRejection(t *testing.T) {
	is := is.New(t)
	b := leasedbackend.New("i-1")
	b.RaiseToken(time.Now().Add(time.Minute).UnixMilli())

	fx := newFixture(t, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", "5ms", 2)

	for range 2 {
		result := fx.nextResult()
		is.Equal(result, wire.Result_RESULT_DONE)
	}
}

// Guards against orphaned runs that an earlier sidecar has left and that go on although no entry has recorded them.
func TestRunsOfEarlierSidecarAreStopped(t *testing.T) {
	is := is.New(t)
	b := leasedbackend.New("i-1")
	b.StartOrphaned(repeatable.NewRun(repeatable.NewTask("old", 0), 7))

	fx := newFixture(t, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	is.Equal(len(b.Running()), 0)
}

// Guards against an orphaned run after the backend server carries out a start late, when no entry waits for it any
// more.
func TestLateStartIsStopped(t *testing.T) {
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.backend.StartOrphaned(repeatable.NewRun(repeatable.NewTask("late", 0), 7))
	fx.await("the run is stopped", fx.hasRunning(0))
}

// Guards against tasks that run on after their entry has stopped sending keep-alives without closing its session.
func TestUnresponsiveEntry(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 3)
	fx.await("the tasks run", fx.hasRunning(3))

	stoppedAt := time.Now()

	close(fx.stopKeepAlives)
	fx.await("the tasks are stopped", fx.hasRunning(0))
	is.True(time.Since(stoppedAt) < 1300*time.Millisecond) // callers send a job again after this time
}

// Guards against tasks that run on when the sidecar cannot renew their lease, and against reporting them as lost while
// they may still run. The backend server cannot be reached here.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 2)
	fx.await("the tasks run", fx.hasRunning(2))

	fx.backend.SetFault(leasedbackend.FaultUnresponsive)

	for range 2 {
		result := fx.nextResult()
		is.Equal(result, wire.Result_RESULT_LOST)
		is.Equal(len(fx.backend.Running()), 0)
	}

	fx.awaitOpen(false)
	fx.backend.SetFault(leasedbackend.FaultNone)
	fx.awaitOpen(true)
}

// Guards against renewing the lease forever when the backend server carries out calls but does not answer them.
func TestUnansweringBackendLosesItsLease(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	fx.backend.SetFault(leasedbackend.FaultNoAnswer)

	result := fx.nextResult()
	is.Equal(result, wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against two simultaneous runs of a task that is submitted again before its first run has ended.
func TestSecondSubmissionWaitsForTheFirst(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	fx.startJob(2, "job", "5ms", 1)

	results := map[uint64]wire.Result{}

	for range 2 {
		f := fx.nextFrame()
		is.True(f.HasEnded())
		is.Equal(len(fx.backend.Running()), 0)

		results[f.GetEnded().GetJob()] = f.GetEnded().GetResult()
	}

	is.Equal(results, map[uint64]wire.Result{1: wire.Result_RESULT_STOPPED, 2: wire.Result_RESULT_REJECTED})
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 0)), 1)
}

// Guards against running a task that is launched after its reservation was released: the entry does not expect it to
// run.
func TestLaunchWithoutReservation(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{Job: 1, Name: "job", Indices: []uint32{0}}.Build()}.Build())

	result := fx.nextResult()
	is.Equal(result, wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 0)), 0)
}

// Guards against a delayed announcement that restores an earlier incarnation or an earlier drain state.
func TestDelayedAnnouncements(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-2"))

	is.True(fx.announce(5, true))
	is.True(!fx.announce(4, false)) // older than the announcement that the backend server is draining

	older := succession.NewAnnouncement("i-1", "service", "domain", fx.backend.StartedAtMS()-1, 9, job.NewSize(core, 1), nil, false)
	is.True(!fx.worker.Announce(t.Context(), older).Accepted())
	fx.awaitOpen(false)
}

// Guards against tasks of an ended incarnation that are never reported to their entry. The backend server restarts with
// the same instance id while its tasks run.
func TestBackendRestarted(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 2)
	fx.await("the tasks run", fx.hasRunning(2))

	fx.backend.Crash()
	fx.backend.Restart("i-1")
	is.True(fx.announce(1, false))

	for range 2 {
		result := fx.nextResult()
		is.Equal(result, wire.Result_RESULT_LOST)
	}
}

// Guards against a restored announcement that replaces a newer one, and against accepting tasks for a restored
// incarnation that has ended.
func TestRestoredAnnouncement(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-2"))

	ended := succession.NewAnnouncement("i-1", "service", "domain", 1, 3, job.NewSize(core, 1), nil, false)
	fx.worker.Restore(t.Context(), ended)
	fx.awaitOpen(false)

	is.True(fx.announce(1, false))
	fx.awaitOpen(true)

	fx.worker.Restore(t.Context(), ended)
	fx.startJob(1, "job", "5ms", 1)

	result := fx.nextResult()
	is.Equal(result, wire.Result_RESULT_DONE)
}

// Guards against a backend server that fails every task and attracts tasks that others could complete, because it
// always has free capacity.
func TestFailingBackendIsSuspect(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	for n := range uint64(6) {
		fx.startJob(n+1, fmt.Sprintf("job-%d", n), leasedbackend.Fail, 1)

		result := fx.nextResult()
		is.Equal(result, wire.Result_RESULT_FAILED)
	}

	is.True(fx.awaitOpen(false).GetSuspect())
}

// Guards against a graceful shutdown that interrupts running tasks.
func TestLeaveWaitsForTasks(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", "200ms", 2)
	fx.await("the tasks run", fx.hasRunning(2))

	fx.worker.Leave(t.Context())
	is.Equal(fx.worker.Running(), 0)

	for range 2 {
		result := fx.nextResult()
		is.Equal(result, wire.Result_RESULT_DONE)
	}
}
