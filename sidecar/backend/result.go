package backend

import "github.com/skylarkweir/skylarkweir/weir/request/fault"

// Result is what became of a call: Completed, Failed or NotStarted.
type Result interface{ result() }

// Completed is a successful call.
type Completed struct{ output []byte }

// Failed is a call that may have run and has no output.
type Failed struct {
	// kind is TaskFailed, BackendFailed, DeadlineExceeded or Cancelled.
	kind    fault.Kind
	message string
}

// NotStarted is a call that never reached the backend server.
type NotStarted struct{ message string }

// NewCompleted returns a success.
func NewCompleted(output []byte) Completed { return Completed{output} }

// NewFailed returns a failure of a kind.
func NewFailed(kind fault.Kind, message string) Failed { return Failed{kind, message} }

// NewNotStarted returns a call that never reached the backend server.
func NewNotStarted(message string) NotStarted { return NotStarted{message} }

// Output returns the body of the answer.
func (c Completed) Output() []byte { return c.output }

// Kind returns the kind of failure.
func (f Failed) Kind() fault.Kind { return f.kind }

// Message describes the failure.
func (f Failed) Message() string { return f.message }

// Message describes why the backend server was not reached.
func (n NotStarted) Message() string { return n.message }

func (Completed) result()  {}
func (Failed) result()     {}
func (NotStarted) result() {}
