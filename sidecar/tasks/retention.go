package tasks

import (
	"container/heap"
	"context"
	"time"
)

const (
	// retentionMargin is added to the retention of starts and tombstones, because the clocks of processes differ.
	retentionMargin = 30 * time.Second
	// maxDeadline is the longest time between a submission and its deadline. A home may start tasks for that long after
	// the ticket was last accepted, so tombstones are kept for at least that time.
	maxDeadline = 2 * time.Minute
	// sweepInterval is the interval at which the deadlines and leases of queued tasks are checked.
	sweepInterval = 200 * time.Millisecond
)

func (t *Table) addSubmission(id string, now time.Time) *submission {
	s := &submission{id: id, keepUntil: now}
	t.submissions[id] = s
	heap.Push(&t.expiry, s)

	return s
}

func (t *Table) extendRetention(s *submission, now time.Time, retention time.Duration) {
	if until := now.Add(max(0, retention) + retentionMargin); until.After(s.keepUntil) {
		s.keepUntil = until
		heap.Fix(&t.expiry, s.heapIndex)
	}
}

// Loop calls Sweep every sweepInterval until ctx ends.
func (t *Table) Loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Sweep(time.Now())
		}
	}
}

// Sweep rejects queued tasks that must no longer run, for example because their deadline or lease has passed. It
// removes expired submissions and starts tasks for which an allowance has grown.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.rejectStale(now)

	for len(t.expiry) > 0 && !now.Before(t.expiry[0].expiresAt()) {
		s := t.expiry[0]

		if t.hasActiveTask(s) {
			t.extendRetention(s, now, 0)
			continue
		}

		heap.Pop(&t.expiry)
		delete(t.submissions, s.id)
		t.subtractCounts(s)
	}

	t.startQueuedTasks()
}

// rejectStale rejects the queued tasks that must no longer run.
func (t *Table) rejectStale(now time.Time) {
	for run := range t.queued {
		if rejection := t.checkQueued(run, now); rejection != nil && t.scheduler.Withdraw(run.task) {
			t.removeRejected(run, *rejection)
		}
	}
}

// hasActiveTask reports whether a task of the submission has not ended.
func (t *Table) hasActiveTask(s *submission) bool {
	for _, r := range s.records {
		if r.run != nil && r.run.Outcome() == nil {
			return true
		}
	}

	return false
}

func (t *Table) subtractCounts(s *submission) {
	t.starts -= len(s.records)

	if !s.closedUntil.IsZero() {
		t.tombstones--
	}

	for _, r := range s.records {
		if r.run != nil {
			t.heldBytes -= r.run.heldBytes
			t.unacknowledged--
		}
	}
}
