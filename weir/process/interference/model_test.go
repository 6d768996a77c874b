package interference_test

import (
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/interference"
)

// seedsWithPair returns the number of seeds, from 1 on, for which the model reported a pair other than the expected one,
// and the number for which it reported that one and has it in force.
func seedsWithPair(t *testing.T, f fleet, seeds int, kind, beside string) (others, found int) {
	t.Helper()

	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)

	next := make(chan uint64)

	for range min(4, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for seed := range next {
				m, changes := learned(f, seed)
				other := false

				for _, c := range changes {
					if p := c.Pair(); p.Kind() != kind || p.Beside() != beside {
						other = true

						t.Logf("seed %d: %s beside %s: factor %.2f, score %.1f, %d tasks, after %v, %s",
							seed, p.Kind(), p.Beside(), p.Factor(), p.Score(), p.Tasks(), c.at, c.Reason())
					}
				}

				mu.Lock()

				if other {
					others++
				}

				for _, p := range m.Pairs() {
					if p.Kind() == kind && p.Beside() == beside {
						found++
					}
				}

				mu.Unlock()
			}
		})
	}

	for seed := range seeds {
		next <- uint64(seed) + 1
	}

	close(next)
	group.Wait()

	return others, found
}

// falseRate is the stated share of runs without a pair that report one.
const falseRate = 0.01

// Guards against pairs that are reported where there are none: on an uneven fleet whose servers slow down under load, with
// kinds that come in bursts and heavy tails.
func TestNoPairIsReportedWithoutOne(t *testing.T) {
	const seeds = 1000

	f := usualFleet()
	f.duration = time.Minute

	others, _ := seedsWithPair(t, f, seeds, "", "")
	t.Logf("%d of %d seeds report a pair", others, seeds)
	is.New(t).True(others <= falseRate*seeds)
}

// Guards against a pair that is missed, or found for the wrong kinds.
func TestPlantedPairIsFound(t *testing.T) {
	is := is.New(t)
	f := usualFleet()
	f.duration = 150 * time.Second
	f.effect = planted

	others, found := seedsWithPair(t, f, 100, "a", "b")
	t.Logf("found in %d of 100 seeds, others in %d", found, others)
	is.True(found >= 95)
	is.True(others <= 3)
}

// Guards against the opposite direction being taken for the pair: the kind that disturbs is not slowed down itself.
func TestFactorOfThePairIsLearned(t *testing.T) {
	is := is.New(t)
	f := usualFleet()
	f.effect = planted

	m, _ := learned(f, 1)
	pairs := m.Pairs()
	is.Equal(len(pairs), 1)
	is.Equal(pairs[0].Kind(), "a")
	is.Equal(pairs[0].Beside(), "b")
	is.True(pairs[0].Factor() > 1.3 && pairs[0].Factor() < 2)
	is.Equal(m.Slowdown("a", []string{"c", "b"}), pairs[0].Factor())
	is.Equal(m.Slowdown("b", []string{"a"}), pairs[0].Factor()) // a task of b would slow down the ones of a
	is.Equal(m.Slowdown("a", []string{"a", "c", "unknown"}), 1.0)
}

// Guards against a kind being blamed for the servers where it mostly runs: b runs at the slow ones, which are slow for
// some kinds only.
func TestKindAtSlowServersIsNoPair(t *testing.T) {
	f := usualFleet()
	f.duration = time.Minute
	f.pace = func(server int, kind string, _ time.Duration) float64 {
		if server%2 == 0 || kind == "c" {
			return 0.8
		}

		return 1.8
	}
	f.share = func(server int, kind string, _ time.Duration) float64 {
		if server%2 == 0 && kind == "b" {
			return 0.3
		}

		return 1
	}

	others, _ := seedsWithPair(t, f, 200, "", "")
	t.Logf("%d of 200 seeds report a pair", others)
	is.New(t).True(others <= 2)
}

// Guards against a kind being blamed for servers that turn slow, or are still cold, while it runs there: half of the
// servers take twice as long for all kinds in times of 10 s, and b runs there only then.
func TestServerThatTurnsSlowIsNoPair(t *testing.T) {
	slow := func(server int, at time.Duration) bool { return server%2 == 0 && int(at.Seconds())/10%2 == 1 }
	f := usualFleet()
	f.duration = time.Minute
	f.pace = func(server int, _ string, at time.Duration) float64 {
		if slow(server, at) {
			return 2
		}

		return 1
	}
	f.share = func(server int, kind string, at time.Duration) float64 {
		if kind == "b" && server%2 == 0 && !slow(server, at) {
			return 0.1
		}

		return 1
	}

	others, _ := seedsWithPair(t, f, 200, "", "")
	t.Logf("%d of 200 seeds report a pair", others)
	is.New(t).True(others <= 2)
}

