package scenario_test

import (
	"context"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// Guards against a worker that fails every task immediately and so attracts more and more of the work, and against a
// worker that stays ejected after its repair.
func TestFailingWorkerIsEjected(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		// maxFailures allows for a window of 20 earlier successes, for tasks that run when the fault begins, and for
		// probes.
		maxFailures = 20
		mixedLoad   = `"rate": 25, "duration": "20s", "seed": 20, "attempts": 1, "mix": [
			{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 200ms", "deadline": "6s"},
			{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "6s"},
		]`
	)

	t.Log(mixedLoad)

	s := scenario.Start(ctx, t, 3, 6, kinds())
	w := s.Cluster().Workers()[0]
	load := s.StartLoad(ctx, mixedLoad)

	s.Sleep(ctx, 2*time.Second)
	is.NoErr(w.SetFaults(ctx, map[string]any{"fail_all": true}))
	s.Sleep(ctx, 4*time.Second)
	is.NoErr(w.SetFaults(ctx, map[string]any{}))

	repairedAt := time.Now()
	report := load.Wait()
	starts, err := w.Starts(ctx)
	is.NoErr(err)

	failedStarts, startsAfterRepair := 0, 0

	var tenthStartDelay time.Duration

	for _, x := range starts {
		switch {
		case x.Status() >= 500:
			failedStarts++
		case x.Begin().After(repairedAt):
			if startsAfterRepair++; startsAfterRepair == 10 {
				tenthStartDelay = x.Begin().Sub(repairedAt)
			}
		}
	}

	failedSubmissions := 0

	for _, r := range s.History().Records() {
		if r.Code() == "backend_failed" {
			failedSubmissions++
		}
	}

	t.Logf("%d failed starts, %d of %d submissions failed (refused: %v), %d starts after the repair, the tenth after %s",
		failedStarts, failedSubmissions, report.All().Submitted(), report.All().Refused(), startsAfterRepair, tenthStartDelay)
	is.True(failedStarts > 0)
	is.True(failedStarts <= maxFailures)
	is.True(failedSubmissions <= failedStarts) // a failed start fails at most its own submission
	// Repeatable requests are retried.
	is.True(report.Kind("stock").Complete() == report.Kind("stock").Submitted())
	is.True(startsAfterRepair >= 10)
	s.Check(ctx)
}

// countLate counts the submissions that arrived between two times, and those of them that were not complete within
// maxResponse.
func countLate(
	t *testing.T, records []*caller.Record, from, to time.Time, maxResponse time.Duration,
) (arrived, late int) {
	t.Helper()

	for _, r := range records {
		if r.Arrived().Before(from) || r.Arrived().After(to) {
			continue
		}

		arrived++

		if !r.Complete() || r.ResponseTime() > maxResponse {
			t.Logf("submission %s took %s, code %q: %s", r.Ticket(), r.ResponseTime(), r.Code(), r.Error())
			late++
		}
	}

	return arrived, late
}

// Guards against wrong answers, and against work that waits for lost workers, when a whole failure domain is lost at
// once: a third of the workers with their backend servers, and an entry.
func TestFailureDomainLost(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const mixedLoad = `"rate": 30, "duration": "12s", "seed": 21, "attempts": 6, "patience": "500ms", "mix": [
		{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 200ms", "deadline": "6s"},
		{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "6s"},
		{"kind": "order", "weight": 2, "run": "uniform 50ms 300ms", "deadline": "6s"},
	]`

	t.Log(mixedLoad)

	s := scenario.Start(ctx, t, 3, 0, kinds())
	processes := s.Cluster()

	for i, name := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		s.AddWorker(ctx, name,
			cluster.WithSetting("failure_domain", name[:1]), cluster.WithSetting("rack", string(rune('1'+i))))
	}

	is.NoErr(processes.WaitReady(ctx))

	load := s.StartLoad(ctx, mixedLoad)

	s.Sleep(ctx, 3*time.Second)

	lostAt := time.Now()
	is.NoErr(processes.Entries()[0].Process().Kill())

	// The backend servers are paused, not killed, since the check needs their records.
	for _, w := range processes.Workers()[:2] {
		is.NoErr(w.Backend().Pause())
		is.NoErr(w.Sidecar().Kill())
	}

	report := load.Wait()

	for _, w := range processes.Workers()[:2] {
		is.NoErr(w.Backend().Resume())
	}

	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())

	arrived, late := countLate(t, s.History().Records(), lostAt.Add(maxRemovalTime), time.Now(), maxRemovalTime)
	t.Logf("%d submissions arrived later than %s after the loss, %d of them were not complete within %s",
		arrived, maxRemovalTime, late, maxRemovalTime)
	is.True(arrived > 0)
	is.Equal(late, 0)
	is.True(report.All().Complete() >= report.All().Submitted()*9/10)
	s.Check(ctx)
}

// Guards against entries and sidecars that never find each other again once the paths between their ports have gone
// silent, although other ports work.
func TestSilentPathsAreReplaced(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	// recoveryTime is the time within which the system serves again after a disruption of all paths.
	const recoveryTime = 12 * time.Second

	const mixedLoad = `"rate": 20, "duration": "20s", "seed": 25, "attempts": 6, "patience": "500ms", "mix": [
		{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 200ms", "deadline": "6s"},
		{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "6s"},
	]`

	t.Log(mixedLoad)

	s := scenario.Start(ctx, t, 3, 5, kinds())
	load := s.StartLoad(ctx, mixedLoad)

	s.Sleep(ctx, 3*time.Second)

	silentAt := time.Now()
	for _, e := range s.Cluster().Entries() {
		e.Relay().SilenceConnections()
	}

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())

	arrived, late := countLate(t, s.History().Records(), silentAt.Add(recoveryTime), time.Now(), maxRemovalTime)
	t.Logf("%d submissions arrived later than %s after the silence, %d of them were not complete within %s",
		arrived, recoveryTime, late, maxRemovalTime)
	is.True(arrived > 0)
	is.Equal(late, 0)
	s.Check(ctx)
}

