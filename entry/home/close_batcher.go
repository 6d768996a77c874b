package home

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

const (
	// maxBatch bounds the submissions of one close message.
	maxSubmissionsPerClose = 1000
	// closeRetry is the pause before a close that failed is sent again.
	closeRetryDelay = 100 * time.Millisecond
)

// startKey identifies a start within its submission.
type attemptKey struct{ index, attempt int }

// closer sends closes, at most one message at a time to each sidecar. What comes in meanwhile goes into the next one,
// so a wave of cancellations costs few messages. The zero value with sidecars works.
type closeBatcher struct {
	sidecars Sidecars

	mu sync.Mutex
	// batches holds the workers to which a message is on its way, with the submissions for the next one.
	batches map[*fleet.Worker]*closeBatch
}

// batch collects the submissions to close at one worker.
type closeBatch struct {
	batcher *closeBatcher
	worker  *fleet.Worker
	// waiting is guarded by the closer's lock.
	queued []*Handle
}

// add closes the submission at the worker; the result goes to Held.closed.
func (c *closeBatcher) add(ctx context.Context, w *fleet.Worker, h *Handle) {
	c.mu.Lock()
	defer c.mu.Unlock()

	b, found := c.batches[w]
	if !found {
		if c.batches == nil {
			c.batches = map[*fleet.Worker]*closeBatch{}
		}

		b = &closeBatch{batcher: c, worker: w}
		c.batches[w] = b

		// A close outlives the submission that began the batch.
		go b.run(context.WithoutCancel(ctx))
	}

	b.queued = append(b.queued, h)
}

func (b *closeBatch) run(ctx context.Context) {
	for {
		b.batcher.mu.Lock()

		if len(b.queued) == 0 {
			delete(b.batcher.batches, b.worker)
			b.batcher.mu.Unlock()

			return
		}

		n := min(len(b.queued), maxSubmissionsPerClose)
		handles := b.queued[:n]
		b.queued = b.queued[n:]
		b.batcher.mu.Unlock()

		b.send(ctx, handles)
	}
}

// send closes the submissions and tries again until cancelWait is over. After that the answer says that it is unknown
// what ran.
func (b *closeBatch) send(ctx context.Context, handles []*Handle) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()

	ids := make([]string, len(handles))
	for i, h := range handles {
		ids[i] = h.id
	}

	for ctx.Err() == nil {
		reply, err := b.batcher.sidecars.Close(ctx, b.worker.Name(), b.worker.Incarnation(), ids, true)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(closeRetryDelay):
			}

			continue
		}

		startedBySubmission := make(map[string]map[attemptKey]bool, len(handles))

		for _, c := range reply.GetClosed() {
			// A submission that the sidecar does not mention is not confirmed.
			started := make(map[attemptKey]bool, len(c.GetStarted()))
			for _, k := range c.GetStarted() {
				started[attemptKey{int(k.GetIndex()), int(k.GetAttempt())}] = true
			}

			startedBySubmission[c.GetSubmission()] = started
		}

		for _, h := range handles {
			if started, confirmed := startedBySubmission[h.id]; confirmed && reply.GetIncarnation() == b.worker.Incarnation() {
				h.confirmClose(b.worker, started)
			}
		}

		return
	}
}
