// Package home holds the submissions whose home is this entry, and starts their tasks.
package home

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/estimate"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/process/retrybudget"
	"github.com/skylarkweir/skylarkweir/weir/process/waitqueue"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

const (
	// shardCount is the number of locks of the table, so that calls for different submissions rarely share one.
	shardCount = 64
	// defaultMaxSubmissions is the default of the setting submissions. An ended submission with a small answer takes about
	// 765 bytes (BenchmarkHeldMemory), so a full table takes 153 MB.
	defaultMaxSubmissions = 200000
	// defaultAnswerMemoryBytes is the default of the setting answer_memory.
	defaultAnswerMemoryBytes = 96 << 20
)

// Table holds the submissions of one home. Locks are taken in the order shard, Handle, waitQueue.
type Table struct {
	workers  *fleet.Fleet
	sidecars Sidecars
	log      zerolog.Logger
	// placements is the logger for placements, which may be sampled.
	placements zerolog.Logger
	// incarnation is that of this entry. If it is zero, the home of a ticket is not checked.
	incarnation uint64
	policy      placement.Policy
	rules       atomic.Pointer[rules]
	// position is the log position up to which the log has been applied to the rules.
	position atomic.Int64

	shards         [shardCount]shard
	maxSubmissions int
	count          atomic.Int64
	// inflight counts submissions without an answer.
	inflight atomic.Int64
	leaving  atomic.Bool
	// drainWakeup wakes Drain; its buffer holds one signal.
	drainWakeup chan struct{}
	drainOnce   sync.Once

	queue          waitQueue
	updates        workerUpdates
	answerMemory   memoryAccount
	expiry         expirySchedule
	closes         closeBatcher
	retryBudget    retrybudget.Budget
	refusedTickets refusalSet
	runTimes       estimate.RunTimes

	metricsOnce   sync.Once
	registry      metrics.Registry
	cachedMetrics *tableMetrics
}

type shard struct {
	mu      sync.Mutex
	handles map[string]*Handle
}

// waitQueue is the queue of waiting tasks with its lock.
type waitQueue struct {
	mu     sync.Mutex
	tasks  waitqueue.Queue[*task]
	random *rand.Rand
}

// Configure sets the dependencies of the table. It is called once, before any other method.
func (t *Table) Configure(workers *fleet.Fleet, sidecars Sidecars, log zerolog.Logger) {
	t.workers, t.sidecars, t.log, t.placements = workers, sidecars, log, log
	t.closes.sidecars = sidecars
	workers.OnChange(t.notifyChange)
}

// SetIncarnation sets the incarnation of this entry. Submissions with tickets of another one are refused.
func (t *Table) SetIncarnation(incarnation uint64) { t.incarnation = incarnation }

// SetLimits sets the maximum number of waiting tasks, the maximum number of submissions held and the memory for inputs
// and answers in bytes. Zero selects the default.
func (t *Table) SetLimits(queueTasks, submissions, answerMemory int) {
	t.queue.tasks.SetMaxTasks(queueTasks)
	t.maxSubmissions = submissions
	t.answerMemory.limitBytes = int64(answerMemory)
}

// SetPolicy sets the placement policy; the default is two choices.
func (t *Table) SetPolicy(p placement.Policy) { t.policy = p }

// SetPlacementSampling logs only every n-th placement of a task; other events are not sampled. It is called after
// Configure and before Run.
func (t *Table) SetPlacementSampling(n int) {
	t.placements = t.log.Sample(&zerolog.BasicSampler{N: uint32(n)}) //nolint:gosec // the range is checked by the settings
}

// SetMetricsRegistry sets the registry of the metrics. It is called before Run.
func (t *Table) SetMetricsRegistry(r metrics.Registry) { t.registry = r }

// Run dispatches tasks until ctx ends.
func (t *Table) Run(ctx context.Context) {
	go t.expiry.run(ctx, t)
	t.dispatchLoop(ctx)
}

// Submit admits a submission, or returns the one that is held under the same ticket.
func (t *Table) Submit(s submission.Submission) (*Handle, error) {
	now := time.Now()

	h, err := t.submit(s, now)
	if err != nil {
		t.recordRefusal(s, err)

		return nil, err
	}

	return h, nil
}

// Find returns the submission with this ticket, if it is held.
func (t *Table) Find(id string) (*Handle, bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()

	h, found := s.handles[id]

	return h, found
}

// RefuseTicket ensures that the submission with this ticket never runs, and returns false if it is already held. It is
// for cancellations that arrive before the submission itself.
func (t *Table) RefuseTicket(id string, k ticket.Ticket) bool {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()

	if _, found := s.handles[id]; found {
		return false
	}

	t.refusedTickets.add(k, time.Now())

	return true
}

// Position returns the log position up to which the log has been applied to the rules. New tickets must not have a
// higher one: their tasks might be placed at a worker that left below that position, and an entry that closes the
// submission after the loss of this home would not ask this worker.
func (t *Table) Position() int64 { return t.position.Load() }

// Inflight returns the number of submissions without an answer.
func (t *Table) Inflight() int { return int(t.inflight.Load()) }

// Count returns the number of submissions held.
func (t *Table) Count() int { return int(t.count.Load()) }

func (t *Table) submit(s submission.Submission, now time.Time) (*Handle, error) {
	if err := t.expiry.checkTicket(s.Ticket().Expiry(), now); err != nil {
		return nil, err
	}

	d := t.shardOf(s.ID())
	d.mu.Lock()
	defer d.mu.Unlock()

	if h, found := d.handles[s.ID()]; found {
		return h, h.checkDigest(s)
	}

	if t.refusedTickets.contains(s.Ticket()) {
		return nil, fault.New(fault.TicketRefused, "the submission was refused before; a retry needs a new ticket or key")
	}

	// This precedes the check for leaving, so that Drain does not miss a submission that is being admitted.
	t.inflight.Add(1)

	h, err := t.admit(s, now)
	if err != nil {
		t.decrementInflight()
		t.recordRefusedTicket(s, err, now)

		return nil, err
	}

	d.put(h)
	t.count.Add(1)
	t.expiry.add(h)
	h.enqueue(now)

	return h, nil
}

// recordRefusedTicket makes a refusal with the result "not run" final. An entry that is leaving or is not the home
// refuses later copies anyway.
func (t *Table) recordRefusedTicket(s submission.Submission, err error, now time.Time) {
	if k := fault.KindOf(err); k == fault.Leaving || k == fault.UnknownSubmission || fault.RanOf(err) != fault.RanNone {
		return
	}

	t.refusedTickets.add(s.Ticket(), now)
}

func (t *Table) shardOf(id string) *shard { return &t.shards[xxhash.Sum64String(id)%shardCount] }

func (s *shard) put(h *Handle) {
	if s.handles == nil {
		s.handles = map[string]*Handle{}
	}

	s.handles[h.id] = h
}

// decrementInflight counts the end of an active submission and wakes Drain.
func (t *Table) decrementInflight() {
	t.inflight.Add(-1)

	select {
	case t.drainSignal() <- struct{}{}:
	default:
	}
}

func (t *Table) drainSignal() chan struct{} {
	t.drainOnce.Do(func() { t.drainWakeup = make(chan struct{}, 1) })

	return t.drainWakeup
}
