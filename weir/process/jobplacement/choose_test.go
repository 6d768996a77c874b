package jobplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const core = 1000 // millicores

func random() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func newServer(id uint64, free, queued int64, slowness float64, labels ...string) jobplacement.Server {
	return jobplacement.NewServer(id, job.NewSize(free*core, 1000), queued*core, 10*core, slowness, labels)
}

func newDemand(tasks int, constraints job.Constraints) jobplacement.Demand {
	return jobplacement.NewDemand(tasks, job.NewSize(core, 1), constraints, 200*time.Millisecond)
}

func requestedTasks(p jobplacement.Plan) map[uint64]int {
	tasks := map[uint64]int{}
	for _, a := range p.Requests() {
		tasks[a.ID()] = a.Tasks()
	}

	return tasks
}

// Guards against tasks that wait at a full backend server while another one has free capacity.
func TestFreeCapacityIsUsedFirst(t *testing.T) {
	is := is.New(t)

	p := jobplacement.Choose(newDemand(8, job.Constraints{}), []jobplacement.Server{
		newServer(1, 0, 0, 1), newServer(2, 5, 0, 1), newServer(3, 9, 0, 1),
	}, random())
	tasks := requestedTasks(p)
	is.Equal(tasks[1], 0)
	is.True(tasks[2] <= 5)
	is.Equal(tasks[2]+tasks[3], 8)
	is.Equal(p.Shortfall(), 0)
}

// Guards against many entries that see the same free capacity and therefore all choose the same backend servers.
func TestSameViewGivesDifferentChoices(t *testing.T) {
	is := is.New(t)
	source := random()
	chosen := map[uint64]int{}

	const draws = 1000

	for range draws {
		// The emptiest has twice the free capacity of the others.
		p := jobplacement.Choose(newDemand(1, job.Constraints{}), []jobplacement.Server{
			newServer(1, 8, 0, 1), newServer(2, 4, 0, 1), newServer(3, 4, 0, 1),
		}, source)
		chosen[p.Requests()[0].ID()]++
	}

	is.True(chosen[1] > draws*4/10 && chosen[1] < draws*6/10)
	is.True(chosen[2] > draws*2/10 && chosen[3] > draws*2/10)
}

// Guards against a job that repeats its requests and counts as queued again each time, so that other jobs are refused.
func TestRepeatedRequestsAreNotQueuedTwice(t *testing.T) {
	is := is.New(t)

	p := jobplacement.Choose(newDemand(4, job.Constraints{}), []jobplacement.Server{
		newServer(1, 0, 0, 1), newServer(2, 0, 0, 1),
	}, random())

	total := 0
	for _, a := range p.Requests() {
		total += a.Tasks()
	}

	is.Equal(p.NeededShare(4, 0), 4/float64(total))
	is.Equal(p.NeededShare(4, 3), 1/float64(total))
	is.Equal(p.NeededShare(4, 6), 0.0)
}

// Guards against a job that requests exactly as many reservations as it has tasks while all backend servers are full,
// and then has to wait for the slowest of them.
func TestMoreIsRequestedWhereAllAreFull(t *testing.T) {
	is := is.New(t)

	p := jobplacement.Choose(newDemand(8, job.Constraints{}), []jobplacement.Server{
		newServer(1, 0, 40, 1), newServer(2, 0, 1, 1), newServer(3, 2, 0, 1),
	}, random())
	is.Equal(p.Shortfall(), 6)

	total := 0
	for _, n := range requestedTasks(p) {
		total += n
	}

	is.True(total > 8 && total <= 12)
}

// Guards against jobs of short tasks that wait for the slowest of their reservations, and against jobs of long tasks
// that hold reservations which they do not use.
func TestShortTasksRequestMore(t *testing.T) {
	is := is.New(t)

	totalRequested := func(runTime time.Duration) int {
		full := []jobplacement.Server{
			newServer(1, 0, 0, 1), newServer(2, 0, 0, 1), newServer(3, 0, 0, 1), newServer(4, 0, 0, 1),
		}
		sum := 0

		for _, n := range requestedTasks(jobplacement.Choose(
			jobplacement.NewDemand(10, job.NewSize(core, 1), job.Constraints{}, runTime), full, random(),
		)) {
			sum += n
		}

		return sum
	}

	is.Equal(totalRequested(60*time.Millisecond), 21)
	is.Equal(totalRequested(2*time.Second), 11)
}

// Guards against a job that queues more reservations at each of its retries while all backend servers are full: each of them
// costs messages, and its capacity stays idle for a round trip when it is granted and not needed. Capacity that became free
// meanwhile is still requested.
func TestRetriesQueueNoMoreThanTheFirstRequest(t *testing.T) {
	is := is.New(t)

	requested := func(servers []jobplacement.Server, outstanding int) int {
		sum := 0

		for _, n := range requestedTasks(jobplacement.Choose(
			jobplacement.NewDemand(2, job.NewSize(core, 1), job.Constraints{}, 60*time.Millisecond).WithOutstanding(outstanding),
			servers, random(),
		)) {
			sum += n
		}

		return sum
	}

	const rounds = 5

	outstanding := 0

	for range rounds {
		full := []jobplacement.Server{newServer(1, 0, 0, 1), newServer(2, 0, 0, 1), newServer(3, 0, 0, 1), newServer(4, 0, 0, 1)}
		outstanding += requested(full, outstanding)
	}

	is.Equal(outstanding, 5)
	is.Equal(requested([]jobplacement.Server{newServer(1, 2, 0, 1)}, outstanding), 2)
}

