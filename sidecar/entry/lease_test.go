package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/entry"
)

// Guards against a start that is read late from a broken connection and runs after its repetition on the next
// connection was rejected, so that the task was placed elsewhere.
func TestRevokedLeaseIsNeverGrantedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()

	var l entry.Lease

	epoch := l.Send(1, now)
	l.Acknowledge(1, epoch, now)
	is.True(l.Valid(epoch, now))

	l.Revoke()
	is.True(!l.Valid(epoch, now))

	l.Send(2, now)
	l.Acknowledge(2, epoch, now)
	is.True(!l.Valid(epoch, now)) // a late acknowledgement
}

// Guards against starts that were buffered while the process was stopped: the lapse shows at the first check.
func TestLapsedEpochStaysInvalid(t *testing.T) {
	is := is.New(t)
	now := time.Now()

	var l entry.Lease

	first := l.Send(1, now)
	l.Acknowledge(1, first, now)

	later := now.Add(entry.LeaseTime)
	is.True(!l.Valid(first, later))

	second := l.Send(2, later)
	l.Acknowledge(2, second, later)
	is.True(second != first)
	is.True(!l.Valid(first, later)) // the old epoch
	is.True(l.Valid(second, later))
}
