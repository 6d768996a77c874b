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
type news struct {
	once sync.Once
	// signal has room for one wake-up.
	signal chan struct{}

	mu    sync.Mutex
	dirty map[*fleet.Worker]bool
	// all is true if the set of workers or the agreement changed.
	all bool
}

func (n *news) wakeup() chan struct{} {
	n.once.Do(func() { n.signal = make(chan struct{}, 1) })

	return n.signal
}

func (n *news) take() (dirty []*fleet.Worker, all bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for w := range n.dirty {
		dirty = append(dirty, w)
	}

	all = n.all
	clear(n.dirty)
	n.all = false

	return dirty, all
}

// changed notes a report of a worker, or with nil a change of the set of workers or of the agreement.
func (t *Table) changed(w *fleet.Worker) {
	t.news.mu.Lock()

	if w == nil {
		t.news.all = true
	} else {
		if t.news.dirty == nil {
			t.news.dirty = map[*fleet.Worker]bool{}
		}

		t.news.dirty[w] = true
	}

	t.news.mu.Unlock()
	t.wake()
}

func (t *Table) wake() {
	select {
	case t.news.wakeup() <- struct{}{}:
	default:
	}
}

// loop is the only goroutine that places tasks. Sending and waiting for replies is left to one goroutine per start, so
// the work here is a few microseconds for each task.
func (t *Table) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.news.wakeup():
		}

		t.pass()
	}
}

// pass places as many waiting tasks as there is room for. Flows that found no room before are tried only on the
// workers that reported since, so that a full fleet is not scanned for each flow at each reply.
func (t *Table) pass() {
	dirty, all := t.news.take()

	if all {
		if r := t.rules.Load(); r != nil {
			t.workers.UpdateRegistrations(r.state.Registered)
		}
	}

	q := &t.queue
	q.mu.Lock()

	if q.random == nil {
		q.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}

	q.tasks.BeginPass(all)
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

		if err := t.late(k, now); err != nil {
			q.tasks.Remove(i)
			q.mu.Unlock()
			k.work.held.fail(err)

			continue
		}

		c := t.place(i, dirty, now)
		waits := c.Worker() == nil && !k.waited

		var s *start

		if c.Worker() != nil {
			s = t.take(i, c, now)
		} else {
			k.waited = true
			t.skip(i, c)
		}
		q.mu.Unlock()

		switch {
		case s != nil:
			go s.run()
		case waits:
			k.work.held.placed(k, 0, c)
		}
	}
}

// late refuses a task that has waited so long that it would probably be cancelled at its deadline. A task that did not
// have to wait is tried, since its caller may know better than the estimate.
func (t *Table) late(k *task, now time.Time) error {
	kind, left := k.work.submission.Kind(), k.work.deadline.Sub(now)
	if !k.waited || left >= t.runs.P90(kind, now) {
		return nil
	}

	return fault.New(fault.DeadlineExceeded, "%s are left after the wait, less than a task of kind %s may run",
		left.Round(time.Millisecond), kind)
}

// place chooses a worker for the item. The caller holds the lock of the queue.
func (t *Table) place(i *waitqueue.Item[*task], dirty []*fleet.Worker, now time.Time) placement.Choice {
	k := i.Value()
	place := k.work.place
	workers := t.workers.View().Workers()

	if t.workers.Ejected() > 0 {
		if c, due := placement.Probe(place, k.work.submission.Form().Repeatable(), workers, now); due {
			return c
		}
	}

	if i.Blocked() {
		workers = dirty
	}

	c := placement.Choose(t.policy, place.Avoiding(k.avoid), workers, now, t.queue.random)
	if c.Worker() == nil && k.avoid != nil {
		c = placement.Choose(t.policy, place, workers, now, t.queue.random)
	}

	return c
}

// take moves the item from the queue to the worker. The caller holds the lock of the queue.
func (t *Table) take(i *waitqueue.Item[*task], c placement.Choice, now time.Time) *start {
	k := i.Value()
	t.queue.tasks.Take(i, now)
	k.work.spread.Add(c.Worker())

	if c.IsProbe() {
		c.Worker().RecordProbeStart()
	}

	t.meters().waited(now.Sub(i.PushedAt()))

	return &start{table: t, task: k, worker: c.Worker(), choice: c, before: c.Worker().RecordStart(i.Slots()), attempt: k.attempt}
}

// skip leaves the flow of the item for this pass. An item without any candidate lets the others of its flow pass.
func (t *Table) skip(i *waitqueue.Item[*task], c placement.Choice) {
	if c.Reason() == placement.ReasonNoCandidate && !i.Blocked() && t.queue.tasks.MoveBack(i) {
		return
	}

	t.queue.tasks.Skip(i, true)
}
