package home

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

const (
	// maxSubmissionsPerClose bounds the size of one close message.
	maxSubmissionsPerClose = 1000
	// closeRetryDelay is the delay before a failed close message is sent again.
	closeRetryDelay = 100 * time.Millisecond
)

// attemptKey identifies a start within its submission.
type attemptKey struct{ index, attempt int }

// closeBatcher sends close messages, at most one at a time to each sidecar. Submissions that are added meanwhile go
// into the next message, so that many cancellations at once need few messages. Only sidecars must be set.
type closeBatcher struct {
	sidecars Sidecars

	mu sync.Mutex
	// batches has an entry for each worker to which a message is being sent, with the submissions for the next one.
	batches map[*fleet.Worker]*closeBatch
}

// closeBatch collects the submissions to close at one worker.
type closeBatch struct {
	batcher *closeBatcher
	worker  *fleet.Worker
	// queued is guarded by the lock of the batcher.
	queued []*Handle
}

// add queues the submission to be closed at the worker. The result is passed to Handle.confirmClose.
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

		// The batch may outlive the submission that began it.
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

// send closes the submissions, and repeats the message for at most cancelTimeout. After that, the answer reports that
// it is unknown what ran.
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
			// A submission that is missing from the reply is not confirmed.
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
