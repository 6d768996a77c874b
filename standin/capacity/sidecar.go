package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// sidecarSetup is a real sidecar with fake entries.
type sidecarSetup struct {
	setup   *setup
	worker  *cluster.Worker
	entries *FakeEntries
}

// openSidecar starts a real sidecar with n fake entries. The log in the entries also contains all other workers.
func (b *Benchmark) openSidecar(ctx context.Context, n int) (*sidecarSetup, error) {
	common, err := b.openLog(ctx)
	if err != nil {
		return nil, err
	}

	s := &sidecarSetup{setup: common, entries: &FakeEntries{keys: common.keys}}

	if err := s.start(ctx, n); err != nil {
		s.close()

		return nil, err
	}

	return s, nil
}

func (s *sidecarSetup) start(ctx context.Context, n int) error {
	b := s.setup.benchmark
	s.setup.baseVersion = 0

	if err := s.publish(b.Members); err != nil {
		return err
	}

	records := [][]byte{}
	for i := range b.Workers - 1 {
		records = append(records, ledger.WorkerJoinedRecord(newWorker(i)))
	}

	s.entries.Append(records...)

	addresses, err := s.entries.Start(ctx, n)
	if err != nil {
		return err
	}

	s.worker, err = s.setup.cluster.StartWorker(ctx, "worker",
		cluster.WithSetting("entries", addresses), cluster.WithSetting("slots", workerSlots),
		cluster.WithSetting("memory_mb", workerMemoryMB), cluster.WithSetting("log_level", b.LogLevel))
	if err != nil {
		return err
	}

	if err := waitUntil(ctx, "connection of the sidecar to all entries", func() bool {
		return s.entries.Connected() >= n
	}); err != nil {
		return err
	}

	return s.setup.cluster.WaitReady(ctx)
}

func (s *sidecarSetup) publish(members int) error {
	r, err := publicationRecord(s.setup.baseVersion, members, token)
	if err != nil {
		return err
	}

	s.entries.Append(r)
	s.setup.baseVersion++

	return nil
}

func (s *sidecarSetup) close() {
	s.setup.close()
	s.entries.Close()
}

func (s *sidecarSetup) usage(ctx context.Context) (Usage, error) {
	return ReadUsage(ctx, s.worker.Sidecar().ID(), s.worker.AdminURL())
}

// SidecarEntries measures an idle sidecar at several numbers of entries.
func (b *Benchmark) SidecarEntries(ctx context.Context, points []int) error {
	t := newTable(b.Out, "entries", usageColumns()...)
	defer t.printFits()

	for _, n := range points {
		if err := b.measureIdleSidecar(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Benchmark) measureIdleSidecar(ctx context.Context, t *table, n int) error {
	s, err := b.openSidecar(ctx, n)
	if err != nil {
		return err
	}
	defer s.close()

	return t.measure(ctx, b, n, s.usage)
}

// defaultEntries is the number of fake entries where a measurement does not vary it.
const defaultEntries = 4

// SidecarStarts measures a sidecar at several rates of task starts.
func (b *Benchmark) SidecarStarts(ctx context.Context, points []int) error {
	s, err := b.openSidecar(ctx, defaultEntries)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "starts/s", append(usageColumns(), "starts/s", "failed/s")...)
	defer t.printFits()

	for _, n := range points {
		if err := s.measureStarts(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (s *sidecarSetup) measureStarts(ctx context.Context, t *table, n int) error {
	loadCtx, stop := context.WithCancel(ctx)

	var group sync.WaitGroup

	// The submissions of each load need numbers that no earlier load used. Otherwise the sidecar answers them from its
	// table without running their tasks.
	base := int(s.entries.startCount.Load())

	group.Go(func() { s.entries.GenerateLoad(loadCtx, base, n, make([]byte, s.setup.benchmark.InputBytes)) })

	defer group.Wait()
	defer stop()

	return t.measure(ctx, s.setup.benchmark, n, s.usage,
		counterRate(s.entries.startCount.Load), counterRate(s.entries.failedStarts.Load))
}

// SidecarMembers measures an idle sidecar at several numbers of members.
func (b *Benchmark) SidecarMembers(ctx context.Context, points []int) error {
	s, err := b.openSidecar(ctx, defaultEntries)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "members", usageColumns()...)
	defer t.printFits()

	for _, n := range points {
		if err := s.publish(n); err != nil {
			return err
		}

		if err := t.measure(ctx, b, n, s.usage); err != nil {
			return err
		}
	}

	return nil
}

// SidecarChange measures what one change of the agreement costs a sidecar, and the longest time until it has received a
// change, at several numbers of entries.
func (b *Benchmark) SidecarChange(ctx context.Context, points []int) error {
	t := newTable(b.Out, "entries", "cpu ms/change", "KB/change", "seconds")
	defer t.printFits()

	for _, n := range points {
		if err := b.measureSidecarChange(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Benchmark) measureSidecarChange(ctx context.Context, t *table, n int) error {
	s, err := b.openSidecar(ctx, n)
	if err != nil {
		return err
	}
	defer s.close()

	if err := sleep(ctx, b.SettleTime); err != nil {
		return err
	}

	idle, err := measureDuring(ctx, s.usage, func() error { return sleep(ctx, b.Window) })
	if err != nil {
		return err
	}

	longest := time.Duration(0)

	busy, err := measureDuring(ctx, s.usage, func() error {
		for range changesPerPoint {
			begin := time.Now()

			if err := s.publish(b.Members); err != nil {
				return err
			}

			position := s.entries.replica.State().Position()
			if err := waitUntil(ctx, "propagation of the change to the sidecar", func() bool {
				return s.entries.sidecarPosition.Load() >= position
			}); err != nil {
				return err
			}

			longest = max(longest, time.Since(begin))
		}

		return nil
	})
	if err != nil {
		return err
	}

	busy = busy.beyondIdle(idle)
	t.addRow(n, busy.cpu/changesPerPoint*1e3, busy.bytes/changesPerPoint/1e3, longest.Seconds())

	return nil
}
