package share

import "time"

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
