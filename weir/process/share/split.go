// Package share divides capacity: a member's limit over workers, and the slots of one worker over kinds and members.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Worker is what Split needs to know about a registered worker.
type Worker interface {
	Name() string
	Slots() int
}

// portion is one worker's part in a split.
type portion struct {
	name string
	// remainder is the part of the quota below one granule, in units of 1/(sum of slots).
	remainder int
	rank      uint64
	granules  int
}

// Split divides a member's limit over the workers and returns the slots of each worker by name. Whole granules are
// given by the largest-remainder method in proportion to slots; ties go by the rendezvous hash of member and worker.
// What remains of the limit below one granule goes to the worker with the most granules, where larger tasks can use it.
// A limit of at least the whole fleet limits nothing, so every worker then gets its own slots.
func Split[W Worker](member string, limit, granule int, workers []W) map[string]int {
	slots := make(map[string]int, len(workers))
	total := 0

	for _, w := range workers {
		slots[w.Name()] = max(0, w.Slots())
		total += max(0, w.Slots())
	}

	if limit >= total {
		return slots
	}

	if limit <= 0 {
		clear(slots)
		return slots
	}

	granule = min(max(granule, 1), limit)
	count := limit / granule
	portions := make([]portion, 0, len(workers))
	given := 0

	for _, w := range workers {
		quota := count * max(0, w.Slots())
		p := portion{w.Name(), quota % total, rank(member, w.Name()), quota / total}
		given += p.granules
		portions = append(portions, p)
	}

	slices.SortFunc(portions, func(a, b portion) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})

	for i := range portions[:count-given] {
		portions[i].granules++
	}

	largest := 0

	for i, p := range portions {
		slots[p.name] = p.granules * granule

		if p.granules > portions[largest].granules {
			largest = i
		}
	}

	slots[portions[largest].name] += limit - count*granule

	return slots
}

// rank orders workers for a member; the order of the others does not change when a worker comes or goes.
func rank(member, worker string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(worker)

	return d.Sum64()
}
