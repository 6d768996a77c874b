package home_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against answers beyond the memory limit, answers dropped before their delivery, and tasks that run again when
// a submission is sent again after its answer was dropped.
func TestAnswerMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.table.SetLimits(0, 0, 4000)
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		return completed(s, make([]byte, 1000)), true, nil
	}

	var handles []*home.Handle

	submissions := []submission.Submission{f.submission(1, options{}), f.submission(1, options{})}
	for _, s := range submissions {
		h, err := f.table.Submit(s)
		is.NoErr(err)
		is.Equal(awaitResult(is, h).status, 200)
		handles = append(handles, h)
	}

	third := f.submission(1, options{})
	h, err := f.table.Submit(third)
	is.NoErr(err)
	is.Equal(awaitResult(is, h).status, 200)

	// Three answers of about 1.5 kB each fill the memory, and none has been delivered.
	_, err = f.table.Submit(f.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Overloaded)
	is.Equal(fault.RanOf(err), fault.RanNone)

	handles[1].RecordDelivery()
	h, err = f.table.Submit(f.submission(1, options{}))
	is.NoErr(err)
	awaitResult(is, h)

	r := awaitResult(is, handles[1])
	is.Equal(r.Error.Code, "answer_released")
	is.Equal(r.Error.Ran, "all")
	is.Equal(awaitResult(is, handles[0]).status, 200)

	starts := len(f.sentStarts())
	h, err = f.table.Submit(submissions[1])
	is.NoErr(err)
	is.Equal(awaitResult(is, h).Error.Code, "answer_released")
	is.Equal(len(f.sentStarts()), starts)
}

// Guards against a full table or queue that accepts more or drops what it holds, and against one kind that takes the
// whole queue.
func TestTableAndQueueLimits(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = blockUntilCancelled
	f.table.SetLimits(100, 0, 0)

	h, err := f.table.Submit(f.submission(69, options{}))
	is.NoErr(err)
	waitUntil(is, func() bool { return len(f.sentStarts()) == workerCapacity })
	_, err = f.table.Submit(f.submission(69, options{}))
	is.Equal(fault.KindOf(err), fault.Overloaded)

	_, err = f.table.Submit(f.submission(15, options{kind: "quote"}))
	is.NoErr(err) // the tasks of kind scan leave capacity for those of kind quote

	h.Cancel()
	is.Equal(awaitResult(is, h).Error.Ran, "none")

	f = newFixture(t, "a")
	f.table.SetLimits(0, 2, 0)

	for range 2 {
		h, err = f.table.Submit(f.submission(1, options{}))
		is.NoErr(err)
		awaitResult(is, h)
	}

	_, err = f.table.Submit(f.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Overloaded)
	is.Equal(awaitResult(is, h).status, 200)
}

// Guards against submissions that are accepted although the queue drains too slowly for their deadline: they would
// wait, only to fail.
func TestDeadlineUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		time.Sleep(50 * time.Millisecond) // 9 at a time give 180 tasks/s

		return completed(s, s.GetInput()), true, nil
	}

	go f.sendHeartbeats(t.Context())

	h, err := f.table.Submit(f.submission(400, options{}))
	is.NoErr(err)
	waitUntil(is, func() bool { ended, _ := h.Progress(); return ended > 200 })

	_, err = f.table.Submit(f.submission(1, options{deadline: 200 * time.Millisecond}))
	is.Equal(fault.KindOf(err), fault.DeadlineUnreachable)
	is.Equal(fault.RanOf(err), fault.RanNone)

	_, err = f.table.Submit(f.submission(1, options{deadline: 10 * time.Second}))
	is.NoErr(err)
	is.Equal(awaitResult(is, h).status, 200)
}

// Guards against starts of tasks whose remaining time is shorter than their usual run time: they would occupy slots
// until the deadline and then be cancelled.
func TestLateTasksAreNotStarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "a")
	release := make(chan struct{})

	const observedRuns = 30 // run times needed for an estimate

	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if len(f.sentStarts()) > observedRuns {
			<-release
		}

		r := completed(s, s.GetInput())
		r.GetCompleted().SetRunUs(1e6)

		return r, true, nil
	}

	go f.sendHeartbeats(t.Context())

	h, err := f.table.Submit(f.submission(observedRuns, options{}))
	is.NoErr(err)
	awaitResult(is, h)

	full, err := f.table.Submit(f.submission(workerCapacity, options{deadline: 20 * time.Second}))
	is.NoErr(err)
	waitUntil(is, func() bool { return len(f.sentStarts()) == observedRuns+workerCapacity })

	late, err := f.table.Submit(f.submission(1, options{deadline: 1500 * time.Millisecond}))
	is.NoErr(err)
	time.Sleep(800 * time.Millisecond)
	close(release)

	r := awaitResult(is, late)
	is.Equal(r.Error.Code, "deadline_exceeded")
	is.True(strings.Contains(r.Error.Message, "are left after the wait")) // so the task failed before its deadline
	is.Equal(r.Error.Ran, "none")
	is.Equal(awaitResult(is, full).status, 200)
	is.Equal(len(f.sentStarts()), observedRuns+workerCapacity)
}

