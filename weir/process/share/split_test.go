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

func fleet(t *rapid.T) []worker {
	slots := rapid.SliceOfN(rapid.IntRange(0, 64), 1, 40).Draw(t, "slots")
	out := make([]worker, 0, len(slots))

	for i, s := range slots {
		out = append(out, worker{fmt.Sprintf("w%d", i), s})
	}

	return out
}

func sum(split map[string]int) int {
	n := 0
	for _, s := range split {
		n += s
	}

	return n
}

// Guards against allowances that add up to more than the member's limit, against capacity lost in rounding, against
// splits that depend on the order in which workers are listed, and against an Allowed that differs from Split.
func TestSplitKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := fleet(t)
		limit := rapid.IntRange(0, 3000).Draw(t, "limit")
		granule := rapid.IntRange(0, 16).Draw(t, "granule")
		total := 0

		for _, w := range workers {
			total += w.slots
		}

		split := share.Split("m", limit, granule, workers)
		if got, want := sum(split), min(limit, total); got != want {
			t.Fatalf("allowances add up to %d, want %d", got, want)
		}

		for name, s := range split {
			if s < 0 {
				t.Fatalf("%s has %d slots", name, s)
			}
		}

		for _, w := range workers {
			if got := share.WorkerAllowance("m", limit, granule, workers, w.name); got != split[w.name] {
				t.Fatalf("%s is allowed %d slots, and split gives it %d", w.name, got, split[w.name])
			}
		}

		slices.Reverse(workers)

		for name, s := range share.Split("m", limit, granule, workers) {
			if split[name] != s {
				t.Fatalf("%s has %d slots, and %d in another order", name, split[name], s)
			}
		}
	})
}

// Guards against allowances smaller than the largest task, which would make the member's tasks unrunnable.
func TestSplitGivesWholeGranules(t *testing.T) {
	is := is.New(t)
	workers := []worker{{"a", 32}, {"b", 32}, {"c", 64}}
	split := share.Split("m", 30, 4, workers)
	whole := 0

	for _, s := range split {
		whole += s / 4
	}

	is.Equal(whole, 7)
	is.Equal(sum(split), 30)
	is.True(split["c"] >= split["a"] && split["c"] >= split["b"])
}

// Guards against an overshoot of the limit while sidecars learn of a new split at different times. The new split
// reaches most sidecars within the delay; those that it reaches later may exceed it by what they held before.
func TestOvershootBound(t *testing.T) {
	const delay = 5 * time.Second

	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		origin := time.Unix(1_000_000, 0)
		allowances := map[string]*share.Allowance{}
		last := map[string]int{}
		limit := 0

		// Versions are further apart than the delay, so that each difference is between two of them only.
		for version := range 6 {
			at := origin.Add(time.Duration(version) * 3 * delay)

			var workers []worker
			for i := range 2 + r.IntN(12) {
				workers = append(workers, worker{fmt.Sprintf("w%d", i), 8 * (1 + r.IntN(8))})
			}

			before := limit
			limit = 1 + r.IntN(100)
			split := share.Split("m", limit, 1+r.IntN(4), workers)
			seen := map[string]time.Time{}

			for _, name := range names(last, split) {
				if allowances[name] == nil {
					allowances[name] = &share.Allowance{}
				}

				seen[name] = at.Add(time.Duration(r.Int64N(int64(delay))))
				if r.IntN(8) == 0 {
					seen[name] = at.Add(delay + time.Duration(r.Int64N(int64(2*delay))))
				}
			}

			for now := at; now.Before(at.Add(3 * delay)); now = now.Add(50 * time.Millisecond) {
				held, late := 0, 0

				for name, a := range allowances {
					if !now.Before(seen[name]) {
						a.Set(now, delay, split[name])
					} else if !now.Before(at.Add(delay)) {
						late += max(0, last[name]-split[name])
					}

					held += a.At(now, delay)
				}

				bound := limit + late
				if now.Before(at.Add(delay)) {
					bound = max(before, bound)
				}

				if held > bound {
					t.Fatalf("seed %d: %d slots are allowed %s after version %d, at most %d may be", seed, held, now.Sub(at), version, bound)
				}
			}

			last = split
		}
	}
}

func names(a, b map[string]int) []string {
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

// Guards against allowances that grow before the delay has passed or that shrink late, also in sequences of changes.
func TestAllowanceIsSmallestTargetOfDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const delay = 10

		var a share.Allowance

		// targets holds the target at each second; before the first one nothing was allowed.
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
