package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// smoothingFactor is the weight of the newest run time in the moving averages.
	smoothingFactor = 0.05
	// declaredWeight is the weight of the declared run time, corrected by the measured ratio; the measured mean has the
	// remaining weight.
	declaredWeight = 0.5
	// defaultRunTime is the estimate for a task without a declared run time, of a kind without a measured one.
	defaultRunTime = 200 * time.Millisecond
)

// runTimeEstimator estimates the run times of tasks from those measured for their kind, because declared run times are
// far off. The zero value has no measurements.
type runTimeEstimator struct {
	kinds map[string]*kindRunTimes
}

type kindRunTimes struct {
	// meanMillis is the moving average of the run times; declaredRatio is that of the run times in proportion to the
	// declared ones, zero while no task with a declared run time was measured.
	meanMillis, declaredRatio float64
}

// estimate returns the expected run time of a task of the job.
func (e *runTimeEstimator) estimate(j job.Job) time.Duration {
	k := e.kinds[j.Policy().Kind()]

	switch {
	case k == nil && j.Estimate() == 0:
		return defaultRunTime
	case k == nil:
		return j.Estimate()
	case j.Estimate() == 0 || k.declaredRatio == 0:
		return time.Duration(k.meanMillis * float64(time.Millisecond))
	}

	declared := float64(j.Estimate().Milliseconds()) * k.declaredRatio

	return time.Duration((declaredWeight*declared + (1-declaredWeight)*k.meanMillis) * float64(time.Millisecond))
}

// observe records the run time of a completed task.
func (e *runTimeEstimator) observe(j job.Job, run time.Duration) {
	if e.kinds == nil {
		e.kinds = map[string]*kindRunTimes{}
	}

	ms := float64(run.Milliseconds())

	k := e.kinds[j.Policy().Kind()]
	if k == nil {
		k = &kindRunTimes{meanMillis: ms}
		e.kinds[j.Policy().Kind()] = k
	}

	k.meanMillis += smoothingFactor * (ms - k.meanMillis)

	if declared := float64(j.Estimate().Milliseconds()); declared > 0 {
		if k.declaredRatio == 0 {
			k.declaredRatio = 1
		}

		k.declaredRatio += smoothingFactor * (ms/declared - k.declaredRatio)
	}
}
