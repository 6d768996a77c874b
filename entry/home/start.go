package home

import (
	"crypto/sha256"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// maxRetries bounds the further attempts of a repeatable request.
	maxRetries = 2
	// lossWait is how long a lost worker may take to reconnect with the outcome of a start.
	lossWait = 5 * time.Second
	// repeatPause keeps a stream that fails on a good connection from being repeated in a busy loop.
	repeatPause = 20 * time.Millisecond
)

// start is one attempt of a task at one worker.
type start struct {
	table  *Table
	task   *task
	worker *fleet.Worker
	choice placement.Choice
	// before is the load report that does not include this start.
	before *fleet.Report
	// attempt is fixed when the start is handed out, since the task may move on.
	attempt int
	// sent is true once the sidecar may have received the start.
	sent bool
}

func (s *start) run() {
	t, h := s.table, s.task.work.held

	if !h.hand(s.task, s.worker) {
		s.over(false, false)

		return
	}

	t.meters().start()
	h.placed(s.task, s.attempt, s.choice)

	reply, err := s.exchange()

	switch {
	case err == nil:
		s.take(reply)
	case !s.sent:
		// A start that its own submission called off says nothing about the worker.
		if s.task.work.ctx.Err() == nil {
			s.worker.RecordRejection("")
		}

		s.rejected("not_sent")
	default:
		s.stopped(false, fault.Wrap(fault.BackendFailed, err, "task %d: worker %s was lost", s.task.index, s.worker.Name()), true)
	}
}

// exchange sends the start, and repeats it to the same incarnation after a broken connection.
func (s *start) exchange() (*wire.StartReply, error) {
	w := s.task.work

	for {
		reply, sent, err := s.table.sidecars.Start(w.ctx, s.worker, s.message())
		s.sent = s.sent || sent

		if err == nil {
			err = s.check(reply)
		}

		if err == nil || !s.sent || w.ctx.Err() != nil || !s.reconnected() {
			return reply, err
		}
	}
}

// reconnected waits until the same incarnation has a connection again.
func (s *start) reconnected() bool {
	limit := time.NewTimer(lossWait)
	defer limit.Stop()

	time.Sleep(repeatPause)

	for {
		changed := s.table.workers.ConnectionsChanged()

		if w, found := s.table.workers.View().Find(s.worker.Name()); found {
			return w == s.worker
		}

		select {
		case <-s.task.work.ctx.Done():
			return false
		case <-limit.C:
			return false
		case <-changed:
		}
	}
}

func (s *start) message() *wire.Start {
	b := s.task.work.submission
	now := time.Now()

	id := wire.TaskId_builder{Submission: b.ID(), Index: uint32(s.task.index), Attempt: uint32(s.attempt)}.Build()

	return wire.Start_builder{
		Id: id, Member: b.Member(), Kind: b.Kind(), Cores: uint32(b.Cores()), MemoryMb: uint32(b.MemoryMB()),
		RemainingMs: max(0, s.task.work.deadline.Sub(now).Milliseconds()), Position: b.Ticket().Position(),
		KeepMs: max(0, b.Ticket().Expiry().Sub(now).Milliseconds()), Probe: s.choice.IsProbe(),
		Input: b.Inputs()[s.task.index], Incarnation: s.worker.Incarnation(),
	}.Build()
}

// check refuses a reply that belongs to another start.
func (s *start) check(r *wire.StartReply) error {
	id := r.GetId()
	if id.GetSubmission() != s.task.work.submission.ID() || int(id.GetIndex()) != s.task.index || int(id.GetAttempt()) != s.attempt {
		return merry.Errorf("reply belongs to task %d, attempt %d of another start", id.GetIndex(), id.GetAttempt())
	}

	return nil
}

// take handles the outcome of the start.
func (s *start) take(r *wire.StartReply) {
	switch r.WhichOutcome() {
	case wire.StartReply_Completed_case:
		s.completed(r)
	case wire.StartReply_Failed_case:
		s.failed(r)
	case wire.StartReply_Rejected_case:
		s.refused(r)
	default:
		s.report(r)
		s.stopped(false, fault.New(fault.BackendFailed, "task %d: worker %s gave no outcome", s.task.index, s.worker.Name()), true)
	}
}

