package submission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against a submission that reuses a ticket with a different body and is accepted as a resubmission. This happens
// if the digest does not cover a part of the body or the boundaries between inputs.
func TestDigestDistinguishesBodies(t *testing.T) {
	is := is.New(t)
	deadline := time.Unix(1, 0)
	inputsOf := func(parts ...string) (inputs [][]byte) {
		for _, p := range parts {
			inputs = append(inputs, []byte(p))
		}

		return inputs
	}

	base := submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, inputsOf("x", "yz"), 1, 64, deadline)
	for _, other := range []submission.Submission{
		submission.New("a", ticket.Ticket{}, "check", submission.Job{}, inputsOf("x", "yz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.NewRequest(false), inputsOf("x", "yz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.NewRequest(true), inputsOf("x", "yz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, inputsOf("xy", "z"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, inputsOf("xyz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, inputsOf("x", "yz"), 2, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, inputsOf("x", "yz"), 1, 65, deadline),
	} {
		is.True(other.Digest() != base.Digest())
	}

	later := submission.New("b", ticket.Ticket{}, "scan", nil, inputsOf("x", "yz"), 1, 64, deadline.Add(time.Second))
	is.Equal(later.Digest(), base.Digest())
}
