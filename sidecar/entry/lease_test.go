package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/entry"
)

// Guards against starts that run late after the process was paused. Frames are buffered during the pause: starts of the
// old epoch must not run, and acknowledgements must not renew it.
func TestLeaseAfterPause(t *testing.T) {
	is := is.New(t)
	after := func(s float64) time.Duration { return time.Hour + time.Duration(s*float64(time.Second)) }

	var l entry.Lease

	old := l.RecordHeartbeat(1, after(0))
	is.True(!l.Valid(old, after(0.5))) // no heartbeat has been acknowledged yet
	l.Acknowledge(1, old, after(1))
	is.True(l.Valid(old, after(2.9)))

	is.Equal(l.RecordHeartbeat(2, after(1)), old)

	// The process is paused from 1 s to 5 s and then reads the buffered frames in the worst order.
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
	is.True(!l.Valid(next, after(8))) // 3 s after the heartbeat was sent, not after it was acknowledged
}

// Guards against a lease that lasts longer because an acknowledgement arrives late, and against a lease that is
// shortened by the acknowledgement of an older heartbeat.
func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	after := func(s int) time.Duration { return time.Hour + time.Duration(s)*time.Second }

	var l entry.Lease

	epoch := l.RecordHeartbeat(1, after(0))
	l.RecordHeartbeat(2, after(1))
	l.Acknowledge(2, epoch, after(2))
	l.Acknowledge(1, epoch, after(2))
	is.True(l.Valid(epoch, after(3)))
	is.True(!l.Valid(epoch, after(4)))
}

// Guards against a lease in a new epoch that is granted by the late acknowledgement of a heartbeat of the old one. The
// entry has not received the new epoch yet.
func TestOldHeartbeatGrantsNothing(t *testing.T) {
	is := is.New(t)
	after := func(s float64) time.Duration { return time.Hour + time.Duration(s*float64(time.Second)) }

	var l entry.Lease

	old := l.RecordHeartbeat(1, after(0))
	l.Acknowledge(1, old, after(0))
	l.RecordHeartbeat(2, after(2.5))
	l.Acknowledge(2, old, after(3.5))

	epoch, granted := l.Epoch(after(3.5))
	is.True(epoch > old)
	is.True(!granted)
}

// Guards against a task that runs twice: a start is read late from a broken connection, after its repetition on the
// next connection was rejected and the entry has placed the task at another worker.
func TestRevokedLeaseIsNeverGrantedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Hour

	var l entry.Lease

	epoch := l.RecordHeartbeat(1, now)
	l.Acknowledge(1, epoch, now)
	is.True(l.Valid(epoch, now))

	l.Revoke()
	is.True(!l.Valid(epoch, now))

	l.RecordHeartbeat(2, now)
	l.Acknowledge(2, epoch, now)
	is.True(!l.Valid(epoch, now)) // the acknowledgement arrives late
}

// Guards against starts of a lapsed epoch that run because they were buffered while the process was paused. The first
// check after the pause must find that the lease has lapsed.
func TestLapsedEpochStaysInvalid(t *testing.T) {
	is := is.New(t)
	now := time.Hour

	var l entry.Lease

	first := l.RecordHeartbeat(1, now)
	l.Acknowledge(1, first, now)

	later := now + entry.LeaseDuration
	is.True(!l.Valid(first, later))

	second := l.RecordHeartbeat(2, later)
	l.Acknowledge(2, second, later)
	is.True(second != first)
	is.True(!l.Valid(first, later)) // of the old epoch
	is.True(l.Valid(second, later))
}

// Guards against an epoch of a broken connection that is valid on the connection that follows it.
func TestEpochsOfConnectionsDiffer(t *testing.T) {
	is := is.New(t)
	now := time.Hour

	var a, b entry.Lease

	first, second := a.RecordHeartbeat(1, now), b.RecordHeartbeat(1, now)
	b.Acknowledge(1, second, now)
	is.True(first != second)
	is.True(!b.Valid(first, now))
}
