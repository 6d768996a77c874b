package repeatable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// newLimitedJob returns a job that allows one of its tasks on a backend server.
func newLimitedJob(id, input string, tasks int) job.Job {
	j := newJobWithTarget(id, input, tasks, 1, 100, relaxedTarget)

	return job.New(id, input, tasks, j.Size(), j.Estimate(), callerTimeout, j.Policy(), job.NewConstraints("", "", 1))
}

// Guards against a task that is placed again, after it has failed elsewhere, beside another task of its job although the
// job allows only one on a backend server.
func TestTaskThatIsPlacedAgainKeepsTheLimitOnOneServer(t *testing.T) {
	const jobs, tasks = 20, 3

	is := is.New(t)
	f := newFixture(t, 1, 4, 16)
	f.sidecars[0].backend.SetFault(leasedbackend.FaultFailing)

	for n := range jobs {
		p := f.submit(t.Context(), f.entries[0], newLimitedJob(fmt.Sprintf("job-%d", n), "60ms", tasks))
		is.Equal(p.wait(t), job.Outcome(job.Completed{}))
	}

	for n := range jobs {
		is.Equal(f.peakOnOneServer(fmt.Sprintf("job-%d", n)), 1)
	}
}

// peakOnOneServer returns the largest number of tasks of a job that ran on one backend server at the same time.
func (f *fixture) peakOnOneServer(id string) int {
	peak := 0
	for _, s := range f.sidecars {
		peak = max(peak, s.backend.PeakOfJob(id))
	}

	return peak
}

// Guards against the same for tasks that wait because their job has more of them than its limit allows at once.
func TestTasksThatWaitKeepTheLimitOnOneServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 2, 16)

	p := f.submit(t.Context(), f.entries[0], newLimitedJob("job", "100ms", 5))
	is.Equal(p.wait(t), job.Outcome(job.Completed{}))
	is.Equal(f.peakOnOneServer("job"), 1)
}

// Guards against a task that is placed beside one that may still run: the session with its sidecar was lost, and the
// sidecar has connected again.
func TestTaskAtLostSidecarCountsForTheLimitOnOneServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	r := f.attachRaw(e, 1)
	r.report(8)
	f.await("the backend server is known", func() bool { return e.OpenServers(service) == 1 })

	f.submit(t.Context(), e, newLimitedJob("job", "2s", 2))

	reserve := r.next().GetReserve()
	is.Equal(reserve.GetTasks(), uint32(1))
	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: reserve.GetJob(), Tasks: 1}.Build()}.Build())
	is.Equal(len(r.next().GetLaunch().GetIndices()), 1)

	lostAt := time.Now()
	_ = r.node.Close()

	f.await("the session has ended", func() bool { return e.OpenServers(service) == 0 })

	again := f.attachRaw(e, 1)
	is.True(again.nextWhileReporting(8).HasReserve())
	is.True(time.Since(lostAt) >= lease.MaxRunAfterLoss)
}

// nextWhileReporting returns the next frame, and keeps the session alive by reports of free cores.
func (r *rawSidecar) nextWhileReporting(free int64) *wire.Frame {
	r.t.Helper()

	tick := time.NewTicker(session.KeepAliveInterval)
	defer tick.Stop()

	timeout := time.After(testTimeout)

	for {
		r.report(free)

		select {
		case f := <-r.frames:
			return f
		case <-tick.C:
		case <-timeout:
			r.t.Fatalf("no frame arrived within %s", testTimeout)
		}
	}
}
