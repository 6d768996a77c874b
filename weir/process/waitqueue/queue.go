// Package waitqueue holds the tasks that wait at an entry for a place.
package waitqueue

import (
	"math"
	"slices"
	"strings"
	"time"
)

// defaultBound is the number of tasks that a queue of zero value holds at most.
const defaultMaxTasks = 20000

// Queue has one flow for each member and kind. It is not safe for concurrent use. The zero value works.
type Queue[T any] struct {
	kinds map[string]*kind[T]
	// order holds the kinds by name, so that ties are decided the same way every time.
	sortedKinds []*kind[T]
	// tasks and held are the sums over all kinds.
	waitingTasks, heldSlots int
	members                 map[string]*member
	maxTasks                int
	capacitySlots           int
	// pass is the number of the present pass over the flows.
	pass uint64
}

// member counts over all kinds.
type member struct {
	waitingTasks, heldSlots int
	// limit is in slots, and at least 1.
	limitSlots int
}

// full tells whether the member holds its limit and a quarter more. More could not run anywhere, and would fill the run
// queues of the sidecars for other members; the quarter keeps those queues from running dry.
func (m *member) saturated() bool { return m.heldSlots >= m.limitSlots+max(m.limitSlots/4, 1) }

// SetBound sets the number of tasks that may wait.
func (q *Queue[T]) SetMaxTasks(tasks int) { q.maxTasks = tasks }

// SetCapacity sets the slots that this entry can expect to use, of which the kinds have their shares.
func (q *Queue[T]) SetCapacity(slots int) { q.capacitySlots = slots }

// SetKind sets the share of a kind in percent and whether it is urgent.
func (q *Queue[T]) SetKind(name string, share int, urgent bool) {
	k := q.kind(name)
	k.sharePercent, k.urgent = max(share, 1), urgent
}

// SetLimit sets the limit in slots of a member.
func (q *Queue[T]) SetMemberLimit(name string, slots int) { q.member(name).limitSlots = max(slots, 1) }

// Tasks returns the number of waiting tasks.
func (q *Queue[T]) WaitingTasks() int { return q.waitingTasks }

// TasksOf returns the number of waiting tasks of the kind.
func (q *Queue[T]) WaitingTasksOfKind(name string) int {
	if k, found := q.kinds[name]; found {
		return k.waitingTasks
	}

	return 0
}

// Held returns the slots of tasks that were taken and not released.
func (q *Queue[T]) HeldSlots() int { return q.heldSlots }

// Admits tells whether n more tasks fit in. Half of the bound is split among the kinds by their shares and the rest
// is common, so that a flood of one kind leaves room for the others; one member gets at most three quarters.
func (q *Queue[T]) Admits(owner, name string, n int) bool {
	bound := q.maxTasks
	if bound == 0 {
		bound = defaultMaxTasks
	}

	if q.waitingTasks+n > bound || q.member(owner).waitingTasks+n > bound-bound/4 {
		return false
	}

	q.kind(name)

	common := bound - bound/2

	for _, k := range q.sortedKinds {
		tasks := k.waitingTasks
		if k.name == name {
			tasks += n
		}

		over := tasks - bound/2*k.sharePercent/100
		if over > 0 {
			common -= over
		}

		if k.name == name && over <= 0 {
			return true
		}
	}

	return common >= 0
}

// Push appends a task and returns its item.
func (q *Queue[T]) Push(owner, name string, limit, slots int, value T, now time.Time) *Item[T] {
	f := q.flow(owner, name, limit)
	i := &Item[T]{value: value, slots: slots, flow: f, pushedAt: now}
	q.insert(i, f.last)

	f.drainMeter.beginBacklog(now)

	// The new item may be smaller or have more candidates than the head, which then is moved back.
	f.blocked = false

	return i
}

// Return puts a task that was taken back to the head of its flow and releases its slots.
func (q *Queue[T]) Requeue(i *Item[T]) {
	q.Release(i)
	// In an overload most starts are rejected and taken again; counting each would make the drain look too fast.
	i.flow.drainMeter.uncountTaken()
	q.insert(i, nil)
}

// Remove takes a waiting item out without counting it as held. An item that does not wait is left alone.
func (q *Queue[T]) Remove(i *Item[T]) {
	if !i.waiting {
		return
	}

	q.unlink(i)
}

