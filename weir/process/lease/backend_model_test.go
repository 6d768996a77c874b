package lease_test

import (
	"slices"
	"time"
)

// backendModel is a backend server that may run the task. It does what the platform says of one: it rejects a run that is
// not higher than one that was stopped or has ended there, and a start whose lease has ended.
type backendModel struct {
	// rate is the rate of its clock.
	rate     float64
	leaseEnd time.Duration
	// running is the number of the run that has not ended, zero if there is none; beganAt is its beginning.
	running int64
	beganAt time.Duration
	// highest is the highest run that was stopped or has ended.
	highest int64
	ends    []modelEnd
	lastEnd int
	// done is true once a run was done, unless the lease has ended since.
	done bool
}

// modelEnd is the end of a run in the list of a backend server.
type modelEnd struct {
	number int
	run    int64
	done   bool
}

// modelList is an answer to a call that lists the runs.
type modelList struct {
	clock   time.Duration
	running int64
	ends    []modelEnd
}

func (b *backendModel) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*b.rate)
}

// applyLeaseExpiry ends the run if the lease has ended.
func (b *backendModel) applyLeaseExpiry(now time.Duration) {
	if b.leaseEnd == 0 || b.clock(now) <= b.leaseEnd {
		return
	}

	b.end(false)
	b.done = false
}

func (b *backendModel) end(done bool) {
	if b.running == 0 {
		return
	}

	b.lastEnd++
	b.ends = append(b.ends, modelEnd{b.lastEnd, b.running, done})
	b.highest = max(b.highest, b.running)
	b.running = 0
	b.done = b.done || done
}

// start handles a start, and reports why it is rejected and whether a run begins.
func (b *backendModel) start(now time.Duration, run int64, leaseEnd time.Duration) (rejection, bool) {
	b.applyLeaseExpiry(now)

	switch {
	case leaseEnd <= b.clock(now):
		return leaseExpired, false
	case b.running == run:
		return accepted, false
	case b.running != 0 || run <= b.highest:
		return outdated, false
	}

	b.leaseEnd = max(b.leaseEnd, leaseEnd)
	b.running, b.beganAt = run, now

	return accepted, true
}

func (b *backendModel) stop(now time.Duration, run int64) {
	b.applyLeaseExpiry(now)
	b.highest = max(b.highest, run)

	if b.running != 0 && b.running <= run {
		b.end(false)
	}
}

// watch renews the lease, forgets the ends up to a number and lists the runs.
func (b *backendModel) watch(now time.Duration, seen int, leaseEnd time.Duration) modelList {
	b.applyLeaseExpiry(now)
	b.leaseEnd = max(b.leaseEnd, leaseEnd)
	b.ends = slices.DeleteFunc(b.ends, func(e modelEnd) bool { return e.number <= seen })

	return modelList{b.clock(now), b.running, slices.Clone(b.ends)}
}
