package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// foreignAnnouncement is an announcement of another writer. Its start is relative to that of the backend server.
type foreignAnnouncement struct {
	instance, service string
	startDelta        time.Duration
	sequence          int64
	draining          bool
}

func (a foreignAnnouncement) of(b *leasedbackend.Server) repeatable.Announcement {
	return repeatable.NewAnnouncement(a.instance, a.service, "domain", b.StartedAtMS()+a.startDelta.Milliseconds(),
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
