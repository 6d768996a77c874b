// Package admission decides whether a repeatable job is admitted on arrival, and how long it may wait for capacity.
//
// Under overload, a job that would start too late is refused when it arrives, so that its caller can turn elsewhere and
// the capacity goes to jobs that can meet their objective.
//
// CPU figures are in millicores, thousandths of a core.
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// maxWaitShare is the part of the objective that a job may wait for its reservations.
	maxWaitShare = 0.22
	// minMaxWait is the lower bound of the maximum wait. It covers the round trips of a reservation between failure
	// domains.
	minMaxWait = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller may retry.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// usableSlackShare is the part of a job's slack that the expected wait may take; the rest allows for the error of the
	// expectation.
	usableSlackShare = 0.9
	// slowestTaskFactor is the run time of the slowest task of a job relative to the expected run time.
	slowestTaskFactor = 1.25
	// jobOverhead is the time that a job takes besides waiting and running.
	jobOverhead = 15 * time.Millisecond
	// minReleaseShare is the lower bound of the measured release rate, as a part of the capacity per second.
	minReleaseShare = 0.1
	// priorityCapacityShare is the part that a kind of job can use of the capacity that more urgent tasks leave free.
	priorityCapacityShare = 0.8
)

// Load is the load of a service as an entry sees it, for jobs of one priority.
type Load struct {
	// These are in millicores. queued counts requests that are at least as urgent as the job. priorityCapacity is the
	// capacity that no more urgent task occupies.
	free, queued, capacity, priorityCapacity, running int64
	// releaseRate is the capacity that becomes available to jobs of the priority while all capacity is in use, in
	// millicores per second. It is zero if nothing has been measured.
	releaseRate int64
	// largestServer is the capacity of the largest backend server.
	largestServer job.Size
	// servers is the number of backend servers that accept tasks.
	servers int
	// elsewhere is the number of backend servers that accept tasks in regions that the job does not allow.
	elsewhere int
	// warmUp is how much longer backend servers may be unknown to this process after its start.
	warmUp time.Duration
	// evacuated is the reason for the refusal if evacuations leave no backend server that can run the job, or empty.
	evacuated string
}

// NewLoad returns the load of a service for jobs of a priority. releaseRate is the capacity that becomes available to
// them while all capacity is in use, in millicores per second. servers is the number of backend servers that accept
// tasks.
func NewLoad(
	free, queued, capacity int64, running Usage, priority int, releaseRate int64, largestServer job.Size, servers int,
) Load {
	return Load{
		free: free, queued: queued, capacity: capacity, priorityCapacity: max(0, capacity-running.moreUrgentThan(priority)),
		running: running.sum(), releaseRate: releaseRate, largestServer: largestServer, servers: servers,
	}
}

// WithWarmUp returns the load as seen by a process to which some backend servers may be unknown for the remaining time.
func (l Load) WithWarmUp(remaining time.Duration) Load {
	l.warmUp = max(0, remaining)

	return l
}

// WithElsewhere returns the load with the number of backend servers that accept tasks, but are in regions that the job does
// not allow.
func (l Load) WithElsewhere(servers int) Load {
	l.elsewhere = servers

	return l
}

// WithEvacuated returns the load of a service of which evacuations leave no backend server that can run the job, with the
// reason for its refusal. An empty reason stands for any other load.
func (l Load) WithEvacuated(reason string) Load {
	l.evacuated = reason

	return l
}

// hasServersElsewhereOnly reports whether servers accept tasks, but none in a region that the job allows.
func (l Load) hasServersElsewhereOnly() bool { return l.servers == 0 && l.elsewhere > 0 }

// IsEvacuated reports whether evacuations leave no backend server that can run the job.
func (l Load) IsEvacuated() bool { return l.evacuated != "" }

// String returns the figures for logs. The key of priorityCapacity is yielding.
func (l Load) String() string {
	return fmt.Sprintf("free=%d queued=%d capacity=%d running=%d yielding=%d rate=%d servers=%d",
		l.free, l.queued, l.capacity, l.running, l.priorityCapacity, l.releaseRate, l.servers)
}

// Decision is one of Admit and Refuse.
type Decision interface{ decision() }

// Admit allows the job to request capacity.
type Admit struct {
	maxWait      time.Duration
	expectedWait time.Duration
}

// Refuse rejects the job.
type Refuse struct {
	reason     string
	retryAfter time.Duration
}

// NewRefuse returns the rejection of a job for a reason, with the delay after which the caller may retry.
func NewRefuse(reason string, retryAfter time.Duration) Refuse { return Refuse{reason, retryAfter} }

// MaxWait returns how long the job may wait for its reservations.
func (a Admit) MaxWait() time.Duration { return a.maxWait }

// ExpectedWait returns the expected wait for reservations.
func (a Admit) ExpectedWait() time.Duration { return a.expectedWait }

// Reason returns why the job is refused.
func (r Refuse) Reason() string { return r.reason }

// RetryAfter returns the delay after which the caller may retry.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

func (Admit) decision()  {}
func (Refuse) decision() {}

