package repeatable_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	sidecar "github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against two concurrent runs of a task whose sidecar was lost, because its stop got no answer and counted as done:
// the sidecar went on renewing the lease of the backend server.
func TestUnansweredStopDoesNotCountAsStopped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	direct := e.path

	var path relay.Relay

	is.NoErr(path.Open(t.Context(), "udp", "127.0.0.1:0", e.path))
	t.Cleanup(func() { _ = path.Close() })

	e.path = path.Address()
	f.addSidecar("sidecar-0", leasedbackend.New("i-0"), 4)
	f.await("the backend server takes tasks", func() bool { return e.OpenServers(service) == 1 })

	p := f.submit(t.Context(), e, newJob("moved", "3s", 1))
	f.await("the task runs", func() bool { return f.running("moved") == 1 })

	e.path = direct
	f.addSidecar("sidecar-1", leasedbackend.New("i-1"), 4)
	f.await("both backend servers take tasks", func() bool { return e.OpenServers(service) == 2 })

	f.sidecars[0].backend.SetFault(leasedbackend.FaultNoStop)
	path.SetFaults(relay.Faults{}.WithCut())

	detector := &overlapDetector{fixture: f, tasks: []sidecar.Task{sidecar.NewTask("moved", 0)}, stop: make(chan struct{})}
	go detector.run()

	is.Equal(p.wait(t), job.Outcome(job.Completed{}))
	close(detector.stop)
	is.True(!detector.found())
}

// Guards against a task that runs on after its caller has left, because the stop got no answer and the lease of the
// backend server is renewed for ever.
func TestTaskEndsWithTheLeaseIfItsStopIsNotAnswered(t *testing.T) {
	f := newFixture(t, 1, 1, 4)

	ctx, leave := context.WithCancel(t.Context())
	p := f.submit(ctx, f.entries[0], newJob("left", leasedbackend.Hang, 1))
	f.await("the task runs", func() bool { return f.running("left") == 1 })

	f.sidecars[0].backend.SetFault(leasedbackend.FaultNoStop)
	leave()
	p.wait(t)
	f.await("the task has ended", func() bool { return f.running("left") == 0 })
}
