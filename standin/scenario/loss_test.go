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

// Guards against a worker that fails every task at once and so draws more and more of the work, and against one that
// stays out after its repair.
func TestFailingWorkerIsEjected(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const (
		// maxFailures allows for a window of 20 earlier successes, tasks that run at the time, and probes.
		maxFailures = 20
		text        = `"rate": 25, "duration": "20s", "seed": 20, "attempts": 1, "mix": [
			{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 200ms", "deadline": "6s"},
			{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "6s"},
		]`
	)

	t.Log(text)

	s := scenario.Start(ctx, t, 3, 6, kinds())
	w := s.Cluster().Workers()[0]
	load := s.Begin(ctx, text)

	s.Pause(ctx, 2*time.Second)
	is.NoErr(w.SetFaults(ctx, map[string]any{"fail_all": true}))
	s.Pause(ctx, 4*time.Second)
	is.NoErr(w.SetFaults(ctx, map[string]any{}))

	repaired := time.Now()
	report := load.Wait()
	starts, err := w.Starts(ctx)
	is.NoErr(err)

	failures, back := 0, 0

	var since time.Duration

	for _, x := range starts {
		switch {
		case x.Status() >= 500:
			failures++
		case x.Begin().After(repaired):
			if back++; back == 10 {
				since = x.Begin().Sub(repaired)
			}
		}
	}

	failed := 0

	for _, r := range s.History().Records() {
		if r.Code() == "backend_failed" {
			failed++
		}
	}

	t.Logf("%d failures, %d of %d submissions failed (%v), %d starts after the repair, the tenth after %s",
		failures, failed, report.All().Submitted(), report.All().Refused(), back, since)
	is.True(failures > 0)
	is.True(failures <= maxFailures)
	is.True(failed <= failures)                                                  // a failure costs at most its own submission
	is.True(report.Kind("stock").Complete() == report.Kind("stock").Submitted()) // repeatable requests are retried
	is.True(back >= 10)
	s.Check(ctx)
}

// waiting counts the submissions that arrived between two times and were not complete within a time.
func waiting(t *testing.T, records []*caller.Record, from, to time.Time, within time.Duration) (arrived, late int) {
	t.Helper()

	for _, r := range records {
		if r.Arrived().Before(from) || r.Arrived().After(to) {
			continue
		}

		arrived++

		if !r.Complete() || r.Response() > within {
			t.Logf("%s took %s: %s %s", r.Ticket(), r.Response(), r.Code(), r.Error())
			late++
		}
	}

	return arrived, late
}

// Guards against false answers and against work that waits for the lost ones when a whole failure domain is lost at
// once: a third of the workers with their backend servers, and an entry.
func TestFailureDomainLost(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const text = `"rate": 30, "duration": "12s", "seed": 21, "attempts": 6, "patience": "500ms", "mix": [
		{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 200ms", "deadline": "6s"},
		{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "6s"},
		{"kind": "order", "weight": 2, "run": "uniform 50ms 300ms", "deadline": "6s"},
	]`

	t.Log(text)

	s := scenario.Start(ctx, t, 3, 0, kinds())
	c := s.Cluster()

	for i, name := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		s.AddWorker(ctx, name, cluster.With("failure_domain", name[:1]), cluster.With("rack", string(rune('1'+i))))
	}

	is.NoErr(c.WaitReady(ctx))

	load := s.Begin(ctx, text)

	s.Pause(ctx, 3*time.Second)

	lost := time.Now()
	is.NoErr(c.Entries()[0].Process().Kill())

	// A backend server that is stopped keeps its records, which the check needs.
	for _, w := range c.Workers()[:2] {
		is.NoErr(w.Backend().Pause())
		is.NoErr(w.Sidecar().Kill())
	}

	report := load.Wait()

	for _, w := range c.Workers()[:2] {
		is.NoErr(w.Backend().Resume())
	}

	t.Logf("complete %d of %d, refused %v", report.All().Complete(), report.All().Submitted(), report.All().Refused())

	arrived, late := waiting(t, s.History().Records(), lost.Add(leavingLimit), time.Now(), leavingLimit)
	t.Logf("%d submissions arrived later than %s after the loss, %d of them were not complete within %s", arrived, leavingLimit, late, leavingLimit)
	is.True(arrived > 0)
	is.Equal(late, 0)
	is.True(report.All().Complete() >= report.All().Submitted()*9/10)
	s.Check(ctx)
}

// region is a side of a partition.
type region struct {
	entries []*cluster.Entry
	workers []*cluster.Worker
}

