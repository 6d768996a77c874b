package benchmark

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

var limitStart = time.Unix(0, 0)

// The comparison of limits, in virtual time on the fleet of the other benchmarks.
const (
	limitOfShop = 48
	limitStep   = 10 * time.Millisecond
	limitTime   = 60 * time.Second
	// An entry dies and returns; the others notice either up to limitNotice later.
	limitDies    = 20 * time.Second
	limitReturns = 40 * time.Second
	limitNotice  = 3 * time.Second
)

type shopWorker struct {
	name      string
	scheduler share.Scheduler[int]
}

// Name returns the name of the worker.
func (w *shopWorker) Name() string { return w.name }

// Slots returns the slots of the worker.
func (w *shopWorker) Slots() int { return Slots }

// shopTask is a task that runs until end.
type shopTask struct {
	end     time.Time
	release func()
}

// holder takes as many tasks as a way to keep limits allows.
type holder interface {
	take(now time.Time, alive []bool, run func(release func()))
}

// byWorkers splits the limit over the workers: every entry uses all of them.
type byWorkers struct{ workers []*shopWorker }

func newByWorkers() *byWorkers {
	b := &byWorkers{}
	for i := range Workers {
		b.workers = append(b.workers, &shopWorker{name: fmt.Sprint("w", i)})
	}

	split := share.Split("shop", limitOfShop, 1, b.workers)
	for _, w := range b.workers {
		w.scheduler.Configure(limitStart, share.NewCapacity(Slots, 0, 0, 0), []share.Kind{share.NewKind("quote", 100, false)},
			[]share.Member{share.NewMember("shop", limitOfShop, split[w.name])})
	}

	return b
}

func (b *byWorkers) take(now time.Time, _ []bool, run func(release func())) {
	for _, w := range b.workers {
		for range Slots {
			w.scheduler.Offer(now, share.NewTask("shop", "quote", 1, 0, 0))

			task := w.scheduler.Next(now)
			if task == nil {
				break
			}

			run(func() { w.scheduler.Release(task) })
		}
	}
}

// byEntries splits the limit over the entries that each entry believes alive.
type byEntries struct {
	held   [Entries]int
	notice [Entries]time.Duration
}

func (b *byEntries) take(now time.Time, serving []bool, run func(release func())) {
	at := now.Sub(limitStart)

	for e, serves := range serving {
		dead := e == 0 && at >= limitDies && at < limitReturns
		believed := Entries

		// The dead entry knows of its own return at once.
		if e > 0 && at >= limitDies+b.notice[e] && at < limitReturns+b.notice[e] {
			believed--
		}

		for serves && !dead && b.held[e] < limitOfShop/believed {
			b.held[e]++

			run(func() { b.held[e]-- })
		}
	}
}

// The ways to keep a member's limit that Limits compares.
const (
	ByWorkers = "workers"
	ByEntries = "entries"
)

// Limits simulates a member that always has more to do and whose callers reach some of the entries, while an entry dies
// and returns. It returns the part of the limit that is used on average and the largest part held at once.
func Limits(way string, serving int, random *rand.Rand) (used, peak float64) {
	var h holder = newByWorkers()

	if way == ByEntries {
		e := &byEntries{}
		for i := range e.notice {
			e.notice[i] = time.Duration(random.Int64N(int64(limitNotice)))
		}

		h = e
	}

	serves := make([]bool, Entries)
	for i := range serving {
		// With one entry it is not the one that dies.
		serves[(i+1)%Entries] = true
	}

	var running []shopTask

	sum := 0

	for now := limitStart; now.Before(limitStart.Add(limitTime)); now = now.Add(limitStep) {
		left := running[:0]

		for _, t := range running {
			if now.Before(t.end) {
				left = append(left, t)
			} else {
				t.release()
			}
		}

		running = left

		h.take(now, serves, func(release func()) {
			run := 100*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond)))
			running = append(running, shopTask{now.Add(run), release})
		})

		sum += len(running)
		peak = max(peak, float64(len(running))/limitOfShop)
	}

	return float64(sum) / float64(limitTime/limitStep) / limitOfShop, peak
}
