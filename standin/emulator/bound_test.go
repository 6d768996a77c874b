package emulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

// rounding is the error of sums of bounds.
const rounding = 1e-9

// Guards against a bound that a rule exceeds, which would hide what is left to gain.
func TestNoRuleExceedsTheBound(t *testing.T) {
	is := is.New(t)
	flood := emulator.SmallDeployment(1, 2.6, 1.8).WithDuration(9 * time.Second)

	for _, seed := range []uint64{1, 2, 3} {
		bound := emulator.UpperBounds(flood, seed).Kinds()[quick]

		for _, rule := range []emulator.Rule{emulator.Product{}, emulator.Windowed{}, emulator.Unlimited{}} {
			is.True(emulator.Simulate(flood, rule, seed).Kinds()[quick].OnTimeShare() <= bound+rounding)
		}
	}
}

// Guards against a bound that ignores the capacity of the fleet, or that a light load does not reach.
func TestBoundFollowsCapacity(t *testing.T) {
	is := is.New(t)

	bound := func(jobs int) float64 {
		return emulator.UpperBounds(emulator.Burst(jobs, time.Millisecond), 1).Kinds()[0]
	}

	is.Equal(bound(40), 1.0)

	crowded, twice := bound(2000), bound(4000)
	t.Logf("2000 jobs at once: %.3f, 4000: %.3f", crowded, twice)
	is.True(crowded < 1)
	is.True(twice < crowded)
	is.True(twice >= crowded/2-0.05) // small jobs come first, and twice as many of them are there
}

// Guards against refusals without a cause, and against a cause of jobs that were served.
func TestRefusalsHaveACause(t *testing.T) {
	is := is.New(t)
	result := emulator.Simulate(emulator.SmallDeployment(1, 1, 4), emulator.Product{}, 1)

	withoutCapacity := 0

	for _, j := range result.Jobs() {
		is.Equal(j.Ending() == emulator.Refused, j.Cause() != "")

		if j.Ending() == emulator.Refused && j.Capacity() == emulator.NoCapacity {
			withoutCapacity++
		}

		if j.Ending() == emulator.OnTime {
			is.True(j.ResponseTime() >= j.Ideal())
		}
	}

	is.True(withoutCapacity > 0)
}

// Guards against a used part of the CPU that does not follow the load.
func TestUsageFollowsLoad(t *testing.T) {
	is := is.New(t)

	mean := func(level float64) float64 {
		usage := emulator.Simulate(emulator.SmallDeployment(level, 1, 1), emulator.Product{}, 1).Usage()
		sum := 0.0

		for _, u := range usage {
			is.True(u.Part() >= 0 && u.Part() <= 1)
			sum += u.Part()
		}

		return sum / float64(len(usage))
	}

	is.True(mean(0.6) > 1.5*mean(0.3))
}
