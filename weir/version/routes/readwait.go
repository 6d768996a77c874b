package routes

import "time"

const (
	// minReadWait is the shortest time that a read of the routes waits for a new version.
	minReadWait = 500 * time.Millisecond
	// retryReserve is kept for the pause before a failed read is repeated, and for passing the new version on.
	retryReserve = 500 * time.Millisecond
)

// ReadWait returns how long a read of the routes may wait for a new version, for an entry that has to have the newest
// version again within the time recovery after its connection to the store has gone silent. That time covers the read,
// which fails callTimeout after its wait, and one more call that fails. It doesn't depend on other entries: their
// reads end with each new version and go silent together.
func ReadWait(recovery, callTimeout time.Duration) time.Duration {
	return max(minReadWait, recovery-2*callTimeout-retryReserve)
}
