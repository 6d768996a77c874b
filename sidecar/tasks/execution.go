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
	// recheck is the age of a decision to start from which on the lease is checked again right before the call to the
	// backend server. A process that was stopped in between finds an older decision.
	recheck = 50 * time.Millisecond
	// stopTime is how long the slots of a cancelled task stay held. The backend server learns of it by the end of the
	// connection, and without this wait the next task would run beside it, above the member's allowance.
	stopTime = 100 * time.Millisecond
	// outputs is the number of outputs that the moving average of their size goes back to.
	outputs = 32
	// overhead is the number of bytes that each held body costs beyond its length.
	overhead = 512
)

// Backend runs a call at the backend server.
type Backend interface {
	Run(ctx context.Context, c backend.Call) backend.Result
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

	t.vacate(run, result)
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

// vacate gives the slots of an ended task back, later if the backend server may still be working on it.
func (t *Table) vacate(run *Run, result backend.Result) {
	f, failed := result.(backend.Failed)
	if !failed || f.Kind() != fault.DeadlineExceeded && f.Kind() != fault.Cancelled {
		t.scheduler.Release(run.task)

		return
	}

	time.AfterFunc(stopTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()

		t.scheduler.Release(run.task)
		t.serve()
	})
}

// judge counts the result in the backend server's statistics. Ends by deadline or cancellation decide nothing.
func (t *Table) judge(run *Run, now time.Time, failed, decided bool) {
	before := t.statistics.Suspect()

	if decided {
		t.statistics.RecordResult(now, failed, now.Sub(run.started))
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
