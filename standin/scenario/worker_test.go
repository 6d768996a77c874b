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

// leavingLimit is the time after which a leaving worker gets no new work.
const leavingLimit = 3 * time.Second

const steady = `"rate": 30, "duration": "16s", "seed": 13, "attempts": 6, "mix": [
	{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "8s"},
	{"kind": "order", "weight": 2, "run": "uniform 50ms 400ms", "deadline": "8s"},
]`

func startsAfter(t *testing.T, w *cluster.Worker, from, to time.Time) int {
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

// lateStarts counts the first attempts of submissions that arrived before a time and started at the worker after it. A
// stopped sidecar rejects what it received during the stop, and a rejected task comes back as another attempt.
func lateStarts(t *testing.T, s *scenario.System, w *cluster.Worker, arrived, started time.Time) int {
	t.Helper()

	starts, err := w.Starts(t.Context())
	is.New(t).NoErr(err)

	before := map[string]bool{}
	for _, r := range s.History().Records() {
		before[r.Ticket()] = r.Arrived().Before(arrived)
	}

	n := 0

	for _, x := range starts {
		if x.Attempt() == 0 && x.Begin().After(started) && before[x.Submission()] {
			n++
		}
	}

	return n
}

// Guards against work for a worker that has announced its departure, has fallen silent, or was cut off from all
// entries: starts of it, late starts of what a stopped sidecar received before its lease lapsed, and submissions that
// wait for such a worker.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	// The long tasks keep the leaving sidecar from ending at once, so that it could still start something.
	const long = `"rate": 8, "duration": "2s", "seed": 24, "attempts": 1, "mix": [{"kind": "fit", "run": "fixed 10s"}]`

	t.Log(steady, long)

	s := scenario.Start(ctx, t, 3, 5, kinds(), cluster.With("slots", 8))
	workers := s.Cluster().Workers()
	load, longLoad := s.Begin(ctx, steady), s.Begin(ctx, long)

	s.Pause(ctx, 2*time.Second)

	announced := time.Now()
	is.NoErr(workers[0].Sidecar().Terminate())

	silent := time.Now()
	is.NoErr(workers[1].Sidecar().Pause())

	cut := time.Now()
	for _, e := range s.Cluster().Entries() {
		e.Relay().SetFor(workers[2].Source(), relay.Faults{}.WithCut())
	}

	s.Pause(ctx, 7*time.Second)

	end := time.Now()
	is.True(workers[0].Sidecar().Running())
	is.NoErr(workers[1].Sidecar().Resume())

	for _, c := range []struct {
		name   string
		worker *cluster.Worker
		since  time.Time
		until  time.Time
	}{
		{"announced", workers[0], announced, end},
		{"silent", workers[1], silent, end},
		{"cut off", workers[2], cut, end},
	} {
		before := startsAfter(t, c.worker, time.Time{}, c.since)
		after := startsAfter(t, c.worker, c.since.Add(leavingLimit), c.until)
		t.Logf("%s: %d starts before, %d after %s", c.name, before, after, leavingLimit)
		is.True(before > 0) // the check would show nothing otherwise
		is.Equal(after, 0)
	}

	for _, e := range s.Cluster().Entries() {
		e.Relay().Heal()
	}

	report := load.Wait()
	t.Logf("complete %d of %d, refused %v", report.All().Complete(), report.All().Submitted(), report.All().Refused())

	longReport := longLoad.Wait()
	t.Logf("long: complete %d of %d, refused %v", longReport.All().Complete(), longReport.All().Submitted(), longReport.All().Refused())

	// The connections outlive the stop, so that no start is repeated on a new one.
	lapsed := s.Metrics(ctx, workers[1].Name())[`weir_sidecar_tasks_rejected_total{reason="lease_lapsed"}`]
	late := lateStarts(t, s, workers[1], end.Add(-leavingLimit), end)
	t.Logf("silent: %v starts of a lapsed lease rejected, %d late starts", lapsed, late)
	is.True(lapsed+float64(late) > 0) // the check would show nothing otherwise
	is.Equal(late, 0)

	waited := 0

	for _, r := range s.History().Records() {
		if r.Arrived().After(cut.Add(leavingLimit)) && r.Arrived().Before(end) && (!r.Complete() || r.Response() > leavingLimit) {
			t.Logf("%s took %s: %s %s", r.Ticket(), r.Response(), r.Code(), r.Error())
			waited++
		}
	}

	is.Equal(waited, 0) // nothing is placed on these workers any more
	s.Check(ctx)
}

