package submission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against a reused ticket with another body that passes as a resubmission.
func TestDigestDistinguishesBodies(t *testing.T) {
	is := is.New(t)
	deadline := time.Unix(1, 0)
	b := func(parts ...string) (inputs [][]byte) {
		for _, p := range parts {
			inputs = append(inputs, []byte(p))
		}

		return inputs
	}

	base := submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("x", "yz"), 1, 64, deadline)
	for _, other := range []submission.Submission{
		submission.New("a", ticket.Ticket{}, "check", submission.Job{}, b("x", "yz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.NewRequest(false), b("x", "yz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.NewRequest(true), b("x", "yz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("xy", "z"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("xyz"), 1, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("x", "yz"), 2, 64, deadline),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("x", "yz"), 1, 65, deadline),
	} {
		is.True(other.Digest() != base.Digest())
	}

	later := submission.New("b", ticket.Ticket{}, "scan", nil, b("x", "yz"), 1, 64, deadline.Add(time.Second))
	is.Equal(later.Digest(), base.Digest())
}
