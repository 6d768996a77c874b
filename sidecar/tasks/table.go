// Package tasks keeps the start table of a sidecar and runs the started tasks.
package tasks

import (
	"container/heap"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/backend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// keepMargin is added to the time for which a start is kept, since clocks of processes run apart.
	keepMargin = 30 * time.Second
	// longestDeadline is the largest time between a submission and its deadline. A home may start tasks for that long
	// after the ticket was last accepted, so tombstones live at least as long.
	longestDeadline = 2 * time.Minute
	// recheck is the age of a decision to start from which on the lease is checked again right before the call to the
	// backend server. A process that was stopped in between finds an older decision.
	recheck = 50 * time.Millisecond
	// tick is the interval at which queued tasks are checked for their deadline and lease.
	tick = 200 * time.Millisecond
	// ackWait bounds the time for which a leaving sidecar waits for homes to fetch outcomes.
	ackWait = 5 * time.Second
	// poll is the interval at which Drain looks at the table.
	poll = 20 * time.Millisecond
	// outputs is the number of outputs that the moving average of their size goes back to.
	outputs = 32
	// overhead is the number of bytes that each held body costs beyond its length.
	overhead = 512
)

// Backend runs a call at the backend server.
type Backend interface {
	Run(ctx context.Context, c backend.Call) backend.Result
}

// Limits bound the table. Zero values mean the defaults.
type Limits struct {
	starts int
	bytes  int64
}

// Defaults of Limits.
const (
	DefaultStarts = 100_000
	DefaultBytes  = 64 << 20
)

// NewLimits returns the largest number of starts, and the same of tombstones, and the largest sum of held inputs and
// outputs in bytes.
func NewLimits(starts int, bytes int64) Limits {
	if starts <= 0 {
		starts = DefaultStarts
	}

	if bytes <= 0 {
		bytes = DefaultBytes
	}

	return Limits{starts, bytes}
}

// Table is the start table. A task is started at most once for each identity; later starts with that identity get the
// first outcome.
type Table struct {
	limits     Limits
	backend    Backend
	statistics *ejection.Statistics
	log        zerolog.Logger
	// placements is log with the sampling of started tasks.
	placements zerolog.Logger
	counts     counts

	// mu orders every decision on a start with every close.
	mu          sync.Mutex
	scheduler   share.Scheduler[*Run]
	submissions map[string]*submission
	expiry      expiry
	// queued are the starts that wait for slots, running those that were started and have not ended.
	queued, running map[*Run]struct{}
	// starts, tombstones and bytes are what Limits bound; unfetched counts the outcomes without acknowledgement.
	starts, tombstones, unfetched int
	bytes                         int64
	// typical is the moving average of output sizes.
	typical float64
	leaving bool
}

// NewTable returns an empty table. It rejects every start until it is configured.
func NewTable(l Limits, b Backend, s *ejection.Statistics, r metrics.Registry, log zerolog.Logger) *Table {
	return &Table{
		limits: NewLimits(l.starts, l.bytes), backend: b, statistics: s, counts: newCounts(r), log: log, placements: log,
		submissions: map[string]*submission{},
		queued:      map[*Run]struct{}{}, running: map[*Run]struct{}{},
	}
}

// Sample logs every n-th started task only. All other lines are logged. It is called before any task is started.
func (t *Table) Sample(n int) {
	t.placements = t.log.Sample(&zerolog.BasicSampler{N: uint32(n)}) //nolint:gosec // the range is checked by the settings
}

// Configure sets the capacity and the agreed kinds and members. Queued tasks that can no longer run here are rejected.
func (t *Table) Configure(c share.Capacity, kinds []share.Kind, members []share.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, task := range t.scheduler.Configure(time.Now(), c, kinds, members) {
		t.drop(task.Value(), Rejected{wire.Rejection_REJECTION_QUEUE_FULL, "the member's allowance here became smaller than the task, or the kind is no longer run here"})
	}

	t.serve()
}