// Reasons of refusals.
const (
	AllEvacuated        = "all failure domains with backend servers of the service are evacuated"
	LabelEvacuated      = "the required label exists only at backend servers in evacuated failure domains"
	NoServers           = "no backend server of the service accepts tasks"
	NoServersInRegions  = "no backend server in the regions that the route allows accepts tasks of the service"
	TooLarge            = "a task needs more CPU or memory than any backend server has"
	Overloaded          = "waiting for free capacity would make the job miss its objective"
	Throttled           = "most jobs of this kind wait in vain at this entry"
	DeadlineUnreachable = "the caller's deadline leaves less than a quarter of the expected run time"
	LimitUnreachable    = "the job's limit on one backend server makes its tasks run in turns beyond the caller's deadline"
)

// Decide evaluates a job on arrival. Its tasks are expected to run for runTime each.
func Decide(j job.Job, runTime time.Duration, l Load, random *rand.Rand) Decision {
	if available := min(slack(j, runTime), j.Timeout()-runTime); l.warmUp > 0 && available > 0 {
		return Admit{maxWait: min(l.warmUp, available)}
	}

	switch {
	case l.evacuated != "":
		return Refuse{l.evacuated, RetryAfter(maxRetryAfter, random)}
	case l.hasServersElsewhereOnly():
		return Refuse{NoServersInRegions, RetryAfter(time.Second, random)}
	case l.servers == 0:
		return Refuse{NoServers, RetryAfter(time.Second, random)}
	case l.largestServer.CountFitting(j.Size(), 1) == 0:
		return Refuse{TooLarge, maxRetryAfter}
	case j.Timeout() < runTime/4:
		return Refuse{DeadlineUnreachable, minRetryAfter}
	case j.Timeout() < time.Duration(l.turns(j)-1)*runTime+runTime/4:
		return Refuse{LimitUnreachable, maxRetryAfter}
	}

	objective := j.Policy().Objective(runTime)
	maxWait := max(minMaxWait, time.Duration(float64(objective)*maxWaitShare))
	expectedWait := l.ExpectedWait(j, runTime)

	if expectedWait > 0 && expectedWait > UsableSlack(j, runTime) {
		return Refuse{Overloaded, RetryAfter(expectedWait, random)}
	}

	return Admit{min(maxWait, j.Timeout()), expectedWait}
}

// turns returns how often the job has to use each backend server at least, as it limits its tasks there.
func (l Load) turns(j job.Job) int {
	limit := j.Constraints().MaxTasksPerServer()
	if limit == 0 {
		return 1
	}

	atOnce := limit * l.servers

	return (j.Tasks() + atOnce - 1) / atOnce
}

// ExtendWait evaluates a job that got no reservation within its maximum wait. The job goes on waiting, in steps of the
// expected wait, while it can expect to meet its objective. This covers a burst that the processes between caller and
// backend server handle late: its queue is gone within the run time of a task.
func ExtendWait(j job.Job, runTime, waited time.Duration, l Load, random *rand.Rand) Decision {
	if l.evacuated != "" {
		return Refuse{l.evacuated, RetryAfter(maxRetryAfter, random)}
	}

	if l.hasServersElsewhereOnly() && l.warmUp == 0 {
		return Refuse{NoServersInRegions, RetryAfter(time.Second, random)}
	}

	remainingSlack := slack(j, runTime) - waited
	// The queue already includes this job.
	expectedWait := l.expectedWait(0, runTime)

	if float64(expectedWait) > usableSlackShare*float64(remainingSlack) || remainingSlack < minMaxWait {
		return Refuse{Overloaded, RetryAfter(max(expectedWait, waited), random)}
	}

	return Admit{min(max(minMaxWait, expectedWait), j.Timeout()-waited), expectedWait}
}

// slack returns how long a job can wait and still meet its objective.
func slack(j job.Job, runTime time.Duration) time.Duration {
	return j.Policy().Objective(runTime) - time.Duration(slowestTaskFactor*float64(runTime)) - jobOverhead
}

// expectedWait returns how long it takes until the required capacity, in millicores, is free after what is already
// queued. Where no release rate has been measured, tasks are expected to run for runTime.
func (l Load) expectedWait(required int64, runTime time.Duration) time.Duration {
	missing := l.queued + required - l.free

	// With an empty queue, the figures may be outdated: tasks that still count as running may have ended.
	if missing <= 0 || l.queued == 0 {
		return 0
	}

	releaseRate := max(float64(l.releaseRate), float64(l.capacity)*minReleaseShare, 1)

	switch {
	case runTime <= 0:
	case l.releaseRate == 0:
		// After a start nothing has been measured yet; all jobs are assumed to be like this one.
		releaseRate = float64(l.capacity) / runTime.Seconds()
	case l.priorityCapacity < l.capacity:
		// The release rate of a less urgent kind varies much from second to second; the capacity that more urgent tasks
		// leave to it does not.
		releaseRate = max(releaseRate, priorityCapacityShare*float64(l.priorityCapacity)/runTime.Seconds())
	}

	return time.Duration(float64(missing) / releaseRate * float64(time.Second))
}

// RetryAfter returns the delay after which a caller that finds the given expected wait may retry. Random jitter of up
// to the base delay keeps callers that were refused together from retrying together.
func RetryAfter(expectedWait time.Duration, random *rand.Rand) time.Duration {
	base := min(max(2*expectedWait, minRetryAfter), maxRetryAfter/2)

	return base + time.Duration(random.Float64()*float64(base))
}
