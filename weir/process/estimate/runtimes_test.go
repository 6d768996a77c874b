package estimate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/estimate"
)

// Guards against predictions from too few run times, and from the run times of another kind.
func TestRunTimes(t *testing.T) {
	is := is.New(t)
	now := time.Now()

	var r estimate.RunTimes

	is.Equal(r.P90("fit", now), time.Duration(0))

	for i := range 19 {
		r.Observe("fit", time.Duration(i+1)*10*time.Millisecond)
	}

	is.Equal(r.P90("fit", now), time.Duration(0))

	for i := 19; i < 100; i++ {
		r.Observe("fit", time.Duration(i+1)*10*time.Millisecond)
	}

	is.True(r.P90("fit", now) > 850*time.Millisecond && r.P90("fit", now) < 950*time.Millisecond)
	is.Equal(r.P90("scan", now), time.Duration(0))
}
