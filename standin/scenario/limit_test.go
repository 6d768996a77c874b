package scenario_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// writeAgreement writes an agreement with two members: shop with a limit of slots, and bench with a limit of the whole
// fleet.
func writeAgreement(t *testing.T, directory string, limitSlots int) {
	t.Helper()

	is := is.New(t)
	digest := func(token string) string {
		s := sha256.Sum256([]byte(token))

		return hex.EncodeToString(s[:])
	}

	is.NoErr(os.MkdirAll(directory, 0o700))
	is.NoErr(os.WriteFile(filepath.Join(directory, "agreement.weir.jsonc"), fmt.Appendf(nil, `{
		"agreement": "test",
		"members": [
			{"name": "shop", "limit_slots": %d, "credential_sha256": %q},
			{"name": "bench", "limit_percent": 100, "credential_sha256": %q},
		],
	}`, limitSlots, digest("shop"), digest(scenario.Token)), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(directory, "service.weir.jsonc"), []byte(`{
		"service": "service",
		"kinds": [
			{"name": "quote", "share_percent": 40, "urgent": false, "max_cores": 1},
			{"name": "fit", "share_percent": 60, "urgent": true, "max_cores": 1},
		],
	}`), 0o600))
}

// Guards against a member that holds more slots than its limit. The member floods every entry while the processes have
// different views of the fleet and the agreement: a worker is lost, another one joins, an entry is killed, and a lower
// limit is published.
func TestMemberStaysWithinLimit(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		initialLimit = 6
		loweredLimit = 3
		floodLoad    = `"rate": 60, "duration": "40s", "seed": 16, "attempts": 2, "mix": [
			{"kind": "quote", "form": "repeatable", "run": "uniform 100ms 500ms", "deadline": "3s"}]`
		moderateLoad = `"rate": 10, "duration": "40s", "seed": 17, "attempts": 3, "mix": [
			{"kind": "fit", "run": "uniform 50ms 300ms", "deadline": "8s"}]`
	)

	t.Log(floodLoad, moderateLoad)

	allowanceDelay := cluster.WithSetting("allowance_delay", "5s")
	s := scenario.Start(ctx, t, 3, 4, kinds(), allowanceDelay)
	processes := s.Cluster()
	directory := filepath.Join(processes.Directory(), "limits")
	writeAgreement(t, directory, initialLimit)
	s.Publish(ctx, directory)

	loadStart := time.Now()
	shop, bench := s.StartLoadAs(ctx, "shop", floodLoad), s.StartLoad(ctx, moderateLoad)

	s.Sleep(ctx, 10*time.Second)
	is.NoErr(processes.Workers()[0].Sidecar().Kill())
	s.AddWorker(ctx, "worker-5", allowanceDelay)
	s.Sleep(ctx, 3*time.Second)
	is.NoErr(processes.Entries()[2].Process().Kill())
	s.Sleep(ctx, 15*time.Second)

	loweredAt := time.Now()
	writeAgreement(t, directory, loweredLimit)
	s.Publish(ctx, directory)

	// Running tasks are not stopped, and the new version is in force everywhere within maxPropagation.
	inForceBy := loweredAt.Add(maxPropagation)
	floodReport, moderateReport := shop.Wait(), bench.Wait()
	end := time.Now()
	starts := s.Starts(ctx)
	peakBefore, peakAfter := scenario.PeakConcurrency(starts, "quote", loadStart, loweredAt),
		scenario.PeakConcurrency(starts, "quote", inForceBy, end)
	t.Logf("shop held at most %d of %d slots before the lower limit and %d of %d after it",
		peakBefore, initialLimit, peakAfter, loweredLimit)
	t.Logf("shop: %d of %d submissions complete, refused: %v",
		floodReport.All().Complete(), floodReport.All().Submitted(), floodReport.All().Refused())
	t.Logf("bench: %d of %d submissions complete, refused: %v",
		moderateReport.All().Complete(), moderateReport.All().Submitted(), moderateReport.All().Refused())
	is.True(peakBefore > 0)
	is.True(peakAfter > 0)
	is.True(peakBefore <= initialLimit) // the bound on overshoot is zero while updates take less than allowance_delay
	is.True(peakAfter <= loweredLimit)
	s.Check(ctx)
}
