package backend

import "time"

// Call is one task as the backend server sees it. It is immutable.
type Call struct {
	submission     string
	index, attempt uint32
	kind           string
	deadline       time.Time
	input          []byte
}

// NewCall returns a call.
func NewCall(submission string, index, attempt uint32, kind string, deadline time.Time, input []byte) Call {
	return Call{submission, index, attempt, kind, deadline, input}
}

// Submission returns the text of the submission's ticket.
func (c Call) Submission() string { return c.submission }

// Index returns the task's place in its submission.
func (c Call) Index() uint32 { return c.index }

// Attempt returns the number of the attempt.
func (c Call) Attempt() uint32 { return c.attempt }

// Kind returns the kind of work.
func (c Call) Kind() string { return c.kind }

// Deadline returns the time after which the result is of no use.
func (c Call) Deadline() time.Time { return c.deadline }

// Input returns the task's input.
func (c Call) Input() []byte { return c.input }
