package lease_test

import (
	"slices"
	"time"
)

// backendModel is a backend server that may run the task. It does what the platform says of one: it rejects a run that is
// not higher than one that was stopped or has ended there, and a start whose lease has ended.
type backendModel struct {
	// rate is the rate of its clock.
	rate float64
	// process counts the processes, which begin under the same id; bornAt is when the current one began. It does not listen
	// while isDown is true.
	process int
	bornAt  time.Duration
	isDown  bool
	// token is the highest fencing token that this process has seen.
	token    int
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

// maxHold is the longest lease that a backend server grants.
const maxHold = time.Second

// modelEnd is the end of a run in the list of a backend server.
type modelEnd struct {
	number int
	run    int64
	done   bool
}

// modelList is an answer to a call that lists the runs.
type modelList struct {
	clock   time.Duration
	process int
	fenced  bool
	running int64
	ends    []modelEnd
}

func (b *backendModel) clock(now time.Duration) time.Duration {
	if b.process > 0 {
		return time.Second + time.Duration(float64(now-b.bornAt)*b.rate)
	}

	return time.Hour + time.Duration(float64(now)*b.rate)
}

// fences reports whether a call with a fencing token is rejected, and records the token.
func (b *backendModel) fences(token int) bool {
	if token < b.token {
		return true
	}

	b.token = token

	return false
}

// extendLease extends the lease up to a time, but not for longer than maxHold.
func (b *backendModel) extendLease(now, leaseEnd time.Duration) {
	b.leaseEnd = max(b.leaseEnd, min(leaseEnd, b.clock(now)+maxHold))
}

// crash ends the process with all that it runs and knows.
func (b *backendModel) crash() {
	*b = backendModel{rate: b.rate, process: b.process, isDown: true}
}

func (b *backendModel) restart(now time.Duration) {
	b.process, b.bornAt, b.isDown = b.process+1, now, false
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
func (b *backendModel) start(now time.Duration, run int64, leaseEnd time.Duration, token int) (rejection, bool) {
	b.applyLeaseExpiry(now)

	switch {
	case b.fences(token):
		return fenced, false
	case leaseEnd <= b.clock(now):
		return leaseExpired, false
	case b.running == run:
		return accepted, false
	case b.running != 0 || run <= b.highest:
		return outdated, false
	}

	b.extendLease(now, leaseEnd)
	b.running, b.beganAt = run, now

	return accepted, true
}

func (b *backendModel) stop(now time.Duration, run int64, token int) {
	b.applyLeaseExpiry(now)

	if b.fences(token) {
		return
	}

	b.highest = max(b.highest, run)

	if b.running != 0 && b.running <= run {
		b.end(false)
	}
}

// watch renews the lease, forgets the ends up to a number and lists the runs.
func (b *backendModel) watch(now time.Duration, seen int, leaseEnd time.Duration, token int) modelList {
	b.applyLeaseExpiry(now)

	if b.fences(token) {
		return modelList{clock: b.clock(now), process: b.process, fenced: true}
	}

	b.extendLease(now, leaseEnd)
	b.ends = slices.DeleteFunc(b.ends, func(e modelEnd) bool { return e.number <= seen })

	return modelList{clock: b.clock(now), process: b.process, running: b.running, ends: slices.Clone(b.ends)}
}
