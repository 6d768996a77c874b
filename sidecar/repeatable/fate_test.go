package repeatable_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// metric returns the value of a counter or gauge of the sidecar, zero if there is none.
func (fx *fixture) metric(name string) int64 {
	switch m := fx.registry.Get(name).(type) {
	case gometrics.Counter:
		return m.Count()
	case gometrics.Gauge:
		return m.Value()
	default:
		return 0
	}
}

// Guards against capacity that is occupied by a task of unknown fate while no metric shows it.
func TestUnknownFateIsMeasured(t *testing.T) {
	is := is.New(t)
	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		ctx context.Context, _ int64, _ func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		<-ctx.Done()

		return repeatable.StartAnswer{}, ctx.Err()
	}
	fx := newLossyFixture(t, b)
	is.Equal(fx.metric("tasks_fate_unknown"), int64(0))
	is.True(fx.metric(`start_tries_total{result="started"}`) >= measuredJobs)

	fx.start(wire.Launch_builder{Job: measuredJobs + 1, Name: "lossy", Input: "1ms", ExpectedMs: 2000}, 1)
	fx.await("a task of unknown fate is shown", func() bool {
		return fx.metric("tasks_fate_unknown") == 1 && fx.metric("tasks_fate_unknown_ms") > 0
	})

	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(fx.metric("tasks_fate_unknown"), int64(0))
	is.Equal(fx.metric("tasks_fate_unknown_ms"), int64(0))
	is.True(fx.metric(`start_tries_total{result="unanswered"}`) > 0)
	is.True(fx.metric(`stop_tries_total{result="stopped"}`) > 0)
	is.True(fx.metric(`watch_tries_total{result="listed"}`) > 0)
}

// Guards against stops without an answer that no metric shows, and against a task whose stop may not have been carried out
// and that does not count as one of unknown fate.
func TestUnansweredStopIsMeasured(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	// The task is stopped once it is overdue. Its lease is renewed meanwhile.
	fx.backend.SetFault(leasedbackend.FaultNoStop)
	fx.startJob(1, "overdue", leasedbackend.Hang, 1)
	fx.await("the stop is shown as unanswered", func() bool {
		return fx.metric(`stop_tries_total{result="unanswered"}`) > 0 && fx.metric("tasks_fate_unknown") == 1
	})

	fx.backend.SetFault(leasedbackend.FaultNone)
	is.Equal(fx.nextResult(), wire.Result_RESULT_LOST)
	is.Equal(fx.metric("tasks_fate_unknown"), int64(0))
}