func (s *start) completed(r *wire.StartReply) {
	c := r.GetCompleted()

	if sum := sha256.Sum256(c.GetOutput()); string(sum[:]) != string(c.GetDigest()) {
		s.report(r)
		s.stopped(true, fault.New(fault.BackendFailed, "task %d: output does not have its digest", s.task.index), true)

		return
	}

	s.over(false, true)
	s.report(r)
	run := time.Duration(c.GetRunUs()) * time.Microsecond
	s.table.meters().completed(time.Since(s.task.work.accepted), run)
	s.table.runs.Observe(s.task.work.submission.Kind(), run)
	s.task.work.held.completed(s.task, c.GetOutput())
}

func (s *start) failed(r *wire.StartReply) {
	f := r.GetFailed()

	kind, known := fault.KindOfCode(f.GetCode())
	if !known {
		kind = fault.BackendFailed
	}

	s.report(r)
	s.stopped(true, fault.New(kind, "task %d: %s", s.task.index, f.GetMessage()), kind == fault.BackendFailed)
}

// refused handles a rejection by the sidecar: the start did not run and never will.
func (s *start) refused(r *wire.StartReply) {
	// The report goes first, since a refusal holds until the next report.
	s.report(r)

	h, reason := s.task.work.held, r.GetRejected().GetReason()

	switch reason {
	case wire.Rejection_REJECTION_CLOSED:
		// Another entry took this one for lost and closed the submission; all other sidecars would reject it as well.
		s.rejectedWith(reason, fault.New(fault.HomeLost, "the submission was closed by another entry"))

		return
	case wire.Rejection_REJECTION_INVALID:
		s.rejectedWith(reason, fault.New(fault.Internal, "task %d: %s", s.task.index, r.GetRejected().GetMessage()))

		return
	case wire.Rejection_REJECTION_DEADLINE:
		h.expire()
	case wire.Rejection_REJECTION_LEAVING:
		s.table.workers.MarkLeaving(s.worker)
	case wire.Rejection_REJECTION_QUEUE_FULL, wire.Rejection_REJECTION_UNKNOWN_KIND:
		s.worker.RecordRejection(s.task.work.submission.Kind())
	default:
		s.worker.RecordRejection("")
	}

	s.rejected(rejection(reason))
}

func (s *start) rejectedWith(reason wire.Rejection, cause error) {
	s.over(false, false)
	s.log(eventRejected, rejection(reason))
	s.table.meters().reject(rejection(reason))
	s.task.work.held.rejectedFor(s.task, cause)
}

// rejected ends an attempt that was not started, and queues the task again.
func (s *start) rejected(reason string) {
	s.log(eventRejected, reason)
	s.table.meters().reject(reason)
	s.over(s.task.work.held.rejected(s.task), false)
}

// stopped ends an attempt without an output.
func (s *start) stopped(ran bool, cause error, retry bool) {
	retried := s.task.work.held.stopped(s.task, ran, cause, retry, s.worker)
	if retried {
		s.log(eventRetried, fault.KindOf(cause).Code())
		s.table.meters().retry()
	}

	s.over(retried, false)
}

// over gives the slots back. A task that is queued again has released its part of the queue already.
func (s *start) over(queued, success bool) {
	t := s.table
	s.worker.RecordEnd(s.task.work.place.Slots(), s.before)

	if s.choice.IsProbe() {
		s.worker.RecordProbeEnd(time.Now(), success)
	}

	if !queued {
		t.queue.mu.Lock()
		t.queue.tasks.Release(s.task.item)
		t.queue.mu.Unlock()
	}

	t.changed(s.worker)
}

func (s *start) report(r *wire.StartReply) {
	s.table.workers.Report(s.worker, r.GetLoad(), time.Now())
}

func (s *start) log(event, reason string) {
	s.task.work.held.decide(s.table.log.Info(), event, s.task, s.attempt, s.worker.Name(), reason)
}

// rejection returns the reason as it is logged and counted, such as queue_full.
func rejection(r wire.Rejection) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REJECTION_"))
}
