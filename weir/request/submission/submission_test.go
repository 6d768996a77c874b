package submission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against a reused ticket with another body that passes as a resubmission.
func TestDigestTellsBodiesApart(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1, 0)
	b := func(parts ...string) (inputs [][]byte) {
		for _, p := range parts {
			inputs = append(inputs, []byte(p))
		}

		return inputs
	}

	base := submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("x", "yz"), 1, 64, at)
	for _, other := range []submission.Submission{
		submission.New("a", ticket.Ticket{}, "check", submission.Job{}, b("x", "yz"), 1, 64, at),
		submission.New("a", ticket.Ticket{}, "scan", submission.NewRequest(false), b("x", "yz"), 1, 64, at),
		submission.New("a", ticket.Ticket{}, "scan", submission.NewRequest(true), b("x", "yz"), 1, 64, at),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("xy", "z"), 1, 64, at),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("xyz"), 1, 64, at),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("x", "yz"), 2, 64, at),
		submission.New("a", ticket.Ticket{}, "scan", submission.Job{}, b("x", "yz"), 1, 65, at),
	} {
		is.True(other.Digest() != base.Digest())
	}

	later := submission.New("b", ticket.Ticket{}, "scan", nil, b("x", "yz"), 1, 64, at.Add(time.Second))
	is.Equal(later.Digest(), base.Digest())
}
