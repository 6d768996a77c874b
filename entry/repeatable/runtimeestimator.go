package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// gain is the weight of the newest run time.
	smoothingFactor = 0.05
	// declaredWeight is the weight of the declared run time, corrected by what was measured, beside the mean.
	declaredWeight = 0.5
	// unknownRun is expected of a task of which nothing is known.
	defaultRunTime = 200 * time.Millisecond
)

// runTimes learns the run times of each kind, since declared ones are far off. The zero value knows nothing.
type runTimeEstimator struct {
	kinds map[string]*kindRunTimes
}

type kindRunTimes struct {
	// mean is in milliseconds; ratio is the mean of run times in proportion to the declared ones.
	meanMillis, declaredRatio float64
}

// expect returns the expected run time of a task.
func (r *runTimeEstimator) estimate(j job.Job) time.Duration {
	k := r.kinds[j.Policy().Kind()]

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

// observe takes the run time of a task that is done.
func (r *runTimeEstimator) observe(j job.Job, run time.Duration) {
	if r.kinds == nil {
		r.kinds = map[string]*kindRunTimes{}
	}

	ms := float64(run.Milliseconds())

	k := r.kinds[j.Policy().Kind()]
	if k == nil {
		k = &kindRunTimes{meanMillis: ms}
		r.kinds[j.Policy().Kind()] = k
	}

	k.meanMillis += smoothingFactor * (ms - k.meanMillis)

	if declared := float64(j.Estimate().Milliseconds()); declared > 0 {
		if k.declaredRatio == 0 {
			k.declaredRatio = 1
		}

		k.declaredRatio += smoothingFactor * (ms/declared - k.declaredRatio)
	}
}