// Guards against tasks at a slow backend server while others have free capacity, and against leaving its capacity
// unused when the others are full.
func TestSlowServersComeLast(t *testing.T) {
	is := is.New(t)
	servers := func() []jobplacement.Server {
		return []jobplacement.Server{newServer(1, 10, 0, 6), newServer(2, 4, 0, 1)}
	}

	is.Equal(requestedTasks(
		jobplacement.Choose(newDemand(4, job.Constraints{}), servers(), random()),
	), map[uint64]int{2: 4})
	is.Equal(requestedTasks(
		jobplacement.Choose(newDemand(6, job.Constraints{}), servers(), random()),
	), map[uint64]int{2: 4, 1: 2})
}

// Guards against tasks at backend servers that the constraints of the job exclude.
func TestConstraints(t *testing.T) {
	is := is.New(t)
	servers := func() []jobplacement.Server {
		return []jobplacement.Server{
			newServer(1, 10, 0, 1, "a", "r1"), newServer(2, 4, 0, 1, "b", "r2"), newServer(3, 4, 0, 1, "b", "r3"),
		}
	}

	is.Equal(requestedTasks(
		jobplacement.Choose(newDemand(3, job.NewConstraints("", "r2", 0)), servers(), random()),
	), map[uint64]int{2: 3})
	is.Equal(requestedTasks(
		jobplacement.Choose(newDemand(3, job.NewConstraints("a", "r2", 0)), servers(), random()),
	), map[uint64]int{1: 3})
	is.Equal(requestedTasks(
		jobplacement.Choose(newDemand(3, job.NewConstraints("", "", 1)), servers(), random()),
	), map[uint64]int{1: 1, 2: 1, 3: 1})
	is.Equal(len(jobplacement.Choose(newDemand(3, job.NewConstraints("c", "", 0)), servers(), random()).Requests()), 0)
}

// Guards against more tasks of a job on a backend server than it allows, because those that are there already don't count.
func TestPlacedTasksCountForTheLimit(t *testing.T) {
	is := is.New(t)

	for _, free := range []int64{0, 9} { // the tasks that don't fit now are requested, too
		p := jobplacement.Choose(newDemand(8, job.NewConstraints("", "", 2)), []jobplacement.Server{
			newServer(1, free, 0, 1).WithPlaced(1), newServer(2, free, 0, 1).WithPlaced(2), newServer(3, free, 0, 1),
			newServer(4, free, 0, 1).WithPlaced(3),
		}, random())
		is.Equal(requestedTasks(p), map[uint64]int{1: 1, 3: 2})
	}
}

// Guards against tasks beside a kind that slows them down while others have free capacity, and against leaving that capacity
// unused or longer queues when the others are full.
func TestSlowdownCountsWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	source := random()

	for range 100 {
		servers := func() []jobplacement.Server {
			return []jobplacement.Server{newServer(1, 10, 0, 1).WithSlowdown(1.3), newServer(2, 2, 0, 1)}
		}
		is.Equal(requestedTasks(jobplacement.Choose(newDemand(2, job.Constraints{}), servers(), source)), map[uint64]int{2: 2})
		is.Equal(
			requestedTasks(jobplacement.Choose(newDemand(6, job.Constraints{}), servers(), source)), map[uint64]int{1: 4, 2: 2})

		full := []jobplacement.Server{newServer(1, 0, 1, 1).WithSlowdown(3), newServer(2, 0, 5, 1)}
		is.True(requestedTasks(jobplacement.Choose(newDemand(1, job.Constraints{}), full, source))[1] > 0)
	}
}

// Guards against decisions that change although no slowdown is known.
func TestUnknownSlowdownChangesNothing(t *testing.T) {
	is := is.New(t)
	plain, other := random(), random()

	for n := range 200 {
		var servers, same []jobplacement.Server

		for id := range uint64(6) {
			s := newServer(id, int64(n%7)*int64(id%3), int64(id), 1+float64(id%4)/2)
			servers, same = append(servers, s), append(same, s.WithSlowdown(1))
		}

		d := newDemand(1+n%9, job.Constraints{})
		is.Equal(jobplacement.Choose(d, servers, plain), jobplacement.Choose(d, same, other))
	}
}

// Guards against tasks that are placed at a server of last resort although others have free capacity, even slow ones or
// ones without the preferred label.
func TestLastResortIsUsedLast(t *testing.T) {
	is := is.New(t)

	for _, tasks := range []int{4, 12} {
		p := jobplacement.Choose(
			newDemand(tasks, job.NewConstraints("", "near", 0)), []jobplacement.Server{
				newServer(1, 10, 0, 1, "near").AsLastResort(), newServer(2, 10, 0, 5),
			}, random())
		requested := requestedTasks(p)
		is.Equal(requested[2], min(tasks, 10))
		is.Equal(requested[1], max(0, tasks-10))
	}
}
