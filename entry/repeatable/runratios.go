package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// fasterWaitShare is the part of a job's maximum wait in which its tasks may wait for a faster backend server while a
// slower one is free. The rest is left to get the slower one, so that no job is refused for having waited.
const fasterWaitShare = 0.5

// demand returns the demand of the job for n more tasks.
func (a *activeJob) demand(n int, now time.Duration) jobplacement.Demand {
	waited := now - a.arrived
	maxWait := time.Duration(fasterWaitShare*float64(a.maxWait)) - waited

	// Nothing is requested until the next retry, so a wait that must end before that isn't begun.
	if nextRetry := a.nextRetryDelay(waited); maxWait < nextRetry {
		maxWait = 0
	}

	return jobplacement.NewDemand(n, a.job.Size(), a.job.Constraints(), a.expectedRun).
		WithOutstanding(a.outstandingCount(now)).WithObjective(max(0, a.job.Policy().Objective(a.expectedRun)-waited), maxWait)
}

// nextRetryDelay returns how long the job waits until it requests further reservations.
func (a *activeJob) nextRetryDelay(waited time.Duration) time.Duration {
	if waited < firstRetryDelay {
		return firstRetryDelay
	}

	return retryInterval
}

// candidateFor returns the backend server as a candidate for a job, with what was learned of the run time of its kind there.
// A suspect server keeps the slowness that stands for its faults.
func (s *sidecar) candidateFor(j job.Job, k *runtimes.Kind) jobplacement.Server {
	c := s.candidate(j).WithReleaseRate(s.releaseRate(j.Policy().Priority()))

	if ratio, ok := k.Ratio(s.name, s.report.GetLabels()); ok && !s.report.GetSuspect() {
		c = c.WithRunRatio(ratio)
	}

	return c
}

// releaseRate returns the CPU that becomes available to jobs of a priority, in millicores per second: what was launched
// lately of the same or a less urgent one.
func (s *sidecar) releaseRate(priority int) int64 {
	launched := s.report.GetLaunchedCpu()

	var rate int64
	for _, r := range launched[min(reservation.ClampPriority(priority), len(launched)):] {
		rate += r
	}

	return rate
}

// outstanding returns the backend servers where the job has requested reservations that are not granted.
func (d *Dispatcher) outstanding(a *activeJob, k *runtimes.Kind, now time.Duration) []jobplacement.Server {
	var servers []jobplacement.Server

	for number, n := range a.requested {
		s := d.sidecars[number]
		if s == nil || !s.canRun(a.job, now) || a.excluded[number] > 0 || d.access(a.job, s) != quarantine.Allowed {
			continue
		}

		servers = append(servers, s.candidateFor(a.job, k).AsRequested(n))
	}

	return servers
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
