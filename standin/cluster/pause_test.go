package cluster_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// Guards against a pause that returns while threads of the process still run and answer: the signal takes effect only when
// each thread is scheduled again, which takes a while on a busy machine.
func TestPauseStopsAllThreads(t *testing.T) {
	const pauses = 200

	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)

	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))

	process := c.Processes()[0]

	for range pauses {
		_, err := c.Log().Counts(ctx) // keeps its threads busy
		is.NoErr(err)
		is.NoErr(process.Pause())
		is.True(process.Paused())
		is.NoErr(process.Resume())
	}
}
