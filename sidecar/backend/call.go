package backend

import "time"

// Call is the request to run one attempt of a task at the backend server. It is immutable.
type Call struct {
	submission     string
	index, attempt uint32
	kind           string
	deadline       time.Time
	input          []byte
}

// NewCall returns a call of one attempt.
func NewCall(submission string, index, attempt uint32, kind string, deadline time.Time, input []byte) Call {
	return Call{submission, index, attempt, kind, deadline, input}
}

// Submission returns the submission's ticket in text form.
func (c Call) Submission() string { return c.submission }

// Index returns the position of the task in its submission.
func (c Call) Index() uint32 { return c.index }

// Attempt returns the number of this attempt to run the task.
func (c Call) Attempt() uint32 { return c.attempt }

// Kind returns the task's kind, which is part of the request path.
func (c Call) Kind() string { return c.kind }

// Deadline returns the time at which the call is cancelled, since its result is of no use afterwards.
func (c Call) Deadline() time.Time { return c.deadline }

// Input returns the task's input, which is the body of the request.
func (c Call) Input() []byte { return c.input }
