package repeatable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/process/warmup"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// announceCold announces a backend server of 10 cores that is cold for a time.
func (fx *fixture) announceCold(sequence int64, left time.Duration) {
	fx.t.Helper()

	a := succession.NewAnnouncement(fx.backend.Instance(), "service", "domain", fx.backend.StartedAtMS(), sequence,
		job.NewSize(10*core, 1024), []string{"a"}, false)
	is.New(fx.t).True(fx.worker.Announce(fx.t.Context(), a.WithColdLeft(left)).Accepted())
}

// sendColdRate tells the sidecar how many starts a cold server of a service takes in 1000 s.
func (fx *fixture) sendColdRate(version uint64, service string, startsPer1000S uint64) {
	fx.entry.Send(wire.Frame_builder{ServiceSettings: wire.ServiceSettings_builder{
		Version:  version,
		Services: []*wire.ColdService{wire.ColdService_builder{Name: service, StartsPer_1000S: startsPer1000S}.Build()},
	}.Build()}.Build())
}

// awaitReport waits for a capacity report.
func (fx *fixture) awaitReport(what string, accept func(*wire.Room) bool) *wire.Room {
	fx.t.Helper()

	var last *wire.Room

	fx.await(what, func() bool {
		select {
		case last = <-fx.reports:
			return accept(last)
		default:
			return false
		}
	})

	return last
}

// Guards against a burst of tasks at a cold backend server of which the operator states a rate, and against entries that see
// capacity there that is not granted.
func TestStartsAtAColdServerAreBounded(t *testing.T) {
	const slack = 5

	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.sendColdRate(3, "service", 1) // one start in 1000 s beyond the slack
	fx.sendColdRate(2, "service", 1_000_000)
	fx.announceCold(1, time.Minute)
	fx.awaitReport("the settings of version 3 limit the free capacity", func(m *wire.Room) bool {
		return m.GetOpen() && m.GetServicesVersion() == 3 && m.GetFreeCpu() == slack*core && m.GetUsablePermille() == 500 &&
			m.GetCapacityCpu() == 10*core
	})

	fx.request(1, 8)
	is.Equal(fx.nextFrame().GetReserved().GetTasks(), uint32(slack))
	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: 1, Name: "job", Indices: []uint32{0, 1, 2, 3, 4, 5, 6, 7}, Input: leasedbackend.Hang, ExpectedMs: longMS,
	}.Build()}.Build())
	fx.await("the tasks that are granted run", fx.hasRunning(slack))
	fx.awaitReport("what runs is all that is usable", func(m *wire.Room) bool {
		return m.GetFreeCpu() == 0 && m.GetUsablePermille() == 500
	})

	for range 3 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED) // no reservation
	}

	// The rest gets its reservations as soon as no cold time is left.
	fx.announceCold(2, 0)
	f := fx.nextFrame()
	is.Equal(f.GetReserved().GetTasks(), uint32(3))
}

// Guards against more starts than a cold backend server takes where its reservations were granted before that was known, and
// against tasks that wait there for long.
func TestLaunchBeyondTheRateOfAColdServerIsRejected(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.sendColdRate(1, "service", 1)
	fx.announceCold(1, time.Minute)
	fx.awaitOpen(true)
	fx.reserve(1, 5)

	fx.worker.SetColdBounds(warmup.NewBounds(1.5, 2))
	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: 1, Name: "job", Indices: []uint32{0, 1, 2, 3, 4}, Input: leasedbackend.Hang, ExpectedMs: longMS,
	}.Build()}.Build())

	for range 3 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	}

	fx.await("as many run as are allowed", fx.hasRunning(2))
	is.Equal(fx.metric(`starts_beyond_limit_total{limit="cold"}`), int64(3))
}

// Guards against a cold backend server without a stated rate that gets its full share at once, or the rate of another
// service, and against tasks that no cold server takes as each is larger than the share.
func TestShareOfAColdServerIsReduced(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.sendColdRate(1, "other", 1)
	fx.announceCold(1, time.Hour)

	m := fx.awaitReport("the share is reduced", func(m *wire.Room) bool { return m.GetOpen() && m.GetUsablePermille() > 0 })
	is.True(m.GetFreeCpu() >= core && m.GetFreeCpu() < 2*core) // a tenth, and what the time since has added

	fx.entry.Send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: 1, Tasks: 4, Cpu: 3 * core, Memory: 1, PatienceMs: 60_000, ExpectedMs: 50, NeededPermille: 1000,
	}.Build()}.Build())
	is.Equal(fx.nextFrame().GetReserved().GetTasks(), uint32(1))

	fx.announceCold(2, 0)
	is.Equal(fx.nextFrame().GetReserved().GetTasks(), uint32(2)) // ten cores have place for three
}

