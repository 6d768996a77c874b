package waitqueue

// kind holds the flows of one kind of work.
type kind[T any] struct {
	name string
	// share is in percent, and at least 1.
	share  int
	urgent bool
	tasks  int
	held   int
	flows  []*Flow[T]
}

// next returns the flow of the member that holds the least in proportion to its limit.
func (k *kind[T]) next(pass uint64) *Flow[T] {
	var best *Flow[T]

	for _, f := range k.flows {
		if f.first == nil || f.skipped == pass || f.member.full() {
			continue
		}

		if best == nil || f.held*best.member.limit < best.held*f.member.limit {
			best = f
		}
	}

	return best
}

// find returns the flow of the member, or nil.
func (k *kind[T]) find(m *member) *Flow[T] {
	for _, f := range k.flows {
		if f.member == m {
			return f
		}
	}

	return nil
}
