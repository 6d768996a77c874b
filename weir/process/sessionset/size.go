package sessionset

import "math"

const (
	// SidecarsPerEntry is the mean number of sidecars that an entry shall have. They hold the tasks of a wide job of
	// large tasks beside others; with more, entries choose the same free backend servers.
	SidecarsPerEntry = 32
	// MinEntries is the least number of entries in a set, if there are as many. A sidecar whose set loses half of its
	// entries at once still has several callers' worth of work.
	MinEntries = 5
	// growShare and shrinkShare are the ratios of the wanted size to the current one from which the size changes, so
	// that the error of the estimate of the fleet does not make sets change.
	growShare   = 1.15
	shrinkShare = 0.75
)

// Size returns the number of entries in a set. current is the size in force, zero if there is none. entries is the
// number of known entries, sidecars the estimated number of sidecars in the deployment, zero while it is not known.
func Size(current, entries, sidecars int) int {
	wanted := MinEntries
	if sidecars > 0 {
		wanted = max(MinEntries, int(math.Ceil(float64(SidecarsPerEntry*entries)/float64(sidecars))))
	}

	if ratio := float64(wanted) / float64(max(1, current)); current > 0 && ratio < growShare && ratio > shrinkShare {
		wanted = max(current, MinEntries)
	}

	return min(wanted, entries)
}

// shareUnit is the unit of shares on the wire: a thousandth.
const shareUnit = 1000

// Share returns the part of the entries that a set of this size covers, in thousandths, at least one.
func Share(size, entries int) uint32 {
	return uint32(max(1, min(shareUnit, size*shareUnit/max(1, entries))))
}

// EstimateSidecars estimates the number of sidecars in the deployment from those that an entry has sessions with, given
// the share of each. A sidecar that covers a fifth of the entries stands for five, since it chose this entry with a
// probability of a fifth.
func EstimateSidecars(shares []uint32) int {
	var sum float64

	for _, s := range shares {
		// A sidecar that states no share covers all entries.
		if s == 0 {
			s = shareUnit
		}

		sum += shareUnit / float64(s)
	}

	return int(math.Round(sum))
}
