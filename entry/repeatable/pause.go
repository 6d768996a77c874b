package repeatable

import "time"

// checkClock checks whether this process was paused since the last call.
func (d *Dispatcher) checkClock(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handlePause(now)
	d.clockCheckedAt = now
}

// handlePause ends all jobs if this process was paused since the last clock check: the sidecars have stopped their tasks, and
// the callers may have resubmitted them to another entry. After a pause, frames and jobs may be handled before the clock
// check that is due, so each of them calls it too. The caller holds mu.
func (d *Dispatcher) handlePause(now time.Duration) {
	gap := now - d.clockCheckedAt
	if d.clockCheckedAt == 0 || gap <= tickInterval+pauseThreshold {
		return
	}

	d.clockCheckedAt = now

	d.log.Warn().Str("event", "process_paused").Dur("gap", gap).Int("jobs", len(d.activeJobs)).
		Msg("process was paused; ending all of its jobs, which callers may have resubmitted to another entry")

	for _, a := range d.activeJobs {
		a.end(a.incompleteOutcome("the entry was paused", time.Second), "process paused")
	}
}