// Guards against reservations from before a backend server turned cold again that are used beyond what it takes then.
func TestServerThatTurnsColdAgainIsLimited(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.sendColdRate(1, "service", 1)
	fx.announceCold(1, 0)
	fx.awaitReport("no limit", func(m *wire.Room) bool { return m.GetOpen() && m.GetFreeCpu() == 10*core })

	fx.reserve(1, 8)
	is.Equal(fx.worker.Running(), 0)
	fx.announceCold(2, time.Minute)
	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: 1, Name: "job", Indices: []uint32{0, 1, 2, 3, 4, 5, 6, 7}, Input: leasedbackend.Hang, ExpectedMs: longMS,
	}.Build()}.Build())

	for range 8 {
		is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED) // they may start elsewhere
	}

	is.Equal(len(fx.backend.Running()), 0)
}

// Guards against limits at a backend server that announces no cold time, whatever is stated of its service, and against
// fields of reports that a sidecar without settings did not send before.
func TestWarmServerBehavesAsBefore(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.announceCold(1, 0)

	m := fx.awaitOpen(true)
	is.Equal(m.GetFreeCpu(), int64(10*core))
	is.True(m.GetUsablePermille() == 0 && m.GetServicesVersion() == 0)

	fx.sendColdRate(1, "service", 1)
	fx.reserve(1, 10)
	fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
		Job: 1, Name: "job", Indices: []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, Input: leasedbackend.Hang, ExpectedMs: longMS,
	}.Build()}.Build())
	fx.await("all tasks run", fx.hasRunning(10))
}

// Guards against a task that runs in a region that its route does not allow, because its entry knows another region of the
// failure domain, or because the region is not known.
func TestStartInAnotherRegionIsRejected(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.worker.SetRegions("own", map[string]string{"own": "south", "domain": "north"})
	fx.announce(1, false)
	fx.awaitOpen(true)

	launch := func(number uint64, regions ...string) {
		fx.reserve(number, 1)
		fx.entry.Send(wire.Frame_builder{Launch: wire.Launch_builder{
			Job: number, Name: "job", Indices: []uint32{uint32(number)}, Input: leasedbackend.Hang, ExpectedMs: longMS,
			AllowedRegions: regions,
		}.Build()}.Build())
	}

	launch(1, "south")
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	launch(2, "south", "north")
	launch(3)
	fx.await("the allowed tasks run", fx.hasRunning(2))

	fx.worker.SetRegions("own", nil)
	launch(4, "north")
	is.Equal(fx.nextResult(), wire.Result_RESULT_REJECTED)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 1)), 0)
	is.Equal(fx.backend.StartCount(repeatable.NewTask("job", 4)), 0)
	is.Equal(fx.metric(`starts_beyond_limit_total{limit="region"}`), int64(2))
}

// Guards against a restarted sidecar that sends a cold backend server one more burst, or all that it has place for, before
// the next announcement.
func TestRestoredColdServerIsLimited(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, leasedbackend.New("i-1"))
	fx.sendColdRate(1, "service", 1)

	a := succession.NewAnnouncement(fx.backend.Instance(), "service", "domain", fx.backend.StartedAtMS(), 0,
		job.NewSize(10*core, 1024), []string{"a"}, false)
	fx.worker.Restore(t.Context(), a.WithColdLeft(time.Minute))
	fx.awaitReport("nothing may start", func(m *wire.Room) bool {
		return m.GetOpen() && m.GetServicesVersion() == 1 && m.GetFreeCpu() == 0 && m.GetUsablePermille() > 0
	})

	fx.announceCold(1, 0)
	m := fx.awaitReport("no limit", func(m *wire.Room) bool { return m.GetOpen() && m.GetFreeCpu() == 10*core })
	is.Equal(m.GetUsablePermille(), uint32(0))
}
