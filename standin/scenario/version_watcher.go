package scenario

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// pollInterval is the interval between two reads of the versions.
const pollInterval = 50 * time.Millisecond

// VersionWatcher polls the version in force at every process. System.WatchVersions creates it.
type VersionWatcher struct {
	system *System
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// versions holds the version read last from each process, by process ID.
	versions map[int]int64
	// reversions describes each change of a process to an older version.
	reversions []string
}

// versionStatus holds the version fields of the status of an entry or a sidecar.
type versionStatus struct {
	Version          int64 `json:"version"`
	AgreementVersion int64 `json:"agreement_version"`
}

// daemon is an entry or a worker's sidecar.
type daemon struct {
	name    string
	process *cluster.Process
	status  func(ctx context.Context, into any) error
}

// WatchVersions starts a watcher. A restarted process has a new process ID and counts as another process.
func (s *System) WatchVersions(ctx context.Context) *VersionWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &VersionWatcher{system: s, cancel: cancel, done: make(chan struct{}), versions: map[int]int64{}}

	go w.run(ctx)

	return w
}

func (w *VersionWatcher) run(ctx context.Context) {
	defer close(w.done)

	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for ctx.Err() == nil {
		for _, d := range w.system.daemons() {
			w.read(ctx, d)
		}

		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (w *VersionWatcher) read(ctx context.Context, d daemon) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	var status versionStatus
	if err := d.status(ctx, &status); err != nil {
		return
	}

	// The response may come from the next process at the same address.
	if !d.process.Running() {
		return
	}

	version := max(status.Version, status.AgreementVersion)

	w.mu.Lock()
	defer w.mu.Unlock()

	if previous := w.versions[d.process.ID()]; version < previous {
		w.reversions = append(w.reversions, fmt.Sprintf("%s from %d to %d", d.name, previous, version))
	}

	w.versions[d.process.ID()] = version
}

// Versions returns the version read last from each process, by process ID.
func (w *VersionWatcher) Versions() map[int]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return maps.Clone(w.versions)
}

// Reversions describes each change of a process to an older version.
func (w *VersionWatcher) Reversions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.reversions
}

// Close stops the watcher and waits until it has ended.
func (w *VersionWatcher) Close() {
	w.cancel()
	<-w.done
}

// WaitForVersion waits until every running process has the version or a newer one, and returns the time that it took.
func (w *VersionWatcher) WaitForVersion(ctx context.Context, version int64) (time.Duration, error) {
	start := time.Now()

	for {
		versions, missing := w.Versions(), false
		for _, d := range w.system.daemons() {
			missing = missing || d.process.Running() && versions[d.process.ID()] < version
		}

		if !missing {
			return time.Since(start), nil
		}

		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (s *System) daemons() []daemon {
	s.mu.Lock()
	defer s.mu.Unlock()

	var all []daemon

	for _, e := range s.cluster.Entries() {
		all = append(all, daemon{e.Name(), e.Process(), e.Status})
	}

	for _, w := range s.cluster.Workers() {
		all = append(all, daemon{w.Name(), w.Sidecar(), w.Status})
	}

	return all
}
