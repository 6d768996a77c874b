package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/entry"
)

// Guards against starts that run late after a stop of the process, in which frames were buffered: starts of the old
// epoch, and acknowledgements that would revive it.
func TestLeaseAfterStop(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	after := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }

	var l entry.Lease

	old := l.RecordHeartbeat(1, after(0))
	is.True(!l.Valid(old, after(0.5))) // nothing was acknowledged yet
	l.Acknowledge(1, old, after(1))
	is.True(l.Valid(old, after(2.9)))

	is.Equal(l.RecordHeartbeat(2, after(1)), old)

	// The process is stopped from 1 s to 5 s and then reads what was buffered, in the worst order.
	l.Acknowledge(2, old, after(5))
	is.True(!l.Valid(old, after(5)))

	next := l.RecordHeartbeat(3, after(5))
	is.True(next > old)
	l.Acknowledge(2, next, after(5))
	l.Acknowledge(2, old, after(5))
	is.True(!l.Valid(next, after(5)))

	l.Acknowledge(3, next, after(5.1))
	is.True(l.Valid(next, after(7.9)))
	is.True(!l.Valid(old, after(7.9)))
	is.True(!l.Valid(next, after(8))) // 3 s after the sending, not after the acknowledgement
}

// Guards against a lease that lasts longer when an acknowledgement comes late, and against one that an older
// acknowledgement shortens.
func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	after := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }

	var l entry.Lease

	epoch := l.RecordHeartbeat(1, after(0))
	l.RecordHeartbeat(2, after(1))
	l.Acknowledge(2, epoch, after(2))
	l.Acknowledge(1, epoch, after(2))
	is.True(l.Valid(epoch, after(3)))
	is.True(!l.Valid(epoch, after(4)))
}

// Guards against a heartbeat of an old epoch whose late acknowledgement grants the new one, which the entry has not seen.
func TestOldHeartbeatGrantsNothing(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	after := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }

	var l entry.Lease

	old := l.RecordHeartbeat(1, after(0))
	l.Acknowledge(1, old, after(0))
	l.RecordHeartbeat(2, after(2.5))
	l.Acknowledge(2, old, after(3.5))

	epoch, granted := l.Epoch(after(3.5))
	is.True(epoch > old)
	is.True(!granted)
}

// Guards against a start that is read late from a broken connection and runs after its repetition on the next
// connection was rejected, so that the task was placed elsewhere.
func TestRevokedLeaseIsNeverGrantedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()

	var l entry.Lease

	epoch := l.RecordHeartbeat(1, now)
	l.Acknowledge(1, epoch, now)
	is.True(l.Valid(epoch, now))

	l.Revoke()
	is.True(!l.Valid(epoch, now))

	l.RecordHeartbeat(2, now)
	l.Acknowledge(2, epoch, now)
	is.True(!l.Valid(epoch, now)) // a late acknowledgement
}

// Guards against starts that were buffered while the process was stopped: the lapse shows at the first check.
func TestLapsedEpochStaysInvalid(t *testing.T) {
	is := is.New(t)
	now := time.Now()

	var l entry.Lease

	first := l.RecordHeartbeat(1, now)
	l.Acknowledge(1, first, now)

	later := now.Add(entry.LeaseDuration)
	is.True(!l.Valid(first, later))

	second := l.RecordHeartbeat(2, later)
	l.Acknowledge(2, second, later)
	is.True(second != first)
	is.True(!l.Valid(first, later)) // the old epoch
	is.True(l.Valid(second, later))
}

// Guards against an epoch of a broken connection that is taken for one of its successor.
func TestEpochsOfConnectionsDiffer(t *testing.T) {
	is := is.New(t)
	now := time.Now()

	var a, b entry.Lease

	first, second := a.RecordHeartbeat(1, now), b.RecordHeartbeat(1, now)
	b.Acknowledge(1, second, now)
	is.True(first != second)
	is.True(!b.Valid(first, now))
}
