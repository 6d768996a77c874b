package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// EntryWorkers measures an idle entry against the number of connected sidecars.
func (b *Benchmark) EntryWorkers(ctx context.Context, points []int) error {
	s, err := b.openEntry(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "workers", usageColumns()...)
	defer t.printFits()

	for _, n := range points {
		begin := time.Now()

		if err := s.sidecars.GrowTo(ctx, n); err != nil {
			return err
		}

		fmt.Fprintf(b.Out, "connected and registered up to %d workers after %s\n", n, time.Since(begin).Round(time.Millisecond))

		if err := s.measureEntry(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryStarts measures an entry against the rate of starts.
func (b *Benchmark) EntryStarts(ctx context.Context, points []int) error {
	s, err := b.openFleet(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "starts/s", append(usageColumns(), "done/s", "refused/s", "cpu us/start")...)
	defer t.printFits()

	for _, n := range points {
		if err := s.measureStarts(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (s *setup) measureStarts(ctx context.Context, t *table, n int) error {
	loading, stop := context.WithCancel(ctx)
	j := newJobLoad(s.entry.URL(), token, s.benchmark.TasksPerJob, s.benchmark.InputBytes)

	var group sync.WaitGroup

	group.Go(func() { j.run(loading, n) })

	defer group.Wait()
	defer stop()

	var cpu, done float64

	err := t.measure(ctx, s.benchmark, n, func(ctx context.Context) (Usage, error) {
		u, err := s.usage(ctx)
		cpu, done = float64(u.cpuTime)-cpu, float64(j.answeredTasks.Load())-done

		return u, err
	}, counterRate(j.answeredTasks.Load), counterRate(j.refusedJobs.Load), func(window time.Duration) float64 {
		if window == 0 {
			cpu, done = 0, 0

			return 0
		}

		return cpu / done / float64(time.Microsecond)
	})

	if e := j.lastError.Load(); e != nil {
		fmt.Fprintf(s.benchmark.Out, "last refusal: %v\n", *e)
	}

	return err
}

// openFleet opens a site with all fake sidecars and an entry that is ready.
func (b *Benchmark) openFleet(ctx context.Context) (*setup, error) {
	s, err := b.openEntry(ctx)
	if err != nil {
		return nil, err
	}

	if err = s.sidecars.GrowTo(ctx, b.Workers); err == nil {
		err = s.cluster.WaitReady(ctx)
	}

	if err != nil {
		s.close()
	}

	return s, err
}

// EntryMembers measures an idle entry against the number of members.
func (b *Benchmark) EntryMembers(ctx context.Context, points []int) error {
	s, err := b.openFleet(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "members", usageColumns()...)
	defer t.printFits()

	for _, n := range points {
		if _, err := s.publish(ctx, n); err != nil {
			return err
		}

		if err := s.measureEntry(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryHeld measures an idle entry against the number of answered submissions that it holds.
func (b *Benchmark) EntryHeld(ctx context.Context, points []int) error {
	s, err := b.openFleet(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "held", usageColumns()...)
	defer t.printFits()

	j := newJobLoad(s.entry.URL(), token, b.TasksPerJob, b.InputBytes)

	for _, n := range points {
		if err := j.submitUntilAnswered(ctx, n); err != nil {
			return err
		}

		if err := s.measureEntry(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryPeers measures an idle entry against the number of entries.
func (b *Benchmark) EntryPeers(ctx context.Context, points []int) error {
	s, err := b.openEntry(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "entries", append(usageColumns(), "log reads/s")...)
	defer t.printFits()

	for _, n := range points {
		if err := s.startPeers(ctx, n); err != nil {
			return err
		}

		reads := counterRate(func() int64 {
			c, _ := s.cluster.Log().Counts(ctx)

			return c.Reads()
		})
		if err := t.measure(ctx, b, n, s.usage, reads); err != nil {
			return err
		}
	}

	return nil
}

// EntryChange measures the cost of one change of the agreement and how long it takes to the last fake sidecar, at
// several numbers of workers.
func (b *Benchmark) EntryChange(ctx context.Context, points []int) error {
	s, err := b.openEntry(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "workers", "cpu ms/change", "KB/change", "seconds")
	defer t.printFits()

	for _, n := range points {
		if err := s.sidecars.GrowTo(ctx, n); err != nil {
			return err
		}

		if err := s.measureChange(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// peers starts entries until there are n.
func (s *setup) startPeers(ctx context.Context, n int) error {
	for i := len(s.cluster.Entries()); i < n; i++ {
		if _, err := s.cluster.StartEntry(ctx, fmt.Sprintf("entry-%d", i), cluster.WithSetting("log_level", s.benchmark.LogLevel)); err != nil {
			return err
		}
	}

	return nil
}

// changes is the number of changes in one measurement.
const changesPerPoint = 5

func (s *setup) measureChange(ctx context.Context, t *table, n int) error {
	if err := sleep(ctx, s.benchmark.SettleTime); err != nil {
		return err
	}

	idle, err := s.measureDuring(ctx, func() error { return sleep(ctx, s.benchmark.Window) })
	if err != nil {
		return err
	}

	longest := time.Duration(0)

	busy, err := s.measureDuring(ctx, func() error {
		for range changesPerPoint {
			begin := time.Now()

			position, err := s.publish(ctx, s.benchmark.Members)
			if err != nil {
				return err
			}

			if err := waitUntil(ctx, "the change at all sidecars", func() bool { return s.sidecars.CountReached(position) >= n }); err != nil {
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

// EntryLoss connects and registers a whole fleet at once, then makes a sixth of the sidecars silent, and reports how the
// entry declares them lost.
func (b *Benchmark) EntryLoss(ctx context.Context, points []int) error {
	t := newTable(b.Out, "workers", "seconds", "cpu ms", "KB", "appends", "boot s", "boot cpu ms", "boot KB")
	defer t.printFits()

	for _, n := range points {
		if err := b.measureLoss(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Benchmark) measureLoss(ctx context.Context, t *table, n int) error {
	s, err := b.openEntry(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	if err := s.startPeers(ctx, b.Entries); err != nil {
		return err
	}

	boot, err := s.measureDuring(ctx, func() error {
		if err := s.sidecars.GrowTo(ctx, n); err != nil {
			return err
		}

		return waitUntil(ctx, "the records at all sidecars", func() bool { return s.sidecars.CountReached(int64(n)) >= n })
	})
	if err != nil {
		return err
	}

	if err := sleep(ctx, b.SettleTime); err != nil {
		return err
	}

	before, err := s.cluster.Log().Counts(ctx)
	if err != nil {
		return err
	}

	begin := time.Now()
	lostSidecars := max(1, n/failureDomains)
	s.sidecars.StopLast(lostSidecars)

	loss, err := s.measureDuring(ctx, func() error {
		return waitUntil(ctx, "the declarations", func() bool {
			m, err := Metrics(ctx, s.entry.AdminURL())

			return err == nil && int(m["weir_entry_workers_registered"]) == n-lostSidecars
		})
	})
	if err != nil {
		return err
	}

	after, err := s.cluster.Log().Counts(ctx)
	t.addRow(n, time.Since(begin).Seconds(), loss.cpu*1e3, loss.bytes/1e3, float64(after.Appends()-before.Appends()),
		boot.seconds, boot.cpu*1e3, boot.bytes/1e3)

	return err
}

// spent is what the entry used in a time, in seconds, CPU seconds and bytes.
type consumption struct{ seconds, cpu, bytes float64 }

// over returns what was spent beyond what idle costs in the same time.
func (c consumption) beyondIdle(idle consumption) consumption {
	ratio := c.seconds / idle.seconds

	return consumption{c.seconds, c.cpu - idle.cpu*ratio, c.bytes - idle.bytes*ratio}
}

// window runs f and returns what the entry used meanwhile.
func (s *setup) measureDuring(ctx context.Context, f func() error) (consumption, error) {
	return measureDuring(ctx, s.usage, f)
}

func measureDuring(ctx context.Context, readUsage func(context.Context) (Usage, error), f func() error) (consumption, error) {
	first, err := readUsage(ctx)
	if err != nil {
		return consumption{}, err
	}

	if err := f(); err != nil {
		return consumption{}, err
	}

	last, err := readUsage(ctx)

	return consumption{last.at.Sub(first.at).Seconds(), (last.cpuTime - first.cpuTime).Seconds(), last.receivedBytes + last.sentBytes - first.receivedBytes - first.sentBytes}, err
}
