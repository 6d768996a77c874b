package repeatable_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// labelledSidecar grants every request at once and answers each launch with the end of its tasks after a run time that is
// only stated.
type labelledSidecar struct {
	*rawSidecar

	label  string
	runMS  uint32
	starts atomic.Int64
}

func (s *labelledSidecar) report() {
	s.send(wire.Frame_builder{Room: wire.Room_builder{
		Open: true, Service: service, CapacityCpu: 64 * core, CapacityMemory: 1 << 20, FreeCpu: 64 * core, FreeMemory: 1 << 20,
		Labels: []string{s.label},
	}.Build()}.Build())
}

func (s *labelledSidecar) run() {
	for f := range s.frames {
		switch f.WhichBody() {
		case wire.Frame_Reserve_case:
			s.send(wire.Frame_builder{Reserved: wire.Reserved_builder{
				Job: f.GetReserve().GetJob(), Tasks: f.GetReserve().GetTasks(), FreeCpu: 64 * core,
			}.Build()}.Build())
		case wire.Frame_Launch_case:
			for _, i := range f.GetLaunch().GetIndices() {
				s.starts.Add(1)
				s.send(wire.Frame_builder{Ended: wire.Ended_builder{
					Job: f.GetLaunch().GetJob(), Index: i, Result: wire.Result_RESULT_DONE, RunMs: s.runMS, FreeCpu: 64 * core,
				}.Build()}.Build())
			}

			s.report()
		default:
		}
	}
}

// Guards against an entry that doesn't learn from the ends of tasks, or learns and places tasks as before.
func TestTasksGoToTheFasterKindOfServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]

	var sidecars []*labelledSidecar

	for n := range 6 {
		s := &labelledSidecar{rawSidecar: f.attachRawAs(fmt.Sprint("raw-", n), e, 1), label: "fast", runMS: 60}
		if n%2 == 0 {
			s.label, s.runMS = "slow", 140
		}

		s.report()

		go s.run()

		sidecars = append(sidecars, s)
	}

	f.await("all backend servers are known", func() bool { return e.OpenServers(service) == len(sidecars) })

	// The estimates are the same for all, so they tell nothing.
	submit := func(phase string, jobs int) (slow, fast int64) {
		for n := range jobs {
			p := f.submit(t.Context(), e, newJob(fmt.Sprint(phase, n), "100ms", 2))
			is.Equal(p.wait(t), job.Outcome(job.Completed{}))
		}

		for n, s := range sidecars {
			if n%2 == 0 {
				slow += s.starts.Swap(0)
			} else {
				fast += s.starts.Swap(0)
			}
		}

		return slow, fast
	}

	slow, _ := submit("learning-", 300)
	is.True(slow > 60)

	// Effects are computed four times a second.
	round := 0

	f.await("20 jobs in a row use the faster kind, which is no chance", func() bool {
		round++
		slow, _ := submit(fmt.Sprintf("round-%d-", round), 20)

		return slow == 0
	})

	slow, fast := submit("settled-", 50)
	is.Equal(slow, int64(0))
	is.Equal(fast, int64(100))
}
