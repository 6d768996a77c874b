package emulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

// meanResponse returns the mean response time of the jobs of a kind that arrived after a time and ended, and the share of
// them with a task beside the kind that slows it down.
func meanResponse(r emulator.Result, kind int, from time.Duration) (mean time.Duration, beside float64) {
	jobs, besides := 0, 0

	for _, j := range r.Jobs() {
		if j.Kind() == kind && j.ArrivedAt() >= from && j.ResponseTime() > 0 {
			jobs++
			mean += j.ResponseTime()

			if j.Beside() {
				besides++
			}
		}
	}

	return mean / time.Duration(jobs), float64(besides) / float64(jobs)
}

// Guards against a planted pair that is not learned, or not kept apart although there is room, and against other jobs that
// are refused for it.
func TestPlantedPairIsKeptApart(t *testing.T) {
	is := is.New(t)
	load := emulator.Pair(90 * time.Second)

	const lookup, from = 1, time.Minute

	for _, seed := range []uint64{1, 2, 3} {
		plain, separated := emulator.Simulate(load, emulator.Product{}, seed), emulator.Simulate(load, emulator.Separating{}, seed)
		is.Equal(len(plain.PairChanges()), 0)

		found := 0

		for _, c := range separated.PairChanges() {
			t.Log(c)
			is.Equal(c.Pair().Kind(), "lookup")
			is.Equal(c.Pair().Beside(), "scan")

			if c.Added() {
				found++
			}
		}

		is.Equal(found, 3) // each entry

		before, besideBefore := meanResponse(plain, lookup, from)
		after, besideAfter := meanResponse(separated, lookup, from)
		t.Logf("seed %d: mean response %v, %.2f beside; separated %v, %.2f beside", seed, before, besideBefore, after, besideAfter)
		is.True(after < before*9/10)
		is.True(besideAfter < besideBefore/2)

		for n, k := range separated.Kinds() {
			t.Logf("%s: refused %.4f, %.4f; on time %.4f, %.4f", k.Name(), plain.Kinds()[n].RefusedShare(), k.RefusedShare(), plain.Kinds()[n].OnTimeShare(), k.OnTimeShare())
			is.True(k.RefusedShare() <= plain.Kinds()[n].RefusedShare()+0.002)
		}
	}
}

// Guards against decisions that change without a pair: what is learned has to be nothing.
func TestSeparatingWithoutPairChangesNothing(t *testing.T) {
	is := is.New(t)
	load := emulator.SmallDeployment(1, 1, 1).WithDuration(20*time.Second).WithPair(1, 2, 1)
	plain, separated := emulator.Simulate(load, emulator.Product{}, 1), emulator.Simulate(load, emulator.Separating{}, 1)

	is.Equal(len(separated.PairChanges()), 0)
	is.Equal(separated.Jobs(), plain.Jobs())
}
