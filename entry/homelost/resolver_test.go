package homelost_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/homelost"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fakeSidecars answers closes by the name of the worker.
type fakeSidecars struct {
	mu    sync.Mutex
	asked []string
	calls atomic.Int64
	// replies holds the reply of each worker; a worker without one does not answer.
	replies map[string]*wire.CloseReply
}

func (s *fakeSidecars) Close(ctx context.Context, worker string, _ uint64, _ []string, _ bool) (*wire.CloseReply, error) {
	s.calls.Add(1)

	s.mu.Lock()
	s.asked = append(s.asked, worker)
	r := s.replies[worker]
	s.mu.Unlock()

	if r == nil {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	return r, nil
}

func closeReply(incarnation uint64, submission string, started int) *wire.CloseReply {
	c := &wire.Closed{}
	c.SetSubmission(submission)

	for range started {
		c.SetStarted(append(c.GetStarted(), &wire.TaskId{}))
	}

	r := &wire.CloseReply{}
	r.SetIncarnation(incarnation)
	r.SetClosed([]*wire.Closed{c})

	return r
}

func newWorker(name string, incarnation uint64) *wire.Worker {
	w := &wire.Worker{}
	w.SetName(name)
	w.SetIncarnation(incarnation)
	w.SetSlots(4)

	return w
}

// newReplica returns a replica in which workers a and b join at offsets 0 and 1, a leaves at 2 and c joins at 3.
func newReplica() *ledger.Replica {
	b := &ledger.Replica{}
	now := time.Now()
	b.ApplyLog([]ledger.Record{
		ledger.NewRecord(0, now, ledger.WorkerJoinedRecord(newWorker("a", 1))),
		ledger.NewRecord(1, now, ledger.WorkerJoinedRecord(newWorker("b", 2))),
		ledger.NewRecord(2, now, ledger.WorkerLeftRecord("a", 1, false)),
		ledger.NewRecord(3, now, ledger.WorkerJoinedRecord(newWorker("c", 3))),
	}, 4)

	return b
}

func ticketAt(position int64) ticket.Ticket {
	return ticket.New(netip.MustParseAddrPort("127.0.0.1:8"), 9, 1, "m", position, time.Now().Add(time.Minute))
}

// Guards against the result "ran none" without a valid reply from every sidecar that the home could have used. A caller
// would then submit again and run its tasks twice.
func TestResultByReplies(t *testing.T) {
	const id = "s"

	for _, c := range []struct {
		name     string
		position int64
		replies  map[string]*wire.CloseReply
		ran      fault.Ran
		calls    int64
	}{
		{"nothing started", 2, map[string]*wire.CloseReply{"a": closeReply(1, id, 0), "b": closeReply(2, id, 0)}, fault.RanNone, 2},
		{"some started", 2, map[string]*wire.CloseReply{"a": closeReply(1, id, 0), "b": closeReply(2, id, 1)}, fault.RanSome, 2},
		{"one worker does not answer", 2, map[string]*wire.CloseReply{"a": closeReply(1, id, 0)}, fault.RanUnknown, 2},
		{"one worker does not answer, one started", 2, map[string]*wire.CloseReply{"b": closeReply(2, id, 3)}, fault.RanSome, 2},
		{"another incarnation answers", 2, map[string]*wire.CloseReply{"a": closeReply(7, id, 0), "b": closeReply(2, id, 0)}, fault.RanUnknown, 2},
		{"submission missing in the reply", 2, map[string]*wire.CloseReply{"a": closeReply(1, "other", 0), "b": closeReply(2, id, 0)}, fault.RanUnknown, 2},
		{"worker left before the position", 3, map[string]*wire.CloseReply{"b": closeReply(2, id, 0)}, fault.RanNone, 1},
		{"worker joined after the position", 1, map[string]*wire.CloseReply{"a": closeReply(1, id, 0)}, fault.RanNone, 1},
		{"no worker registered", 0, nil, fault.RanNone, 0},
		{"position not reached", 9, nil, fault.RanUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			is := is.New(t)
			s := &fakeSidecars{replies: c.replies}
			r := homelost.NewResolver(s, newReplica(), zerolog.Nop())
			start := time.Now()

			err := r.Resolve(t.Context(), id, ticketAt(c.position), false)
			is.Equal(fault.KindOf(err), fault.HomeLost)
			is.Equal(fault.RanOf(err), c.ran)
			is.Equal(s.calls.Load(), c.calls)
			is.True(time.Since(start) < 2500*time.Millisecond)
		})
	}
}