// cut sets the faults of all traffic from the other region to the entries of this one.
func (r region) cut(other region, f relay.Faults) {
	for _, e := range r.entries {
		for _, o := range other.entries {
			e.Relay().SetFor(o.Source(), f)
		}

		for _, w := range other.workers {
			e.Relay().SetFor(w.Source(), f)
		}
	}
}

// Guards against a partition of two regions that stops work on a side, that brings an older version back, that lets a
// version spread too late after it, or that lets a member take more than its limit.
func TestRegionsLoseEachOther(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const (
		before = 8
		after  = 4
		flood  = `"rate": 40, "duration": "20s", "seed": 22, "attempts": 1, "mix": [
			{"kind": "quote", "form": "repeatable", "run": "uniform 100ms 500ms", "deadline": "2s"}]`
		calm = `"rate": 8, "duration": "18s", "seed": 23, "attempts": 4, "patience": "500ms", "mix": [
			{"kind": "fit", "run": "uniform 50ms 200ms", "deadline": "4s"}]`
	)

	t.Log(flood, calm)

	s := scenario.Start(ctx, t, 4, 4, kinds(), cluster.With("allowance_delay", "5s"))
	c := s.Cluster()
	near := region{c.Entries()[:2], c.Workers()[:2]}
	far := region{c.Entries()[2:], c.Workers()[2:]}

	directory := filepath.Join(c.Directory(), "limits")
	writeAgreement(t, directory, before)
	s.Publish(ctx, directory)

	w := s.Watch(ctx)
	defer w.Close()

	_, err := w.Spread(ctx, 2)
	is.NoErr(err)
	s.Pause(ctx, 6*time.Second) // until the larger allowances of a new fleet apply

	began := time.Now()
	shop := s.BeginAs(ctx, "shop", flood)
	nearLoad, farLoad := s.BeginAt(ctx, calm, near.entries...), s.BeginAt(ctx, calm, far.entries...)

	s.Pause(ctx, 3*time.Second)

	cut := time.Now()

	near.cut(far, relay.Faults{}.WithCut())
	far.cut(near, relay.Faults{}.WithCut())

	for _, e := range far.entries {
		e.LogRelay().Set(relay.Faults{}.WithCut())
	}

	s.Pause(ctx, 2*time.Second)
	writeAgreement(t, directory, after)

	published := time.Now()
	s.Publish(ctx, directory)
	s.Pause(ctx, 6*time.Second)

	// The cut shows in the versions: the near side has the new one, the far side does not.
	versions := w.Versions()
	is.Equal(versions[near.entries[0].Process().ID()], int64(3))
	is.Equal(versions[near.workers[0].Sidecar().ID()], int64(3))
	is.Equal(versions[far.entries[0].Process().ID()], int64(2))
	is.Equal(versions[far.workers[1].Sidecar().ID()], int64(2))

	healed := time.Now()

	for _, e := range slices.Concat(near.entries, far.entries) {
		e.Relay().Heal()
		e.LogRelay().Heal()
	}

	took, err := w.Spread(ctx, 3)
	is.NoErr(err)
	t.Logf("the version published in the cut is in force everywhere %s after its end", took)
	is.True(took < spreadLimit)

	shopReport, nearReport, farReport := shop.Wait(), nearLoad.Wait(), farLoad.Wait()
	end := time.Now()

	for _, r := range []*caller.Report{shopReport, nearReport, farReport} {
		t.Logf("complete %d of %d, refused %v", r.All().Complete(), r.All().Submitted(), r.All().Refused())
	}

	calmRecords := slices.DeleteFunc(s.History().Records(), func(r *caller.Record) bool { return r.Submission().Kind() != "fit" })
	arrived, late := waiting(t, calmRecords, cut.Add(leavingLimit), healed, leavingLimit)
	t.Logf("%d submissions of both sides arrived later than %s after the cut and before its end, %d were not complete within %s",
		arrived, leavingLimit, late, leavingLimit)
	is.True(arrived > 0)
	is.Equal(late, 0)

	starts := s.Starts(ctx)
	high, low := scenario.Peak(starts, "quote", began, end), scenario.Peak(starts, "quote", healed.Add(took+time.Second), end)
	t.Logf("shop held at most %d of %d slots, and %d of %d after the lower limit was everywhere (published %s before the end of the cut)",
		high, before, low, after, healed.Sub(published))
	is.True(high <= before)
	is.True(low > 0)
	is.True(low <= after)
	is.Equal(len(w.Reverted()), 0)
	s.Check(ctx)
}
