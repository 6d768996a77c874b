package home_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

var errConnectionLost = errors.New("connection broke")

// workerCapacity is the number of tasks that an entry sends to an idle worker of the fixture: 8 for its slots and one
// for its run queue.
const workerCapacity = 9

// blockUntilCancelled returns no reply to a start until its submission cancels the call.
func blockUntilCancelled(ctx context.Context, _ *fleet.Worker, _ *wire.Start) (*wire.StartReply, bool, error) {
	<-ctx.Done()

	return nil, true, ctx.Err()
}

// Guards against a job that goes on after one of its tasks has failed (I2): its queued tasks must leave the queue, and
// its running ones must be closed at the sidecar.
func TestFailedTaskFailsTheJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = func(ctx context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if s.GetId().GetIndex() == 3 {
			for len(f.sentStarts()) < workerCapacity {
				time.Sleep(time.Millisecond)
			}

			return failed(s, "task_failed"), true, nil
		}

		return blockUntilCancelled(ctx, w, s)
	}

	h, err := f.table.Submit(f.submission(100, options{}))
	is.NoErr(err)

	r := awaitResult(is, h)
	is.Equal(r.Error.Code, "task_failed")
	is.Equal(r.Error.Ran, "some")
	is.Equal(len(f.sentStarts()), workerCapacity)
	waitUntil(is, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()

		return f.closeMessages["a"] == 1
	})
}

// Guards against a failure that reports "ran none" although a start may have run (I4). After a missed deadline, the
// report follows what the sidecars confirm.
func TestDeadlineReportsWhatRan(t *testing.T) {
	for name, c := range map[string]struct {
		start func(ctx context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error)
		close func(worker, id string) ([]*wire.TaskId, error)
		ran   string
	}{
		"confirmed as not started": {blockUntilCancelled, nil, "none"},
		"confirmed as started": {blockUntilCancelled, func(_, id string) ([]*wire.TaskId, error) {
			k := wire.TaskId_builder{Submission: id}.Build()

			return []*wire.TaskId{k}, nil
		}, "some"},
		"not confirmed": {blockUntilCancelled, func(string, string) ([]*wire.TaskId, error) {
			return nil, errConnectionLost
		}, "unknown"},
		"never sent": {func(context.Context, *fleet.Worker, *wire.Start) (*wire.StartReply, bool, error) {
			return nil, false, errConnectionLost
		}, func(string, string) ([]*wire.TaskId, error) { return nil, errConnectionLost }, "none"},
		"rejected": {func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
			return rejected(s, wire.Rejection_REJECTION_LEASE_LAPSED), true, nil
		}, nil, "none"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, "a")
			f.start, f.close = c.start, c.close

			h, err := f.table.Submit(f.submission(3, options{deadline: 200 * time.Millisecond}))
			is.NoErr(err)

			r := awaitResult(is, h)
			is.Equal(r.Error.Code, "deadline_exceeded")
			is.Equal(r.status, 504)
			is.Equal(r.Error.Ran, c.ran)
		})
	}
}

// Guards against an outcome that arrives after the answer and changes it: the task of a cancelled submission completes
// late.
func TestLateOutcomeChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	release := make(chan struct{})
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		<-release

		return completed(s, s.GetInput()), true, nil
	}

	h, err := f.table.Submit(f.submission(1, options{}))
	is.NoErr(err)
	waitUntil(is, func() bool { return len(f.sentStarts()) == 1 })
	h.Cancel()
	is.Equal(awaitResult(is, h).Error.Code, "cancelled")

	_, before := h.Answer()
	close(release)
	waitUntil(is, func() bool { return f.workers["a"].Outstanding() == 0 })

	_, after := h.Answer()
	is.Equal(string(before), string(after))
}

