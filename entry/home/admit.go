package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// waitMarginDivisor sets the safety margin of an estimated wait: a quarter of the wait is added. The drain rate is
// measured over the last 2 s, so the estimate is too low while a queue builds up.
const waitMarginDivisor = 4

// admit checks a new submission and returns a handle of which no task is queued yet. The caller holds the lock of the
// shard.
func (t *Table) admit(s submission.Submission, now time.Time) (*Handle, error) {
	switch {
	case t.incarnation != 0 && s.Ticket().Incarnation() != t.incarnation:
		return nil, fault.New(fault.UnknownSubmission, "the ticket was issued by another entry")
	case t.leaving.Load():
		return nil, fault.New(fault.Leaving, "the entry is leaving")
	case len(s.Inputs()) == 0:
		return nil, fault.WithField(fault.New(fault.InvalidRequest, "the submission has no tasks"), "tasks")
	case s.Cores() < 1:
		return nil, fault.WithField(
			fault.New(fault.InvalidRequest, "cores is %d, but must be at least 1", s.Cores()), "cores")
	case !now.Before(s.Deadline()):
		return nil, fault.WithRan(
			fault.New(fault.DeadlineExceeded, "the deadline passed before the submission was admitted"), fault.RanNone)
	}

	r := t.rules.Load()

	requirements, err := t.checkRunnable(r, s)
	if err != nil {
		return nil, err
	}

	if int(t.count.Load()) >= t.submissionLimit() {
		return nil, fault.New(fault.Overloaded, "the entry already holds its maximum number of submissions")
	}

	if err := t.checkQueue(s, now); err != nil {
		return nil, err
	}

	if !t.answerMemory.reserve(inputBytes(s)) {
		return nil, fault.New(fault.Overloaded, "no memory left for inputs and answers")
	}

	return newHandle(t, s, requirements, r.memberLimit(s.Member()), now), nil
}

// checkRunnable returns the requirements of the submission's tasks, or an error if the agreement does not allow
// them or no connected worker can run them.
func (t *Table) checkRunnable(r *rules, s submission.Submission) (placement.Task, error) {
	if r == nil || !r.ready {
		return placement.Task{}, fault.New(fault.NoAgreement, "no agreement has been read yet")
	}

	k, found := r.kinds[s.Kind()]
	if !found {
		return placement.Task{}, fault.WithField(
			fault.New(fault.InvalidRequest, "kind %q is not in the agreement", s.Kind()), "kind")
	}

	limitSlots, found := r.memberLimits[s.Member()]

	switch {
	case !found:
		return placement.Task{}, fault.New(fault.Forbidden, "member %q is not in the agreement", s.Member())
	case r.totalSlots == 0:
		return placement.Task{}, fault.New(fault.NoWorkers, "no worker is registered")
	case s.Cores() > k.maxCores:
		return placement.Task{}, newNeverRunnableError("cores", "a task needs %d cores, but kind %s allows at most %d",
			s.Cores(), s.Kind(), k.maxCores)
	case s.Cores() > limitSlots:
		return placement.Task{}, newNeverRunnableError("cores",
			"a task needs %d cores, but the limit of member %s is %d slots", s.Cores(), s.Member(), limitSlots)
	}

	isServed, canHold := r.checkCapacity(k.service, s.Cores(), s.MemoryMB())
	if isServed && !canHold {
		return placement.Task{}, newNeverRunnableError("cores", "no worker of the service has %d cores and %d MB of memory",
			s.Cores(), s.MemoryMB())
	}

	requirements := placement.NewTask(s.Kind(), k.service, s.Cores(), s.MemoryMB(), s.Ticket().Position())

	isEvacuated := false

	for _, w := range t.workers.View().Workers() {
		switch {
		case !requirements.RunnableOn(w) || w.Leaving():
		case w.Evacuated():
			isEvacuated = true
		default:
			return requirements, nil
		}
	}

	if isEvacuated {
		return placement.Task{}, fault.New(fault.NoWorkers,
			"all workers that can run kind %s are in evacuated failure domains", s.Kind())
	}

	return placement.Task{}, fault.New(fault.NoWorkers, "no connected worker can run kind %s", s.Kind())
}

// checkQueue returns an error if the wait queue has no capacity for the tasks or cannot serve them before the deadline.
func (t *Table) checkQueue(s submission.Submission, now time.Time) error {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()

	q, n := &t.queue.tasks, len(s.Inputs())
	if !q.Admits(s.Member(), s.Kind(), n) {
		return fault.New(fault.Overloaded, "the wait queue has no capacity for %d more tasks of kind %s", n, s.Kind())
	}

	wait, known := q.EstimateWait(s.Member(), s.Kind(), n, now)
	// The run time is included, so that a task is not started only to be cancelled at its deadline.
	if known && now.Add(wait+wait/waitMarginDivisor+t.runTimes.P90(s.Kind(), now)).After(s.Deadline()) {
		return fault.New(fault.DeadlineUnreachable, "tasks of kind %s currently wait about %s, too long for the deadline",
			s.Kind(), wait.Round(time.Millisecond))
	}

	return nil
}

func (t *Table) submissionLimit() int {
	if t.maxSubmissions > 0 {
		return t.maxSubmissions
	}

	return defaultMaxSubmissions
}

func newNeverRunnableError(field, format string, args ...any) error {
	return fault.WithField(fault.New(fault.NeverRunnable, format, args...), field)
}

func inputBytes(s submission.Submission) (n int64) {
	for _, i := range s.Inputs() {
		n += int64(len(i))
	}

	return n
}
