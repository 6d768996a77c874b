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
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// core is one core of a processor in millicores.
	core = 1000
	// waitTimeout limits every wait of a test.
	waitTimeout = 20 * time.Second
)

// fixture is a sidecar with its backend server and one entry that the test emulates.
type fixture struct {
	t       *testing.T
	backend *leasedbackend.Server
	worker  *repeatable.Worker
	entry   *session.Session
	// frames holds the frames that the sidecar has sent in the last session, except capacity reports and reports of crashes.
	frames chan *wire.Frame
	// crashes holds the reports of crashes.
	crashes      chan *wire.BackendCrash
	crashedTasks chan *wire.CrashedTasks
	// reports holds the latest capacity report.
	reports chan *wire.Room
	links   *repeatable.Links
	node    *quic.Node
	// stopKeepAlives is closed to stop the keep-alives of the entry.
	stopKeepAlives chan struct{}
}

func newFixture(t *testing.T, b *leasedbackend.Server) *fixture {
	t.Helper()

	is := is.New(t)
	keys, err := quic.SharedKeys(t.Name())
	is.NoErr(err)

	fx := &fixture{
		t: t, backend: b, reports: make(chan *wire.Room, 1),
		crashes: make(chan *wire.BackendCrash, 16), crashedTasks: make(chan *wire.CrashedTasks, 16), node: &quic.Node{},
	}
	fx.worker = repeatable.NewWorker("sidecar", b, repeatable.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())
	is.NoErr(fx.node.Listen("127.0.0.1:0", keys))

	sidecarNode := &quic.Node{}
	is.NoErr(sidecarNode.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = sidecarNode.Close(); _ = fx.node.Close() })

	fx.links = repeatable.NewLinks(sidecarNode, fx.worker, sessionset.NewSidecar("sidecar", "domain"), 1, zerolog.Nop())
	fx.links.Add(sessionset.NewEntry(fx.node.Address().String(), "domain"))

	go fx.worker.Run(t.Context())
	go fx.links.Run(t.Context())

	fx.attach()

	return fx
}

// attach accepts a session from the sidecar.
func (fx *fixture) attach() {
	fx.t.Helper()

	is := is.New(fx.t)
	ctx, cancel := context.WithTimeout(fx.t.Context(), waitTimeout)

	defer cancel()

	c, err := fx.node.Accept(ctx)
	is.NoErr(err)
	s, err := c.Accept(ctx)
	is.NoErr(err)

	f, err := s.Receive()
	is.NoErr(err)
	is.Equal(f.GetAttach().GetSidecar(), "sidecar")

	fx.entry = session.New(c, s)
	fx.entry.AllowIdleKeepAlives()
	fx.entry.Send(wire.Frame_builder{
		Attached: wire.Attached_builder{Entry: "entry", IdleKeepAlives: true}.Build(),
	}.Build())
	fx.stopKeepAlives = make(chan struct{})

	// Each session has its own frames: those of one that has ended are no answers to the next one.
	fx.frames = make(chan *wire.Frame, 1024)
	receiver := &frameReceiver{fx, fx.entry, fx.frames}

	go receiver.run()

	sender := &keepAliveSender{fx.entry, fx.stopKeepAlives}
	go sender.run()
}

// frameReceiver sorts the frames of one session.
type frameReceiver struct {
	fixture *fixture
	session *session.Session
	frames  chan *wire.Frame
}

func (r *frameReceiver) run() {
	r.session.Run(r.fixture.t.Context(), r.receive)
}

func (r *frameReceiver) receive(f *wire.Frame) {
	switch {
	case f.HasBackendCrash():
		r.fixture.crashes <- f.GetBackendCrash()
	case f.HasCrashedTasks():
		r.fixture.crashedTasks <- f.GetCrashedTasks()
	case f.HasRoom():
		select {
		case <-r.fixture.reports:
		default:
		}

		r.fixture.reports <- f.GetRoom()
	default:
		r.frames <- f
	}
}

// keepAliveSender keeps the session of the test entry alive until stopKeepAlives is closed.
type keepAliveSender struct {
	session        *session.Session
	stopKeepAlives chan struct{}
}

func (s *keepAliveSender) run() {
	t := time.NewTicker(session.KeepAliveInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			s.session.Send(wire.Frame_builder{KeepAlive: &wire.KeepAlive{}}.Build())
		case <-s.stopKeepAlives:
			return
		case <-s.session.Done():
			return
		}
	}
}

