// Package lease decides how long a backend server may run tasks for a sidecar.
//
// The backend server stops its tasks by itself when the lease ends. The sidecar renews the lease while the backend server
// answers. All times are on the clock of package uptime, unless they are readings of the backend server's clock.
package lease

import (
	"sync"
	"time"
)

const (
	// Duration is how long tasks run on after the last renewal. Together with session.Timeout it stays below the time
	// after which callers send a job again.
	Duration = 600 * time.Millisecond
	// RenewalInterval is how often the lease is renewed while tasks run; three renewals may be lost.
	RenewalInterval = 150 * time.Millisecond
	// WatchWait is how long a call waits for a run to end. It stays below unresponsiveTimeout, so that a backend server
	// whose tasks run on does not count as unresponsive.
	WatchWait = 250 * time.Millisecond
	// IdleWatchWait replaces WatchWait while no task runs.
	IdleWatchWait = 500 * time.Millisecond
	// MaxClockDrift is the fraction by which a backend server's clock may run slow.
	MaxClockDrift = 0.03
	// clockResolution is the resolution of the readings of a backend server's clock.
	clockResolution = time.Millisecond
	// unresponsiveTimeout is the time without an answer from the backend server after which the lease is no longer
	// renewed.
	unresponsiveTimeout = 400 * time.Millisecond
	// MaxRunAfterLoss is how long tasks may still run after an entry has lost the session with their sidecar: until the
	// sidecar notices that it has lost the entry and stops them, or, if the sidecar fails just before that, until their
	// lease ends.
	MaxRunAfterLoss = 1150 * time.Millisecond
	// maxTickDelay is how late a tick may be without a pause of this process.
	maxTickDelay = 50 * time.Millisecond
	// expiryMargin is the time after the end of the lease within which the backend server stops its tasks.
	expiryMargin = 50 * time.Millisecond
	// LapseTime is the time after the last renewal in which every run has ended, even if the backend server's clock runs
	// slow.
	LapseTime = Duration + Duration/20 + expiryMargin
)

// Lease is the lease of the tasks at one incarnation of a backend server. The zero value has no reading of its clock, so
// that it renews nothing. Its methods may be called from several goroutines.
//
// This process may be suspended together with the backend server, whose clock stands still meanwhile, or without it. While
// this process does not tick, the backend server's clock may or may not have advanced. Nothing is concluded from such a
// time: the lease may go on as long as if the clock had stood still, and it is renewed as if it had.
type Lease struct {
	mu sync.Mutex
	// clockReading is what the backend server's clock showed at clockReadAt, which is zero before the first reading. The
	// clock may have shown it later, by pauses of this process.
	clockReading, clockReadAt time.Duration
	// clockSentAt is when the call was sent whose answer had clockReading.
	clockSentAt time.Duration
	// lastAnswer is when the backend server last answered; end is the end of the last lease that was sent, even if the
	// backend server's clock runs slow or stood still in pauses of this process.
	lastAnswer, end time.Duration
	// renewedAt is when the newest call that was answered was sent, and with it a renewal.
	renewedAt time.Duration
	// answerDue is when the call that waits for the end of a run is overdue.
	answerDue time.Duration
	// tickedAt is the time of the latest tick, zero before the first one; the next one is due tickInterval later.
	tickedAt, tickInterval time.Duration
	// suspended is true from Suspend to the next answer.
	suspended bool
}

// Tick records that this process runs. The next tick follows after the interval; if it is late, this process was paused.
func (l *Lease) Tick(now, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.skipPause(now)
	l.tickedAt, l.tickInterval = max(l.tickedAt, now), interval
}

// skipPause moves the times that are compared with the backend server's clock by a pause of this process up to now. Each
// method that compares them calls it first, as it may be the first one to run after the pause.
func (l *Lease) skipPause(now time.Duration) {
	pause := now - l.tickedAt
	if l.tickedAt == 0 || pause <= l.tickInterval+maxTickDelay {
		return
	}

	l.tickedAt = now
	l.end += pause

	if l.clockReadAt > 0 {
		l.clockReadAt += pause
	}
}

// RecordClock records a reading of the backend server's clock in the answer to a call that was sent at the time sent, unless
// the clock is known to have passed it. It returns by how much the clock was behind of what was expected: it has stood
// still, or been replaced. A reading of zero is not known.
func (l *Lease) RecordClock(reading, sent, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.skipPause(now)

	if reading <= 0 {
		return 0
	}

	behind := max(0, l.minClock(sent)-reading)
	if behind > 0 || reading > l.minClock(now) {
		l.clockReading, l.clockReadAt, l.clockSentAt = reading, now, sent
	}

	return behind
}

// minClock returns a time that the backend server's clock has reached even if it runs slow by MaxClockDrift.
func (l *Lease) minClock(now time.Duration) time.Duration {
	if l.clockReadAt == 0 {
		return 0
	}

	return l.clockReading + time.Duration(float64(now-l.clockReadAt)*(1-MaxClockDrift))
}

// ClockHasReached reports whether the backend server's clock may have reached a time by now. Before the first reading it may
// have reached any.
func (l *Lease) ClockHasReached(clock, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.clockReadAt == 0 {
		return true
	}

	elapsed := float64(now-l.clockSentAt) * (1 + MaxClockDrift)

	return clock <= l.clockReading+time.Duration(elapsed)+clockResolution
}

// Renew returns the end of the lease on the backend server's clock, for a call that is sent at the time now or later. It
// returns zero, which renews nothing, if the backend server is unresponsive: it shall stop its tasks when the lease ends.
func (l *Lease) Renew(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.skipPause(now)

	if l.clockReadAt == 0 || l.suspended || now-l.lastAnswer > unresponsiveTimeout {
		return 0
	}

	// Calls may be sent in another order than their times were read.
	l.end = max(l.end, now+time.Duration(float64(Duration)*(1+MaxClockDrift)))

	return l.minClock(now) + Duration
}

// RecordAnswer records the answer to a call that was sent at the time sent and renewed the lease.
func (l *Lease) RecordAnswer(sent, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lastAnswer, l.suspended = now, false
	l.renewedAt = max(l.renewedAt, sent)
}

// RecordContact records an answer to a call that did not renew the lease.
func (l *Lease) RecordContact(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lastAnswer, l.suspended = now, false
}

// Suspend is called when calls are no longer delivered. The lease is not renewed until the next answer, so that it ends
// after the last call that may have been delivered.
func (l *Lease) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.suspended = true
}

// ExpectAnswer records that a call is sent now that waits for the end of a run.
func (l *Lease) ExpectAnswer(wait, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.answerDue = now + wait + unresponsiveTimeout - WatchWait
}

// BeginWork is called when the first task starts. A backend server without tasks answers seldom, so it is given
// unresponsiveTimeout from then on, unless an answer is overdue.
func (l *Lease) BeginWork(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now < l.answerDue {
		l.lastAnswer = max(l.lastAnswer, now)
	}
}

// RenewalDue reports whether no call that was answered has renewed the lease lately.
func (l *Lease) RenewalDue(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now-l.renewedAt >= RenewalInterval*2/3
}

// Expired reports whether the backend server is unresponsive and its last lease has ended, so that none of its tasks can
// still run.
func (l *Lease) Expired(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.skipPause(now)

	return now-l.lastAnswer > unresponsiveTimeout && now > l.end+expiryMargin
}
