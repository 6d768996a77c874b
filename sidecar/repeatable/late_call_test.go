package repeatable_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
)

// errStopUnanswered is returned by a stop that is neither carried out nor answered.
var errStopUnanswered = errors.New("no answer to a stop")

// unstoppableBackend carries out no stop.
type unstoppableBackend struct{ *leasedbackend.Server }

func (b *unstoppableBackend) Stop(context.Context, repeatable.Run, repeatable.Permit) error {
	return errStopUnanswered
}

// Guards against a run of an earlier sidecar that goes on after its entry has placed the task again: its stops are not
// carried out, and the new sidecar renews its lease.
func TestRunOfEarlierSidecarIsNotKeptAlive(t *testing.T) {
	is := is.New(t)
	b := &unstoppableBackend{leasedbackend.New("i-1")}
	fx := newFixtureCalling(t, b.Server, b)

	w, err := b.Watch(t.Context(), 0, 0, repeatable.NewPermit("i-1", 1, 0))
	is.NoErr(err)
	_, err = b.Start(t.Context(), repeatable.NewRun(repeatable.NewTask("job", 0), 1), leasedbackend.Hang,
		repeatable.NewPermit("i-1", 1, w.Clock()+200*time.Millisecond))
	is.NoErr(err)

	fx.announce(1, false)
	fx.await("the lease of the run ends", fx.hasRunning(0))
	fx.awaitOpen(true)
}
