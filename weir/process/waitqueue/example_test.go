package waitqueue_test

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
)

// Urgent tasks are taken first, as long as their kind holds less than its share.
func ExampleQueue() {
	var (
		queue waitqueue.Queue[string]
		now   = time.Unix(1000, 0)
	)

	queue.SetMaxTasks(100)
	queue.SetCapacity(4)
	queue.SetKind("batch", 50, false)
	queue.SetKind("quote", 50, true)

	for i := range 3 {
		queue.Push("shop", "batch", 4, 1, fmt.Sprint("batch ", i), now)
		queue.Push("shop", "quote", 4, 1, fmt.Sprint("quote ", i), now)
	}

	for range 4 {
		queue.BeginPass(false)

		item := queue.Next()
		queue.Take(item, now)
		fmt.Println(item.Value())
	}

	fmt.Println(queue.HeldSlots(), "slots held,", queue.WaitingTasks(), "tasks wait")
	// Output:
	// quote 0
	// quote 1
	// batch 0
	// batch 1
	// 4 slots held, 2 tasks wait
}