// Guards against one close message for each cancelled submission: while a message is being sent, further cancellations
// must be collected for the next one.
func TestCancellationsAreBatched(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = blockUntilCancelled
	f.table.SetLimits(5000, 0, 0)
	f.reportLoad("a")

	cancels := make([]func(), 0, 2000)

	for range 2000 {
		// Nothing completes, so the queue drains the more slowly the longer the submissions take.
		h, err := f.table.Submit(f.submission(1, options{deadline: 7 * 24 * time.Hour}))
		is.NoErr(err)
		cancels = append(cancels, h.Cancel)
	}

	waitUntil(is, func() bool { return len(f.sentStarts()) == workerCapacity })

	allCancelled := make(chan struct{})

	f.mu.Lock()
	f.close = func(string, string) ([]*wire.TaskId, error) {
		<-allCancelled

		return nil, nil
	}
	f.mu.Unlock()

	// Waiting tasks are cancelled first, since a waiting task would take the capacity of a cancelled start.
	for _, c := range slices.Backward(cancels) {
		c()
	}

	close(allCancelled)

	is.NoErr(f.table.Drain(t.Context()))
	f.mu.Lock()
	defer f.mu.Unlock()
	is.True(f.closeMessages["a"] <= 2)
	is.Equal(len(f.starts), workerCapacity)
}

// Guards against a task that is placed at a second worker while the first one may still run it (I1), and against an
// outcome that is lost with a short loss of the connection: the same start is sent to the same worker again.
func TestStartIsResentAfterDisconnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")

	var disconnected atomic.Pointer[fleet.Worker]

	f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if disconnected.CompareAndSwap(nil, w) {
			f.fleet.Disconnect(w)

			return nil, true, errConnectionLost
		}

		return completed(s, s.GetInput()), true, nil
	}

	h, err := f.table.Submit(f.submission(1, options{}))
	is.NoErr(err)
	waitUntil(is, func() bool { return disconnected.Load() != nil })
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(f.sentStarts()), 1) // the task is not placed elsewhere

	f.connect(disconnected.Load().Name())
	is.Equal(awaitResult(is, h).status, 200)

	sent := f.sentStarts()
	is.Equal(len(sent), 2)
	is.Equal(sent[0].GetId().GetAttempt(), sent[1].GetId().GetAttempt())
	is.Equal(disconnected.Load().Outstanding(), 0)
}

// Guards against a second run of a job or request that is not repeatable (I5). The connection to the worker is lost
// during the start, and the next connection is that of a new incarnation.
func TestLostWorker(t *testing.T) {
	for name, c := range map[string]struct {
		form   submission.Form
		status int
		ran    string
		starts int
	}{
		"job":                    {submission.Job{}, 502, "unknown", 1},
		"not repeatable request": {submission.NewRequest(false), 502, "unknown", 1},
		"repeatable request":     {submission.NewRequest(true), 200, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, "a", "b")

			var replaced atomic.Bool

			f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
				if replaced.CompareAndSwap(false, true) {
					f.fleet.Disconnect(w)
					f.fleet.Connect(descriptor(w.Name(), 2), time.Now())

					return nil, true, errConnectionLost
				}

				return completed(s, s.GetInput()), true, nil
			}

			h, err := f.table.Submit(f.submission(1, options{form: c.form}))
			is.NoErr(err)

			r := awaitResult(is, h)
			is.Equal(r.status, c.status)
			is.Equal(r.Error.Ran, c.ran)
			is.Equal(len(f.sentStarts()), c.starts)
		})
	}
}

// Guards against retries of tasks that report a failure of their own or are not repeatable, and against more than two
// retries of the others.
func TestRetries(t *testing.T) {
	for name, c := range map[string]struct {
		form   submission.Form
		code   string
		starts int
	}{
		"backend failed, repeatable":     {submission.NewRequest(true), "backend_failed", 3},
		"backend failed, not repeatable": {submission.NewRequest(false), "backend_failed", 1},
		"task failed, repeatable":        {submission.NewRequest(true), "task_failed", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, "a", "b")

			// Each request adds to the retry budget.
			for range 30 {
				h, err := f.table.Submit(f.submission(1, options{form: submission.NewRequest(true)}))
				is.NoErr(err)
				awaitResult(is, h)
			}

			f.mu.Lock()
			f.starts = nil
			f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
				return failed(s, c.code), true, nil
			}
			f.mu.Unlock()

			h, err := f.table.Submit(f.submission(1, options{form: c.form}))
			is.NoErr(err)

			r := awaitResult(is, h)
			is.Equal(r.Error.Code, c.code)
			is.Equal(r.Error.Ran, "some")
			is.Equal(len(f.sentStarts()), c.starts)
		})
	}
}

