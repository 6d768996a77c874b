// Package capacity measures the CPU time, memory and control traffic of one entry or one sidecar at several sizes of
// the system, and fits a line to each figure. Fakes in the measuring process take the place of the other processes. CPU
// time and memory are read from /proc by process id, so the package works on Linux only.
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

// Benchmark holds the parameters that all measurements share.
type Benchmark struct {
	Programs  cluster.Programs
	Directory string
	Out       io.Writer
	// SettleTime is the wait before each measurement, Window the duration of the measurement.
	SettleTime, Window time.Duration
	// Workers, Members and TasksPerJob apply where a measurement does not vary them; Entries applies to EntryLoss only.
	Workers, Members, TasksPerJob, Entries int
	// InputBytes is the size of the input of a task.
	InputBytes int
	// LogLevel is the log level of the measured processes.
	LogLevel string

	clusterCount int
}

// Measurement measures at several points, which are values of the size that it varies.
type Measurement func(b *Benchmark, ctx context.Context, points []int) error

// Measurements returns the measurements by the names that the capacity command accepts.
func Measurements() map[string]Measurement {
	return map[string]Measurement{
		"call":                (*Benchmark).Call,
		"entry-workers":       (*Benchmark).EntryWorkers,
		"entry-starts":        (*Benchmark).EntryStarts,
		"entry-members":       (*Benchmark).EntryMembers,
		"entry-held":          (*Benchmark).EntryHeld,
		"entry-peers":         (*Benchmark).EntryPeers,
		"entry-change":        (*Benchmark).EntryChange,
		"entry-loss":          (*Benchmark).EntryLoss,
		"session-entry":       (*Benchmark).SessionEntry,
		"session-evacuations": (*Benchmark).SessionEvacuations,
		"sidecar-entries":     (*Benchmark).SidecarEntries,
		"sidecar-starts":      (*Benchmark).SidecarStarts,
		"sidecar-members":     (*Benchmark).SidecarMembers,
		"sidecar-change":      (*Benchmark).SidecarChange,
		"fleet-change":        (*Benchmark).FleetChange,
	}
}

const (
	token        = "capacity-token"
	entrySlots   = 8
	pollInterval = 10 * time.Millisecond
	maxWait      = 75 * time.Second
)

// setup is a cluster with a log service, and possibly a real entry with fake sidecars.
type setup struct {
	benchmark *Benchmark
	cluster   *cluster.Cluster
	log       *logservice.Client
	keys      quic.Keys
	entry     *cluster.Entry
	sidecars  *FakeSidecars
	// baseVersion is the version of the agreement in force.
	baseVersion int64
}

// openEntry starts a log service that holds an agreement, and one entry.
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
	e, err := s.cluster.StartEntry(ctx, "entry",
		cluster.WithSetting("log_level", s.benchmark.LogLevel), cluster.WithSetting("append_budget", appendBudget))
	if err != nil {
		return err
	}

	s.entry = e
	s.sidecars = &FakeSidecars{entryAddress: e.AdvertisedAddress()}

	return s.sidecars.node.Listen("127.0.0.1:0", s.keys)
}

// appendBudget, in appends/s, lets one entry register a whole fleet, which many entries share otherwise.
const appendBudget = 200

func (s *setup) close() {
	if s.sidecars != nil {
		_ = s.sidecars.Close()
	}

	s.cluster.Close()
}

// publish appends an agreement of n members to the log and returns the first log position that includes it.
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

// measureEntry measures the entry over the window and adds a row to the table.
func (s *setup) measureEntry(ctx context.Context, t *table, x int) error {
	return t.measure(ctx, s.benchmark, x, s.usage)
}

// waitUntil polls until done returns true, at most for maxWait.
func waitUntil(ctx context.Context, event string, done func() bool) error {
	for end := time.Now().Add(maxWait); !done(); {
		if time.Now().After(end) {
			return merry.Errorf("%s did not happen within %s", event, maxWait)
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
