package peer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a worker that is declared lost while another entry has contact with it, against an entry that declares
// losses while it is isolated, and against an unresponsive worker that is never declared lost.
func TestWorkerLoss(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	c := startEntry(t, keys, 3, a.self.GetAddress(), b.self.GetAddress())
	entries := []*testEntry{a, b, c}

	for _, e := range entries {
		eventually(is, func() bool { return len(e.peers.Reached()) == 2 })
	}

	connected := map[string]*fleet.Worker{}

	for i, name := range []string{"gone", "heard", "x", "y"} {
		w := &wire.Worker{}
		w.SetName(name)
		w.SetIncarnation(uint64(i + 1))
		a.replica.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), time.Now(), ledger.WorkerJoinedRecord(w))}, int64(i)+1)

		for _, e := range entries {
			connected[e.self.GetName()+name] = e.fleet.Connect(w, time.Now())
		}
	}

	// a has contact with half of the workers, b with all but one. c has none, so it must not declare any lost.
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, name := range []string{"e1x", "e1y", "e2x", "e2y", "e2heard"} {
			a.fleet.RecordContact(connected[name], time.Now())
		}
	}

	is.Equal(c.appender.count(), 0)
	is.True(a.appender.count()+b.appender.count() > 0)

	for _, e := range entries {
		e.appender.mu.Lock()
		for _, r := range e.appender.records {
			is.Equal(r, ledger.WorkerLeftRecord("gone", 1, true))
		}
		e.appender.mu.Unlock()
	}
}

// Guards against slow detection when all workers of a failure domain are lost at once. If an exchange named only some of
// them, the declarations would take longer the more entries there are.
func TestFailureDomainLoss(t *testing.T) {
	t.Parallel()

	const lost, alive = 115, 115

	is := is.New(t)
	keys := issueKeys(t)

	var (
		entries []*testEntry
		others  []string
	)

	for i := range 4 {
		e := startEntry(t, keys, uint64(i)+1, others...)
		entries, others = append(entries, e), append(others, e.self.GetAddress())
	}

	for _, e := range entries {
		eventually(is, func() bool { return len(e.peers.Reached()) == len(entries)-1 })
	}

	var aliveWorkers []*fleet.Worker

	for i := range lost + alive {
		w := wire.Worker_builder{Name: fmt.Sprintf("w%03d", i), Incarnation: 1}.Build()
		entries[0].replica.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), time.Now(), ledger.WorkerJoinedRecord(w))}, int64(i)+1)

		for _, e := range entries {
			if c := e.fleet.Connect(w, time.Now()); i >= lost {
				aliveWorkers = append(aliveWorkers, c)
			}
		}
	}

	declared := map[string]bool{}

	for begin := time.Now(); len(declared) < lost && time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, w := range aliveWorkers {
			entries[0].fleet.RecordContact(w, time.Now())
		}

		for _, e := range entries {
			e.appender.mu.Lock()
			for _, r := range e.appender.records {
				declared[string(r)] = true
			}
			e.appender.mu.Unlock()
		}
	}

	is.Equal(len(declared), lost)
}
