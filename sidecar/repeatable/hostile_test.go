package repeatable_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/hostileframes"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
)

// Guards against a sidecar that ends, hangs or loses its capacity because of one frame with unexpected values.
func TestHostileFrames(t *testing.T) {
	const (
		seed   = 20261204
		frames = 4000
	)

	t.Logf("seed %d", seed)

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announce(1, false)
	fx.awaitOpen(true)

	for range frames {
		select {
		case <-fx.entry.Done():
			fx.attach()
		case <-fx.frames:
		default:
		}

		fx.entry.Send(hostileframes.New(random))
	}

	// A session that has ended takes its work with it.
	fx.entry.End("test")
	fx.attach()
	fx.await("all tasks have ended", func() bool { return fx.worker.Running() == 0 && len(fx.backend.Running()) == 0 })

	for deadline := time.Now().Add(waitTimeout); ; {
		if r := fx.awaitOpen(true); r.GetFreeCpu() == r.GetCapacityCpu() {
			break
		}

		is.True(time.Now().Before(deadline)) // the capacity was not free again
	}

	fx.startJob(1<<40, "after", "5ms", 2)
}
