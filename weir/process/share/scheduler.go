package share

import (
	"sync"
	"time"
)

// Verdict is the scheduler's answer to an offered task.
type Verdict int

// Verdicts.
const (
	// Accepted means that the task is queued; Next returns it when slots are assigned to it.
	Accepted Verdict = iota
	// Full means that the queue of the kind has no room for the task.
	Full
	// NotAllowed means that the member's allowance in force at this worker is smaller than the task. Such a task is not
	// queued: an allowance that is to grow takes longer than other workers need to run the task.
	NotAllowed
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
	active               map[*kind[T]]struct{}
	held, heldMB, queued int
	sequence, reports    uint64
}

// Configure sets the capacity, kinds and members, and returns the queued tasks that can't run here any more, or only
// once an allowance has grown. Those are withdrawn. Tasks that hold slots are not stopped.
func (s *Scheduler[T]) Configure(now time.Time, c Capacity, kinds []Kind, members []Member) []*Task[T] {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.capacity = c
	s.prepare()

	for _, k := range s.kinds {
		k.known = false
	}

	for _, k := range kinds {
		state := s.kinds[k.name]
		if state == nil {
			state = &kind[T]{flows: map[string]*flow[T]{}}
			s.kinds[k.name] = state
		}

		state.Kind, state.known = k, true
	}

	named := make(map[string]bool, len(members))

	for _, m := range members {
		named[m.name] = true
		state := s.member(m.name)
		state.limit = m.limit

		if m.unlimited {
			state.allowance.Jump(now, m.allowance)
		} else {
			state.allowance.Set(now, c.delay, m.allowance)
		}
	}

	for name, m := range s.members {
		if !named[name] {
			m.limit = 0
			m.allowance.Set(now, c.delay, 0)
		}
	}

	return s.expel(now)
}

// expel withdraws the tasks that can no longer run here.
func (s *Scheduler[T]) expel(now time.Time) []*Task[T] {
	var out []*Task[T]

	for k := range s.active {
		for _, f := range k.flows {
			for e := f.tasks.Front(); e != nil; {
				t, _ := e.Value.(*Task[T])
				e = e.Next()

				if !k.known || t.cores > f.member.allowance.At(now, s.capacity.delay) || !s.fits(t) {
					s.dequeue(t)
					s.forget(t)

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
func (s *Scheduler[T]) Offer(now time.Time, t *Task[T]) (v Verdict, displaced *Task[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()

	k := s.kinds[t.kind]

	switch {
	case k == nil || !k.known:
		return UnknownKind, nil
	case !s.fits(t):
		return TooLarge, nil
	}

	m := s.members[t.member]
	if m == nil || t.cores > m.allowance.At(now, s.capacity.delay) {
		return NotAllowed, nil
	}

	s.enqueue(k, m, t)

	bound := s.capacity.queue
	// A member at its allowance gets half of the queue, so that it cannot shut out the members that could start.
	blocked := !s.allowed(now, t) && t.flow.tasks.Len() > max(1, bound/2)

	switch {
	case k.length <= bound && !blocked, s.pick(now) == t:
		return Accepted, nil
	case blocked:
		displaced = t
	default:
		displaced = k.newest(t)
	}

	s.dequeue(displaced)
	s.forget(displaced)

	if displaced == t {
		return Full, nil
	}

	return Accepted, displaced
}

// Next assigns slots to the queued task that is served next and returns it, or nil if none can start.
func (s *Scheduler[T]) Next(now time.Time) *Task[T] {
	s.mu.Lock()
	defer s.mu.Unlock()

	t := s.pick(now)
	if t == nil {
		return nil
	}

	s.dequeue(t)

	f := t.flow
	f.held += t.cores
	f.kind.held += t.cores
	f.member.held += t.cores
	s.held += t.cores
	s.heldMB += t.memoryMB

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
	s.forget(t)

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

	f.held -= t.cores
	f.kind.held -= t.cores
	f.member.held -= t.cores
	s.held -= t.cores
	s.heldMB -= t.memoryMB
	s.forget(t)
}
