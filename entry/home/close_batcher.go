package home

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

const (
	// maxBatch bounds the submissions of one close message.
	maxBatch = 1000
	// closeRetry is the pause before a close that failed is sent again.
	closeRetry = 100 * time.Millisecond
)

// startKey identifies a start within its submission.
type startKey struct{ index, attempt int }

// closer sends closes, at most one message at a time to each sidecar. What comes in meanwhile goes into the next one,
// so a wave of cancellations costs few messages. The zero value with sidecars works.
type closer struct {
	sidecars Sidecars

	mu sync.Mutex
	// batches holds the workers to which a message is on its way, with the submissions for the next one.
	batches map[*fleet.Worker]*batch
}

// batch collects the submissions to close at one worker.
type batch struct {
	closer *closer
	worker *fleet.Worker
	// waiting is guarded by the closer's lock.
	waiting []*Held
}

// add closes the submission at the worker; the result goes to Held.closed.
func (c *closer) add(ctx context.Context, w *fleet.Worker, h *Held) {
	c.mu.Lock()
	defer c.mu.Unlock()

	b, found := c.batches[w]
	if !found {
		if c.batches == nil {
			c.batches = map[*fleet.Worker]*batch{}
		}

		b = &batch{closer: c, worker: w}
		c.batches[w] = b

		// A close outlives the submission that began the batch.
		go b.run(context.WithoutCancel(ctx))
	}

	b.waiting = append(b.waiting, h)
}

func (b *batch) run(ctx context.Context) {
	for {
		b.closer.mu.Lock()

		if len(b.waiting) == 0 {
			delete(b.closer.batches, b.worker)
			b.closer.mu.Unlock()

			return
		}

		n := min(len(b.waiting), maxBatch)
		now := b.waiting[:n]
		b.waiting = b.waiting[n:]
		b.closer.mu.Unlock()

		b.send(ctx, now)
	}
}

// send closes the submissions and tries again until cancelWait is over. After that the answer says that it is unknown
// what ran.
func (b *batch) send(ctx context.Context, held []*Held) {
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()

	ids := make([]string, len(held))
	for i, h := range held {
		ids[i] = h.id
	}

	for ctx.Err() == nil {
		reply, err := b.closer.sidecars.Close(ctx, b.worker.Name(), b.worker.Incarnation(), ids, true)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(closeRetry):
			}

			continue
		}

		started := make(map[string]map[startKey]bool, len(held))

		for _, c := range reply.GetClosed() {
			// A submission that the sidecar does not mention is not confirmed.
			keys := make(map[startKey]bool, len(c.GetStarted()))
			for _, k := range c.GetStarted() {
				keys[startKey{int(k.GetIndex()), int(k.GetAttempt())}] = true
			}

			started[c.GetSubmission()] = keys
		}

		for _, h := range held {
			if keys, confirmed := started[h.id]; confirmed && reply.GetIncarnation() == b.worker.Incarnation() {
				h.closed(b.worker, keys)
			}
		}

		return
	}
}
