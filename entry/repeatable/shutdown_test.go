package repeatable_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// Guards against a refusal whose cause cannot be found afterwards: an entry that is shutting down refused the job.
func TestRefusalDuringShutdownIsLogged(t *testing.T) {
	is := is.New(t)

	var out bytes.Buffer

	d := repeatable.NewDispatcher(&routes.Current{}, nil, zerolog.New(&out))
	d.RefuseNewJobs()

	_, refused := d.Submit(t.Context(), newJob("job-7", "5ms", 1)).(job.Refused)
	is.True(refused)
	is.True(strings.Contains(out.String(), `"event":"job_refused","job":"job-7"`))
	is.True(strings.Contains(out.String(), `"reason":"the entry is shutting down"`))
}

// Guards against the refusal of short jobs that an entry which is shutting down could still serve, and against jobs that
// it would have to interrupt.
func TestShortJobsAreServedDuringShutdown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 1, 8)
	e := f.entries[0]

	short := newJobWithTarget("short", "5ms", 1, 1, 3, strictTarget)
	long := newJobWithTarget("long", "9s", 1, 1, 3, strictTarget)

	e.FinishBy(uptime.Now() + 5*time.Second)

	_, refused := f.submit(t.Context(), e, long).wait(t).(job.Refused)
	is.True(refused)
	is.Equal(f.submit(t.Context(), e, short).wait(t), job.Outcome(job.Completed{}))
	is.NoErr(e.Drain(t.Context()))

	e.FinishBy(uptime.Now())

	_, refused = f.submit(t.Context(), e, newJobWithTarget("late", "5ms", 1, 1, 3, strictTarget)).wait(t).(job.Refused)
	is.True(refused)
}
