package repeatable_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
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
	// frames holds the frames that the sidecar has sent in the last session, except reports of capacity,
	// crashes, cancelled jobs and evacuations.
	frames chan *wire.Frame
	// crashes holds the reports of crashes.
	crashes      chan *wire.BackendCrash
	crashedTasks chan *wire.CrashedTasks
	// cancellations holds the reports of cancelled jobs.
	cancellations chan *wire.Cancellations
	// evacuations holds the latest evacuations that were the first frame of a session.
	evacuations chan *wire.Evacuations
	// reports holds the latest capacity report.
	reports chan *wire.Room
	links   *repeatable.Links
	node    *quic.Node
	// registry has the metrics of the sidecar.
	registry gometrics.Registry
	// stopKeepAlives is closed to stop the keep-alives of the entry, keepAlivesStopped once none is sent any more.
	stopKeepAlives, keepAlivesStopped chan struct{}
}

func newFixture(t *testing.T, b *leasedbackend.Server) *fixture {
	t.Helper()

	return newFixtureCalling(t, b, b)
}

// newFixtureCalling returns a fixture whose sidecar calls its backend server b through c.
func newFixtureCalling(t *testing.T, b *leasedbackend.Server, c repeatable.Backend) *fixture {
	t.Helper()

	fx := newFixtureWithoutChecks(t, b, c)

	go fx.worker.Run(t.Context())

	return fx
}

// newFixtureWithoutChecks returns a fixture whose sidecar checks nothing at intervals, as one that was paused has not yet.
func newFixtureWithoutChecks(t *testing.T, b *leasedbackend.Server, c repeatable.Backend) *fixture {
	t.Helper()

	is := is.New(t)
	keys, err := quic.SharedKeys(t.Name())
	is.NoErr(err)

	fx := &fixture{
		t: t, backend: b, reports: make(chan *wire.Room, 1),
		crashes: make(chan *wire.BackendCrash, 16), crashedTasks: make(chan *wire.CrashedTasks, 16),
		cancellations: make(chan *wire.Cancellations, 16), evacuations: make(chan *wire.Evacuations, 1), node: &quic.Node{},
		registry: gometrics.NewRegistry(),
	}
	fx.worker = repeatable.NewWorker("sidecar", c, repeatable.NewRouteDistributor(zerolog.Nop()),
		repeatable.NewMetrics(fx.registry), zerolog.Nop())
	is.NoErr(fx.node.Listen("127.0.0.1:0", keys))

	sidecarNode := &quic.Node{}
	is.NoErr(sidecarNode.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = sidecarNode.Close(); _ = fx.node.Close() })

	fx.links = repeatable.NewLinks(sidecarNode, fx.worker, sessionset.NewSidecar("sidecar", "domain"), 1, zerolog.Nop())
	fx.links.Add(sessionset.NewEntry(fx.node.Address().String(), "domain"))

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
	fx.stopKeepAlives, fx.keepAlivesStopped = make(chan struct{}), make(chan struct{})

	// Each session has its own frames: those of one that has ended are no answers to the next one.
	fx.frames = make(chan *wire.Frame, 1024)
	receiver := &frameReceiver{fixture: fx, session: fx.entry, frames: fx.frames}

	go receiver.run()

	sender := &keepAliveSender{fx.entry, fx.stopKeepAlives, fx.keepAlivesStopped}
	go sender.run()
}

// frameReceiver sorts the frames of one session.
type frameReceiver struct {
	fixture *fixture
	session *session.Session
	frames  chan *wire.Frame
	// received is the number of frames of the session.
	received int
}

func (r *frameReceiver) run() {
	r.session.Run(r.fixture.t.Context(), r.receive)
}

func (r *frameReceiver) receive(f *wire.Frame) {
	r.received++

	switch {
	case f.HasEvacuations() && r.received > 1:
	case f.HasEvacuations():
		select {
		case <-r.fixture.evacuations:
		default:
		}

		r.fixture.evacuations <- f.GetEvacuations()
	case f.HasBackendCrash():
		r.fixture.crashes <- f.GetBackendCrash()
	case f.HasCrashedTasks():
		r.fixture.crashedTasks <- f.GetCrashedTasks()
	case f.HasCancellations():
		r.fixture.cancellations <- f.GetCancellations()
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
	session *session.Session
	// stopped is closed once no keep-alive is sent any more.
	stopKeepAlives, stopped chan struct{}
}

func (s *keepAliveSender) run() {
	defer close(s.stopped)

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
	return fx.worker.Announce(fx.t.Context(), succession.NewAnnouncement(fx.backend.Instance(), "service", "domain",
		fx.backend.StartedAtMS(), sequence, job.NewSize(4*core, 1024), []string{"a"}, draining)).Accepted()
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
		ended := false

		select {
		case <-fx.entry.Done():
			ended = true
		default:
		}

		fx.t.Fatalf("no frame within %s; the session has ended: %v", waitTimeout, ended)

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
