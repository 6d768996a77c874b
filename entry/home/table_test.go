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

// Guards against answers that grow without bound, answers dropped before delivery, and a dropped answer that lets its
// tasks run again.
func TestAnswerMemory(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	b.table.Limit(0, 0, 4000)
	b.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		return completed(s, make([]byte, 1000)), true, nil
	}

	var all []*home.Held

	ones := []submission.Submission{b.submission(1, options{}), b.submission(1, options{})}
	for _, s := range ones {
		h, err := b.table.Submit(s)
		is.NoErr(err)
		is.Equal(await(is, h).status, 200)
		all = append(all, h)
	}

	third := b.submission(1, options{})
	h, err := b.table.Submit(third)
	is.NoErr(err)
	is.Equal(await(is, h).status, 200)

	// Three answers of about 1.5 kB fill the memory, and none was delivered.
	_, err = b.table.Submit(b.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Overloaded)
	is.Equal(fault.RanOf(err), fault.RanNone)

	all[1].Delivered()
	h, err = b.table.Submit(b.submission(1, options{}))
	is.NoErr(err)
	await(is, h)

	r := await(is, all[1])
	is.Equal(r.Error.Code, "answer_released")
	is.Equal(r.Error.Ran, "all")
	is.Equal(await(is, all[0]).status, 200)

	starts := len(b.sent())
	h, err = b.table.Submit(ones[1])
	is.NoErr(err)
	is.Equal(await(is, h).Error.Code, "answer_released")
	is.Equal(len(b.sent()), starts)
}

// Guards against a full table or queue that drops or displaces what it holds.
func TestBounds(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	b.start = hang
	b.table.Limit(100, 0, 0)

	h, err := b.table.Submit(b.submission(69, options{}))
	is.NoErr(err)
	eventually(is, func() bool { return len(b.sent()) == room })
	_, err = b.table.Submit(b.submission(69, options{}))
	is.Equal(fault.KindOf(err), fault.Overloaded)

	_, err = b.table.Submit(b.submission(15, options{kind: "quote"}))
	is.NoErr(err) // a flood of scans leaves room for quotes

	h.Cancel()
	is.Equal(await(is, h).Error.Ran, "none")

	b = newBench(t, "a")
	b.table.Limit(0, 2, 0)

	for range 2 {
		h, err = b.table.Submit(b.submission(1, options{}))
		is.NoErr(err)
		await(is, h)
	}

	_, err = b.table.Submit(b.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Overloaded)
	is.Equal(await(is, h).status, 200)
}

// Guards against submissions that are accepted although the queue drains too slowly for their deadline.
func TestDeadlineUnreachable(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	b.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		time.Sleep(50 * time.Millisecond) // 9 at a time give 180 tasks/s

		return completed(s, s.GetInput()), true, nil
	}

	go b.heartbeats(t.Context())

	h, err := b.table.Submit(b.submission(400, options{}))
	is.NoErr(err)
	eventually(is, func() bool { ended, _ := h.Progress(); return ended > 200 })

	_, err = b.table.Submit(b.submission(1, options{deadline: 200 * time.Millisecond}))
	is.Equal(fault.KindOf(err), fault.DeadlineUnreachable)
	is.Equal(fault.RanOf(err), fault.RanNone)

	_, err = b.table.Submit(b.submission(1, options{deadline: 10 * time.Second}))
	is.NoErr(err)
	is.Equal(await(is, h).status, 200)
}

// Guards against starts of tasks that can no longer end in time: the slots would be wasted.
func TestLateTasksAreNotStarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newBench(t, "a")
	release := make(chan struct{})

	const learned = 30 // run times, from which one is estimated

	b.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if len(b.sent()) > learned {
			<-release
		}

		r := completed(s, s.GetInput())
		r.GetCompleted().SetRunUs(1e6)

		return r, true, nil
	}

	go b.heartbeats(t.Context())

	h, err := b.table.Submit(b.submission(learned, options{}))
	is.NoErr(err)
	await(is, h)

	full, err := b.table.Submit(b.submission(room, options{deadline: 20 * time.Second}))
	is.NoErr(err)
	eventually(is, func() bool { return len(b.sent()) == learned+room })

	late, err := b.table.Submit(b.submission(1, options{deadline: 1500 * time.Millisecond}))
	is.NoErr(err)
	time.Sleep(800 * time.Millisecond)
	close(release)

	r := await(is, late)
	is.Equal(r.Error.Code, "deadline_exceeded")
	is.True(strings.Contains(r.Error.Message, "are left after the wait")) // before the deadline itself
	is.Equal(r.Error.Ran, "none")
	is.Equal(await(is, full).status, 200)
	is.Equal(len(b.sent()), learned+room)
}

