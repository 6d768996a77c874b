package session

import (
	"sync/atomic"
	"time"
)

const (
	// KeepAliveInterval is the interval at which the sidecar sends a frame on a session with work, and the entry answers.
	KeepAliveInterval = 150 * time.Millisecond
	// Timeout is the time without a frame from the peer after which a session with work ends; neither side acts for an
	// unresponsive peer. The sum of Timeout and the lease of the tasks is below the time after which callers resubmit a
	// job.
	Timeout = 500 * time.Millisecond
	// IdleKeepAliveInterval replaces KeepAliveInterval on a session without work.
	IdleKeepAliveInterval = time.Second
	// IdleTimeout replaces Timeout on a session without work. Nothing runs for the peer then, so a late detection of its
	// end delays new work only.
	IdleTimeout = 2500 * time.Millisecond
)

// Liveness decides at one end of a session when the peer counts as lost and when a keep-alive is due. The zero value is a
// session without contact or work. All times are on the clock of package uptime. Its methods may be called from several
// goroutines.
type Liveness struct {
	// lastContact is the time of the last frame received.
	lastContact atomic.Int64
	// lastSent is the time of the last frame queued.
	lastSent atomic.Int64
	// activeSince is when this side began to have work of the peer, zero while it has none.
	activeSince atomic.Int64
	// peerActiveAt is when the last frame arrived that shows that the peer has work of this side, zero before.
	peerActiveAt atomic.Int64
	// idleKeepAlives is true if both sides know idle keep-alives.
	idleKeepAlives atomic.Bool
}

// AllowIdleKeepAlives makes the long times apply while there is no work. It is called once both sides have said that
// they know them.
func (l *Liveness) AllowIdleKeepAlives() { l.idleKeepAlives.Store(true) }

// RecordContact records that a frame arrived. showsWork is true if it shows that the peer has work of this side.
func (l *Liveness) RecordContact(now time.Duration, showsWork bool) {
	l.lastContact.Store(int64(now))

	if showsWork {
		l.peerActiveAt.Store(int64(now))
	}
}

// RecordSent records that a frame was queued.
func (l *Liveness) RecordSent(now time.Duration) { l.lastSent.Store(int64(now)) }

// SetActive records whether this side has work of the peer.
func (l *Liveness) SetActive(active bool, now time.Duration) {
	if !active {
		l.activeSince.Store(0)

		return
	}

	l.activeSince.CompareAndSwap(0, int64(now))
}

// Active reports whether this side has work of the peer.
func (l *Liveness) Active() bool { return l.activeSince.Load() != 0 }

// Idle reports whether neither side has work of the other.
func (l *Liveness) Idle(now time.Duration) bool {
	peerActiveAt := time.Duration(l.peerActiveAt.Load())

	return !l.Active() && (peerActiveAt == 0 || now-peerActiveAt >= Timeout)
}

// SinceContact returns the time since the last frame from the peer.
func (l *Liveness) SinceContact(now time.Duration) time.Duration {
	return now - time.Duration(l.lastContact.Load())
}

// Expired reports whether the peer has been unresponsive for longer than the work of this side allows. On a session that
// has just become active, the peer has Timeout from then on.
func (l *Liveness) Expired(now time.Duration) bool {
	if l.idleKeepAlives.Load() && !l.Active() {
		return l.SinceContact(now) >= IdleTimeout
	}

	return now-max(time.Duration(l.lastContact.Load()), time.Duration(l.activeSince.Load())) >= Timeout
}

// Responsive reports whether new work may be given to the peer: no keep-alive of the peer is overdue.
func (l *Liveness) Responsive(now time.Duration) bool {
	limit := Timeout
	if l.idleKeepAlives.Load() {
		limit += IdleKeepAliveInterval
	}

	return !l.Expired(now) && l.SinceContact(now) < limit
}

// KeepAliveDue reports whether the sidecar, which checks each tick, is to send a keep-alive: the interval ends nearer to
// this check than to the next one.
func (l *Liveness) KeepAliveDue(now, tick time.Duration) bool {
	return l.sinceSent(now) >= l.keepAliveInterval(now)-tick/2
}

// AnswerDue reports whether the entry is to answer a frame of the sidecar with a keep-alive. The answer carries the
// acknowledgement of the frame, which would else be a packet of its own.
func (l *Liveness) AnswerDue(now time.Duration) bool {
	return l.sinceSent(now) >= l.keepAliveInterval(now)/2
}

// AnswerOverdue reports whether the entry, which checks each tick, is to send a keep-alive although the sidecar has sent
// nothing to answer: a third of the interval later than one is due.
func (l *Liveness) AnswerOverdue(now, tick time.Duration) bool {
	interval := l.keepAliveInterval(now)

	return l.sinceSent(now) >= interval+interval/3-tick/2
}

func (l *Liveness) keepAliveInterval(now time.Duration) time.Duration {
	if l.idleKeepAlives.Load() && l.Idle(now) {
		return IdleKeepAliveInterval
	}

	return KeepAliveInterval
}

// sinceSent returns the time since the last frame was queued.
func (l *Liveness) sinceSent(now time.Duration) time.Duration {
	return now - time.Duration(l.lastSent.Load())
}
