package tasks

import (
	"container/heap"
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// outcomeFetchTimeout limits how long a leaving sidecar waits for the homes to fetch and acknowledge outcomes once
	// no task runs.
	outcomeFetchTimeout = 5 * time.Second
	// cancelledRunTimeout limits how long Close waits for the end of the calls that it has cancelled, which end at once.
	cancelledRunTimeout = 200 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks the table.
	drainPollInterval = 20 * time.Millisecond
)

// Close puts a tombstone on submissions and returns their started tasks. Queued tasks are rejected, and running ones
// continue unless cancel is set. If Close returns no error, a task that it did not return will not start later. Of the
// cancelled tasks it waits until it is known which were sent to the backend server.
func (t *Table) Close(submissions []string, cancel bool, retention time.Duration) ([]*wire.Closed, error) {
	cancelled, err := t.putTombstones(submissions, cancel, retention)
	if err != nil {
		return nil, err
	}

	awaitRuns(cancelled)

	t.mu.Lock()
	defer t.mu.Unlock()

	closed := make([]*wire.Closed, 0, len(submissions))
	for _, id := range submissions {
		closed = append(closed, t.reportClosed(id, cancel))
	}

	return closed, nil
}

// putTombstones closes submissions for new starts, rejects their queued tasks, and returns the running ones that it has
// cancelled.
func (t *Table) putTombstones(submissions []string, cancel bool, retention time.Duration) ([]*Run, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	until := now.Add(max(retention, maxDeadline) + retentionMargin)

	var cancelled []*Run

	for _, id := range submissions {
		s := t.submissions[id]
		if s == nil || s.closedUntil.IsZero() {
			if t.tombstones >= t.limits.maxStarts {
				return nil, merry.Errorf("close submission: tombstone limit reached: the table holds %d", t.tombstones)
			}

			t.tombstones++
		}

		if s == nil {
			s = t.addSubmission(id, now)
		}

		if until.After(s.closedUntil) {
			s.closedUntil = until
			heap.Fix(&t.expiry, s.heapIndex)
		}

		t.rejectQueued(s)

		if cancel {
			cancelled = append(cancelled, s.cancelRunning()...)
		}
	}

	t.startQueuedTasks()

	return cancelled, nil
}

// rejectQueued rejects the queued tasks of a closed submission.
func (t *Table) rejectQueued(s *submission) {
	for _, r := range append([]startRecord(nil), s.records...) {
		if r.run != nil && t.scheduler.Withdraw(r.run.task) {
			t.removeRejected(r.run, Rejected{wire.Rejection_REJECTION_CLOSED, "the submission was closed"})
		}
	}
}

// awaitRuns waits until all runs have ended, for at most cancelledRunTimeout.
func awaitRuns(runs []*Run) {
	timeout := time.NewTimer(cancelledRunTimeout)
	defer timeout.Stop()

	for _, r := range runs {
		select {
		case <-r.Done():
		case <-timeout.C:
			return
		}
	}
}

// reportClosed returns the started tasks of a closed submission.
func (t *Table) reportClosed(id string, cancel bool) *wire.Closed {
	var started []*wire.TaskId

	if s := t.submissions[id]; s != nil {
		for _, r := range s.records {
			started = append(started, NewID(id, r.index, r.attempt).Wire())
		}
	}

	closed := &wire.Closed{}
	closed.SetSubmission(id)
	closed.SetStarted(started)
	t.metrics.closed.Inc(1)
	t.log.Info().Str("event", "submission_closed").Str("submission", id).Int("started", len(started)).
		Bool("cancel", cancel).Msg("submission closed: its tasks can no longer start here")

	return closed
}

// Leave rejects the queued tasks and all new starts. Running tasks continue.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.leaving = true

	for run := range t.queued {
		t.scheduler.Withdraw(run.task)
		t.removeRejected(run, Rejected{wire.Rejection_REJECTION_LEAVING, "the sidecar is leaving"})
	}
}

// SetEvacuated sets whether the operator has evacuated the failure domain. While it is evacuated, new and queued starts are
// rejected; running tasks finish normally.
func (t *Table) SetEvacuated(evacuated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.evacuated = evacuated
	if !evacuated {
		return
	}

	for run := range t.queued {
		t.scheduler.Withdraw(run.task)
		t.removeRejected(run, *evacuatedRejection())
	}
}

// Drain waits until no task is queued or running, and then for at most outcomeFetchTimeout until every outcome is
// acknowledged.
func (t *Table) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()

	var idleSince time.Time

	for {
		t.mu.Lock()
		running, unacknowledged := len(t.running)+len(t.queued), t.unacknowledged
		t.mu.Unlock()

		if running > 0 {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		}

		if running == 0 && (unacknowledged == 0 || time.Since(idleSince) > outcomeFetchTimeout) {
			return nil
		}

		select {
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "drain: stopped waiting with %d tasks queued or running", running)
		case <-ticker.C:
		}
	}
}