// Start starts a task, queues it or rejects it. A start that the table knows gets the first outcome.
func (t *Table) Start(r Request) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()

	// The time is read under the lock, so that a wait for it counts against the lease.
	now := time.Now()
	s := t.submissions[r.id.submission]

	if s != nil {
		if i := s.find(r.id); i >= 0 {
			t.counts.repeated.Inc(1)
			return t.repeat(s.records[i].run, r)
		}
	}

	run := newRun(r, now)

	if rejection := t.refuse(s, r, now); rejection != nil {
		t.reject(run, *rejection)
		return run
	}

	run.task = share.NewTask(r.member, r.kind, r.cores, r.memoryMB, run)

	verdict, displaced := t.scheduler.Offer(now, run.task)
	if rejection := refusal(verdict); rejection != nil {
		t.reject(run, *rejection)
		return run
	}

	t.add(s, run, now)

	if displaced != nil {
		t.drop(displaced.Value(), Rejected{wire.Rejection_REJECTION_QUEUE_FULL, "the place in the queue went to another member"})
	}

	t.serve()

	if _, waits := t.queued[run]; waits {
		t.counts.queued.Inc(1)
		describe(t.log.Info().Str("event", "task_queued"), run).Msg("")
	}

	return run
}

// repeat answers a start that the table knows. A queued start goes over to the lease of the latest exchange.
func (t *Table) repeat(known *Run, r Request) *Run {
	if known == nil {
		released := newRun(r, time.Now())
		released.end(Failed{kind: fault.AnswerReleased, message: "the outcome was acknowledged and is no longer held"})

		return released
	}

	if _, waits := t.queued[known]; waits && r.refusal == nil && r.lease.Valid(r.epoch, time.Now()) {
		known.request.lease, known.request.epoch = r.lease, r.epoch
	}

	return known
}

// refuse returns the reason for which a new start is rejected, or nil.
func (t *Table) refuse(s *submission, r Request, now time.Time) *Rejected {
	switch {
	case s != nil && now.Before(s.closed):
		return &Rejected{wire.Rejection_REJECTION_CLOSED, "the submission was closed"}
	case t.leaving:
		// Goes before refusal: a leaving worker also loses its registration, and entries handle the departure best.
		return &Rejected{wire.Rejection_REJECTION_LEAVING, "the sidecar is leaving"}
	case r.refusal != nil:
		return r.refusal
	case !r.lease.Valid(r.epoch, now):
		return &Rejected{wire.Rejection_REJECTION_LEASE_LAPSED, "the start is of a lapsed lease epoch"}
	case !now.Before(r.deadline):
		return &Rejected{wire.Rejection_REJECTION_DEADLINE, "the deadline has passed"}
	case t.starts >= t.limits.starts:
		return &Rejected{wire.Rejection_REJECTION_TABLE_FULL, "the start table is full"}
	case t.bytes+int64(len(r.input))+t.expected()*int64(len(t.queued)+len(t.running)+1) > t.limits.bytes:
		return &Rejected{wire.Rejection_REJECTION_TABLE_FULL, "inputs and outcomes held fill the memory for them"}
	case !r.probe && t.statistics.Suspect():
		return &Rejected{wire.Rejection_REJECTION_SUSPECT, "the backend server is suspect and takes probes only"}
	default:
		return nil
	}
}

// expected returns the output size that a task probably has, in bytes. Counting it for every accepted task keeps the
// held outputs within the limit, since an output cannot be refused once its task has run.
func (t *Table) expected() int64 { return int64(t.typical) }

// refusal returns the rejection that a verdict stands for, or nil.
func refusal(v share.Verdict) *Rejected {
	switch v {
	case share.Full:
		return &Rejected{wire.Rejection_REJECTION_QUEUE_FULL, "the run queue of the kind is full"}
	case share.NotAllowed:
		return &Rejected{wire.Rejection_REJECTION_QUEUE_FULL, "the member's allowance here is smaller than the task"}
	case share.UnknownKind:
		return &Rejected{wire.Rejection_REJECTION_UNKNOWN_KIND, "the agreement has no such kind"}
	case share.TooLarge:
		return &Rejected{wire.Rejection_REJECTION_INVALID, "the worker is smaller than the task"}
	default:
		return nil
	}
}

