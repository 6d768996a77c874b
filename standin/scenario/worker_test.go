package scenario_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// maxRemovalTime is the time after which a worker that is leaving, unresponsive or unreachable receives no new work.
const maxRemovalTime = 3 * time.Second

const requestLoad = `"rate": 30, "duration": "16s", "seed": 13, "attempts": 6, "mix": [
	{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "8s"},
	{"kind": "order", "weight": 2, "run": "uniform 50ms 400ms", "deadline": "8s"},
]`

func countStarts(t *testing.T, w *cluster.Worker, from, to time.Time) int {
	t.Helper()

	starts, err := w.Starts(t.Context())
	is.New(t).NoErr(err)

	n := 0

	for _, x := range starts {
		if x.Begin().After(from) && x.Begin().Before(to) {
			n++
		}
	}

	return n
}

// countLateStarts counts the first attempts that started at the worker after startedAfter, of submissions that arrived
// before arrivedBefore. Later attempts do not count: a sidecar that was paused rejects the starts that it received
// during the pause, and a rejected task is placed again as another attempt.
func countLateStarts(t *testing.T, s *scenario.System, w *cluster.Worker, arrivedBefore, startedAfter time.Time) int {
	t.Helper()

	starts, err := w.Starts(t.Context())
	is.New(t).NoErr(err)

	arrivedEarly := map[string]bool{}
	for _, r := range s.History().Records() {
		arrivedEarly[r.Ticket()] = r.Arrived().Before(arrivedBefore)
	}

	n := 0

	for _, x := range starts {
		if x.Attempt() == 0 && x.Begin().After(startedAfter) && arrivedEarly[x.Submission()] {
			n++
		}
	}

	return n
}

// Guards against work at a worker that has announced its departure, is unresponsive, or is cut off from all entries.
// Such a worker must not start new tasks, a paused sidecar must not start after its pause what it received before its
// lease lapsed, and no submission may wait for such a worker.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	// The long tasks keep the leaving sidecar running, so that it could still start a task by mistake.
	const longTaskLoad = `"rate": 8, "duration": "2s", "seed": 24, "attempts": 1, "mix": [{"kind": "fit", "run": "fixed 10s"}]`

	t.Log(requestLoad, longTaskLoad)

	s := scenario.Start(ctx, t, 3, 5, kinds(), cluster.WithSetting("slots", 8))
	workers := s.Cluster().Workers()
	load, longTasks := s.StartLoad(ctx, requestLoad), s.StartLoad(ctx, longTaskLoad)

	s.Sleep(ctx, 2*time.Second)

	announcedAt := time.Now()
	is.NoErr(workers[0].Sidecar().Terminate())

	pausedAt := time.Now()
	is.NoErr(workers[1].Sidecar().Pause())

	cutAt := time.Now()
	for _, e := range s.Cluster().Entries() {
		e.Relay().SetClientFaults(workers[2].Host(), relay.Faults{}.WithCut())
	}

	s.Sleep(ctx, 7*time.Second)

	checkedUntil := time.Now()
	is.True(workers[0].Sidecar().Running())
	is.NoErr(workers[1].Sidecar().Resume())

	for _, c := range []struct {
		name   string
		worker *cluster.Worker
		since  time.Time
		until  time.Time
	}{
		{"announced", workers[0], announcedAt, checkedUntil},
		{"unresponsive", workers[1], pausedAt, checkedUntil},
		{"cut off", workers[2], cutAt, checkedUntil},
	} {
		before := countStarts(t, c.worker, time.Time{}, c.since)
		after := countStarts(t, c.worker, c.since.Add(maxRemovalTime), c.until)
		t.Logf("%s: %d starts before, %d later than %s after", c.name, before, after, maxRemovalTime)
		is.True(before > 0) // without earlier starts the next check proves nothing
		is.Equal(after, 0)
	}

	for _, e := range s.Cluster().Entries() {
		e.Relay().ClearFaults()
	}

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())

	longReport := longTasks.Wait()
	t.Logf("long tasks: %d of %d submissions complete, refused: %v",
		longReport.All().Complete(), longReport.All().Submitted(), longReport.All().Refused())

	// The connections outlast the pause, so that no start is repeated on a new connection.
	rejectedStarts := s.Metrics(ctx, workers[1].Name())[`weir_sidecar_tasks_rejected_total{reason="lease_lapsed"}`]
	lateStarts := countLateStarts(t, s, workers[1], checkedUntil.Add(-maxRemovalTime), checkedUntil)
	t.Logf("unresponsive: %v starts rejected because the lease had lapsed, %d late starts", rejectedStarts, lateStarts)
	is.True(rejectedStarts+float64(lateStarts) > 0) // without such starts the next check proves nothing
	is.Equal(lateStarts, 0)

	lateSubmissions := 0

	for _, r := range s.History().Records() {
		if r.Arrived().After(cutAt.Add(maxRemovalTime)) && r.Arrived().Before(checkedUntil) &&
			(!r.Complete() || r.ResponseTime() > maxRemovalTime) {
			t.Logf("submission %s took %s, code %q: %s", r.Ticket(), r.ResponseTime(), r.Code(), r.Error())
			lateSubmissions++
		}
	}

	is.Equal(lateSubmissions, 0) // nothing is placed at these workers any more
	s.Check(ctx)
}

