package share

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

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

// Members reports what each member holds and may hold.
func (s *Scheduler[T]) Members(now time.Time) []MemberLoad {
	s.mu.Lock()
	defer s.mu.Unlock()

	out := make([]MemberLoad, 0, len(s.members))
	for name, m := range s.members {
		out = append(out, MemberLoad{name, m.held, m.queued, m.allowance.At(now, s.capacity.delay), m.allowance.Target()})
	}

	return out
}
