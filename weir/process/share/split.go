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

// Split divides a member's limit over the workers and returns the slots of each worker by name. Whole granules are
// given by the largest-remainder method in proportion to slots; ties go by the rendezvous hash of member and worker.
// What remains of the limit below one granule goes to the worker with the largest quota, where larger tasks can use it.
// A limit of at least the whole fleet limits nothing, so every worker then gets its own slots.
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
	given := 0

	for _, w := range workers {
		p := d.portion(w.Name(), w.Slots())
		p.hash, p.hashed = rendezvousHash(member, p.name), true
		given += p.wholeGranules
		portions = append(portions, p)
	}

	slices.SortFunc(portions, func(a, b portion) int { return d.compare(&a, &b) })

	var largest portion

	for i, p := range portions {
		granules := p.wholeGranules
		if i < d.granuleCount-given {
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

// Allowed returns what Split gives to one worker, without the work for the others.
func WorkerAllowance[W Worker](member string, limit, granule int, workers []W, worker string) int {
	d := newDivision(member, limit, granule, workers)

	own := slices.IndexFunc(workers, func(w W) bool { return w.Name() == worker })
	if own < 0 {
		return 0
	}

	if d.unlimited() {
		return max(0, workers[own].Slots())
	}

	mine := d.portion(worker, workers[own].Slots())
	given, before, largest := 0, 0, true

	for _, w := range workers {
		p := d.portion(w.Name(), w.Slots())
		given += p.wholeGranules
		ahead := p.name != mine.name && d.compare(&p, &mine) < 0

		if ahead {
			before++
		}

		if p.wholeGranules > mine.wholeGranules || p.wholeGranules == mine.wholeGranules && ahead {
			largest = false
		}
	}

	granules := mine.wholeGranules
	if before < d.granuleCount-given {
		granules++
	}

	if largest {
		return granules*d.granule + d.remainderSlots()
	}

	return granules * d.granule
}

// division is a limit that is divided over workers.
type division struct {
	member string
	// total is the sum of the workers' slots, count the number of whole granules in the limit.
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

// rest returns what remains of the limit below one granule.
func (d division) remainderSlots() int { return d.limit - d.granuleCount*d.granule }

// portion is one worker's part of a division: its whole granules, and the remainder in units of 1/total.
type portion struct {
	name                     string
	wholeGranules, remainder int
	// rank is valid if ranked is true; only ties need it.
	hash   uint64
	hashed bool
}

func (d division) portion(name string, slots int) portion {
	quota := d.granuleCount * max(0, slots)

	return portion{name: name, wholeGranules: quota / d.totalSlots, remainder: quota % d.totalSlots}
}

// compare orders portions by their claim to one granule more.
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

// rank orders workers for a member; the order of the others does not change when a worker comes or goes.
func rendezvousHash(member, worker string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(worker)

	return d.Sum64()
}
