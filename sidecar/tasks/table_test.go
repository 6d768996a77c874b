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

// lease is valid for epoch 1 until it is lapsed.
type lease struct{ lapsed atomic.Bool }

func (l *lease) Valid(epoch uint64, _ time.Time) bool { return epoch == 1 && !l.lapsed.Load() }

// fakeBackend records what was run and answers when it is let go.
type fakeBackend struct {
	mu sync.Mutex
	// ran counts the runs by submission and index.
	ran map[string]int
	// hold blocks runs until it is closed; nil does not block.
	hold chan struct{}
	// answer replaces the usual result.
	answer func(c backend.Call) backend.Result
}

func (f *fakeBackend) Run(ctx context.Context, c backend.Call) backend.Result {
	f.mu.Lock()
	if f.ran == nil {
		f.ran = map[string]int{}
	}

	f.ran[fmt.Sprintf("%s/%d", c.Submission(), c.Index())]++
	answer := f.answer
	f.mu.Unlock()

	if f.hold != nil {
		select {
		case <-f.hold:
		case <-ctx.Done():
			return backend.NewFailed(fault.Cancelled, "cancelled")
		}
	}

	if answer != nil {
		return answer(c)
	}

	return backend.NewCompleted(c.Input())
}

func (f *fakeBackend) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.ran[id]
}

type bench struct {
	table      *tasks.Table
	backend    *fakeBackend
	statistics *ejection.Statistics
	lease      *lease
}

func newBench(slots, queue int, l tasks.Limits) *bench {
	fake := &fakeBackend{}
	b := newBenchWith(fake, slots, queue, l)
	b.backend = fake

	return b
}

func newBenchWith(x tasks.Backend, slots, queue int, l tasks.Limits) *bench {
	b := &bench{statistics: &ejection.Statistics{}, lease: &lease{}}
	b.table = tasks.NewTable(l, x, b.statistics, metrics.NewRegistry(), zerolog.Nop())
	b.table.Configure(share.NewCapacity(slots, 0, queue, 0), []share.Kind{share.NewKind("k", 100, false)},
		[]share.Member{share.NewMember("m", 1000, slots)})

	return b
}

func (b *bench) start(submission string, index uint32, input string) *tasks.Run {
	return b.table.Start(b.request(submission, index, input, false))
}

func (b *bench) request(submission string, index uint32, input string, probe bool) tasks.Request {
	return tasks.NewRequest(tasks.NewID(submission, index, 0), "m", "k", 1, 0, time.Now().Add(10*time.Second),
		time.Minute, probe, []byte(input), b.lease, 1)
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

// Guards against a task that runs twice when its start is repeated at the same time, while it runs, or after its end.
func TestRepeatedStartsRunOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(4, 1000, tasks.Limits{})
	b.backend.hold = make(chan struct{})

	var group sync.WaitGroup

	for i := range 400 {
		group.Go(func() {
			if c, ok := outcome(b.start(fmt.Sprint("s", i%20), uint32(i%3), "x")).(tasks.Completed); !ok || string(c.Output()) != "x" {
				t.Error("a repeated start did not get the outcome")
			}
		})
	}

	time.Sleep(20 * time.Millisecond)
	close(b.backend.hold)
	group.Wait()
	is.Equal(len(b.backend.ran), 60)

	for id, n := range b.backend.ran {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}

	b.table.Acknowledge(tasks.NewID("s0", 0, 0))
	released, _ := outcome(b.start("s0", 0, "x")).(tasks.Failed)
	is.Equal(released.Kind(), fault.AnswerReleased)
	is.Equal(b.backend.runs("s0/0"), 1)
}

