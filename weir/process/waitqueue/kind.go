package waitqueue

// kind holds the flows of one kind of task.
type kind[T any] struct {
	name string
	// sharePercent is at least 1.
	sharePercent int
	urgent       bool
	waitingTasks int
	heldSlots    int
	flows        []*Flow[T]
}

// nextFlow returns the flow of the member that holds the fewest slots of the kind in proportion to its limit, or nil.
// It ignores the flows that are empty or were skipped in the pass, and those of saturated members.
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

// findFlow returns the flow of the member, or nil.
func (k *kind[T]) findFlow(m *member) *Flow[T] {
	for _, f := range k.flows {
		if f.member == m {
			return f
		}
	}

	return nil
}
