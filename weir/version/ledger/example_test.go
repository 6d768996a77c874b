package ledger_test

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Two operators publish on the same base version: the first record in the log takes effect, the second one is void for
// every reader.
func ExampleReplica() {
	var replica ledger.Replica

	now := time.Unix(1000, 0)

	a, err := agreement.Parse([]byte(`{"agreement": "workshop", "members": [], "kinds": []}`))
	if err != nil {
		fmt.Println(err)

		return
	}

	w := wire.Worker_builder{Name: "worker-1", Incarnation: 7, Slots: 64}.Build()

	replica.ApplyLog([]ledger.Record{
		ledger.NewRecord(0, now, ledger.WorkerJoinedRecord(w)),
		ledger.NewRecord(1, now, ledger.PublicationRecord(0, []byte("nonce 1"), "anna", a)),
		ledger.NewRecord(2, now, ledger.PublicationRecord(0, []byte("nonce 2"), "ben", a)),
	}, 3)

	state := replica.State()
	operator, _ := state.Published()
	fmt.Println("position", state.Position(), "version", state.Version(), "by", operator)

	inForce, known := state.PublicationOutcome([]byte("nonce 2"))
	fmt.Println("second publication:", inForce, known)

	for _, w := range state.Workers() {
		fmt.Println(w.Name(), w.Slots(), "slots, joined at", w.JoinedOffset())
	}
	// Output:
	// position 3 version 1 by anna
	// second publication: false true
	// worker-1 64 slots, joined at 0
}
