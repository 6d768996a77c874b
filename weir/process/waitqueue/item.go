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
	// moved is the last pass in which the item was moved back.
	movedInPass uint64
}

// Value returns the task.
func (i *Item[T]) Value() T { return i.value }

// Waiting tells whether the item is in the queue.
func (i *Item[T]) Waiting() bool { return i.waiting }

// Since returns when the item was first pushed.
func (i *Item[T]) PushedAt() time.Time { return i.pushedAt }

// Slots returns the size of the task.
func (i *Item[T]) Slots() int { return i.slots }

// Blocked tells whether no worker had room when the head of the item's flow was last tried.
func (i *Item[T]) Blocked() bool { return i.flow.blocked }
