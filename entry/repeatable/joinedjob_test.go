package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against a caller that is told that its job never runs, while the job goes on for another caller and starts.
func TestJobThatGoesOnIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	r := f.attachRaw(e, 1)
	r.report(8)
	f.await("the backend server is known", func() bool { return e.OpenServers(service) == 1 })

	first := f.submit(t.Context(), e, newJob("joined", "50ms", 1))
	reserve := r.next().GetReserve()

	hasty := job.New("joined", "50ms", 1, job.NewSize(core, 1), 50*time.Millisecond, time.Millisecond,
		job.NewPolicy("kind", service, 1, 3, 1.6, relaxedTarget), job.Constraints{})
	outcome := f.submit(t.Context(), e, hasty).wait(t)

	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: reserve.GetJob(), Tasks: 1}.Build()}.Build())
	is.Equal(len(r.next().GetLaunch().GetIndices()), 1)

	_, refused := outcome.(job.Refused)
	is.True(!refused)

	r.send(wire.Frame_builder{Ended: wire.Ended_builder{
		Job: reserve.GetJob(), Result: wire.Result_RESULT_DONE, RunMs: 50,
	}.Build()}.Build())
	is.Equal(first.wait(t), job.Outcome(job.Completed{}))
}
