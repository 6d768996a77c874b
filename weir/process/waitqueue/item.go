package waitqueue

import "time"

// Item is a waiting task.
type Item[T any] struct {
	value      T
	slots      int
	flow       *Flow[T]
	prev, next *Item[T]
	waiting    bool
	pushedAt   time.Time
	// movedInPass is the last pass in which the item was moved back.
	movedInPass uint64
}

// Value returns the task.
func (i *Item[T]) Value() T { return i.value }

// Waiting reports whether the item is in the queue.
func (i *Item[T]) Waiting() bool { return i.waiting }

// PushedAt returns when the item was pushed. Requeue does not change it.
func (i *Item[T]) PushedAt() time.Time { return i.pushedAt }

// Slots returns the number of slots that the task needs.
func (i *Item[T]) Slots() int { return i.slots }

// Blocked reports whether no worker had capacity for the head of the item's flow when it was last tried.
func (i *Item[T]) Blocked() bool { return i.flow.blocked }
