package share

import (
	"container/list"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
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

// Capacity is what a worker has to give. The zero value has no slots.
type Capacity struct {
	slots, memoryMB, queue int
	delay                  time.Duration
}

// NewCapacity returns the capacity of a worker. Memory of zero is not counted. The queue is the bound of tasks for
// each kind; zero means a quarter of the slots, but at least 2. The delay is that of growing allowances.
func NewCapacity(slots, memoryMB, queue int, delay time.Duration) Capacity {
	if queue <= 0 {
		queue = max(2, slots/4)
	}

	return Capacity{slots, memoryMB, queue, delay}
}

// Kind is a kind of work.
type Kind struct {
	name   string
	share  int
	urgent bool
}

// NewKind returns a kind that is entitled to a share in percent of the worker's slots.
func NewKind(name string, share int, urgent bool) Kind { return Kind{name, share, urgent} }

// Member is a member's entitlement at this worker.
type Member struct {
	name             string
	limit, allowance int
}

// NewMember returns a member with its limit over all workers and its allowance at this worker, in slots.
func NewMember(name string, limit, allowance int) Member { return Member{name, limit, allowance} }

// Task is a task that waits for slots or holds them. It belongs to one scheduler. T is the owner's part.
type Task[T any] struct {
	member, kind    string
	cores, memoryMB int
	value           T
	// sequence is the order of offers.
	sequence uint64
	// flow is set while the task is queued or holds slots.
	flow *flow[T]
	// element is set while the task is queued.
	element *list.Element
}

// NewTask returns a task that needs at least one core.
func NewTask[T any](member, kind string, cores, memoryMB int, value T) *Task[T] {
	return &Task[T]{member: member, kind: kind, cores: max(1, cores), memoryMB: max(0, memoryMB), value: value}
}

// Value returns the owner's part.
func (t *Task[T]) Value() T { return t.value }

// Cores returns the number of slots that the task needs.
func (t *Task[T]) Cores() int { return t.cores }

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

// kind is the state of a kind of work.
type kind[T any] struct {
	Kind
	// known is false once the kind has left the agreement.
	known bool
	// held and queued count slots, length counts queued tasks.
	held, queued, length int
	// flows are the members that have queued tasks or hold slots in this kind.
	flows map[string]*flow[T]
}

// member is the state of a member.
type member struct {
	limit     int
	allowance Allowance
	held      int
}

// flow is the queue of one member in one kind.
type flow[T any] struct {
	kind   *kind[T]
	name   string
	member *member
	tasks  list.List
	// held and queued count slots.
	held, queued int
}

func (f *flow[T]) head() *Task[T] {
	t, _ := f.tasks.Front().Value.(*Task[T])
	return t
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
		state.allowance.Set(now, c.delay, m.allowance)
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

// newest returns the newest task of the flow that has the most queued in proportion to its member's limit, or the
// offered task if no flow has more than the one of that.
func (k *kind[T]) newest(offered *Task[T]) *Task[T] {
	most := offered.flow

	for _, f := range k.flows {
		a, b := ratio(f.queued, f.member.limit), ratio(most.queued, most.member.limit)
		if f.queued > 0 && (a > b || a == b && most != offered.flow && f.name < most.name) {
			most = f
		}
	}

	if most == offered.flow {
		return offered
	}

	t, _ := most.tasks.Back().Value.(*Task[T])

	return t
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

// Load reports held and queued slots, with the kinds that hold or queue something.
func (s *Scheduler[T]) Load() *wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.reports++

	l := &wire.Load{}
	l.SetSequence(s.reports)
	l.SetSlots(number(s.capacity.slots))
	l.SetHeldSlots(number(s.held))
	l.SetQueuedSlots(number(s.queued))

	var kinds []*wire.KindLoad

	for _, k := range s.kinds {
		if k.held == 0 && k.length == 0 {
			continue
		}

		w := &wire.KindLoad{}
		w.SetKind(k.name)
		w.SetHeldSlots(number(k.held))
		w.SetQueuedSlots(number(k.queued))
		w.SetRoom(k.length < s.capacity.queue)
		kinds = append(kinds, w)
	}

	l.SetKinds(kinds)

	return l
}

// number converts a count, which is never negative.
func number(n int) uint32 { return uint32(max(0, n)) } //nolint:gosec // counts of slots are small

// MemberLoad is what a member holds and may hold at this worker, in slots.
type MemberLoad struct {
	name                    string
	held, allowance, target int
}

// Name returns the member.
func (m MemberLoad) Name() string { return m.name }

// Held returns the slots that the member holds.
func (m MemberLoad) Held() int { return m.held }

// Allowance returns the slots that the member may hold now.
func (m MemberLoad) Allowance() int { return m.allowance }

// Target returns the slots that the member may hold once the delay has passed.
func (m MemberLoad) Target() int { return m.target }

// Members reports what each member holds and may hold.
func (s *Scheduler[T]) Members(now time.Time) []MemberLoad {
	s.mu.Lock()
	defer s.mu.Unlock()

	out := make([]MemberLoad, 0, len(s.members))
	for name, m := range s.members {
		out = append(out, MemberLoad{name, m.held, m.allowance.At(now, s.capacity.delay), m.allowance.Target()})
	}

	return out
}

// pick returns the queued task that is served next. If the first in order needs more slots than are free, none is
// served: letting smaller tasks pass would starve large ones, and the tasks are short.
func (s *Scheduler[T]) pick(now time.Time) *Task[T] {
	var best *flow[T]

	for k := range s.active {
		f := s.pickFlow(now, k)
		if f != nil && (best == nil || s.before(f, best)) {
			best = f
		}
	}

	if best == nil {
		return nil
	}

	t := best.head()
	if t.cores > s.capacity.slots-s.held || s.capacity.memoryMB > 0 && t.memoryMB > s.capacity.memoryMB-s.heldMB {
		return nil
	}

	return t
}

// pickFlow returns the flow of a kind whose member holds the fewest slots in proportion to its limit, among those
// that their allowance lets start.
func (s *Scheduler[T]) pickFlow(now time.Time, k *kind[T]) *flow[T] {
	var best *flow[T]

	for _, f := range k.flows {
		if f.tasks.Len() == 0 || !s.allowed(now, f.head()) {
			continue
		}

		if best == nil {
			best = f
			continue
		}

		a, b := ratio(f.member.held, f.member.limit), ratio(best.member.held, best.member.limit)
		if a < b || a == b && f.head().sequence < best.head().sequence {
			best = f
		}
	}

	return best
}

// before tells whether a's kind is served before b's.
func (s *Scheduler[T]) before(a, b *flow[T]) bool {
	ca, cb := s.class(a.kind), s.class(b.kind)
	if ca != cb {
		return ca < cb
	}

	ra, rb := ratio(a.kind.held, a.kind.share), ratio(b.kind.held, b.kind.share)
	if ra != rb {
		return ra < rb
	}

	return a.head().sequence < b.head().sequence
}

// class orders kinds: urgent below its share, others below their share, spare capacity.
func (s *Scheduler[T]) class(k *kind[T]) int {
	switch below := k.held*100 < k.share*s.capacity.slots; {
	case below && k.urgent:
		return 1
	case below:
		return 2
	default:
		return 3
	}
}

// ratio returns held slots in proportion to an entitlement; nothing entitled counts as very little.
func ratio(held, entitled int) float64 {
	if entitled <= 0 {
		return float64(held+1) * 1e6
	}

	return float64(held) / float64(entitled)
}

func (s *Scheduler[T]) allowed(now time.Time, t *Task[T]) bool {
	m := t.flow.member
	return m.held+t.cores <= m.allowance.At(now, s.capacity.delay)
}

func (s *Scheduler[T]) fits(t *Task[T]) bool {
	return t.cores <= s.capacity.slots && (s.capacity.memoryMB == 0 || t.memoryMB <= s.capacity.memoryMB)
}

func (s *Scheduler[T]) prepare() {
	if s.kinds == nil {
		s.kinds = map[string]*kind[T]{}
		s.members = map[string]*member{}
		s.active = map[*kind[T]]struct{}{}
	}
}

func (s *Scheduler[T]) member(name string) *member {
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

	s.sequence++
	t.sequence = s.sequence
	t.flow = f
	t.element = f.tasks.PushBack(t)
	k.length++
	f.queued += t.cores
	k.queued += t.cores
	s.queued += t.cores
	s.active[k] = struct{}{}
}

func (s *Scheduler[T]) dequeue(t *Task[T]) {
	k := t.flow.kind
	t.flow.tasks.Remove(t.element)
	t.element = nil
	k.length--
	t.flow.queued -= t.cores
	k.queued -= t.cores
	s.queued -= t.cores

	if k.length == 0 {
		delete(s.active, k)
	}
}

// forget ends the task's part in its flow, and the flow, member and kind if nothing refers to them any more.
func (s *Scheduler[T]) forget(t *Task[T]) {
	f := t.flow
	t.flow = nil

	if f.held > 0 || f.tasks.Len() > 0 {
		return
	}

	delete(f.kind.flows, f.name)

	if f.member.held == 0 && f.member.limit == 0 && f.member.allowance.Target() == 0 {
		delete(s.members, f.name)
	}

	if !f.kind.known && len(f.kind.flows) == 0 {
		delete(s.kinds, f.kind.name)
	}
}

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// Name returns the member's name.
func (m Member) Name() string { return m.name }
