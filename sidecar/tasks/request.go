package tasks

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// ID identifies a start.
type ID struct {
	submission     string
	index, attempt uint32
}

// NewID returns the identity of a start.
func NewID(submission string, index, attempt uint32) ID { return ID{submission, index, attempt} }

// Submission returns the text of the submission's ticket.
func (i ID) Submission() string { return i.submission }

// Index returns the task's place in its submission.
func (i ID) Index() uint32 { return i.index }

// Attempt returns the number of the attempt.
func (i ID) Attempt() uint32 { return i.attempt }

// Wire returns the message form.
func (i ID) Wire() *wire.TaskId {
	w := &wire.TaskId{}
	w.SetSubmission(i.submission)
	w.SetIndex(i.index)
	w.SetAttempt(i.attempt)

	return w
}

// Lease tells whether a start of a lease epoch may still run.
type Lease interface {
	Valid(epoch uint64, now time.Time) bool
}

// Request asks for the start of a task.
type Request struct {
	id              ID
	member, kind    string
	cores, memoryMB int
	deadline        time.Time
	retention       time.Duration
	probe           bool
	input           []byte
	// lease is that of the connection on which the start came.
	lease      Lease
	leaseEpoch uint64
	// refusal is set if the start must not run for a reason outside of the table. It applies to new starts only.
	rejection *Rejected
}

// NewRequest returns a request to run a task until a deadline and to keep its outcome for at least the given time.
func NewRequest(id ID, member, kind string, cores, memoryMB int, deadline time.Time, retention time.Duration, probe bool, input []byte, lease Lease, leaseEpoch uint64) Request {
	return Request{
		id: id, member: member, kind: kind, cores: cores, memoryMB: memoryMB, deadline: deadline, retention: retention,
		probe: probe, input: input, lease: lease, leaseEpoch: leaseEpoch,
	}
}

// Refused returns the request with a reason for which it is rejected, unless the table has its start already.
func (r Request) WithRejection(reason wire.Rejection, message string) Request {
	r.rejection = &Rejected{reason, message}
	return r
}