// Guards against a task that starts after a close has reported it as not started.
func TestCloseAgainstStart(t *testing.T) {
	const seed = 11

	t.Log("seed", seed)

	for round := range 60 {
		r := rand.New(rand.NewPCG(seed, uint64(round)))
		b := newBench(2, 1000, tasks.Limits{})
		b.backend.answer = func(backend.Call) backend.Result {
			time.Sleep(200 * time.Microsecond)
			return backend.NewCompleted(nil)
		}

		var group sync.WaitGroup

		reported := make([]map[uint32]bool, 8)

		for s := range reported {
			id, pause := fmt.Sprint("s", s), time.Duration(r.IntN(1500))*time.Microsecond

			for i := range 6 {
				group.Go(func() { outcome(b.start(id, uint32(i), "")) })
			}

			group.Go(func() {
				time.Sleep(pause)

				closed, err := b.table.Close([]string{id}, false, time.Minute)
				if err != nil {
					t.Error(err)
					return
				}

				reported[s] = map[uint32]bool{}
				for _, task := range closed[0].GetStarted() {
					reported[s][task.GetIndex()] = true
				}

				b.start(id, 5, "") // repeats a start or comes late
			})
		}

		group.Wait()
		time.Sleep(2 * time.Millisecond)

		for s := range reported {
			for i := range uint32(6) {
				if ran := b.backend.runs(fmt.Sprintf("s%d/%d", s, i)) > 0; ran != reported[s][i] {
					t.Errorf("seed %d round %d: task s%d/%d: ran %v, reported %v", seed, round, s, i, ran, reported[s][i])
				}
			}
		}
	}
}

// Guards against a queued task that starts although its lease has lapsed or its submission was closed, and against a
// cancel that does not reach a running task.
func TestQueuedTasksAreTakenBack(t *testing.T) {
	is := is.New(t)
	b := newBench(1, 4, tasks.Limits{})
	b.backend.hold = make(chan struct{})

	running := b.start("running", 0, "")
	closing := b.start("closing", 0, "")
	lapsing := b.start("lapsing", 0, "")

	closed, err := b.table.Close([]string{"closing"}, true, 0)
	is.NoErr(err)
	is.Equal(len(closed[0].GetStarted()), 0)
	is.Equal(reason(closing), wire.Rejection_REJECTION_CLOSED)
	is.Equal(reason(b.start("closing", 0, "")), wire.Rejection_REJECTION_CLOSED)

	b.lease.lapsed.Store(true)

	closed, err = b.table.Close([]string{"running"}, true, 0)
	is.NoErr(err)
	is.Equal(len(closed[0].GetStarted()), 1)

	failed, _ := outcome(running).(tasks.Failed)
	is.Equal(failed.Kind(), fault.Cancelled)
	is.Equal(reason(lapsing), wire.Rejection_REJECTION_LEASE_LAPSED)
	is.Equal(b.backend.runs("lapsing/0"), 0)
	is.Equal(reason(b.start("new", 0, "")), wire.Rejection_REJECTION_LEASE_LAPSED)

	// The first outcome of a known start is no new start and needs no lease.
	is.Equal(outcome(b.start("running", 0, "")), failed)

	// After a rejection, a later start under a valid lease runs.
	b.lease.lapsed.Store(false)
	close(b.backend.hold)

	_, completed := outcome(b.start("lapsing", 0, "")).(tasks.Completed)
	is.True(completed)
}

// Guards against a table that grows without bound or forgets starts and tombstones too early.
func TestBoundsAndRetention(t *testing.T) {
	is := is.New(t)
	b := newBench(4, 4, tasks.NewLimits(3, 5000))

	outcome(b.start("large", 0, string(make([]byte, 4000))))
	is.Equal(reason(b.start("next", 0, string(make([]byte, 2000)))), wire.Rejection_REJECTION_TABLE_FULL)
	b.table.Acknowledge(tasks.NewID("large", 0, 0))

	_, ok := outcome(b.start("next", 0, "")).(tasks.Completed)
	is.True(ok)
	outcome(b.start("next", 1, ""))
	is.Equal(reason(b.start("next", 2, "")), wire.Rejection_REJECTION_TABLE_FULL)

	now := time.Now()
	_, err := b.table.Close([]string{"large", "none"}, false, 0)
	is.NoErr(err)

	b.table.Sweep(now.Add(80 * time.Second)) // tickets end after 60 s
	is.Equal(held(b), [2]int{3, 2})
	b.table.Sweep(now.Add(95 * time.Second))
	is.Equal(held(b), [2]int{1, 2})
	is.Equal(reason(b.start("none", 0, "")), wire.Rejection_REJECTION_CLOSED)
	b.table.Sweep(now.Add(151 * time.Second))
	is.Equal(held(b), [2]int{0, 0})

	_, _, bytes := b.table.Held()
	is.Equal(bytes, int64(0))
}

