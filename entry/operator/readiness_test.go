package operator_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/entry/operator"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// placement is a placement at a log position.
type placement struct{ position atomic.Int64 }

func (p *placement) Position() int64 { return p.position.Load() }

// Guards against a load balancer that sends callers to an entry whose placement does not know the workers yet, although
// they are connected and registered: it refuses their submissions since there are no workers.
func TestReadinessWaitsForPlacement(t *testing.T) {
	is := is.New(t)
	replica, workers, p := &ledger.Replica{}, &fleet.Fleet{}, &placement{}
	r := operator.NewReadiness(replica, workers, p, 64)

	a, err := agreement.Parse([]byte(`{"agreement":"test","members":[],"kinds":[]}`))
	is.NoErr(err)

	w := &wire.Worker{}
	w.SetName("w")
	w.SetIncarnation(1)
	replica.ApplyLog([]ledger.Record{
		ledger.NewRecord(0, time.Now(), ledger.PublicationRecord(0, []byte("n"), "op", a)),
		ledger.NewRecord(1, time.Now(), ledger.WorkerJoinedRecord(w)),
	}, 2)
	workers.Connect(w, time.Now())
	workers.UpdateRegistrations(replica.State().Registered)

	is.Equal(r.Reason(), "0 of 1 registered workers are connected")

	p.position.Store(2)
	is.Equal(r.Reason(), "")
}

// Guards against a load balancer that sends callers to an entry that must refuse them: an entry without an agreement,
// with too few sidecars connected after its start, disconnected from all sidecars, or leaving.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	replica, workers := &ledger.Replica{}, &fleet.Fleet{}
	p := &placement{}
	p.position.Store(4)

	r := operator.NewReadiness(replica, workers, p, 64)

	is.Equal(r.Reason(), "no agreement has been read yet")

	a, err := agreement.Parse([]byte(`{"agreement":"test","members":[],"kinds":[]}`))
	is.NoErr(err)

	records := []ledger.Record{ledger.NewRecord(0, time.Now(), ledger.PublicationRecord(0, []byte("n"), "op", a))}

	var all []*wire.Worker

	for i := range 3 {
		w := &wire.Worker{}
		w.SetName(fmt.Sprint("w", i))
		w.SetIncarnation(uint64(i + 1))
		all = append(all, w)
		records = append(records, ledger.NewRecord(int64(i+1), time.Now(), ledger.WorkerJoinedRecord(w)))
	}

	replica.ApplyLog(records, 4)
	is.Equal(r.Reason(), "0 of 3 registered workers are connected")

	connect := func(w *wire.Worker) *fleet.Worker {
		c := workers.Connect(w, time.Now())
		workers.UpdateRegistrations(replica.State().Registered)

		return c
	}

	first := connect(all[0])
	is.Equal(r.Reason(), "1 of 3 registered workers are connected")

	second := connect(all[1])
	is.Equal(r.Reason(), "")

	r.Run(t.Context())
	<-r.FirstReady()

	// After the first time, one worker is sufficient: if workers are lost, the other entries have lost them too.
	workers.Disconnect(second)
	is.Equal(r.Reason(), "")

	workers.Disconnect(first)
	is.Equal(r.Reason(), "0 of 3 registered workers are connected")

	connect(all[2])
	is.Equal(r.Reason(), "")

	r.Leave()
	is.Equal(r.Reason(), "the entry is leaving")
}
