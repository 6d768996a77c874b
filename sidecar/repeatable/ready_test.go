package repeatable_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// recordingBackend records how long the calls to Watch may wait.
type recordingBackend struct {
	*leasedbackend.Server

	waits chan time.Duration
}

func (b *recordingBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	select {
	case b.waits <- wait:
	default:
	}

	return b.Server.Watch(ctx, lastEnd, wait, p)
}

// Guards against a backend server that stays closed after each start of its sidecar or of itself for as long as an idle
// call waits: after a loss of power, that is when all callers return.
func TestFirstWatchDoesNotWait(t *testing.T) {
	is := is.New(t)
	b := &recordingBackend{leasedbackend.New("i-1"), make(chan time.Duration, 16)}
	w := repeatable.NewWorker("sidecar", b, repeatable.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())

	w.Announce(t.Context(), succession.NewAnnouncement(
		b.Instance(), "service", "domain", b.StartedAtMS(), 1, job.NewSize(4*core, 1024), nil, false))

	for n := range 2 {
		select {
		case wait := <-b.waits:
			is.Equal(wait == 0, n == 0) // only the first call does not wait
		case <-time.After(waitTimeout):
			t.Fatalf("the backend server was not watched within %s", waitTimeout)
		}
	}
}