// Guards against a pair that stays in force after it has ended.
func TestPairThatEndsIsDropped(t *testing.T) {
	is := is.New(t)

	const end = 100 * time.Second

	f := usualFleet()
	f.duration = 300 * time.Second
	f.effect = func(kind, beside string, at time.Duration) float64 {
		if at < end {
			return planted(kind, beside, at)
		}

		return 1
	}

	dropped := 0

	for seed := range uint64(20) {
		m, changes := learned(f, seed)

		for _, c := range changes {
			if !c.Added() && c.Pair().Kind() == "a" && c.Pair().Beside() == "b" {
				is.True(c.at > end)
				is.Equal(c.Reason(), interference.Gone)
			}
		}

		if len(m.Pairs()) == 0 {
			dropped++
		}
	}

	t.Logf("dropped in %d of 20 seeds", dropped)
	is.True(dropped >= 19)
}

// Guards against a pair that is never looked at again, as its kinds are kept apart or have gone.
func TestUnconfirmedPairIsDropped(t *testing.T) {
	is := is.New(t)
	f := usualFleet()
	f.effect = planted
	m, _ := learned(f, 1)
	is.Equal(len(m.Pairs()), 1)

	is.Equal(len(m.Advance(f.duration+9*time.Minute)), 0)
	changes := m.Advance(f.duration + 11*time.Minute)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Reason(), interference.Old)
	is.Equal(m.Slowdown("a", []string{"b"}), 1.0)
}

// Guards against memory that grows with the names that callers choose, and against a full table that never takes another
// kind.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)

	var m interference.Model

	observe := func(kind string, at time.Duration) {
		m.Observe(interference.NewObservation(kind, "s", time.Millisecond, interference.Surroundings{}), at)
	}

	for n := range 1000 {
		observe("kind-"+strconv.Itoa(n), time.Duration(n)*time.Millisecond)
	}

	is.Equal(m.Kinds(), interference.MaxKinds)

	f := usualFleet()
	f.effect = planted

	for _, o := range f.run(1) {
		m.Observe(o.obs, o.at+time.Hour)
		m.Advance(o.at + time.Hour)
	}

	is.Equal(m.Kinds(), interference.MaxKinds)
	is.Equal(len(m.Pairs()), 1)
}

// Guards against decisions that differ from those without a model while nothing is known.
func TestNothingIsKnownWithoutEvidence(t *testing.T) {
	is := is.New(t)

	var m interference.Model

	is.Equal(m.Slowdown("a", []string{"b"}), 1.0)
	is.Equal(len(m.Advance(time.Second)), 0)
	m.Observe(interference.NewObservation("", "s", time.Second, interference.Surroundings{}), time.Second)
	m.Observe(interference.NewObservation("a", "", time.Second, interference.Surroundings{}), time.Second)
	is.Equal(len(m.Pairs()), 0)
	is.Equal(m.Slowdown("a", []string{"a", ""}), 1.0)
}

// Measures the processor time for each task that has ended, with the estimates: of four kinds, of the same ten times as often,
// and of as many kinds as are modelled.
func BenchmarkObserve(b *testing.B) {
	many := usualFleet()
	many.kinds = nil

	for n := range interference.MaxKinds {
		many.kinds = append(many.kinds, kindSpec{"kind-" + strconv.Itoa(n), 0.3, 150 * time.Millisecond, 0})
	}

	for _, c := range []struct {
		name   string
		fleet  fleet
		faster time.Duration
	}{{"kinds-4", usualFleet(), 1}, {"kinds-4-faster", usualFleet(), 10}, {"kinds-16", many, 1}} {
		observations := c.fleet.run(1)
		span := observations[len(observations)-1].at

		b.Run(c.name, func(b *testing.B) {
			var m interference.Model

			for n := 0; b.Loop(); n++ {
				o := observations[n%len(observations)]
				at := (span*time.Duration(n/len(observations)) + o.at) / c.faster
				m.Observe(o.obs, at)
				m.Advance(at)
			}
		})
	}
}
