package scenario

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// countChange is a change of the number of running tasks: +1 when a task begins, -1 when it ends.
type countChange struct {
	time  time.Time
	delta int
}

// PeakConcurrency returns the largest number of tasks of a kind that ran at the same moment between two times. A task
// without an end counts as running until the second time.
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

	// At equal times ends are counted first, since a slot is released before it is used again.
	slices.SortFunc(changes, func(a, b countChange) int {
		return cmp.Or(a.time.Compare(b.time), cmp.Compare(a.delta, b.delta))
	})

	running, peak := 0, 0
	for _, c := range changes {
		running += c.delta
		peak = max(peak, running)
	}

	return peak
}
