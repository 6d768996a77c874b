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
	core         = 1000 // millicores
	shortRunTime = 60 * ms
	longRunTime  = 900 * ms
	noExpiry     = time.Hour
)

// newRequest returns a request for tasks of one core that does not expire during a test.
func newRequest(number uint64, tasks, priority int, waitingSince, expectedRunTime time.Duration) reservation.Request {
	return reservation.NewRequest(
		reservation.NewKey(1, number), tasks, job.NewSize(core, 1), priority, waitingSince, noExpiry, expectedRunTime, 1)
}

func newPool(cores int) *reservation.Pool {
	p := &reservation.Pool{}
	p.SetCapacity(job.NewSize(int64(cores)*core, 1000), 0)
	p.SetOvercommit(core)

	return p
}

// grantedTasks returns the number of reserved tasks by job.
func grantedTasks(grants []reservation.Grant) map[uint64]int {
	tasks := map[uint64]int{}
	for _, g := range grants {
		tasks[g.Key().Job()] += g.Tasks()
	}

	return tasks
}

// Guards against many less urgent requests that get the capacity before an urgent request that came later.
func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	p := newPool(10)

	for n := range uint64(20) {
		p.Add(newRequest(n, 4, 2, time.Duration(n), shortRunTime))
	}

	p.Add(newRequest(100, 8, 0, time.Second, shortRunTime))

	g := grantedTasks(p.Allocate(time.Second))
	is.Equal(g[100], 8)
	is.Equal(g[0], 3) // the longest waiting less urgent request gets the rest and the overcommit of one task
}

// Guards against large jobs that starve because small ones that came later get each reservation that becomes free.
func TestLargeJobCollectsReservations(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	size := job.NewSize(core, 1)

	p.Add(newRequest(1, 11, 1, 0, shortRunTime))
	p.Allocate(0)
	_, n := p.Launch(reservation.NewKey(1, 1), 11)
	is.Equal(n, 11)

	for range 10 {
		is.True(p.Begin(size))
	}

	p.Add(newRequest(2, 8, 1, ms, shortRunTime))

	for n := range uint64(50) {
		p.Add(newRequest(10+n, 2, 1, time.Duration(2+n)*ms, shortRunTime))
	}

	collected := 0

	for range 8 {
		p.End(size)

		g := grantedTasks(p.Allocate(100 * ms))
		is.Equal(len(g), 1)
		collected += g[2]
	}

	is.Equal(collected, 8)
}

// Guards against long tasks that fill a backend server, so that short ones have to wait until a long one ends.
func TestLongTasksLeaveHeadroom(t *testing.T) {
	is := is.New(t)
	p := &reservation.Pool{}
	p.SetCapacity(job.NewSize(10*core, 1000), 2*core)

	p.Add(newRequest(1, 20, 0, 0, longRunTime))
	is.Equal(grantedTasks(p.Allocate(0))[1], 8)

	// A long request that may not use the headroom does not block a short one behind it.
	p.Add(newRequest(2, 2, 1, ms, shortRunTime))
	is.Equal(grantedTasks(p.Allocate(ms))[2], 2)
}

// Guards against a long task that never runs because the headroom leaves too little capacity for it.
func TestEmptyServerTakesLargeLongTask(t *testing.T) {
	is := is.New(t)
	p := &reservation.Pool{}
	p.SetCapacity(job.NewSize(10*core, 1000), 2*core)

	p.Add(reservation.NewRequest(reservation.NewKey(1, 1), 1, job.NewSize(10*core, 1), 0, 0, noExpiry, longRunTime, 1))
	is.Equal(grantedTasks(p.Allocate(0))[1], 1)
}

// Guards against capacity that is idle for the round trip between the end of a task and the launch of the next, and
// against overcommitted tasks that run beyond the capacity.
func TestShortTasksAreOvercommitted(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	size := job.NewSize(core, 1)

	p.Add(newRequest(1, 20, 0, 0, shortRunTime))
	is.Equal(grantedTasks(p.Allocate(0))[1], 11)

	_, n := p.Launch(reservation.NewKey(1, 1), 11)
	is.Equal(n, 11)

	running := 0
	for p.Begin(size) {
		running++
	}

	is.Equal(running, 10)

	p.End(size)
	is.True(p.Begin(size))
}

// Guards against short tasks that are reserved as overcommit beside long running tasks, and then wait for them.
func TestNoOvercommitBesideLongTasks(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	p.SetOvercommit(0)

	p.Add(newRequest(1, 20, 0, 0, shortRunTime))
	is.Equal(grantedTasks(p.Allocate(0))[1], 10)
}

