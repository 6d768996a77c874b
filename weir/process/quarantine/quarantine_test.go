package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
)

const (
	service = "blades"
	deadly  = "deadly"
	other   = "other"
	ms      = time.Millisecond
)

// young returns the exposure of a kind that started a job shortly before a crash, old that of one that did not.
func young(kind string) quarantine.Exposure { return quarantine.NewExposure(kind, 10*ms, 5) }
func old(kind string) quarantine.Exposure   { return quarantine.NewExposure(kind, 500*ms, 5) }

func crash(t *quarantine.Tracker, now time.Duration, inZone bool, exposures ...quarantine.Exposure) []quarantine.Change {
	return t.RecordCrash(service, exposures, inZone, now)
}

func usable(string) bool { return true }

// Guards against a kind that goes on crashing servers outside the zone after it has crashed several.
func TestKindIsConfined(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	is.Equal(tracker.Access(service, deadly, false), quarantine.Allowed)
	is.Equal(len(crash(&tracker, 1000*ms, false, young(deadly), old(other))), 1)
	is.Equal(tracker.Level(deadly), quarantine.Suspected)
	is.Equal(tracker.Access(service, deadly, false), quarantine.LastResort)
	is.Equal(tracker.Access(service, deadly, true), quarantine.Allowed)
	is.Equal(tracker.Access(service, other, true), quarantine.LastResort)

	crash(&tracker, 1200*ms, false, young(deadly), young(other))
	crash(&tracker, 1300*ms, true, young(deadly), young(other))
	is.Equal(tracker.Level(deadly), quarantine.Confined)
	is.Equal(tracker.Level(other), quarantine.Unrestricted)
	is.Equal(tracker.Access(service, deadly, false), quarantine.Forbidden)
	is.Equal(tracker.Access(service, deadly, true), quarantine.Allowed)
	is.Equal(tracker.Access(service, other, true), quarantine.Forbidden)
	is.Equal(tracker.Access(service, other, false), quarantine.Allowed)
	is.Equal(tracker.Access("another service", other, true), quarantine.Allowed)
}

// Guards against a suspected kind that crashes further servers of the other kinds while the evidence is collected, and
// against one that stays restricted after its probe.
func TestSuspectedKindIsProbed(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	crash(&tracker, 1000*ms, false, young(deadly), old(other))
	is.Equal(tracker.Access(service, deadly, false), quarantine.LastResort) // one crash may be a coincidence

	crash(&tracker, 1200*ms, false, young(deadly), old(other))
	is.Equal(tracker.Level(deadly), quarantine.Probed)
	is.Equal(tracker.Access(service, deadly, false), quarantine.Forbidden)
	is.Equal(tracker.Access(service, deadly, true), quarantine.Allowed)
	is.Equal(tracker.Access(service, other, true), quarantine.LastResort)
	is.Equal(tracker.Access(service, other, false), quarantine.Allowed)

	is.Equal(len(tracker.Advance(1700*ms, usable)), 0)
	changes := tracker.Advance(1800*ms, func(string) bool { return false })
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Level(), quarantine.Suspected)
	is.Equal(tracker.Access(service, deadly, false), quarantine.LastResort)
}

// Guards against a probe without a server, as those of the zone have crashed, and against a confined kind whose zone goes
// through all servers.
func TestZoneIsReplacedUntilAKindIsConfined(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	is.True(!tracker.ReplacesZone(service))
	crash(&tracker, 1000*ms, true, young(deadly))
	is.True(tracker.ReplacesZone(service))
	is.True(!tracker.ReplacesZone("another service"))
	crash(&tracker, 1200*ms, true, young(deadly))
	is.True(tracker.ReplacesZone(service))
	crash(&tracker, 1400*ms, true, young(deadly))
	is.Equal(tracker.Level(deadly), quarantine.Confined)
	is.True(!tracker.ReplacesZone(service))
}

// Guards against confining a kind because many servers crash at once, as with a rack that loses power.
func TestManyCrashesAtOnceConfineNoKind(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	for n := range 6 {
		crash(&tracker, 1000*ms+time.Duration(n)*ms, n%2 == 0, young(deadly), old(other))
	}

	is.Equal(tracker.Level(deadly), quarantine.Suspected)
}

// Guards against confining a kind after one crash, however unlikely it is that it had no part in it.
func TestOneCrashConfinesNoKind(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	crash(&tracker, 1000*ms, false, quarantine.NewExposure(deadly, 0, 0))
	is.Equal(tracker.Level(deadly), quarantine.Suspected)
}

