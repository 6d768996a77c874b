// Package tasks holds the start table of a sidecar and runs the started tasks at the backend server.
package tasks

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Table is the start table. It starts a task at most once for each ID. A repeated start with the same ID gets the
// outcome of the first.
type Table struct {
	limits     Limits
	backend    Backend
	statistics *ejection.Statistics
	log        zerolog.Logger
	// startLog is log with sampling. It has the lines of started tasks.
	startLog zerolog.Logger
	metrics  tableMetrics

	// mu puts every decision on a start before or after every close. It guards the fields below.
	mu          sync.Mutex
	scheduler   share.Scheduler[*Run]
	submissions map[string]*submission
	expiry      expiryHeap
	// queued has the starts that wait for slots, running those that were started and have not ended.
	queued, running map[*Run]struct{}
	// starts, tombstones and heldBytes are bounded by limits. unacknowledged counts the held outcomes.
	starts, tombstones, unacknowledged int
	heldBytes                          int64
	// meanOutput is the moving average of output sizes in bytes.
	meanOutput float64
	leaving    bool
	// evacuated is true while the operator has evacuated the failure domain.
	evacuated bool
}

// NewTable returns an empty table. It rejects every start until it is configured.
func NewTable(l Limits, b Backend, s *ejection.Statistics, r metrics.Registry, log zerolog.Logger) *Table {
	return &Table{
		limits: NewLimits(l.maxStarts, l.maxBytes), backend: b, statistics: s, metrics: newTableMetrics(r),
		log: log, startLog: log,
		submissions: map[string]*submission{},
		queued:      map[*Run]struct{}{}, running: map[*Run]struct{}{},
	}
}

// SampleStartLog limits the log lines of started tasks to every n-th. All other lines are logged. It must be called
// before the first start.
func (t *Table) SampleStartLog(n int) {
	t.startLog = t.log.Sample(&zerolog.BasicSampler{N: uint32(n)}) //nolint:gosec // the range is checked by the settings
}

// Configure sets the capacity, and the kinds and members of the agreement. Queued tasks that can no longer run here are
// rejected.
func (t *Table) Configure(c share.Capacity, kinds []share.Kind, members []share.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, task := range t.scheduler.Configure(time.Now(), c, kinds, members) {
		t.removeRejected(task.Value(), Rejected{
			wire.Rejection_REJECTION_QUEUE_FULL,
			"the member's allowance here became smaller than the task, or the kind is no longer run here",
		})
	}

	t.startQueuedTasks()
}

// Start starts a task, queues it or rejects it. For a start that the table already has, it returns the first run,
// or a failure if the outcome was acknowledged and is no longer held.
func (t *Table) Start(r Request) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()

	// The time is read under the lock, so that the time spent waiting for the lock counts against the lease.
	now := time.Now()
	s := t.submissions[r.id.submission]

	if s != nil {
		if i := s.find(r.id); i >= 0 {
			t.metrics.repeated.Inc(1)
			return t.answerRepeated(s.records[i].run, r)
		}
	}

	run := newRun(r, now)

	if rejection := t.checkNew(s, r, now); rejection != nil {
		t.endRejected(run, *rejection)
		return run
	}

	run.task = share.NewTask(r.member, r.kind, r.cores, r.memoryMB, run)

	result, displaced := t.scheduler.Offer(now, run.task)
	if rejection := offerRejection(result); rejection != nil {
		t.endRejected(run, *rejection)
		return run
	}

	t.addAccepted(s, run, now)

	if displaced != nil {
		t.removeRejected(displaced.Value(), Rejected{
			wire.Rejection_REJECTION_QUEUE_FULL, "the place in the queue went to another member",
		})
	}

	t.startQueuedTasks()

	if _, queued := t.queued[run]; queued {
		t.metrics.queued.Inc(1)
		addTaskFields(t.log.Info().Str("event", "task_queued"), run).Msg("task waits for free slots")
	}

	return run
}

// answerRepeated answers a start that the table already has. A queued start takes over the lease of the new request if
// that is valid, since the lease of the first connection may have been revoked.
func (t *Table) answerRepeated(first *Run, r Request) *Run {
	if first == nil {
		released := newRun(r, time.Now())
		released.finish(Failed{kind: fault.AnswerReleased, message: "the outcome was acknowledged and is no longer held"})

		return released
	}

	if _, queued := t.queued[first]; queued && r.rejection == nil && r.lease.Valid(r.leaseEpoch, uptime.Now()) {
		first.request.lease, first.request.leaseEpoch = r.lease, r.leaseEpoch
	}

	return first
}

// addAccepted adds a start that the scheduler accepted.
func (t *Table) addAccepted(s *submission, run *Run, now time.Time) {
	r := run.request

	if s == nil {
		s = t.addSubmission(r.id.submission, now)
	}

	s.records = append(s.records, startRecord{r.id.index, r.id.attempt, run})
	t.extendRetention(s, now, max(r.retention, r.deadline.Sub(now)))
	t.starts++
	run.heldBytes = int64(len(r.input)) + bodyOverheadBytes
	t.heldBytes += run.heldBytes
	t.queued[run] = struct{}{}
	t.metrics.accepted.Inc(1)
	addTaskFields(t.log.Info().Str("event", "task_accepted"), run).Msg("task accepted")
}
