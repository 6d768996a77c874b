package share

import (
	"sync"
	"time"
)

// Verdict is the scheduler's answer to an offered task.
type OfferResult int

// Verdicts.
const (
	// Accepted means that the task is queued; Next returns it when slots are assigned to it.
	Accepted OfferResult = iota
	// Full means that the queue of the kind has no room for the task.
	QueueFull
	// NotAllowed means that the member's allowance in force at this worker is smaller than the task. Such a task is not
	// queued: an allowance that is to grow takes longer than other workers need to run the task.
	ExceedsAllowance
	// UnknownKind means that the scheduler has no such kind.
	UnknownKind
	// TooLarge means that the worker is smaller than the task.
	TooLarge
)

// Scheduler assigns the slots of one worker to queued tasks. It counts held slots and not starts, because otherwise
// long tasks would take more capacity than short ones. The zero value has no slots and no kinds; it may be used from
// any number of goroutines.
type Scheduler[T any] struct {
	mu       sync.Mutex
	capacity Capacity
	kinds    map[string]*kind[T]
	members  map[string]*member
	// active are the kinds with queued tasks.
	backlogged                           map[*kind[T]]struct{}
	heldSlots, heldMemoryMB, queuedSlots int
	offerSequence, loadSequence          uint64
}

// Configure sets the capacity, kinds and members, and returns the queued tasks that can't run here any more, or only
// once an allowance has grown. Those are withdrawn. Tasks that hold slots are not stopped.
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

	named := make(map[string]bool, len(members))

	for _, m := range members {
		named[m.name] = true
		state := s.findOrAddMember(m.name)
		state.limit = m.limit

		if m.unlimited {
			state.allowance.SetImmediately(now, m.allowance)
		} else {
			state.allowance.Set(now, c.growthDelay, m.allowance)
		}
	}

	for name, m := range s.members {
		if !named[name] {
			m.limit = 0
			m.allowance.Set(now, c.growthDelay, 0)
		}
	}

	return s.withdrawUnrunnable(now)
}

// expel withdraws the tasks that can no longer run here.
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

// Offer queues a task if there is room. The caller then takes the tasks that may start from Next, until it returns
// none. A task that can start at once is accepted even if the queue of its kind is full of tasks that can't. A full
// queue also takes a task of a member that has less in it, in proportion to its limit, than another one: the newest
// task of that one is withdrawn and returned as displaced. Without this, the entry that asks most often decides which
// members are served.
func (s *Scheduler[T]) Offer(now time.Time, t *Task[T]) (v OfferResult, displaced *Task[T]) {
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

	bound := s.capacity.maxQueuedTasks
	// A member at its allowance gets half of the queue, so that it cannot shut out the members that could start.
	blocked := !s.withinAllowance(now, t) && t.flow.tasks.Len() > max(1, bound/2)

	switch {
	case k.queuedTasks <= bound && !blocked, s.nextTask(now) == t:
		return Accepted, nil
	case blocked:
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

// Next assigns slots to the queued task that is served next and returns it, or nil if none can start.
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

// Withdraw removes a queued task and tells whether it was queued. A withdrawn task is never returned by Next.
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

// Release returns the slots of a task that Next returned.
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
