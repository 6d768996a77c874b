package placement

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// unresponsiveAfter is the time without contact after which a worker gets no new tasks. Heartbeats are sent every
// second.
const unresponsiveAfter = 2 * time.Second

// Task holds the requirements of a placement. All tasks of a submission share them.
type Task struct {
	kind     string
	service  string
	slots    int
	memoryMB int
	// ticketPosition is the log position of the ticket. Only workers registered at a lower offset may run the task.
	ticketPosition int64
	// hasAllowance reports whether the member has an allowance at the worker; nil means at every worker.
	hasAllowance func(worker string) bool
	// spread is nil for a submission of one task.
	spread *Spread
	// avoided is the worker on which the last attempt failed, or nil.
	avoided *fleet.Worker
}

// NewTask returns a task of a submission whose ticket has the log position.
func NewTask(kind, service string, slots, memoryMB int, ticketPosition int64) Task {
	return Task{kind: kind, service: service, slots: slots, memoryMB: memoryMB, ticketPosition: ticketPosition}
}

// WithAllowance returns the task restricted to the workers at which the member has an allowance.
func (t Task) WithAllowance(hasAllowance func(worker string) bool) Task {
	t.hasAllowance = hasAllowance

	return t
}

// WithSpread returns the task with the counts of the job's tasks by failure domain and rack.
func (t Task) WithSpread(s *Spread) Task {
	t.spread = s

	return t
}

// Avoiding returns the task with one worker excluded.
func (t Task) Avoiding(w *fleet.Worker) Task {
	t.avoided = w

	return t
}

// Slots returns the number of slots that the task needs.
func (t Task) Slots() int { return t.slots }

// RunnableOn reports whether the worker could run the task, regardless of the worker's load and health.
func (t Task) RunnableOn(w *fleet.Worker) bool {
	offset, registered := w.RegistrationOffset()

	return registered && offset < t.ticketPosition && w.Connected() && w.Serves(t.service) &&
		t.slots <= w.Slots() && t.memoryMB <= w.MemoryMB()
}

// eligible reports whether the worker is a candidate now, apart from ejection.
func (t Task) eligible(w *fleet.Worker, now time.Time) bool {
	return w != t.avoided && t.RunnableOn(w) && !w.Leaving() && !w.Evacuated() && now.Sub(w.LastContact()) < unresponsiveAfter &&
		(t.hasAllowance == nil || t.hasAllowance(w.Name()))
}

// Spread counts the tasks of one job by failure domain and rack. The zero value is ready to use. It is not safe for
// concurrent use.
type Spread struct {
	tasksByDomain, tasksByRack map[string]int
}

// Add counts a task that was placed on the worker.
func (s *Spread) Add(w *fleet.Worker) {
	if s.tasksByDomain == nil {
		s.tasksByDomain, s.tasksByRack = map[string]int{}, map[string]int{}
	}

	s.tasksByDomain[w.FailureDomain()]++
	s.tasksByRack[rackKey(w)]++
}

// prefers reports whether a's failure domain has fewer tasks of the job than b's, or as many and a's rack has fewer.
func (s *Spread) prefers(a, b *fleet.Worker) bool {
	if s == nil {
		return false
	}

	if x, y := s.tasksByDomain[a.FailureDomain()], s.tasksByDomain[b.FailureDomain()]; x != y {
		return x < y
	}

	return s.tasksByRack[rackKey(a)] < s.tasksByRack[rackKey(b)]
}

func rackKey(w *fleet.Worker) string { return w.FailureDomain() + "/" + w.Rack() }