// Guards against a handover that loses or alters answers, or lets tasks start again at the successor.
func TestHandover(t *testing.T) {
	is := is.New(t)
	predecessor, successor := newFixture(t, "a"), newFixture(t, "a")
	successor.table.SetIncarnation(99)

	complete, expired := predecessor.submission(3, options{}),
		predecessor.submission(1, options{deadline: time.Nanosecond + 50*time.Millisecond})
	predecessor.start = func(ctx context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if s.GetId().GetSubmission() == expired.ID() {
			return blockUntilCancelled(ctx, w, s)
		}

		return completed(s, s.GetInput()), true, nil
	}

	for _, s := range []submission.Submission{complete, expired} {
		_, err := predecessor.table.Submit(s)
		is.NoErr(err)
	}

	is.NoErr(predecessor.table.Drain(t.Context()))
	successor.table.Import(predecessor.table.Export())
	successor.table.Import(predecessor.table.Export()) // the second import has no effect
	is.Equal(successor.table.Count(), 2)

	for _, s := range []submission.Submission{complete, expired} {
		original, found := predecessor.table.Find(s.ID())
		is.True(found)

		h, err := successor.table.Submit(s)
		is.NoErr(err)
		<-h.Done()

		status, body := h.Answer()
		wantStatus, wantBody := original.Answer()
		is.Equal(status, wantStatus)
		is.Equal(string(body), string(wantBody))
		is.Equal(h.Member(), "mill")
	}

	is.Equal(len(successor.sentStarts()), 0)

	_, err := successor.table.Submit(predecessor.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.UnknownSubmission) // its submission was not handed over
}

// Guards against a drain that returns or fails active submissions (I7) before they end, or admits new ones.
func TestDrainWaits(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	release := make(chan struct{})
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		<-release

		return completed(s, s.GetInput()), true, nil
	}

	h, err := f.table.Submit(f.submission(5, options{}))
	is.NoErr(err)

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(f.table.Drain(ctx) != nil)

	_, err = f.table.Submit(f.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Leaving)
	close(release)
	is.NoErr(f.table.Drain(t.Context()))
	is.Equal(awaitResult(is, h).status, 200)
}

// Guards against starts after the expiry of the ticket (I1): sidecars have deleted their records by then, so a start
// that is sent again would run twice.
func TestTicketExpiryBoundsTheDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = blockUntilCancelled

	s := f.submission(1, options{lifetime: 1200 * time.Millisecond})
	h, err := f.table.Submit(s)
	is.NoErr(err)
	waitUntil(is, func() bool { return len(f.sentStarts()) == 1 })
	is.True(f.sentStarts()[0].GetRemainingMs() <= 1200)
	is.Equal(awaitResult(is, h).Error.Code, "deadline_exceeded")

	_, err = f.table.Submit(s)
	is.Equal(fault.KindOf(err), fault.TicketExpired)
}

// Guards against expired submissions that stay in the table, and against an expired submission that runs again after
// the clock was set back.
func TestExpiredSubmissionsAreDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	early, late := f.submission(1, options{lifetime: time.Minute}), f.submission(1, options{lifetime: 10 * time.Minute})

	for _, s := range []submission.Submission{early, late} {
		h, err := f.table.Submit(s)
		is.NoErr(err)
		is.Equal(awaitResult(is, h).status, 200)
		h.RecordDelivery()
	}

	f.table.Sweep(time.Now().Add(80 * time.Second))
	is.Equal(f.table.Count(), 2) // kept for expiryMargin after the expiry of the ticket
	f.table.Sweep(time.Now().Add(100 * time.Second))
	is.Equal(f.table.Count(), 1)

	_, found := f.table.Find(early.ID())
	is.True(!found)
	_, err := f.table.Submit(early)
	is.Equal(fault.KindOf(err), fault.TicketExpired)

	h, err := f.table.Submit(late)
	is.NoErr(err)
	is.Equal(awaitResult(is, h).status, 200)
	is.Equal(len(f.sentStarts()), 2)

	f.table.Sweep(time.Now().Add(time.Hour))
	is.Equal(f.table.Count(), 0)
}

