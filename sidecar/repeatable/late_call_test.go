package repeatable_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// errStopUnanswered and errStartLost are returned by calls that are neither carried out nor answered.
var (
	errStopUnanswered = errors.New("no answer to a stop")
	errStartLost      = errors.New("no answer to a start")
)

// unstoppableBackend carries out no stop.
type unstoppableBackend struct{ *leasedbackend.Server }

func (b *unstoppableBackend) Stop(context.Context, repeatable.Run, repeatable.Permit) error {
	return errStopUnanswered
}

// Guards against a run of an earlier sidecar that goes on after its entry has placed the task again: its stops are not
// carried out, and the new sidecar renews its lease.
func TestRunOfEarlierSidecarIsNotKeptAlive(t *testing.T) {
	is := is.New(t)
	b := &unstoppableBackend{leasedbackend.New("i-1")}
	fx := newFixtureCalling(t, b.Server, b)

	w, err := b.Watch(t.Context(), 0, 0, repeatable.NewPermit("i-1", 1, 0))
	is.NoErr(err)
	_, err = b.Start(t.Context(), repeatable.NewRun(repeatable.NewTask("job", 0), 1), leasedbackend.Hang,
		repeatable.NewPermit("i-1", 1, w.Clock()+200*time.Millisecond))
	is.NoErr(err)

	fx.announce(1, false)
	fx.await("the lease of the run ends", fx.hasRunning(0))
	fx.awaitOpen(true)
}

// restartingBackend restarts with the same instance id when the first start arrives. carriesOut determines whether the new
// process carries that start out and answers it; otherwise the start is lost. It carries out no stop.
type restartingBackend struct {
	unstoppableBackend

	carriesOut bool

	mu sync.Mutex
	// run and permit are those of the first start, restarted is closed after it.
	run       repeatable.Run
	permit    repeatable.Permit
	restarted chan struct{}
	// isRestarting is true from the restart until the first start is answered; no list is delivered meanwhile.
	isRestarting bool
}

func (b *restartingBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.mu.Lock()
	isFirst := b.permit.LeaseEnd() == 0

	if isFirst {
		b.run, b.permit, b.isRestarting = r, p, true
		b.Crash()
		b.Restart(p.Instance())
	}

	b.mu.Unlock()

	if !isFirst {
		return b.Server.Start(ctx, r, input, p)
	}

	defer b.finishRestart()

	if b.carriesOut {
		return b.Server.Start(ctx, r, input, p)
	}

	return repeatable.StartAnswer{}, errStartLost
}

func (b *restartingBackend) finishRestart() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.isRestarting = false
	close(b.restarted)
}

func (b *restartingBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	b.mu.Lock()
	isRestarting := b.isRestarting
	b.mu.Unlock()

	if isRestarting {
		<-b.restarted
	}

	return b.Server.Watch(ctx, lastEnd, wait, p)
}

func newRestartingBackend(carriesOut bool) *restartingBackend {
	return &restartingBackend{
		unstoppableBackend: unstoppableBackend{leasedbackend.New("i-1")}, carriesOut: carriesOut,
		restarted: make(chan struct{}),
	}
}

// startAndRestart starts a task at a backend server that restarts.
func startAndRestart(t *testing.T, b *restartingBackend) *fixture {
	t.Helper()

	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)

	return fx
}

// Guards against a task that is placed again while it runs: a restarted backend server with the same instance id has
// carried out a start that was meant for the process before.
func TestRunAtRestartedBackendIsNotReportedAsLost(t *testing.T) {
	is := is.New(t)
	b := newRestartingBackend(true)
	fx := startAndRestart(t, b)
	<-b.restarted
	fx.announce(1, false)

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against a start that was meant for the process before a restart with the same instance id and that is carried
// out late: the new process has another clock, so that the lease does not reject it.
func TestLateStartIsFencedAfterRestart(t *testing.T) {
	is := is.New(t)
	b := newRestartingBackend(false)
	fx := startAndRestart(t, b)
	<-b.restarted
	fx.announce(1, false)
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	fx.awaitOpen(true)

	answer, err := b.Server.Start(t.Context(), b.run, leasedbackend.Hang, b.permit)
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Fenced)
}

// Guards against the same if the fencing token had been raised before the restart.
func TestLateStartWithRaisedTokenIsFencedAfterRestart(t *testing.T) {
	is := is.New(t)
	b := newRestartingBackend(false)
	b.RaiseToken(time.Now().Add(time.Second).UnixMilli())
	fx := startAndRestart(t, b)
	<-b.restarted
	fx.announce(1, false)
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	fx.awaitOpen(true)

	answer, err := b.Server.Start(t.Context(), b.run, leasedbackend.Hang, b.permit)
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Fenced)
}

// pausedBackend loses the starts that it gets while the sidecar is paused, from the first one on for longer than the time of
// a session. It counts the later ones.
type pausedBackend struct {
	*leasedbackend.Server

	once sync.Once
	// resumed is closed at the end of the pause.
	resumed                   chan struct{}
	startsInPause, lateStarts atomic.Int64
}

func (b *pausedBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.once.Do(func() { time.AfterFunc(2*session.Timeout, func() { close(b.resumed) }) })

	select {
	case <-b.resumed:
		b.lateStarts.Add(1)

		return b.Server.Start(ctx, r, input, p)
	default:
		b.startsInPause.Add(1)
		<-b.resumed

		return repeatable.StartAnswer{}, errStartLost
	}
}

// Guards against a start for an entry that has placed the task again: its session has expired while the sidecar was
// paused, and the sidecar has not found out yet.
func TestStartForExpiredSessionIsNotSent(t *testing.T) {
	is := is.New(t)
	b := &pausedBackend{Server: leasedbackend.New("i-1"), resumed: make(chan struct{})}
	fx := newFixtureWithoutChecks(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	close(fx.stopKeepAlives)

	fx.start(wire.Launch_builder{Job: 1, Name: "job", Input: leasedbackend.Hang, ExpectedMs: 60_000}, 1)
	fx.await("a start is sent", func() bool { return b.startsInPause.Load() > 0 })
	<-b.resumed
	fx.await("the task ends", func() bool { return fx.worker.Running() == 0 })
	is.Equal(b.lateStarts.Load(), int64(0))
}

// startlessBackend carries out and answers neither starts nor stops.
type startlessBackend struct{ unstoppableBackend }

func (b *startlessBackend) Start(
	context.Context, repeatable.Run, string, repeatable.Permit,
) (repeatable.StartAnswer, error) {
	return repeatable.StartAnswer{}, errStartLost
}

// Guards against a task that is kept for ever, with its capacity, since no start and no stop of it is answered.
func TestUnansweredStartEndsWithItsLease(t *testing.T) {
	is := is.New(t)
	b := &startlessBackend{unstoppableBackend{leasedbackend.New("i-1")}}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1)

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
}

// Guards against a run that goes on for ever since its stops are answered with errors: its lease has to end.
func TestRunThatIsNotStoppedEndsWithItsLease(t *testing.T) {
	is := is.New(t)
	b := &unstoppableBackend{leasedbackend.New("i-1")}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startJob(1, "job", leasedbackend.Hang, 1) // is stopped when it is overdue

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(len(fx.backend.Running()), 0)
	fx.awaitOpen(true)
}
