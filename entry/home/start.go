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
	// maxRetries bounds the retries of a task of a repeatable request.
	maxRetries = 2
	// reconnectTimeout is how long a disconnected worker may take to reconnect and report the outcome of a start.
	reconnectTimeout = 5 * time.Second
	// resendDelay prevents a busy loop if the stream of a start fails again and again on a working connection.
	resendDelay = 20 * time.Millisecond
)

// startAttempt is one attempt of a task at one worker.
type startAttempt struct {
	table  *Table
	task   *task
	worker *fleet.Worker
	choice placement.Choice
	// reportAtStart is the latest load report before this start, for RecordEnd.
	reportAtStart *fleet.Report
	// attempt is a copy of the number, as that of the task increases once the task is queued again.
	attempt int
	// sent is true if the sidecar may have received the start.
	sent bool
}

func (s *startAttempt) run() {
	t, h := s.table, s.task.execution.handle

	if !h.beginAttempt(s.task, s.worker) {
		s.release(false, false)

		return
	}

	t.metrics().countStart()
	h.recordPlacement(s.task, s.attempt, s.choice)

	reply, err := s.sendUntilReply()

	switch {
	case err == nil:
		s.handleReply(reply)
	case !s.sent:
		// A start that was cancelled because its submission ended is no sign of a fault of the worker.
		if s.task.execution.ctx.Err() == nil {
			s.worker.RecordRejection("")
		}

		s.rejectAndRequeue("not_sent")
	default:
		s.handleFailure(false, fault.Wrap(fault.BackendFailed, err,
			"task %d: worker %s was lost before it returned an outcome", s.task.index, s.worker.Name()), true)
	}
}

// sendUntilReply sends the start and returns the reply. After a lost connection it sends the same start again, but only
// to the same incarnation of the worker.
func (s *startAttempt) sendUntilReply() (*wire.StartReply, error) {
	e := s.task.execution

	for {
		reply, sent, err := s.table.sidecars.Start(e.ctx, s.worker, s.newMessage())
		s.sent = s.sent || sent

		if err == nil {
			err = s.checkReply(reply)
		}

		if err == nil || !s.sent || e.ctx.Err() != nil || !s.waitForReconnect() {
			return reply, err
		}
	}
}

// waitForReconnect waits at most reconnectTimeout until the worker is connected again, and reports whether it is the
// same incarnation.
func (s *startAttempt) waitForReconnect() bool {
	timeout := time.NewTimer(reconnectTimeout)
	defer timeout.Stop()

	time.Sleep(resendDelay)

	for {
		changed := s.table.workers.ConnectionsChanged()

		if w, found := s.table.workers.View().Find(s.worker.Name()); found {
			return w == s.worker
		}

		select {
		case <-s.task.execution.ctx.Done():
			return false
		case <-timeout.C:
			return false
		case <-changed:
		}
	}
}

func (s *startAttempt) newMessage() *wire.Start {
	b := s.task.execution.submission
	now := time.Now()

	id := wire.TaskId_builder{Submission: b.ID(), Index: uint32(s.task.index), Attempt: uint32(s.attempt)}.Build()

	return wire.Start_builder{
		Id: id, Member: b.Member(), Kind: b.Kind(), Cores: uint32(b.Cores()), MemoryMb: uint32(b.MemoryMB()),
		RemainingMs: max(0, s.task.execution.deadline.Sub(now).Milliseconds()), Position: b.Ticket().Position(),
		KeepMs: max(0, b.Ticket().Expiry().Sub(now).Milliseconds()), Probe: s.choice.IsProbe(),
		Input: b.Inputs()[s.task.index], Incarnation: s.worker.Incarnation(),
	}.Build()
}

// checkReply returns an error if the reply belongs to another start.
func (s *startAttempt) checkReply(r *wire.StartReply) error {
	id := r.GetId()
	if id.GetSubmission() != s.task.execution.submission.ID() || int(id.GetIndex()) != s.task.index ||
		int(id.GetAttempt()) != s.attempt {
		return merry.Errorf("reply belongs to another start, with task %d and attempt %d", id.GetIndex(), id.GetAttempt())
	}

	return nil
}

// handleReply handles the outcome of the start.
func (s *startAttempt) handleReply(r *wire.StartReply) {
	switch r.WhichOutcome() {
	case wire.StartReply_Completed_case:
		s.handleCompleted(r)
	case wire.StartReply_Failed_case:
		s.handleFailed(r)
	case wire.StartReply_Rejected_case:
		s.handleRejected(r)
	default:
		s.recordLoad(r)
		s.handleFailure(false, fault.New(fault.BackendFailed,
			"task %d: the reply of worker %s has no outcome", s.task.index, s.worker.Name()), true)
	}
}

