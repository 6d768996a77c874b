// Package admission decides at once whether a repeatable job can still be served, and how long it may wait for room.
//
// It answers a load above the capacity: a job that would start too late is refused when it arrives, so that its caller
// can turn elsewhere, and the room goes to jobs that will be on time.
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// patienceShare is the part of the objective that a job may wait for its places.
	maxWaitShare = 0.22
	// minPatience covers the round trips of a reservation between failure domains.
	minMaxWait = 20 * time.Millisecond
	// minRetry and maxRetry bound when a refused caller is told to come back.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// slackShare is the part of the time that a job has to spare that it is expected to wait at most; the expectation is
	// rough.
	usableSlackShare = 0.9
	// lastTask is the run time of the slowest task of a job in proportion to the expected one.
	slowestTaskFactor = 1.25
	// overhead is what a job takes on its way beside waiting and running.
	jobOverhead = 15 * time.Millisecond
	// idleShare is the part of the capacity that is taken to become free per second at least.
	minReleaseShare = 0.1
	// yieldShare is the part of the room that more urgent tasks leave which a kind of job can use.
	priorityCapacityShare = 0.8
)

// Load is what an entry knows of the room of a service.
type Load struct {
	// These are in thousandths of a core: queued counts requests of at least the job's urgency, yielding what is not
	// taken by more urgent tasks.
	free, queued, capacity, priorityCapacity, running int64
	// rate is how much room a job of this urgency can get while all is in use, in thousandths of a core per second.
	releaseRate int64
	// largest is the most that one backend server holds.
	largestServer job.Size
	servers       int
	// settling is how much longer backend servers may be unknown because this process has started lately.
	warmUp time.Duration
}

// NewLoad returns the load of a service for jobs of a priority, with a number of backend servers that take tasks. rate is
// how much room they can get while all is in use.
func NewLoad(
	free, queued, capacity int64, running Usage, priority int, releaseRate int64, largestServer job.Size, servers int,
) Load {
	return Load{
		free: free, queued: queued, capacity: capacity, priorityCapacity: max(0, capacity-running.moreUrgentThan(priority)),
		running: running.sum(), releaseRate: releaseRate, largestServer: largestServer, servers: servers,
	}
}

// Settling returns the load as seen by a process to which not all backend servers may be known yet, for so long.
func (l Load) WithWarmUp(remaining time.Duration) Load {
	l.warmUp = max(0, remaining)

	return l
}

// String returns the figures for logs.
func (l Load) String() string {
	return fmt.Sprintf("free=%d queued=%d capacity=%d running=%d yielding=%d rate=%d servers=%d",
		l.free, l.queued, l.capacity, l.running, l.priorityCapacity, l.releaseRate, l.servers)
}

// Verdict is one of Admit and Refuse.
type Decision interface{ decision() }

// Admit lets the job ask for room.
type Admit struct {
	maxWait      time.Duration
	expectedWait time.Duration
}

// Refuse turns the job away.
type Refuse struct {
	reason     string
	retryAfter time.Duration
}

// Patience returns how long the job may wait for its places.
func (a Admit) MaxWait() time.Duration { return a.maxWait }

// Expected returns the expected wait.
func (a Admit) ExpectedWait() time.Duration { return a.expectedWait }

// Reason returns why the job is refused.
func (r Refuse) Reason() string { return r.reason }

// After returns when the caller should come back.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

func (Admit) decision()  {}
func (Refuse) decision() {}

// Reasons of refusals.
const (
	NoServers           = "no backend server of the service takes tasks"
	TooLarge            = "a task is larger than every backend server"
	Overloaded          = "the wait for room is longer than the job can bear"
	DeadlineUnreachable = "the caller's deadline comes before the job can end"
)

// Decide judges a job whose tasks are expected to run for the given time.
func Decide(j job.Job, runTime time.Duration, l Load, random *rand.Rand) Decision {
	if available := min(slack(j, runTime), j.Timeout()-runTime); l.warmUp > 0 && available > 0 {
		return Admit{maxWait: min(l.warmUp, available)}
	}

	switch {
	case l.servers == 0:
		return Refuse{NoServers, RetryAfter(time.Second, random)}
	case l.largestServer.CountFitting(j.Size(), 1) == 0:
		return Refuse{TooLarge, maxRetryAfter}
	case j.Timeout() < runTime/4:
		return Refuse{DeadlineUnreachable, minRetryAfter}
	}

	objective := j.Policy().Objective(runTime)
	maxWait := max(minMaxWait, time.Duration(float64(objective)*maxWaitShare))
	expectedWait := l.expectedWait(j.Size().Times(j.Tasks()).Millicores(), runTime)

	if expectedWait > 0 && float64(expectedWait) > usableSlackShare*float64(slack(j, runTime)) {
		return Refuse{Overloaded, RetryAfter(expectedWait, random)}
	}

	return Admit{min(maxWait, j.Timeout()), expectedWait}
}

// Prolong judges a job that found no place within its patience. It waits on while the load lets it expect to be on time,
// in steps of the expected wait. It answers a burst that the processes between caller and backend server handle late:
// what is queued then is gone within the run time of a task.
func ExtendWait(j job.Job, runTime, waited time.Duration, l Load, random *rand.Rand) Decision {
	remainingSlack := slack(j, runTime) - waited
	// The job itself is among what is queued.
	expectedWait := l.expectedWait(0, runTime)

	if float64(expectedWait) > usableSlackShare*float64(remainingSlack) || remainingSlack < minMaxWait {
		return Refuse{Overloaded, RetryAfter(max(expectedWait, waited), random)}
	}

	return Admit{min(max(minMaxWait, expectedWait), j.Timeout()-waited), expectedWait}
}

// spareTime returns how long a job can wait and still be on time.
func slack(j job.Job, runTime time.Duration) time.Duration {
	return j.Policy().Objective(runTime) - time.Duration(slowestTaskFactor*float64(runTime)) - jobOverhead
}

// wait returns how long it takes until so much room is free, with what is queued before it. Tasks are expected to run for
// the given time where nothing was measured.
func (l Load) expectedWait(required int64, runTime time.Duration) time.Duration {
	missing := l.queued + required - l.free

	// With nobody waiting, the figures may be those of a moment ago, when tasks ran that have ended.
	if missing <= 0 || l.queued == 0 {
		return 0
	}

	releaseRate := max(float64(l.releaseRate), float64(l.capacity)*minReleaseShare, 1)

	switch {
	case runTime <= 0:
	case l.releaseRate == 0:
		// After a start nothing was measured yet; the others are taken to be like this job.
		releaseRate = float64(l.capacity) / runTime.Seconds()
	case l.priorityCapacity < l.capacity:
		// What was launched of a kind that yields varies much from second to second; what is left for it does not.
		releaseRate = max(releaseRate, priorityCapacityShare*float64(l.priorityCapacity)/runTime.Seconds())
	}

	return time.Duration(float64(missing) / releaseRate * float64(time.Second))
}

// RetryAfter returns when a caller should come back that finds a wait now. It is spread over its own length again, so
// that callers that were refused together do not return together.
func RetryAfter(expectedWait time.Duration, random *rand.Rand) time.Duration {
	base := min(max(2*expectedWait, minRetryAfter), maxRetryAfter/2)

	return base + time.Duration(random.Float64()*float64(base))
}
