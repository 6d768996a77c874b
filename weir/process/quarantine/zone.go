package quarantine

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// zoneShare is the part of the backend servers of a service that make up its zone. It is what a kind that crashes
	// servers can cost the other kinds.
	zoneShare = 0.2
	// minServers is the least number of servers of a service with a zone.
	minServers = 3
)

// Zone returns the names of the backend servers that make up the zone of a service. The names of two processes with
// almost the same servers are almost the same, as the zone has those that come first in the order of a hash.
func Zone(servers []string) map[string]bool {
	if len(servers) < minServers {
		return nil
	}

	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})

	size := max(1, int(math.Round(zoneShare*float64(len(ranked)))))
	zone := make(map[string]bool, size)

	for _, name := range ranked[:size] {
		zone[name] = true
	}

	return zone
}
