package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// demand returns the demand of the job for n more tasks.
func (a *activeJob) demand(n int, now time.Duration) jobplacement.Demand {
	remaining := a.job.Policy().Objective(a.expectedRun) - (now - a.arrived)

	return jobplacement.NewDemand(n, a.job.Size(), a.job.Constraints(), a.expectedRun).
		WithOutstanding(a.outstandingCount(now)).WithObjective(max(0, remaining))
}

// candidateFor returns the backend server as a candidate for a job, with what was learned of the run time of its kind there.
// A suspect server keeps the slowness that stands for its faults.
func (s *sidecar) candidateFor(j job.Job, k *runtimes.Kind) jobplacement.Server {
	c := s.candidate(j)

	if ratio, ok := k.Ratio(s.name, s.report.GetLabels()); ok && !s.report.GetSuspect() {
		c = c.WithRunRatio(ratio)
	}

	return c
}

// learnRunTime records the run time of a task that is done at a sidecar.
func (d *Dispatcher) learnRunTime(a *activeJob, index int, s *sidecar, run, now time.Duration) {
	kind, usual := a.job.Policy().Kind(), run

	// The expected run time is that of a server of average speed, wherever the tasks were placed.
	if ratio, ok := d.runRatios.Kind(kind, now).Ratio(s.name, s.report.GetLabels()); ok {
		usual = time.Duration(float64(run) / ratio)
	}

	d.logRunRatios()
	d.runTimes.observe(a.job, usual)

	if a.isFirstAtServer(index) {
		d.runRatios.Observe(kind, s.name, s.report.GetLabels(), a.usualRun, run, now)
	}
}

// isFirstAtServer reports whether no task of the job with a lower index was placed at the same server.
func (a *activeJob) isFirstAtServer(index int) bool {
	return !slices.ContainsFunc(a.placements[:index], func(p placement) bool {
		return p.server == a.placements[index].server
	})
}

// logRunRatios logs which effects on run times have become known, or are no longer.
func (d *Dispatcher) logRunRatios() {
	for _, c := range d.runRatios.TakeChanges() {
		d.log.Info().Str("event", "run_ratio").Str("kind", c.Kind()).Str("label", c.Label()).Str("sidecar", c.Server()).
			Float64("ratio", c.Ratio()).Bool("known", c.Known()).
			Msg("run times of a kind of job at some backend servers differ from its usual ones, or no longer do")
	}
}
