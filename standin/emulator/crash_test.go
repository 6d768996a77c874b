package emulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

// poisoned returns a load of 22 s in which a share of the jobs of a kind crash the backend servers that run them, from
// 5 to 15 s.
func poisoned(load emulator.Load, kind int, share float64) emulator.Load {
	return load.WithDuration(22*time.Second).WithCrashes(kind, share, 5*time.Second, 15*time.Second)
}

// Guards against jobs of other kinds that are refused or late because a part of the jobs of one kind crash the backend
// servers that run them.
func TestOtherKindsDoNotPayForAKindThatCrashesServers(t *testing.T) {
	is := is.New(t)
	load := emulator.SmallDeployment(0.8, 1, 1)

	for poisonedKind := range kinds {
		for _, share := range []float64{0.1, 0.3} {
			for kind := range kinds {
				if kind == poisonedKind {
					continue
				}

				calm := onTimeShare(t, poisoned(load, poisonedKind, 0), emulator.Product{}, kind)
				is.True(onTimeShare(t, poisoned(load, poisonedKind, share), emulator.Product{}, kind) >= minKeptShare*calm)
			}
		}
	}
}
