// Package placement chooses the worker for a task.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// Reason tells why a worker was chosen, or why none was.
type Reason string

// The reasons.
const (
	// Only is a choice without an alternative.
	ReasonOnlyCandidate Reason = "only_candidate"
	// LessLoaded is a choice between two by estimated load.
	ReasonLessLoaded Reason = "less_loaded"
	// Spreading is a choice between equals by failure domain and rack.
	ReasonSpread Reason = "spread"
	// Scanned is a worker with free slots found among all candidates.
	ReasonScanned Reason = "scanned"
	// Queued is the least loaded worker whose run queue has room; none had free slots.
	ReasonRunQueue Reason = "run_queue"
	// Drawn is a random choice.
	ReasonRandom Reason = "random"
	// Probed is a single task for a suspect.
	ReasonProbe Reason = "probe"
	// AllFull means that there are candidates, but none has room.
	ReasonAllFull Reason = "all_full"
	// NoCandidate means that no worker may run the task now.
	ReasonNoCandidate Reason = "no_candidate"
)

// Choice is the outcome of a placement. The zero value chose nobody.
type Choice struct {
	worker *fleet.Worker
	// against is the worker that the chosen one was compared with; it may be nil.
	comparedWith *fleet.Worker
	candidates   int
	reason       Reason
}

// Worker returns the chosen worker, or nil.
func (c Choice) Worker() *fleet.Worker { return c.worker }

// Against returns the worker that the chosen one was compared with, or nil.
func (c Choice) ComparedWith() *fleet.Worker { return c.comparedWith }

// Candidates returns how many eligible workers were looked at.
func (c Choice) Candidates() int { return c.candidates }

// Reason tells why.
func (c Choice) Reason() Reason { return c.reason }

// Probe tells whether the task is a probe of a suspect.
func (c Choice) IsProbe() bool { return c.reason == ReasonProbe }

// Choose takes a worker out of workers for the task.
func Choose(p Policy, t Task, workers []*fleet.Worker, now time.Time, random *rand.Rand) Choice {
	switch p.(type) {
	case Random:
		return t.chooseRandom(workers, now, random, false)
	case JoinIdleQueue:
		return t.chooseRandom(workers, now, random, true)
	default:
		return t.chooseOfTwo(workers, now, random)
	}
}

// twoChoices compares the first two candidates that can start the task at once. The loop ends with the second one, so
// that the others are looked at only if these two are full.
func (t Task) chooseOfTwo(workers []*fleet.Worker, now time.Time, random *rand.Rand) Choice {
	var first, queued *fleet.Worker

	c := Choice{}
	p := newRandomIterator(workers, random)

	for w := p.next(); w != nil; w = p.next() {
		if w.Ejected() || !t.eligible(w, now) {
			continue
		}

		c.candidates++

		switch {
		case !w.CanStart(t.kind, t.slots):
			if w.CanQueue(t.kind, t.slots) && (queued == nil || t.isBetter(w, queued)) {
				queued = w
			}
		case first == nil:
			first = w
		default:
			return t.lessLoaded(first, w, c)
		}

		if first != nil && c.candidates > 1 {
			break
		}
	}

	switch {
	case first != nil:
		c.worker, c.reason = first, ReasonOnlyCandidate
		if c.candidates > 1 {
			c.reason = ReasonScanned
		}
	case queued != nil:
		c.worker, c.reason = queued, ReasonRunQueue
	case c.candidates > 0:
		c.reason = ReasonAllFull
	default:
		c.reason = ReasonNoCandidate
	}

	return c
}

func (t Task) lessLoaded(a, b *fleet.Worker, c Choice) Choice {
	c.worker, c.comparedWith, c.reason = a, b, ReasonLessLoaded

	switch d := compareLoad(a, b); {
	case d > 0:
		c.worker, c.comparedWith = b, a
	case d == 0:
		c.reason = ReasonSpread
		if t.spread.prefers(b, a) {
			c.worker, c.comparedWith = b, a
		}
	}

	return c
}

// draw takes a random candidate with room, first among those with free slots if idleFirst is set.
func (t Task) chooseRandom(workers []*fleet.Worker, now time.Time, random *rand.Rand, idleFirst bool) Choice {
	c := Choice{reason: ReasonNoCandidate}
	p := newRandomIterator(workers, random)

	for w := p.next(); w != nil; w = p.next() {
		if w.Ejected() || !t.eligible(w, now) {
			continue
		}

		c.candidates++
		free := w.CanStart(t.kind, t.slots)

		if free || !idleFirst && w.CanQueue(t.kind, t.slots) {
			c.worker, c.reason = w, ReasonRandom

			return c
		}

		if c.worker == nil && w.CanQueue(t.kind, t.slots) {
			c.worker = w
		}
	}

	switch {
	case c.worker != nil:
		c.reason = ReasonRunQueue
	case c.candidates > 0:
		c.reason = ReasonAllFull
	}

	return c
}

// better tells whether a is less loaded than b, or as loaded and better for the spread of the job.
func (t Task) isBetter(a, b *fleet.Worker) bool {
	d := compareLoad(a, b)

	return d < 0 || d == 0 && t.spread.prefers(a, b)
}

// relative compares the loads in proportion to the slots.
func compareLoad(a, b *fleet.Worker) int { return a.Load()*b.Slots() - b.Load()*a.Slots() }

// probeGrace is how long a due probe waits for a repeatable request before it takes any task, since a failed probe
// fails a task that is not repeatable.
const repeatableProbeWait = 2 * time.Second

// Probe returns a choice of an ejected worker that is due for a probe, if there is one for the task.
func Probe(t Task, repeatable bool, workers []*fleet.Worker, now time.Time) (Choice, bool) {
	for _, w := range workers {
		if !w.Ejected() || !t.eligible(w, now) {
			continue
		}

		since, due := w.ProbeDue(now)
		if due && (repeatable || since >= repeatableProbeWait) {
			return Choice{worker: w, candidates: 1, reason: ReasonProbe}, true
		}
	}

	return Choice{}, false
}
