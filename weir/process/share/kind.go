package share

// Kind is a kind of task with its share of the worker's slots.
type Kind struct {
	name         string
	sharePercent int
	urgent       bool
}

// NewKind returns a kind that is entitled to a share of the worker's slots.
func NewKind(name string, sharePercent int, urgent bool) Kind {
	return Kind{name, sharePercent, urgent}
}

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// kind is the scheduler's state of a kind of task.
type kind[T any] struct {
	Kind
	// configured is false once the kind has left the agreement.
	configured bool

	heldSlots, queuedSlots, queuedTasks int
	// flows holds, by member, the flows that have queued tasks or hold slots.
	flows map[string]*flow[T]
}

// displacementCandidate returns the newest task of the flow that has the most queued slots in proportion to its
// member's limit, or the offered task if no flow has more than that task's own flow.
func (k *kind[T]) displacementCandidate(offered *Task[T]) *Task[T] {
	largest := offered.flow

	for _, f := range k.flows {
		a, b := usageRatio(f.queuedSlots, f.member.limit), usageRatio(largest.queuedSlots, largest.member.limit)
		if f.queuedSlots > 0 && (a > b || a == b && largest != offered.flow && f.name < largest.name) {
			largest = f
		}
	}

	if largest == offered.flow {
		return offered
	}

	t, _ := largest.tasks.Back().Value.(*Task[T])

	return t
}
