package tasks_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/backend"
	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// fakeLease is valid for epoch 1 until lapsed is set.
type fakeLease struct{ lapsed atomic.Bool }

func (l *fakeLease) Valid(epoch uint64, _ time.Duration) bool { return epoch == 1 && !l.lapsed.Load() }

// fakeBackend counts the runs and returns the input as output, once it is unblocked.
type fakeBackend struct {
	mu sync.Mutex
	// runCounts has the number of runs by "submission/index".
	runCounts map[string]int
	// unblock blocks runs until it is closed. A nil channel does not block.
	unblock chan struct{}
	// respond returns the result in place of the default, if set.
	respond func(c backend.Call) backend.Result
}

func (f *fakeBackend) Run(ctx context.Context, c backend.Call) backend.Result {
	f.mu.Lock()
	if f.runCounts == nil {
		f.runCounts = map[string]int{}
	}

	f.runCounts[fmt.Sprintf("%s/%d", c.Submission(), c.Index())]++
	respond := f.respond
	f.mu.Unlock()

	if f.unblock != nil {
		select {
		case <-f.unblock:
		case <-ctx.Done():
			return backend.NewUnanswered(fault.Cancelled, "cancelled")
		}
	}

	if respond != nil {
		return respond(c)
	}

	return backend.NewCompleted(c.Input())
}

func (f *fakeBackend) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.runCounts[id]
}

type fixture struct {
	table      *tasks.Table
	backend    *fakeBackend
	statistics *ejection.Statistics
	lease      *fakeLease
}

func newFixture(slots, queue int, l tasks.Limits) *fixture {
	fake := &fakeBackend{}
	b := newFixtureWithBackend(fake, slots, queue, l)
	b.backend = fake

	return b
}

func newFixtureWithBackend(backend tasks.Backend, slots, queue int, l tasks.Limits) *fixture {
	fx := &fixture{statistics: &ejection.Statistics{}, lease: &fakeLease{}}
	fx.table = tasks.NewTable(l, backend, fx.statistics, metrics.NewRegistry(), zerolog.Nop())
	fx.table.Configure(share.NewCapacity(slots, 0, queue, 0), []share.Kind{share.NewKind("k", 100, false)},
		[]share.Member{share.NewMember("m", 1000, slots)})

	return fx
}

func (fx *fixture) start(submission string, index uint32, input string) *tasks.Run {
	return fx.table.Start(fx.request(submission, index, input, false))
}

func (fx *fixture) request(submission string, index uint32, input string, probe bool) tasks.Request {
	return tasks.NewRequest(tasks.NewID(submission, index, 0), "m", "k", 1, 0, time.Now().Add(10*time.Second),
		time.Minute, probe, []byte(input), fx.lease, 1)
}

func outcome(r *tasks.Run) tasks.Outcome {
	select {
	case <-r.Done():
		return r.Outcome()
	case <-time.After(10 * time.Second):
		return nil
	}
}

func reason(r *tasks.Run) wire.Rejection {
	rejected, _ := outcome(r).(tasks.Rejected)
	return rejected.Reason()
}

// Guards against a task that runs twice because its start is repeated at the same time, while the task runs, or after
// its end.
func TestRepeatedStartsRunOnce(t *testing.T) {
	is := is.New(t)
	fx := newFixture(4, 1000, tasks.Limits{})
	fx.backend.unblock = make(chan struct{})

	var group sync.WaitGroup

	for i := range 400 {
		group.Go(func() {
			if c, ok := outcome(fx.start(
				fmt.Sprint("s", i%20), uint32(i%3), "x")).(tasks.Completed); !ok || string(c.Output()) != "x" {
				t.Error("a repeated start did not get the outcome of the first")
			}
		})
	}

	time.Sleep(20 * time.Millisecond)
	close(fx.backend.unblock)
	group.Wait()
	is.Equal(len(fx.backend.runCounts), 60)

	for id, n := range fx.backend.runCounts {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}

	fx.table.Acknowledge(tasks.NewID("s0", 0, 0))
	released, _ := outcome(fx.start("s0", 0, "x")).(tasks.Failed)
	is.Equal(released.Kind(), fault.AnswerReleased)
	is.Equal(fx.backend.runs("s0/0"), 1)
}

// Guards against a task that starts after Close has reported it as not started. Starts and a close of the same
// submission run concurrently, with the close after a random delay.
func TestCloseConcurrentWithStart(t *testing.T) {
	const seed = 11

	t.Log("seed", seed)

	for round := range 60 {
		r := rand.New(rand.NewPCG(seed, uint64(round)))
		fx := newFixture(2, 1000, tasks.Limits{})
		fx.backend.respond = func(backend.Call) backend.Result {
			time.Sleep(200 * time.Microsecond)
			return backend.NewCompleted(nil)
		}

		var group sync.WaitGroup

		reported := make([]map[uint32]bool, 8)

		for s := range reported {
			id, closeDelay := fmt.Sprint("s", s), time.Duration(r.IntN(1500))*time.Microsecond

			for i := range 6 {
				group.Go(func() { outcome(fx.start(id, uint32(i), "")) })
			}

			group.Go(func() {
				time.Sleep(closeDelay)

				closed, err := fx.table.Close([]string{id}, false, time.Minute)
				if err != nil {
					t.Error(err)
					return
				}

				reported[s] = map[uint32]bool{}
				for _, task := range closed[0].GetStarted() {
					reported[s][task.GetIndex()] = true
				}

				fx.start(id, 5, "") // either repeats a start or comes after the close
			})
		}

		group.Wait()
		time.Sleep(2 * time.Millisecond)

		for s := range reported {
			for i := range uint32(6) {
				if hasRun := fx.backend.runs(fmt.Sprintf("s%d/%d", s, i)) > 0; hasRun != reported[s][i] {
					t.Errorf("seed %d round %d: task s%d/%d: ran %v, reported %v", seed, round, s, i, hasRun, reported[s][i])
				}
			}
		}
	}
}

