package cluster_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// Guards against a Pause that returns while threads of the process still run and serve requests. SIGSTOP takes effect
// on a thread only when it is next scheduled, which takes some time on a busy machine.
func TestPauseStopsAllThreads(t *testing.T) {
	const pauses = 200

	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)

	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))

	process := c.Processes()[0]

	for range pauses {
		_, err := c.Log().Counts(ctx) // a request keeps the threads of the process busy
		is.NoErr(err)
		is.NoErr(process.Pause())
		is.True(process.Paused())
		is.NoErr(process.Resume())
	}
}
