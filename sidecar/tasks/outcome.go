package tasks

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Outcome is the result of a start: Completed, Failed or Rejected.
type Outcome interface{ outcome() }

// Completed is the outcome of a task that returned an output.
type Completed struct {
	output             []byte
	digest             [32]byte
	runTime, queueTime time.Duration
}

// Failed is the outcome of a task that was started and returned no output.
type Failed struct {
	kind    fault.Kind
	message string
	runTime time.Duration
}

// Rejected is the outcome of a start whose task has not run and will not run.
type Rejected struct {
	reason  wire.Rejection
	message string
}

// Output returns the output of the task.
func (c Completed) Output() []byte { return c.output }

// Kind returns the kind of the failure.
func (f Failed) Kind() fault.Kind { return f.kind }

// Message returns a description of the failure.
func (f Failed) Message() string { return f.message }

// Reason returns the reason code of the rejection.
func (r Rejected) Reason() wire.Rejection { return r.reason }

// Message returns a description of the rejection.
func (r Rejected) Message() string { return r.message }

func (Completed) outcome() {}
func (Failed) outcome()    {}
func (Rejected) outcome()  {}

// NewStartReply returns the reply to a start, with the load of the worker.
func NewStartReply(id ID, o Outcome, load *wire.Load) *wire.StartReply {
	w := &wire.StartReply{}
	w.SetId(id.Wire())
	w.SetLoad(load)

	switch o := o.(type) {
	case Completed:
		c := &wire.Completed{}
		c.SetOutput(o.output)
		c.SetDigest(o.digest[:])
		c.SetRunUs(o.runTime.Microseconds())
		c.SetQueuedUs(o.queueTime.Microseconds())
		w.SetCompleted(c)
	case Failed:
		f := &wire.Failed{}
		f.SetCode(o.kind.Code())
		f.SetMessage(o.message)
		f.SetRunUs(o.runTime.Microseconds())
		w.SetFailed(f)
	case Rejected:
		r := &wire.Rejected{}
		r.SetReason(o.reason)
		r.SetMessage(o.message)
		w.SetRejected(r)
	}

	return w
}
