package home_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// evacuate appends the evacuation of a failure domain, or its end, and waits until the table applies it.
func (f *fixture) evacuate(is *is.I, domain string, ended bool) {
	is.Helper()

	offset := f.replica.State().Position()
	record := ledger.NewRecord(offset, time.Now(), ledger.EvacuationRecord(domain, ended, []byte(domain), "op"))
	f.replica.ApplyLog([]ledger.Record{record}, offset+1)

	waitUntil(is, func() bool {
		for _, w := range f.workers {
			if w.FailureDomain() == domain && w.Evacuated() == ended {
				return false
			}
		}

		return true
	})
}

// Guards against tasks that are placed at a worker in an evacuated failure domain, against a submission that waits although
// no worker is left, and against a domain that stays out of use after the end.
func TestEvacuatedWorkersGetNoTasks(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	starts := make(chan string, 1000)
	f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		starts <- w.Name()

		return completed(s, s.GetInput()), true, nil
	}

	go f.sendHeartbeats(t.Context())

	submit := func() map[string]int {
		h, err := f.table.Submit(f.submission(20, options{}))
		is.NoErr(err)
		is.Equal(awaitResult(is, h).State, "complete")

		workers := map[string]int{}
		for range 20 {
			workers[<-starts]++
		}

		return workers
	}

	f.evacuate(is, "d-a", false)
	is.Equal(submit(), map[string]int{"b": 20})

	f.evacuate(is, "d-b", false)

	_, err := f.table.Submit(f.submission(1, options{}))
	is.Equal(fault.KindOf(err), fault.NoWorkers)
	is.True(strings.Contains(err.Error(), "evacuated"))

	f.evacuate(is, "d-b", true)
	f.evacuate(is, "d-a", true)
	is.Equal(len(submit()), 2)
}

// Guards against a task that is lost because the failure domain is evacuated between the decision to start it and the
// sending of the start: the sidecar rejects it, and another worker runs it.
func TestStartIsRejectedInAnEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a", "b")
	f.start = func(_ context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
		if w.Name() == "a" {
			return rejected(s, wire.Rejection_REJECTION_EVACUATED), true, nil
		}

		return completed(s, s.GetInput()), true, nil
	}

	go f.sendHeartbeats(t.Context())

	h, err := f.table.Submit(f.submission(20, options{}))
	is.NoErr(err)
	is.Equal(awaitResult(is, h).State, "complete")
}
