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

// writeAgreement writes an agreement with two members: the shop with a limit of slots and the bench without one.
func writeAgreement(t *testing.T, directory string, limit int) {
	t.Helper()

	is := is.New(t)
	sum := func(token string) string {
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
	}`, limit, sum("shop"), sum(scenario.Token)), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(directory, "service.weir.jsonc"), []byte(`{
		"service": "service",
		"kinds": [
			{"name": "quote", "share_percent": 40, "urgent": false, "max_cores": 1},
			{"name": "fit", "share_percent": 60, "urgent": true, "max_cores": 1},
		],
	}`), 0o600))
}

// Guards against a member above its limit while it floods every entry and the processes disagree: a worker is lost,
// another one joins, an entry is killed, and a lower limit is published.
func TestMemberStaysWithinLimit(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const (
		before = 6
		after  = 3
		flood  = `"rate": 60, "duration": "40s", "seed": 16, "attempts": 2, "mix": [
			{"kind": "quote", "form": "repeatable", "run": "uniform 100ms 500ms", "deadline": "3s"}]`
		calm = `"rate": 10, "duration": "40s", "seed": 17, "attempts": 3, "mix": [
			{"kind": "fit", "run": "uniform 50ms 300ms", "deadline": "8s"}]`
	)

	t.Log(flood, calm)

	delay := cluster.With("allowance_delay", "5s")
	s := scenario.Start(ctx, t, 3, 4, kinds(), delay)
	c := s.Cluster()
	directory := filepath.Join(c.Directory(), "limits")
	writeAgreement(t, directory, before)
	s.Publish(ctx, directory)

	began := time.Now()
	shop, bench := s.BeginAs(ctx, "shop", flood), s.Begin(ctx, calm)

	s.Pause(ctx, 10*time.Second)
	is.NoErr(c.Workers()[0].Sidecar().Kill())
	s.AddWorker(ctx, "worker-5", delay)
	s.Pause(ctx, 3*time.Second)
	is.NoErr(c.Entries()[2].Process().Kill())
	s.Pause(ctx, 15*time.Second)

	lowered := time.Now()
	writeAgreement(t, directory, after)
	s.Publish(ctx, directory)

	// Work that already runs is not stopped, and the version takes at most spreadLimit.
	settled := lowered.Add(spreadLimit)
	floodReport, calmReport := shop.Wait(), bench.Wait()
	end := time.Now()
	starts := s.Starts(ctx)
	high, low := scenario.Peak(starts, "quote", began, lowered), scenario.Peak(starts, "quote", settled, end)
	t.Logf("shop held at most %d of %d slots before and %d of %d after the lower limit", high, before, low, after)
	t.Logf("shop: complete %d of %d, refused %v", floodReport.All().Complete(), floodReport.All().Submitted(), floodReport.All().Refused())
	t.Logf("bench: complete %d of %d, refused %v", calmReport.All().Complete(), calmReport.All().Submitted(), calmReport.All().Refused())
	is.True(high > 0)
	is.True(low > 0)
	is.True(high <= before) // the bound on overshoot is zero while the news takes less than allowance_delay
	is.True(low <= after)
	s.Check(ctx)
}
