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

// checkOtherKinds checks that the kinds beside a poisoned one are served as without deadly jobs.
func checkOtherKinds(t *testing.T, poisonedKind int, share float64) {
	t.Helper()

	load := emulator.SmallDeployment(0.8, 1, 1)

	for kind := range kinds {
		if kind == poisonedKind {
			continue
		}

		calm := onTimeShare(t, poisoned(load, poisonedKind, 0), emulator.Product{}, kind)
		confined := onTimeShare(t, poisoned(load, poisonedKind, share), emulator.Product{}, kind)
		is.New(t).True(confined >= minKeptShare*calm)
		is.New(t).True(confined > onTimeShare(t, poisoned(load, poisonedKind, share), emulator.Unconfined{}, kind))
	}
}

// Guards against jobs of other kinds that are refused or late because a part of the jobs of one kind crash the backend
// servers that run them.
func TestOtherKindsDoNotPayForAKindThatCrashesServers(t *testing.T) {
	for poisonedKind := range kinds {
		checkOtherKinds(t, poisonedKind, 0.1)
	}
}

// Guards against the same with so many deadly jobs that several backend servers crash before a kind is confined.
func TestOtherKindsDoNotPayForManyDeadlyJobs(t *testing.T) {
	for poisonedKind := range kinds {
		checkOtherKinds(t, poisonedKind, 0.3)
	}
}
