package share

import "container/list"

// flow is the queue of one member in one kind.
type flow[T any] struct {
	kind                   *kind[T]
	name                   string
	member                 *member
	tasks                  list.List
	heldSlots, queuedSlots int
}

func (f *flow[T]) head() *Task[T] {
	t, _ := f.tasks.Front().Value.(*Task[T])
	return t
}

func (s *Scheduler[T]) initMaps() {
	if s.kinds == nil {
		s.kinds = map[string]*kind[T]{}
		s.members = map[string]*member{}
		s.backlogged = map[*kind[T]]struct{}{}
	}
}

func (s *Scheduler[T]) findOrAddMember(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{}
		s.members[name] = m
	}

	return m
}

func (s *Scheduler[T]) enqueue(k *kind[T], m *member, t *Task[T]) {
	f := k.flows[t.member]
	if f == nil {
		f = &flow[T]{kind: k, name: t.member, member: m}
		k.flows[t.member] = f
	}

	s.offerSequence++
	t.sequence = s.offerSequence
	t.flow = f
	t.element = f.tasks.PushBack(t)
	k.queuedTasks++
	f.queuedSlots += t.cores
	m.queuedSlots += t.cores
	k.queuedSlots += t.cores
	s.queuedSlots += t.cores
	s.backlogged[k] = struct{}{}
}

func (s *Scheduler[T]) dequeue(t *Task[T]) {
	k := t.flow.kind
	t.flow.tasks.Remove(t.element)
	t.element = nil
	k.queuedTasks--
	t.flow.queuedSlots -= t.cores
	t.flow.member.queuedSlots -= t.cores
	k.queuedSlots -= t.cores
	s.queuedSlots -= t.cores

	if k.queuedTasks == 0 {
		delete(s.backlogged, k)
	}
}

// detach removes the task from its flow, and deletes the flow, member and kind if nothing refers to them any more.
func (s *Scheduler[T]) detach(t *Task[T]) {
	f := t.flow
	t.flow = nil

	if f.heldSlots > 0 || f.tasks.Len() > 0 {
		return
	}

	delete(f.kind.flows, f.name)

	if f.member.heldSlots == 0 && f.member.limit == 0 && f.member.allowance.Target() == 0 {
		delete(s.members, f.name)
	}

	if !f.kind.configured && len(f.kind.flows) == 0 {
		delete(s.kinds, f.kind.name)
	}
}
