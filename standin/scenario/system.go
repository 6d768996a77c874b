// Package scenario runs the programs as real processes under load and faults, and checks the promises from outside.
package scenario

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/checker"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// Token is the credential of the member that agreements of WriteAgreement have.
const Token = "token"

// System is a running system with the history of its load. Start sets it up.
type System struct {
	tb      cluster.TB
	cluster *cluster.Cluster
	history checker.History
	// kept holds the starts of backend servers that were replaced, since their records end with them.
	savedStarts map[string][]cluster.TaskStart
	mu          sync.Mutex
}

// Start runs a log, entries behind relays and workers with the options, with an agreement of equal kinds in force.
func Start(ctx context.Context, tb cluster.TB, entries, workers int, kinds []string, options ...cluster.Option) *System {
	tb.Helper()

	//nolint:contextcheck // the cluster lives as long as the test, whose context ForTest takes
	s := &System{tb: tb, cluster: cluster.NewForTest(tb), savedStarts: map[string][]cluster.TaskStart{}}
	s.must(s.cluster.StartLog(ctx))

	for i := range entries {
		_, err := s.cluster.StartEntry(ctx, fmt.Sprintf("entry-%d", i+1), cluster.WithSetting("drain_delay", "1s"), cluster.WithRelay(), cluster.WithLogRelay())
		s.must(err)
	}

	for i := range workers {
		s.AddWorker(ctx, fmt.Sprintf("worker-%d", i+1), options...)
	}

	directory := filepath.Join(s.cluster.Directory(), "agreement")
	s.must(cluster.WriteAgreement(directory, Token, kinds...))
	s.Publish(ctx, directory)
	s.must(s.cluster.WaitReady(ctx))

	return s
}

// AddWorker starts one more worker.
func (s *System) AddWorker(ctx context.Context, name string, options ...cluster.Option) *cluster.Worker {
	s.tb.Helper()

	w, err := s.cluster.StartWorker(ctx, name, append([]cluster.Option{cluster.WithSetting("allowance_delay", "0s")}, options...)...)
	s.must(err)

	return w
}

// Cluster returns the processes.
func (s *System) Cluster() *cluster.Cluster { return s.cluster }

// History returns what callers were told.
func (s *System) History() *checker.History { return &s.history }

// Publish puts the short files below a directory into force.
func (s *System) Publish(ctx context.Context, directory string) {
	s.tb.Helper()

	if output, err := s.cluster.Publish(ctx, directory); err != nil {
		s.tb.Fatalf("publish: %v: %s", err, output)
	}
}

// Load is a load that runs beside the faults.
type Load struct {
	system *System
	done   chan struct{}
	report *caller.Report
}

// Begin starts a load of the member of WriteAgreement, with the settings of caller.Load but for entries and token.
func (s *System) StartLoad(ctx context.Context, load string) *Load {
	s.tb.Helper()

	return s.StartLoadAs(ctx, Token, load)
}

// BeginAs starts a load of the member with the token.
func (s *System) StartLoadAs(ctx context.Context, token, load string) *Load {
	s.tb.Helper()

	return s.startLoad(ctx, token, load, s.cluster.Entries())
}

// BeginAt starts a load of the member of WriteAgreement at some of the entries.
func (s *System) StartLoadAt(ctx context.Context, load string, entries ...*cluster.Entry) *Load {
	s.tb.Helper()

	return s.startLoad(ctx, Token, load, entries)
}

func (s *System) startLoad(ctx context.Context, token, load string, entries []*cluster.Entry) *Load {
	s.tb.Helper()

	settings, err := s.cluster.NewLoad(token, load)
	s.must(err)

	settings.Entries = nil
	for _, e := range entries {
		settings.Entries = append(settings.Entries, e.URL())
	}

	l := &Load{system: s, done: make(chan struct{})}
	go l.run(ctx, settings)

	return l
}

func (l *Load) run(ctx context.Context, settings *caller.Load) {
	defer close(l.done)

	l.report = caller.NewGenerator(settings, l.system.history.Record).Run(ctx)
}

// Wait returns the report once every submission has its last answer.
func (l *Load) Wait() *caller.Report {
	<-l.done

	return l.report
}

// KeepStarts saves the starts of a backend server that is about to end.
func (s *System) SaveStarts(ctx context.Context, w *cluster.Worker) {
	s.tb.Helper()

	starts, err := w.Starts(ctx)
	s.must(err)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.savedStarts[w.Name()] = append(s.savedStarts[w.Name()], starts...)
}

// Starts returns the starts of all backend servers, those of replaced ones included.
func (s *System) Starts(ctx context.Context) []cluster.TaskStart {
	s.tb.Helper()

	var all []cluster.TaskStart

	for _, w := range s.cluster.Workers() {
		starts, err := w.Starts(ctx)
		s.must(err)

		all = append(append(all, s.savedStarts[w.Name()]...), starts...)
	}

	return all
}

// Check fails the test for each broken promise. No load may run any more.
func (s *System) Check(ctx context.Context) {
	s.tb.Helper()

	for _, start := range s.Starts(ctx) {
		s.history.Start(start)
	}

	violations := s.history.Violations()
	for i, v := range violations {
		if i == 10 {
			break
		}

		s.tb.Logf("%s", v)
	}

	if len(violations) > 0 {
		s.tb.Fatalf("%d violations", len(violations))
	}
}

// Pause waits, since faults are placed at times within a load.
func (s *System) Sleep(ctx context.Context, d time.Duration) {
	s.tb.Helper()

	select {
	case <-time.After(d):
	case <-ctx.Done():
		s.tb.Fatalf("the scenario took too long: %v", ctx.Err())
	}
}

func (s *System) must(err error) {
	s.tb.Helper()

	if err != nil {
		s.tb.Fatalf("%v", err)
	}
}
