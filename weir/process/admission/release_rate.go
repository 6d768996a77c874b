package admission

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
)

// meanWeight is the weight of the newest run in the moving average of the run times of a priority.
const meanWeight = 0.02

// minUsageShare is the lower bound of the part of the capacity that is in use, applied when a rate is scaled up to the
// whole capacity.
const minUsageShare = 0.02

// Usage is CPU in millicores by priority.
type Usage [reservation.PriorityCount]int64

// Add adds a report, which may name more or fewer priorities than this process knows.
func (u *Usage) Add(report []int64) {
	for p, n := range report {
		u[reservation.ClampPriority(p)] += n
	}
}

func (u *Usage) sum() int64 { return u.moreUrgentThan(reservation.PriorityCount) }

// moreUrgentThan returns the sum over the priorities that are more urgent than the given one.
func (u *Usage) moreUrgentThan(priority int) int64 {
	var sum int64
	for _, n := range u[:min(priority, reservation.PriorityCount)] {
		sum += n
	}

	return sum
}

// ReleaseRateEstimator estimates how fast capacity becomes free from the mean run time of the tasks of each priority.
// The rate of recent launches is too low for this in a burst after a time without load, when few tasks were launched
// and all running ones end soon. The zero value is ready for use.
type ReleaseRateEstimator struct {
	// meanRunSeconds is zero for priorities of which no task has ended.
	meanRunSeconds [reservation.PriorityCount]float64
}

// Observe adds the run time of a task that has ended.
func (e *ReleaseRateEstimator) Observe(priority int, runTime time.Duration) {
	m := &e.meanRunSeconds[reservation.ClampPriority(priority)]
	if *m == 0 {
		*m = runTime.Seconds()
	}

	*m += meanWeight * (runTime.Seconds() - *m)
}

// Rate returns the capacity that tasks of the same or a less urgent priority release while all capacity is in use, in
// millicores per second. It assumes that the whole capacity is used by the mix of tasks that is running now. launchRate
// is the CPU of the tasks launched per second lately; it stands in for priorities whose run time is unknown.
func (e *ReleaseRateEstimator) Rate(priority int, capacity int64, running, launchRate Usage) int64 {
	var rate float64

	for p := reservation.ClampPriority(priority); p < reservation.PriorityCount; p++ {
		if e.meanRunSeconds[p] > 0 {
			rate += float64(running[p]) / e.meanRunSeconds[p]
		} else {
			rate += float64(launchRate[p])
		}
	}

	return int64(rate * float64(capacity) / max(float64(running.sum()), float64(capacity)*minUsageShare, 1))
}
