package share

import "time"

// Capacity is the resources of a worker and the bounds that apply to them. The zero value has no slots.
type Capacity struct {
	slots, memoryMB, maxQueuedTasks int
	growthDelay                     time.Duration
}

// NewCapacity returns the capacity of a worker. A memoryMB of zero disables the accounting of memory. maxQueuedTasks
// bounds the queue of each kind; zero means a quarter of the slots, but at least 2. growthDelay is the time after which
// an increase of an allowance takes effect.
func NewCapacity(slots, memoryMB, maxQueuedTasks int, growthDelay time.Duration) Capacity {
	if maxQueuedTasks <= 0 {
		maxQueuedTasks = max(2, slots/4)
	}

	return Capacity{slots, memoryMB, maxQueuedTasks, growthDelay}
}
