package tasks

import (
	"container/heap"
	"context"
	"time"
)

const (
	// keepMargin is added to the time for which a start is kept, since clocks of processes run apart.
	retentionMargin = 30 * time.Second
	// longestDeadline is the largest time between a submission and its deadline. A home may start tasks for that long
	// after the ticket was last accepted, so tombstones live at least as long.
	maxDeadline = 2 * time.Minute
	// tick is the interval at which queued tasks are checked for their deadline and lease.
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

// Loop checks queued tasks and forgets old starts until ctx ends.
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

// Sweep rejects queued tasks whose deadline or lease has passed, forgets old starts and starts tasks for which an
// allowance has grown.
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

// prune rejects the queued tasks that must not run any more.
func (t *Table) rejectStale(now time.Time) {
	for run := range t.queued {
		if rejection := t.checkQueued(run, now); rejection != nil && t.scheduler.Withdraw(run.task) {
			t.removeRejected(run, *rejection)
		}
	}
}

// busy tells whether a task of the submission has not ended.
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
