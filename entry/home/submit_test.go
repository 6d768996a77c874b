package home_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// Guards against answers with missing or reordered outputs (I2, I3): tasks end in any order, but the answer must have
// all outputs in task order.
func TestJobAnswerIsComplete(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b", "c")
	h, err := f.table.Submit(f.submission(50, options{}))
	is.NoErr(err)

	r := awaitResult(is, h)
	is.Equal(r.status, 200)
	is.Equal(r.State, "complete")
	is.Equal(r.Submission, h.ID())
	is.Equal(len(r.Results), 50)

	outputs := ""
	for i, x := range r.Results {
		is.Equal(x.Index, i)
		is.Equal(string(x.Output), strconv.Itoa(i))
		outputs += string(x.Output)
	}

	sum := sha256.Sum256([]byte(outputs))
	is.Equal(r.Digest, hex.EncodeToString(sum[:]))
	is.Equal(r.Length, len(outputs))
}

// Guards against tasks that start twice when a client sends a submission again (I1), also many times at once.
func TestResubmissionsStartNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	s := f.submission(20, options{})

	var wg sync.WaitGroup

	for range 32 {
		wg.Go(func() {
			h, err := f.table.Submit(s)
			if err == nil {
				<-h.Done()
			}
		})
	}

	wg.Wait()

	h, err := f.table.Submit(s)
	is.NoErr(err)
	is.Equal(awaitResult(is, h).status, 200)
	is.Equal(len(f.sentStarts()), 20)

	other := submission.New(s.ID(), s.Ticket(), "scan", nil, [][]byte{[]byte("x")}, 1, 0, s.Deadline())
	_, err = f.table.Submit(other)
	is.Equal(fault.KindOf(err), fault.Conflict)
}

// Guards against submissions that are accepted although no worker can run them, and against a refusal after a task was
// started.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		o    options
		kind fault.Kind
	}{
		"more cores than any worker":         {options{cores: 9}, fault.NeverRunnable},
		"more cores than the kind allows":    {options{kind: "quote", cores: 5}, fault.NeverRunnable},
		"more cores than the member's limit": {options{member: "shop", cores: 3}, fault.NeverRunnable},
		"more memory than any worker":        {options{memory: 2000}, fault.NeverRunnable},
		"unknown kind":                       {options{kind: "x"}, fault.InvalidRequest},
		"unknown member":                     {options{member: "x"}, fault.Forbidden},
		"ticket older than the workers":      {options{position: 1}, fault.NoWorkers},
		"deadline has passed":                {options{deadline: -time.Second}, fault.DeadlineExceeded},
		"expired ticket":                     {options{lifetime: -time.Second}, fault.TicketExpired},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "a")
			_, err := f.table.Submit(f.submission(1, c.o))
			is.Equal(fault.KindOf(err), c.kind)
			is.Equal(len(f.sentStarts()), 0)
		})
	}

	is := is.New(t)
	f := newFixture(t)
	_, err := f.table.Submit(f.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.NoWorkers)
}

// Guards against a submission that runs after a refusal as not run (I4). A copy of the message can arrive late, when
// there is capacity again.
func TestRefusedTicketNeverRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")
	f.table.SetLimits(10, 0, 0)

	s := f.submission(11, options{})
	_, err := f.table.Submit(s)
	is.Equal(fault.KindOf(err), fault.Overloaded)

	f.table.SetLimits(100, 0, 0)

	_, err = f.table.Submit(s)
	is.Equal(fault.KindOf(err), fault.TicketRefused)
	is.Equal(fault.RanOf(err), fault.RanNone)

	// Another ticket of the same chunk is not refused. One that is cancelled before its submission arrives is.
	h, err := f.table.Submit(f.submission(11, options{}))
	is.NoErr(err)
	is.Equal(awaitResult(is, h).status, 200)
	is.True(!f.table.RefuseTicket(h.ID(), f.submission(1, options{}).Ticket()))

	s = f.submission(1, options{})
	is.True(f.table.RefuseTicket(s.ID(), s.Ticket()))
	_, err = f.table.Submit(s)
	is.Equal(fault.KindOf(err), fault.TicketRefused)

	is.Equal(len(f.sentStarts()), 11)
}

// Guards against starts at workers that registered after the position of the ticket (I4). If the home is lost, the
// entry that closes the submission does not ask them what ran.
func TestOnlyWorkersBelowThePositionAreUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b", "c")

	// The workers registered at the offsets 1, 2 and 3. A ticket with position 2 includes only the first of them.
	h, err := f.table.Submit(f.submission(30, options{position: 2}))
	is.NoErr(err)
	waitUntil(is, func() bool { f.reportLoad("a"); return len(f.sentStarts()) == 30 })
	is.Equal(awaitResult(is, h).status, 200)

	for _, s := range f.sentStarts() {
		is.Equal(s.GetPosition(), int64(2))
	}

	is.Equal(f.workers["b"].Outstanding()+f.workers["c"].Outstanding(), 0)
}

// Guards against tasks that are lost when a worker rejects their starts: they must be placed at another worker.
func TestRejectedStartsArePlacedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if w.Name() == "a" {
			return rejected(s, wire.Rejection_REJECTION_QUEUE_FULL), true, nil
		}

		return completed(s, s.GetInput()), true, nil
	}

	h, err := f.table.Submit(f.submission(6, options{}))
	is.NoErr(err)
	is.Equal(awaitResult(is, h).status, 200)

	attempts := map[string]int{}
	for _, s := range f.sentStarts() {
		attempts[strconv.Itoa(int(s.GetId().GetIndex()))+"/"+strconv.Itoa(int(s.GetId().GetAttempt()))]++
	}

	for _, n := range attempts {
		is.Equal(n, 1) // a rejected attempt is never sent again
	}

	// After a rejection, a worker gets no starts until its next report.
	is.True(len(f.sentStarts()) <= 6+6)
	is.True(!f.workers["a"].HasQueueCapacity("scan"))
	f.reportLoad("a")
	is.True(f.workers["a"].HasQueueCapacity("scan"))
}
