package share

import "container/list"

// Task is a task that waits for slots or holds them. It belongs to one scheduler. T is the caller's value.
type Task[T any] struct {
	member, kind    string
	cores, memoryMB int
	value           T
	// sequence numbers the offers of the scheduler.
	sequence uint64
	// flow is set while the task is queued or holds slots.
	flow *flow[T]
	// element is set while the task is queued.
	element *list.Element
}

// NewTask returns a task of at least one core; a smaller number counts as one.
func NewTask[T any](member, kind string, cores, memoryMB int, value T) *Task[T] {
	return &Task[T]{member: member, kind: kind, cores: max(1, cores), memoryMB: max(0, memoryMB), value: value}
}

// Value returns the caller's value.
func (t *Task[T]) Value() T { return t.value }

// Cores returns the number of slots that the task needs.
func (t *Task[T]) Cores() int { return t.cores }
