// Package submission defines what a caller submits: a job or a request that a ticket identifies.
package submission

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Submission is a job or a request of a caller. It is immutable; its inputs must not be modified.
type Submission struct {
	// id is the text form of the ticket.
	id     string
	ticket ticket.Ticket
	kind   string
	form   Form
	// inputs holds one input for each task.
	inputs [][]byte
	// cores and memoryMB are the size of each task.
	cores    int
	memoryMB int
	deadline time.Time
	digest   [sha256.Size]byte
}

// New returns a submission with its digest. A nil form counts as a job.
func New(
	id string, t ticket.Ticket, kind string, form Form, inputs [][]byte, cores, memoryMB int, deadline time.Time,
) Submission {
	if form == nil {
		form = Job{}
	}

	s := Submission{
		id: id, ticket: t, kind: kind, form: form, inputs: inputs, cores: cores, memoryMB: memoryMB, deadline: deadline,
	}
	s.digest = s.computeDigest()

	return s
}

// ID returns the text form of the ticket.
func (s Submission) ID() string { return s.id }

// Ticket returns the identity of the submission.
func (s Submission) Ticket() ticket.Ticket { return s.ticket }

// Member returns the member that the ticket was issued for.
func (s Submission) Member() string { return s.ticket.Member() }

// Kind returns the name of the kind of task.
func (s Submission) Kind() string { return s.kind }

// Form returns the form of the submission, which is never nil.
func (s Submission) Form() Form { return s.form }

// Inputs returns one input for each task; the caller must not modify them.
func (s Submission) Inputs() [][]byte { return s.inputs }

// Cores returns the number of slots of each task.
func (s Submission) Cores() int { return s.cores }

// MemoryMB returns the memory of each task in MB.
func (s Submission) MemoryMB() int { return s.memoryMB }

// Deadline returns the time after which no task may start.
func (s Submission) Deadline() time.Time { return s.deadline }

// Digest returns the SHA-256 digest of the body. It does not cover the deadline, so that a resubmission may have a
// different one.
func (s Submission) Digest() [sha256.Size]byte { return s.digest }

func (s Submission) computeDigest() (d [sha256.Size]byte) {
	h := sha256.New()
	// Each part is preceded by its length, so that different bodies never hash the same bytes.
	writePart(h, []byte(s.kind))
	writePart(h, []byte(s.form.name()))
	writeInt(h, s.cores)
	writeInt(h, s.memoryMB)
	writeInt(h, len(s.inputs))

	for _, i := range s.inputs {
		writePart(h, i)
	}

	h.Sum(d[:0])

	return d
}

func writePart(h hash.Hash, part []byte) {
	writeInt(h, len(part))
	h.Write(part)
}

func writeInt(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	h.Write(b[:])
}
