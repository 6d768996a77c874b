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
	shards = 64
	// defaultSize is the number of submissions held at most. An ended submission with a small answer takes about
	// 765 bytes by BenchmarkHeldMemory, so a full table takes 115 MB.
	defaultSize = 150000
	// defaultAnswerMemory is the design's answer_memory.
	defaultAnswerMemory = 96 << 20
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

	shards [shards]shard
	size   int
	count  atomic.Int64
	// inflight counts submissions without an answer.
	inflight atomic.Int64
	leaving  atomic.Bool
	// ended wakes Drain; it has room for one signal.
	ended     chan struct{}
	endedOnce sync.Once

	queue  queue
	news   news
	memory memory
	expiry expiry
	closer closer
	budget retrybudget.Budget
	spent  spent
	runs   estimate.RunTimes

	metricsOnce sync.Once
	registry    metrics.Registry
	measured    *meters
}

type shard struct {
	mu   sync.Mutex
	held map[string]*Held
}

// queue is the wait queue with its lock.
type queue struct {
	mu     sync.Mutex
	tasks  waitqueue.Queue[*task]
	random *rand.Rand
}

// Use sets what the table works with. It is called once, before any other method.
func (t *Table) Use(workers *fleet.Fleet, sidecars Sidecars, log zerolog.Logger) {
	t.workers, t.sidecars, t.log, t.placements = workers, sidecars, log, log
	t.closer.sidecars = sidecars
	workers.OnChange(t.changed)
}

// Own sets the incarnation of this entry. Tickets of another one are not started here.
func (t *Table) Own(incarnation uint64) { t.incarnation = incarnation }

// Limit sets the number of tasks that may wait, the number of submissions held and the memory for inputs and answers
// in bytes. Zero keeps the default.
func (t *Table) Limit(queueTasks, submissions, answerMemory int) {
	t.queue.tasks.SetMaxTasks(queueTasks)
	t.size = submissions
	t.memory.limit = int64(answerMemory)
}

// Choose sets the placement policy; the default is two choices.
func (t *Table) Choose(p placement.Policy) { t.policy = p }

// Sample logs every n-th placement of a task only. All other lines are logged. It is called after Use and before Run.
func (t *Table) Sample(n int) {
	t.placements = t.log.Sample(&zerolog.BasicSampler{N: uint32(n)}) //nolint:gosec // the range is checked by the settings
}

// Measure sets the registry of the metrics. It is called before Run.
func (t *Table) Measure(r metrics.Registry) { t.registry = r }

// Run dispatches tasks until ctx ends.
func (t *Table) Run(ctx context.Context) {
	go t.expiry.run(ctx, t)
	t.loop(ctx)
}

// Submit takes a submission, or returns the one that is held under the same ticket.
func (t *Table) Submit(s submission.Submission) (*Held, error) {
	now := time.Now()

	h, err := t.submit(s, now)
	if err != nil {
		t.refused(s, err)

		return nil, err
	}

	return h, nil
}

// Find returns a held submission.
func (t *Table) Find(id string) (*Held, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()

	h, found := s.held[id]

	return h, found
}

// Abandon makes sure that a submission that is not held never runs, and returns false if it is held. A caller may cancel
// a submission whose message is still on its way.
func (t *Table) Abandon(id string, k ticket.Ticket) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()

	if _, found := s.held[id]; found {
		return false
	}

	t.spent.add(k, time.Now())

	return true
}

// Position returns the log position up to which placement follows the log. A ticket of a higher position might be given
// to a worker that has left below it, which would not be asked if this home is lost.
func (t *Table) Position() int64 { return t.position.Load() }

// Inflight returns the number of submissions without an answer.
func (t *Table) Inflight() int { return int(t.inflight.Load()) }

// Count returns the number of submissions held.
func (t *Table) Count() int { return int(t.count.Load()) }

func (t *Table) submit(s submission.Submission, now time.Time) (*Held, error) {
	if err := t.expiry.check(s.Ticket().Expiry(), now); err != nil {
		return nil, err
	}

	d := t.shard(s.ID())
	d.mu.Lock()
	defer d.mu.Unlock()

	if h, found := d.held[s.ID()]; found {
		return h, h.matches(s)
	}

	if t.spent.has(s.Ticket()) {
		return nil, fault.New(fault.TicketRefused, "the submission was refused before; another try needs a new ticket or key")
	}

	// Counted before the check for leaving, so that Drain does not miss a submission that is being admitted.
	t.inflight.Add(1)

	h, err := t.admit(s, now)
	if err != nil {
		t.less()
		t.spend(s, err, now)

		return nil, err
	}

	d.put(h)
	t.count.Add(1)
	t.expiry.add(h)
	h.begin(now)

	return h, nil
}

// spend makes a refusal as not run final. Refusals by an entry that is leaving or is not the home are final anyway.
func (t *Table) spend(s submission.Submission, err error, now time.Time) {
	if k := fault.KindOf(err); k == fault.Leaving || k == fault.UnknownSubmission || fault.RanOf(err) != fault.RanNone {
		return
	}

	t.spent.add(s.Ticket(), now)
}

func (t *Table) shard(id string) *shard { return &t.shards[xxhash.Sum64String(id)%shards] }

func (s *shard) put(h *Held) {
	if s.held == nil {
		s.held = map[string]*Held{}
	}

	s.held[h.id] = h
}

// less counts one submission less in flight and wakes Drain.
func (t *Table) less() {
	t.inflight.Add(-1)

	select {
	case t.endedSignal() <- struct{}{}:
	default:
	}
}

func (t *Table) endedSignal() chan struct{} {
	t.endedOnce.Do(func() { t.ended = make(chan struct{}, 1) })

	return t.ended
}
