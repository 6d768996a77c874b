package repeatable_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// evacuate tells the sidecar which domains are evacuated at a position.
func (fx *fixture) evacuate(position int64, domains ...string) {
	fx.entry.Send(evacuation.NewValue(position, domains).Frame())
}

func (fx *fixture) rejectedStarts() int64 {
	c, ok := fx.registry.Get(metrics.Name("starts_rejected_total", "reason", "evacuated")).(gometrics.Counter)
	if !ok {
		return 0
	}

	return c.Count()
}

// Guards against a start in an evacuated domain for an entry that does not know of the evacuation, against running tasks
// that are stopped, and against a sidecar that stays closed.
func TestEvacuatedSidecarStartsNothing(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.launchOne(1, 0, 0, "")
	fx.await("the task runs", fx.hasRunning(1))
	fx.reserve(2, 1)

	fx.evacuate(5, "other", "domain")
	fx.awaitOpen(false)

	// The reservation was dropped, and the entry launches on it all the same.
	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: 2, Name: "late", Indices: []uint32{0}, Input: leasedbackend.Hang, ExpectedMs: longMS,
	}.Build()}.Build())
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("late", 0)), 0)
	is.Equal(fx.rejectedStarts(), int64(1))
	is.Equal(len(fx.backend.Running()), 1)

	fx.evacuate(4) // an older value
	fx.evacuate(7, "other")
	fx.awaitOpen(true)
	fx.launchOne(3, 1, 0, "")
	fx.await("both tasks run", fx.hasRunning(2))
}

// Guards against an age of a sidecar's value that goes on although an entry says that the store confirms it, and against one
// that takes a message for the confirmation.
func TestKeepAlivesConfirmEvacuations(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	age := func() time.Duration {
		_, age := fx.worker.Evacuations()

		return age
	}

	fx.evacuate(5, "domain")
	fx.await("the value is known", func() bool { v, _ := fx.worker.Evacuations(); return v.Position() == 5 })
	is.Equal(age(), time.Duration(0)) // the message had no age

	for _, want := range []time.Duration{time.Hour, time.Minute} {
		fx.entry.Send(wire.Frame_builder{KeepAlive: wire.KeepAlive_builder{
			EvacuationsAge: uint32(want / (100 * time.Millisecond)),
		}.Build()}.Build())
		fx.await("the age is known", func() bool { return age() >= want && age() < want+waitTimeout })
	}
}

// Guards against a sidecar that uses the domain of its own settings although its backend server has announced another one,
// and against one that starts tasks before its backend server is known.
func TestDomainOfTheBackendServerCounts(t *testing.T) {
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.worker.SetFailureDomain("setting")
	fx.evacuate(1, "setting")
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.evacuate(2, "domain")
	fx.awaitOpen(false)
}

// Guards against an entry that learns nothing from a sidecar: one that was restarted while the store is down has to know of
// the evacuation before it can place anything.
func TestEntryThatConnectsLearnsOfEvacuationsFirst(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)
	fx.evacuate(5, "domain")
	fx.awaitOpen(false)
	fx.entry.End("restarted")
	fx.attach()

	select {
	case m := <-fx.evacuations:
		is.Equal(evacuation.Decode(m), evacuation.NewValue(5, []string{"domain"}))
	case <-time.After(waitTimeout):
		is.Fail() // no evacuations, or not as the first frame
	}
}

// Guards against another try of a start that got no answer once the domain is evacuated, against such a task that runs on,
// and against its report before its fate is known.
func TestUnansweredStartIsStoppedInAnEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	called, proceed := make(chan struct{}, 100), make(chan struct{})

	b := &lossyBackend{Server: leasedbackend.New("i-1")}
	b.start = func(
		_ context.Context, _ int64, carryOut func() (repeatable.StartAnswer, error),
	) (repeatable.StartAnswer, error) {
		called <- struct{}{}

		<-proceed

		_, _ = carryOut()

		return repeatable.StartAnswer{}, errNoAnswer
	}

	fx := newLossyFixture(t, b)
	fx.startJob(1000, "lossy", leasedbackend.Hang, 1)
	<-called
	fx.evacuate(5, "domain")
	fx.awaitOpen(false)

	tries := b.tries.Load()

	close(proceed)
	is.Equal(fx.nextResult(), wire.Result_RESULT_STOPPED)
	is.Equal(len(b.Running()), 0)
	is.Equal(b.tries.Load(), tries)
	is.Equal(fx.rejectedStarts(), int64(0)) // it may have run
}
