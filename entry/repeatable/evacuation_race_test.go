package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// domainReporter keeps the session of a raw sidecar alive until it ends.
type domainReporter struct {
	sidecar *rawSidecar
	domain  string
}

func (r *domainReporter) run() {
	for r.sidecar.t.Context().Err() == nil {
		r.sidecar.reportFrom(r.domain, 0, 0)
		time.Sleep(100 * time.Millisecond)
	}
}

// newWaitingJobFixture returns a fixture with a raw sidecar in the domain b, and a real one in the domain a that has no room for
// large tasks, so that they are placed at the raw one.
func newWaitingJobFixture(t *testing.T) (*fixture, *rawSidecar) {
	t.Helper()

	f := newDomainsFixture(t, 1, "a")
	f.submit(t.Context(), f.entries[0], newJob("running", "2s", 3))
	f.await("the domain a has no room for large tasks", func() bool { return len(f.sidecars[0].backend.Running()) == 3 })

	r := f.attachRaw(f.entries[0], 1)
	reporter := &domainReporter{r, "b"}

	go reporter.run()

	f.await("both backend servers are known", func() bool { return f.entries[0].OpenServers(service) == 2 })

	return f, r
}

// nextReserve returns the next request for reservations.
func (r *rawSidecar) nextReserve() *wire.Reserve {
	r.t.Helper()

	for {
		if f := r.next(); f == nil || f.HasReserve() {
			return f.GetReserve()
		}
	}
}

// nextLaunch returns the next launch.
func (r *rawSidecar) nextLaunch() *wire.Launch {
	r.t.Helper()

	for {
		if f := r.next(); f == nil || f.HasLaunch() {
			return f.GetLaunch()
		}
	}
}

// Guards against a job that waits for capacity in a domain when its evacuation comes, and is launched on a reservation that was
// granted before the sidecar knew: nothing is launched, and the job runs elsewhere.
func TestReservationThatCrossesTheEvacuationIsNotUsed(t *testing.T) {
	is := is.New(t)
	f, r := newWaitingJobFixture(t)
	e := f.entries[0]

	p := f.submit(t.Context(), e, newLargeJob("waiting", ""))
	number := r.nextReserve().GetJob()

	e.evacuate(1, "b")
	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: number, Tasks: 1}.Build()}.Build())

	is.Equal(p.wait(t), job.Completed{})
	is.Equal(f.sidecars[0].backend.StartCount(repeatable.NewTask("waiting", 0)), 1)

	for hasEvacuations := false; !hasEvacuations; {
		frame := r.next()
		is.True(!frame.HasLaunch())

		hasEvacuations = frame.HasEvacuations()
	}

	for {
		select {
		case frame := <-r.frames:
			is.True(!frame.HasLaunch())

			continue
		default:
		}

		break
	}
}

// Guards against a task that is lost or run twice when its domain is evacuated between the decision to start it and the sending
// of the start: the sidecar knows of the evacuation first and rejects the launch, and the task runs elsewhere once.
func TestLaunchThatCrossesTheEvacuationRunsElsewhere(t *testing.T) {
	is := is.New(t)
	f, r := newWaitingJobFixture(t)
	e := f.entries[0]

	p := f.submit(t.Context(), e, newLargeJob("crossing", ""))
	number := r.nextReserve().GetJob()
	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: number, Tasks: 1}.Build()}.Build())

	is.Equal(len(r.nextLaunch().GetIndices()), 1)

	// The entry learns of the evacuation from the sidecar, which rejects the launch.
	r.send(wire.Frame_builder{Evacuations: wire.Evacuations_builder{Position: 1, Domains: []string{"b"}}.Build()}.Build())
	r.send(wire.Frame_builder{Ended: wire.Ended_builder{
		Job: number, Result: wire.Result_RESULT_REJECTED,
	}.Build()}.Build())

	is.Equal(p.wait(t), job.Completed{})
	is.Equal(f.sidecars[0].backend.StartCount(repeatable.NewTask("crossing", 0)), 1)
}
