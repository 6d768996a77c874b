package backend

import "github.com/skylarkweir/skylarkweir/weir/request/fault"

// Result is the outcome of a call: Completed, Failed or NotStarted. Package delivery decides which of them may be told.
type Result interface{ result() }

// Completed is the result of a call that the backend server answered with a 2xx status.
type Completed struct{ output []byte }

// Failed is the result of a call that may have run and has no output.
type Failed struct {
	// kind is TaskFailed, BackendFailed, DeadlineExceeded or Cancelled.
	kind    fault.Kind
	message string
	// mayRun is true if the call was not answered, so that the backend server may go on running the task.
	mayRun bool
}

// NotStarted is the result of a call that never reached the backend server.
type NotStarted struct{ message string }

// NewCompleted returns a success with the output of the task.
func NewCompleted(output []byte) Completed { return Completed{output} }

// NewFailed returns a failure of a kind that the backend server has answered, with a message that describes it.
func NewFailed(kind fault.Kind, message string) Failed { return Failed{kind: kind, message: message} }

// NewUnanswered returns a failure of a kind without an answer, with a message that describes it.
func NewUnanswered(kind fault.Kind, message string) Failed {
	return Failed{kind: kind, message: message, mayRun: true}
}

// NewNotStarted returns a call that never reached the backend server, with a message that describes why.
func NewNotStarted(message string) NotStarted { return NotStarted{message} }

// Output returns the body of the response.
func (c Completed) Output() []byte { return c.output }

// Kind returns the kind of failure.
func (f Failed) Kind() fault.Kind { return f.kind }

// MayRun reports whether the backend server may go on running the task, since it has not answered the call.
func (f Failed) MayRun() bool { return f.mayRun }

// Message describes the failure.
func (f Failed) Message() string { return f.message }

// Message describes why the backend server was not reached.
func (n NotStarted) Message() string { return n.message }

func (Completed) result()  {}
func (Failed) result()     {}
func (NotStarted) result() {}