// Guards against a second run of a request that is not repeatable, on every path that has retries: lost responses
// between entry and sidecar, lost responses between sidecar and backend server, a killed sidecar, a failing backend
// server, and callers that resubmit.
func TestNotRepeatableRunsOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const mixedLoad = `"rate": 30, "duration": "14s", "seed": 14, "attempts": 6, "patience": "500ms", "mix": [
		{"kind": "order", "weight": 3, "run": "uniform 50ms 400ms", "deadline": "4s"},
		{"kind": "stock", "form": "repeatable", "weight": 1, "run": "uniform 50ms 150ms", "deadline": "4s"},
	]`

	t.Log(mixedLoad)

	s := scenario.Start(ctx, t, 3, 4, kinds(), cluster.WithRelay())
	processes := s.Cluster()
	load := s.StartLoad(ctx, mixedLoad)

	s.Sleep(ctx, time.Second)

	for _, e := range processes.Entries() {
		e.Relay().SetFaults(relay.Faults{}.WithLoss(0.05))
	}

	for range 4 {
		processes.Workers()[0].Relay().SetFaults(relay.Faults{}.WithDropAnswers(3))
		s.Sleep(ctx, 500*time.Millisecond)
	}

	is.NoErr(processes.Workers()[1].SetFaults(ctx, map[string]any{"fail_all": true}))
	s.Sleep(ctx, 3*time.Second)
	is.NoErr(processes.Workers()[1].SetFaults(ctx, map[string]any{}))

	for _, w := range processes.Workers()[2:] {
		is.NoErr(w.Sidecar().Kill())
		is.True(w.Sidecar().Wait(ctx) != nil)
		is.NoErr(w.Restart(ctx))
		s.Sleep(ctx, 1500*time.Millisecond)
	}

	is.NoErr(processes.Entries()[0].Process().Kill())

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.True(report.Kind("order").Complete() > report.Kind("order").Submitted()/2)

	settings, err := processes.NewLoad(scenario.Token, `"rate": 1, "seed": 1, "mix": [{"kind": "order"}]`)
	is.NoErr(err)

	client := caller.NewClient(settings)
	defer client.Close()

	callers := &resubmitter{client: client, system: s}
	callers.resubmitAll(ctx, s.History().Records())
	s.Check(ctx)
}

// Guards against answers of several MB that are partial or have mixed-up outputs, when an entry and a sidecar are lost
// while the answer is being sent.
func TestLargeAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const largeLoad = `"rate": 5, "duration": "12s", "seed": 15, "attempts": 6, "mix": [
		{"kind": "fit", "form": "job", "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 300ms", "padding": 300000, "deadline": "10s"},
	]`

	t.Log(largeLoad)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	processes := s.Cluster()

	for _, e := range processes.Entries() {
		e.Relay().SetFaults(relay.Faults{}.WithDelay(5 * time.Millisecond))
	}

	load := s.StartLoad(ctx, largeLoad)

	s.Sleep(ctx, 3*time.Second)
	is.NoErr(processes.Workers()[0].Sidecar().Kill())
	s.Sleep(ctx, 2*time.Second)
	is.NoErr(processes.Entries()[1].Process().Kill())
	s.Sleep(ctx, 2*time.Second)
	processes.Entries()[0].Relay().SetFaults(relay.Faults{}.WithCutDown())
	s.Sleep(ctx, 2*time.Second)
	processes.Entries()[0].Relay().ClearFaults()

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.Equal(report.All().Wrong(), 0)
	is.True(report.All().Complete() > report.All().Submitted()/2)
	s.Check(ctx)
}
