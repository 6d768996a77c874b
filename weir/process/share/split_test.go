package share_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

type worker struct {
	name  string
	slots int
}

func (w worker) Name() string { return w.name }
func (w worker) Slots() int   { return w.slots }

func drawWorkers(t *rapid.T) []worker {
	slots := rapid.SliceOfN(rapid.IntRange(0, 64), 1, 40).Draw(t, "slots")
	out := make([]worker, 0, len(slots))

	for i, s := range slots {
		out = append(out, worker{fmt.Sprintf("w%d", i), s})
	}

	return out
}

func totalSlots(split map[string]int) int {
	n := 0
	for _, s := range split {
		n += s
	}

	return n
}

// Guards against allowances that add up to more than the member's limit, slots that are lost by rounding, a split that
// depends on the order of the workers, and a WorkerAllowance that differs from Split.
func TestSplitKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := drawWorkers(t)
		limit := rapid.IntRange(0, 3000).Draw(t, "limit")
		granule := rapid.IntRange(0, 16).Draw(t, "granule")
		total := 0

		for _, w := range workers {
			total += w.slots
		}

		split := share.Split("m", limit, granule, workers)
		if got, want := totalSlots(split), min(limit, total); got != want {
			t.Fatalf("allowances add up to %d, want %d", got, want)
		}

		for name, s := range split {
			if s < 0 {
				t.Fatalf("%s has %d slots", name, s)
			}
		}

		for _, w := range workers {
			if got := share.WorkerAllowance("m", limit, granule, workers, w.name); got != split[w.name] {
				t.Fatalf("%s has an allowance of %d slots, Split assigns %d", w.name, got, split[w.name])
			}
		}

		slices.Reverse(workers)

		for name, s := range share.Split("m", limit, granule, workers) {
			if split[name] != s {
				t.Fatalf("%s gets %d slots, and %d with the workers in reverse order", name, split[name], s)
			}
		}
	})
}

// Guards against allowances of less than a granule, at which the member's largest tasks could not run anywhere.
func TestSplitGivesWholeGranules(t *testing.T) {
	is := is.New(t)
	workers := []worker{{"a", 32}, {"b", 32}, {"c", 64}}
	split := share.Split("m", 30, 4, workers)
	wholeGranules := 0

	for _, s := range split {
		wholeGranules += s / 4
	}

	is.Equal(wholeGranules, 7)
	is.Equal(totalSlots(split), 30)
	is.True(split["c"] >= split["a"] && split["c"] >= split["b"])
}

// Guards against allowances beyond the limit while sidecars learn of a new split at different times. Most sidecars
// learn of it within the delay; the others may exceed the limit until then, by the slots beyond their new part.
func TestOvershootBound(t *testing.T) {
	const delay = 5 * time.Second

	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		origin := time.Unix(1_000_000, 0)
		allowances := map[string]*share.Allowance{}
		previousSplit := map[string]int{}
		limit := 0

		// Versions are three delays apart, so that at most two of them are in use at a time.
		for version := range 6 {
			publishedAt := origin.Add(time.Duration(version) * 3 * delay)

			var workers []worker
			for i := range 2 + r.IntN(12) {
				workers = append(workers, worker{fmt.Sprintf("w%d", i), 8 * (1 + r.IntN(8))})
			}

			previousLimit := limit
			limit = 1 + r.IntN(100)
			split := share.Split("m", limit, 1+r.IntN(4), workers)
			receivedAt := map[string]time.Time{}

			for _, name := range unionOfNames(previousSplit, split) {
				if allowances[name] == nil {
					allowances[name] = &share.Allowance{}
				}

				receivedAt[name] = publishedAt.Add(time.Duration(r.Int64N(int64(delay))))
				if r.IntN(8) == 0 {
					receivedAt[name] = publishedAt.Add(delay + time.Duration(r.Int64N(int64(2*delay))))
				}
			}

			for now := publishedAt; now.Before(publishedAt.Add(3 * delay)); now = now.Add(50 * time.Millisecond) {
				allowedSlots, lateExcess := 0, 0

				for name, a := range allowances {
					if !now.Before(receivedAt[name]) {
						a.Set(now, delay, split[name])
					} else if !now.Before(publishedAt.Add(delay)) {
						lateExcess += max(0, previousSplit[name]-split[name])
					}

					allowedSlots += a.At(now, delay)
				}

				bound := limit + lateExcess
				if now.Before(publishedAt.Add(delay)) {
					bound = max(previousLimit, bound)
				}

				if allowedSlots > bound {
					t.Fatalf("seed %d: %d slots are allowed %s after version %d, want at most %d",
						seed, allowedSlots, now.Sub(publishedAt), version, bound)
				}
			}

			previousSplit = split
		}
	}
}

func unionOfNames(a, b map[string]int) []string {
	var out []string
	for n := range a {
		out = append(out, n)
	}

	for n := range b {
		if _, both := a[n]; !both {
			out = append(out, n)
		}
	}

	slices.Sort(out)

	return out
}

// Guards against an increase before the delay has passed and a late reduction, in random sequences of targets.
func TestAllowanceIsSmallestTargetOfDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const delay = 10

		var a share.Allowance

		// targets holds the target of each second, after ten seconds without an allowance.
		targets := make([]int, delay)

		for second, target := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(t, "targets") {
			now := time.Unix(int64(second), 0)
			a.Set(now, delay*time.Second, target)
			targets = append(targets, target)

			if got, want := a.At(now, delay*time.Second), slices.Min(targets[len(targets)-delay-1:]); got != want {
				t.Fatalf("second %d: %d slots are allowed, want %d", second, got, want)
			}
		}
	})
}
