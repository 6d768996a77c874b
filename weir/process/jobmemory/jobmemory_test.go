package jobmemory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against a copy of a submission that runs a job again which has ended, and against one that is refused a job that may
// run.
func TestOutcomesAreRemembered(t *testing.T) {
	is := is.New(t)

	var e jobmemory.Ended

	now := time.Hour
	e.Record("completed", job.Completed{}, now)
	e.Record("failed", job.Failed{}, now)
	e.Record("refused", job.NewRefused("full", 0), now)
	e.Record("interrupted", job.NewInterrupted("lost"), now)
	is.Equal(e.Len(), 2)

	o, ok := e.Outcome("failed", now+jobmemory.EndedAge)
	is.True(ok)
	is.Equal(o, job.Outcome(job.Failed{}))

	for _, id := range []string{"refused", "interrupted", "unknown"} {
		_, ok := e.Outcome(id, now)
		is.True(!ok)
	}

	_, ok = e.Outcome("failed", now+jobmemory.EndedAge+1)
	is.True(!ok)
}

// Guards against a memory that grows: by jobs, by old ones, or by long ids.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)

	var (
		e jobmemory.Ended
		c jobmemory.Cancelled
	)

	now := time.Hour

	for n := range 2 * jobmemory.MaxEnded {
		id := fmt.Sprint(n)
		e.Record(id, job.Completed{}, now)
		c.Record(jobmemory.NewCancellation(id, 0), now)
	}

	is.Equal(e.Len(), jobmemory.MaxEnded)
	is.Equal(c.Len(), jobmemory.MaxCancelled)
	is.Equal(len(c.All(now)), jobmemory.MaxCancelled)

	_, ok := e.Outcome(fmt.Sprint(2*jobmemory.MaxEnded-1), now)
	is.True(ok) // the newest ones stay

	now += time.Hour
	e.Record("later", job.Completed{}, now)
	is.True(c.Record(jobmemory.NewCancellation("later", 0), now))
	is.Equal(e.Len(), 1)
	is.Equal(c.Len(), 1)

	long := strings.Repeat("x", 1000)
	e.Record(long, job.Completed{}, now)
	is.True(!c.Record(jobmemory.NewCancellation(long, 0), now))
	is.Equal(e.Len(), 1)
}

// Guards against a cancellation that is passed on for ever, or forgotten earlier the more often it is passed on.
func TestCancellationKeepsItsAge(t *testing.T) {
	is := is.New(t)

	var first, second jobmemory.Cancelled

	now := time.Hour
	is.True(first.Record(jobmemory.NewCancellation("a", 0), now))
	is.True(!first.Record(jobmemory.NewCancellation("a", 0), now)) // known

	now += 40 * time.Second
	is.Equal(first.All(now), []jobmemory.Cancellation{jobmemory.NewCancellation("a", 40*time.Second)})
	is.True(second.Record(first.All(now)[0], now))

	is.True(second.Contains("a", now+20*time.Second))
	is.True(!second.Contains("a", now+21*time.Second))
	is.Equal(len(second.All(now+21*time.Second)), 0)
	is.True(!second.Record(jobmemory.NewCancellation("b", jobmemory.CancelledAge+1), now))
}

// Guards against limits of the settings that are not kept.
func TestLimitsOfTheSettingsAreKept(t *testing.T) {
	is := is.New(t)

	var (
		e jobmemory.Ended
		c jobmemory.Cancelled
	)

	e.SetLimit(jobmemory.NewLimit(2, time.Second))
	c.SetLimit(jobmemory.NewLimit(0, 2*time.Second))

	now := time.Hour

	for _, id := range []string{"a", "b", "c"} {
		e.Record(id, job.Completed{}, now)
		c.Record(jobmemory.NewCancellation(id, 0), now)
	}

	is.Equal(e.Len(), 2)
	is.Equal(c.Len(), 3)

	_, ok := e.Outcome("c", now+time.Second+1)
	is.True(!ok)
	is.True(c.Contains("c", now+2*time.Second))
	is.True(!c.Contains("c", now+2*time.Second+1))
}
