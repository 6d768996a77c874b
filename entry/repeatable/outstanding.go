package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
)

// demand returns n tasks of the job as what has to be placed now.
func (a *activeJob) demand(n int, now time.Duration) jobplacement.Demand {
	return jobplacement.NewDemand(n, a.job.Size(), a.job.Constraints(), a.expectedRun).
		WithOutstanding(a.outstandingCount(now))
}

// outstandingCount returns the number of reservations that are requested and not granted, at sidecars that are responsive.
// A job does not rely on the others, which may be paused or cut off.
func (a *activeJob) outstandingCount(now time.Duration) int {
	n := 0

	for number, r := range a.requested {
		if s := a.dispatcher.sidecars[number]; s != nil && s.Responsive(now) {
			n += r
		}
	}

	return n
}
