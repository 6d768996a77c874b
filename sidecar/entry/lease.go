package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// LeaseTime is the time for which an acknowledged heartbeat lets an entry start tasks, from its sending on.
const LeaseDuration = 3 * time.Second

// unanswered bounds the heartbeats whose acknowledgement is awaited. Older ones would grant a lease that has passed.
const maxPendingHeartbeats = 8

// epochs numbers the lease epochs of all connections of the process, so that an epoch of one connection is never valid
// on another one.
var lastEpoch atomic.Uint64

// Lease is the lease of one connection. Times are compared by the monotonic clock, which goes on while the process is
// stopped: after a stop the first check sees the lapse, whatever frames were buffered. The zero value grants nothing.
type Lease struct {
	mu sync.Mutex
	// epoch is zero before the first heartbeat.
	epoch uint64
	// until is the end of the lease; zero if none was granted in this epoch.
	expiry time.Time
	// revoked is set for good once the connection has ended.
	revoked    bool
	heartbeats [maxPendingHeartbeats]sentHeartbeat
}

type sentHeartbeat struct {
	sequence, epoch uint64
	sentAt          time.Time
}

// Send records that a heartbeat is about to be sent and returns the epoch that it carries.
func (l *Lease) RecordHeartbeat(sequence uint64, now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)
	l.heartbeats[sequence%maxPendingHeartbeats] = sentHeartbeat{sequence, l.epoch, now}

	return l.epoch
}

// Acknowledge extends the lease if the acknowledged heartbeat was sent in the present epoch.
func (l *Lease) Acknowledge(sequence, epoch uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)

	s := l.heartbeats[sequence%maxPendingHeartbeats]
	if s.sequence != sequence || s.epoch != epoch || epoch != l.epoch {
		return
	}

	if until := s.sentAt.Add(LeaseDuration); until.After(l.expiry) && now.Before(until) {
		l.expiry = until
	}
}

// Valid tells whether a start that carries an epoch may run.
func (l *Lease) Valid(epoch uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)

	return epoch == l.epoch && !l.expiry.IsZero() && !l.revoked
}

// Revoke ends the lease for good. The entry repeats a start on the next connection, and may place the task elsewhere
// if that is rejected. A first copy that is still being read from this connection must not run then.
func (l *Lease) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.revoked = true
}

// Epoch returns the present epoch and whether the lease is granted.
func (l *Lease) Epoch(now time.Time) (epoch uint64, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)

	return l.epoch, !l.expiry.IsZero() && !l.revoked
}

// lapse begins the next epoch if the lease has ended.
func (l *Lease) startEpochIfLapsed(now time.Time) {
	if l.epoch == 0 || !l.expiry.IsZero() && !now.Before(l.expiry) {
		l.epoch = lastEpoch.Add(1)
		l.expiry = time.Time{}
	}
}
