// Package repeatable runs the tasks of repeatable jobs at the backend server of the sidecar. The tasks run under a
// lease: the backend server stops them when the sidecar does not renew it in time.
package repeatable

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// ErrOtherInstance is returned by a Backend when another incarnation of the backend server answered.
var ErrOtherInstance = errors.New("another instance of the backend server answered")

// ErrNotReached is returned by a Backend when nothing listens at the address of the backend server. The call was not
// delivered and will not be carried out.
var ErrNotReached = errors.New("nothing listens at the address of the backend server")

// CallError returns the error of an HTTP call to a backend server, marked with ErrNotReached if the connection was
// refused.
func CallError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrNotReached, err)
	}

	return err
}

// Task identifies one task of a job.
type Task struct {
	job   string
	index uint32
}

// NewTask returns the task of a job with an index, which counts from zero.
func NewTask(job string, index uint32) Task { return Task{job, index} }

// Job returns the name that the caller gave the job.
func (t Task) Job() string { return t.job }

// Index returns the index of the task in its job, from zero.
func (t Task) Index() uint32 { return t.index }

// Run is one start of a task.
type Run struct {
	task Task
	// number increases with each start of the task at a backend server.
	number int64
}

// NewRun returns the start of a task with a run number.
func NewRun(t Task, number int64) Run { return Run{t, number} }

// Task returns the task that is started.
func (r Run) Task() Task { return r.task }

// Number returns the run number, which increases with each start of the task at a backend server.
func (r Run) Number() int64 { return r.number }

// Permit authorizes a call to the backend server and renews the lease of its tasks.
type Permit struct {
	// instance identifies the incarnation of the backend server that the call is for.
	instance string
	// token is the fencing token; the backend server rejects a start or watch whose token is lower than one it has seen.
	token int64
	// leaseEnd is the end of the lease on the backend server's clock; zero does not renew the lease.
	leaseEnd time.Duration
}

// NewPermit returns a permit for an incarnation. It does not renew the lease if leaseEnd is zero.
func NewPermit(instance string, token int64, leaseEnd time.Duration) Permit {
	return Permit{instance, token, leaseEnd}
}

// Instance returns the incarnation of the backend server that the call is for.
func (p Permit) Instance() string { return p.instance }

// Token returns the fencing token.
func (p Permit) Token() int64 { return p.token }

// LeaseEnd returns the end of the lease on the backend server's clock, or zero if the call does not renew it.
func (p Permit) LeaseEnd() time.Duration { return p.leaseEnd }

// StartResult is the backend server's answer to a start.
type StartResult uint8

// The results of a start.
const (
	// Started is also the answer to a repeated start.
	Started StartResult = iota
	// Fenced means that a higher fencing token is in use.
	Fenced
	// Outdated means that the backend server has already seen this run or a later one of the task.
	Outdated
	// LeaseExpired means that the lease in the permit had ended.
	LeaseExpired
	// Full means that there is no free capacity.
	Full
	// Unhealthy means that the backend server does not accept tasks at present.
	Unhealthy
	// Invalid means that the backend server could not interpret the start.
	Invalid
)

var startResultNames = [...]string{"started", "fenced", "outdated", "late", "full", "unwell", "invalid"}

// String returns the name of the result in log lines and in the messages of package leasedbackend.
func (r StartResult) String() string { return startResultNames[r] }

// ParseStartResult returns the result with a name, and false for an unknown name.
func ParseStartResult(name string) (StartResult, bool) {
	n := slices.Index(startResultNames[:], name)

	return StartResult(max(0, n)), n >= 0
}

// StartAnswer is an answer to a start.
type StartAnswer struct {
	result StartResult
	clock  time.Duration
	detail string
}

// NewStartAnswer returns an answer with the time on the backend server's clock.
func NewStartAnswer(r StartResult, clock time.Duration) StartAnswer {
	return StartAnswer{result: r, clock: clock}
}

// WithDetail returns the answer with what the backend server said in its own words, for log lines.
func (a StartAnswer) WithDetail(detail string) StartAnswer {
	a.detail = detail

	return a
}

// Result returns the result.
func (a StartAnswer) Result() StartResult { return a.result }

// Clock returns the time on the backend server's clock, zero if the answer does not tell it.
func (a StartAnswer) Clock() time.Duration { return a.clock }

// Detail returns what the backend server said in its own words, empty if that is not known.
func (a StartAnswer) Detail() string { return a.detail }

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	// Lost means that the run ended without a result.
	Lost Outcome = iota
	Done
	Failed
	Stopped
)

