// Package repeatable runs the tasks of repeatable jobs at the backend server beside the sidecar, under a lease that
// ends by itself when the sidecar does not renew it.
package repeatable

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// ErrOtherInstance is returned by a Backend when another life of the backend server answered.
var ErrOtherInstance = errors.New("another instance of the backend server answered")

// Task names one task of a job.
type Task struct {
	job   string
	index uint32
}

// NewTask returns the task of a job with an index from zero on.
func NewTask(name string, index uint32) Task { return Task{name, index} }

// Job returns the caller's name of the job.
func (t Task) Job() string { return t.job }

// Index returns the place of the task in its job.
func (t Task) Index() uint32 { return t.index }

// Run is one start of a task.
type Run struct {
	task Task
	// number rises with each start of the task at a backend server.
	number int64
}

// NewRun returns a run.
func NewRun(t Task, number int64) Run { return Run{t, number} }

// Task returns the task.
func (r Run) Task() Task { return r.task }

// Number returns the number of the start.
func (r Run) Number() int64 { return r.number }

// Permit is what a call to the backend server proves and grants.
type Permit struct {
	// instance is the life of the backend server that is meant.
	instance string
	// token is the fencing token.
	token int64
	// until is the end of the lease on the backend server's clock; zero renews nothing.
	leaseEnd time.Duration
}

// NewPermit returns a permit.
func NewPermit(instance string, token int64, until time.Duration) Permit {
	return Permit{instance, token, until}
}

// Instance returns the life of the backend server that is meant.
func (p Permit) Instance() string { return p.instance }

// Token returns the fencing token.
func (p Permit) Token() int64 { return p.token }

// Until returns the end of the lease on the backend server's clock, or zero.
func (p Permit) LeaseEnd() time.Duration { return p.leaseEnd }

// Answer is the backend server's answer to a start.
type StartResult uint8

// The answers.
const (
	// Started is also the answer to a start that came twice.
	Started StartResult = iota
	// Fenced means that a higher fencing token is in use.
	Fenced
	// Outdated means that this run or a later one was there before.
	Outdated
	// Late means that the lease in the permit had ended.
	LeaseExpired
	// Full means that there is no room.
	Full
	// Unwell means that the backend server does not take tasks now.
	Unhealthy
	// Invalid means that the order is not understood.
	Invalid
)

var startResultNames = [...]string{"started", "fenced", "outdated", "late", "full", "unwell", "invalid"}

// String returns the name of the answer.
func (a StartResult) String() string { return startResultNames[a] }

// ParseAnswer returns the answer of a name, and Invalid for a name that is not known.
func ParseStartResult(name string) StartResult {
	if n := slices.Index(startResultNames[:], name); n >= 0 {
		return StartResult(n)
	}

	return Invalid
}

// How tells how a run ended.
type Outcome uint8

// The ends of a run.
const (
	// Lost means that the run ended without a result.
	Lost Outcome = iota
	Done
	Failed
	Stopped
)

var outcomeNames = [...]string{"lost", "done", "failed", "stopped"}

// String returns the name of the end.
func (h Outcome) String() string { return outcomeNames[h] }

// ParseHow returns the end of a name, and Lost for a name that is not known.
func ParseOutcome(name string) Outcome { return Outcome(max(0, slices.Index(outcomeNames[:], name))) }

// End is an end that the backend server lists until it is acknowledged.
type EndedRun struct {
	number  uint64
	run     Run
	outcome Outcome
}

// NewEnd returns an end with its number in the list.
func NewEndedRun(number uint64, r Run, how Outcome) EndedRun { return EndedRun{number, r, how} }

// Number returns the place of the end in the list.
func (e EndedRun) Number() uint64 { return e.number }

// Run returns the run that ended.
func (e EndedRun) Run() Run { return e.run }

// How returns how it ended.
func (e EndedRun) Outcome() Outcome { return e.outcome }

// View is what the backend server says of itself.
type WatchResult struct {
	clock       time.Duration
	startedAtMS int64
	running     []Run
	ended       []EndedRun
	fenced      bool
}

// NewView returns a view with the backend server's clock and the start of its life.
func NewWatchResult(clock time.Duration, born int64, running []Run, ended []EndedRun) WatchResult {
	return WatchResult{clock: clock, startedAtMS: born, running: running, ended: ended}
}

// Clock returns the backend server's clock.
func (v WatchResult) Clock() time.Duration { return v.clock }

// Born returns the start of the life in Unix milliseconds.
func (v WatchResult) StartedAtMS() int64 { return v.startedAtMS }

// Running returns what runs.
func (v WatchResult) Running() []Run { return v.running }

// Ended returns the ends that are not acknowledged.
func (v WatchResult) Ended() []EndedRun { return v.ended }

// Fenced tells whether the fencing token was too low.
func (v WatchResult) Fenced() bool { return v.fenced }

// NewFencedView returns the view of a call whose fencing token was too low.
func NewFencedWatchResult(clock time.Duration) WatchResult {
	return WatchResult{clock: clock, fenced: true}
}

// Backend is a backend server that runs tasks under a lease. An error means that there was no answer and the call may
// have been carried out, or may be later.
type Backend interface {
	Start(ctx context.Context, r Run, input string, p Permit) (StartResult, time.Duration, error)
	Stop(ctx context.Context, r Run, p Permit) error
	// Watch acknowledges the ends up to seen, renews the lease and waits at most wait for an end.
	Watch(ctx context.Context, seen uint64, wait time.Duration, p Permit) (WatchResult, error)
}

// Announcement is what a backend server says when it announces itself.
type Announcement struct {
	instance, service, failureDomain string
	// born is the start of its life in Unix milliseconds, zero if it does not say; sequence rises within a life.
	startedAtMS, sequence int64
	capacity              job.Size
	labels                []string
	draining              bool
}

// Instance returns the id of the life.
func (a Announcement) Instance() string { return a.instance }

// Service returns what the backend server runs.
func (a Announcement) Service() string { return a.service }

// FailureDomain returns where it runs.
func (a Announcement) FailureDomain() string { return a.failureDomain }

// Born returns the start of the life in Unix milliseconds, or zero.
func (a Announcement) StartedAtMS() int64 { return a.startedAtMS }

// Capacity returns what tasks may occupy.
func (a Announcement) Capacity() job.Size { return a.capacity }

// Labels returns the labels.
func (a Announcement) Labels() []string { return a.labels }

// NewAnnouncement returns an announcement of a life of a backend server.
func NewAnnouncement(instance, service, domain string, born, sequence int64, capacity job.Size, labels []string, draining bool) Announcement {
	return Announcement{instance, service, domain, born, sequence, capacity, labels, draining}
}