// Guards against a second run of a request that is not repeatable over every path on which something is tried again:
// lost answers between entry and sidecar, between sidecar and backend server, a killed sidecar, a failing backend
// server, and callers that resubmit.
func TestNotRepeatableRunsOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const text = `"rate": 30, "duration": "14s", "seed": 14, "attempts": 6, "patience": "500ms", "mix": [
		{"kind": "order", "weight": 3, "run": "uniform 50ms 400ms", "deadline": "4s"},
		{"kind": "stock", "form": "repeatable", "weight": 1, "run": "uniform 50ms 150ms", "deadline": "4s"},
	]`

	t.Log(text)

	s := scenario.Start(ctx, t, 3, 4, kinds(), cluster.Relayed())
	c := s.Cluster()
	load := s.Begin(ctx, text)

	s.Pause(ctx, time.Second)

	for _, e := range c.Entries() {
		e.Relay().Set(relay.Faults{}.WithLoss(0.05))
	}

	for range 4 {
		c.Workers()[0].Relay().Set(relay.Faults{}.WithDropAnswers(3))
		s.Pause(ctx, 500*time.Millisecond)
	}

	is.NoErr(c.Workers()[1].SetFaults(ctx, map[string]any{"fail_all": true}))
	s.Pause(ctx, 3*time.Second)
	is.NoErr(c.Workers()[1].SetFaults(ctx, map[string]any{}))

	for _, w := range c.Workers()[2:] {
		is.NoErr(w.Sidecar().Kill())
		is.True(w.Sidecar().Wait(ctx) != nil)
		is.NoErr(w.Restart(ctx))
		s.Pause(ctx, 1500*time.Millisecond)
	}

	is.NoErr(c.Entries()[0].Process().Kill())

	report := load.Wait()
	t.Logf("complete %d of %d, refused %v", report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.True(report.Kind("order").Complete() > report.Kind("order").Submitted()/2)

	settings, err := c.Load(scenario.Token, `"rate": 1, "seed": 1, "mix": [{"kind": "order"}]`)
	is.NoErr(err)

	client := caller.NewClient(settings)
	defer client.Close()

	again := &resubmitter{client: client, system: s}
	again.again(ctx, s.History().Records())
	s.Check(ctx)
}

// Guards against partial and mixed answers of several MB when an entry and a sidecar are lost in mid answer.
func TestLargeAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const text = `"rate": 5, "duration": "12s", "seed": 15, "attempts": 6, "mix": [
		{"kind": "fit", "form": "job", "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 300ms", "padding": 300000, "deadline": "10s"},
	]`

	t.Log(text)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	c := s.Cluster()

	for _, e := range c.Entries() {
		e.Relay().Set(relay.Faults{}.WithDelay(5 * time.Millisecond))
	}

	load := s.Begin(ctx, text)

	s.Pause(ctx, 3*time.Second)
	is.NoErr(c.Workers()[0].Sidecar().Kill())
	s.Pause(ctx, 2*time.Second)
	is.NoErr(c.Entries()[1].Process().Kill())
	s.Pause(ctx, 2*time.Second)
	c.Entries()[0].Relay().Set(relay.Faults{}.WithCutDown())
	s.Pause(ctx, 2*time.Second)
	c.Entries()[0].Relay().Heal()

	report := load.Wait()
	t.Logf("complete %d of %d, refused %v", report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.Equal(report.All().Wrong(), 0)
	is.True(report.All().Complete() > report.All().Submitted()/2)
	s.Check(ctx)
}
