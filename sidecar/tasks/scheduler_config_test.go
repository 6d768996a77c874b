package tasks_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fleetState returns a log state with workers w0, w1 and so on of 64 slots, and with members m0, m1 and so on whose
// limit is a tenth of the fleet each.
func fleetState(tb testing.TB, workers, members int) *ledger.State {
	tb.Helper()

	var list []string
	for i := range members {
		list = append(list, fmt.Sprintf(`{"name":"m%d","limit_percent":10,"credential_sha256":"%064x"}`, i, i))
	}

	agreed, err := agreement.Parse([]byte(`{"agreement":"a","members":[` + strings.Join(list, ",") + `],"kinds":[
		{"name":"k","service":"s","share_percent":50,"urgent":false,"max_cores":4},
		{"name":"other","service":"t","share_percent":50,"urgent":false,"max_cores":1}]}`))
	is.New(tb).NoErr(err)

	records := []ledger.Record{ledger.NewRecord(0, time.Now(), ledger.PublicationRecord(0, []byte("n"), "o", agreed))}

	for i := range workers {
		w := &wire.Worker{}
		w.SetName(fmt.Sprint("w", i))
		w.SetIncarnation(uint64(i + 1))
		w.SetSlots(64)
		w.SetServices([]string{"s"})
		records = append(records, ledger.NewRecord(int64(i+1), time.Now(), ledger.WorkerJoinedRecord(w)))
	}

	return new(ledger.State).Apply(records...)
}

// Guards against allowances that add up to more than a member's limit over all workers, against kinds of services
// that a worker does not have, and against allowances for an incarnation that is not registered.
func TestSchedulerConfig(t *testing.T) {
	is := is.New(t)
	s := fleetState(t, 6, 2)
	allowanceSums := map[string]int{}

	for i := range 6 {
		kinds, members := tasks.SchedulerConfig(s, fmt.Sprint("w", i), uint64(i+1))
		is.Equal(kinds, []share.Kind{share.NewKind("k", 50, false)})

		for _, m := range members {
			allowanceSums[m.Name()] += m.Allowance()
		}
	}

	is.Equal(allowanceSums, map[string]int{"m0": 38, "m1": 38}) // a tenth of 6 * 64 = 384 slots, rounded down

	kinds, members := tasks.SchedulerConfig(s, "w0", 99)
	is.Equal(len(kinds), 0)
	is.Equal(members[0].Allowance(), 0)
}

// BenchmarkSchedulerConfig measures the computation on each sidecar after a change of the fleet, with 690 workers and
// 190 members, which is the size expected in two years.
func BenchmarkSchedulerConfig(b *testing.B) {
	s := fleetState(b, 690, 190)

	for b.Loop() {
		tasks.SchedulerConfig(s, "w100", 101)
	}
}
