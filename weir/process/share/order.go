package share

import "time"

// nextTask returns the queued task to start next, or nil. If the first task in order needs more slots or memory than
// are free, none starts: smaller tasks that overtake it would starve large ones, and since tasks are short, so is the
// wait.
func (s *Scheduler[T]) nextTask(now time.Time) *Task[T] {
	var best *flow[T]

	for k := range s.backlogged {
		f := s.nextFlow(now, k)
		if f != nil && (best == nil || s.servedBefore(f, best)) {
			best = f
		}
	}

	if best == nil {
		return nil
	}

	t := best.head()
	if t.cores > s.capacity.slots-s.heldSlots ||
		s.capacity.memoryMB > 0 && t.memoryMB > s.capacity.memoryMB-s.heldMemoryMB {
		return nil
	}

	return t
}

// nextFlow returns the flow of a kind whose member holds the fewest slots in proportion to its limit, among the flows
// whose first task is within the member's allowance.
func (s *Scheduler[T]) nextFlow(now time.Time, k *kind[T]) *flow[T] {
	var best *flow[T]

	for _, f := range k.flows {
		if f.tasks.Len() == 0 || !s.withinAllowance(now, f.head()) {
			continue
		}

		if best == nil {
			best = f
			continue
		}

		a, b := usageRatio(f.member.heldSlots, f.member.limit), usageRatio(best.member.heldSlots, best.member.limit)
		if a < b || a == b && f.head().sequence < best.head().sequence {
			best = f
		}
	}

	return best
}

// servedBefore reports whether a's kind is served before b's: by priority class, then by the ratio of held slots to
// share, then by the order of offers.
func (s *Scheduler[T]) servedBefore(a, b *flow[T]) bool {
	ca, cb := s.priorityClass(a.kind), s.priorityClass(b.kind)
	if ca != cb {
		return ca < cb
	}

	ra, rb := usageRatio(a.kind.heldSlots, a.kind.sharePercent), usageRatio(b.kind.heldSlots, b.kind.sharePercent)
	if ra != rb {
		return ra < rb
	}

	return a.head().sequence < b.head().sequence
}

// priorityClass returns 1 for an urgent kind below its share, 2 for another kind below its share, and 3 for a kind that
// uses spare capacity.
func (s *Scheduler[T]) priorityClass(k *kind[T]) int {
	switch belowShare := k.heldSlots*100 < k.sharePercent*s.capacity.slots; {
	case belowShare && k.urgent:
		return 1
	case belowShare:
		return 2
	default:
		return 3
	}
}

// usageRatio returns held slots in proportion to an entitlement. Without an entitlement the ratio is at least one
// million, so that its owner is served last.
func usageRatio(held, entitled int) float64 {
	if entitled <= 0 {
		return float64(held+1) * 1e6
	}

	return float64(held) / float64(entitled)
}

func (s *Scheduler[T]) withinAllowance(now time.Time, t *Task[T]) bool {
	m := t.flow.member
	return m.heldSlots+t.cores <= m.allowance.At(now, s.capacity.growthDelay)
}

func (s *Scheduler[T]) fitsWorker(t *Task[T]) bool {
	return t.cores <= s.capacity.slots && (s.capacity.memoryMB == 0 || t.memoryMB <= s.capacity.memoryMB)
}
