package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// collectionTime is longer than an entry only collects crashes after its start.
	collectionTime = 400 * time.Millisecond
	// crashGap is more than the time within which crashes count as one event.
	crashGap = 20 * time.Millisecond
)

// roundTrip waits until the entry has handled the frames that were sent before.
func (r *rawSidecar) roundTrip() {
	const unknownJob = 1 << 40

	r.send(wire.Frame_builder{Reserved: wire.Reserved_builder{Job: unknownJob, Tasks: 1}.Build()}.Build())

	for f := r.next(); f.GetRelease().GetJob() != unknownJob; f = r.next() {
		is.New(r.t).True(f != nil) // the session goes on
	}
}

// reportCrashes reports two crashes of a closed backend server just after starts of a kind, so that the kind is confined.
func (r *rawSidecar) reportCrashes(kind string) {
	for range crashLimit {
		r.reportCrash(kind)
	}
}

// reportCrash reports one of them.
func (r *rawSidecar) reportCrash(kind string) {
	r.send(wire.Frame_builder{Room: wire.Room_builder{Service: service}.Build()}.Build())
	r.send(wire.Frame_builder{BackendCrash: wire.BackendCrash_builder{
		Exposures: []*wire.CrashExposure{wire.CrashExposure_builder{Kind: kind, AgeUs: 1, StartsPer_1000S: 1000}.Build()},
	}.Build()}.Build())
	r.roundTrip()
	<-time.After(crashGap)
}

// Guards against a job that crashed a backend server and is started again in the zone of its confined kind, or waits until
// its deadline for the zone to come back: it takes one more of the few servers from the sound jobs of the kind.
func TestSuspectedJobOfConfinedKindIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 3, 8)

	<-time.After(collectionTime)

	p := f.submit(t.Context(), f.entries[0], newJobWithEstimate("deadly", leasedbackend.Hang, 5*time.Second, 1))
	f.await("the task runs", func() bool { return f.running("deadly") == 1 })
	f.attachRaw(f.entries[0], 1).reportCrashes("kind")

	for _, s := range f.sidecars {
		if len(s.backend.Running()) > 0 {
			s.backend.Crash()
		}
	}

	interrupted, ok := p.wait(t).(job.Interrupted)
	is.True(ok)
	is.True(interrupted.Reason() != "the caller's deadline has passed")
	is.Equal(f.startCount("deadly", 0), 1)
}
