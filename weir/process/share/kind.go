package share

// Kind is a kind of work.
type Kind struct {
	name         string
	sharePercent int
	urgent       bool
}

// NewKind returns a kind that is entitled to a share in percent of the worker's slots.
func NewKind(name string, share int, urgent bool) Kind { return Kind{name, share, urgent} }

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// kind is the state of a kind of work.
type kind[T any] struct {
	Kind
	// known is false once the kind has left the agreement.
	configured bool
	// held and queued count slots, length counts queued tasks.
	heldSlots, queuedSlots, queuedTasks int
	// flows are the members that have queued tasks or hold slots in this kind.
	flows map[string]*flow[T]
}

// newest returns the newest task of the flow that has the most queued in proportion to its member's limit, or the
// offered task if no flow has more than the one of that.
func (k *kind[T]) displacementCandidate(offered *Task[T]) *Task[T] {
	most := offered.flow

	for _, f := range k.flows {
		a, b := usageRatio(f.queuedSlots, f.member.limit), usageRatio(most.queuedSlots, most.member.limit)
		if f.queuedSlots > 0 && (a > b || a == b && most != offered.flow && f.name < most.name) {
			most = f
		}
	}

	if most == offered.flow {
		return offered
	}

	t, _ := most.tasks.Back().Value.(*Task[T])

	return t
}
