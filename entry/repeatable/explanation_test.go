package repeatable_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// all is the limit for the lists of an explanation that names all servers.
const all = 100

// reportingSidecar is a raw sidecar with the report that keeps its session alive.
type reportingSidecar struct {
	*rawSidecar

	room *wire.Room
}

// attachReporting attaches a sidecar whose backend server has 8 cores, of which some are free.
func (f *fixture) attachReporting(e *entry, name string, free int64, change func(*wire.Room)) *reportingSidecar {
	f.t.Helper()

	room := wire.Room_builder{
		Open: true, Service: service, FailureDomain: "domain", CapacityCpu: 8 * core, CapacityMemory: 1 << 20,
		FreeCpu: free * core, FreeMemory: 1 << 20, Labels: []string{"a"},
	}.Build()
	if change != nil {
		change(room)
	}

	a := wire.Attach_builder{Sidecar: name, Incarnation: 1, IdleKeepAlives: true}.Build()
	r := &reportingSidecar{f.attachRawWith(e, a), room}
	r.send(wire.Frame_builder{Room: room}.Build())
	r.roundTrip()

	return r
}

// run sends the report until the test ends.
func (r *reportingSidecar) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.send(wire.Frame_builder{Room: r.room}.Build())
		time.Sleep(session.KeepAliveInterval)
	}
}

// awaitWarmUp waits until the entry no longer expects further sidecars.
func (f *fixture) awaitWarmUp(e *entry) {
	f.t.Helper()
	f.await("the warm-up is over", func() bool { return e.Explain(newJob("", "5ms", 1), all).Admission.Load.WarmUpMS == 0 })
}

func requestsOf(e adminapi.PlacementExplanation) map[string]int {
	requests := map[string]int{}
	for _, c := range e.Candidates {
		requests[c.Sidecar] = c.Requests
	}

	return requests
}

// Guards against an explanation that names another plan than the one that the dispatcher makes on the same state, and
// against one that reserves or sends anything: the figures would change from one to the next.
func TestExplanationIsThePlan(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	slow := func(r *wire.Room) { r.SetSlownessPermille(3000) }
	sidecars := map[string]*reportingSidecar{
		"small": f.attachReporting(e, "small", 2, nil), "large": f.attachReporting(e, "large", 5, nil),
		"slow": f.attachReporting(e, "slow", 8, slow),
	}

	for _, r := range sidecars {
		go r.run(t.Context())
	}

	f.awaitWarmUp(e)

	j := newJob("job", "50ms", 9) // more than the two usual servers have free
	first := e.Explain(j, all)
	is.True(first.Admission.Admitted)
	is.Equal(requestsOf(first), map[string]int{"small": 2, "large": 5, "slow": 2})

	for range 100 {
		is.Equal(e.Explain(j, all), first)
	}

	for _, r := range sidecars {
		is.Equal(len(r.frames), 0)
	}

	is.Equal(e.ActiveJobs(), 0)
	f.submit(t.Context(), e, j)

	for name, n := range requestsOf(first) {
		is.Equal(int(sidecars[name].next().GetReserve().GetTasks()), n)
	}
}

// Guards against an explanation that names another refusal than the one that callers get.
func TestExplanationIsTheRefusal(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	r := f.attachReporting(e, "full", 0, func(r *wire.Room) { r.SetQueuedCpu([]int64{400 * core}) })

	go r.run(t.Context())

	f.awaitWarmUp(e)

	quick := newJobWithTarget("quick", "50ms", 1, 1, 1, strictTarget)
	jobOf := func(cores int64, label string) job.Job {
		return job.New("other", "5ms", 1, job.NewSize(cores*core, 1), quick.Estimate(), callerTimeout, quick.Policy(),
			job.NewConstraints(label, "", 0))
	}

	check := func(j job.Job, reason string) {
		t.Helper()

		explained := e.Explain(j, all)
		refused, ok := f.submit(t.Context(), e, j).wait(t).(job.Refused)
		is.True(ok)
		is.Equal(refused.Reason(), reason)
		is.Equal(explained.Admission.Reason, reason)

		// Up to half of it is random.
		after := refused.RetryAfter().Milliseconds()
		is.True(explained.Admission.RetryAfterMS <= 2*after && after <= 2*explained.Admission.RetryAfterMS)

		for _, c := range explained.Candidates {
			is.Equal(c.Requests, 0)
		}
	}

	check(quick, admission.Overloaded)
	check(jobOf(9, ""), admission.TooLarge)
	check(jobOf(1, "missing"), admission.NoServers)

	e.FinishBy(0)
	check(quick, "the entry is shutting down")
}

