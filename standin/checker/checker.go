// Package checker compares what callers were told with what the backend servers ran. It sees the system from outside:
// only the callers' records and the backend servers' records count.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/caller"
)

// attemptLimit is how often a repeatable request may start: the first attempt and two retries.
const maxAttempts = 3

// Start is a task that a backend server started.
type Start interface {
	Submission() string
	Task() int
	Attempt() int
	Begin() time.Time
}

// Violation is a broken promise: DoubleStart, FalseNotRun, WrongAnswer or AnswerWithoutStart.
type Violation interface {
	violation()
	String() string
}

// DoubleStart is a task that started more often than its submission allows.
type DoubleStart struct {
	submission string
	task       int
	attempts   []int
}

// FalseNotRun is a submission that was refused as not run although a task of it started.
type FalseNotRun struct {
	submission, code string
	startedTasks     int
}

// WrongAnswer is an answer that is not whole or belongs to another submission.
type WrongAnswer struct{ submission, reason string }

// AnswerWithoutStart is a complete answer with a task that never started.
type AnswerWithoutStart struct {
	submission string
	task       int
}

func (DoubleStart) violation()        {}
func (FalseNotRun) violation()        {}
func (WrongAnswer) violation()        {}
func (AnswerWithoutStart) violation() {}

// String describes the violation.
func (d DoubleStart) String() string {
	return fmt.Sprintf("task %d of %s started %d times, attempts %v", d.task, d.submission, len(d.attempts), d.attempts)
}

// String describes the violation.
func (f FalseNotRun) String() string {
	return fmt.Sprintf("%s was refused with %s, ran none, but %d tasks started", f.submission, f.code, f.startedTasks)
}

// String describes the violation.
func (w WrongAnswer) String() string {
	return fmt.Sprintf("%s: wrong answer: %s", w.submission, w.reason)
}

// String describes the violation.
func (a AnswerWithoutStart) String() string {
	return fmt.Sprintf("%s: complete answer, but task %d never started", a.submission, a.task)
}

// History collects records and starts. The zero value is empty; its methods may be called from several goroutines.
type History struct {
	mu      sync.Mutex
	records []*caller.Record
	// starts holds the attempts by submission and task.
	attempts map[string]map[int][]int
	// begins holds the times of the starts by submission.
	startTimes map[string][]time.Time
}

// Record adds what a caller was told.
func (h *History) Record(r *caller.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.records = append(h.records, r)
}

// Start adds a start. Each start is added once.
func (h *History) Start(s Start) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.attempts == nil {
		h.attempts = map[string]map[int][]int{}
		h.startTimes = map[string][]time.Time{}
	}

	h.startTimes[s.Submission()] = append(h.startTimes[s.Submission()], s.Begin())

	tasks := h.attempts[s.Submission()]
	if tasks == nil {
		tasks = map[int][]int{}
		h.attempts[s.Submission()] = tasks
	}

	tasks[s.Task()] = append(tasks[s.Task()], s.Attempt())
}

// Records returns the records so far.
func (h *History) Records() []*caller.Record {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.Clone(h.records)
}

// Violations returns all broken promises. It is called when the load has ended and all starts were added.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()

	var violations []Violation

	repeatable := map[string]bool{}
	sentAt := map[string][]time.Time{}

	for _, r := range h.records {
		for _, x := range r.Sendings() {
			sentAt[x.Ticket()] = append(sentAt[x.Ticket()], x.At())
		}
	}

	for _, r := range h.records {
		repeatable[r.Ticket()] = r.Submission().Repeatable()
		for _, f := range r.Refusals() {
			repeatable[f.Ticket()] = r.Submission().Repeatable()
		}

		violations = append(violations, h.violationsOf(r, sentAt)...)
	}

	for submission, tasks := range h.attempts {
		for task, attempts := range tasks {
			// A submission without a record counts as not repeatable.
			if d := (DoubleStart{submission, task, attempts}); d.exceedsAllowed(repeatable[submission]) {
				violations = append(violations, d)
			}
		}
	}

	return violations
}

// broken reports more starts than allowed, or two starts of one attempt.
func (d DoubleStart) exceedsAllowed(repeatable bool) bool {
	if !repeatable {
		return len(d.attempts) > 1
	}

	sorted := slices.Clone(d.attempts)
	slices.Sort(sorted)

	return len(sorted) > maxAttempts || len(slices.Compact(sorted)) != len(d.attempts)
}

// judge compares one record with the starts.
func (h *History) violationsOf(r *caller.Record, sentAt map[string][]time.Time) []Violation {
	var out []Violation

	if r.Wrong() {
		out = append(out, WrongAnswer{r.Ticket(), r.Error()})
	}

	// A caller gives a ticket up for a new one because nothing ran, so the refusals before the last one count as well.
	for _, f := range r.Refusals() {
		if n := h.countContradictingStarts(f, sentAt[f.Ticket()]); f.Ran() == "none" && n > 0 {
			out = append(out, FalseNotRun{f.Ticket(), f.Code(), n})
		}
	}

	if r.Complete() {
		for i := range r.Submission().Inputs() {
			if len(h.attempts[r.Ticket()][i]) == 0 {
				out = append(out, AnswerWithoutStart{r.Ticket(), i})
			}
		}
	}

	return out
}

// notEntered holds the codes of refusals after which a home knows nothing of the submission, so that a resubmission
// under the same ticket may run.
var unrecordedCodes = map[string]bool{
	"overloaded": true, "deadline_unreachable": true, "no_workers": true, "no_agreement": true, "log_unavailable": true,
	"leaving": true,
}

// contradicting counts the starts that a refusal as not run excludes. These are all starts under its ticket, but if the
// submission was not entered, those that followed on another sending after the refusal are left out.
func (h *History) countContradictingStarts(f caller.Refusal, sentAt []time.Time) int {
	n := 0

	for _, begin := range h.startTimes[f.Ticket()] {
		resubmitted := func(at time.Time) bool { return at.After(f.Received()) && at.Before(begin) }
		if !unrecordedCodes[f.Code()] || !slices.ContainsFunc(sentAt, resubmitted) {
			n++
		}
	}

	return n
}