func (s *startAttempt) handleCompleted(r *wire.StartReply) {
	c := r.GetCompleted()

	if digest := sha256.Sum256(c.GetOutput()); string(digest[:]) != string(c.GetDigest()) {
		s.recordLoad(r)
		s.handleFailure(true, fault.New(fault.BackendFailed,
			"task %d: the output does not match its digest", s.task.index), true)

		return
	}

	s.release(false, true)
	s.recordLoad(r)
	runTime := time.Duration(c.GetRunUs()) * time.Microsecond
	s.table.metrics().observeCompletion(time.Since(s.task.execution.accepted), runTime)
	s.table.runTimes.Observe(s.task.execution.submission.Kind(), runTime)
	s.task.execution.handle.recordOutput(s.task, c.GetOutput())
}

func (s *startAttempt) handleFailed(r *wire.StartReply) {
	f := r.GetFailed()

	kind, isKnown := fault.KindOfCode(f.GetCode())
	if !isKnown {
		kind = fault.BackendFailed
	}

	s.recordLoad(r)
	s.handleFailure(true, fault.New(kind, "task %d: %s", s.task.index, f.GetMessage()), kind == fault.BackendFailed)
}

// handleRejected handles a rejection by the sidecar: the start did not run and never will.
func (s *startAttempt) handleRejected(r *wire.StartReply) {
	// The report is applied first, since RecordRejection holds only until the next report.
	s.recordLoad(r)

	h, reason := s.task.execution.handle, r.GetRejected().GetReason()

	switch reason {
	case wire.Rejection_REJECTION_CLOSED:
		// Another entry declared this one lost and closed the submission, so all other sidecars would reject the start
		// as well.
		s.rejectFinally(reason, fault.New(fault.HomeLost, "the submission was closed by another entry"))

		return
	case wire.Rejection_REJECTION_INVALID:
		s.rejectFinally(reason, fault.New(fault.Internal, "task %d: %s", s.task.index, r.GetRejected().GetMessage()))

		return
	case wire.Rejection_REJECTION_DEADLINE:
		h.failOnDeadline()
	case wire.Rejection_REJECTION_LEAVING:
		s.table.workers.MarkLeaving(s.worker)
	case wire.Rejection_REJECTION_QUEUE_FULL, wire.Rejection_REJECTION_UNKNOWN_KIND:
		s.worker.RecordRejection(s.task.execution.submission.Kind())
	default:
		s.worker.RecordRejection("")
	}

	s.rejectAndRequeue(rejectionReason(reason))
}

func (s *startAttempt) rejectFinally(reason wire.Rejection, cause error) {
	s.release(false, false)
	s.logDecision(eventRejected, rejectionReason(reason))
	s.table.metrics().countRejection(rejectionReason(reason))
	s.task.execution.handle.handleFinalRejection(s.task, cause)
}

// rejectAndRequeue ends an attempt that was not started, and queues the task again.
func (s *startAttempt) rejectAndRequeue(reason string) {
	s.logDecision(eventRejected, reason)
	s.table.metrics().countRejection(reason)
	s.release(s.task.execution.handle.handleRejection(s.task), false)
}

// handleFailure ends an attempt that ran, or may have run, without an output.
func (s *startAttempt) handleFailure(ran bool, cause error, mayRetry bool) {
	retried := s.task.execution.handle.handleAttemptFailure(s.task, ran, cause, mayRetry, s.worker)
	if retried {
		s.logDecision(eventRetried, fault.KindOf(cause).Code())
		s.table.metrics().countRetry()
	}

	s.release(retried, false)
}

// release returns the slots of the start. A task that was queued again has already released its slots in the queue.
func (s *startAttempt) release(isRequeued, success bool) {
	t := s.table
	s.worker.RecordEnd(s.task.execution.requirements.Slots(), s.reportAtStart)

	if s.choice.IsProbe() {
		s.worker.RecordProbeEnd(time.Now(), success)
	}

	if !isRequeued {
		t.queue.mu.Lock()
		t.queue.tasks.Release(s.task.item)
		t.queue.mu.Unlock()
	}

	t.notifyChange(s.worker)
}

func (s *startAttempt) recordLoad(r *wire.StartReply) {
	s.table.workers.Report(s.worker, r.GetLoad(), time.Now())
}

func (s *startAttempt) logDecision(event, reason string) {
	s.task.execution.handle.decide(s.table.log.Info(), event, s.task, s.attempt, s.worker.Name(), reason)
}

// rejectionReason returns the reason in the form used by the log and the metrics, such as queue_full.
func rejectionReason(r wire.Rejection) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REJECTION_"))
}
