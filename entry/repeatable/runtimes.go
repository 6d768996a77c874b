package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// gain is the weight of the newest run time.
	gain = 0.05
	// declaredWeight is the weight of the declared run time, corrected by what was measured, beside the mean.
	declaredWeight = 0.5
	// unknownRun is expected of a task of which nothing is known.
	unknownRun = 200 * time.Millisecond
)

// runTimes learns the run times of each kind, since declared ones are far off. The zero value knows nothing.
type runTimes struct {
	kinds map[string]*kindRuns
}

type kindRuns struct {
	// mean is in milliseconds; ratio is the mean of run times in proportion to the declared ones.
	mean, ratio float64
}

// expect returns the expected run time of a task.
func (r *runTimes) expect(j job.Job) time.Duration {
	k := r.kinds[j.Policy().Kind()]

	switch {
	case k == nil && j.Estimate() == 0:
		return unknownRun
	case k == nil:
		return j.Estimate()
	case j.Estimate() == 0 || k.ratio == 0:
		return time.Duration(k.mean * float64(time.Millisecond))
	}

	declared := float64(j.Estimate().Milliseconds()) * k.ratio

	return time.Duration((declaredWeight*declared + (1-declaredWeight)*k.mean) * float64(time.Millisecond))
}

// observe takes the run time of a task that is done.
func (r *runTimes) observe(j job.Job, run time.Duration) {
	if r.kinds == nil {
		r.kinds = map[string]*kindRuns{}
	}

	ms := float64(run.Milliseconds())

	k := r.kinds[j.Policy().Kind()]
	if k == nil {
		k = &kindRuns{mean: ms}
		r.kinds[j.Policy().Kind()] = k
	}

	k.mean += gain * (ms - k.mean)

	if declared := float64(j.Estimate().Milliseconds()); declared > 0 {
		if k.ratio == 0 {
			k.ratio = 1
		}

		k.ratio += gain * (ms/declared - k.ratio)
	}
}