// Guards against confining kinds whose jobs have no part in crashes, of which there are many.
func TestUnrelatedCrashesRarelyConfine(t *testing.T) {
	is := is.New(t)

	const (
		days   = 400
		seed   = 5
		allow  = days / 10
		jobs   = 8.0 // jobs of each kind that start per second at a server
		spread = 700 * ms
	)

	random := rand.New(rand.NewPCG(seed, seed))
	confined := 0

	for range days {
		var tracker quarantine.Tracker

		// Ten crashes, closely enough that no suspicion ends by time.
		for n := range 10 {
			var exposures []quarantine.Exposure
			for _, kind := range []string{"quick", "lookup", "scan"} {
				age := time.Duration(random.ExpFloat64() / jobs * float64(time.Second))
				exposures = append(exposures, quarantine.NewExposure(kind, age, jobs))
			}

			for _, c := range crash(&tracker, time.Second+time.Duration(n)*spread, random.IntN(5) == 0, exposures...) {
				if c.Level() == quarantine.Confined {
					confined++
				}
			}
		}
	}

	t.Logf("seed %d: %d of %d days with ten unrelated crashes confine a kind", seed, confined, days)
	is.True(confined <= allow)
}

// Guards against a suspicion that stays although servers crash without the kind.
func TestCrashWithoutTheKindEndsItsSuspicion(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	crash(&tracker, 1000*ms, false, young(other))
	is.Equal(tracker.Level(other), quarantine.Suspected)
	crash(&tracker, 2000*ms, false, young(deadly))
	is.Equal(tracker.Level(other), quarantine.Unrestricted)
	is.Equal(tracker.Level(deadly), quarantine.Suspected)
	crash(&tracker, 2500*ms, false)
	crash(&tracker, 2600*ms, false, old(deadly))
	is.Equal(tracker.Level(deadly), quarantine.Unrestricted)
	tracker.Advance(10*time.Second, usable)
	is.True(tracker.IsEmpty())
}

// Guards against a confinement that ends although nothing was learned, or never.
func TestConfinementEndsAfterCalmTime(t *testing.T) {
	is := is.New(t)

	var tracker quarantine.Tracker

	for n := range 3 {
		crash(&tracker, time.Second+time.Duration(n)*100*ms, true, young(deadly))
	}

	is.Equal(tracker.Level(deadly), quarantine.Confined)

	is.Equal(len(tracker.Advance(time.Minute, func(string) bool { return false })), 0)
	is.Equal(len(tracker.Advance(time.Minute+4*time.Second, usable)), 0)
	crash(&tracker, time.Minute+4*time.Second, true, young(deadly))
	is.Equal(len(tracker.Advance(time.Minute+8*time.Second, usable)), 0)
	is.Equal(len(tracker.Advance(time.Minute+10*time.Second, usable)), 1)
	is.Equal(tracker.Access(service, deadly, false), quarantine.Allowed)
}

// Guards against rates that count the tasks of one job several times, or that are too low just after a restart, so that
// every start before a crash looks suspicious.
func TestStartRates(t *testing.T) {
	is := is.New(t)

	var rates quarantine.StartRates

	is.Equal(rates.Rate(deadly, time.Second), 0.0)

	for n := range 5 {
		for range 8 {
			rates.Record(deadly, fmt.Sprintf("job-%d", n), time.Second+time.Duration(n)*10*ms)
		}
	}

	is.True(rates.Rate(deadly, time.Second+100*ms) > 40) // 5 jobs in 100 ms
	is.True(rates.Rate(deadly, 2*time.Second) < 5)
	is.True(rates.Rate(deadly, 10*time.Second) < 0.1)
}

// Guards against a kind that is confined late at servers without much work: its only job there counts as one of ten in a
// second.
func TestRateOfSingleStartIsLow(t *testing.T) {
	is := is.New(t)

	var rates quarantine.StartRates

	rates.Begin(time.Second)
	rates.Record(deadly, "job", 4*time.Second)
	is.True(rates.Rate(deadly, 4*time.Second+10*ms) <= 1)
}

// Guards against a zone that differs much between two processes, or that takes a large part of the servers.
func TestZoneIsSmallAndStable(t *testing.T) {
	is := is.New(t)

	for _, n := range []int{3, 11, 53, 240} {
		var servers []string
		for k := range n {
			servers = append(servers, fmt.Sprintf("side-%d", k))
		}

		zone := quarantine.Zone(servers)
		is.True(len(zone) >= 1 && len(zone) <= max(1, n/4))

		kept := 0

		for name := range quarantine.Zone(servers[1:]) {
			if zone[name] {
				kept++
			}
		}

		is.True(kept >= len(zone)-1)
	}

	is.Equal(len(quarantine.Zone([]string{"a", "b"})), 0)
}
