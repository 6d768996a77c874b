package share_test

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

type sizedWorker struct {
	name  string
	slots int
}

func (m sizedWorker) Name() string { return m.name }
func (m sizedWorker) Slots() int   { return m.slots }

// A limit of 32 slots is divided in granules of 4: each worker gets whole granules in proportion to its slots.
func ExampleSplit() {
	workers := []sizedWorker{{"a", 64}, {"b", 32}, {"c", 32}}

	fmt.Println(share.Split("shop", 32, 4, workers))
	// Output:
	// map[a:16 b:8 c:8]
}

// A check that arrives after many batch tasks starts before those still queued, because its kind holds less than its
// share.
func ExampleScheduler() {
	var (
		scheduler share.Scheduler[string]
		now       = time.Unix(1000, 0)
	)

	scheduler.Configure(now, share.NewCapacity(2, 0, 10, 0),
		[]share.Kind{share.NewKind("batch", 50, false), share.NewKind("check", 50, true)},
		[]share.Member{share.NewMember("shop", 2, 2)})

	for i := range 4 {
		scheduler.Offer(now, share.NewTask("shop", "batch", 1, 0, fmt.Sprint("batch ", i)))
	}

	running := []*share.Task[string]{scheduler.Next(now), scheduler.Next(now)}
	fmt.Println(running[0].Value(), "and", running[1].Value(), "run; next:", scheduler.Next(now))

	scheduler.Offer(now, share.NewTask("shop", "check", 1, 0, "check 0"))
	scheduler.Release(running[0])
	fmt.Println(scheduler.Next(now).Value())
	// Output:
	// batch 0 and batch 1 run; next: <nil>
	// check 0
}