// add keeps an accepted start.
func (t *Table) add(s *submission, run *Run, now time.Time) {
	r := run.request

	if s == nil {
		s = t.insert(r.id.submission, now)
	}

	s.records = append(s.records, record{r.id.index, r.id.attempt, run})
	t.extend(s, now, max(r.keep, r.deadline.Sub(now)))
	t.starts++
	run.size = int64(len(r.input)) + overhead
	t.bytes += run.size
	t.queued[run] = struct{}{}
	t.counts.accepted.Inc(1)
	describe(t.log.Info().Str("event", "task_accepted"), run).Msg("")
}

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

// serve starts queued tasks for as long as slots can be assigned.
func (t *Table) serve() {
	for {
		now := time.Now()

		task := t.scheduler.Next(now)
		if task == nil {
			return
		}

		run := task.Value()

		if rejection := t.stale(run, now); rejection != nil {
			t.scheduler.Release(task)
			t.drop(run, *rejection)

			continue
		}

		t.launch(run, now)
	}
}

// stale returns the reason for which a queued start must not run any more, or nil.
func (t *Table) stale(run *Run, now time.Time) *Rejected {
	switch r := run.request; {
	case !now.Before(r.deadline):
		return &Rejected{wire.Rejection_REJECTION_DEADLINE, "the deadline passed in the queue"}
	case !r.lease.Valid(r.epoch, now):
		return &Rejected{wire.Rejection_REJECTION_LEASE_LAPSED, "the lease lapsed in the queue"}
	case !r.probe && t.statistics.Suspect():
		return &Rejected{wire.Rejection_REJECTION_SUSPECT, "the backend server became suspect while the task was queued"}
	default:
		return nil
	}
}

func (t *Table) launch(run *Run, now time.Time) {
	delete(t.queued, run)
	t.running[run] = struct{}{}
	run.running = true
	run.started = now
	run.ctx, run.cancel = context.WithCancel(context.Background())

	if run.request.probe {
		t.statistics.BeginProbe()
	}

	t.counts.started.Inc(1)
	t.counts.waited.Update(now.Sub(run.offered).Microseconds())
	describe(t.placements.Info().Str("event", "task_started"), run).Dur("queued_ms", now.Sub(run.offered)).Msg("")

	go t.run(run)
}

// run executes a started task and records its outcome.
func (t *Table) run(run *Run) {
	defer run.cancel()

	now := time.Now()

	if now.Sub(run.started) > recheck {
		if rejection := t.stale(run, now); rejection != nil {
			t.finish(run, backend.NewNotStarted(rejection.message), rejection)
			return
		}
	}

	r := run.request
	call := backend.NewCall(r.id.submission, r.id.index, r.id.attempt, r.kind, r.deadline, r.input)
	t.finish(run, t.backend.Run(run.ctx, call), nil)
}