// unsentBackend is a backend server that no call reaches before it is cancelled.
type unsentBackend struct{}

func (unsentBackend) Run(ctx context.Context, _ backend.Call) backend.Result {
	<-ctx.Done()

	return backend.NewNotStarted("cancelled before the call was sent")
}

// Guards against a cancelled submission that reports a task as started whose call never reached the backend server.
func TestUnsentTaskIsNotReportedAsStarted(t *testing.T) {
	is := is.New(t)
	fx := newFixtureWithBackend(unsentBackend{}, 1, 4, tasks.Limits{})
	run := fx.start("job", 0, "")

	closed, err := fx.table.Close([]string{"job"}, true, 0)
	is.NoErr(err)
	is.Equal(len(closed[0].GetStarted()), 0)
	is.Equal(reason(run), wire.Rejection_REJECTION_CLOSED)
	is.True(!fx.statistics.Suspect())
}

// Guards against a queued task that starts although its lease has lapsed or its submission was closed, and against a
// cancellation that does not reach a running task.
func TestQueuedTasksAreWithdrawn(t *testing.T) {
	is := is.New(t)
	fx := newFixture(1, 4, tasks.Limits{})
	fx.backend.unblock = make(chan struct{})

	running := fx.start("running", 0, "")
	closing := fx.start("closing", 0, "")
	lapsing := fx.start("lapsing", 0, "")

	closed, err := fx.table.Close([]string{"closing"}, true, 0)
	is.NoErr(err)
	is.Equal(len(closed[0].GetStarted()), 0)
	is.Equal(reason(closing), wire.Rejection_REJECTION_CLOSED)
	is.Equal(reason(fx.start("closing", 0, "")), wire.Rejection_REJECTION_CLOSED)

	fx.lease.lapsed.Store(true)

	closed, err = fx.table.Close([]string{"running"}, true, 0)
	is.NoErr(err)
	is.Equal(len(closed[0].GetStarted()), 1)

	failed, _ := outcome(running).(tasks.Failed)
	is.Equal(failed.Kind(), fault.Cancelled)
	is.Equal(reason(lapsing), wire.Rejection_REJECTION_LEASE_LAPSED)
	is.Equal(fx.backend.runs("lapsing/0"), 0)
	is.Equal(reason(fx.start("new", 0, "")), wire.Rejection_REJECTION_LEASE_LAPSED)

	// Returning the outcome of a start that the table has is not a new start and needs no lease.
	is.Equal(outcome(fx.start("running", 0, "")), failed)

	// After a rejection, a later start under a valid lease runs.
	fx.lease.lapsed.Store(false)
	close(fx.backend.unblock)

	_, completed := outcome(fx.start("lapsing", 0, "")).(tasks.Completed)
	is.True(completed)
}

// Guards against a table that grows without bound, and against one that removes starts and tombstones too early.
func TestBoundsAndRetention(t *testing.T) {
	is := is.New(t)
	fx := newFixture(4, 4, tasks.NewLimits(3, 5000))

	outcome(fx.start("large", 0, string(make([]byte, 4000))))
	is.Equal(reason(fx.start("next", 0, string(make([]byte, 2000)))), wire.Rejection_REJECTION_TABLE_FULL)
	fx.table.Acknowledge(tasks.NewID("large", 0, 0))

	_, ok := outcome(fx.start("next", 0, "")).(tasks.Completed)
	is.True(ok)
	outcome(fx.start("next", 1, ""))
	is.Equal(reason(fx.start("next", 2, "")), wire.Rejection_REJECTION_TABLE_FULL)

	now := time.Now()
	_, err := fx.table.Close([]string{"large", "none"}, false, 0)
	is.NoErr(err)

	fx.table.Sweep(now.Add(80 * time.Second)) // starts are kept for 60 s and a margin of 30 s
	is.Equal(usage(fx), [2]int{3, 2})
	fx.table.Sweep(now.Add(95 * time.Second))
	is.Equal(usage(fx), [2]int{1, 2})
	is.Equal(reason(fx.start("none", 0, "")), wire.Rejection_REJECTION_CLOSED)
	fx.table.Sweep(now.Add(151 * time.Second))
	is.Equal(usage(fx), [2]int{0, 0})

	_, _, bytes := fx.table.Usage()
	is.Equal(bytes, int64(0))
}

