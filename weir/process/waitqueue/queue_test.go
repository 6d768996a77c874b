package waitqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
)

var start = time.Unix(1000, 0)

type queue = waitqueue.Queue[int]

func take(q *queue) *waitqueue.Item[int] {
	q.BeginPass(false)

	i := q.Next()
	if i != nil {
		q.Take(i, start)
	}

	return i
}

// Guards against a flood of one kind, urgent or not, that takes the share of another (I9). Held slots count, so the
// kind with long tasks does not gain.
func TestClassesAndShares(t *testing.T) {
	is := is.New(t)

	var q queue

	q.SetKind("batch", 30, false)
	q.SetKind("quote", 20, true)
	q.SetKind("check", 50, false)
	q.SetCapacity(100)

	// Values: 0 batch, 1 quote, 2 check.
	for range 200 {
		q.Push("m", "batch", 100, 1, 0, start)
		q.Push("m", "quote", 100, 1, 1, start)
	}

	for range 10 {
		q.Push("m", "check", 100, 1, 2, start)
	}

	held := [3]int{}
	for n := range 60 {
		i := take(&q)
		held[i.Value()]++

		if n < 20 {
			is.Equal(i.Value(), 1) // urgent below its share goes first
		}
	}

	is.Equal(held, [3]int{30, 20, 10})

	// Spare capacity is lent in proportion, and a check that comes now goes before both.
	for range 40 {
		held[take(&q).Value()]++
	}

	is.Equal(held, [3]int{54, 36, 10})
	q.Push("m", "check", 100, 1, 2, start)
	is.Equal(take(&q).Value(), 2)
}

// Guards against a member that takes more than its proportion of a kind.
func TestMembersOfAKind(t *testing.T) {
	is := is.New(t)

	var q queue

	for range 100 {
		q.Push("large", "scan", 30, 1, 0, start)
		q.Push("small", "scan", 10, 1, 1, start)
	}

	held := [2]int{}
	for range 40 {
		held[take(&q).Value()]++
	}

	is.Equal(held, [2]int{30, 10})

	// Alone, a member gets its limit and a quarter for the run queues, over all of its kinds.
	q.Push("large", "quote", 30, 1, 0, start)

	for i := take(&q); i != nil; i = take(&q) {
		held[i.Value()]++
	}

	is.Equal(held, [2]int{37, 12})
}

// Guards against a flood that fills the queue for the other kinds.
func TestBoundIsSplit(t *testing.T) {
	is := is.New(t)

	var q queue

	q.SetMaxTasks(1000)
	q.SetKind("batch", 20, false)
	q.SetKind("quote", 40, true)

	fill := func(member, kind string) (n int) {
		for q.Admits(member, kind, 1) {
			q.Push(member, kind, 1, 1, 0, start)
			n++
		}

		return n
	}

	is.Equal(fill("a", "batch"), 600) // its 100 and the common 500
	is.Equal(fill("b", "quote"), 200) // its own half by share
	is.True(!q.Admits("b", "batch", 1))
	is.Equal(q.WaitingTasks(), 800)

	var other queue

	other.SetMaxTasks(1000)
	other.SetKind("scan", 100, false)
	is.True(other.Admits("a", "scan", 750))
	is.True(!other.Admits("a", "scan", 751)) // a quarter is left for other members
}

// Guards against lost, duplicated or miscounted items under random pushes, takes, returns and removals.
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
			waiting = append(waiting, q.Push(m, k, 1+random.IntN(9), 1+random.IntN(3), n, start))
		case c == 2 && len(waiting) > 0:
			i := remove(&waiting, random.IntN(len(waiting)))
			q.Remove(i)
			q.Remove(i) // again without effect
		case c == 3:
			if i := take(&q); i != nil {
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
		i := take(&q)
		is.True(i != nil)
		q.Release(i)
	}

	is.True(take(&q) == nil)
}

// Guards against a flow that is tried again and again in one pass, and one that stays blocked for ever.
func TestSkippedFlows(t *testing.T) {
	is := is.New(t)

	var q queue

	big := q.Push("m", "scan", 1, 8, 0, start)
	q.Push("m", "quote", 1, 1, 1, start)
	q.BeginPass(false)

	for range 2 {
		q.Skip(q.Next(), true)
	}

	is.True(q.Next() == nil)
	is.True(big.Blocked())
	q.BeginPass(false)
	is.True(q.Next() != nil)
	is.True(big.Blocked()) // only news of a worker helps

	q.BeginPass(true)
	is.True(!big.Blocked())
	q.Skip(big, true)

	small := q.Push("m", "scan", 1, 1, 2, start)
	q.Skip(big, true)
	q.Remove(big)
	is.True(!small.Blocked()) // another head was not tried yet
}

// Guards against accepting work that cannot be started in time, and against refusing work on noise.
func TestWaitIsEstimatedFromTheDrain(t *testing.T) {
	is := is.New(t)

	var q queue

	_, known := q.EstimateWait("m", "scan", 1, start)
	is.True(!known)

	for range 1000 {
		q.Push("m", "scan", 1000, 1, 0, start)
	}

	_, known = q.EstimateWait("m", "scan", 1, start.Add(100*time.Millisecond))
	is.True(!known)

	now := start
	for range 500 { // 100 tasks/s for 5 s
		now = now.Add(10 * time.Millisecond)
		q.BeginPass(false)
		q.Take(q.Next(), now)
	}

	wait, known := q.EstimateWait("m", "scan", 100, now)
	is.True(known)
	is.True(wait > 5*time.Second && wait < 7*time.Second)

	// A stall lets the estimate grow; an empty queue has none.
	stalled, _ := q.EstimateWait("m", "scan", 100, now.Add(10*time.Second))
	is.True(stalled > 2*wait)

	for range 500 {
		take(&q)
	}

	_, known = q.EstimateWait("m", "scan", 1, now)
	is.True(!known)
}

// Guards against a refusal for a wait that nobody has: a task put back after a rejected start does not continue an
// earlier backlog.
func TestReturnedTaskIsNoOldBacklog(t *testing.T) {
	is := is.New(t)

	var q queue

	q.Push("m", "scan", 1, 1, 0, start)
	i := take(&q)

	q.Requeue(i)

	_, known := q.EstimateWait("m", "scan", 1, start.Add(5*time.Second))
	is.True(!known)

	q.Push("m", "scan", 1, 1, 0, start.Add(5*time.Second))

	_, known = q.EstimateWait("m", "scan", 1, start.Add(5*time.Second+100*time.Millisecond))
	is.True(!known)
}

// Guards against a drain rate that counts rejected starts: in an overload most starts are rejected and taken again, and
// no submission would be refused early.
func TestRejectedStartsAreNoDrain(t *testing.T) {
	is := is.New(t)

	var q queue

	for range 1000 {
		q.Push("m", "scan", 1000, 1, 0, start)
	}

	now := start
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
	is.True(!known) // another member's backlog tells nothing
}

// BenchmarkTake measures one push and one take with the flows of many members and kinds.
func BenchmarkTake(b *testing.B) {
	for _, members := range []int{1, 190} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var q queue

			for m := range members {
				for k := range 10 {
					q.Push(fmt.Sprint(m), fmt.Sprint(k), 10, 1, 0, start)
				}
			}

			for b.Loop() {
				q.Push("0", "0", 10, 1, 0, start)
				q.BeginPass(false)

				i := q.Next()
				q.Take(i, start)
				q.Release(i)
			}
		})
	}
}
