package tasks

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/backend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// recheckAge is the age of the decision to start a task above which the deadline and the lease are checked again
	// right before the call to the backend server. The process may have been paused after the decision.
	recheckAge = 50 * time.Millisecond
	// unansweredSlotHold is how long slots stay held after a call without an answer: the task was cancelled, has exceeded
	// its deadline, or its connection has broken. The backend server notices this by the end of the connection. If the
	// slots were released at once, the next task would run beside the old one, above the member's allowance.
	unansweredSlotHold = 100 * time.Millisecond
	// outputAverageCount sets the weight of one output in the moving average of output sizes to 1/outputAverageCount.
	outputAverageCount = 32
	// bodyOverheadBytes is the memory that each held input or output takes beyond its length.
	bodyOverheadBytes = 512
)

// Backend runs a call at the backend server.
type Backend interface {
	Run(ctx context.Context, c backend.Call) backend.Result
}

// startQueuedTasks starts queued tasks until no more slots can be assigned.
func (t *Table) startQueuedTasks() {
	for {
		now := time.Now()

		task := t.scheduler.Next(now)
		if task == nil {
			return
		}

		run := task.Value()

		if rejection := t.checkQueued(run, now); rejection != nil {
			t.scheduler.Release(task)
			t.removeRejected(run, *rejection)

			continue
		}

		t.launchTask(run, now)
	}
}

func (t *Table) launchTask(run *Run, now time.Time) {
	delete(t.queued, run)
	t.running[run] = struct{}{}
	run.running = true
	run.startedAt = now
	run.ctx, run.cancel = context.WithCancel(context.Background())

	if run.request.probe {
		t.statistics.BeginProbe()
	}

	t.metrics.started.Inc(1)
	t.metrics.queueTime.Update(now.Sub(run.offeredAt).Microseconds())
	addTaskFields(t.startLog.Info().Str("event", "task_started"), run).Dur("queued_ms", now.Sub(run.offeredAt)).
		Msg("task sent to the backend server")

	go t.execute(run)
}

// execute runs a started task at the backend server and records its outcome.
func (t *Table) execute(run *Run) {
	defer run.cancel()

	now := time.Now()

	if now.Sub(run.startedAt) > recheckAge {
		if rejection := t.checkQueued(run, now); rejection != nil {
			t.finish(run, backend.NewNotStarted(rejection.message), rejection)
			return
		}
	}

	r := run.request
	call := backend.NewCall(r.id.submission, r.id.index, r.id.attempt, r.kind, r.deadline, r.input)
	t.finish(run, t.backend.Run(run.ctx, call), nil)
}

// finish records the end of a task. A task that never reached the backend server is removed as rejected.
func (t *Table) finish(run *Run, result backend.Result, rejection *Rejected) {
	now := time.Now()
	runTime := now.Sub(run.startedAt)

	var digest [32]byte
	if c, ok := result.(backend.Completed); ok {
		digest = sha256.Sum256(c.Output())
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.releaseSlots(run, result)
	delete(t.running, run)
	run.running = false

	switch result := result.(type) {
	case backend.Completed:
		t.recordResult(run, now, false, true)
		t.meanOutput += (float64(len(result.Output())) - t.meanOutput) / outputAverageCount
		t.holdOutcome(run,
			Completed{result.Output(), digest, runTime, run.startedAt.Sub(run.offeredAt)}, len(result.Output()))
	case backend.Failed:
		kind := result.Kind()
		t.recordResult(run, now, kind == fault.BackendFailed, kind == fault.BackendFailed || kind == fault.TaskFailed)
		t.holdOutcome(run, Failed{kind, result.Message(), runTime}, len(result.Message()))
	case backend.NotStarted:
		if rejection == nil {
			rejection = unsentRejection(run, result, now)
		}

		refused := rejection.reason == wire.Rejection_REJECTION_BACKEND_REFUSED
		t.recordResult(run, now, refused, refused)
		t.removeRejected(run, *rejection)
	}

	t.startQueuedTasks()
}

// unsentRejection returns the rejection of a task whose call was never sent: the submission was closed, the deadline has
// passed, or the backend server did not accept a connection.
func unsentRejection(run *Run, result backend.NotStarted, now time.Time) *Rejected {
	switch {
	case run.ctx.Err() != nil:
		return &Rejected{wire.Rejection_REJECTION_CLOSED, "the submission was closed before the task was sent"}
	case !now.Before(run.request.deadline):
		return &Rejected{wire.Rejection_REJECTION_DEADLINE, "the deadline passed before the task was sent"}
	default:
		return &Rejected{wire.Rejection_REJECTION_BACKEND_REFUSED, result.Message()}
	}
}

// releaseSlots releases the slots of an ended task, or after unansweredSlotHold if the backend server may still be
// running it.
func (t *Table) releaseSlots(run *Run, result backend.Result) {
	if f, failed := result.(backend.Failed); !failed || !f.MayRun() {
		t.scheduler.Release(run.task)

		return
	}

	time.AfterFunc(unansweredSlotHold, func() {
		t.mu.Lock()
		defer t.mu.Unlock()

		t.scheduler.Release(run.task)
		t.startQueuedTasks()
	})
}

// recordResult adds a result to the statistics of the backend server. decided is false if the result says nothing about
// the server's health, for example after the deadline has passed or the task was cancelled.
func (t *Table) recordResult(run *Run, now time.Time, failed, decided bool) {
	before := t.statistics.Suspect()

	if decided {
		t.statistics.RecordResult(now, failed, now.Sub(run.startedAt))
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
			Int("failure_permille", t.statistics.FailurePermille()).
			Msg("backend server changed between suspect and trusted")
		t.rejectStale(now)
	}
}

// holdOutcome keeps an outcome until it is acknowledged or its retention ends.
func (t *Table) holdOutcome(run *Run, o Outcome, size int) {
	t.heldBytes -= run.heldBytes
	run.heldBytes = int64(size) + bodyOverheadBytes
	t.heldBytes += run.heldBytes
	t.unacknowledged++
	t.metrics.countOutcome(o)
	t.metrics.runTime.Update(time.Since(run.startedAt).Microseconds())

	message := "task ended"

	e := addTaskFields(t.log.Info().Str("event", "task_ended"), run).Dur("run_ms", time.Since(run.startedAt))
	if f, failed := o.(Failed); failed {
		e, message = e.Str("reason", f.kind.Code()), f.message
	}

	e.Msg(message)
	run.finish(o)
}

// Acknowledge releases the body of an outcome that the home has received. The start itself is kept.
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

	t.heldBytes -= s.records[i].run.heldBytes
	t.unacknowledged--
	s.records[i].run = nil
}
