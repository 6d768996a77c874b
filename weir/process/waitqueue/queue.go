// Package waitqueue holds the tasks that wait at an entry for capacity at a worker.
package waitqueue

import (
	"math"
	"slices"
	"strings"
	"time"
)

// defaultMaxTasks is the maximum number of tasks of a queue without SetMaxTasks.
const defaultMaxTasks = 20000

// Queue has one flow for each member and kind. It is not safe for concurrent use. The zero value is ready to use.
type Queue[T any] struct {
	kinds map[string]*kind[T]
	// sortedKinds is ordered by name, so that ties are always decided in the same way.
	sortedKinds []*kind[T]
	// waitingTasks and heldSlots are the sums over all kinds.
	waitingTasks, heldSlots int
	members                 map[string]*member
	maxTasks                int
	capacitySlots           int
	// pass is the number of the current pass over the flows.
	pass uint64
}

// member is the state of a member over all kinds.
type member struct {
	waitingTasks, heldSlots int
	// limitSlots is at least 1.
	limitSlots int
}

// saturated reports whether the member holds its limit and a quarter more. Further tasks can't run anywhere and would
// fill the run queues of the sidecars for other members. The quarter keeps those queues from running empty.
func (m *member) saturated() bool { return m.heldSlots >= m.limitSlots+max(m.limitSlots/4, 1) }

// SetMaxTasks sets the maximum number of waiting tasks; zero means the default of 20,000.
func (q *Queue[T]) SetMaxTasks(tasks int) { q.maxTasks = tasks }

// SetCapacity sets the number of slots that this entry expects to use. The shares of the kinds are parts of it.
func (q *Queue[T]) SetCapacity(slots int) { q.capacitySlots = slots }

// SetKind sets the share of a kind, which is at least 1 %, and whether the kind is urgent.
func (q *Queue[T]) SetKind(name string, sharePercent int, urgent bool) {
	k := q.findOrAddKind(name)
	k.sharePercent, k.urgent = max(sharePercent, 1), urgent
}

// SetMemberLimit sets the limit of a member, which is at least one slot.
func (q *Queue[T]) SetMemberLimit(name string, limitSlots int) {
	q.findOrAddMember(name).limitSlots = max(limitSlots, 1)
}

// WaitingTasks returns the number of waiting tasks of all kinds.
func (q *Queue[T]) WaitingTasks() int { return q.waitingTasks }

// WaitingTasksOfKind returns the number of waiting tasks of the kind.
func (q *Queue[T]) WaitingTasksOfKind(name string) int {
	if k, found := q.kinds[name]; found {
		return k.waitingTasks
	}

	return 0
}

// HeldSlots returns the number of slots of the tasks that were taken and not released.
func (q *Queue[T]) HeldSlots() int { return q.heldSlots }

// Admits reports whether the queue accepts n more tasks. Half of the maximum is reserved for the kinds by their shares
// and the other half is common, so that one kind can't use up the queue. One member gets at most three quarters.
func (q *Queue[T]) Admits(memberName, kindName string, n int) bool {
	maxTasks := q.maxTasks
	if maxTasks == 0 {
		maxTasks = defaultMaxTasks
	}

	if q.waitingTasks+n > maxTasks || q.findOrAddMember(memberName).waitingTasks+n > maxTasks-maxTasks/4 {
		return false
	}

	q.findOrAddKind(kindName)

	commonLeft := maxTasks - maxTasks/2

	for _, k := range q.sortedKinds {
		tasks := k.waitingTasks
		if k.name == kindName {
			tasks += n
		}

		excess := tasks - maxTasks/2*k.sharePercent/100
		if excess > 0 {
			commonLeft -= excess
		}

		if k.name == kindName && excess <= 0 {
			return true
		}
	}

	return commonLeft >= 0
}

