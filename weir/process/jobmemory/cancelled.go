package jobmemory

import "time"

const (
	// CancelledAge is how long a cancelled job is remembered, unless a limit says otherwise.
	CancelledAge = time.Minute
	// MaxCancelled is the number of cancelled jobs that are remembered, unless a limit says otherwise: those of 68 cancellations a second.
	MaxCancelled = 4096
)

// Cancelled remembers the jobs that were cancelled. The zero value remembers none yet. It is not safe for concurrent use.
type Cancelled struct {
	limit Limit
	jobs  expiring[struct{}]
}

// SetLimit limits the memory. It is called before the first cancellation is recorded.
func (c *Cancelled) SetLimit(l Limit) { c.limit = l }

func (c *Cancelled) bounds() Limit { return c.limit.or(MaxCancelled, CancelledAge) }

// Cancellation is a job that was cancelled some time ago.
type Cancellation struct {
	id  string
	age time.Duration
}

// NewCancellation returns the cancellation of a job with its age.
func NewCancellation(id string, age time.Duration) Cancellation { return Cancellation{id, max(0, age)} }

// ID returns the id of the job.
func (c Cancellation) ID() string { return c.id }

// Age returns how long ago the job was cancelled.
func (c Cancellation) Age() time.Duration { return c.age }

// Record remembers a cancellation. It returns false if it was known, or is too old.
func (c *Cancelled) Record(n Cancellation, now time.Duration) bool {
	if n.age > c.bounds().maxAge || len(n.id) > maxIDBytes || c.Contains(n.id, now) {
		return false
	}

	c.jobs.add(n.id, struct{}{}, now-n.age, now, c.bounds())

	return true
}

// Contains reports whether a job was cancelled lately.
func (c *Cancelled) Contains(id string, now time.Duration) bool {
	_, ok := c.jobs.get(id, now, c.bounds())

	return ok
}

// All returns the cancellations lately, the oldest first.
func (c *Cancelled) All(now time.Duration) []Cancellation {
	if c.jobs.values == nil {
		return nil
	}

	all := make([]Cancellation, 0, c.jobs.len())

	for _, id := range c.jobs.values.Keys() {
		if found, ok := c.jobs.get(id, now, c.bounds()); ok {
			all = append(all, Cancellation{id, now - found.at})
		}
	}

	return all
}

// Len returns the number of cancellations in memory.
func (c *Cancelled) Len() int { return c.jobs.len() }
