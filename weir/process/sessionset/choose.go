// Package sessionset decides which entries a sidecar keeps sessions with.
//
// The load that the package answers is a large fleet: with a session of every sidecar with every entry, the idle cost of
// a process grows with the size of the other role. A bounded set keeps it constant. All sidecars decide by themselves
// and without messages; rendezvous hashing makes the sets of two processes with almost the same list almost the same.
package sessionset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sameDomainWeight is the weight of an entry in the sidecar's own failure domain; others have 1. With 2, an entry whose
// domain has no sidecars still gets two thirds of the mean number of sessions in a deployment of two domains.
const sameDomainWeight = 2.0

// Entry is an entry that a sidecar may have a session with.
type Entry struct {
	// address is the transport address, which identifies the entry.
	address string
	// failureDomain is empty if it is not known.
	failureDomain string
}

// NewEntry returns an entry with a transport address. The failure domain is empty if it is not known.
func NewEntry(address, failureDomain string) Entry { return Entry{address, failureDomain} }

// Address returns the transport address.
func (e Entry) Address() string { return e.address }

// FailureDomain returns the failure domain, or an empty string if it is not known.
func (e Entry) FailureDomain() string { return e.failureDomain }

// Sidecar is the process that chooses.
type Sidecar struct{ name, failureDomain string }

// NewSidecar returns a sidecar with a name that is unique in the deployment.
func NewSidecar(name, failureDomain string) Sidecar { return Sidecar{name, failureDomain} }

// Choose returns n of the entries, or all if there are fewer: the entry that ranks first in each failure domain, then
// the others by rank. The rank is a weighted rendezvous hash of sidecar and entry, so that one entry more or less
// changes few sets by one entry each.
func Choose(s Sidecar, entries []Entry, n int) []Entry {
	if n <= 0 {
		return nil
	}

	ranked := rank(s, entries)
	if len(ranked) <= n {
		return ranked
	}

	seen := map[string]bool{}

	var first, rest []Entry

	for _, e := range ranked {
		if seen[e.failureDomain] {
			rest = append(rest, e)

			continue
		}

		seen[e.failureDomain] = true

		first = append(first, e)
	}

	return append(first, rest...)[:n]
}

// rank returns the entries in descending order of their weighted rendezvous hash.
func rank(s Sidecar, entries []Entry) []Entry {
	type scored struct {
		entry Entry
		score float64
	}

	all := make([]scored, 0, len(entries))
	for _, e := range entries {
		all = append(all, scored{e, s.score(e)})
	}

	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.address, b.entry.address))
	})

	ranked := make([]Entry, 0, len(all))
	for _, x := range all {
		ranked = append(ranked, x.entry)
	}

	return ranked
}

// score returns the weight of an entry divided by an exponentially distributed number that depends on both names only.
// The entry with weight w then ranks first with a probability in proportion to w.
func (s Sidecar) score(e Entry) float64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(s.name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(e.address)

	// The upper 53 bits fill the mantissa; adding a half keeps the number between zero and one.
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)

	weight := 1.0
	if e.failureDomain != "" && e.failureDomain == s.failureDomain {
		weight = sameDomainWeight
	}

	return -weight / math.Log(uniform)
}
