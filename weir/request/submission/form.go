package submission

// Form is either Job or Request.
type Form interface {
	// Repeatable tells whether a task that may have run can be started again.
	Repeatable() bool

	name() string
}

// Job is a group of tasks that each start at most once.
type Job struct{}

// Repeatable returns false.
func (Job) Repeatable() bool { return false }

func (Job) name() string { return "job" }

// Request is a single task. The zero value is not repeatable.
type Request struct {
	repeatable bool
}

// NewRequest returns a request.
func NewRequest(repeatable bool) Request { return Request{repeatable} }

// Repeatable tells whether the caller allows a second run.
func (r Request) Repeatable() bool { return r.repeatable }

func (r Request) name() string {
	if r.repeatable {
		return "repeatable request"
	}

	return "request"
}