// Guards against explained refusals among the log lines of those that callers got.
func TestExplanationIsNotLogged(t *testing.T) {
	is := is.New(t)

	var lines bytes.Buffer

	d := repeatable.NewDispatcher(&routes.Current{}, nil, zerolog.New(&lines))
	d.FinishBy(0)
	is.True(!d.Explain(newJob("", "5ms", 1), all).Admission.Admitted)
	is.Equal(lines.String(), "")
}

// Guards against a backend server that is left out without its reason, or with that of another one.
func TestExplanationNamesWhyServersAreLeftOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	e.SetRegions(map[string]string{"domain": "north", "far": "south", "dark": "north"})

	e.AdoptEvacuations(evacuation.NewValue(1, []string{"dark"}), "store")

	for name, change := range map[string]func(*wire.Room){
		"usable": nil, "other": func(r *wire.Room) { r.SetService("other") }, "closed": func(r *wire.Room) { r.SetOpen(false) },
		"plain": func(r *wire.Room) { r.SetLabels(nil) }, "far": func(r *wire.Room) { r.SetFailureDomain("far") },
		"dark": func(r *wire.Room) { r.SetFailureDomain("dark") },
	} {
		go f.attachReporting(e, name, 8, change).run(t.Context())
	}

	f.attachReporting(e, "silent", 8, nil)

	base := newRegionalJob("job", 1, "north")
	j := job.New("", "", 1, base.Size(), base.Estimate(), callerTimeout, base.Policy(), job.NewConstraints("a", "", 0))
	want := map[string]string{
		"other": "belongs to another service", "closed": "accepts no tasks", "plain": "lacks the required label",
		"far": "its region isn't allowed", "dark": "its failure domain is evacuated", "silent": "its sidecar doesn't answer",
	}

	f.await("the reasons", func() bool {
		explained := e.Explain(j, all)
		is.True(len(explained.LeftOut) < len(want) || explained.LeftOut[len(explained.LeftOut)-1].Sidecar == "other")

		return fmt.Sprint(leftOut(explained)) == fmt.Sprint(want) &&
			fmt.Sprint(requestsOf(explained)) == fmt.Sprint(map[string]int{"usable": 1})
	})
}

func leftOut(e adminapi.PlacementExplanation) map[string]string {
	reasons := map[string]string{}
	for _, s := range e.LeftOut {
		reasons[s.Sidecar] = s.Reason
	}

	return reasons
}

// Guards against servers that a kind which crashes them may not use and that are missing in the explanation, and against
// lists without a bound.
func TestExplanationOfConfinedKindAndManyServers(t *testing.T) {
	const servers, limit = 6, 2

	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]

	for n := range servers {
		go f.attachReporting(e, fmt.Sprintf("server-%d", n), 8, nil).run(t.Context())
	}

	explained := e.Explain(newJob("", "5ms", 1), limit)
	is.Equal(len(explained.Candidates), limit)
	is.Equal(explained.CandidatesNotListed, servers-limit)
	is.Equal(explained.Candidates[0].Requests, 1)

	<-time.After(collectionTime)

	crashed := f.attachRaw(e, 1)
	crashed.reportCrash("kind") // which is suspected, and prefers the zone of one server

	lastResort := 0

	for _, c := range e.Explain(newJob("", "5ms", 1), all).Candidates {
		is.Equal(c.LastResort, c.Requests == 0)

		if c.LastResort {
			lastResort++
		}
	}

	is.Equal(lastResort, servers-1)

	crashed.reportCrashes("kind")

	explained = e.Explain(newJob("", "5ms", 1), all)
	is.Equal(len(explained.Candidates), 1)
	is.Equal(explained.Admission.Load.Servers, 1)
	is.Equal(len(explained.LeftOut), servers) // with the one that crashed

	for _, s := range explained.LeftOut[1:] {
		is.Equal(s.Reason, "kept apart from the kind, since a kind crashes backend servers")
	}
}
