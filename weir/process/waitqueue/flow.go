package waitqueue

// Flow holds the waiting tasks of one member and kind, first come first.
type Flow[T any] struct {
	kind         *kind[T]
	member       *member
	heldSlots    int
	waitingTasks int
	drainMeter   drainMeter
	first, last  *Item[T]
	// skipped is the last pass in which the head of this flow found no place.
	skippedInPass uint64
	// blocked is true if no worker had room for the head; only news of a worker or another head can change that.
	blocked bool
	// moves counts the items moved back in the pass moving.
	movesInPass  int
	lastMovePass uint64
}

func (q *Queue[T]) flow(owner, name string, limit int) *Flow[T] {
	k, m := q.kind(name), q.member(owner)
	m.limitSlots = max(limit, 1)

	if f := k.findFlow(m); f != nil {
		return f
	}

	f := &Flow[T]{kind: k, member: m}
	k.flows = append(k.flows, f)

	return f
}

// insert links the item behind another one, or at the head if that is nil.
func (q *Queue[T]) insert(i, behind *Item[T]) {
	f := i.flow
	i.prev, i.next = behind, f.first

	if behind != nil {
		i.next = behind.next
		behind.next = i
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

func (q *Queue[T]) addWaiting(f *Flow[T], n int) {
	f.waitingTasks += n

	if f.waitingTasks == 0 {
		f.drainMeter.endBacklog()
	}

	f.kind.waitingTasks += n
	f.member.waitingTasks += n
	q.waitingTasks += n
}
