// Package submission holds what a caller submits: a job or a request under a ticket.
package submission

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Submission is immutable; its inputs must not be changed by anyone.
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

// New returns a submission and computes its digest. A nil form is a job.
func New(id string, t ticket.Ticket, kind string, form Form, inputs [][]byte, cores, memoryMB int, deadline time.Time) Submission {
	if form == nil {
		form = Job{}
	}

	s := Submission{id: id, ticket: t, kind: kind, form: form, inputs: inputs, cores: cores, memoryMB: memoryMB, deadline: deadline}
	s.digest = s.computeDigest()

	return s
}

// ID returns the text form of the ticket.
func (s Submission) ID() string { return s.id }

// Ticket returns the identity of the submission.
func (s Submission) Ticket() ticket.Ticket { return s.ticket }

// Member returns the member that the ticket was issued for.
func (s Submission) Member() string { return s.ticket.Member() }

// Kind returns the kind of work.
func (s Submission) Kind() string { return s.kind }

// Form returns whether this is a job or a request.
func (s Submission) Form() Form { return s.form }

// Inputs returns one input for each task; the caller must not change them.
func (s Submission) Inputs() [][]byte { return s.inputs }

// Cores returns the number of slots of each task.
func (s Submission) Cores() int { return s.cores }

// MemoryMB returns the memory of each task.
func (s Submission) MemoryMB() int { return s.memoryMB }

// Deadline returns the time after which no task may start.
func (s Submission) Deadline() time.Time { return s.deadline }

// Digest identifies the body. The deadline is left out, so that a resubmission may state another one.
func (s Submission) Digest() [sha256.Size]byte { return s.digest }

func (s Submission) computeDigest() (d [sha256.Size]byte) {
	h := sha256.New()
	// Each part is preceded by its length, so that no two bodies give the same bytes.
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
