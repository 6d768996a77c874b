package admission

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Free returns the free CPU of the backend servers that can run the job, in millicores.
func (l Load) Free() int64 { return l.free }

// Queued returns the CPU of the requests that are at least as urgent as the job, in millicores.
func (l Load) Queued() int64 { return l.queued }

// Capacity returns the CPU of the backend servers that can run the job, in millicores.
func (l Load) Capacity() int64 { return l.capacity }

// Running returns the CPU of the running tasks, in millicores.
func (l Load) Running() int64 { return l.running }

// PriorityCapacity returns the capacity that no more urgent task occupies, in millicores.
func (l Load) PriorityCapacity() int64 { return l.priorityCapacity }

// ReleaseRate returns the capacity that becomes available to jobs of the priority while all capacity is in use, in
// millicores per second; zero if nothing has been measured.
func (l Load) ReleaseRate() int64 { return l.releaseRate }

// LargestServer returns the capacity of the largest backend server.
func (l Load) LargestServer() job.Size { return l.largestServer }

// Servers returns the number of backend servers that can run the job.
func (l Load) Servers() int { return l.servers }

// Elsewhere returns the number of backend servers that accept tasks, but are in regions that the job does not allow.
func (l Load) Elsewhere() int { return l.elsewhere }

// WarmUp returns how much longer backend servers may be unknown to this process after its start.
func (l Load) WarmUp() time.Duration { return l.warmUp }

// ExpectedWait returns how long a job is expected to wait for its reservations on arrival.
func (l Load) ExpectedWait(j job.Job, runTime time.Duration) time.Duration {
	return l.expectedWait(j.Size().Times(j.Tasks()).Millicores(), runTime)
}

// UsableSlack returns the longest expected wait with which a job is admitted on arrival. It is negative for a job that can't
// meet its objective; such a job is admitted if it need not wait.
func UsableSlack(j job.Job, runTime time.Duration) time.Duration {
	return time.Duration(usableSlackShare * float64(slack(j, runTime)))
}
