package repeatable_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// newDomainsFixture returns a fixture with one sidecar of four cores in each domain.
func newDomainsFixture(t *testing.T, entries int, domains ...string) *fixture {
	t.Helper()

	f := newFixture(t, entries, 0, 4)
	for n, d := range domains {
		f.addSidecarIn(d, fmt.Sprintf("sidecar-%d", n), leasedbackend.New(fmt.Sprintf("i-%d", n)), 4)
	}

	f.awaitOpenServers(len(domains))

	return f
}

// awaitOpenServers waits until each entry has n backend servers that take tasks.
func (f *fixture) awaitOpenServers(n int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%d backend servers take tasks", n), func() bool {
		return !slices.ContainsFunc(f.entries, func(e *entry) bool { return e.OpenServers(service) != n })
	})
}

func (e *entry) evacuate(position int64, domains ...string) {
	e.AdoptEvacuations(evacuation.NewValue(position, domains), "test")
}

// newLargeJob returns a job with a short task of two cores, which runs at backend servers with a label.
func newLargeJob(id, label string) job.Job {
	policy := job.NewPolicy("kind", service, 1, 3, 1.6, relaxedTarget)

	return job.New(id, "1ms", 1, job.NewSize(2*core, 1), time.Millisecond, callerTimeout, policy,
		job.NewConstraints(label, "", 0))
}

// awaitWarm waits until the entries refuse jobs, which they do not just after their start.
func awaitWarm() { time.Sleep(700 * time.Millisecond) }

// Guards against a job that waits in an evacuated domain although there is room elsewhere, and against tasks that start
// there, or that run there and are stopped.
func TestJobsLeaveAnEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := newDomainsFixture(t, 1, "a", "b")
	e := f.entries[0]

	e.evacuate(1, "b")
	f.awaitOpenServers(1)
	running := f.submit(t.Context(), e, newJob("running", "2s", 3))
	f.await("the domain a has no room for large tasks", func() bool { return len(f.sidecars[0].backend.Running()) == 3 })

	waiting := f.submit(t.Context(), e, newLargeJob("waiting", ""))
	f.await("the job waits", func() bool { return e.WaitingJobs("kind") == 1 })

	e.evacuate(2, "a")
	is.Equal(waiting.wait(t), job.Completed{})
	is.Equal(f.sidecars[1].backend.StartCount(repeatable.NewTask("waiting", 0)), 1)
	is.Equal(running.wait(t), job.Completed{})

	e.evacuate(3)
	f.awaitOpenServers(2)
}

// Guards against a refusal that does not say that all domains of the service are evacuated, or not at once, and against an
// entry that is not ready then. A job that waits is refused, too.
func TestAllDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	f := newDomainsFixture(t, 1, "a", "b")
	e := f.entries[0]

	awaitWarm()

	e.evacuate(1, "a")
	f.submit(t.Context(), e, newJob("first", "2s", 3))
	f.await("the domain b has no room for large tasks", func() bool { return len(f.sidecars[1].backend.Running()) == 3 })

	waiting := f.submit(t.Context(), e, newLargeJob("waiting", ""))
	f.await("the job waits", func() bool { return e.WaitingJobs("kind") == 1 })

	e.evacuate(2, "a", "b")

	for _, o := range []job.Outcome{waiting.wait(t), f.submit(t.Context(), e, newJob("next", "1ms", 1)).wait(t)} {
		refused, ok := o.(job.Refused)
		is.True(ok)
		is.Equal(refused.Reason(), admission.AllEvacuated)
		is.True(refused.RetryAfter() > 0)
	}

	is.Equal(f.startCount("waiting", 0)+f.startCount("next", 0), 0)
}

// Guards against a refusal that does not say that the label which the job requires exists in evacuated domains only.
func TestLabelInEvacuatedDomainsOnly(t *testing.T) {
	is := is.New(t)
	f := newDomainsFixture(t, 1, "a", "b")
	e := f.entries[0]
	f.sidecars[1].labels = []string{"rare"}
	f.sidecars[1].announce(false)

	awaitWarm()

	before := f.submitPersistently(t.Context(), e, newLargeJob("before", "rare"))
	is.Equal(before.wait(t), job.Completed{}) // the entry knows of the label

	e.evacuate(1, "b")

	refused, ok := f.submit(t.Context(), e, newLargeJob("after", "rare")).wait(t).(job.Refused)
	is.True(ok)
	is.Equal(refused.Reason(), admission.LabelEvacuated)

	is.Equal(f.submit(t.Context(), e, newJob("plain", "1ms", 1)).wait(t), job.Completed{})
}

// Guards against an age of the sidecars' value that goes on although the store confirms that of their entry.
func TestSidecarsLearnThatTheStoreConfirms(t *testing.T) {
	is := is.New(t)
	f := newDomainsFixture(t, 1, "a")
	e := f.entries[0]
	age := func() time.Duration {
		_, age := f.sidecars[0].worker.Evacuations()

		return age
	}

	e.ConfirmEvacuations(uptime.Now())
	e.evacuate(1, "b")
	f.await("the sidecar knows", func() bool { v, _ := f.sidecars[0].worker.Evacuations(); return v.Len() == 1 })

	const unconfirmed = 3 * time.Second

	time.Sleep(unconfirmed)
	is.True(age() >= unconfirmed)

	e.ConfirmEvacuations(uptime.Now())
	f.await("the age is smaller", func() bool { return age() < unconfirmed })
}

// Guards against an entry that the store rejects, or that was restarted while the store is down, and starts tasks in an
// evacuated domain: it learns of it from the sidecars, which have it from another entry.
func TestEvacuationReachesEntriesWithoutTheStore(t *testing.T) {
	is := is.New(t)
	f := newDomainsFixture(t, 2, "a", "b")
	domains := func(e *entry) []string {
		v, _ := e.Evacuations()

		return v.Domains()
	}

	f.entries[0].evacuate(3, "a")
	f.await("the other entry knows", func() bool { return slices.Equal(domains(f.entries[1]), []string{"a"}) })
	f.awaitOpenServers(1)

	restarted := f.addEntry()
	f.connectSidecars(restarted)
	f.await("the new entry has a backend server", func() bool { return restarted.OpenServers(service) == 1 })
	is.Equal(domains(restarted), []string{"a"})

	f.entries[1].evacuate(2) // an older value
	is.Equal(domains(f.entries[1]), []string{"a"})
}