// finish records the end of a task. A task that the backend server never saw is taken back as rejected.
func (t *Table) finish(run *Run, result backend.Result, rejection *Rejected) {
	now := time.Now()
	took := now.Sub(run.started)

	var digest [32]byte
	if c, ok := result.(backend.Completed); ok {
		digest = sha256.Sum256(c.Output())
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.scheduler.Release(run.task)
	delete(t.running, run)
	run.running = false

	switch result := result.(type) {
	case backend.Completed:
		t.judge(run, now, false, true)
		t.typical += (float64(len(result.Output())) - t.typical) / outputs
		t.hold(run, Completed{result.Output(), digest, took, run.started.Sub(run.offered)}, len(result.Output()))
	case backend.Failed:
		kind := result.Kind()
		t.judge(run, now, kind == fault.BackendFailed, kind == fault.BackendFailed || kind == fault.TaskFailed)
		t.hold(run, Failed{kind, result.Message(), took}, len(result.Message()))
	case backend.NotStarted:
		if rejection == nil {
			t.judge(run, now, true, true)
			rejection = &Rejected{wire.Rejection_REJECTION_BACKEND_REFUSED, result.Message()}
		} else {
			t.judge(run, now, false, false)
		}

		t.drop(run, *rejection)
	}

	t.serve()
}

// judge counts the result in the backend server's statistics. Ends by deadline or cancellation decide nothing.
func (t *Table) judge(run *Run, now time.Time, failed, decided bool) {
	before := t.statistics.Suspect()

	if decided {
		t.statistics.Record(now, failed, now.Sub(run.started))
	}

	if run.request.probe {
		t.statistics.EndProbe(now, failed, decided)
	}

	if after := t.statistics.Suspect(); after != before {
		level := zerolog.InfoLevel
		if after {
			level = zerolog.WarnLevel
		}

		t.log.WithLevel(level).Str("event", "backend_suspect").Bool("suspect", after).
			Int("failure_permille", t.statistics.FailurePermille()).Msg("")
		t.prune(now)
	}
}

// hold keeps an outcome until it is acknowledged.
func (t *Table) hold(run *Run, o Outcome, size int) {
	t.bytes -= run.size
	run.size = int64(size) + overhead
	t.bytes += run.size
	t.unfetched++
	t.counts.end(o)
	t.counts.ran.Update(time.Since(run.started).Microseconds())

	e := describe(t.log.Info().Str("event", "task_ended"), run).Dur("run_ms", time.Since(run.started))
	if f, failed := o.(Failed); failed {
		e = e.Str("reason", f.kind.Code()).Str("message", f.message)
	}

	e.Msg("")
	run.end(o)
}

// drop takes a start that did not run out of the table.
func (t *Table) drop(run *Run, r Rejected) {
	delete(t.queued, run)
	t.bytes -= run.size
	t.starts--

	if s := t.submissions[run.request.id.submission]; s != nil {
		s.remove(run.request.id)

		if len(s.records) == 0 && s.closed.IsZero() {
			heap.Remove(&t.expiry, s.place)
			delete(t.submissions, s.id)
		}
	}

	t.reject(run, r)
}

func (t *Table) reject(run *Run, r Rejected) {
	t.counts.reject(r.reason)
	describe(t.log.Info().Str("event", "task_rejected"), run).Str("reason", reasonName(r.reason)).Str("message", r.message).Msg("")
	run.end(r)
}

// Acknowledge releases the body of an outcome that the home holds.
func (t *Table) Acknowledge(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.submissions[id.submission]
	if s == nil {
		return
	}

	i := s.find(id)
	if i < 0 || s.records[i].run == nil || s.records[i].run.Outcome() == nil {
		return
	}

	t.bytes -= s.records[i].run.size
	t.unfetched--
	s.records[i].run = nil
}

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

// Load reports the use of the worker.
func (t *Table) Load() *wire.Load {
	l := t.scheduler.Load()
	l.SetSuspect(t.statistics.Suspect())
	l.SetProbe(t.statistics.Probe(time.Now()))
	l.SetFailurePermille(uint32(t.statistics.FailurePermille())) //nolint:gosec // at most 1000

	t.mu.Lock()
	l.SetLeaving(t.leaving)
	t.mu.Unlock()

	return l
}

// Members reports what each member holds and may hold here.
func (t *Table) Members() []share.MemberLoad { return t.scheduler.Members(time.Now()) }

// Held returns the numbers of starts and tombstones in the table and of bytes held for them.
func (t *Table) Held() (starts, tombstones int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.starts, t.tombstones, t.bytes
}

// describe adds the identity of a task to a line.
func describe(e *zerolog.Event, run *Run) *zerolog.Event {
	r := run.request

	return e.Str("submission", r.id.submission).Uint32("task", r.id.index).Uint32("attempt", r.id.attempt).Str("member", r.member).Str("kind", r.kind)
}
