package admission

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
)

// meanGain is the weight of the newest run in the mean run time of a priority.
const meanWeight = 0.02

// leastUse is the part of the capacity that is taken to be in use at least when a rate is projected to all of it.
const minUsageShare = 0.02

// Use is thousandths of a core by priority.
type Usage [reservation.PriorityCount]int64

// Add adds a report, which may name more or fewer priorities than this process knows.
func (u *Usage) Add(report []int64) {
	for p, n := range report {
		u[reservation.ClampPriority(p)] += n
	}
}

func (u *Usage) sum() int64 { return u.moreUrgentThan(reservation.PriorityCount) }

// before sums up what is more urgent than a priority.
func (u *Usage) moreUrgentThan(priority int) int64 {
	var sum int64
	for _, n := range u[:min(priority, reservation.PriorityCount)] {
		sum += n
	}

	return sum
}

// Turnover learns how long tasks of each priority run, to tell how fast room becomes free. It answers a burst after a
// calm time, when little was launched lately and all that runs will end soon. The zero value knows nothing.
type ReleaseRateEstimator struct {
	// means are in seconds, zero where no task has ended.
	meanRunSeconds [reservation.PriorityCount]float64
}

// Observe takes the run time of a task that has ended.
func (e *ReleaseRateEstimator) Observe(priority int, runTime time.Duration) {
	m := &e.meanRunSeconds[reservation.ClampPriority(priority)]
	if *m == 0 {
		*m = runTime.Seconds()
	}

	*m += meanWeight * (runTime.Seconds() - *m)
}

// Rate returns how much room jobs of a priority can get from tasks that are not more urgent while all of the capacity is
// in use as the running part of it is, in thousandths of a core per second. running is what runs of each priority in
// thousandths of a core; launched is what was launched per second lately, and counts for priorities whose run time is not
// known.
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
