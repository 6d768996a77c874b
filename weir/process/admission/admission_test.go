package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	core    = 1000 // millicores
	runTime = 60 * time.Millisecond
)

func random() *rand.Rand { return rand.New(rand.NewPCG(3, 3)) }

func quickJob(tasks int) job.Job {
	policy := job.NewPolicy("quick", "service", 0, 4, 1.6, 60*time.Millisecond)

	return job.New("a", "", tasks, job.NewSize(6*core, 64), runTime, 2*time.Second, policy, job.Constraints{})
}

// noUsage is the usage of a service on which no task is known to run.
var noUsage admission.Usage

// newLoad returns the load of ten backend servers of 64 cores that release about three times their capacity per second.
func newLoad(free, queued int64) admission.Load {
	return admission.NewLoad(free*core, queued*core, 640*core, noUsage, 0, 1900*core, job.NewSize(64*core, 1000), 10)
}

func refusalReason(decision admission.Decision) string {
	if r, ok := decision.(admission.Refuse); ok {
		return r.Reason()
	}

	return ""
}

// Guards against jobs that wait behind too many jobs of their own kind and then miss their objective.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)

	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, newLoad(60, 0), random())), "")
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, newLoad(0, 40), random())), "")
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, newLoad(0, 400), random())), admission.Overloaded)
}

// Guards against a job that waits until its deadline although its limit on one backend server can't be kept within that, and
// against the refusal of one that can be served in turns.
func TestJobWhoseLimitCannotBeKeptIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	load := newLoad(640, 0) // of ten backend servers

	decide := func(tasks, limit int, timeout time.Duration) string {
		j := job.New("a", "", tasks, job.NewSize(core, 64), runTime, timeout, quickJob(1).Policy(), job.NewConstraints("", "", limit))

		return refusalReason(admission.Decide(j, runTime, load, random()))
	}

	is.Equal(decide(10, 1, 2*runTime), "")
	is.Equal(decide(20, 1, 2*runTime), "")
	is.Equal(decide(31, 1, 2*runTime), admission.LimitUnreachable)
	is.Equal(decide(31, 2, 2*runTime), "")
	is.Equal(decide(1000, 0, 2*runTime), "")
}

// Guards against the refusal of a job while there is free capacity for it.
func TestNothingIsRefusedWithFreeCapacity(t *testing.T) {
	is := is.New(t)

	for tasks := 1; tasks <= 32; tasks++ {
		is.Equal(refusalReason(admission.Decide(quickJob(tasks), runTime, newLoad(200, 0), random())), "")
	}
}

// Guards against the refusal of a burst right after a start, when no release rate has been measured.
func TestBurstAfterStart(t *testing.T) {
	is := is.New(t)

	afterStart := admission.NewLoad(0, 300*core, 640*core, noUsage, 0, 0, job.NewSize(64*core, 1000), 10)
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, afterStart, random())), "")
}

// Guards against the refusal of jobs on an idle system whose last reports still show ended tasks as running.
func TestOutdatedReportsRefuseNothing(t *testing.T) {
	is := is.New(t)

	outdated := admission.NewLoad(0, 0, 640*core, noUsage, 0, 0, job.NewSize(64*core, 1000), 10)
	is.Equal(refusalReason(admission.Decide(quickJob(2), runTime, outdated, random())), "")
}

// Guards against the refusal of jobs in a cold start, before the backend servers are known.
func TestColdStartWaitsForServers(t *testing.T) {
	is := is.New(t)

	noServers := admission.NewLoad(0, 0, 0, noUsage, 0, 0, job.Size{}, 0)
	a, ok := admission.Decide(quickJob(8), runTime, noServers.WithWarmUp(300*time.Millisecond), random()).(admission.Admit)
	is.True(ok)
	is.True(a.MaxWait() > 0)
	is.True(a.MaxWait() < quickJob(8).Policy().Objective(runTime)-runTime) // it can still meet its objective

	a, ok = admission.Decide(quickJob(8), runTime, noServers.WithWarmUp(10*time.Millisecond), random()).(admission.Admit)
	is.True(ok)
	is.Equal(a.MaxWait(), 10*time.Millisecond)

	oneServer := admission.NewLoad(0, 60*core, 64*core, noUsage, 0, 0, job.NewSize(64*core, 1000), 1)
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, oneServer, random())), admission.Overloaded)
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, oneServer.WithWarmUp(time.Second), random())), "")
}

