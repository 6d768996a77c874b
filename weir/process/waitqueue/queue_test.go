package waitqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
)

var startTime = time.Unix(1000, 0)

type queue = waitqueue.Queue[int]

func takeNext(q *queue) *waitqueue.Item[int] {
	q.BeginPass(false)

	i := q.Next()
	if i != nil {
		q.Take(i, startTime)
	}

	return i
}

// Guards against a kind with many waiting tasks, urgent or not, that takes the share of another one (I9). Shares count
// held slots, so a kind with long tasks has no advantage.
func TestClassesAndShares(t *testing.T) {
	is := is.New(t)

	var q queue

	q.SetKind("batch", 30, false)
	q.SetKind("quote", 20, true)
	q.SetKind("check", 50, false)
	q.SetCapacity(100)

	// Values: 0 batch, 1 quote, 2 check.
	for range 200 {
		q.Push("m", "batch", 100, 1, 0, startTime)
		q.Push("m", "quote", 100, 1, 1, startTime)
	}

	for range 10 {
		q.Push("m", "check", 100, 1, 2, startTime)
	}

	held := [3]int{}
	for n := range 60 {
		i := takeNext(&q)
		held[i.Value()]++

		if n < 20 {
			is.Equal(i.Value(), 1) // an urgent kind below its share is served first
		}
	}

	is.Equal(held, [3]int{30, 20, 10})

	// Spare capacity is divided in proportion to the shares, and a new check is served before the other kinds.
	for range 40 {
		held[takeNext(&q).Value()]++
	}

	is.Equal(held, [3]int{54, 36, 10})
	q.Push("m", "check", 100, 1, 2, startTime)
	is.Equal(takeNext(&q).Value(), 2)
}

// Guards against members of one kind that get slots out of proportion to their limits.
func TestMembersOfAKind(t *testing.T) {
	is := is.New(t)

	var q queue

	for range 100 {
		q.Push("large", "scan", 30, 1, 0, startTime)
		q.Push("small", "scan", 10, 1, 1, startTime)
	}

	held := [2]int{}
	for range 40 {
		held[takeNext(&q).Value()]++
	}

	is.Equal(held, [2]int{30, 10})

	// A member gets at most its limit and a quarter for the run queues, over all of its kinds.
	q.Push("large", "quote", 30, 1, 0, startTime)

	for i := takeNext(&q); i != nil; i = takeNext(&q) {
		held[i.Value()]++
	}

	is.Equal(held, [2]int{37, 12})
}

// Guards against one kind, or one member, that fills the queue and leaves no space for others.
func TestBoundIsSplit(t *testing.T) {
	is := is.New(t)

	var q queue

	q.SetMaxTasks(1000)
	q.SetKind("batch", 20, false)
	q.SetKind("quote", 40, true)

	fill := func(member, kind string) (n int) {
		for q.Admits(member, kind, 1) {
			q.Push(member, kind, 1, 1, 0, startTime)
			n++
		}

		return n
	}

	is.Equal(fill("a", "batch"), 600) // its reserved 100 and the common 500
	is.Equal(fill("b", "quote"), 200) // its reserved 40 % of 500
	is.True(!q.Admits("b", "batch", 1))
	is.Equal(q.WaitingTasks(), 800)

	var other queue

	other.SetMaxTasks(1000)
	other.SetKind("scan", 100, false)
	is.True(other.Admits("a", "scan", 750))
	is.True(!other.Admits("a", "scan", 751)) // a quarter is left for other members
}

// Guards against lost, duplicated or miscounted items in random sequences of operations.
func TestRandomUse(t *testing.T) {
	const seed = 20261204

	t.Logf("seed %d", seed)
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))

	var (
		q              queue
		waiting, taken []*waitqueue.Item[int]
	)

	remove := func(all *[]*waitqueue.Item[int], n int) *waitqueue.Item[int] {
		i := (*all)[n]
		*all = append((*all)[:n], (*all)[n+1:]...)

		return i
	}

	for n := range 20000 {
		switch c := random.IntN(6); {
		case c < 2:
			m, k := fmt.Sprint(random.IntN(3)), fmt.Sprint(random.IntN(4))
			waiting = append(waiting, q.Push(m, k, 1+random.IntN(9), 1+random.IntN(3), n, startTime))
		case c == 2 && len(waiting) > 0:
			i := remove(&waiting, random.IntN(len(waiting)))
			q.Remove(i)
			q.Remove(i) // a second removal has no effect
		case c == 3:
			if i := takeNext(&q); i != nil {
				for n, w := range waiting {
					if w == i {
						remove(&waiting, n)

						break
					}
				}

				taken = append(taken, i)
			}
		case c == 4 && len(taken) > 0:
			i := remove(&taken, random.IntN(len(taken)))
			q.Requeue(i)
			waiting = append(waiting, i)
		case c == 5 && len(taken) > 0:
			q.Release(remove(&taken, random.IntN(len(taken))))
		}

		held := 0
		for _, i := range taken {
			held += i.Slots()
		}

		is.Equal(q.WaitingTasks(), len(waiting))
		is.Equal(q.HeldSlots(), held)
	}

	for _, i := range waiting {
		is.True(i.Waiting())
	}

	for _, i := range taken {
		q.Release(i)
	}

	for range waiting {
		i := takeNext(&q)
		is.True(i != nil)
		q.Release(i)
	}

	is.True(takeNext(&q) == nil)
}