// Guards against an output that does not match its digest (I3), and a reply that belongs to another start.
func TestOutputsAndRepliesAreChecked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		r := completed(s, s.GetInput())
		r.GetCompleted().SetOutput([]byte("altered"))

		return r, true, nil
	}

	h, err := f.table.Submit(f.submission(1, options{}))
	is.NoErr(err)
	is.Equal(awaitResult(is, h).Error.Code, "backend_failed")

	other := wire.Start_builder{Id: &wire.TaskId{}}.Build()
	f.mu.Lock()
	f.start = func(context.Context, *fleet.Worker, *wire.Start) (*wire.StartReply, bool, error) {
		return completed(other, nil), true, nil
	}
	f.mu.Unlock()

	h, err = f.table.Submit(f.submission(1, options{deadline: 300 * time.Millisecond}))
	is.NoErr(err)
	is.Equal(awaitResult(is, h).Error.Code, "deadline_exceeded")
}

// Guards against a home that places a task elsewhere after a rejection because another entry has closed the submission:
// that entry has already answered the caller.
func TestClosedByAnotherEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		return rejected(s, wire.Rejection_REJECTION_CLOSED), true, nil
	}

	h, err := f.table.Submit(f.submission(1, options{}))
	is.NoErr(err)

	r := awaitResult(is, h)
	is.Equal(r.Error.Code, "home_lost")
	is.Equal(r.Error.Ran, "none")
	is.Equal(len(f.sentStarts()), 1)
}

// Guards against starts at a worker that is leaving, unresponsive or suspect (I6), and against tasks that are lost
// because of that.
func TestUnusableWorkersGetNoStarts(t *testing.T) {
	for name, unusable := range map[string]func(f *fixture){
		"leaving": func(f *fixture) { f.fleet.MarkLeaving(f.workers["a"]) },
		"silent":  func(f *fixture) { f.fleet.RecordContact(f.workers["a"], time.Now().Add(-3*time.Second)) },
		"suspect": func(f *fixture) {
			f.fleet.Report(f.workers["a"], wire.Load_builder{Sequence: 1, Suspect: true}.Build(), time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "a", "b", "c")
			unusable(f)

			var startsAtUnusable atomic.Int64

			f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
				if w.Name() == "a" {
					startsAtUnusable.Add(1)
				}

				return completed(s, s.GetInput()), true, nil
			}

			h, err := f.table.Submit(f.submission(100, options{}))
			is.NoErr(err)
			is.Equal(awaitResult(is, h).status, 200)
			is.Equal(startsAtUnusable.Load(), int64(0))
		})
	}
}

// Guards against tasks that run twice, submissions that never end and slots that are not released, under random
// rejections, failures, unsent starts and cancellations.
func TestRandomFaults(t *testing.T) {
	const seed = 20261204

	t.Logf("seed %d", seed)
	is := is.New(t)
	f := newFixture(t, "a", "b", "c", "d")
	go f.sendHeartbeats(t.Context())

	random := rand.New(rand.NewPCG(seed, 1))
	runs := map[string]int{}
	f.start = func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		f.mu.Lock()
		outcome := random.IntN(100)
		key := fmt.Sprint(s.GetId().GetSubmission(), "/", s.GetId().GetIndex())

		if outcome >= 20 {
			runs[key]++
		}
		f.mu.Unlock()

		time.Sleep(time.Duration(outcome) * 20 * time.Microsecond)

		switch {
		case outcome < 10:
			return rejected(s, wire.Rejection_REJECTION_QUEUE_FULL), true, nil
		case outcome < 20:
			return nil, false, errConnectionLost
		case outcome < 21:
			return failed(s, "backend_failed"), true, nil
		default:
			return completed(s, s.GetInput()), true, nil
		}
	}

	for n := range 300 {
		h, err := f.table.Submit(f.submission(1+n%20, options{deadline: 20 * time.Second}))
		is.NoErr(err)

		if n%17 == 0 {
			go h.Cancel()
		}
	}

	is.NoErr(f.table.Drain(t.Context()))

	for _, n := range runs {
		is.Equal(n, 1)
	}

	waitUntil(is, func() bool {
		sum := 0
		for _, w := range f.fleet.View().Workers() {
			sum += w.Outstanding()
		}

		return sum == 0
	})

	_, err := f.table.Submit(f.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.Leaving)
}