// Guards against a table that does not apply registrations and departures of workers while it runs.
func TestTableFollowsTheLog(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = blockUntilCancelled
	f.connect("b")

	h, err := f.table.Submit(f.submission(40, options{position: 50}))
	is.NoErr(err)
	waitUntil(is, func() bool { return len(f.sentStarts()) == workerCapacity })

	f.replica.ApplyLog([]ledger.Record{ledger.NewRecord(2, time.Now(), ledger.WorkerJoinedRecord(descriptor("b", 1)))}, 3)
	waitUntil(is, func() bool { return len(f.sentStarts()) == 2*workerCapacity })

	f.replica.ApplyLog([]ledger.Record{ledger.NewRecord(3, time.Now(), ledger.WorkerLeftRecord("a", 1, true))}, 4)
	waitUntil(is, func() bool {
		_, err := f.table.Submit(f.submission(1, options{position: 2}))

		return fault.KindOf(err) == fault.NoWorkers
	})
	h.Cancel()
}

// Guards against decisions that are missing from the log, the metrics or Decisions, or have another event or reason in
// one of them.
func TestDecisionsAreLoggedAndKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")

	var out bytes.Buffer

	registry := metrics.NewRegistry()
	f.table = &home.Table{}
	f.table.Configure(f.fleet, f, zerolog.New(zerolog.SyncWriter(&out)))
	f.table.SetMetricsRegistry(registry)
	f.table.Follow(t.Context(), f.replica)

	go f.table.Run(t.Context())

	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		switch s.GetId().GetAttempt() {
		case 0:
			return rejected(s, wire.Rejection_REJECTION_QUEUE_FULL), true, nil
		case 1:
			return failed(s, "backend_failed"), true, nil
		default:
			return completed(s, s.GetInput()), true, nil
		}
	}

	h, err := f.table.Submit(f.submission(1, options{form: submission.NewRequest(true)}))
	is.NoErr(err)
	waitUntil(is, func() bool { return len(h.Decisions()) == 3 }) // placed, rejected, and waiting until the next report
	f.reportLoad("a")
	is.Equal(awaitResult(is, h).status, 200)

	_, err = f.table.Submit(f.submission(1, options{kind: "x"}))
	is.True(err != nil)

	var recorded, logged []string

	for _, d := range h.Decisions() {
		recorded = append(recorded, d.Event()+" "+d.Reason())
	}

	for line := range bytes.Lines(out.Bytes()) {
		var l struct{ Event, Submission, Member, Kind, Reason string }

		is.NoErr(json.Unmarshal(line, &l))
		is.Equal(l.Member, "mill")
		is.True(l.Submission != "" && l.Kind != "")
		logged = append(logged, l.Event+" "+l.Reason)
	}

	tasks := []string{
		"task_placed only_candidate", "start_rejected queue_full", "task_waiting all_full",
		"task_placed only_candidate", "start_retried backend_failed", "task_placed only_candidate",
	}
	is.Equal(recorded, tasks)
	is.Equal(logged, append(tasks, "submission_ended complete", "submission_refused invalid_request"))

	for name, n := range map[string]int64{
		"weir_entry_starts_total": 3, "weir_entry_retries_total": 1, `weir_entry_rejects_total{reason="queue_full"}`: 1,
		`weir_entry_refusals_total{code="invalid_request"}`: 1, `weir_entry_submissions_ended_total{outcome="complete"}`: 1,
	} {
		is.Equal(registry.Get(name).(metrics.Counter).Count(), n)
	}

	is.Equal(registry.Get("weir_entry_queue_wait_seconds").(metrics.Histogram).Count(), int64(3))
}

// Guards against a suspect worker that is never probed or probed too often, and a request that fails with its probe.
func TestProbes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b", "c")
	reportSuspect := func(sequence uint64, isSuspect bool) {
		f.fleet.Report(f.workers["a"], wire.Load_builder{
			Sequence: sequence, Suspect: isSuspect, Probe: isSuspect,
		}.Build(), time.Now())
	}
	probes := make(chan string, 100)
	f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if s.GetProbe() != (w.Name() == "a") {
			return nil, false, fmt.Errorf("probe %v at %s", s.GetProbe(), w.Name())
		}

		if s.GetProbe() {
			probes <- w.Name()

			return failed(s, "backend_failed"), true, nil
		}

		return completed(s, s.GetInput()), true, nil
	}

	reportSuspect(1, true)

	answered := 0

	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h, err := f.table.Submit(f.submission(1, options{form: submission.NewRequest(true)}))
		is.NoErr(err)
		is.Equal(awaitResult(is, h).status, 200)
		answered++
	}

	is.Equal(len(probes), 1) // the first probe is due after 1 s, the second one after the end of the loop
	is.True(answered > 20)
}
