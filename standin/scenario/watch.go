package scenario

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// watchInterval is the interval at which versions are read.
const watchInterval = 50 * time.Millisecond

// Watch reads the version in force at every process again and again. System.Watch sets it up.
type Watch struct {
	system *System
	stop   context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// versions holds the newest version of each process, by the process's number.
	versions map[int]int64
	// reverted tells which processes went to an older version.
	reverted []string
}

// versioned is the part of a status that the watch reads.
type versioned struct {
	Version          int64 `json:"version"`
	AgreementVersion int64 `json:"agreement_version"`
}

// daemon is an entry or a worker's sidecar.
type daemon struct {
	name    string
	process *cluster.Process
	status  func(ctx context.Context, into any) error
}

// Watch begins to read versions. A process that is started again counts as another one.
func (s *System) Watch(ctx context.Context) *Watch {
	ctx, stop := context.WithCancel(ctx)
	w := &Watch{system: s, stop: stop, done: make(chan struct{}), versions: map[int]int64{}}

	go w.run(ctx)

	return w
}

func (w *Watch) run(ctx context.Context) {
	defer close(w.done)

	ticker := time.NewTicker(watchInterval)
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

func (w *Watch) read(ctx context.Context, d daemon) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	var v versioned
	if err := d.status(ctx, &v); err != nil {
		return
	}

	// The answer may come from the next process at the same address.
	if !d.process.Running() {
		return
	}

	version := max(v.Version, v.AgreementVersion)

	w.mu.Lock()
	defer w.mu.Unlock()

	if before := w.versions[d.process.ID()]; version < before {
		w.reverted = append(w.reverted, fmt.Sprintf("%s from %d to %d", d.name, before, version))
	}

	w.versions[d.process.ID()] = version
}

// Versions returns the newest version of each process by its number.
func (w *Watch) Versions() map[int]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return maps.Clone(w.versions)
}

// Reverted tells which processes went to an older version.
func (w *Watch) Reverted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.reverted
}

// Close ends the watch.
func (w *Watch) Close() {
	w.stop()
	<-w.done
}

// Spread waits until every running process has the version, and returns the time that it took.
func (w *Watch) Spread(ctx context.Context, version int64) (time.Duration, error) {
	began := time.Now()

	for {
		versions, missing := w.Versions(), false
		for _, d := range w.system.daemons() {
			missing = missing || d.process.Running() && versions[d.process.ID()] < version
		}

		if !missing {
			return time.Since(began), nil
		}

		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

func (s *System) daemons() []daemon {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []daemon

	for _, e := range s.cluster.Entries() {
		out = append(out, daemon{e.Name(), e.Process(), e.Status})
	}

	for _, w := range s.cluster.Workers() {
		out = append(out, daemon{w.Name(), w.Sidecar(), w.Status})
	}

	return out
}
