package waitqueue

// kind holds the flows of one kind of work.
type kind[T any] struct {
	name string
	// share is in percent, and at least 1.
	sharePercent int
	urgent       bool
	waitingTasks int
	heldSlots    int
	flows        []*Flow[T]
}

// next returns the flow of the member that holds the least in proportion to its limit.
func (k *kind[T]) nextFlow(pass uint64) *Flow[T] {
	var best *Flow[T]

	for _, f := range k.flows {
		if f.first == nil || f.skippedInPass == pass || f.member.saturated() {
			continue
		}

		if best == nil || f.heldSlots*best.member.limitSlots < best.heldSlots*f.member.limitSlots {
			best = f
		}
	}

	return best
}

// find returns the flow of the member, or nil.
func (k *kind[T]) findFlow(m *member) *Flow[T] {
	for _, f := range k.flows {
		if f.member == m {
			return f
		}
	}

	return nil
}
