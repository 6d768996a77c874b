package home

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// news collects the workers that reported since the last pass.
type workerUpdates struct {
	once sync.Once
	// signal has room for one wake-up.
	signal chan struct{}

	mu      sync.Mutex
	updated map[*fleet.Worker]bool
	// all is true if the set of workers or the agreement changed.
	allChanged bool
}

func (n *workerUpdates) signalChannel() chan struct{} {
	n.once.Do(func() { n.signal = make(chan struct{}, 1) })

	return n.signal
}

func (n *workerUpdates) takeAll() (updated []*fleet.Worker, allChanged bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for w := range n.updated {
		updated = append(updated, w)
	}

	allChanged = n.allChanged
	clear(n.updated)
	n.allChanged = false

	return updated, allChanged
}

// changed notes a report of a worker, or with nil a change of the set of workers or of the agreement.
func (t *Table) notifyChange(w *fleet.Worker) {
	t.updates.mu.Lock()

	if w == nil {
		t.updates.allChanged = true
	} else {
		if t.updates.updated == nil {
			t.updates.updated = map[*fleet.Worker]bool{}
		}

		t.updates.updated[w] = true
	}

	t.updates.mu.Unlock()
	t.wake()
}

func (t *Table) wake() {
	select {
	case t.updates.signalChannel() <- struct{}{}:
	default:
	}
}

// loop is the only goroutine that places tasks. Sending and waiting for replies is left to one goroutine per start, so
// the work here is a few microseconds for each task.
func (t *Table) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.updates.signalChannel():
		}

		t.dispatchPass()
	}
}

// pass places as many waiting tasks as there is room for. Flows that found no room before are tried only on the
// workers that reported since, so that a full fleet is not scanned for each flow at each reply.
func (t *Table) dispatchPass() {
	updated, allChanged := t.updates.takeAll()

	if allChanged {
		if r := t.rules.Load(); r != nil {
			t.workers.UpdateRegistrations(r.state.Registered)
		}
	}

	q := &t.queue
	q.mu.Lock()

	if q.random == nil {
		q.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}

	q.tasks.BeginPass(allChanged)
	q.mu.Unlock()

	for {
		now := time.Now()

		q.mu.Lock()

		i := q.tasks.Next()
		if i == nil {
			q.mu.Unlock()

			return
		}

		k := i.Value()

		if err := t.checkRemainingTime(k, now); err != nil {
			q.tasks.Remove(i)
			q.mu.Unlock()
			k.execution.handle.fail(err)

			continue
		}

		c := t.chooseWorker(i, updated, now)
		beginsWaiting := c.Worker() == nil && !k.hasWaited

		var s *startAttempt

		if c.Worker() != nil {
			s = t.dequeue(i, c, now)
		} else {
			k.hasWaited = true
			t.skip(i, c)
		}
		q.mu.Unlock()

		switch {
		case s != nil:
			go s.run()
		case beginsWaiting:
			k.execution.handle.recordPlacement(k, 0, c)
		}
	}
}

// late refuses a task that has waited so long that it would probably be cancelled at its deadline. A task that did not
// have to wait is tried, since its caller may know better than the estimate.
func (t *Table) checkRemainingTime(k *task, now time.Time) error {
	kind, remaining := k.execution.submission.Kind(), k.execution.deadline.Sub(now)
	if !k.hasWaited || remaining >= t.runTimes.P90(kind, now) {
		return nil
	}

	return fault.New(fault.DeadlineExceeded, "%s are left after the wait, less than a task of kind %s may run",
		remaining.Round(time.Millisecond), kind)
}

// place chooses a worker for the item. The caller holds the lock of the queue.
func (t *Table) chooseWorker(i *waitqueue.Item[*task], updated []*fleet.Worker, now time.Time) placement.Choice {
	k := i.Value()
	requirements := k.execution.requirements
	workers := t.workers.View().Workers()

	if t.workers.Ejected() > 0 {
		if c, due := placement.Probe(requirements, k.execution.submission.Form().Repeatable(), workers, now); due {
			return c
		}
	}

	if i.Blocked() {
		workers = updated
	}

	c := placement.Choose(t.policy, requirements.Avoiding(k.avoidedWorker), workers, now, t.queue.random)
	if c.Worker() == nil && k.avoidedWorker != nil {
		c = placement.Choose(t.policy, requirements, workers, now, t.queue.random)
	}

	return c
}

// take moves the item from the queue to the worker. The caller holds the lock of the queue.
func (t *Table) dequeue(i *waitqueue.Item[*task], c placement.Choice, now time.Time) *startAttempt {
	k := i.Value()
	t.queue.tasks.Take(i, now)
	k.execution.spread.Add(c.Worker())

	if c.IsProbe() {
		c.Worker().RecordProbeStart()
	}

	t.metrics().observeQueueWait(now.Sub(i.PushedAt()))

	return &startAttempt{table: t, task: k, worker: c.Worker(), choice: c, reportAtStart: c.Worker().RecordStart(i.Slots()), attempt: k.attempt}
}

// skip leaves the flow of the item for this pass. An item without any candidate lets the others of its flow pass.
func (t *Table) skip(i *waitqueue.Item[*task], c placement.Choice) {
	if c.Reason() == placement.ReasonNoCandidate && !i.Blocked() && t.queue.tasks.MoveBack(i) {
		return
	}

	t.queue.tasks.Skip(i, true)
}