// Guards against jobs that wait although they can never run: no backend server, none large enough, or a deadline that
// is too short.
func TestImpossibleJobsAreRefused(t *testing.T) {
	is := is.New(t)

	noServers := admission.NewLoad(0, 0, 0, noUsage, 0, 0, job.Size{}, 0)
	is.Equal(refusalReason(admission.Decide(quickJob(1), runTime, noServers, random())), admission.NoServers)

	smallServer := admission.NewLoad(4*core, 0, 4*core, noUsage, 0, 0, job.NewSize(4*core, 1000), 1)
	is.Equal(refusalReason(admission.Decide(quickJob(1), runTime, smallServer, random())), admission.TooLarge)
	is.Equal(refusalReason(
		admission.Decide(quickJob(1), time.Minute, newLoad(640, 0), random()),
	), admission.DeadlineUnreachable)
}

// Guards against callers that are refused together and then all retry at the same time.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	source := random()

	var earliest, latest time.Duration

	for n := range 200 {
		retryAfter := admission.RetryAfter(time.Second, source)
		if n == 0 || retryAfter < earliest {
			earliest = retryAfter
		}

		latest = max(latest, retryAfter)
	}

	is.True(earliest >= 2*time.Second)
	is.True(latest-earliest > time.Second)
}

// Guards against a wait for reservations so long that a caller refused after it has no time left to turn elsewhere.
func TestMaxWaitIsPartOfTheObjective(t *testing.T) {
	is := is.New(t)

	a, ok := admission.Decide(quickJob(8), runTime, newLoad(60, 0), random()).(admission.Admit)
	is.True(ok)
	is.True(a.MaxWait() < quickJob(8).Policy().Objective(runTime)/4)
}

// Guards against the refusal of a job after its maximum wait although the queue will soon be served, as after a burst
// that busy processes handle late.
func TestWaitIsExtended(t *testing.T) {
	is := is.New(t)

	objective := quickJob(8).Policy().Objective(runTime)
	waited := objective / 4

	a, ok := admission.ExtendWait(quickJob(8), runTime, waited, newLoad(0, 30), random()).(admission.Admit)
	is.True(ok)
	is.True(a.MaxWait() > 0)
	is.True(waited+a.MaxWait() < objective-runTime)
}

// Guards against a job that goes on waiting behind a queue that is too long, or when it can no longer meet its
// objective.
func TestWaitIsNotExtended(t *testing.T) {
	is := is.New(t)

	objective := quickJob(8).Policy().Objective(runTime)

	is.Equal(refusalReason(
		admission.ExtendWait(quickJob(8), runTime, objective/4, newLoad(0, 400), random()),
	), admission.Overloaded)
	is.Equal(refusalReason(
		admission.ExtendWait(quickJob(8), runTime, objective-runTime, newLoad(640, 0), random()),
	), admission.Overloaded)
}

// Guards against the refusal of a burst after an idle time, when the few launches of the last second give too low a
// rate.
func TestReleaseRateAfterIdleTime(t *testing.T) {
	is := is.New(t)

	var estimator admission.ReleaseRateEstimator
	estimator.Observe(0, runTime)
	estimator.Observe(2, 15*runTime)

	running, launchRate := admission.Usage{270 * core, 0, 270 * core}, admission.Usage{50 * core, 0, 10 * core}
	rate := estimator.Rate(0, 540*core, running, launchRate)
	is.True(rate > 4799*core && rate < 4801*core) // 270 / 0.06 + 270 / 0.9
	is.Equal(estimator.Rate(0, 0, admission.Usage{}, admission.Usage{}), int64(0))

	burst := func(rate int64) admission.Load {
		return admission.NewLoad(0, 100*core, 640*core, noUsage, 0, rate, job.NewSize(64*core, 1000), 10)
	}
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, burst(rate), random())), "")
	is.Equal(refusalReason(admission.Decide(quickJob(8), runTime, burst(60*core), random())), admission.Overloaded)
}
