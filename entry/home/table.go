// Package home holds the submissions that this entry is home to, and starts their tasks.
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
	// shards spreads the table over several locks. Submit and Find of different submissions rarely share one.
	shardCount = 64
	// defaultSize is the number of submissions held at most. An ended submission with a small answer takes about
	// 765 bytes by BenchmarkHeldMemory, so a full table takes 115 MB.
	defaultMaxSubmissions = 150000
	// defaultAnswerMemory is the design's answer_memory.
	defaultAnswerMemoryBytes = 96 << 20
)

// Table holds the submissions of one home. Lock order: shard, Held, queue.
type Table struct {
	workers  *fleet.Fleet
	sidecars Sidecars
	log      zerolog.Logger
	// placements is log with the sampling of placements.
	placements zerolog.Logger
	// incarnation is this entry's; zero leaves the home of a ticket unchecked.
	incarnation uint64
	policy      placement.Policy
	rules       atomic.Pointer[rules]
	// position is the log position up to which placement follows the log.
	position atomic.Int64

	shards         [shardCount]shard
	maxSubmissions int
	count          atomic.Int64
	// inflight counts submissions without an answer.
	inflight atomic.Int64
	leaving  atomic.Bool
	// ended wakes Drain; it has room for one signal.
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

// queue is the wait queue with its lock.
type waitQueue struct {
	mu     sync.Mutex
	tasks  waitqueue.Queue[*task]
	random *rand.Rand
}

// Use sets what the table works with. It is called once, before any other method.
func (t *Table) Init(workers *fleet.Fleet, sidecars Sidecars, log zerolog.Logger) {
	t.workers, t.sidecars, t.log, t.placements = workers, sidecars, log, log
	t.closes.sidecars = sidecars
	workers.OnChange(t.notifyChange)
}

// Own sets the incarnation of this entry. Tickets of another one are not started here.
func (t *Table) SetIncarnation(incarnation uint64) { t.incarnation = incarnation }

// Limit sets the number of tasks that may wait, the number of submissions held and the memory for inputs and answers
// in bytes. Zero keeps the default.
func (t *Table) SetLimits(queueTasks, submissions, answerMemory int) {
	t.queue.tasks.SetMaxTasks(queueTasks)
	t.maxSubmissions = submissions
	t.answerMemory.limitBytes = int64(answerMemory)
}

// Choose sets the placement policy; the default is two choices.
func (t *Table) SetPolicy(p placement.Policy) { t.policy = p }

// Sample logs every n-th placement of a task only. All other lines are logged. It is called after Use and before Run.
func (t *Table) SetPlacementSampling(n int) {
	t.placements = t.log.Sample(&zerolog.BasicSampler{N: uint32(n)}) //nolint:gosec // the range is checked by the settings
}

// Measure sets the registry of the metrics. It is called before Run.
func (t *Table) SetMetricsRegistry(r metrics.Registry) { t.registry = r }

// Run dispatches tasks until ctx ends.
func (t *Table) Run(ctx context.Context) {
	go t.expiry.run(ctx, t)
	t.dispatchLoop(ctx)
}

// Submit takes a submission, or returns the one that is held under the same ticket.
func (t *Table) Submit(s submission.Submission) (*Handle, error) {
	now := time.Now()

	h, err := t.submit(s, now)
	if err != nil {
		t.recordRefusal(s, err)

		return nil, err
	}

	return h, nil
}

// Find returns a held submission.
func (t *Table) Find(id string) (*Handle, bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()

	h, found := s.handles[id]

	return h, found
}

// Abandon makes sure that a submission that is not held never runs, and returns false if it is held. A caller may cancel
// a submission whose message is still on its way.
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

// Position returns the log position up to which placement follows the log. A ticket of a higher position might be given
// to a worker that has left below it, which would not be asked if this home is lost.
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
		return nil, fault.New(fault.TicketRefused, "the submission was refused before; another try needs a new ticket or key")
	}

	// Counted before the check for leaving, so that Drain does not miss a submission that is being admitted.
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

// spend makes a refusal as not run final. Refusals by an entry that is leaving or is not the home are final anyway.
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

// less counts one submission less in flight and wakes Drain.
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
