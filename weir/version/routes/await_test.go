package routes_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// Guards against callers that wait on after the first version has come, or for ever if none comes.
func TestFirstVersionEndsTheWait(t *testing.T) {
	is := is.New(t)

	var c routes.Current

	expired, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(c.AwaitTable(expired), nil)

	const callers = 20

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	received := make(chan uint64, callers)

	for range callers {
		w := &waiter{&c, received}
		go w.run(ctx)
	}

	c.Update(routes.NewTable(7, nil, nil, 0))
	c.Update(routes.NewTable(8, nil, nil, 0))

	for range callers {
		is.True(<-received >= 7)
	}

	is.Equal(c.AwaitTable(expired).Version(), uint64(8))
}

type waiter struct {
	current  *routes.Current
	received chan<- uint64
}

func (w *waiter) run(ctx context.Context) {
	var version uint64
	if t := w.current.AwaitTable(ctx); t != nil {
		version = t.Version()
	}

	w.received <- version
}
