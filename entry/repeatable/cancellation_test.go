package repeatable_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against a cancelled job that runs because a copy of its submission arrives, at any entry.
func TestCopyOfACancelledJobRunsNothing(t *testing.T) {
	const tasks = 2

	is := is.New(t)
	f := newFixture(t, 2, 2, 16)
	j := newJobWithEstimate("job", leasedbackend.Hang, callerTimeout, tasks)

	p := f.submit(t.Context(), f.entries[0], j)
	f.await("the tasks run", func() bool { return f.running("job") == tasks })

	is.True(f.entries[0].Cancel("job"))
	is.Equal(p.wait(t), job.Outcome(job.Cancelled{}))
	f.await("the other entry knows", func() bool { return f.entries[1].CancelledJobs() == 1 })

	for _, e := range f.entries {
		is.Equal(f.submit(t.Context(), e, j).wait(t), job.Outcome(job.Cancelled{}))
	}

	f.await("no task runs", func() bool { return f.running("job") == 0 })

	for index := range uint32(tasks) {
		is.Equal(f.startCount("job", index), 1)
	}
}

// Guards against a job that runs on after its cancelling was acknowledged, by an entry that does not have it.
func TestJobIsCancelledThroughAnotherEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 2, 16)
	p := f.submit(t.Context(), f.entries[0], newJobWithEstimate("job", leasedbackend.Hang, callerTimeout, 2))
	f.await("the tasks run", func() bool { return f.running("job") == 2 })

	is.True(!f.entries[1].Cancel("job"))
	is.Equal(p.wait(t), job.Outcome(job.Cancelled{}))
	f.await("no task runs", func() bool { return f.running("job") == 0 })
}

// Guards against a submission that overtakes nothing: its cancelling came first, through another entry.
func TestCancellationThatComesFirstKeepsTheJobFromRunning(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 1, 16)

	is.True(!f.entries[1].Cancel("job"))
	f.await("the other entry knows", func() bool { return f.entries[0].CancelledJobs() == 1 })
	is.Equal(f.submit(t.Context(), f.entries[0], newJob("job", "5ms", 1)).wait(t), job.Outcome(job.Cancelled{}))
	is.Equal(f.startCount("job", 0), 0)
}

// Guards against work that is done twice for a copy of a submission that arrives after its job has ended.
func TestCopyOfAnEndedJobRunsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 1, 16)

	for _, c := range []struct {
		job     job.Job
		outcome job.Outcome
		starts  int
	}{
		{newJob("done", "5ms", 1), job.Completed{}, 1},
		{newJobWithTarget("failing", leasedbackend.Fail, 1, 1, 2, relaxedTarget), job.Failed{}, 2},
	} {
		for range 3 {
			is.Equal(f.submit(t.Context(), f.entries[0], c.job).wait(t), c.outcome)
		}

		is.Equal(f.startCount(c.job.ID(), 0), c.starts)
	}
}

// Guards against a cancellation that is lost with the sessions over which it was sent: a sidecar that connects later has to
// learn of it.
func TestSidecarThatConnectsLearnsOfCancelledJobs(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	f.entries[0].Cancel("job")

	all := jobmemory.DecodeCancellations(f.attachRaw(f.entries[0], 1).next().GetCancellations())
	is.Equal(len(all), 1)
	is.Equal(all[0].ID(), "job")
}
