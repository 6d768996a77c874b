package repeatable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// foreignAnnouncement is an announcement of another writer. Its start is relative to that of the backend server.
type foreignAnnouncement struct {
	instance, service string
	startDelta        time.Duration
	sequence          int64
	draining          bool
}

func (a foreignAnnouncement) of(b *leasedbackend.Server) succession.Announcement {
	return succession.NewAnnouncement(a.instance, a.service, "domain", b.StartedAtMS()+a.startDelta.Milliseconds(),
		a.sequence, job.NewSize(4*core, 1024), []string{"a"}, a.draining)
}

// Guards against tasks that are given up, and so run twice, because an announcement of another writer names another
// incarnation of the backend server.
func TestForeignAnnouncementDoesNotEndRunningTasks(t *testing.T) {
	for name, a := range map[string]foreignAnnouncement{
		"other id, later start":         {"i-9", "service", time.Second, 1, false},
		"other id, equal start":         {"i-9", "service", 0, 1, false},
		"other id, earlier start":       {"i-9", "service", -time.Second, 1, false},
		"other id, other service":       {"i-9", "laundry", time.Second, 1, false},
		"other id, high number":         {"i-9", "service", time.Second, 1 << 39, false},
		"other id that drains":          {"i-9", "service", time.Second, 1, true},
		"the server's id, later start":  {"i-1", "service", time.Second, 1, false},
		"the server's id, start of now": {"i-1", "service", time.Millisecond, 1 << 39, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, leasedbackend.New("i-1"))
			fx.announce(1, false)
			fx.awaitOpen(true)
			fx.startLong(2)
			fx.await("the tasks run", fx.hasRunning(2))

			fx.worker.Announce(t.Context(), a.of(fx.backend))

			// A task that outlasts the lease of the others is the first one to end.
			fx.start(wire.Launch_builder{
				Job: 2, Name: "other", Input: lease.LapseTime.String(), ExpectedMs: longMS,
			}, 1)

			f := fx.nextFrame()
			is.Equal(f.GetEnded().GetJob(), uint64(2))
			is.Equal(f.GetEnded().GetResult(), wire.Result_RESULT_DONE)
			is.Equal(len(fx.backend.Running()), 2)

			is.True(fx.announce(2, true)) // the backend server itself is still followed
			fx.awaitOpen(false)
		})
	}
}

// Guards against a sidecar that waits for the next announcement of an incarnation that was announced while the one before
// was in force.
func TestAnnouncedSuccessorIsUsedOnceItAnswers(t *testing.T) {
	for _, instance := range []string{"i-1", "i-2"} {
		t.Run(instance, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, leasedbackend.New("i-1"))
			fx.announce(1, false)
			fx.awaitOpen(true)
			fx.startJob(1, "job", leasedbackend.Hang, 1)
			fx.await("the task runs", fx.hasRunning(1))

			fx.backend.SetFault(leasedbackend.FaultUnresponsive)
			fx.backend.Crash()
			fx.backend.Restart(instance)
			is.True(fx.announce(1, false))
			is.Equal(len(fx.frames), 0) // the backend server has not answered

			fx.backend.SetFault(leasedbackend.FaultNone)
			is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)

			fx.startJob(2, "job", "5ms", 1)
			is.Equal(fx.nextResult(), wire.Result_RESULT_DONE)
		})
	}
}

// Guards against an announcement of another writer that is saved, and then used by a restarted sidecar.
func TestForeignAnnouncementIsNotSaved(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))

	var saved savedAnnouncements

	fx.worker.SaveWith(saved.save)
	fx.worker.Announce(t.Context(), foreignAnnouncement{"i-9", "service", time.Second, 1, false}.of(fx.backend))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.worker.Announce(t.Context(), foreignAnnouncement{"i-9", "service", time.Second, 1, false}.of(fx.backend))
	fx.announce(2, true)
	fx.awaitOpen(false)

	for _, a := range saved.all {
		is.Equal(a.Instance(), "i-1")
	}
}

// announceAt passes an announcement with a reading of the backend server's clock to the sidecar.
func (fx *fixture) announceAt(clock time.Duration, sequence, cores int64, draining bool) succession.Result {
	return fx.worker.Announce(fx.t.Context(), succession.NewAnnouncement(fx.backend.Instance(), "service", "domain",
		fx.backend.StartedAtMS(), sequence, job.NewSize(cores*core, 1024), []string{"a"}, draining).WithClock(clock))
}

// Guards against announcements of a backend server that count as old, so that its drain or a smaller capacity is not followed,
// after one of another writer with its id and a high number.
func TestHighNumberHidesNoLaterAnnouncement(t *testing.T) {
	const cores, high = 4, 1 << 39

	for name, foreignClock := range map[string]func(*leasedbackend.Server) time.Duration{
		"clock of the backend server": (*leasedbackend.Server).Clock,
		"clock in the future":         func(b *leasedbackend.Server) time.Duration { return b.Clock() + time.Hour },
		"clock of long ago":           func(*leasedbackend.Server) time.Duration { return time.Millisecond },
	} {
		for _, isFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, first %v", name, isFirst), func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(t, leasedbackend.New("i-1"))

				if !isFirst {
					fx.announceAt(fx.backend.Clock(), 1, cores, false)
					fx.awaitOpen(true)
				}

				fx.announceAt(foreignClock(fx.backend), high, cores, false)
				fx.awaitOpen(true)

				fx.await("the clock goes on", clockPasses(fx.backend, fx.backend.Clock()))
				is.Equal(fx.announceAt(fx.backend.Clock(), 2, cores/2, false), succession.Applied)

				for fx.awaitOpen(true).GetCapacityCpu() != cores/2*core {
					t.Log("report of the earlier capacity")
				}

				fx.await("the clock goes on", clockPasses(fx.backend, fx.backend.Clock()))
				is.Equal(fx.announceAt(fx.backend.Clock(), 3, cores/2, true), succession.Applied)
				fx.awaitOpen(false)
			})
		}
	}
}

// clockPasses returns a condition that holds once the backend server's clock has passed a time by more than its resolution.
func clockPasses(b *leasedbackend.Server, t time.Duration) func() bool {
	return func() bool { return b.Clock() > t+2*time.Millisecond }
}

// Guards against a drain that is acknowledged and not followed, as an announcement with a later clock overtook it.
func TestOvertakenDrainIsFollowed(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	clock := fx.backend.Clock()
	fx.announceAt(clock, 1, 4, false)
	fx.awaitOpen(true)

	is.Equal(fx.announceAt(clock-time.Millisecond, 0, 4, false), succession.Outdated)
	is.Equal(fx.announceAt(clock-time.Millisecond, 0, 4, true), succession.Applied)
	fx.awaitOpen(false)
}

// Guards against an announcement that the backend server cannot have sent yet.
func TestAnnouncementOfTheFutureIsRejected(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announceAt(fx.backend.Clock(), 1, 4, false)
	fx.awaitOpen(true)

	is.Equal(fx.announceAt(fx.backend.Clock()+time.Minute, 2, 4, true), succession.Implausible)
	is.True(fx.completesTask())
}

// completesTask reports whether a task that is started now completes.
func (fx *fixture) completesTask() bool {
	fx.startJob(1, "job", "1ms", 1)

	return fx.nextResult() == wire.Result_RESULT_DONE
}