// Guards against tasks that start again at the successor after a handover, and answers lost or altered by it.
func TestHandover(t *testing.T) {
	is := is.New(t)
	old, young := newBench(t, "a"), newBench(t, "a")
	young.table.Own(99)

	good, bad := old.submission(3, options{}), old.submission(1, options{deadline: time.Nanosecond + 50*time.Millisecond})
	old.start = func(ctx context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if s.GetId().GetSubmission() == bad.ID() {
			return hang(ctx, w, s)
		}

		return completed(s, s.GetInput()), true, nil
	}

	for _, s := range []submission.Submission{good, bad} {
		_, err := old.table.Submit(s)
		is.NoErr(err)
	}

	is.NoErr(old.table.Drain(t.Context()))
	young.table.Import(old.table.Export())
	young.table.Import(old.table.Export()) // again without effect
	is.Equal(young.table.Count(), 2)

	for _, s := range []submission.Submission{good, bad} {
		was, found := old.table.Find(s.ID())
		is.True(found)

		h, err := young.table.Submit(s)
		is.NoErr(err)
		<-h.Done()

		status, body := h.Answer()
		wanted, whole := was.Answer()
		is.Equal(status, wanted)
		is.Equal(string(body), string(whole))
		is.Equal(h.Member(), "mill")
	}

	is.Equal(len(young.sent()), 0)

	_, err := young.table.Submit(old.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.UnknownSubmission) // a ticket of the old home that was not handed over
}

// Guards against a drain that interrupts work in flight (I7) or takes new work.
func TestDrainWaits(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	release := make(chan struct{})
	b.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		<-release

		return completed(s, s.GetInput()), true, nil
	}

	h, err := b.table.Submit(b.submission(5, options{}))
	is.NoErr(err)

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(b.table.Drain(ctx) != nil)

	_, err = b.table.Submit(b.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Leaving)
	close(release)
	is.NoErr(b.table.Drain(t.Context()))
	is.Equal(await(is, h).status, 200)
}

// Guards against starts after the ticket's expiry, when sidecars no longer know what they started (I1).
func TestTicketExpiryBoundsTheDeadline(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	b.start = hang

	s := b.submission(1, options{lifetime: 1200 * time.Millisecond})
	h, err := b.table.Submit(s)
	is.NoErr(err)
	eventually(is, func() bool { return len(b.sent()) == 1 })
	is.True(b.sent()[0].GetRemainingMs() <= 1200)
	is.Equal(await(is, h).Error.Code, "deadline_exceeded")

	_, err = b.table.Submit(s)
	is.Equal(fault.KindOf(err), fault.TicketExpired)
}

// Guards against a table that only grows, and against a dropped submission that runs again after the clock stepped back.
func TestExpiredSubmissionsAreDropped(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	early, late := b.submission(1, options{lifetime: time.Minute}), b.submission(1, options{lifetime: 10 * time.Minute})

	for _, s := range []submission.Submission{early, late} {
		h, err := b.table.Submit(s)
		is.NoErr(err)
		is.Equal(await(is, h).status, 200)
		h.Delivered()
	}

	b.table.Sweep(time.Now().Add(80 * time.Second))
	is.Equal(b.table.Count(), 2) // kept for a margin beyond the ticket
	b.table.Sweep(time.Now().Add(100 * time.Second))
	is.Equal(b.table.Count(), 1)

	_, found := b.table.Find(early.ID())
	is.True(!found)
	_, err := b.table.Submit(early)
	is.Equal(fault.KindOf(err), fault.TicketExpired)

	h, err := b.table.Submit(late)
	is.NoErr(err)
	is.Equal(await(is, h).status, 200)
	is.Equal(len(b.sent()), 2)

	b.table.Sweep(time.Now().Add(time.Hour))
	is.Equal(b.table.Count(), 0)
}