func usage(fx *fixture) [2]int {
	starts, tombstones, _ := fx.table.Usage()
	return [2]int{starts, tombstones}
}

// Guards against a worker that accepts tasks although its backend server fails all of them, and against one that is
// never readmitted after successful probes.
func TestSuspectAcceptsProbesOnly(t *testing.T) {
	is := is.New(t)
	fx := newFixture(4, 4, tasks.Limits{})
	fx.backend.respond = func(backend.Call) backend.Result { return backend.NewNotStarted("connection refused") }

	for i := range uint32(5) {
		is.Equal(reason(fx.start("s", i, "")), wire.Rejection_REJECTION_BACKEND_REFUSED)
	}

	is.Equal(reason(fx.start("s", 9, "")), wire.Rejection_REJECTION_SUSPECT)
	is.True(fx.table.Load().GetSuspect())
	is.Equal(fx.table.Load().GetFailurePermille(), uint32(1000))

	fx.backend.mu.Lock()
	fx.backend.respond = nil
	fx.backend.mu.Unlock()

	for i := range uint32(3) {
		_, ok := outcome(fx.table.Start(fx.request("s", i, "", true))).(tasks.Completed)
		is.True(ok)
	}

	_, ok := outcome(fx.start("s", 9, "")).(tasks.Completed)
	is.True(ok)
}

// Guards against a drain that ends while a task runs, or before the home has acknowledged an outcome.
func TestDrain(t *testing.T) {
	is := is.New(t)
	fx := newFixture(1, 4, tasks.Limits{})
	fx.backend.unblock = make(chan struct{})

	fx.start("s", 0, "")
	queued := fx.start("s", 1, "")
	fx.table.Leave()
	is.Equal(reason(queued), wire.Rejection_REJECTION_LEAVING)
	is.Equal(reason(fx.start("s", 2, "")), wire.Rejection_REJECTION_LEAVING)

	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(fx.table.Drain(shortCtx) != nil)

	close(fx.backend.unblock)
	time.AfterFunc(100*time.Millisecond, func() { fx.table.Acknowledge(tasks.NewID("s", 0, 0)) })

	drainStart := time.Now()
	is.NoErr(fx.table.Drain(t.Context()))
	is.True(time.Since(drainStart) >= 90*time.Millisecond)
}

// instantBackend returns at once and records nothing.
type instantBackend struct{}

func (instantBackend) Run(context.Context, backend.Call) backend.Result {
	return backend.NewCompleted(nil)
}

func BenchmarkTable(b *testing.B) {
	fx := newFixtureWithBackend(instantBackend{}, 64, 1000, tasks.NewLimits(1<<30, 1<<40))
	b.ReportAllocs()

	var sequence atomic.Int64

	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			id := fmt.Sprintf("%0180d", sequence.Add(1))
			<-fx.start(id, 0, "input").Done()
			fx.table.Acknowledge(tasks.NewID(id, 0, 0))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}

// BenchmarkTableMemory measures the memory that a start takes after its acknowledgement, for jobs with one and with ten
// tasks on this worker. The ticket, which is the name of the submission, has 180 characters.
func BenchmarkTableMemory(b *testing.B) {
	for _, tasksPerJob := range []int{1, 10} {
		b.Run(fmt.Sprintf("tasks=%d", tasksPerJob), func(b *testing.B) {
			for b.Loop() {
				const starts = 50_000

				fx := newFixtureWithBackend(instantBackend{}, 64, 1000, tasks.NewLimits(starts+1, 1<<40))
				before := heapBytes()

				for i := range starts {
					id := fmt.Sprintf("%0180d", i/tasksPerJob)
					index := uint32(i % tasksPerJob)
					<-fx.start(id, index, "input").Done()
					fx.table.Acknowledge(tasks.NewID(id, index, 0))
				}

				b.ReportMetric(float64(heapBytes()-before)/starts, "B/start")
				runtime.KeepAlive(fx)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()

	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// Guards against a task that runs beside another one, above the capacity, since the connection of the other one has broken
// while the backend server runs it on.
func TestSlotsOfAnUnansweredCallAreReleasedLater(t *testing.T) {
	// hold is how long a backend server takes to notice that nobody waits for a task.
	const hold = 100 * time.Millisecond

	for name, result := range map[string]backend.Failed{
		"broken connection": backend.NewUnanswered(fault.BackendFailed, "EOF"),
		"deadline":          backend.NewUnanswered(fault.DeadlineExceeded, "deadline"),
		"cancelled":         backend.NewUnanswered(fault.Cancelled, "cancelled"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(1, 10, tasks.Limits{})

			var failedAt, nextAt time.Time

			fx.backend.respond = func(c backend.Call) backend.Result {
				if c.Submission() == "next" {
					nextAt = time.Now()

					return backend.NewCompleted(nil)
				}

				failedAt = time.Now()

				return result
			}

			is.True(outcome(fx.start("unanswered", 0, "")) != nil)

			_, ok := outcome(fx.start("next", 0, "")).(tasks.Completed)
			is.True(ok)
			is.True(nextAt.Sub(failedAt) >= hold)
		})
	}
}
