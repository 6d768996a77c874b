package repeatable_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	core = 1000
	// patience bounds every wait of a test.
	patience = 20 * time.Second
)

// rig is a sidecar with its backend server and one entry that the test plays.
type rig struct {
	t       *testing.T
	backend *leasedbackend.Server
	worker  *repeatable.Worker
	entry   *session.Session
	// frames holds what the sidecar has sent, but for reports.
	frames chan *wire.Frame
	// rooms holds the latest report.
	rooms chan *wire.Room
	links *repeatable.Links
	node  *quic.Node
	quiet chan struct{}
}

func newRig(t *testing.T, b *leasedbackend.Server) *rig {
	t.Helper()

	is := is.New(t)
	keys, err := quic.SharedKeys(t.Name())
	is.NoErr(err)

	r := &rig{t: t, backend: b, frames: make(chan *wire.Frame, 1024), rooms: make(chan *wire.Room, 1), node: &quic.Node{}}
	r.worker = repeatable.NewWorker("sidecar", b, repeatable.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())
	is.NoErr(r.node.Listen("127.0.0.1:0", keys))

	mine := &quic.Node{}
	is.NoErr(mine.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = mine.Close(); _ = r.node.Close() })

	r.links = repeatable.NewLinks(mine, r.worker, 1, zerolog.Nop())
	r.links.Add(t.Context(), r.node.Address().String())

	go r.worker.Run(t.Context())

	r.attach()

	return r
}

// attach accepts the session of the sidecar.
func (r *rig) attach() {
	r.t.Helper()

	is := is.New(r.t)
	ctx, cancel := context.WithTimeout(r.t.Context(), patience)

	defer cancel()

	c, err := r.node.Accept(ctx)
	is.NoErr(err)
	s, err := c.Accept(ctx)
	is.NoErr(err)

	f, err := s.Receive()
	is.NoErr(err)
	is.Equal(f.GetAttach().GetSidecar(), "sidecar")

	r.entry = session.New(c, s)
	r.entry.Send(wire.Frame_builder{Attached: wire.Attached_builder{Entry: "entry"}.Build()}.Build())
	r.quiet = make(chan struct{})

	go r.run()

	k := &periodicReporter{r.entry, r.quiet}
	go k.run()
}

func (r *rig) run() {
	r.entry.Run(r.t.Context(), func(f *wire.Frame) {
		if !f.HasRoom() {
			r.frames <- f

			return
		}

		select {
		case <-r.rooms:
		default:
		}

		r.rooms <- f.GetRoom()
	})
}

// keeper renews the session of the test's entry until it is told to be quiet.
type periodicReporter struct {
	session *session.Session
	quiet   chan struct{}
}

func (k *periodicReporter) run() {
	t := time.NewTicker(session.KeepAlive)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			k.session.Send(wire.Frame_builder{KeepAlive: &wire.KeepAlive{}}.Build())
		case <-k.quiet:
			return
		case <-k.session.Done():
			return
		}
	}
}

func (r *rig) announce(sequence int64, draining bool) bool {
	return r.worker.Announce(r.t.Context(), repeatable.NewAnnouncement(r.backend.Instance(), "service", "domain",
		r.backend.Born(), sequence, job.NewSize(4*core, 1024), []string{"a"}, draining))
}

// open waits until the sidecar says whether its backend server takes tasks.
func (r *rig) open(want bool) *wire.Room {
	r.t.Helper()

	limit := time.After(patience)

	for {
		select {
		case m := <-r.rooms:
			if m.GetOpen() == want {
				return m
			}
		case <-r.entry.Done():
			// The process of the test stood still for longer than a session may be silent; the sidecar dials again.
			r.attach()
		case <-limit:
			r.t.Fatalf("the room is not open=%v within %s", want, patience)
		}
	}
}

// next returns the next frame that is not a report.
func (r *rig) next() *wire.Frame {
	r.t.Helper()

	select {
	case f := <-r.frames:
		return f
	case <-time.After(patience):
		r.t.Fatalf("nothing comes within %s", patience)

		return nil
	}
}

