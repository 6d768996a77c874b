package jobmemory

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// EndedAge is how long the outcome of a job that has ended is remembered, unless a limit says otherwise.
	EndedAge = 15 * time.Second
	// MaxEnded is the number of outcomes that are remembered, unless a limit says otherwise: those of 500 jobs a second.
	MaxEnded = 8192
)

// Ended remembers the outcomes of jobs that have completed or failed. The zero value remembers none yet. It is not safe for
// concurrent use.
type Ended struct {
	limit    Limit
	outcomes expiring[job.Outcome]
}

// SetLimit limits the memory. It is called before the first outcome is recorded.
func (e *Ended) SetLimit(l Limit) { e.limit = l }

func (e *Ended) bounds() Limit { return e.limit.or(MaxEnded, EndedAge) }

// Record remembers the outcome of a job if a copy of its submission is to get it: that of a job that was refused or
// interrupted may run.
func (e *Ended) Record(id string, o job.Outcome, now time.Duration) {
	switch o.(type) {
	case job.Completed, job.Failed:
		e.outcomes.add(id, o, now, now, e.bounds())
	default:
	}
}

// Outcome returns the outcome of a job that has ended lately.
func (e *Ended) Outcome(id string, now time.Duration) (job.Outcome, bool) {
	found, ok := e.outcomes.get(id, now, e.bounds())

	return found.value, ok
}

// Len returns the number of outcomes in memory.
func (e *Ended) Len() int { return e.outcomes.len() }
