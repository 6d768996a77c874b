package emulator

import (
	"container/heap"
	"time"
)

type event struct {
	at     time.Duration
	order  int
	action func()
}

// eventQueue is a heap by time, then by the order in which events were added.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, k int) bool {
	return e[i].at < e[k].at || (e[i].at == e[k].at && e[i].order < e[k].order)
}

func (e eventQueue) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element of the slice, where container/heap has moved the earliest event.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

func (sm *simulation) schedule(t time.Duration, action func()) {
	sm.lastOrder++
	heap.Push(&sm.events, event{t, sm.lastOrder, action})
}

func (sm *simulation) scheduleAfter(d time.Duration, action func()) { sm.schedule(sm.now+d, action) }
