// Package job holds repeatable jobs: work that may run again from the start, of which nothing is kept, and whose caller
// waits for the end.
package job

import "time"

// Size is what one task occupies while it runs. The zero value occupies nothing.
type Size struct {
	// cpu is in thousandths of a core, memory in MB; neither is negative.
	millicores, memoryMB int64
}

// NewSize returns a size of cpu thousandths of a core and memory MB. Negative figures count as zero.
func NewSize(millicores, memoryMB int64) Size { return Size{max(0, millicores), max(0, memoryMB)} }

// CPU returns thousandths of a core.
func (s Size) Millicores() int64 { return s.millicores }

// Memory returns MB.
func (s Size) MemoryMB() int64 { return s.memoryMB }

// Plus returns the sum.
func (s Size) Plus(t Size) Size { return Size{s.millicores + t.millicores, s.memoryMB + t.memoryMB} }

// Minus returns the difference; what would be negative is zero.
func (s Size) Minus(t Size) Size { return NewSize(s.millicores-t.millicores, s.memoryMB-t.memoryMB) }

// Times returns n times the size.
func (s Size) Times(n int) Size { return Size{s.millicores * int64(n), s.memoryMB * int64(n)} }

// Fits returns how many tasks of size t fit into s, at most limit.
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

// Terms are what the operator's configuration says of a kind of job.
type Policy struct {
	kind, service string
	// priority zero is the most urgent.
	priority int
	// attempts is at least 1.
	maxAttempts int
	// stretch is at least 1.
	stretch float64
	target  time.Duration
}

// NewTerms returns the terms of a kind of job that runs at a service.
func NewPolicy(kind, service string, priority, maxAttempts int, stretch float64, target time.Duration) Policy {
	return Policy{kind, service, max(0, priority), max(1, maxAttempts), max(1, stretch), max(0, target)}
}

// Kind returns the name of the kind.
func (p Policy) Kind() string { return p.kind }

// Service returns the name of the service whose backend servers run the tasks.
func (p Policy) Service() string { return p.service }

// Priority returns the urgency; zero is the most urgent.
func (p Policy) Priority() int { return p.priority }

// Attempts returns how often a task may fail before its job has failed.
func (p Policy) MaxAttempts() int { return p.maxAttempts }

// Objective returns the response time within which a job with this run time is on time.
func (p Policy) Objective(run time.Duration) time.Duration {
	return time.Duration(float64(run)*p.stretch) + p.target
}

// Wishes are where the tasks of a job may or should run. The zero value allows every place.
type Constraints struct {
	requiredLabel, preferredLabel string
	// perServer is the most tasks that one backend server may run; zero is no limit.
	maxTasksPerServer int
}

// NewWishes returns wishes: a label that the backend server must have, one that it should have, and the most tasks that
// one backend server may run. Empty texts and zero wish nothing.
func NewConstraints(requiredLabel, preferredLabel string, maxTasksPerServer int) Constraints {
	return Constraints{requiredLabel, preferredLabel, max(0, maxTasksPerServer)}
}

// Required returns the label that a backend server must have.
func (c Constraints) RequiredLabel() string { return c.requiredLabel }

// Preferred returns the label that a backend server should have.
func (c Constraints) PreferredLabel() string { return c.preferredLabel }

// PerServer returns the most tasks that one backend server may run, or zero.
func (c Constraints) MaxTasksPerServer() int { return c.maxTasksPerServer }

// Job is a repeatable job of one or more tasks that run side by side.
type Job struct {
	// id is the caller's; a job that is sent again keeps it.
	id    string
	input string
	// tasks is at least 1.
	tasks       int
	size        Size
	estimate    time.Duration
	policy      Policy
	constraints Constraints
	// budget is how long the caller waits from the arrival on.
	timeout time.Duration
}

// New returns a job. The estimate is the declared run time of one task, zero if there is none.
func New(id, input string, tasks int, size Size, estimate, timeout time.Duration, policy Policy, constraints Constraints) Job {
	return Job{id, input, max(1, tasks), size, max(0, estimate), policy, constraints, timeout}
}

// ID returns the caller's name of the job.
func (j Job) ID() string { return j.id }

// Input returns what every task is given.
func (j Job) Input() string { return j.input }

// Tasks returns the number of tasks.
func (j Job) Tasks() int { return j.tasks }

// Size returns what each task occupies.
func (j Job) Size() Size { return j.size }

// Estimate returns the declared run time of a task.
func (j Job) Estimate() time.Duration { return j.estimate }

// Budget returns how long the caller waits.
func (j Job) Timeout() time.Duration { return j.timeout }

// Terms returns the terms of the job's kind.
func (j Job) Policy() Policy { return j.policy }

// Wishes returns where the tasks may run.
func (j Job) Constraints() Constraints { return j.constraints }