// start reserves room for a job and launches all its tasks.
func (r *rig) start(number uint64, name, input string, tasks int) {
	r.t.Helper()

	r.entry.Send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: number, Tasks: uint32(tasks), Cpu: core, Memory: 1, PatienceMs: 60_000, ExpectedMs: 50, NeededPermille: 1000,
	}.Build()}.Build())

	indices := make([]uint32, 0, tasks)
	for got := 0; got < tasks; {
		f := r.next()
		is.New(r.t).True(f.HasReserved())

		for range f.GetReserved().GetTasks() {
			indices = append(indices, uint32(got))
			got++
		}
	}

	r.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: number, Name: name, Indices: indices, Input: input, ExpectedMs: 50,
	}.Build()}.Build())
}

func (r *rig) ended() wire.Result {
	r.t.Helper()

	f := r.next()
	is.New(r.t).True(f.HasEnded())

	return f.GetEnded().GetResult()
}

func (r *rig) await(what string, done func() bool) {
	r.t.Helper()

	limit := time.Now().Add(patience)
	tick := time.NewTicker(2 * time.Millisecond)

	defer tick.Stop()

	for !done() {
		if time.Now().After(limit) {
			r.t.Fatalf("%s: not within %s", what, patience)
		}

		<-tick.C
	}
}

func (r *rig) running(n int) func() bool {
	return func() bool { return len(r.backend.Running()) == n }
}

// Guards against a start whose answer is lost and that is given up or runs twice.
func TestLostAnswerOfStart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)

	r.backend.DropAnswers(1)
	r.start(1, "job", "20ms", 1)

	result := r.ended()
	is.Equal(result, wire.Result_RESULT_DONE)
	is.Equal(r.backend.Starts(repeatable.NewTask("job", 0)), 1)
}

// Guards against a sidecar that is locked out by the fencing token of its predecessor, whose clock was ahead.
func TestHigherTokenIsTaken(t *testing.T) {
	is := is.New(t)
	b := leasedbackend.New("i-1")
	b.RaiseToken(time.Now().Add(time.Minute).UnixMilli())

	r := newRig(t, b)
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", "5ms", 2)

	for range 2 {
		result := r.ended()
		is.Equal(result, wire.Result_RESULT_DONE)
	}
}

// Guards against runs that an earlier sidecar left and that go on unknown to everybody.
func TestRunsOfEarlierSidecarAreStopped(t *testing.T) {
	is := is.New(t)
	b := leasedbackend.New("i-1")
	b.Place(repeatable.NewRun(repeatable.NewTask("old", 0), 7))

	r := newRig(t, b)
	r.announce(1, false)
	r.open(true)
	is.Equal(len(b.Running()), 0)
}

// Guards against an order that is carried out late, when nobody waits for it any more.
func TestLateOrderIsStopped(t *testing.T) {
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)

	r.backend.Place(repeatable.NewRun(repeatable.NewTask("late", 0), 7))
	r.await("the run is stopped", r.running(0))
}

// Guards against tasks that run on after their entry has gone silent without a farewell.
func TestSilentEntry(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", leasedbackend.Hang, 3)
	r.await("the tasks run", r.running(3))

	silent := time.Now()

	close(r.quiet)
	r.await("the tasks are stopped", r.running(0))
	is.True(time.Since(silent) < 1300*time.Millisecond) // after which callers send a job again
}

// Guards against tasks that outlive a sidecar which cannot renew their lease, and against reporting them as lost while
// they may still run.
func TestLeaseEndsWithoutRenewal(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", leasedbackend.Hang, 2)
	r.await("the tasks run", r.running(2))

	r.backend.SetFault(leasedbackend.Dark)

	for range 2 {
		result := r.ended()
		is.Equal(result, wire.Result_RESULT_LOST)
		is.Equal(len(r.backend.Running()), 0)
	}

	r.open(false)
	r.backend.SetFault(leasedbackend.Healthy)
	r.open(true)
}

