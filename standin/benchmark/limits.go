package benchmark

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

var simulationStart = time.Unix(0, 0)

// The comparison of limits, in virtual time on the fleet of the other benchmarks.
const (
	memberLimitSlots = 48
	simulationStep   = 10 * time.Millisecond
	simulationTime   = 60 * time.Second
	// An entry dies and returns; the others notice either up to limitNotice later.
	entryFailsAt     = 20 * time.Second
	entryReturnsAt   = 40 * time.Second
	maxDetectionTime = 3 * time.Second
)

type simulatedWorker struct {
	name      string
	scheduler share.Scheduler[int]
}

// Name returns the name of the worker.
func (w *simulatedWorker) Name() string { return w.name }

// Slots returns the slots of the worker.
func (w *simulatedWorker) Slots() int { return SlotsPerWorker }

// shopTask is a task that runs until end.
type simulatedTask struct {
	end     time.Time
	release func()
}

// holder takes as many tasks as a way to keep limits allows.
type limiter interface {
	startTasks(now time.Time, serving []bool, start func(release func()))
}

// byWorkers splits the limit over the workers: every entry uses all of them.
type workerSplit struct{ workers []*simulatedWorker }

func newWorkerSplit() *workerSplit {
	b := &workerSplit{}
	for i := range WorkerCount {
		b.workers = append(b.workers, &simulatedWorker{name: fmt.Sprint("w", i)})
	}

	split := share.Split("shop", memberLimitSlots, 1, b.workers)
	for _, w := range b.workers {
		w.scheduler.Configure(simulationStart, share.NewCapacity(SlotsPerWorker, 0, 0, 0), []share.Kind{share.NewKind("quote", 100, false)},
			[]share.Member{share.NewMember("shop", memberLimitSlots, split[w.name])})
	}

	return b
}

func (b *workerSplit) startTasks(now time.Time, _ []bool, start func(release func())) {
	for _, w := range b.workers {
		for range SlotsPerWorker {
			w.scheduler.Offer(now, share.NewTask("shop", "quote", 1, 0, 0))

			task := w.scheduler.Next(now)
			if task == nil {
				break
			}

			start(func() { w.scheduler.Release(task) })
		}
	}
}

// byEntries splits the limit over the entries that each entry believes alive.
type entrySplit struct {
	heldSlots     [EntryCount]int
	detectionTime [EntryCount]time.Duration
}

func (b *entrySplit) startTasks(now time.Time, serving []bool, start func(release func())) {
	elapsed := now.Sub(simulationStart)

	for e, serves := range serving {
		failed := e == 0 && elapsed >= entryFailsAt && elapsed < entryReturnsAt
		recordedAlive := EntryCount

		// The dead entry knows of its own return at once.
		if e > 0 && elapsed >= entryFailsAt+b.detectionTime[e] && elapsed < entryReturnsAt+b.detectionTime[e] {
			recordedAlive--
		}

		for serves && !failed && b.heldSlots[e] < memberLimitSlots/recordedAlive {
			b.heldSlots[e]++

			start(func() { b.heldSlots[e]-- })
		}
	}
}

// The ways to keep a member's limit that Limits compares.
const (
	SplitOverWorkers = "workers"
	SplitOverEntries = "entries"
)

// Limits simulates a member that always has more to do and whose callers reach some of the entries, while an entry dies
// and returns. It returns the part of the limit that is used on average and the largest part held at once.
func SimulateLimit(method string, serving int, random *rand.Rand) (used, peak float64) {
	var l limiter = newWorkerSplit()

	if method == SplitOverEntries {
		e := &entrySplit{}
		for i := range e.detectionTime {
			e.detectionTime[i] = time.Duration(random.Int64N(int64(maxDetectionTime)))
		}

		l = e
	}

	serves := make([]bool, EntryCount)
	for i := range serving {
		// With one entry it is not the one that dies.
		serves[(i+1)%EntryCount] = true
	}

	var running []simulatedTask

	heldSlotSteps := 0

	for now := simulationStart; now.Before(simulationStart.Add(simulationTime)); now = now.Add(simulationStep) {
		unfinished := running[:0]

		for _, t := range running {
			if now.Before(t.end) {
				unfinished = append(unfinished, t)
			} else {
				t.release()
			}
		}

		running = unfinished

		l.startTasks(now, serves, func(release func()) {
			runTime := 100*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond)))
			running = append(running, simulatedTask{now.Add(runTime), release})
		})

		heldSlotSteps += len(running)
		peak = max(peak, float64(len(running))/memberLimitSlots)
	}

	return float64(heldSlotSteps) / float64(simulationTime/simulationStep) / memberLimitSlots, peak
}
