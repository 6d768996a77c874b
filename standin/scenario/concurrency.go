package scenario

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// edge is the begin or the end of a task.
type countChange struct {
	time  time.Time
	delta int
}

// Peak returns the largest number of tasks of a kind that ran at the same moment between two times. A task without an
// end counts as running until the second time.
func PeakConcurrency(starts []cluster.TaskStart, kind string, from, to time.Time) int {
	var changes []countChange

	for _, s := range starts {
		end := s.End()
		if end.IsZero() || end.After(to) {
			end = to
		}

		begin := s.Begin()
		if begin.Before(from) {
			begin = from
		}

		if s.Kind() == kind && begin.Before(end) {
			changes = append(changes, countChange{begin, 1}, countChange{end, -1})
		}
	}

	// At the same time ends go first: the slot is given back before it is taken again.
	slices.SortFunc(changes, func(a, b countChange) int { return cmp.Or(a.time.Compare(b.time), cmp.Compare(a.delta, b.delta)) })

	running, peak := 0, 0
	for _, e := range changes {
		running += e.delta
		peak = max(peak, running)
	}

	return peak
}