// Guards against capacity that stays reserved for an entry that does not use it.
func TestReservationsExpire(t *testing.T) {
	is := is.New(t)
	p := newPool(10)

	p.Add(newRequest(1, 10, 0, 0, longRunTime))
	is.Equal(grantedTasks(p.Allocate(0))[1], 10)
	is.Equal(p.Free().Millicores(), int64(0))

	is.Equal(p.Expire(10*ms), 0)
	is.Equal(p.Expire(time.Second), 1)
	is.Equal(p.Free().Millicores(), int64(10*core))

	_, n := p.Launch(reservation.NewKey(1, 1), 10)
	is.Equal(n, 0) // a launch after the expiry finds no reservation
}

// Guards against requests and reservations that remain after the session of their entry has ended.
func TestReleaseSession(t *testing.T) {
	is := is.New(t)
	p := newPool(4)

	p.Add(newRequest(1, 10, 0, 0, longRunTime))
	p.Allocate(0)
	is.True(p.HasRequests())

	p.ReleaseSession(1)
	is.True(!p.HasRequests())
	is.Equal(p.Free().Millicores(), int64(4*core))
}

// Guards against a queue that looks longer than it is because jobs send requests to several backend servers.
func TestQueueCountsNeededShare(t *testing.T) {
	is := is.New(t)
	p := newPool(0)

	p.Add(reservation.NewRequest(reservation.NewKey(1, 1), 4, job.NewSize(core, 1), 1, 0, noExpiry, shortRunTime, 0.5))
	is.Equal(p.QueuedCPU(), []int64{0, 2 * core, 0, 0})
}

// Guards against capacity that leaks or is reserved twice, for any order of calls.
func TestCapacityIsConserved(t *testing.T) {
	const seed = 42

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, seed))
	p := newPool(16)
	size := job.NewSize(core, 1)
	launched, running := 0, 0

	for step := range 20000 {
		now := time.Duration(step) * ms
		key := reservation.NewKey(1+random.Uint64N(3), random.Uint64N(40))

		switch random.IntN(8) {
		case 0, 1:
			p.Add(reservation.NewRequest(key, 1+random.IntN(6), size, random.IntN(3), now, now+50*ms, shortRunTime, 1))
		case 2, 3:
			_, n := p.Launch(key, 1+random.IntN(3))
			launched += n
		case 4:
			p.Release(key)
		case 5:
			if launched > 0 && p.Begin(size) {
				launched--
				running++
			}
		case 6:
			if running > 0 {
				p.End(size)

				running--
			}
		case 7:
			p.Expire(now)
		}

		p.Allocate(now)
		is.True(running <= 16)
	}

	for s := range uint64(4) {
		p.ReleaseSession(s)
	}

	for range launched {
		p.Cancel(size)
	}

	for range running {
		p.End(size)
	}

	is.Equal(p.Free(), p.Capacity()) // seed 42
}

// Guards against starts over a capacity that shrinks and grows, for any order of calls, and against capacity that leaks.
func TestChangingCapacityIsKept(t *testing.T) {
	const seed = 43

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, seed))
	p := newPool(16)
	size := job.NewSize(core, 1)
	cores, launched, running := 16, 0, 0

	for step := range 20000 {
		now := time.Duration(step) * ms
		key := reservation.NewKey(1+random.Uint64N(3), random.Uint64N(40))

		switch random.IntN(9) {
		case 0, 1:
			p.Add(reservation.NewRequest(key, 1+random.IntN(6), size, random.IntN(3), now, now+50*ms, shortRunTime, 1))
		case 2, 3:
			_, n := p.Launch(key, 1+random.IntN(3))
			launched += n
		case 4:
			shrinks := random.IntN(2) == 0
			cores = random.IntN(17)
			p.SetCapacity(job.NewSize(int64(cores)*core, 1000), 0)

			if shrinks {
				p.ReleaseReserved()
			}
		case 5, 6:
			if launched > 0 && p.Begin(size) {
				launched--
				running++

				is.True(running <= cores) // seed 43
			}
		case 7:
			if running > 0 {
				p.End(size)

				running--
			}
		case 8:
			p.Expire(now)
		}

		p.Allocate(now)
	}

	p.ReleaseReserved()

	for range launched {
		p.Cancel(size)
	}

	for range running {
		p.End(size)
	}

	is.Equal(p.Free(), p.Capacity())
}

// Guards against capacity that is never free again: a key that holds reservations requests others of another size, and all
// of them are released with the size of the last ones.
func TestRequestOfAnotherSizeLeavesNothingReserved(t *testing.T) {
	is := is.New(t)
	p := newPool(10)

	for _, memory := range []int64{500, 300, 0} {
		p.Add(reservation.NewRequest(
			reservation.NewKey(1, 1), 1, job.NewSize(core, memory), 0, 0, noExpiry, shortRunTime, 1))
		is.Equal(grantedTasks(p.Allocate(time.Second)), map[uint64]int{1: 1})
	}

	p.ReleaseSession(1)
	is.Equal(p.Free(), p.Capacity())
}