func held(b *bench) [2]int {
	starts, tombstones, _ := b.table.Held()
	return [2]int{starts, tombstones}
}

// Guards against a worker that fails every task and goes on taking them, and against one that is never readmitted.
func TestSuspectTakesProbesOnly(t *testing.T) {
	is := is.New(t)
	b := newBench(4, 4, tasks.Limits{})
	b.backend.answer = func(backend.Call) backend.Result { return backend.NewNotStarted("connection refused") }

	for i := range uint32(5) {
		is.Equal(reason(b.start("s", i, "")), wire.Rejection_REJECTION_BACKEND_REFUSED)
	}

	is.Equal(reason(b.start("s", 9, "")), wire.Rejection_REJECTION_SUSPECT)
	is.True(b.table.Load().GetSuspect())
	is.Equal(b.table.Load().GetFailurePermille(), uint32(1000))

	b.backend.mu.Lock()
	b.backend.answer = nil
	b.backend.mu.Unlock()

	for i := range uint32(3) {
		_, ok := outcome(b.table.Start(b.request("s", i, "", true))).(tasks.Completed)
		is.True(ok)
	}

	_, ok := outcome(b.start("s", 9, "")).(tasks.Completed)
	is.True(ok)
}

// Guards against a drain that ends while a task runs or while an outcome waits for its home.
func TestDrain(t *testing.T) {
	is := is.New(t)
	b := newBench(1, 4, tasks.Limits{})
	b.backend.hold = make(chan struct{})

	b.start("s", 0, "")
	queued := b.start("s", 1, "")
	b.table.Leave()
	is.Equal(reason(queued), wire.Rejection_REJECTION_LEAVING)
	is.Equal(reason(b.start("s", 2, "")), wire.Rejection_REJECTION_LEAVING)

	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(b.table.Drain(short) != nil)

	close(b.backend.hold)
	time.AfterFunc(100*time.Millisecond, func() { b.table.Acknowledge(tasks.NewID("s", 0, 0)) })

	began := time.Now()
	is.NoErr(b.table.Drain(t.Context()))
	is.True(time.Since(began) >= 90*time.Millisecond)
}

// instant is a backend server that takes no time and keeps nothing.
type instant struct{}

func (instant) Run(context.Context, backend.Call) backend.Result { return backend.NewCompleted(nil) }

func BenchmarkTable(b *testing.B) {
	x := newBenchWith(instant{}, 64, 1000, tasks.NewLimits(1<<30, 1<<40))
	b.ReportAllocs()

	var sequence atomic.Int64

	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			id := fmt.Sprintf("%0180d", sequence.Add(1))
			<-x.start(id, 0, "input").Done()
			x.table.Acknowledge(tasks.NewID(id, 0, 0))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}

// BenchmarkTableMemory measures what a start costs that was acknowledged, for jobs of one and of ten tasks here. The
// text of the ticket is 180 characters long.
func BenchmarkTableMemory(b *testing.B) {
	for _, tasksPerJob := range []int{1, 10} {
		b.Run(fmt.Sprintf("tasks=%d", tasksPerJob), func(b *testing.B) {
			for b.Loop() {
				const starts = 50_000

				x := newBenchWith(instant{}, 64, 1000, tasks.NewLimits(starts+1, 1<<40))
				before := heap()

				for i := range starts {
					id := fmt.Sprintf("%0180d", i/tasksPerJob)
					index := uint32(i % tasksPerJob)
					<-x.start(id, index, "input").Done()
					x.table.Acknowledge(tasks.NewID(id, index, 0))
				}

				b.ReportMetric(float64(heap()-before)/starts, "B/start")
				runtime.KeepAlive(x)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()

	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}
