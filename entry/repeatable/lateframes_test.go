package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against running tasks that are given up, or started again elsewhere, because frames between an entry and a
// sidecar were late for less than the time after which a session ends.
func TestLateFramesEndNoTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]

	var path relay.Relay

	is.NoErr(path.Open(t.Context(), "udp", "127.0.0.1:0", e.path))
	t.Cleanup(func() { _ = path.Close() })

	e.path = path.Address()
	f.addSidecar("sidecar-0", leasedbackend.New("i-0"), 8)
	f.await("the backend server takes tasks", func() bool { return e.OpenServers(service) == 1 })

	p := f.submit(t.Context(), e, newJob("job", "1500ms", 4))
	f.await("the tasks run", func() bool { return f.running("job") == 4 })

	path.SetFaults(relay.Faults{}.WithDelay(session.Timeout / 2))

	select {
	case <-time.After(time.Second):
	case <-t.Context().Done():
	}

	path.ClearFaults()

	is.Equal(p.wait(t), job.Outcome(job.Completed{}))
	is.Equal(f.sidecars[0].backend.PeakRunning(), 4)

	for n := range uint32(4) {
		is.Equal(f.startCount("job", n), 1)
	}
}
