package repeatable_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// modelWithPair returns a model that has learned that tasks of kind slowed take twice as long beside those of kind noisy.
func modelWithPair(t *testing.T) *interference.Model {
	t.Helper()

	m, random := &interference.Model{}, rand.New(rand.NewPCG(1, 1))
	now := uptime.Now() - time.Minute

	for n := range 400 {
		run := 50 * math.Exp(0.3*random.NormFloat64())

		var beside []interference.Neighbour

		if n%3 == 0 {
			run *= 2
			beside = append(beside, interference.NewNeighbour("noisy", 1))
		}

		now += 100 * time.Millisecond
		m.Observe(interference.NewObservation("slowed", "s-"+strconv.Itoa(n%4), time.Duration(run*float64(time.Millisecond)),
			interference.NewSurroundings(random.Float64(), beside)), now)
		m.Advance(now)
	}

	is.New(t).Equal(len(m.Pairs()), 1)

	return m
}

func newJobOfKind(id, kind, input string, tasks int) job.Job {
	policy := job.NewPolicy(kind, service, 1, 3, 1.6, relaxedTarget)

	return job.New(id, input, tasks, job.NewSize(core, 1), 50*time.Millisecond, callerTimeout, policy, job.Constraints{})
}

// Guards against tasks that are placed beside a kind that slows them down while another server has room, and against jobs
// that are refused or wait although only that server has room.
func TestInterferingKindsAreKeptApart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 2, 8)
	e := f.entries[0]
	e.SeparateKinds(modelWithPair(t))

	f.submit(t.Context(), e, newJobOfKind("noise", "noisy", leasedbackend.Hang, 1))
	f.await("the other kind runs", func() bool { return f.running("noise") == 1 })

	// The first job is also the one after which the sidecars tell their running kinds.
	is.Equal(f.submit(t.Context(), e, newJobOfKind("first", "slowed", "50ms", 8)).wait(t), job.Outcome(job.Completed{}))
	time.Sleep(time.Second) // reports are sent every 100 ms to an entry that has work

	apart := 0

	for n := range 20 {
		id := "job-" + strconv.Itoa(n)
		p := f.submit(t.Context(), e, newJobOfKind(id, "slowed", "100ms", 4))
		f.await("the tasks run", func() bool { return f.running(id) == 4 })

		for _, s := range f.sidecars {
			jobs := map[string]int{}
			for _, r := range s.backend.Running() {
				jobs[r.Job()]++
			}

			if jobs["noise"] == 0 && jobs[id] == 4 {
				apart++
			}
		}

		is.Equal(p.wait(t), job.Outcome(job.Completed{}))
	}

	// A job that gets no answer within 15 ms requests reservations at the other server, too. Without the pair, half of the
	// jobs are beside the other kind.
	t.Logf("%d of 20 jobs were kept apart", apart)
	is.True(apart >= 16)

	p := f.submit(t.Context(), e, newJobOfKind("wide", "slowed", "300ms", 15))
	f.await("all tasks run at once", func() bool { return f.running("wide") == 15 })
	is.Equal(p.wait(t), job.Outcome(job.Completed{}))
}

// Guards against a deployment that learns or sends anything although it does not ask for it.
func TestNeighboursAreNotAskedForByDefault(t *testing.T) {
	is := is.New(t)

	for _, separate := range []bool{false, true} {
		f := newFixture(t, 1, 0, 0)
		e := f.entries[0]

		if separate {
			e.SeparateKinds(&interference.Model{})
		}

		r := f.attachRaw(e, 1)
		r.report(8)
		f.await("the backend server is known", func() bool { return e.OpenServers(service) == 1 })

		p := f.submit(t.Context(), e, newJobOfKind("job", "slowed", "50ms", 1))
		reserve := r.next().GetReserve()
		r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: reserve.GetJob(), Tasks: 1}.Build()}.Build())
		is.Equal(r.next().GetLaunch().GetWantsNeighbours(), separate)

		r.send(wire.Frame_builder{Ended: wire.Ended_builder{
			Job: reserve.GetJob(), Result: wire.Result_RESULT_DONE, RunMs: 50, LoadPermille: 500,
			Neighbours: []*wire.Neighbour{wire.Neighbour_builder{Kind: "noisy", SharePermille: 5_000_000}.Build(), {}},
		}.Build()}.Build())
		is.Equal(p.wait(t), job.Outcome(job.Completed{}))

		want := 0
		if separate {
			want = 2
		}

		is.Equal(e.ModelledKinds(), want)
		is.Equal(len(e.InterferingPairs()), 0)
	}
}
