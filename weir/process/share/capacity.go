package share

import "time"

// Capacity is what a worker has to give. The zero value has no slots.
type Capacity struct {
	slots, memoryMB, maxQueuedTasks int
	growthDelay                     time.Duration
}

// NewCapacity returns the capacity of a worker. Memory of zero is not counted. The queue is the bound of tasks for
// each kind; zero means a quarter of the slots, but at least 2. The delay is that of growing allowances.
func NewCapacity(slots, memoryMB, queue int, delay time.Duration) Capacity {
	if queue <= 0 {
		queue = max(2, slots/4)
	}

	return Capacity{slots, memoryMB, queue, delay}
}
