package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// sessionsInUse returns the numbers of the sessions whose entries have work here.
func (w *Worker) sessionsInUse() map[uint64]bool {
	inUse := map[uint64]bool{}
	w.pool.AddSessions(inUse)

	for _, t := range w.tasks {
		// A task that is being stopped may run on. Its entry waits for the end unless it has ended the job.
		if !t.abandoned {
			inUse[t.key.Session()] = true
		}
	}

	return inUse
}

// keepSessions marks the entries that have work here, ends the sessions of unresponsive entries, and sends the reports
// that are due as keep-alives. The next check follows after tick.
func (w *Worker) keepSessions(inUse map[uint64]bool, now, tick time.Duration) {
	var r *capacityReport

	for _, s := range w.sessions {
		s.SetActive(inUse[s.number], now)
		s.EndIfUnresponsive(now)

		if !s.KeepAliveDue(now, tick) {
			continue
		}

		if r == nil {
			r = w.newReport(now)
		}

		s.report(r)
	}
}

// minEstimateAge is the age of a session from which the entry's estimate of the number of sidecars counts. Before that
// the entry may have just started.
const minEstimateAge = 2 * time.Second

// estimatedSidecars returns the estimated number of sidecars in the deployment: the median of the estimates of the
// entries, which are too low at an entry that has few sessions. It is zero if there is none.
func (w *Worker) estimatedSidecars() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := uptime.Now()

	var estimates []int

	for _, s := range w.sessions {
		if n := int(s.sidecars.Load()); n > 0 && now-s.startedAt >= minEstimateAge {
			estimates = append(estimates, n)
		}
	}

	if len(estimates) == 0 {
		return 0
	}

	slices.Sort(estimates)

	return estimates[len(estimates)/2]
}

// setSessionShare sets the part of the known entries, in thousandths, that is in the set of sessions.
func (w *Worker) setSessionShare(share uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.sessionShare = share
}
