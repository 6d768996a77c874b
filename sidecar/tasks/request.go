package tasks

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// ID identifies a start: one attempt of one task of a submission.
type ID struct {
	submission     string
	index, attempt uint32
}

// NewID returns the ID of an attempt of the task with an index in a submission.
func NewID(submission string, index, attempt uint32) ID { return ID{submission, index, attempt} }

// Submission returns the text of the submission's ticket.
func (i ID) Submission() string { return i.submission }

// Index returns the index of the task in its submission.
func (i ID) Index() uint32 { return i.index }

// Attempt returns the number of the attempt.
func (i ID) Attempt() uint32 { return i.attempt }

// Wire returns the ID as a message.
func (i ID) Wire() *wire.TaskId {
	w := &wire.TaskId{}
	w.SetSubmission(i.submission)
	w.SetIndex(i.index)
	w.SetAttempt(i.attempt)

	return w
}

// Lease reports whether a start of a lease epoch may still run.
type Lease interface {
	Valid(epoch uint64, now time.Duration) bool
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
	// lease is that of the connection on which the start was received.
	lease      Lease
	leaseEpoch uint64
	// rejection is set if the start must not run for a reason that the caller found. It applies to new starts only.
	rejection *Rejected
}

// NewRequest returns a request to run a task until a deadline and to keep its outcome for at least the retention.
func NewRequest(
	id ID, member, kind string, cores, memoryMB int, deadline time.Time, retention time.Duration, probe bool,
	input []byte, lease Lease, leaseEpoch uint64,
) Request {
	return Request{
		id: id, member: member, kind: kind, cores: cores, memoryMB: memoryMB, deadline: deadline, retention: retention,
		probe: probe, input: input, lease: lease, leaseEpoch: leaseEpoch,
	}
}

// WithRejection returns a copy of the request that the table rejects, unless it already has the start.
func (r Request) WithRejection(reason wire.Rejection, message string) Request {
	r.rejection = &Rejected{reason, message}
	return r
}
