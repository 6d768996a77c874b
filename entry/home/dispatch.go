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

// workerUpdates collects the workers that sent a report since the last pass.
type workerUpdates struct {
	once sync.Once
	// signal is a wake-up channel with a buffer of one.
	signal chan struct{}

	mu      sync.Mutex
	updated map[*fleet.Worker]bool
	// allChanged is true if the set of workers or the agreement changed.
	allChanged bool
}

func (u *workerUpdates) signalChannel() chan struct{} {
	u.once.Do(func() { u.signal = make(chan struct{}, 1) })

	return u.signal
}

func (u *workerUpdates) takeAll() (updated []*fleet.Worker, allChanged bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	for w := range u.updated {
		updated = append(updated, w)
	}

	allChanged = u.allChanged
	clear(u.updated)
	u.allChanged = false

	return updated, allChanged
}

// notifyChange records a report of the worker. Nil stands for a change of the set of workers or of the agreement.
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

// dispatchLoop runs in the only goroutine that places tasks. Each start has a goroutine of its own that sends it and
// waits for the reply, so the loop needs only a few microseconds for each task.
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

// dispatchPass places as many waiting tasks as the workers have capacity for. Flows that found no capacity before are
// tried only on the workers that sent a report since, so that a full fleet is not scanned for each flow at each reply.
func (t *Table) dispatchPass() {
	updated, allChanged := t.updates.takeAll()

	if allChanged {
		if r := t.rules.Load(); r != nil {
			t.workers.UpdateRegistrations(r.state.Registered)
			t.workers.UpdateEvacuations(r.state.Evacuations())
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

// checkRemainingTime returns an error for a task that has waited so long that it would probably be cancelled at its
// deadline. A task that did not have to wait is started in any case, as its caller may have a better estimate of its
// run time.
func (t *Table) checkRemainingTime(k *task, now time.Time) error {
	kind, remaining := k.execution.submission.Kind(), k.execution.deadline.Sub(now)
	if !k.hasWaited || remaining >= t.runTimes.P90(kind, now) {
		return nil
	}

	return fault.New(fault.DeadlineExceeded,
		"%s are left after the wait, less than the 90th percentile of the run times of kind %s",
		remaining.Round(time.Millisecond), kind)
}

// chooseWorker chooses a worker for the item. The caller holds the lock of the queue.
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

// dequeue takes the item from the queue and returns its start at the chosen worker. The caller holds the lock of the
// queue.
func (t *Table) dequeue(i *waitqueue.Item[*task], c placement.Choice, now time.Time) *startAttempt {
	k := i.Value()
	t.queue.tasks.Take(i, now)
	k.execution.spread.Add(c.Worker())

	if c.IsProbe() {
		c.Worker().RecordProbeStart()
	}

	t.metrics().observeQueueWait(now.Sub(i.PushedAt()))

	return &startAttempt{
		table: t, task: k, worker: c.Worker(), choice: c, reportAtStart: c.Worker().RecordStart(i.Slots()),
		attempt: k.attempt,
	}
}

// skip ends the placement of the item's flow in this pass. If the item has no candidate at all, it moves to the end of
// its flow instead, so that it does not block the items behind it.
func (t *Table) skip(i *waitqueue.Item[*task], c placement.Choice) {
	if c.Reason() == placement.ReasonNoCandidate && !i.Blocked() && t.queue.tasks.MoveBack(i) {
		return
	}

	t.queue.tasks.Skip(i, true)
}
