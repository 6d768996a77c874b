package emulator

import (
	"cmp"
	"slices"
	"time"
)

// boundSlot is the resolution of time windows. Windows are extended to whole slots, which only raises the bound.
const boundSlot = 50 * time.Millisecond

// slotRange is a range of slots, without the end.
type slotRange struct{ start, end int }

// capacityBound holds how much work was assigned to each span of time. Work is in core-seconds on a backend server that
// is not slow.
type capacityBound struct {
	// perSlot is the work that the fleet can do in one slot.
	perSlot float64
	// assigned[a][n] is the work whose window lies within the n + 1 slots from slot a on.
	assigned [][]float64
}

// Bounds are the shares of the jobs of each kind, and of the largest tenth of each kind, that can be on time at most.
type Bounds struct{ kinds, largestTenth []float64 }

// Kinds returns the bound of each kind.
func (b Bounds) Kinds() []float64 { return b.kinds }

// LargestTenth returns the bound of the largest tenth of each kind, by number of tasks.
func (b Bounds) LargestTenth() []float64 { return b.largestTenth }

// UpperBounds returns what a scheduler can serve on time at most that knows all jobs of a load and seed in advance and
// serves more urgent kinds first, and smaller jobs of a kind first. No rule serves more of the most urgent kind.
//
// The bound relaxes the fleet to one backend server with the capacity of all, and jobs to work that can be divided and
// interrupted at will between arrival and objective. What can be done of each job then depends on the spans of time
// alone: no span can hold more work than it has capacity for. Such sets are polymatroids, so that assigning to one
// job after the other as much as fits, in the order of preference, is optimal for every prefix of that order. Sources:
// N. Megiddo, "Optimal flows in networks with multiple sources and sinks", Mathematical Programming 7, 1974; J. Edmonds,
// "Submodular functions, matroids, and certain polyhedra", 1970.
func UpperBounds(l Load, seed uint64) Bounds {
	jobs := l.draw(seed)
	slices.SortStableFunc(jobs, func(x, y arrival) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(x.coreSeconds(), y.coreSeconds()))
	})

	kinds, largest := make([]jobCount, len(l.kinds)), make([]jobCount, len(l.kinds))
	b := newCapacityBound(jobs, l.fleetCores())

	for _, j := range jobs {
		work := j.coreSeconds()
		part := b.assign(j.window(), work) / work
		kinds[j.kind].add(part)

		if l.isLarge(j) {
			largest[j.kind].add(part)
		}
	}

	return Bounds{shares(kinds), shares(largest)}
}

// jobCount counts jobs and the parts of them that can be on time.
type jobCount struct{ jobs, onTime float64 }

func (c *jobCount) add(part float64) {
	c.jobs++
	c.onTime += part
}

func shares(counts []jobCount) []float64 {
	all := make([]float64, 0, len(counts))
	for _, c := range counts {
		all = append(all, c.onTime/max(1, c.jobs))
	}

	return all
}

// fleetCores returns how many cores that are not slow would do as much work as the fleet.
func (l Load) fleetCores() float64 {
	cores := 0.0
	for n := range l.servers {
		cores += float64(l.coresPerServer) / l.slowness(n)
	}

	return cores
}

func newCapacityBound(jobs []arrival, fleetCores float64) *capacityBound {
	slots := 0
	for _, j := range jobs {
		slots = max(slots, j.window().end)
	}

	b := &capacityBound{fleetCores * boundSlot.Seconds(), make([][]float64, slots)}
	for n := range b.assigned {
		b.assigned[n] = make([]float64, slots-n)
	}

	return b
}

// window returns the slots between the arrival and the objective.
func (a arrival) window() slotRange {
	start := int(a.arrivedAt / boundSlot)
	end := int((a.arrivedAt + a.objective() + boundSlot - 1) / boundSlot)

	return slotRange{start, max(start+1, end)}
}

// assign assigns as much of the work to a window as fits into every span that contains it, and returns how much that is.
func (b *capacityBound) assign(w slotRange, work float64) float64 {
	fits := work

	for start := range w.start + 1 {
		shortest := w.end - start

		for n, assigned := range b.assigned[start][shortest-1:] {
			fits = min(fits, b.perSlot*float64(shortest+n)-assigned)
		}

		if fits <= 0 {
			return 0
		}
	}

	for start := range w.start + 1 {
		spans := b.assigned[start][w.end-start-1:]
		for n := range spans {
			spans[n] += fits
		}
	}

	return fits
}
