// Package share divides capacity: the limit of a member among workers, and the slots of one worker among kinds and
// members.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Worker is a registered worker among which a limit is divided.
type Worker interface {
	Name() string
	Slots() int
}

// Split divides a member's limit among the workers and returns the slots of each worker by name. Whole granules are
// assigned in proportion to slots by the largest-remainder method; the rendezvous hash of member and worker decides
// ties. The rest of the limit, which is less than one granule, goes to the worker with the largest quota, where larger
// tasks can use it. A limit of at least the sum of all slots has no effect, so every worker then gets its own slots.
func Split[W Worker](member string, limit, granule int, workers []W) map[string]int {
	slots := make(map[string]int, len(workers))
	d := newDivision(member, limit, granule, workers)

	if d.unlimited() {
		for _, w := range workers {
			slots[w.Name()] = max(0, w.Slots())
		}

		return slots
	}

	portions := make([]portion, 0, len(workers))
	assigned := 0

	for _, w := range workers {
		p := d.portion(w.Name(), w.Slots())
		p.hash, p.hashed = rendezvousHash(member, p.name), true
		assigned += p.wholeGranules
		portions = append(portions, p)
	}

	slices.SortFunc(portions, func(a, b portion) int { return d.compare(&a, &b) })

	var largest portion

	for i, p := range portions {
		granules := p.wholeGranules
		if i < d.granuleCount-assigned {
			granules++
		}

		slots[p.name] = granules * d.granule

		if i == 0 || p.wholeGranules > largest.wholeGranules {
			largest = p
		}
	}

	if len(portions) > 0 {
		slots[largest.name] += d.remainderSlots()
	}

	return slots
}

// WorkerAllowance returns the slots that Split assigns to one worker, without sorting all workers.
func WorkerAllowance[W Worker](member string, limit, granule int, workers []W, worker string) int {
	d := newDivision(member, limit, granule, workers)

	ownIndex := slices.IndexFunc(workers, func(w W) bool { return w.Name() == worker })
	if ownIndex < 0 {
		return 0
	}

	if d.unlimited() {
		return max(0, workers[ownIndex].Slots())
	}

	own := d.portion(worker, workers[ownIndex].Slots())
	assigned, preceding, isLargest := 0, 0, true

	for _, w := range workers {
		p := d.portion(w.Name(), w.Slots())
		assigned += p.wholeGranules
		precedes := p.name != own.name && d.compare(&p, &own) < 0

		if precedes {
			preceding++
		}

		if p.wholeGranules > own.wholeGranules || p.wholeGranules == own.wholeGranules && precedes {
			isLargest = false
		}
	}

	granules := own.wholeGranules
	if preceding < d.granuleCount-assigned {
		granules++
	}

	if isLargest {
		return granules*d.granule + d.remainderSlots()
	}

	return granules * d.granule
}

// division is a limit that is divided among workers.
type division struct {
	member string
	// limit, granule and totalSlots count slots; totalSlots is the sum over the workers, granuleCount the number of
	// whole granules in the limit.
	limit, granule, granuleCount, totalSlots int
}

func newDivision[W Worker](member string, limit, granule int, workers []W) division {
	d := division{member: member, limit: max(0, limit)}
	d.granule = max(1, min(granule, d.limit))
	d.granuleCount = d.limit / d.granule

	for _, w := range workers {
		d.totalSlots += max(0, w.Slots())
	}

	return d
}

func (d division) unlimited() bool { return d.limit >= d.totalSlots }

// remainderSlots returns the slots of the limit that do not fill a granule.
func (d division) remainderSlots() int { return d.limit - d.granuleCount*d.granule }

// portion is one worker's part of a division: its whole granules, and the remainder in units of 1/totalSlots of a
// granule.
type portion struct {
	name                     string
	wholeGranules, remainder int
	// hash is valid if hashed is true; it is computed only for ties.
	hash   uint64
	hashed bool
}

func (d division) portion(name string, slots int) portion {
	quota := d.granuleCount * max(0, slots)

	return portion{name: name, wholeGranules: quota / d.totalSlots, remainder: quota % d.totalSlots}
}

// compare orders portions by precedence for one additional granule: by remainder, then by hash and name.
func (d division) compare(a, b *portion) int {
	if c := cmp.Compare(b.remainder, a.remainder); c != 0 {
		return c
	}

	for _, p := range []*portion{a, b} {
		if !p.hashed {
			p.hash, p.hashed = rendezvousHash(d.member, p.name), true
		}
	}

	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
}

// rendezvousHash orders workers for a member. The order of the other workers does not change when one is added or
// removed.
func rendezvousHash(member, worker string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(worker)

	return d.Sum64()
}
