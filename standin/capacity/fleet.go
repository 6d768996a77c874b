package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// FleetChange measures the longest time until a change of the agreement is in force at all entries and at all sidecars
// of a fleet of real processes, at several numbers of workers. The fleet has one entry for each three workers.
func (b *Benchmark) FleetChange(ctx context.Context, points []int) error {
	t := newTable(b.Out, "workers", "entries s", "sidecars s", "log reads", "appends")
	defer t.printFits()

	for _, n := range points {
		if err := b.measureFleetChange(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Benchmark) measureFleetChange(ctx context.Context, t *table, n int) error {
	s, err := b.openLog(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	for i := range max(1, n/workersPerRack) {
		if _, err := s.cluster.StartEntry(
			ctx, fmt.Sprintf("entry-%d", i), cluster.WithSetting("log_level", b.LogLevel)); err != nil {
			return err
		}
	}

	for i := range n {
		if _, err := s.cluster.StartWorker(
			ctx, fmt.Sprintf("worker-%d", i), cluster.WithSetting("log_level", b.LogLevel)); err != nil {
			return err
		}
	}

	if err := s.cluster.WaitReady(ctx); err != nil {
		return err
	}

	if err := sleep(ctx, b.SettleTime); err != nil {
		return err
	}

	before, err := s.cluster.Log().Counts(ctx)
	if err != nil {
		return err
	}

	var entries, sidecars time.Duration

	for range changesPerPoint {
		begin := time.Now()

		if _, err := s.publish(ctx, b.Members); err != nil {
			return err
		}

		if err := waitUntil(ctx, "propagation of the change to all entries", func() bool {
			return s.entriesUpdated(ctx)
		}); err != nil {
			return err
		}

		entries = max(entries, time.Since(begin))

		if err := waitUntil(ctx, "propagation of the change to all sidecars", func() bool {
			return s.sidecarsUpdated(ctx)
		}); err != nil {
			return err
		}

		sidecars = max(sidecars, time.Since(begin))
	}

	after, err := s.cluster.Log().Counts(ctx)
	t.addRow(n, entries.Seconds(), sidecars.Seconds(),
		float64(after.Reads()-before.Reads()), float64(after.Appends()-before.Appends()))

	return err
}

func (s *setup) entriesUpdated(ctx context.Context) bool {
	for _, e := range s.cluster.Entries() {
		if m, err := Metrics(ctx, e.AdminURL()); err != nil || int64(m["weir_entry_agreement_version"]) < s.baseVersion {
			return false
		}
	}

	return true
}

func (s *setup) sidecarsUpdated(ctx context.Context) bool {
	for _, w := range s.cluster.Workers() {
		var b struct {
			Version int64 `json:"version"`
		}

		if err := w.Status(ctx, &b); err != nil || b.Version < s.baseVersion {
			return false
		}
	}

	return true
}