// Take removes the item and counts its slots as held until Release.
func (q *Queue[T]) Take(i *Item[T], now time.Time) {
	q.unlink(i)

	f := i.flow
	f.heldSlots += i.slots
	f.member.heldSlots += i.slots
	f.kind.heldSlots += i.slots
	q.heldSlots += i.slots
	f.drainMeter.countTaken(now)
}

// Release ends the hold of a taken item.
func (q *Queue[T]) Release(i *Item[T]) {
	f := i.flow
	f.heldSlots -= i.slots
	f.member.heldSlots -= i.slots
	f.kind.heldSlots -= i.slots
	q.heldSlots -= i.slots
}

// Begin starts a pass over the flows. With unblock, blocked flows are tried in full again.
func (q *Queue[T]) BeginPass(unblock bool) {
	q.pass++

	if !unblock {
		return
	}

	for _, k := range q.sortedKinds {
		for _, f := range k.flows {
			f.blocked = false
		}
	}
}

// Next returns the head of the flow that is served next and was not skipped in this pass, or nil.
func (q *Queue[T]) Next() *Item[T] {
	var (
		best      *Flow[T]
		bestClass int
		bestRatio float64
	)

	for _, k := range q.sortedKinds {
		if k.waitingTasks == 0 {
			continue
		}

		class, ratio := q.priority(k)
		if best != nil && (class > bestClass || class == bestClass && ratio >= bestRatio) {
			continue
		}

		if f := k.nextFlow(q.pass); f != nil {
			best, bestClass, bestRatio = f, class, ratio
		}
	}

	if best == nil {
		return nil
	}

	return best.first
}

// Skip passes over the flow of the item for the rest of the pass. With blocked, the flow waits for news of a worker.
func (q *Queue[T]) Skip(i *Item[T], blocked bool) {
	i.flow.skippedInPass = q.pass
	i.flow.blocked = blocked
}

// maxMoves bounds the work that a flow without candidates costs in each pass.
const maxMovesPerPass = 8

// MoveBack puts the item behind the others of its flow, and returns false once that was done often enough in this pass.
func (q *Queue[T]) MoveBack(i *Item[T]) bool {
	f := i.flow
	if f.lastMovePass != q.pass {
		f.lastMovePass, f.movesInPass = q.pass, 0
	}

	if i.movedInPass == q.pass || f.first == f.last || f.movesInPass == maxMovesPerPass {
		return false
	}

	i.movedInPass = q.pass
	f.movesInPass++
	q.unlink(i)
	q.insert(i, f.last)

	return true
}

// Wait estimates how long the last of n new tasks of the member and kind waits until it is taken; known is false
// without a backlog to measure.
func (q *Queue[T]) EstimateWait(owner, name string, n int, now time.Time) (wait time.Duration, known bool) {
	k, found := q.kinds[name]
	if !found {
		return 0, false
	}

	f := k.findFlow(q.member(owner))
	if f == nil || f.waitingTasks == 0 {
		return 0, false
	}

	rate, known := f.drainMeter.rate(now)
	if !known {
		return 0, false
	}

	seconds := float64(f.waitingTasks+n) / rate
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}

	return time.Duration(seconds * float64(time.Second)), true
}

// rank gives the class of section "Shares" of the design and the ratio of held slots to share within it.
func (q *Queue[T]) priority(k *kind[T]) (class int, ratio float64) {
	// Beyond the expected capacity the shares apply to what this entry really holds.
	capacity := max(q.capacitySlots, q.heldSlots)
	below := k.heldSlots*100 < k.sharePercent*capacity

	switch {
	case below && k.urgent:
		class = 0
	case below:
		class = 1
	default:
		class = 2
	}

	return class, float64(k.heldSlots) / float64(k.sharePercent)
}

func (q *Queue[T]) kind(name string) *kind[T] {
	if k, found := q.kinds[name]; found {
		return k
	}

	if q.kinds == nil {
		q.kinds = map[string]*kind[T]{}
	}

	k := &kind[T]{name: name, sharePercent: 1}
	q.kinds[name] = k
	q.sortedKinds = append(q.sortedKinds, k)
	slices.SortFunc(q.sortedKinds, func(a, b *kind[T]) int { return strings.Compare(a.name, b.name) })

	return k
}

func (q *Queue[T]) member(name string) *member {
	m, found := q.members[name]
	if !found {
		if q.members == nil {
			q.members = map[string]*member{}
		}

		m = &member{limitSlots: 1}
		q.members[name] = m
	}

	return m
}
