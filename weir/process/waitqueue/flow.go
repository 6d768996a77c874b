package waitqueue

// Flow holds the waiting tasks of one member and kind in the order of arrival.
type Flow[T any] struct {
	kind         *kind[T]
	member       *member
	heldSlots    int
	waitingTasks int
	drain        drainMeter
	first, last  *Item[T]
	// skippedInPass is the last pass in which no worker was found for the head.
	skippedInPass uint64
	// blocked is true if no worker had capacity for the head; it is reset by a pass with unblock after an update
	// of a worker, by a push, and by another head.
	blocked bool
	// movesInPass counts the items that were moved back in the pass lastMovePass.
	movesInPass  int
	lastMovePass uint64
}

func (q *Queue[T]) findOrAddFlow(memberName, kindName string, limitSlots int) *Flow[T] {
	k, m := q.findOrAddKind(kindName), q.findOrAddMember(memberName)
	m.limitSlots = max(limitSlots, 1)

	if f := k.findFlow(m); f != nil {
		return f
	}

	f := &Flow[T]{kind: k, member: m}
	k.flows = append(k.flows, f)

	return f
}

// insert links the item after previous, or at the head if previous is nil.
func (q *Queue[T]) insert(i, previous *Item[T]) {
	f := i.flow
	i.prev, i.next = previous, f.first

	if previous != nil {
		i.next = previous.next
		previous.next = i
	} else {
		f.first = i
	}

	if i.next != nil {
		i.next.prev = i
	} else {
		f.last = i
	}

	if f.first == i {
		f.blocked = false
	}

	i.waiting = true
	q.addWaiting(f, 1)
}

func (q *Queue[T]) unlink(i *Item[T]) {
	f := i.flow

	if i.prev != nil {
		i.prev.next = i.next
	} else {
		f.first = i.next
		f.blocked = false
	}

	if i.next != nil {
		i.next.prev = i.prev
	} else {
		f.last = i.prev
	}

	i.prev, i.next, i.waiting = nil, nil, false
	q.addWaiting(f, -1)
}

func (q *Queue[T]) addWaiting(f *Flow[T], delta int) {
	f.waitingTasks += delta

	if f.waitingTasks == 0 {
		f.drain.endBacklog()
	}

	f.kind.waitingTasks += delta
	f.member.waitingTasks += delta
	q.waitingTasks += delta
}
