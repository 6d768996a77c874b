package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// keepSessions marks the entries that have work here, ends the sessions of unresponsive entries, and sends the reports
// that are due as keep-alives. It reports whether an entry has work here.
func (w *Worker) keepSessions(now time.Duration) bool {
	inUse := map[uint64]bool{}
	w.pool.AddSessions(inUse)

	for _, t := range w.tasks {
		// What is being stopped already runs for nobody.
		if !t.stopping {
			inUse[t.key.Session()] = true
		}
	}

	var r *capacityReport

	for _, s := range w.sessions {
		s.SetActive(inUse[s.number], now)
		s.EndIfUnresponsive(now)

		if !s.KeepAliveDue(now) {
			continue
		}

		if r == nil {
			r = w.newReport(now)
		}

		s.report(r)
	}

	return len(inUse) > 0
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
