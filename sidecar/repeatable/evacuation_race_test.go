package repeatable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// Guards against a request that waited for capacity when the evacuation came and is granted all the same, in the evacuated
// domain or after its end, when the entry has long placed its tasks elsewhere.
func TestWaitingRequestIsDroppedByTheEvacuation(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.startLong(4)
	fx.await("all cores are in use", fx.hasRunning(4))
	fx.request(2, 1)

	fx.evacuate(5, "domain")
	fx.awaitOpen(false)
	fx.entry.Send(wire.Frame_builder{Halt: wire.Halt_builder{Job: 1}.Build()}.Build())

	for range 4 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED) // and no reservation before
	}

	fx.evacuate(6)
	fx.awaitOpen(true)
	fx.launch(2, "late", 1) // frames keep their order, so a reservation would come before the rejection
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("late", 0)), 0)
}

// evacuator evacuates and ends that at once.
type evacuator struct {
	worker   *repeatable.Worker
	position int64
	done     chan struct{}
}

func (e *evacuator) run() {
	defer close(e.done)

	e.worker.AdoptEvacuations(evacuation.NewValue(e.position, []string{"domain"}), "test")
	e.worker.AdoptEvacuations(evacuation.NewValue(e.position+1, nil), "test")
}

// Guards against a launch that is rejected although its start was sent, when the evacuation comes between the decision to start
// and the sending: its entry would run the task elsewhere at the same time. Each launch is either rejected and never starts, or
// runs.
func TestEvacuationBetweenLaunchAndStart(t *testing.T) {
	const rounds = 150

	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	results := map[wire.Result]int{}

	for n := range rounds {
		name := fmt.Sprintf("race-%d", n)
		fx.reserve(uint64(n+2), 1)

		e := &evacuator{fx.worker, int64(2*n + 1), make(chan struct{})}
		fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
			Job: uint64(n + 2), Name: name, Indices: []uint32{0}, Input: "1ms", ExpectedMs: 1,
		}.Build()}.Build())

		time.Sleep(time.Duration(n) * 2 * time.Microsecond)

		go e.run()
		<-e.done

		result := fx.nextResult()
		results[result]++

		starts := fx.backend.StartCount(repeatable.NewTask(name, 0))
		is.True(result == wire.Result_RESULT_DONE && starts == 1 || result == wire.Result_RESULT_REJECTED && starts == 0)
	}

	t.Logf("results: %v", results)

	for n := range rounds {
		is.True(fx.backend.StartCount(repeatable.NewTask(fmt.Sprintf("race-%d", n), 0)) <= 1)
	}

	is.True(fx.rejectedStarts() <= int64(results[wire.Result_RESULT_REJECTED])) // others had lost their reservation
}
