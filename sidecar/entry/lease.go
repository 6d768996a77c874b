package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// LeaseDuration is the time for which an acknowledged heartbeat lets an entry start tasks, counted from when the
// heartbeat was sent.
const LeaseDuration = 3 * time.Second

// maxPendingHeartbeats limits the heartbeats that may still be acknowledged. An older one would grant a lease that has
// already expired.
const maxPendingHeartbeats = 8

// lastEpoch is the latest lease epoch of all connections of the process. They share one sequence, so that an epoch of
// one connection is never valid on another one.
var lastEpoch atomic.Uint64

// Lease is the lease of one connection. Times are on the clock of package uptime, which keeps running while the process is
// paused and while its instance is suspended. The first check after either therefore finds that the lease has lapsed,
// whatever frames were buffered. The zero value grants nothing.
type Lease struct {
	mu sync.Mutex
	// epoch is zero before the first heartbeat.
	epoch uint64
	// expiry is the end of the lease. It is zero if none was granted in this epoch.
	expiry time.Duration
	// revoked is set once the connection has ended, and never reset.
	revoked bool
	// heartbeats has the latest sent heartbeats, at the index sequence modulo its length.
	heartbeats [maxPendingHeartbeats]sentHeartbeat
}

type sentHeartbeat struct {
	sequence, epoch uint64
	sentAt          time.Duration
}

// RecordHeartbeat records that a heartbeat is about to be sent and returns the lease epoch for it.
func (l *Lease) RecordHeartbeat(sequence uint64, now time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)
	l.heartbeats[sequence%maxPendingHeartbeats] = sentHeartbeat{sequence, l.epoch, now}

	return l.epoch
}

// Acknowledge extends the lease if the acknowledged heartbeat was sent in the current epoch.
func (l *Lease) Acknowledge(sequence, epoch uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)

	s := l.heartbeats[sequence%maxPendingHeartbeats]
	if s.sequence != sequence || s.epoch != epoch || epoch != l.epoch {
		return
	}

	if until := s.sentAt + LeaseDuration; now < until {
		l.expiry = max(l.expiry, until)
	}
}

// Valid reports whether a start with a lease epoch may run.
func (l *Lease) Valid(epoch uint64, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)

	return epoch == l.epoch && l.expiry > 0 && !l.revoked
}

// Revoke ends the lease permanently. The entry repeats a start on the next connection, and may place the task at
// another worker if that is rejected. The first copy of the start, which may still be read from this connection, must
// not run after that.
func (l *Lease) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.revoked = true
}

// Epoch returns the current epoch and whether the lease is granted.
func (l *Lease) Epoch(now time.Duration) (epoch uint64, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.startEpochIfLapsed(now)

	return l.epoch, l.expiry > 0 && !l.revoked
}

// startEpochIfLapsed starts the first epoch, or the next one if the lease has expired.
func (l *Lease) startEpochIfLapsed(now time.Duration) {
	if l.epoch == 0 || l.expiry > 0 && now >= l.expiry {
		l.epoch = lastEpoch.Add(1)
		l.expiry = 0
	}
}