// Guards against a second result that contradicts the first, and against repeated closes of one submission at a
// sidecar.
func TestResultIsKept(t *testing.T) {
	is := is.New(t)
	s := &fakeSidecars{replies: map[string]*wire.CloseReply{"a": closeReply(1, "s", 0), "b": closeReply(2, "s", 0)}}
	r := homelost.NewResolver(s, newReplica(), zerolog.Nop())

	is.Equal(r.CachedResult("s"), nil)

	results := make(chan fault.Ran, 20)
	for range cap(results) {
		go func() { results <- fault.RanOf(r.Resolve(context.Background(), "s", ticketAt(2), false)) }()
	}

	for range cap(results) {
		is.Equal(<-results, fault.RanNone)
	}

	s.mu.Lock()
	s.replies = nil
	s.mu.Unlock()

	is.Equal(fault.RanOf(r.Resolve(t.Context(), "s", ticketAt(2), false)), fault.RanNone)
	is.Equal(fault.RanOf(r.CachedResult("s")), fault.RanNone)
	is.Equal(s.calls.Load(), int64(2))
}

// Guards against a result from a ledger that has not reached the position of the ticket yet, so that workers are
// missing.
func TestWaitsForTheLedger(t *testing.T) {
	is := is.New(t)
	b := newReplica()
	s := &fakeSidecars{replies: map[string]*wire.CloseReply{"b": closeReply(2, "s", 0), "c": closeReply(3, "s", 0)}}
	r := homelost.NewResolver(s, b, zerolog.Nop())
	result := make(chan error, 1)

	go func() { result <- r.Resolve(context.Background(), "s", ticketAt(5), false) }()

	time.Sleep(50 * time.Millisecond)
	b.ApplyLog([]ledger.Record{ledger.NewRecord(4, time.Now(), ledger.EntryJoinedRecord(&wire.Entry{}))}, 5)

	err := <-result
	is.Equal(fault.RanOf(err), fault.RanNone)
	is.True(!errors.Is(err, context.DeadlineExceeded))
	is.Equal(s.calls.Load(), int64(2))
}

// Guards against a second close of a submission at the same time as the first, whose resolution was dropped for room
// while it ran because its ticket had expired.
func TestRunningResolutionIsKept(t *testing.T) {
	is := is.New(t)
	s := &fakeSidecars{}
	r := homelost.NewResolver(s, newReplica(), zerolog.Nop())
	r.SetCapacity(1)

	expired := ticket.New(netip.MustParseAddrPort("127.0.0.1:8"), 9, 1, "m", 1, time.Now().Add(-time.Minute))

	var group sync.WaitGroup

	resolve := func(id string, t ticket.Ticket) { _ = r.Resolve(context.Background(), id, t, false) }
	awaitCalls := func(n int64) {
		for end := time.Now().Add(20 * time.Second); s.calls.Load() < n; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end)) // the sidecar was not asked within 20 s
		}
	}

	group.Go(func() { resolve("s", expired) })
	awaitCalls(1)
	group.Go(func() { resolve("other", ticketAt(1)) })
	awaitCalls(2)
	group.Go(func() { resolve("s", expired) })
	group.Wait()

	is.Equal(s.calls.Load(), int64(2))
}