// Guards against a backend server that carries calls out and does not answer, whose lease is renewed for ever.
func TestMuteBackendLosesItsLease(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", leasedbackend.Hang, 1)
	r.await("the task runs", r.running(1))

	r.backend.SetFault(leasedbackend.Mute)

	result := r.ended()
	is.Equal(result, wire.Result_RESULT_LOST)
	is.Equal(len(r.backend.Running()), 0)
}

// Guards against two runs of a task that is submitted again while its first run has not ended.
func TestSecondSubmissionWaitsForTheFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", leasedbackend.Hang, 1)
	r.await("the task runs", r.running(1))

	r.start(2, "job", "5ms", 1)

	results := map[uint64]wire.Result{}

	for range 2 {
		f := r.next()
		is.True(f.HasEnded())
		is.Equal(len(r.backend.Running()), 0)

		results[f.GetEnded().GetJob()] = f.GetEnded().GetResult()
	}

	is.Equal(results, map[uint64]wire.Result{1: wire.Result_RESULT_STOPPED, 2: wire.Result_RESULT_REJECTED})
	is.Equal(r.backend.Starts(repeatable.NewTask("job", 0)), 1)
}

// Guards against a launch after its reservation was released, which the entry does not expect to run.
func TestLaunchWithoutReservation(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)

	r.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{Job: 1, Name: "job", Indices: []uint32{0}}.Build()}.Build())

	result := r.ended()
	is.Equal(result, wire.Result_RESULT_REJECTED)
	is.Equal(r.backend.Starts(repeatable.NewTask("job", 0)), 0)
}

// Guards against announcements that were delayed: they neither bring back a life that is over nor a state that has passed.
func TestDelayedAnnouncements(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-2"))

	is.True(r.announce(5, true))
	is.True(!r.announce(4, false)) // overtaken by the one that said it was draining

	older := repeatable.NewAnnouncement("i-1", "service", "domain", r.backend.Born()-1, 9, job.NewSize(core, 1), nil, false)
	is.True(!r.worker.Announce(t.Context(), older))
	r.open(false)
}

// Guards against tasks of a life that is over and that nobody reports.
func TestBackendBornAgain(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", leasedbackend.Hang, 2)
	r.await("the tasks run", r.running(2))

	is.True(r.worker.Announce(t.Context(), repeatable.NewAnnouncement("i-1", "service", "domain", r.backend.Born()+1, 1,
		job.NewSize(4*core, 1024), nil, false)))

	for range 2 {
		result := r.ended()
		is.Equal(result, wire.Result_RESULT_LOST)
	}
}

// Guards against a remembered announcement that takes the place of a newer one, and against a recalled life that is over.
func TestRecall(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-2"))

	gone := repeatable.NewAnnouncement("i-1", "service", "domain", 1, 3, job.NewSize(core, 1), nil, false)
	r.worker.Restore(t.Context(), gone)
	r.open(false)

	is.True(r.announce(1, false))
	r.open(true)

	r.worker.Restore(t.Context(), gone)
	r.start(1, "job", "5ms", 1)

	result := r.ended()
	is.Equal(result, wire.Result_RESULT_DONE)
}

// Guards against a backend server that fails all it starts and draws the work of the others, because it is always idle.
func TestFailingBackendIsSuspect(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)

	for n := range uint64(6) {
		r.start(n+1, fmt.Sprintf("job-%d", n), leasedbackend.Fail, 1)

		result := r.ended()
		is.Equal(result, wire.Result_RESULT_FAILED)
	}

	is.True(r.open(false).GetSuspect())
}

// Guards against a graceful shutdown that cuts tasks off.
func TestLeaveWaitsForTasks(t *testing.T) {
	is := is.New(t)
	r := newRig(t, leasedbackend.New("i-1"))
	r.announce(1, false)
	r.open(true)
	r.start(1, "job", "200ms", 2)
	r.await("the tasks run", r.running(2))

	r.worker.Leave(t.Context())
	is.Equal(r.worker.Running(), 0)

	for range 2 {
		result := r.ended()
		is.Equal(result, wire.Result_RESULT_DONE)
	}
}
