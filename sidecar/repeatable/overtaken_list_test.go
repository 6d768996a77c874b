package repeatable_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// overtakenListBackend answers a call with a list that it has sent before, as if later answers had overtaken that one. It does
// so while the second start waits.
type overtakenListBackend struct {
	*leasedbackend.Server

	mu     sync.Mutex
	starts int
	// list is the first list with an ended run.
	list repeatable.WatchResult
	// replays is true once the list is to be sent again, replayed once it was. handled is closed by the call after that.
	replays, replayed bool
	handled           chan struct{}
	once              sync.Once
}

func (b *overtakenListBackend) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	b.mu.Lock()
	b.starts++
	isSecond := b.starts == 2
	b.replays = b.replays || isSecond
	b.mu.Unlock()

	if isSecond {
		<-b.handled
	}

	return b.Server.Start(ctx, r, input, p)
}

func (b *overtakenListBackend) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	b.mu.Lock()

	switch {
	case b.replayed:
		b.once.Do(func() { close(b.handled) })
	case b.replays:
		b.replayed = true
		list := b.list
		b.mu.Unlock()

		return list, nil
	}

	b.mu.Unlock()

	const shortWait = 10 * time.Millisecond

	result, err := b.Server.Watch(ctx, lastEnd, min(wait, shortWait), p)

	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.list.Ended()) == 0 {
		b.list = result
	}

	return result, err
}

// Guards against the end of an earlier run that is taken for that of a later one, which may have the same number until the
// backend server rejects it: answers that overtake each other list an end twice.
func TestEndCountsOnce(t *testing.T) {
	is := is.New(t)
	b := &overtakenListBackend{Server: leasedbackend.New("i-1"), handled: make(chan struct{})}
	fx := newFixtureCalling(t, b.Server, b)
	fx.announce(1, false)
	fx.awaitOpen(true)

	fx.startJob(1, "job", leasedbackend.Fail, 1)
	is.Equal(fx.nextResult(), wire.Result_RESULT_FAILED)

	fx.startJob(2, "job", leasedbackend.Hang, 1)
	fx.await("the task runs again", fx.hasRunning(1))
}
