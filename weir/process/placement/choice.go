// Package placement chooses the worker that runs a task.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// Reason is why a worker was chosen, or why none was.
type Reason string

// Reasons of a choice.
const (
	// ReasonOnlyCandidate means that the worker was the only candidate.
	ReasonOnlyCandidate Reason = "only_candidate"
	// ReasonLessLoaded means that the worker has the smaller estimated load of two.
	ReasonLessLoaded Reason = "less_loaded"
	// ReasonSpread means that two workers have equal load and the spread over failure domains and racks decided.
	ReasonSpread Reason = "spread"
	// ReasonScanned means that the worker is the only one with free slots among several examined candidates.
	ReasonScanned Reason = "scanned"
	// ReasonRunQueue means that no candidate has free slots and that the run queue of the worker accepts the task; with
	// TwoChoices, the worker is the least loaded one of these.
	ReasonRunQueue Reason = "run_queue"
	// ReasonRandom means that the worker was chosen at random.
	ReasonRandom Reason = "random"
	// ReasonProbe means that the task is the only probe of an ejected worker at this time.
	ReasonProbe Reason = "probe"
	// ReasonAllFull means that no candidate has free slots or a run queue that accepts the task.
	ReasonAllFull Reason = "all_full"
	// ReasonNoCandidate means that no worker is eligible for the task now.
	ReasonNoCandidate Reason = "no_candidate"
)

// Choice is the outcome of a placement. The zero value has no worker.
type Choice struct {
	worker *fleet.Worker
	// comparedWith is nil if the worker was chosen without a comparison.
	comparedWith *fleet.Worker
	candidates   int
	reason       Reason
}

// Worker returns the chosen worker, or nil.
func (c Choice) Worker() *fleet.Worker { return c.worker }

// ComparedWith returns the worker that the chosen one was compared with, or nil.
func (c Choice) ComparedWith() *fleet.Worker { return c.comparedWith }

// Candidates returns the number of eligible workers that were examined.
func (c Choice) Candidates() int { return c.candidates }

// Reason returns why the worker was chosen, or why none was.
func (c Choice) Reason() Reason { return c.reason }

// IsProbe reports whether the task probes an ejected worker.
func (c Choice) IsProbe() bool { return c.reason == ReasonProbe }

// Choose returns the choice of a worker for the task by the policy.
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

// chooseOfTwo draws two candidates at random and compares their load. If only one of them can start the task at once,
// it is chosen; the other workers are examined only if neither can.
func (t Task) chooseOfTwo(workers []*fleet.Worker, now time.Time, random *rand.Rand) Choice {
	var firstFree, bestQueued *fleet.Worker

	c := Choice{}
	p := newRandomIterator(workers, random)

	for w := p.next(); w != nil; w = p.next() {
		if w.Ejected() || !t.eligible(w, now) {
			continue
		}

		c.candidates++

		switch {
		case !w.CanStart(t.kind, t.slots):
			if w.CanQueue(t.kind, t.slots) && (bestQueued == nil || t.isBetter(w, bestQueued)) {
				bestQueued = w
			}
		case firstFree == nil:
			firstFree = w
		default:
			return t.lessLoaded(firstFree, w, c)
		}

		if firstFree != nil && c.candidates > 1 {
			break
		}
	}

	switch {
	case firstFree != nil:
		c.worker, c.reason = firstFree, ReasonOnlyCandidate
		if c.candidates > 1 {
			c.reason = ReasonScanned
		}
	case bestQueued != nil:
		c.worker, c.reason = bestQueued, ReasonRunQueue
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

// chooseRandom chooses a random candidate that has free slots or whose run queue accepts the task. With idleFirst, it
// uses a run queue only if no candidate has free slots.
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

// isBetter reports whether a is less loaded than b, or equally loaded and preferred by the spread of the job.
func (t Task) isBetter(a, b *fleet.Worker) bool {
	d := compareLoad(a, b)

	return d < 0 || d == 0 && t.spread.prefers(a, b)
}

// compareLoad compares loads in proportion to slots; the result is negative if a is less loaded.
func compareLoad(a, b *fleet.Worker) int { return a.Load()*b.Slots() - b.Load()*a.Slots() }

// repeatableProbeWait is the time for which a due probe is reserved for tasks of repeatable requests. Other tasks are
// used only later, since a failed probe makes a task fail that is not repeatable.
const repeatableProbeWait = 2 * time.Second

// Probe returns the choice of an eligible ejected worker whose probe is due, and false if there is none.
func Probe(t Task, repeatable bool, workers []*fleet.Worker, now time.Time) (Choice, bool) {
	for _, w := range workers {
		if !w.Ejected() || !t.eligible(w, now) {
			continue
		}

		overdue, due := w.ProbeDue(now)
		if due && (repeatable || overdue >= repeatableProbeWait) {
			return Choice{worker: w, candidates: 1, reason: ReasonProbe}, true
		}
	}

	return Choice{}, false
}
