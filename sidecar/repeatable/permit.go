package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// newPermit returns a permit for a call, which renews the lease unless the backend server is unresponsive or a run there
// has to end in time although its stop may not be carried out.
func (i *incarnation) newPermit() Permit {
	// The time comes first: if this process is paused after the sessions were checked, the lease ends meanwhile.
	now := uptime.Now()
	ready, abandoned := i.openRuns(now)

	i.mu.Lock()
	defer i.mu.Unlock()

	switch {
	case !ready:
		return NewPermit(i.instance, i.token, 0)
	case abandoned:
		return NewPermit(i.instance, i.token, i.leaseEnd)
	}

	leaseEnd := i.lease.Renew(now)
	i.leaseEnd = max(i.leaseEnd, leaseEnd)

	return NewPermit(i.instance, i.token, leaseEnd)
}

// openRuns reports whether no run of an earlier sidecar is left, and whether there is a run that has to end in time although
// its stop may not be carried out: the backend server leaves, a run is orphaned, or the stop of a task that is abandoned at
// the time now has not been answered.
func (i *incarnation) openRuns(now time.Duration) (ready, abandoned bool) {
	i.worker.mu.Lock()
	defer i.worker.mu.Unlock()

	return i.ready, i.worker.server.Departed() || len(i.orphans.runs) > 0 || i.worker.awaitsStop(i, now)
}

// raiseToken raises the fencing token after a rejection, each time by twice as much.
func (i *incarnation) raiseToken() {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.token += i.tokenStep
	i.tokenStep *= 2
}

// lastLeaseEnd returns the highest end of a lease that was sent, on the backend server's clock.
func (i *incarnation) lastLeaseEnd() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.leaseEnd
}

// fenceStarts raises the fencing token, so that the next call fences the starts that were sent before, and returns it.
func (i *incarnation) fenceStarts() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.token++

	return i.token
}
