package operator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/entry/operator"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a load balancer that sends callers to an entry that must refuse them: an entry without an agreement,
// with too few sidecars connected after its start, disconnected from all sidecars, or leaving.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	replica, workers := &ledger.Replica{}, &fleet.Fleet{}
	r := operator.NewReadiness(replica, workers, 64)

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
