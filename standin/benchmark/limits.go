package benchmark

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

var simulationStart = time.Unix(0, 0)

// The simulation of a member's limit runs in virtual time on a fleet of the size of the other benchmarks.
const (
	memberLimitSlots = 48
	simulationStep   = 10 * time.Millisecond
	simulationTime   = 60 * time.Second
	// One entry fails and returns. The other entries detect each of the two events up to maxDetectionTime later.
	entryFailsAt     = 20 * time.Second
	entryReturnsAt   = 40 * time.Second
	maxDetectionTime = 3 * time.Second
)

type simulatedWorker struct {
	name      string
	scheduler share.Scheduler[int]
}

func (w *simulatedWorker) Name() string { return w.name }

func (w *simulatedWorker) Slots() int { return SlotsPerWorker }

// simulatedTask is a running task. Its release frees the slot that it holds of the limit.
type simulatedTask struct {
	end     time.Time
	release func()
}

// limiter enforces the limit of a member that always has waiting tasks: it starts as many tasks as the limit allows.
type limiter interface {
	startTasks(now time.Time, serving []bool, start func(release func()))
}

// workerSplit splits the limit over the workers. Every entry uses all workers.
type workerSplit struct{ workers []*simulatedWorker }

func newWorkerSplit() *workerSplit {
	s := &workerSplit{}
	for i := range WorkerCount {
		s.workers = append(s.workers, &simulatedWorker{name: fmt.Sprint("w", i)})
	}

	split := share.Split("shop", memberLimitSlots, 1, s.workers)
	for _, w := range s.workers {
		w.scheduler.Configure(simulationStart, share.NewCapacity(SlotsPerWorker, 0, 0, 0),
			[]share.Kind{share.NewKind("quote", 100, false)},
			[]share.Member{share.NewMember("shop", memberLimitSlots, split[w.name])})
	}

	return s
}

func (s *workerSplit) startTasks(now time.Time, _ []bool, start func(release func())) {
	for _, w := range s.workers {
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

// entrySplit splits the limit over the entries. Each entry divides it by the number of entries that it has recorded as
// alive.
type entrySplit struct {
	heldSlots     [EntryCount]int
	detectionTime [EntryCount]time.Duration
}

func (s *entrySplit) startTasks(now time.Time, serving []bool, start func(release func())) {
	elapsed := now.Sub(simulationStart)

	for e, serves := range serving {
		failed := e == 0 && elapsed >= entryFailsAt && elapsed < entryReturnsAt
		aliveEntries := EntryCount

		// The failed entry counts itself as alive as soon as it returns.
		if e > 0 && elapsed >= entryFailsAt+s.detectionTime[e] && elapsed < entryReturnsAt+s.detectionTime[e] {
			aliveEntries--
		}

		for serves && !failed && s.heldSlots[e] < memberLimitSlots/aliveEntries {
			s.heldSlots[e]++

			start(func() { s.heldSlots[e]-- })
		}
	}
}

// The methods of SimulateLimit to split a member's limit.
const (
	SplitOverWorkers = "workers"
	SplitOverEntries = "entries"
)

// SimulateLimit simulates a member that always has waiting tasks and whose callers use the given number of entries,
// while one entry fails and returns. It returns the average and the peak of the used part of the limit.
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
		// A single serving entry is not the one that fails.
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
