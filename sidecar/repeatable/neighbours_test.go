package repeatable_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Guards against frames that grow for entries that have not asked for what runs beside their tasks, and against an entry
// that has asked and is not told.
func TestNeighboursAreReportedOnRequest(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	launch := func(number uint64, name, kind, input string, wants bool) {
		fx.start(wire.Launch_builder{
			Job: number, Name: name, Input: input, ExpectedMs: 50, Kind: kind, WantsNeighbours: wants,
		}, 1)
	}
	ended := func() *wire.Ended {
		f := fx.nextFrame()
		is.True(f.HasEnded())

		return f.GetEnded()
	}

	launch(1, "quiet", "scan", "30ms", false)
	m := ended()
	is.Equal(m.GetLoadPermille(), uint32(0))
	is.Equal(len(m.GetNeighbours()), 0)

	launch(2, "noise", "noisy", leasedbackend.Hang, true)
	fx.await("the task runs", fx.hasRunning(1))
	launch(3, "observed", "scan", "30ms", true)
	m = ended()
	is.True(m.GetLoadPermille() > 0)
	is.Equal(len(m.GetNeighbours()), 1)
	is.Equal(m.GetNeighbours()[0].GetKind(), "noisy")
	is.Equal(m.GetNeighbours()[0].GetSharePermille(), uint32(1000))

	// Earlier reports may still be waiting.
	kinds := []string{}
	for len(kinds) != 1 {
		kinds = fx.awaitOpen(true).GetRunningKinds()
	}

	is.Equal(kinds, []string{"noisy"})
}
