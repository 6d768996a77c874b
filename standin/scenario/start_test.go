package scenario_test

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

func TestMain(m *testing.M) {
	code := m.Run()

	cluster.RemoveSharedPrograms()
	os.Exit(code)
}

const testTimeout = 3 * time.Minute

// mixedLoad has jobs, repeatable requests and not repeatable requests. The seed is part of the load and is logged with
// it.
const mixedLoad = `"rate": 40, "duration": "14s", "seed": 11, "attempts": 6, "mix": [
	{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 12, "run": "uniform 50ms 300ms", "deadline": "8s"},
	{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms", "deadline": "8s"},
	{"kind": "order", "weight": 2, "run": "uniform 50ms 400ms", "deadline": "8s"},
]`

func kinds() []string { return []string{"fit", "stock", "order"} }

// resubmitter sends each submission again through another entry, whether or not it is still running.
type resubmitter struct {
	client *caller.Client
	system *scenario.System
	group  sync.WaitGroup
}

func (r *resubmitter) resubmit(ctx context.Context, record *caller.Record) {
	defer r.group.Done()

	r.system.History().Record(r.client.Resubmit(ctx, record))
}

func (r *resubmitter) resubmitAll(ctx context.Context, records []*caller.Record) {
	for _, record := range records {
		if record.Ticket() == "" {
			continue
		}

		r.group.Add(1)
		go r.resubmit(ctx, record)
	}

	r.group.Wait()
}

// Guards against a task that starts twice when a home is killed, an entry and a sidecar are paused for longer than a
// lease, and the log is down, while callers resubmit through other entries.
func TestNoTaskStartsTwice(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	t.Log(mixedLoad)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	processes := s.Cluster()
	load := s.StartLoad(ctx, mixedLoad)

	s.Sleep(ctx, 2*time.Second)
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"down": true}))
	is.NoErr(processes.Workers()[0].Sidecar().Pause())
	is.NoErr(processes.Entries()[1].Process().Pause())
	s.Sleep(ctx, 4*time.Second)
	is.NoErr(processes.Workers()[0].Sidecar().Resume())
	is.NoErr(processes.Entries()[1].Process().Resume())
	s.Sleep(ctx, time.Second)
	is.NoErr(processes.Entries()[2].Process().Kill())
	s.Sleep(ctx, time.Second)
	is.NoErr(processes.Workers()[1].Sidecar().Kill())
	s.Sleep(ctx, time.Second)
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"down": false}))

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())
	// The system continues to complete work under these faults.
	is.True(report.All().Complete() > report.All().Submitted()/2)

	settings, err := processes.NewLoad(scenario.Token, `"rate": 1, "seed": 1, "mix": [{"kind": "fit"}]`)
	is.NoErr(err)

	client := caller.NewClient(settings)
	defer client.Close()

	callers := &resubmitter{client: client, system: s}
	callers.resubmitAll(ctx, s.History().Records())
	callers.resubmitAll(ctx, s.History().Records())
	s.Check(ctx)
}

// Guards against refusals with ran none while a start message is on its way, and against answers with mixed-up
// outputs, when messages are lost, delayed and duplicated and connections are cut in one direction.
func TestLostAndDelayedMessages(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	t.Log(mixedLoad)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	entries := s.Cluster().Entries()

	for _, e := range entries {
		e.Relay().SetFaults(relay.Faults{}.WithLoss(0.02).WithDuplicate(0.05).WithDelay(3 * time.Millisecond))
	}

	load := s.StartLoad(ctx, mixedLoad)

	s.Sleep(ctx, 2*time.Second)
	entries[0].Relay().SetFaults(relay.Faults{}.WithCutUp())
	s.Sleep(ctx, 4*time.Second)
	entries[0].Relay().ClearFaults()
	entries[1].Relay().SetFaults(relay.Faults{}.WithCutDown())
	s.Sleep(ctx, 4*time.Second)
	entries[1].Relay().ClearFaults()

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.True(report.All().Complete() > report.All().Submitted()/2)
	s.Check(ctx)
}

// Guards against requests that are interrupted when every entry and sidecar is restarted in turn under load.
func TestRollingRestartCutsNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const restartLoad = `"rate": 20, "duration": "42s", "seed": 12, "attempts": 8, "mix": [
		{"kind": "fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 300ms"},
		{"kind": "stock", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms"},
		{"kind": "order", "weight": 2, "run": "uniform 50ms 900ms", "tail": "fixed 2500ms", "tail_share": 0.1},
	]`

	t.Log(restartLoad)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	load := s.StartLoad(ctx, restartLoad)

	s.Sleep(ctx, time.Second)

	for _, w := range s.Cluster().Workers() {
		is.NoErr(w.Sidecar().Terminate())
		is.NoErr(w.Sidecar().Wait(ctx))
		is.NoErr(w.Restart(ctx))
		is.NoErr(s.Cluster().WaitReady(ctx))
		s.Sleep(ctx, time.Second)
	}

	for _, e := range s.Cluster().Entries() {
		is.NoErr(e.Process().Terminate())
		is.NoErr(e.Process().Wait(ctx))
		is.NoErr(e.Restart(ctx))
		is.NoErr(s.Cluster().WaitReady(ctx))
		s.Sleep(ctx, time.Second)
	}

	report := load.Wait()
	t.Logf("%d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.Equal(report.All().Complete(), report.All().Submitted())

	// A retry of the caller would hide an interrupted request, so the interrupted attempts are counted.
	interruptions := 0

	for _, r := range s.History().Records() {
		if n := r.InterruptedAttempts(); n > 0 {
			t.Logf("submission %s was interrupted %d times", r.Ticket(), n)
			interruptions += n
		}
	}

	is.Equal(interruptions, 0)
	s.Check(ctx)
}
