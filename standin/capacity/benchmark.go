// Package capacity measures what one entry or one sidecar uses at several sizes of its surroundings, which fakes in the
// measuring process stand in for, and fits lines to it. CPU time and memory are read from /proc by process id, so the
// package works on Linux only.
package capacity

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
)

// Bench holds what the measurements share.
type Benchmark struct {
	Programs  cluster.Programs
	Directory string
	Out       io.Writer
	// Settle is waited before each measurement and Window is its length.
	SettleTime, Window time.Duration
	// Workers, Members, Tasks and Starts are the sizes that a measurement does not vary.
	Workers, Members, TasksPerJob, Entries int
	// Input is the length of a task's input in bytes.
	InputBytes int
	// LogLevel is that of the measured processes.
	LogLevel string

	clusterCount int
}

// Measure is a measurement at several points.
type Measurement func(b *Benchmark, ctx context.Context, points []int) error

// Measures returns the measurements by name.
func Measurements() map[string]Measurement {
	return map[string]Measurement{
		"entry-workers":   (*Benchmark).EntryWorkers,
		"entry-starts":    (*Benchmark).EntryStarts,
		"entry-members":   (*Benchmark).EntryMembers,
		"entry-held":      (*Benchmark).EntryHeld,
		"entry-peers":     (*Benchmark).EntryPeers,
		"entry-change":    (*Benchmark).EntryChange,
		"entry-loss":      (*Benchmark).EntryLoss,
		"sidecar-entries": (*Benchmark).SidecarEntries,
		"sidecar-starts":  (*Benchmark).SidecarStarts,
		"sidecar-members": (*Benchmark).SidecarMembers,
		"sidecar-change":  (*Benchmark).SidecarChange,
		"fleet-change":    (*Benchmark).FleetChange,
	}
}

const (
	token        = "capacity-token"
	entrySlots   = 8
	pollInterval = 10 * time.Millisecond
	maxWait      = 75 * time.Second
)

// site is a cluster with fakes.
type setup struct {
	benchmark *Benchmark
	cluster   *cluster.Cluster
	log       *logservice.Client
	keys      quic.Keys
	entry     *cluster.Entry
	sidecars  *FakeSidecars
	// base is the version in force.
	baseVersion int64
}

// open starts a log and one entry with an agreement in force.
func (b *Benchmark) openEntry(ctx context.Context) (*setup, error) {
	s, err := b.openLog(ctx)
	if err != nil {
		return nil, err
	}

	if err := s.startEntry(ctx); err != nil {
		s.close()

		return nil, err
	}

	return s, nil
}

func (b *Benchmark) openLog(ctx context.Context) (*setup, error) {
	b.clusterCount++

	c, err := cluster.New(b.Programs, filepath.Join(b.Directory, fmt.Sprintf("cluster-%d", b.clusterCount)))
	if err != nil {
		return nil, err
	}

	s := &setup{benchmark: b, cluster: c}

	if err := c.StartLog(ctx); err != nil {
		s.close()

		return nil, err
	}

	s.log = logservice.NewClient(c.Log().URL())

	path := func(file string) string { return filepath.Join(c.Directory(), "keys", file) }
	if s.keys, err = quic.LoadKeys(path("certificate.pem"), path("key.pem"), path("authority.pem")); err != nil {
		s.close()

		return nil, err
	}

	_, err = s.publish(ctx, b.Members)

	return s, err
}

func (s *setup) startEntry(ctx context.Context) error {
	e, err := s.cluster.StartEntry(ctx, "entry", cluster.WithSetting("log_level", s.benchmark.LogLevel), cluster.WithSetting("append_budget", appendBudget))
	if err != nil {
		return err
	}

	s.entry = e
	s.sidecars = &FakeSidecars{entryAddress: e.AdvertisedAddress()}

	return s.sidecars.node.Listen("127.0.0.1:0", s.keys)
}

// appendBudget lets one entry register a whole fleet, which is the work of many entries otherwise.
const appendBudget = 200

func (s *setup) close() {
	if s.sidecars != nil {
		_ = s.sidecars.Close()
	}

	s.cluster.Close()
}

// publish appends an agreement of n members and returns the position that contains it.
func (s *setup) publish(ctx context.Context, n int) (position int64, err error) {
	r, err := publicationRecord(s.baseVersion, n, token)
	if err != nil {
		return 0, err
	}

	at, err := s.log.Append(ctx, r)
	if err != nil {
		return 0, err
	}

	s.baseVersion++

	return at + 1, nil
}

func (s *setup) usage(ctx context.Context) (Usage, error) {
	return ReadUsage(ctx, s.entry.Process().ID(), s.entry.AdminURL())
}

// row settles, measures the entry over the window and adds a row to the table.
func (s *setup) measureEntry(ctx context.Context, t *table, x int) error {
	return t.measure(ctx, s.benchmark, x, s.usage)
}

// wait polls until done returns true.
func waitUntil(ctx context.Context, what string, done func() bool) error {
	for end := time.Now().Add(maxWait); !done(); {
		if time.Now().After(end) {
			return merry.Errorf("%s: not within %s", what, maxWait)
		}

		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}

	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
