package repeatable_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
)

// savedAnnouncements keeps what a worker saves, as the store does.
type savedAnnouncements struct {
	mu  sync.Mutex
	all []succession.Announcement
}

func (s *savedAnnouncements) save(a succession.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.all = append(s.all, a)
}

func (s *savedAnnouncements) last() succession.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.all[len(s.all)-1]
}

// Guards against a restarted sidecar that uses a backend server which drains: the saved announcement has to say so.
func TestDrainIsSaved(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))

	var saved savedAnnouncements

	fx.worker.SaveWith(saved.save)
	fx.announce(1, false)
	fx.awaitOpen(true)
	is.True(!saved.last().Draining())

	fx.announce(2, true)
	fx.awaitOpen(false)
	is.True(saved.last().Draining())

	// The sidecar is restarted.
	restarted := newFixture(t, fx.backend)
	restarted.worker.Restore(t.Context(), saved.last())
	is.True(restarted.awaitCapacity().GetCapacityCpu() > 0) // it knows the backend server
	is.True(!restarted.awaitCapacity().GetOpen())
}

// awaitCapacity waits for a report of a backend server with a capacity.
func (fx *fixture) awaitCapacity() *wire.Room {
	fx.t.Helper()

	for {
		if r := fx.awaitOpen(false); r.GetCapacityCpu() > 0 {
			return r
		}
	}
}

// Guards against a restarted sidecar that uses a backend server which has left.
func TestDepartureIsSaved(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))

	var saved savedAnnouncements

	fx.worker.SaveWith(saved.save)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	is.True(saved.last().Departed())
}

// Guards against an announcement that was delayed on its way and brings a backend server back that has left.
func TestLateAnnouncementAfterDeparture(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(3, false)
	fx.awaitOpen(true)
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	fx.awaitOpen(false)

	is.True(!fx.announce(4, false))

	w := repeatable.NewWorker("other", fx.backend, repeatable.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())
	is.True(w.Announce(t.Context(), succession.NewAnnouncement( // another sidecar has not seen it leave
		"i-1", "service", "domain", fx.backend.StartedAtMS(), 4, succession.Announcement{}.Capacity(), nil, false)).Accepted())
}

// Guards against a task that is placed again while it runs: its backend server goes on after it has said that it leaves.
func TestRunAtLeavingBackendIsNotReportedAsLost(t *testing.T) {
	is := is.New(t)
	b := &unstoppableBackend{leasedbackend.New("i-1")}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against a task that is placed again while it runs: its backend server refuses connections after it has said that it
// leaves, and goes on with its tasks until their lease ends.
func TestRunAtLeavingBackendThatRefusesConnectionsIsNotReportedAsLost(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startLong(1)
	fx.await("the task runs", fx.hasRunning(1))

	fx.backend.SetFault(leasedbackend.FaultNotListening)
	fx.awaitOpen(false)
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against the end of a backend server that has left and that counts as a crash under its tasks.
func TestEndOfBackendThatLeftIsNoCrash(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)
	fx.await("the task runs", fx.hasRunning(1))

	fx.backend.Crash()
	fx.worker.Depart("i-1", fx.backend.StartedAtMS())

	f := fx.nextFrame()
	is.Equal(f.GetEnded().GetResult(), wire.Result_RESULT_LOST)
	is.True(!f.GetEnded().GetCrashed()) // its process has ended as it said
}
