package tasks

import (
	"container/heap"
	"context"
	"time"
)

const (
	// keepMargin is added to the time for which a start is kept, since clocks of processes run apart.
	keepMargin = 30 * time.Second
	// longestDeadline is the largest time between a submission and its deadline. A home may start tasks for that long
	// after the ticket was last accepted, so tombstones live at least as long.
	longestDeadline = 2 * time.Minute
	// tick is the interval at which queued tasks are checked for their deadline and lease.
	tick = 200 * time.Millisecond
)

func (t *Table) insert(id string, now time.Time) *submission {
	s := &submission{id: id, keep: now}
	t.submissions[id] = s
	heap.Push(&t.expiry, s)

	return s
}

func (t *Table) extend(s *submission, now time.Time, keep time.Duration) {
	if until := now.Add(max(0, keep) + keepMargin); until.After(s.keep) {
		s.keep = until
		heap.Fix(&t.expiry, s.place)
	}
}

// Loop checks queued tasks and forgets old starts until ctx ends.
func (t *Table) Loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
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

	t.prune(now)

	for len(t.expiry) > 0 && !now.Before(t.expiry[0].end()) {
		s := t.expiry[0]

		if t.busy(s) {
			t.extend(s, now, 0)
			continue
		}

		heap.Pop(&t.expiry)
		delete(t.submissions, s.id)
		t.forget(s)
	}

	t.serve()
}

// prune rejects the queued tasks that must not run any more.
func (t *Table) prune(now time.Time) {
	for run := range t.queued {
		if rejection := t.stale(run, now); rejection != nil && t.scheduler.Withdraw(run.task) {
			t.drop(run, *rejection)
		}
	}
}

// busy tells whether a task of the submission has not ended.
func (t *Table) busy(s *submission) bool {
	for _, r := range s.records {
		if r.run != nil && r.run.Outcome() == nil {
			return true
		}
	}

	return false
}

func (t *Table) forget(s *submission) {
	t.starts -= len(s.records)

	if !s.closed.IsZero() {
		t.tombstones--
	}

	for _, r := range s.records {
		if r.run != nil {
			t.bytes -= r.run.size
			t.unfetched--
		}
	}
}
