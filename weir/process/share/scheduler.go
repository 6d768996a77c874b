package share

import (
	"sync"
	"time"
)

// OfferResult is the outcome of offering a task to the scheduler.
type OfferResult int

// Results of an offer.
const (
	// Accepted means that the task is queued; Next returns it once slots are assigned to it.
	Accepted OfferResult = iota
	// QueueFull means that the queue of the kind, or the half of it that tasks beyond a member's allowance may use, is
	// full.
	QueueFull
	// ExceedsAllowance means that the member's allowance in force at this worker is smaller than the task. Such a task
	// is not queued, because another worker can run it before a pending increase of the allowance applies.
	ExceedsAllowance
	// UnknownKind means that the kind is not configured.
	UnknownKind
	// TooLarge means that the task needs more slots or memory than the worker has.
	TooLarge
)

// Scheduler assigns the slots of one worker to queued tasks. It counts held slots instead of starts, because otherwise
// long tasks would take more capacity than short ones. The zero value has no slots and no kinds. It is safe for
// concurrent use.
type Scheduler[T any] struct {
	mu       sync.Mutex
	capacity Capacity
	kinds    map[string]*kind[T]
	members  map[string]*member
	// backlogged holds the kinds with queued tasks.
	backlogged                           map[*kind[T]]struct{}
	heldSlots, heldMemoryMB, queuedSlots int
	offerSequence, loadSequence          uint64
}

// Configure sets the capacity, kinds and members. It withdraws and returns the queued tasks that this worker can no
// longer run, or could run only after an increase of an allowance. Tasks that hold slots are not stopped.
func (s *Scheduler[T]) Configure(now time.Time, c Capacity, kinds []Kind, members []Member) []*Task[T] {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.capacity = c
	s.initMaps()

	for _, k := range s.kinds {
		k.configured = false
	}

	for _, k := range kinds {
		state := s.kinds[k.name]
		if state == nil {
			state = &kind[T]{flows: map[string]*flow[T]{}}
			s.kinds[k.name] = state
		}

		state.Kind, state.configured = k, true
	}

	listed := make(map[string]bool, len(members))

	for _, m := range members {
		listed[m.name] = true
		state := s.findOrAddMember(m.name)
		state.limit = m.limit

		if m.unlimited {
			state.allowance.SetImmediately(now, m.allowance)
		} else {
			state.allowance.Set(now, c.growthDelay, m.allowance)
		}
	}

	for name, m := range s.members {
		if !listed[name] {
			m.limit = 0
			m.allowance.Set(now, c.growthDelay, 0)
		}
	}

	return s.withdrawUnrunnable(now)
}

// withdrawUnrunnable withdraws and returns the queued tasks whose kind is gone, that exceed the member's allowance in
// force, or that do not fit the worker.
func (s *Scheduler[T]) withdrawUnrunnable(now time.Time) []*Task[T] {
	var out []*Task[T]

	for k := range s.backlogged {
		for _, f := range k.flows {
			for e := f.tasks.Front(); e != nil; {
				t, _ := e.Value.(*Task[T])
				e = e.Next()

				if !k.configured || t.cores > f.member.allowance.At(now, s.capacity.growthDelay) || !s.fitsWorker(t) {
					s.dequeue(t)
					s.detach(t)

					out = append(out, t)
				}
			}
		}
	}

	return out
}

// Offer queues a task if the queue of its kind allows it. The caller then starts the tasks that Next returns, until it
// returns nil. A task that can start at once is accepted even if the queue is full of tasks that can't. A full queue
// also accepts a task of a member that has fewer slots queued, in proportion to its limit, than another member: the
// newest task of the other member is withdrawn and returned as displaced. Without displacement, the entry that sends
// the most offers would decide which members are served.
func (s *Scheduler[T]) Offer(now time.Time, t *Task[T]) (result OfferResult, displaced *Task[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()

	k := s.kinds[t.kind]

	switch {
	case k == nil || !k.configured:
		return UnknownKind, nil
	case !s.fitsWorker(t):
		return TooLarge, nil
	}

	m := s.members[t.member]
	if m == nil || t.cores > m.allowance.At(now, s.capacity.growthDelay) {
		return ExceedsAllowance, nil
	}

	s.enqueue(k, m, t)

	maxQueued := s.capacity.maxQueuedTasks
	// The tasks that a member can't start within its allowance get at most half of the queue, which leaves the rest to
	// members whose tasks could start.
	exceedsHalf := !s.withinAllowance(now, t) && t.flow.tasks.Len() > max(1, maxQueued/2)

	switch {
	case k.queuedTasks <= maxQueued && !exceedsHalf, s.nextTask(now) == t:
		return Accepted, nil
	case exceedsHalf:
		displaced = t
	default:
		displaced = k.displacementCandidate(t)
	}

	s.dequeue(displaced)
	s.detach(displaced)

	if displaced == t {
		return QueueFull, nil
	}

	return Accepted, displaced
}

// Next assigns slots to the first queued task in order and returns it, or nil if that task can't start.
func (s *Scheduler[T]) Next(now time.Time) *Task[T] {
	s.mu.Lock()
	defer s.mu.Unlock()

	t := s.nextTask(now)
	if t == nil {
		return nil
	}

	s.dequeue(t)

	f := t.flow
	f.heldSlots += t.cores
	f.kind.heldSlots += t.cores
	f.member.heldSlots += t.cores
	s.heldSlots += t.cores
	s.heldMemoryMB += t.memoryMB

	return t
}

// Withdraw removes a queued task and reports whether it was queued. Next never returns a withdrawn task.
func (s *Scheduler[T]) Withdraw(t *Task[T]) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if t.element == nil {
		return false
	}

	s.dequeue(t)
	s.detach(t)

	return true
}

// Release frees the slots of a task that Next returned. A second call has no effect.
func (s *Scheduler[T]) Release(t *Task[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f := t.flow
	if f == nil || t.element != nil {
		return
	}

	f.heldSlots -= t.cores
	f.kind.heldSlots -= t.cores
	f.member.heldSlots -= t.cores
	s.heldSlots -= t.cores
	s.heldMemoryMB -= t.memoryMB
	s.detach(t)
}