// Guards against a flow that is tried repeatedly in one pass, and against one that stays blocked although its head or a
// worker has changed.
func TestSkippedFlows(t *testing.T) {
	is := is.New(t)

	var q queue

	big := q.Push("m", "scan", 1, 8, 0, startTime)
	q.Push("m", "quote", 1, 1, 1, startTime)
	q.BeginPass(false)

	for range 2 {
		q.Skip(q.Next(), true)
	}

	is.True(q.Next() == nil)
	is.True(big.Blocked())
	q.BeginPass(false)
	is.True(q.Next() != nil)
	is.True(big.Blocked()) // only an update of a worker unblocks it

	q.BeginPass(true)
	is.True(!big.Blocked())
	q.Skip(big, true)

	small := q.Push("m", "scan", 1, 1, 2, startTime)
	q.Skip(big, true)
	q.Remove(big)
	is.True(!small.Blocked()) // the new head has not been tried yet
}

// Guards against an estimate that is too low, by which work is accepted that can't start in time, and against one that
// is made from too short a time, by which work is refused without need.
func TestWaitIsEstimatedFromTheDrain(t *testing.T) {
	is := is.New(t)

	var q queue

	_, known := q.EstimateWait("m", "scan", 1, startTime)
	is.True(!known)

	for range 1000 {
		q.Push("m", "scan", 1000, 1, 0, startTime)
	}

	_, known = q.EstimateWait("m", "scan", 1, startTime.Add(100*time.Millisecond))
	is.True(!known)

	now := startTime
	for range 500 { // 100 tasks/s for 5 s
		now = now.Add(10 * time.Millisecond)
		q.BeginPass(false)
		q.Take(q.Next(), now)
	}

	wait, known := q.EstimateWait("m", "scan", 100, now)
	is.True(known)
	is.True(wait > 5*time.Second && wait < 7*time.Second)

	// The estimate grows during a stall, and an empty queue has none.
	stalled, _ := q.EstimateWait("m", "scan", 100, now.Add(10*time.Second))
	is.True(stalled > 2*wait)

	for range 500 {
		takeNext(&q)
	}

	_, known = q.EstimateWait("m", "scan", 1, now)
	is.True(!known)
}

// Guards against a wait that is overestimated because a task requeued after a rejected start continues an earlier
// backlog; new work would be refused although no task waits that long.
func TestRequeuedTaskDoesNotExtendBacklog(t *testing.T) {
	is := is.New(t)

	var q queue

	q.Push("m", "scan", 1, 1, 0, startTime)
	i := takeNext(&q)

	q.Requeue(i)

	_, known := q.EstimateWait("m", "scan", 1, startTime.Add(5*time.Second))
	is.True(!known)

	q.Push("m", "scan", 1, 1, 0, startTime.Add(5*time.Second))

	_, known = q.EstimateWait("m", "scan", 1, startTime.Add(5*time.Second+100*time.Millisecond))
	is.True(!known)
}

// Guards against a drain rate that counts rejected starts. In an overload most starts are rejected and taken again, so
// the wait would be underestimated and no submission refused early.
func TestRejectedStartsAreNoDrain(t *testing.T) {
	is := is.New(t)

	var q queue

	for range 1000 {
		q.Push("m", "scan", 1000, 1, 0, startTime)
	}

	now := startTime
	for n := range 500 { // 100 starts/s for 5 s, of which nine in ten are rejected
		now = now.Add(10 * time.Millisecond)
		q.BeginPass(false)

		i := q.Next()
		q.Take(i, now)

		if n%10 > 0 {
			q.Requeue(i)
		}
	}

	wait, known := q.EstimateWait("m", "scan", 100, now)
	is.True(known)
	is.True(wait > 80*time.Second) // 1050 tasks at 10 tasks/s

	_, known = q.EstimateWait("other", "scan", 1, now)
	is.True(!known) // the backlog of another member does not count
}

// BenchmarkTake measures a push, a take and a release in a queue with the flows of many members and kinds.
func BenchmarkTake(b *testing.B) {
	for _, members := range []int{1, 190} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var q queue

			for m := range members {
				for k := range 10 {
					q.Push(fmt.Sprint(m), fmt.Sprint(k), 10, 1, 0, startTime)
				}
			}

			for b.Loop() {
				q.Push("0", "0", 10, 1, 0, startTime)
				q.BeginPass(false)

				i := q.Next()
				q.Take(i, startTime)
				q.Release(i)
			}
		})
	}
}
