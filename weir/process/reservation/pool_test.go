package reservation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	ms           = time.Millisecond
	core         = 1000
	shortRunTime = 60 * ms
	longRunTime  = 900 * ms
	noExpiry     = time.Hour
)

// request asks for tasks of one core.
func newRequest(number uint64, tasks, priority int, waitingSince, expectedRunTime time.Duration) reservation.Request {
	return reservation.NewRequest(reservation.NewKey(1, number), tasks, job.NewSize(core, 1), priority, waitingSince, noExpiry, expectedRunTime, 1)
}

func newPool(cores int) *reservation.Pool {
	r := &reservation.Pool{}
	r.SetCapacity(job.NewSize(int64(cores)*core, 1000), 0)
	r.SetOvercommit(core)

	return r
}

// granted returns the places reserved for each job.
func grantedTasks(grants []reservation.Grant) map[uint64]int {
	tasks := map[uint64]int{}
	for _, g := range grants {
		tasks[g.Key().Job()] += g.Tasks()
	}

	return tasks
}

// Guards against a flood of less urgent work that takes the places before urgent work that came later.
func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	r := newPool(10)

	for n := range uint64(20) {
		r.Add(newRequest(n, 4, 2, time.Duration(n), shortRunTime))
	}

	r.Add(newRequest(100, 8, 0, time.Second, shortRunTime))

	g := grantedTasks(r.Allocate(time.Second))
	is.Equal(g[100], 8)
	is.Equal(g[0], 3) // the longest waiting of the flood, with the advance of one place
}

// Guards against large jobs that starve beside small ones: a job that came first collects the places that become free.
func TestLargeJobCollectsReservations(t *testing.T) {
	is := is.New(t)
	r := newPool(10)
	size := job.NewSize(core, 1)

	r.Add(newRequest(1, 11, 1, 0, shortRunTime))
	r.Allocate(0)
	_, n := r.Launch(reservation.NewKey(1, 1), 11)
	is.Equal(n, 11)

	for range 10 {
		is.True(r.Begin(size))
	}

	r.Add(newRequest(2, 8, 1, ms, shortRunTime))

	for n := range uint64(50) {
		r.Add(newRequest(10+n, 2, 1, time.Duration(2+n)*ms, shortRunTime))
	}

	collected := 0

	for range 8 {
		r.End(size)

		g := grantedTasks(r.Allocate(100 * ms))
		is.Equal(len(g), 1)
		collected += g[2]
	}

	is.Equal(collected, 8)
}

// Guards against long tasks that fill a backend server, so that short ones wait for their end.
func TestLongTasksLeaveHeadroom(t *testing.T) {
	is := is.New(t)
	r := &reservation.Pool{}
	r.SetCapacity(job.NewSize(10*core, 1000), 2*core)

	r.Add(newRequest(1, 20, 0, 0, longRunTime))
	is.Equal(grantedTasks(r.Allocate(0))[1], 8)

	// A long request that waits for the headroom does not stop a short one behind it.
	r.Add(newRequest(2, 2, 1, ms, shortRunTime))
	is.Equal(grantedTasks(r.Allocate(ms))[2], 2)
}

// Guards against a long task that fits only into an empty backend server and never gets one.
func TestEmptyServerTakesLargeLongTask(t *testing.T) {
	is := is.New(t)
	r := &reservation.Pool{}
	r.SetCapacity(job.NewSize(10*core, 1000), 2*core)

	r.Add(reservation.NewRequest(reservation.NewKey(1, 1), 1, job.NewSize(10*core, 1), 0, 0, noExpiry, longRunTime, 1))
	is.Equal(grantedTasks(r.Allocate(0))[1], 1)
}

// Guards against places that stand idle for the round trip between the end of a task and the launch of the next, and
// against tasks that run beyond the capacity for it.
func TestShortTasksAreOvercommitted(t *testing.T) {
	is := is.New(t)
	r := newPool(10)
	size := job.NewSize(core, 1)

	r.Add(newRequest(1, 20, 0, 0, shortRunTime))
	is.Equal(grantedTasks(r.Allocate(0))[1], 11)

	_, n := r.Launch(reservation.NewKey(1, 1), 11)
	is.Equal(n, 11)

	running := 0
	for r.Begin(size) {
		running++
	}

	is.Equal(running, 10)

	r.End(size)
	is.True(r.Begin(size))
}

// Guards against short tasks that are sent to a backend server whose tasks go on for long, and wait there.
func TestNoOvercommitBesideLongTasks(t *testing.T) {
	is := is.New(t)
	r := newPool(10)
	r.SetOvercommit(0)

	r.Add(newRequest(1, 20, 0, 0, shortRunTime))
	is.Equal(grantedTasks(r.Allocate(0))[1], 10)
}

// Guards against room that stays reserved for an entry that does not use it.
func TestReservationsExpire(t *testing.T) {
	is := is.New(t)
	r := newPool(10)

	r.Add(newRequest(1, 10, 0, 0, longRunTime))
	is.Equal(grantedTasks(r.Allocate(0))[1], 10)
	is.Equal(r.Free().Millicores(), int64(0))

	is.Equal(r.Expire(10*ms), 0)
	is.Equal(r.Expire(time.Second), 1)
	is.Equal(r.Free().Millicores(), int64(10*core))

	_, n := r.Launch(reservation.NewKey(1, 1), 10)
	is.Equal(n, 0) // a launch that comes too late finds nothing
}

// Guards against requests of an entry that is gone.
func TestReleaseSession(t *testing.T) {
	is := is.New(t)
	r := newPool(4)

	r.Add(newRequest(1, 10, 0, 0, longRunTime))
	r.Allocate(0)
	is.True(r.HasRequests())

	r.ReleaseSession(1)
	is.True(!r.HasRequests())
	is.Equal(r.Free().Millicores(), int64(4*core))
}

// Guards against a queue that looks longer than it is because jobs ask at several places.
func TestQueueCountsNeededShare(t *testing.T) {
	is := is.New(t)
	r := newPool(0)

	r.Add(reservation.NewRequest(reservation.NewKey(1, 1), 4, job.NewSize(core, 1), 1, 0, noExpiry, shortRunTime, 0.5))
	is.Equal(r.QueuedCPU(), []int64{0, 2 * core, 0, 0})
}

// Guards against room that leaks or is given out twice, whatever the order of calls.
func TestCapacityIsConserved(t *testing.T) {
	const seed = 42

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, seed))
	r := newPool(16)
	size := job.NewSize(core, 1)
	launched, running := 0, 0

	for step := range 20000 {
		now := time.Duration(step) * ms
		key := reservation.NewKey(1+random.Uint64N(3), random.Uint64N(40))

		switch random.IntN(8) {
		case 0, 1:
			r.Add(reservation.NewRequest(key, 1+random.IntN(6), size, random.IntN(3), now, now+50*ms, shortRunTime, 1))
		case 2, 3:
			_, n := r.Launch(key, 1+random.IntN(3))
			launched += n
		case 4:
			r.Release(key)
		case 5:
			if launched > 0 && r.Begin(size) {
				launched--
				running++
			}
		case 6:
			if running > 0 {
				r.End(size)

				running--
			}
		case 7:
			r.Expire(now)
		}

		r.Allocate(now)
		is.True(running <= 16)
	}

	for s := range uint64(4) {
		r.ReleaseSession(s)
	}

	for range launched {
		r.Cancel(size)
	}

	for range running {
		r.End(size)
	}

	is.Equal(r.Free(), r.Capacity()) // seed 42
}