// region is one side of a network partition.
type region struct {
	entries []*cluster.Entry
	workers []*cluster.Worker
}

// setFaults sets the faults of all traffic from the other region to the entries of this one.
func (r region) setFaults(other region, faults relay.Faults) {
	for _, e := range r.entries {
		for _, o := range other.entries {
			e.Relay().SetClientFaults(o.Host(), faults)
		}

		for _, w := range other.workers {
			e.Relay().SetClientFaults(w.Host(), faults)
		}
	}
}

// Guards against a network partition between two regions that stops work on one side, brings an older version back into
// force, delays a new version for too long after its end, or lets a member hold more slots than its limit.
func TestRegionsLoseEachOther(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		initialLimit = 8
		loweredLimit = 4
		floodLoad    = `"rate": 40, "duration": "20s", "seed": 22, "attempts": 1, "mix": [
			{"kind": "quote", "form": "repeatable", "run": "uniform 100ms 500ms", "deadline": "2s"}]`
		moderateLoad = `"rate": 8, "duration": "18s", "seed": 23, "attempts": 4, "patience": "500ms", "mix": [
			{"kind": "fit", "run": "uniform 50ms 200ms", "deadline": "4s"}]`
	)

	t.Log(floodLoad, moderateLoad)

	s := scenario.Start(ctx, t, 4, 4, kinds(), cluster.WithSetting("allowance_delay", "5s"))
	c := s.Cluster()
	near := region{c.Entries()[:2], c.Workers()[:2]}
	far := region{c.Entries()[2:], c.Workers()[2:]}

	directory := filepath.Join(c.Directory(), "limits")
	writeAgreement(t, directory, initialLimit)
	s.Publish(ctx, directory)

	watcher := s.WatchVersions(ctx)
	defer watcher.Close()

	_, err := watcher.WaitForVersion(ctx, 2)
	is.NoErr(err)
	s.Sleep(ctx, 6*time.Second) // until the delayed increase of the allowances of a new fleet applies

	loadStart := time.Now()
	shop := s.StartLoadAs(ctx, "shop", floodLoad)
	nearLoad, farLoad := s.StartLoadAt(ctx, moderateLoad, near.entries...),
		s.StartLoadAt(ctx, moderateLoad, far.entries...)

	s.Sleep(ctx, 3*time.Second)

	cutAt := time.Now()

	near.setFaults(far, relay.Faults{}.WithCut())
	far.setFaults(near, relay.Faults{}.WithCut())

	for _, e := range far.entries {
		e.LogRelay().SetFaults(relay.Faults{}.WithCut())
	}

	s.Sleep(ctx, 2*time.Second)
	writeAgreement(t, directory, loweredLimit)

	publishedAt := time.Now()
	s.Publish(ctx, directory)
	s.Sleep(ctx, 6*time.Second)

	// The partition is effective: the near side has the new version, the far side does not.
	versions := watcher.Versions()
	is.Equal(versions[near.entries[0].Process().ID()], int64(3))
	is.Equal(versions[near.workers[0].Sidecar().ID()], int64(3))
	is.Equal(versions[far.entries[0].Process().ID()], int64(2))
	is.Equal(versions[far.workers[1].Sidecar().ID()], int64(2))

	healedAt := time.Now()

	for _, e := range slices.Concat(near.entries, far.entries) {
		e.Relay().ClearFaults()
		e.LogRelay().ClearFaults()
	}

	propagation, err := watcher.WaitForVersion(ctx, 3)
	is.NoErr(err)
	t.Logf("the version published during the partition was in force everywhere %s after the partition ended", propagation)
	is.True(propagation < maxPropagation)

	shopReport, nearReport, farReport := shop.Wait(), nearLoad.Wait(), farLoad.Wait()
	end := time.Now()

	for _, r := range []*caller.Report{shopReport, nearReport, farReport} {
		t.Logf("%d of %d submissions complete, refused: %v", r.All().Complete(), r.All().Submitted(), r.All().Refused())
	}

	moderateRecords := slices.DeleteFunc(s.History().Records(), func(r *caller.Record) bool {
		return r.Submission().Kind() != "fit"
	})
	arrived, late := countLate(t, moderateRecords, cutAt.Add(maxRemovalTime), healedAt, maxRemovalTime)
	t.Logf("%d submissions arrived during the partition, later than %s after its start, %d were not complete within %s",
		arrived, maxRemovalTime, late, maxRemovalTime)
	is.True(arrived > 0)
	is.Equal(late, 0)

	starts := s.Starts(ctx)
	peak, peakAfter := scenario.PeakConcurrency(starts, "quote", loadStart, end),
		scenario.PeakConcurrency(starts, "quote", healedAt.Add(propagation+time.Second), end)
	t.Logf("shop held at most %d of %d slots, and %d of %d with the lower limit (published %s before the partition ended)",
		peak, initialLimit, peakAfter, loweredLimit, healedAt.Sub(publishedAt))
	is.True(peak <= initialLimit)
	is.True(peakAfter > 0)
	is.True(peakAfter <= loweredLimit)
	is.Equal(len(watcher.Reversions()), 0)
	s.Check(ctx)
}
