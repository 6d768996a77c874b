package submission

// Form is the form of a submission, either Job or Request.
type Form interface {
	// Repeatable reports whether a task that may have run already can be started again.
	Repeatable() bool

	name() string
}

// Job is a group of tasks, each of which is started at most once.
type Job struct{}

// Repeatable returns false, since a task of a job is started at most once.
func (Job) Repeatable() bool { return false }

func (Job) name() string { return "job" }

// Request is a single task. The zero value is not repeatable.
type Request struct {
	repeatable bool
}

// NewRequest returns a request.
func NewRequest(repeatable bool) Request { return Request{repeatable} }

// Repeatable reports whether the caller allows the task to run more than once.
func (r Request) Repeatable() bool { return r.repeatable }

func (r Request) name() string {
	if r.repeatable {
		return "repeatable request"
	}

	return "request"
}
