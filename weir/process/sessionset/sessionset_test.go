package sessionset_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
)

// fleet is a deployment whose entries and sidecars are spread over failure domains.
type fleet struct {
	entries  []sessionset.Entry
	sidecars []sessionset.Sidecar
}

func newFleet(entries, sidecars, domains int) fleet {
	var f fleet

	for n := range entries {
		f.entries = append(f.entries, sessionset.NewEntry(fmt.Sprintf("10.0.%d.1:7720", n), domain(n, domains)))
	}

	for n := range sidecars {
		f.sidecars = append(f.sidecars, sessionset.NewSidecar(fmt.Sprintf("sidecar-%d", n), domain(n, domains)))
	}

	return f
}

func domain(n, domains int) string { return fmt.Sprintf("domain-%d", n%domains) }

// sessions returns the number of sessions of each entry, by address.
func (f fleet) sessions(size int) map[string]int {
	counts := map[string]int{}

	for _, s := range f.sidecars {
		for _, e := range sessionset.Choose(s, f.entries, size) {
			counts[e.Address()]++
		}
	}

	return counts
}

func addresses(entries []sessionset.Entry) map[string]bool {
	set := map[string]bool{}
	for _, e := range entries {
		set[e.Address()] = true
	}

	return set
}

// Guards against a small deployment in which an entry does not reach all backend servers.
func TestSmallFleetHasFullMesh(t *testing.T) {
	is := is.New(t)

	for _, f := range []fleet{newFleet(3, 11, 3), newFleet(4, 30, 3)} {
		size := sessionset.Size(0, len(f.entries), len(f.sidecars))

		for _, s := range f.sidecars {
			is.Equal(len(sessionset.Choose(s, f.entries, size)), len(f.entries))
		}
	}
}

// Guards against entries that have too few backend servers for their share of the load, in even fleets and in those
// whose entries and sidecars are spread differently over the failure domains.
func TestSetsAreBalanced(t *testing.T) {
	is := is.New(t)

	skewed := newFleet(55, 240, 5)
	for n := range skewed.sidecars {
		skewed.sidecars[n] = sessionset.NewSidecar(fmt.Sprintf("sidecar-%d", n), domain(n, 2))
	}

	for _, f := range []fleet{newFleet(55, 240, 5), newFleet(12, 690, 6), newFleet(60, 40, 3), skewed} {
		size := sessionset.Size(0, len(f.entries), len(f.sidecars))
		counts := f.sessions(size)
		mean := float64(size*len(f.sidecars)) / float64(len(f.entries))

		for _, e := range f.entries {
			is.True(float64(counts[e.Address()]) >= mean/2) // no entry under half of the mean
		}
	}
}

// Guards against an entry that is left without backend servers when a failure domain is lost.
func TestEachDomainIsRepresented(t *testing.T) {
	is := is.New(t)
	f := newFleet(55, 240, 5)

	for _, s := range f.sidecars {
		domains := map[string]bool{}
		for _, e := range sessionset.Choose(s, f.entries, sessionset.MinEntries) {
			domains[e.FailureDomain()] = true
		}

		is.Equal(len(domains), 5)
	}
}

// Guards against sessions that all move when one entry comes or goes.
func TestOneEntryChangesFewSessions(t *testing.T) {
	is := is.New(t)
	f := newFleet(55, 240, 5)
	size := sessionset.Size(0, len(f.entries), len(f.sidecars))
	gone := f.entries[17].Address()
	changed, affected := 0, 0

	for _, s := range f.sidecars {
		before := addresses(sessionset.Choose(s, f.entries, size))
		rest := append(append([]sessionset.Entry{}, f.entries[:17]...), f.entries[18:]...)

		if before[gone] {
			affected++
		}

		for a := range addresses(sessionset.Choose(s, rest, size)) {
			if !before[a] {
				changed++
			}
		}
	}

	is.True(affected > 0)
	is.Equal(changed, affected) // each set that had the entry replaces it by one other
}

// Guards against two processes with different versions of the list that choose entirely different sets.
func TestSetsOfTwoListsAgree(t *testing.T) {
	is := is.New(t)
	f := newFleet(55, 240, 5)
	size := sessionset.Size(0, len(f.entries), len(f.sidecars))

	for _, s := range f.sidecars {
		older := addresses(sessionset.Choose(s, f.entries[:50], size))
		common := 0

		for a := range addresses(sessionset.Choose(s, f.entries, size)) {
			if older[a] {
				common++
			}
		}

		is.True(common >= size-5) // at most one entry differs for each entry that the older list lacks
	}
}

// Guards against sets that lose their size for good after a third of the entries went at once.
func TestSetsHealAfterMassLoss(t *testing.T) {
	is := is.New(t)
	f := newFleet(55, 240, 5)
	f.entries = f.entries[:36]

	counts := f.sessions(sessionset.Size(0, 55, 240))
	for _, e := range f.entries {
		is.True(counts[e.Address()] >= sessionset.SidecarsPerEntry/2)
	}
}

// Guards against sets that are too small for the widest jobs or grow with the fleet.
func TestSizeFollowsTheFleet(t *testing.T) {
	is := is.New(t)

	is.Equal(sessionset.Size(0, 3, 11), 3)
	is.Equal(sessionset.Size(0, 55, 0), sessionset.MinEntries) // the number of sidecars is not known yet
	is.Equal(sessionset.Size(sessionset.MinEntries, 55, 240), 8)
	is.Equal(sessionset.Size(0, 55, 690), sessionset.MinEntries)
	is.Equal(sessionset.Size(0, 60, 40), 48) // few sidecars serve most entries
}

// Guards against sets that change with every error of the estimate.
func TestSizeHasHysteresis(t *testing.T) {
	is := is.New(t)

	for sidecars := 225; sidecars <= 280; sidecars++ {
		is.Equal(sessionset.Size(8, 55, sidecars), 8)
	}

	is.True(sessionset.Size(8, 55, 120) >= 15)
	is.Equal(sessionset.Size(15, 55, 600), sessionset.MinEntries)
}

// Guards against an estimate of the fleet that depends on the size of the sets.
func TestSidecarsAreEstimatedFromShares(t *testing.T) {
	is := is.New(t)
	f := newFleet(55, 240, 5)

	for _, size := range []int{8, 11, 55} {
		share := sessionset.Share(size, len(f.entries))
		sum := 0

		for _, count := range f.sessions(size) {
			shares := make([]uint32, count)
			for n := range shares {
				shares[n] = share
			}

			sum += sessionset.EstimateSidecars(shares)
		}

		mean := float64(sum) / float64(len(f.entries))
		is.True(mean > 0.95*240 && mean < 1.05*240)
	}

	is.Equal(sessionset.EstimateSidecars([]uint32{0, 0, 0}), 3) // sidecars of an older version have a full mesh
}