func (fx *fixture) announce(sequence int64, draining bool) bool {
	return fx.worker.Announce(fx.t.Context(), repeatable.NewAnnouncement(fx.backend.Instance(), "service", "domain",
		fx.backend.StartedAtMS(), sequence, job.NewSize(4*core, 1024), []string{"a"}, draining))
}

// awaitOpen waits for a capacity report that says whether the sidecar accepts tasks.
func (fx *fixture) awaitOpen(want bool) *wire.Room {
	fx.t.Helper()

	deadline := time.After(waitTimeout)

	for {
		select {
		case m := <-fx.reports:
			if m.GetOpen() == want {
				return m
			}
		case <-fx.entry.Done():
			// The test process was paused for longer than session.Timeout; the sidecar dials again.
			fx.attach()
		case <-deadline:
			fx.t.Fatalf("no capacity report with open=%v within %s", want, waitTimeout)
		}
	}
}

// nextFrame returns the next frame that is not a capacity report.
func (fx *fixture) nextFrame() *wire.Frame {
	fx.t.Helper()

	select {
	case f := <-fx.frames:
		return f
	case <-time.After(waitTimeout):
		fx.t.Fatalf("no frame within %s", waitTimeout)

		return nil
	}
}

// nextFrameOrClosed returns the next frame that is not a capacity report, or nil once the sidecar accepts no tasks.
func (fx *fixture) nextFrameOrClosed() *wire.Frame {
	fx.t.Helper()

	timeout := time.After(waitTimeout)

	for {
		select {
		case f := <-fx.frames:
			return f
		case m := <-fx.reports:
			if !m.GetOpen() {
				return nil
			}
		case <-timeout:
			fx.t.Fatalf("no frame within %s", waitTimeout)
		}
	}
}

// startJob reserves capacity for a job and launches all its tasks.
func (fx *fixture) startJob(number uint64, name, input string, tasks int) {
	fx.t.Helper()
	fx.start(wire.Launch_builder{Job: number, Name: name, Input: input, ExpectedMs: 50}, tasks)
}

// startKind reserves capacity for a job of a kind and launches its only task, which hangs.
func (fx *fixture) startKind(number uint64, name, kind string) {
	fx.t.Helper()
	fx.start(wire.Launch_builder{Job: number, Name: name, Input: leasedbackend.Hang, ExpectedMs: 50, Kind: kind}, 1)
}

// start reserves capacity for a launch and sends it with the indices of all tasks.
func (fx *fixture) start(launch wire.Launch_builder, tasks int) {
	fx.t.Helper()

	fx.entry.Send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: launch.Job, Tasks: uint32(tasks), Cpu: core, Memory: 1, PatienceMs: 60_000, ExpectedMs: 50, NeededPermille: 1000,
	}.Build()}.Build())

	indices := make([]uint32, 0, tasks)
	for reserved := 0; reserved < tasks; {
		f := fx.nextFrame()
		is.New(fx.t).True(f.HasReserved())

		for range f.GetReserved().GetTasks() {
			indices = append(indices, uint32(reserved))
			reserved++
		}
	}

	launch.Indices = indices
	fx.entry.Send(wire.Frame_builder{Launch: launch.Build()}.Build())
}

func (fx *fixture) nextResult() wire.Result {
	fx.t.Helper()

	f := fx.nextFrame()
	is.New(fx.t).True(f.HasEnded())

	return f.GetEnded().GetResult()
}

func (fx *fixture) await(what string, done func() bool) {
	fx.t.Helper()

	deadline := time.Now().Add(waitTimeout)
	tick := time.NewTicker(2 * time.Millisecond)

	defer tick.Stop()

	for !done() {
		if time.Now().After(deadline) {
			fx.t.Fatalf("%s: condition not met within %s", what, waitTimeout)
		}

		<-tick.C
	}
}

func (fx *fixture) hasRunning(n int) func() bool {
	return func() bool { return len(fx.backend.Running()) == n }
}

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

	older := repeatable.NewAnnouncement("i-1", "service", "domain", fx.backend.StartedAtMS()-1, 9, job.NewSize(core, 1), nil, false)
	is.True(!fx.worker.Announce(t.Context(), older))
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

	is.True(fx.worker.Announce(t.Context(), repeatable.NewAnnouncement("i-1", "service", "domain", fx.backend.StartedAtMS()+1, 1,
		job.NewSize(4*core, 1024), nil, false)))

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

	ended := repeatable.NewAnnouncement("i-1", "service", "domain", 1, 3, job.NewSize(core, 1), nil, false)
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
