package repeatable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	sidecar "github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// newRegionalJob returns a job that runs in some regions only.
func newRegionalJob(id string, tasks int, regions ...string) job.Job {
	j := newJob(id, "5ms", tasks)

	return job.New(id, j.Input(), tasks, j.Size(), j.Estimate(), callerTimeout, j.Policy().WithRegions(regions), j.Constraints())
}

// reportFrom sends a report of a free backend server in a failure domain.
func (r *rawSidecar) reportFrom(domain string, usablePermille uint32, servicesVersion uint64) {
	free := int64(8 * core)
	if usablePermille > 0 {
		free = free * int64(usablePermille) / 1000
	}

	r.send(wire.Frame_builder{Room: wire.Room_builder{
		Open: true, Service: service, FailureDomain: domain, CapacityCpu: 8 * core, CapacityMemory: 1 << 20, FreeCpu: free,
		FreeMemory: 1 << 20, UsablePermille: usablePermille, ServicesVersion: servicesVersion,
	}.Build()}.Build())
}

// Guards against a job that runs in a region that its route does not allow, and against one that waits although there is no server
// there, or is refused for another reason.
func TestJobsRunInAllowedRegionsOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 1, 8) // its failure domain is "domain"
	e := f.entries[0]
	e.SetRegions(map[string]string{"domain": "north", "far": "south"})
	f.await("the entry is no longer new", func() bool {
		_, refused := f.submit(t.Context(), e, newRegionalJob("new", 1, "nowhere")).wait(t).(job.Refused)

		return refused
	})

	began := time.Now()
	o := f.submit(t.Context(), e, newRegionalJob("south", 1, "south")).wait(t)
	refused, ok := o.(job.Refused)
	is.True(ok)
	is.Equal(refused.Reason(), admission.NoServersInRegions)
	is.True(refused.RetryAfter() > 0 && time.Since(began) < callerTimeout/2)
	is.Equal(f.startCount("south", 0), 0)

	r := f.attachRaw(e, 1)
	r.reportFrom("far", 0, 0)
	f.await("the other server is known", func() bool { return e.OpenServers(service) == 2 })

	f.sidecars[0].worker.SetRegions("", map[string]string{"domain": "north"})
	is.Equal(f.submit(t.Context(), e, newRegionalJob("north", 8, "north", "west")).wait(t), job.Outcome(job.Completed{}))

	f.submit(t.Context(), e, newRegionalJob("far", 1, "south"))

	reserve := r.next().GetReserve() // the first frame: nothing of the job before came here
	is.Equal(reserve.GetTasks(), uint32(1))
	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: reserve.GetJob(), Tasks: 1}.Build()}.Build())
	is.Equal(r.next().GetLaunch().GetAllowedRegions(), []string{"south"})
}

// Guards against settings of cold servers that a sidecar does not get, or gets in an older version or again and again, and
// against messages to sidecars while the operator states nothing.
func TestServiceSettingsReachSidecars(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	e.AdoptRoutes(routes.NewTable(1, nil, nil, 0).WithServices([]routes.Service{routes.NewService(service, 0, 0)}), "store")

	r := f.attachRaw(e, 1)
	r.reportFrom("domain", 0, 0)
	f.await("the server is known", func() bool { return e.OpenServers(service) == 1 })
	f.submit(t.Context(), e, newJob("job", "5ms", 1))
	is.Equal(r.next().GetReserve().GetTasks(), uint32(1)) // no settings before it

	cold := []routes.Service{routes.NewService(service, 2*time.Second, 0.5), routes.NewService("other", 0, 0)}
	e.AdoptRoutes(routes.NewTable(2, nil, nil, 0).WithServices(cold), "store")

	m := r.next().GetServiceSettings()
	is.Equal(m.GetVersion(), uint64(2))
	is.Equal(len(m.GetServices()), 1)
	is.Equal(m.GetServices()[0].GetColdMs(), uint32(2000))
	is.Equal(m.GetServices()[0].GetStartsPer_1000S(), uint64(500))

	r.reportFrom("domain", 0, 2)
	e.AdoptRoutes(routes.NewTable(3, nil, nil, 0), "store") // which states nothing any more

	m = r.next().GetServiceSettings()
	is.Equal(m.GetVersion(), uint64(3))
	is.Equal(len(m.GetServices()), 0)
}

// Guards against an entry that takes the capacity of a cold server for granted, and against one that refuses a task as too
// large for any server as the server is cold.
func TestColdServerIsUsedInPart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	r := f.attachRaw(f.entries[0], 1)
	r.reportFrom("domain", 100, 0)
	f.await("the server is known", func() bool { return f.entries[0].OpenServers(service) == 1 })

	large := newJob("large", "5ms", 1)
	f.submit(t.Context(), f.entries[0], job.New(
		"large", large.Input(), 2, job.NewSize(6*core, 1), large.Estimate(), callerTimeout, large.Policy(), large.Constraints()))

	is.Equal(r.next().GetReserve().GetTasks(), uint32(1))
}

// Guards against a burst at a server that has just started beside busy ones, from the configuration and the announcement to
// the start, and against jobs that are refused or lost since it takes few of them.
func TestColdServerTakesFewOfAFlood(t *testing.T) {
	const jobs, rate, slack = 120, 10, 5

	is := is.New(t)
	f := newFixture(t, 2, 2, 8)
	cold := f.sidecars[0]
	services := []routes.Service{routes.NewService(service, 0, rate)}

	for _, e := range f.entries {
		e.AdoptRoutes(routes.NewTable(1, nil, nil, 0).WithServices(services), "store")
	}

	cold.lastSequence++
	cold.worker.Announce(t.Context(), succession.NewAnnouncement(cold.backend.Instance(), service, "domain",
		cold.backend.StartedAtMS(), cold.lastSequence, job.NewSize(8*core, 1<<20), cold.labels, false).WithColdLeft(time.Minute))

	// The settings were sent before any request of the same entry.
	began := time.Now()

	var pending []*pendingJob
	for n := range jobs {
		pending = append(pending, f.submit(t.Context(), f.entries[n%2], newJob(fmt.Sprintf("job-%d", n), "30ms", 1)))
	}

	for _, p := range pending {
		is.Equal(p.wait(t), job.Outcome(job.Completed{}))
	}

	took, started := time.Since(began), 0
	for n := range jobs {
		started += cold.backend.StartCount(sidecar.NewTask(fmt.Sprintf("job-%d", n), 0))
	}

	t.Logf("%d of %d starts at the cold server in %s", started, jobs, took)
	is.True(started <= slack+int(rate*took.Seconds()))
}
