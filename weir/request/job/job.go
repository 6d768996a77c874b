// Package job defines repeatable jobs: work that may be run again from the start, that is not stored, and whose caller
// waits for its end.
package job

import (
	"slices"
	"time"
)

// Size is the CPU and memory that one task occupies while it runs. The zero value occupies nothing.
type Size struct {
	// millicores and memoryMB are never negative.
	millicores, memoryMB int64
}

// NewSize returns a size. Negative values count as zero.
func NewSize(millicores, memoryMB int64) Size { return Size{max(0, millicores), max(0, memoryMB)} }

// Millicores returns the CPU in thousandths of a core.
func (s Size) Millicores() int64 { return s.millicores }

// MemoryMB returns the memory in MB.
func (s Size) MemoryMB() int64 { return s.memoryMB }

// Plus returns the sum of both sizes.
func (s Size) Plus(t Size) Size { return Size{s.millicores + t.millicores, s.memoryMB + t.memoryMB} }

// Minus returns the difference; a negative result counts as zero.
func (s Size) Minus(t Size) Size { return NewSize(s.millicores-t.millicores, s.memoryMB-t.memoryMB) }

// Times returns the size of n tasks of size s.
func (s Size) Times(n int) Size { return Size{s.millicores * int64(n), s.memoryMB * int64(n)} }

// CountFitting returns the number of tasks of size t that fit into s together, at most limit.
func (s Size) CountFitting(t Size, limit int) int {
	n := int64(limit)
	if t.millicores > 0 {
		n = min(n, s.millicores/t.millicores)
	}

	if t.memoryMB > 0 {
		n = min(n, s.memoryMB/t.memoryMB)
	}

	return int(max(0, n))
}

// Policy holds the operator's settings for a kind of job.
type Policy struct {
	kind, service string
	// priority zero is the most urgent.
	priority int
	// attemptLimit is at least 1.
	attemptLimit int
	// The objective of a job is stretch times its run time plus target. stretch is at least 1, target is not negative.
	stretch float64
	target  time.Duration
	// regions are the regions where tasks may run, empty if all of them are allowed.
	regions []string
}

// NewPolicy returns the policy of a kind of job whose tasks run at a service. Values below their minimum are raised to
// it: zero for priority and target, one for attemptLimit and stretch.
func NewPolicy(kind, service string, priority, attemptLimit int, stretch float64, target time.Duration) Policy {
	return Policy{
		kind: kind, service: service, priority: max(0, priority), attemptLimit: max(1, attemptLimit), stretch: max(1, stretch),
		target: max(0, target),
	}
}

// WithRegions returns the policy with the regions where tasks may run. Without any, all regions are allowed.
func (p Policy) WithRegions(regions []string) Policy {
	p.regions = regions

	return p
}

// Regions returns the regions where tasks may run, which are not changed; there are none if all regions are allowed.
func (p Policy) Regions() []string { return p.regions }

// AllowsRegion reports whether tasks may run in a region. A region that is not known is empty, and allowed only if all are.
func (p Policy) AllowsRegion(region string) bool {
	return len(p.regions) == 0 || slices.Contains(p.regions, region)
}

// Kind returns the name of the kind.
func (p Policy) Kind() string { return p.kind }

// Service returns the name of the service whose backend servers run the tasks.
func (p Policy) Service() string { return p.service }

// Priority returns the urgency; zero is the most urgent.
func (p Policy) Priority() int { return p.priority }

// AttemptLimit returns the number of failures of one task after which its job fails.
func (p Policy) AttemptLimit() int { return p.attemptLimit }

// Objective returns the longest response time with which a job of this run time counts as on time.
func (p Policy) Objective(run time.Duration) time.Duration {
	return time.Duration(float64(run)*p.stretch) + p.target
}

// Constraints restrict the backend servers on which the tasks of a job run. The zero value allows all of them.
type Constraints struct {
	requiredLabel, preferredLabel string
	// maxTasksPerServer limits the tasks of the job on one backend server; zero means no limit.
	maxTasksPerServer int
}

// NewConstraints returns constraints: a label that a backend server must have, a label that it should have, and the
// maximum number of the job's tasks on one backend server. Empty strings and zero set no constraint.
func NewConstraints(requiredLabel, preferredLabel string, maxTasksPerServer int) Constraints {
	return Constraints{requiredLabel, preferredLabel, max(0, maxTasksPerServer)}
}

// RequiredLabel returns the label that a backend server must have, or an empty string.
func (c Constraints) RequiredLabel() string { return c.requiredLabel }

// PreferredLabel returns the label that a backend server should have, or an empty string.
func (c Constraints) PreferredLabel() string { return c.preferredLabel }

// MaxTasksPerServer returns the maximum number of the job's tasks on one backend server; zero means no limit.
func (c Constraints) MaxTasksPerServer() int { return c.maxTasksPerServer }

// Job is a repeatable job of one or more tasks that run in parallel.
type Job struct {
	// id is chosen by the caller; a job that is submitted again keeps it.
	id    string
	input string
	// tasks is at least 1.
	tasks       int
	size        Size
	estimate    time.Duration
	policy      Policy
	constraints Constraints
	// timeout is how long the caller waits, measured from the arrival of the job.
	timeout time.Duration
}

// New returns a job. The estimate is the run time of one task as declared by the caller, or zero if there is none.
func New(
	id, input string, tasks int, size Size, estimate, timeout time.Duration, policy Policy, constraints Constraints,
) Job {
	return Job{id, input, max(1, tasks), size, max(0, estimate), policy, constraints, timeout}
}

// ID returns the ID that the caller chose.
func (j Job) ID() string { return j.id }

// Input returns the input, which is the same for every task.
func (j Job) Input() string { return j.input }

// Tasks returns the number of tasks, which is at least 1.
func (j Job) Tasks() int { return j.tasks }

// Size returns the CPU and memory that each task occupies.
func (j Job) Size() Size { return j.size }

// Estimate returns the declared run time of one task, or zero.
func (j Job) Estimate() time.Duration { return j.estimate }

// Timeout returns how long the caller waits, measured from the arrival of the job.
func (j Job) Timeout() time.Duration { return j.timeout }

// Policy returns the operator's settings for the kind of job.
func (j Job) Policy() Policy { return j.policy }

// Constraints returns the restrictions on where the tasks run.
func (j Job) Constraints() Constraints { return j.constraints }
