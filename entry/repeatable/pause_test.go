package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against a task that an entry starts after a pause although the caller may have sent the job to another entry: a
// reservation is handled before the check that finds the pause.
func TestNothingIsLaunchedAfterAPause(t *testing.T) {
	// pause is longer than any that an entry may ignore.
	const pause = time.Second

	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	e := f.entries[0]
	r := f.attachRaw(e, 1)
	r.report(8)
	f.await("the backend server is known", func() bool { return e.OpenServers(service) == 1 })

	reporter := &rawReporter{r}
	go reporter.run()

	p := f.submit(t.Context(), e, newJob("job", "50ms", 1))
	reserve := r.next().GetReserve()
	is.Equal(reserve.GetTasks(), uint32(1))

	e.stopChecks()

	select {
	case <-time.After(pause):
	case <-t.Context().Done():
	}

	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: reserve.GetJob(), Tasks: 1}.Build()}.Build())
	is.True(!r.next().HasLaunch())

	_, refused := p.wait(t).(job.Refused)
	is.True(refused)
}
