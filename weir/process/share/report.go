package share

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Load returns the held and queued slots of the worker and of each kind that has any.
func (s *Scheduler[T]) Load() *wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.loadSequence++

	l := &wire.Load{}
	l.SetSequence(s.loadSequence)
	l.SetSlots(toUint32(s.capacity.slots))
	l.SetHeldSlots(toUint32(s.heldSlots))
	l.SetQueuedSlots(toUint32(s.queuedSlots))

	var kinds []*wire.KindLoad

	for _, k := range s.kinds {
		if k.heldSlots == 0 && k.queuedTasks == 0 {
			continue
		}

		w := &wire.KindLoad{}
		w.SetKind(k.name)
		w.SetHeldSlots(toUint32(k.heldSlots))
		w.SetQueuedSlots(toUint32(k.queuedSlots))
		w.SetRoom(k.queuedTasks < s.capacity.maxQueuedTasks)
		kinds = append(kinds, w)
	}

	l.SetKinds(kinds)

	return l
}

func toUint32(n int) uint32 { return uint32(max(0, n)) } //nolint:gosec // a count of slots fits into 32 bits

// MemberLoads returns the load of each member, in no particular order.
func (s *Scheduler[T]) MemberLoads(now time.Time) []MemberLoad {
	s.mu.Lock()
	defer s.mu.Unlock()

	out := make([]MemberLoad, 0, len(s.members))
	for name, m := range s.members {
		out = append(out, MemberLoad{
			name, m.heldSlots, m.queuedSlots, m.allowance.At(now, s.capacity.growthDelay), m.allowance.Target(),
		})
	}

	return out
}