// Guards against a worker or an agreement that the table does not learn of while it runs.
func TestTheTableFollowsTheLog(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")
	b.start = hang
	b.connect("b")

	h, err := b.table.Submit(b.submission(40, options{position: 50}))
	is.NoErr(err)
	eventually(is, func() bool { return len(b.sent()) == room })

	b.book.Advance([]ledger.Record{ledger.NewRecord(2, time.Now(), ledger.WorkerJoinedRecord(descriptor("b", 1)))}, 3)
	eventually(is, func() bool { return len(b.sent()) == 2*room })

	b.book.Advance([]ledger.Record{ledger.NewRecord(3, time.Now(), ledger.WorkerLeftRecord("a", 1, true))}, 4)
	eventually(is, func() bool {
		_, err := b.table.Submit(b.submission(1, options{position: 2}))

		return fault.KindOf(err) == fault.NoWorkers
	})
	h.Cancel()
}

// Guards against decisions without their log line or with another event name, and an explanation without them.
func TestDecisionsAreLoggedAndKept(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a")

	var out bytes.Buffer

	registry := metrics.NewRegistry()
	b.table = &home.Table{}
	b.table.Use(b.fleet, b, zerolog.New(zerolog.SyncWriter(&out)))
	b.table.Measure(registry)
	b.table.Follow(t.Context(), b.book)

	go b.table.Run(t.Context())

	b.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		switch s.GetId().GetAttempt() {
		case 0:
			return rejected(s, wire.Rejection_REJECTION_QUEUE_FULL), true, nil
		case 1:
			return failed(s, "backend_failed"), true, nil
		default:
			return completed(s, s.GetInput()), true, nil
		}
	}

	h, err := b.table.Submit(b.submission(1, options{form: submission.NewRequest(true)}))
	is.NoErr(err)
	eventually(is, func() bool { return len(h.Decisions()) == 3 }) // placed, rejected, waiting until the next report
	b.report("a")
	is.Equal(await(is, h).status, 200)

	_, err = b.table.Submit(b.submission(1, options{kind: "x"}))
	is.True(err != nil)

	var kept, logged []string

	for _, d := range h.Decisions() {
		kept = append(kept, d.Event()+" "+d.Reason())
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
	is.Equal(kept, tasks)
	is.Equal(logged, append(tasks, "submission_ended complete", "submission_refused invalid_request"))

	for name, n := range map[string]int64{
		"weir_entry_starts_total": 3, "weir_entry_retries_total": 1, `weir_entry_rejects_total{reason="queue_full"}`: 1,
		`weir_entry_refusals_total{code="invalid_request"}`: 1, `weir_entry_submissions_ended_total{outcome="complete"}`: 1,
	} {
		is.Equal(registry.Get(name).(metrics.Counter).Count(), n)
	}

	is.Equal(registry.Get("weir_entry_queue_wait_seconds").(metrics.Histogram).Count(), int64(3))
}

// Guards against a suspect that is never tried again, and against a task that is lost with a failed probe.
func TestProbes(t *testing.T) {
	is := is.New(t)
	b := newBench(t, "a", "b", "c")
	suspect := func(sequence uint64, yes bool) {
		b.fleet.Report(b.workers["a"], wire.Load_builder{Sequence: sequence, Suspect: yes, Probe: yes}.Build(), time.Now())
	}
	probes := make(chan string, 100)
	b.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if s.GetProbe() != (w.Name() == "a") {
			return nil, false, fmt.Errorf("probe %v at %s", s.GetProbe(), w.Name())
		}

		if s.GetProbe() {
			probes <- w.Name()

			return failed(s, "backend_failed"), true, nil
		}

		return completed(s, s.GetInput()), true, nil
	}

	suspect(1, true)

	tried := 0

	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h, err := b.table.Submit(b.submission(1, options{form: submission.NewRequest(true)}))
		is.NoErr(err)
		is.Equal(await(is, h).status, 200)
		tried++
	}

	is.Equal(len(probes), 1) // after 1 s; the next one after another
	is.True(tried > 20)
}