var outcomeNames = [...]string{"lost", "done", "failed", "stopped"}

// String returns the name of the outcome in the messages of package leasedbackend.
func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome returns the outcome with a name, and Lost for an unknown name.
func ParseOutcome(name string) Outcome { return Outcome(max(0, slices.Index(outcomeNames[:], name))) }

// EndedRun is a run that the backend server lists as ended until the sidecar acknowledges it.
type EndedRun struct {
	// number increases with each run that ends in an incarnation; it is zero if it can't be read.
	number  uint64
	run     Run
	outcome Outcome
}

// NewEndedRun returns an ended run with its number in the list of the backend server.
func NewEndedRun(number uint64, r Run, o Outcome) EndedRun { return EndedRun{number, r, o} }

// Number returns the number in the list, by which the sidecar acknowledges ended runs.
func (e EndedRun) Number() uint64 { return e.number }

// Run returns the run that ended.
func (e EndedRun) Run() Run { return e.run }

// Outcome returns how the run ended.
func (e EndedRun) Outcome() Outcome { return e.outcome }

// WatchResult is the state that the backend server reports in its answer to Watch.
type WatchResult struct {
	clock       time.Duration
	startedAtMS int64
	running     []Run
	ended       []EndedRun
	fenced      bool
	// hasMoreEnds is true if there may be ended runs that are not listed.
	hasMoreEnds bool
	// unreadableRuns and unreadableEnds are the rows of the two lists that can't be read.
	unreadableRuns []UnreadableRun
	unreadableEnds []UnreadableEnd
}

// NewWatchResult returns a result with the backend server's clock, the start of its incarnation in Unix milliseconds
// and its runs.
func NewWatchResult(clock time.Duration, startedAtMS int64, running []Run, ended []EndedRun) WatchResult {
	return WatchResult{clock: clock, startedAtMS: startedAtMS, running: running, ended: ended}
}

// WithUnreadable returns the result with the rows of the two lists that can't be read.
func (r WatchResult) WithUnreadable(runs []UnreadableRun, ends []UnreadableEnd) WatchResult {
	r.unreadableRuns, r.unreadableEnds = runs, ends

	return r
}

// WithMoreEnds returns the result of a backend server that has listed only the first ends that are not acknowledged.
func (r WatchResult) WithMoreEnds() WatchResult {
	r.hasMoreEnds = true

	return r
}

// HasMoreEnds reports whether there may be ended runs that are not listed.
func (r WatchResult) HasMoreEnds() bool { return r.hasMoreEnds }

// UnreadableRuns returns the rows of the list of runs that name no run.
func (r WatchResult) UnreadableRuns() []UnreadableRun { return r.unreadableRuns }

// UnreadableEnds returns the rows of the list of ended runs that can't be read in full.
func (r WatchResult) UnreadableEnds() []UnreadableEnd { return r.unreadableEnds }

// hasUnnumberedEnd reports whether an ended run is listed that can't be acknowledged by itself.
func (r WatchResult) hasUnnumberedEnd() bool {
	return slices.ContainsFunc(r.unreadableEnds, func(e UnreadableEnd) bool { return e.number == 0 })
}

// Clock returns the time on the backend server's clock.
func (r WatchResult) Clock() time.Duration { return r.clock }

// StartedAtMS returns the start of the incarnation in Unix milliseconds.
func (r WatchResult) StartedAtMS() int64 { return r.startedAtMS }

// Running returns the runs that have not ended.
func (r WatchResult) Running() []Run { return r.running }

// Ended returns the ended runs that are not acknowledged yet.
func (r WatchResult) Ended() []EndedRun { return r.ended }

// Fenced reports whether the fencing token of the call was too low.
func (r WatchResult) Fenced() bool { return r.fenced }

// NewFencedWatchResult returns the result of a call whose fencing token was too low.
func NewFencedWatchResult(clock time.Duration) WatchResult {
	return WatchResult{clock: clock, fenced: true}
}

// Backend is a backend server that runs tasks under a lease. After an error it is unknown whether the backend server
// has carried out the call, and it may still do so later.
type Backend interface {
	Start(ctx context.Context, r Run, input string, p Permit) (StartAnswer, error)
	Stop(ctx context.Context, r Run, p Permit) error
	// Watch acknowledges the ended runs up to the number lastEnd, renews the lease and waits at most wait for a run to
	// end.
	Watch(ctx context.Context, lastEnd uint64, wait time.Duration, p Permit) (WatchResult, error)
}
