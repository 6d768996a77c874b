package placement

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// lostAfter is the silence after which a worker gets no new work. Heartbeats are sent every second.
const unresponsiveAfter = 2 * time.Second

// Task is what a placement depends on. It is shared by all tasks of a submission.
type Task struct {
	kind     string
	service  string
	slots    int
	memoryMB int
	// position is the ticket's; only workers registered below it may run the task.
	ticketPosition int64
	// allowed tells whether the member has an allowance at the worker; nil means everywhere.
	hasAllowance func(worker string) bool
	// spread is nil for a submission of one task.
	spread *Spread
	// avoid is the worker that failed the last attempt; it may be nil.
	avoided *fleet.Worker
}

// NewTask returns a task of a submission whose ticket has that log position.
func NewTask(kind, service string, slots, memoryMB int, position int64) Task {
	return Task{kind: kind, service: service, slots: slots, memoryMB: memoryMB, ticketPosition: position}
}

// Within returns the task with the member's allowance.
func (t Task) WithAllowance(allowed func(worker string) bool) Task {
	t.hasAllowance = allowed

	return t
}

// Over returns the task with the record of where the job's other tasks are.
func (t Task) WithSpread(s *Spread) Task {
	t.spread = s

	return t
}

// Avoiding returns the task for a choice among the other workers.
func (t Task) Avoiding(w *fleet.Worker) Task {
	t.avoided = w

	return t
}

// Slots returns the size of the task in slots.
func (t Task) Slots() int { return t.slots }

// Possible tells whether the worker could ever run the task, regardless of its load and health.
func (t Task) RunnableOn(w *fleet.Worker) bool {
	offset, registered := w.RegistrationOffset()

	return registered && offset < t.ticketPosition && w.Connected() && w.Serves(t.service) &&
		t.slots <= w.Slots() && t.memoryMB <= w.MemoryMB()
}

// eligible tells whether the worker is a candidate now, apart from ejection.
func (t Task) eligible(w *fleet.Worker, now time.Time) bool {
	return w != t.avoided && t.RunnableOn(w) && !w.Leaving() && now.Sub(w.LastContact()) < unresponsiveAfter &&
		(t.hasAllowance == nil || t.hasAllowance(w.Name()))
}

// Spread counts where the tasks of one job were placed. The zero value works; it is not safe for concurrent use.
type Spread struct {
	tasksByDomain, tasksByRack map[string]int
}

// Add counts a task on the worker.
func (s *Spread) Add(w *fleet.Worker) {
	if s.tasksByDomain == nil {
		s.tasksByDomain, s.tasksByRack = map[string]int{}, map[string]int{}
	}

	s.tasksByDomain[w.FailureDomain()]++
	s.tasksByRack[rackKey(w)]++
}

// prefers tells whether a carries fewer tasks of the job in its failure domain, or as many there and fewer in its rack.
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
