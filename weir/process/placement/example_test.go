package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
)

// The less loaded of two workers is chosen.
func ExampleChoose() {
	var (
		workers fleet.Fleet
		now     = time.Unix(1000, 0)
	)

	busy := workers.Connect(wire.Worker_builder{Name: "busy", Incarnation: 1, Slots: 8}.Build(), now)
	workers.Connect(wire.Worker_builder{Name: "idle", Incarnation: 2, Slots: 8}.Build(), now)
	workers.UpdateRegistrations(func(string, uint64) (int64, bool) { return 0, true })
	workers.Report(busy, wire.Load_builder{Sequence: 1, Slots: 8, HeldSlots: 6}.Build(), now)

	task := placement.NewTask("check", "blades", 1, 0, 10)
	choice := placement.Choose(placement.TwoChoices{}, task, workers.View().Workers(), now, rand.New(rand.NewPCG(1, 2)))

	fmt.Println(choice.Worker().Name(), choice.Reason(), choice.Candidates())
	// Output:
	// idle less_loaded 2
}
