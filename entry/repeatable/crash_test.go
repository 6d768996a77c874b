package repeatable_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// restartDelay is how long a crashed backend server is away.
const restartDelay = time.Second

// crashLimit is the number of crashes under a task after which its job is given up. It is a target.
const crashLimit = 2

// restarter restarts crashed backend servers.
type restarter struct {
	fixture *fixture
	ctx     context.Context
}

func (f *fixture) restartCrashed() {
	r := &restarter{f, f.t.Context()}
	go r.run()
}

func (r *restarter) run() {
	crashedAt := map[*sidecarNode]time.Time{}
	t := time.NewTicker(5 * time.Millisecond)

	defer t.Stop()

	for r.ctx.Err() == nil {
		<-t.C

		for _, s := range r.fixture.sidecars {
			switch at, known := crashedAt[s]; {
			case !s.backend.Crashed():
			case !known:
				crashedAt[s] = time.Now()
			case time.Since(at) >= restartDelay:
				delete(crashedAt, s)
				s.backend.Restart(fmt.Sprintf("%s-life-%d", s.name, s.backend.Crashes()))
				s.announce(false)
			}
		}
	}
}

func (f *fixture) crashes() int {
	n := 0
	for _, s := range f.sidecars {
		n += s.backend.Crashes()
	}

	return n
}

// Guards against a task that is started again without a limit although each backend server that starts it crashes.
func TestTaskThatCrashesServersIsGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 6, 8)
	f.restartCrashed()

	is.Equal(f.submit(t.Context(), f.entries[0], newJob("deadly", leasedbackend.Crash, 1)).wait(t), job.Failed{})
	is.Equal(f.crashes(), crashLimit)
}

// Guards against an entry that begins to count anew when the caller sends a job again after the entry that had it died.
func TestCrashesAreKnownToOtherEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 6, 8)
	f.restartCrashed()

	ctx, leave := context.WithCancel(t.Context())
	defer leave()

	f.submitPersistently(ctx, f.entries[0], newJob("deadly", leasedbackend.Crash, 1))
	f.await("a backend server has crashed", func() bool { return f.crashes() > 0 })
	f.await("another one has crashed", func() bool { return f.crashes() > 1 })
	f.entries[0].kill()
	leave()

	// The job may be refused until the news has come or the zone is replaced.
	deadly := f.submitPersistently(t.Context(), f.entries[1], newJob("deadly", leasedbackend.Crash, 1))
	is.Equal(deadly.wait(t), job.Failed{})
	is.True(f.crashes() <= crashLimit+1) // one more if the news came too late
}

// Guards against a job that is placed again, or waits until its deadline, although the news that its task has crashed two
// backend servers arrives: it was sent to this entry before the lease of the second one had ended.
func TestNewsOfCrashesEndsAnActiveJob(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	r := f.attachRaw(e, 1)
	r.report(8)
	f.await("the backend server is known", func() bool { return e.OpenServers(service) == 1 })

	p := f.submit(t.Context(), e, newJob("deadly", leasedbackend.Crash, 1))

	r.next() // the reservation, which is not granted

	news := wire.Frame_builder{CrashedTasks: wire.CrashedTasks_builder{
		Tasks: []*wire.CrashedTask{wire.CrashedTask_builder{Job: "deadly", Suspected: true}.Build()},
	}.Build()}.Build()

	for range crashLimit {
		r.send(news)
	}

	is.Equal(p.wait(t), job.Failed{})
}

// Guards against a job that is shown as failed because its backend server crashed twice, each time after a newer task of
// another job had started, which is the likelier cause.
func TestJobBesideADeadlyTaskIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 1, 8)
	f.restartCrashed()

	innocent := f.submit(t.Context(), f.entries[0], newJob("innocent", "1s", 1))

	for n := range crashLimit {
		id := fmt.Sprintf("newer-%d", n)
		ctx, leave := context.WithCancel(t.Context())

		f.await("the innocent task runs", func() bool { return f.running("innocent") == 1 })
		f.submit(ctx, f.entries[0], newJob(id, leasedbackend.Hang, 1))
		f.await("the newer task runs", func() bool { return f.running(id) == 1 })
		f.sidecars[0].backend.Crash()
		leave()
	}

	is.Equal(innocent.wait(t), job.Completed{})
}

// Guards against a kind of job that crashes one backend server after the other, until none is left for other kinds.
func TestKindThatCrashesServersIsConfined(t *testing.T) {
	is := is.New(t)

	const servers, deadlyJobs = 12, 8

	f := newFixture(t, 1, servers, 8)
	f.restartCrashed()

	kindOf := func(id, input, kind string) job.Job {
		policy := job.NewPolicy(kind, service, 1, 3, 1.6, strictTarget)

		return job.New(id, input, 1, job.NewSize(core, 1), 50*time.Millisecond, callerTimeout, policy, job.Constraints{})
	}

	for n := range deadlyJobs {
		f.submit(t.Context(), f.entries[0], kindOf(fmt.Sprintf("deadly-%d", n), leasedbackend.Crash, "deadly")).wait(t)
	}

	crashed := 0

	for _, s := range f.sidecars {
		if s.backend.Crashes() > 0 {
			crashed++
		}
	}

	is.True(crashed < servers/2)
	is.Equal(f.submit(t.Context(), f.entries[0], kindOf("other", "5ms", "other")).wait(t), job.Completed{})
}

// Guards against a kind that is refused for good after it has crashed the backend servers of a service that is too small for
// a zone.
func TestKindIsServedAtServiceWithoutZone(t *testing.T) {
	const servers = 2

	f := newFixture(t, 1, servers, 8)
	f.restartCrashed()

	n := 0
	submitNext := func(input string) job.Outcome {
		n++

		return f.submit(t.Context(), f.entries[0], newJob(fmt.Sprintf("job-%d", n), input, 1)).wait(t)
	}

	f.await("the kind has crashed each server twice", func() bool {
		submitNext(leasedbackend.Crash)

		return f.crashes() >= 2*servers
	})
	f.await("the kind is served", func() bool { return submitNext("5ms") == job.Completed{} })
}

// Guards against a confined kind that is refused for good because the backend servers of the zone stay away.
func TestZoneIsReplacedIfItStaysAway(t *testing.T) {
	is := is.New(t)

	const servers, deadlyJobs = 8, 5

	f := newFixture(t, 1, servers, 8)
	policy := job.NewPolicy("deadly", service, 1, 3, 1.6, strictTarget)
	newDeadly := func(n int, input string) job.Job {
		return job.New(fmt.Sprintf("%s-%d", input, n), input, 1, job.NewSize(core, 1), 50*time.Millisecond, 3*time.Second,
			policy, job.Constraints{})
	}

	for n := range deadlyJobs {
		f.submit(t.Context(), f.entries[0], newDeadly(n, leasedbackend.Crash)).wait(t)
	}

	is.True(f.crashes() < servers)

	_, refused := f.submit(t.Context(), f.entries[0], newDeadly(0, "5ms")).wait(t).(job.Refused)
	is.True(refused) // the zone is away

	n := 0

	f.await("the kind is served again", func() bool {
		n++

		return f.submit(t.Context(), f.entries[0], newDeadly(n, "5ms")).wait(t) == job.Completed{}
	})
}
