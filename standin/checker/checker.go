// Package checker compares the responses that callers received with the tasks that backend servers started. It uses
// only the records of callers and backend servers and nothing that the system reports about itself.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/caller"
)

// maxAttempts is the number of starts that a repeatable request may have: the first attempt and two retries.
const maxAttempts = 3

// Start is a task that a backend server started.
type Start interface {
	Submission() string
	Task() int
	Attempt() int
	Begin() time.Time
}

// Violation is a violated guarantee: DoubleStart, FalseNotRun, WrongAnswer or AnswerWithoutStart.
type Violation interface {
	violation()
	String() string
}

// DoubleStart is a task with more starts than its submission allows, or with two starts of one attempt.
type DoubleStart struct {
	submission string
	task       int
	attempts   []int
}

// FalseNotRun is a submission that was refused with ran none although a task of it started.
type FalseNotRun struct {
	submission, code string
	startedTasks     int
}

// WrongAnswer is an answer that is truncated or belongs to another submission.
type WrongAnswer struct{ submission, reason string }

// AnswerWithoutStart is a complete answer of a submission with a task that never started.
type AnswerWithoutStart struct {
	submission string
	task       int
}

func (DoubleStart) violation()        {}
func (FalseNotRun) violation()        {}
func (WrongAnswer) violation()        {}
func (AnswerWithoutStart) violation() {}

func (d DoubleStart) String() string {
	return fmt.Sprintf("task %d of %s started %d times, attempts %v", d.task, d.submission, len(d.attempts), d.attempts)
}

func (f FalseNotRun) String() string {
	return fmt.Sprintf("%s was refused with %s and ran none, but %d tasks started", f.submission, f.code, f.startedTasks)
}

func (w WrongAnswer) String() string {
	return fmt.Sprintf("%s: wrong answer: %s", w.submission, w.reason)
}

func (a AnswerWithoutStart) String() string {
	return fmt.Sprintf("%s: complete answer, but task %d never started", a.submission, a.task)
}

// History collects the records of callers and the starts at backend servers. The zero value is ready to use, and its
// methods may be called from several goroutines.
type History struct {
	mu      sync.Mutex
	records []*caller.Record
	// attempts holds the started attempts by submission and task.
	attempts map[string]map[int][]int
	// startTimes holds the times of the starts by submission.
	startTimes map[string][]time.Time
}

// Record adds the record of a caller.
func (h *History) Record(r *caller.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.records = append(h.records, r)
}

// Start adds a start. The caller adds each start once.
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

// Records returns a copy of the records that were added so far.
func (h *History) Records() []*caller.Record {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.Clone(h.records)
}

// Violations returns all violated guarantees. It must be called after the load has ended and all starts were added.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()

	var violations []Violation

	repeatable := map[string]bool{}
	sentAt := map[string][]time.Time{}

	for _, r := range h.records {
		for _, x := range r.Transmissions() {
			sentAt[x.Ticket()] = append(sentAt[x.Ticket()], x.SentAt())
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
			// A submission without a record is checked as not repeatable.
			if d := (DoubleStart{submission, task, attempts}); d.exceedsAllowed(repeatable[submission]) {
				violations = append(violations, d)
			}
		}
	}

	return violations
}

// exceedsAllowed reports whether there are more starts than allowed, or two starts of one attempt.
func (d DoubleStart) exceedsAllowed(repeatable bool) bool {
	if !repeatable {
		return len(d.attempts) > 1
	}

	sorted := slices.Clone(d.attempts)
	slices.Sort(sorted)

	return len(sorted) > maxAttempts || len(slices.Compact(sorted)) != len(d.attempts)
}

// violationsOf compares one record with the starts. sentAt holds the times at which each ticket was sent.
func (h *History) violationsOf(r *caller.Record, sentAt map[string][]time.Time) []Violation {
	var out []Violation

	if r.Wrong() {
		out = append(out, WrongAnswer{r.Ticket(), r.Error()})
	}

	// A caller continues with a new ticket because the refusal says that nothing ran, so the refusals of abandoned
	// tickets are checked as well.
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

// unrecordedCodes holds the codes of refusals after which the home has no record of the submission, so that a
// resubmission under the same ticket may run.
var unrecordedCodes = map[string]bool{
	"overloaded": true, "deadline_unreachable": true, "no_workers": true, "no_agreement": true, "log_unavailable": true,
	"leaving": true,
}

// countContradictingStarts counts the starts that contradict a refusal with ran none: all starts under its ticket. If
// the home has no record of the submission, starts that follow a resubmission after the refusal are left out.
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
