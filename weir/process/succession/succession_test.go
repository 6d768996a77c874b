package succession_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against what runs being given up while it runs, a drain that is acknowledged and not followed, and a backend server
// that is not found again: in every order of its announcements and answers, delayed, doubled and lost, with restarts,
// departures and another writer among them.
func TestNoOrderOfMessagesEndsWhatRuns(t *testing.T) {
	const seeds = 20_000

	for seed := range uint64(seeds) {
		m := newModel(seed, noFault)
		if v := m.run(); v != "" {
			t.Fatalf("seed %d: %s\n%s", seed, v, strings.Join(m.log, "\n"))
		}
	}
}

// Guards against a model that finds nothing: each planted fault is one that a review has found.
func TestModelFindsPlantedFaults(t *testing.T) {
	const seeds = 20_000

	for name, f := range map[string]plantedFault{
		"an announcement ends what runs": announcementEndsRuns, "numbers order announcements": noClock,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := uint64(0)

			for seed := uint64(1); seed < seeds && found == 0; seed++ {
				if v := newModel(seed, f).run(); v != "" {
					t.Logf("seed %d: %s", seed, v)

					found = seed
				}
			}

			is.True(found > 0)
		})
	}
}