// Push appends a task and returns its item.
func (q *Queue[T]) Push(memberName, kindName string, limitSlots, slots int, value T, now time.Time) *Item[T] {
	f := q.findOrAddFlow(memberName, kindName, limitSlots)
	i := &Item[T]{value: value, slots: slots, flow: f, pushedAt: now}
	q.insert(i, f.last)

	f.drain.beginBacklog(now)

	// The new item may be smaller or have more candidates than the head, so the flow is tried again and the
	// head is moved back.
	f.blocked = false

	return i
}

// Requeue releases the slots of a taken task and puts it at the head of its flow.
func (q *Queue[T]) Requeue(i *Item[T]) {
	q.Release(i)
	// In an overload most starts are rejected and the tasks taken again; counting each would overstate the drain rate.
	i.flow.drain.uncountTaken()
	q.insert(i, nil)
}

// Remove removes a waiting item without counting its slots as held. It has no effect on an item that is not waiting.
func (q *Queue[T]) Remove(i *Item[T]) {
	if !i.waiting {
		return
	}

	q.unlink(i)
}

// Take removes a waiting item and counts its slots as held until Release or Requeue.
func (q *Queue[T]) Take(i *Item[T], now time.Time) {
	q.unlink(i)

	f := i.flow
	f.heldSlots += i.slots
	f.member.heldSlots += i.slots
	f.kind.heldSlots += i.slots
	q.heldSlots += i.slots
	f.drain.countTaken(now)
}

// Release stops counting the slots of a taken item as held.
func (q *Queue[T]) Release(i *Item[T]) {
	f := i.flow
	f.heldSlots -= i.slots
	f.member.heldSlots -= i.slots
	f.kind.heldSlots -= i.slots
	q.heldSlots -= i.slots
}

// BeginPass starts a pass over the flows. The caller sets unblock after an update of a worker; then no flow counts as
// blocked any more.
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

// Next returns the head of the flow to serve next, or nil. It ignores the flows that were skipped in this pass.
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

// Skip ignores the flow of the item for the rest of the pass. With blocked, no worker had capacity for the item, and
// the flow counts as blocked until a pass with unblock, a push, or another head.
func (q *Queue[T]) Skip(i *Item[T], blocked bool) {
	i.flow.skippedInPass = q.pass
	i.flow.blocked = blocked
}

// maxMovesPerPass bounds the effort that a flow without candidates takes in each pass.
const maxMovesPerPass = 8

// MoveBack moves the item to the end of its flow. It returns false without a move if the item was already moved in this
// pass, if it is alone in its flow, or if the flow has reached maxMovesPerPass.
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

// EstimateWait estimates how long the last of the new tasks of the member and kind waits until it is taken. known is
// false if there is no backlog or not enough of it to measure a rate.
func (q *Queue[T]) EstimateWait(
	memberName, kindName string, newTasks int, now time.Time,
) (wait time.Duration, known bool) {
	k, found := q.kinds[kindName]
	if !found {
		return 0, false
	}

	f := k.findFlow(q.findOrAddMember(memberName))
	if f == nil || f.waitingTasks == 0 {
		return 0, false
	}

	rate, known := f.drain.rate(now)
	if !known {
		return 0, false
	}

	seconds := float64(f.waitingTasks+newTasks) / rate
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}

	return time.Duration(seconds * float64(time.Second)), true
}

// priority returns the class of a kind and its ratio of held slots to share; the lowest class is served first, and in a
// class the lowest ratio. Class 0 is an urgent kind below its share, 1 another kind below its share, 2 any other.
func (q *Queue[T]) priority(k *kind[T]) (class int, ratio float64) {
	// If more slots are held than expected, the shares apply to the held slots.
	capacity := max(q.capacitySlots, q.heldSlots)
	belowShare := k.heldSlots*100 < k.sharePercent*capacity

	switch {
	case belowShare && k.urgent:
		class = 0
	case belowShare:
		class = 1
	default:
		class = 2
	}

	return class, float64(k.heldSlots) / float64(k.sharePercent)
}

func (q *Queue[T]) findOrAddKind(name string) *kind[T] {
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

func (q *Queue[T]) findOrAddMember(name string) *member {
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
