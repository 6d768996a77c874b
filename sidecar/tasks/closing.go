package tasks

import (
	"container/heap"
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// ackWait bounds the time for which a leaving sidecar waits for homes to fetch outcomes.
	ackWait = 5 * time.Second
	// poll is the interval at which Drain looks at the table.
	poll = 20 * time.Millisecond
)

// Close puts a tombstone on submissions and reports the tasks that were started. Queued tasks are rejected; running
// ones go on unless they are to be cancelled. Without an error, no task that is not reported starts later.
func (t *Table) Close(submissions []string, cancel bool, keep time.Duration) ([]*wire.Closed, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	until := now.Add(max(keep, longestDeadline) + keepMargin)
	out := make([]*wire.Closed, 0, len(submissions))

	for _, id := range submissions {
		s := t.submissions[id]
		if s == nil || s.closed.IsZero() {
			if t.tombstones >= t.limits.starts {
				return nil, merry.Errorf("close submission: %d tombstones are held already", t.tombstones)
			}

			t.tombstones++
		}

		if s == nil {
			s = t.insert(id, now)
		}

		if until.After(s.closed) {
			s.closed = until
			heap.Fix(&t.expiry, s.place)
		}

		out = append(out, t.close(s, cancel))
	}

	t.serve()

	return out, nil
}

func (t *Table) close(s *submission, cancel bool) *wire.Closed {
	var started []*wire.TaskId

	for _, r := range append([]record(nil), s.records...) {
		if r.run != nil && t.scheduler.Withdraw(r.run.task) {
			t.drop(r.run, Rejected{wire.Rejection_REJECTION_CLOSED, "the submission was closed"})
			continue
		}

		if cancel && r.run != nil && r.run.running {
			r.run.cancel()
		}

		started = append(started, NewID(s.id, r.index, r.attempt).Wire())
	}

	c := &wire.Closed{}
	c.SetSubmission(s.id)
	c.SetStarted(started)
	t.counts.closed.Inc(1)
	t.log.Info().Str("event", "submission_closed").Str("submission", s.id).Int("started", len(started)).Bool("cancel", cancel).Msg("")

	return c
}

// Leave rejects the queued tasks and all new starts. Running tasks go on.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.leaving = true

	for run := range t.queued {
		t.scheduler.Withdraw(run.task)
		t.drop(run, Rejected{wire.Rejection_REJECTION_LEAVING, "the sidecar is leaving"})
	}
}

// Drain waits until no task runs, and then a bounded time until every outcome was acknowledged.
func (t *Table) Drain(ctx context.Context) error {
	ticker := time.NewTicker(poll)
	defer ticker.Stop()

	var idle time.Time

	for {
		t.mu.Lock()
		running, unfetched := len(t.running)+len(t.queued), t.unfetched
		t.mu.Unlock()

		if running > 0 {
			idle = time.Time{}
		} else if idle.IsZero() {
			idle = time.Now()
		}

		if running == 0 && (unfetched == 0 || time.Since(idle) > ackWait) {
			return nil
		}

		select {
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "drain: %d tasks still run", running)
		case <-ticker.C:
		}
	}
}
