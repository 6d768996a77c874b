package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// EntryWorkers measures an idle entry at several numbers of connected sidecars.
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

		fmt.Fprintf(b.Out, "connected and registered up to %d workers after %s\n",
			n, time.Since(begin).Round(time.Millisecond))

		if err := s.measureEntry(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryStarts measures an entry at several rates of task starts.
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
	loadCtx, stop := context.WithCancel(ctx)
	j := newJobLoad(s.entry.URL(), token, s.benchmark.TasksPerJob, s.benchmark.InputBytes)

	var group sync.WaitGroup

	group.Go(func() { j.run(loadCtx, n) })

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

// openFleet starts a log service, one entry and all fake sidecars, and waits until the entry is ready.
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

// EntryMembers measures an idle entry at several numbers of members.
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

// EntryHeld measures an idle entry at several numbers of answered submissions that it holds.
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

// EntryPeers measures an idle entry at several numbers of entries.
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

// EntryChange measures what one change of the agreement costs an entry, and the longest time until all fake sidecars
// have received a change, at several numbers of workers.
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

// startPeers starts entries until there are n.
func (s *setup) startPeers(ctx context.Context, n int) error {
	for i := len(s.cluster.Entries()); i < n; i++ {
		if _, err := s.cluster.StartEntry(
			ctx, fmt.Sprintf("entry-%d", i), cluster.WithSetting("log_level", s.benchmark.LogLevel)); err != nil {
			return err
		}
	}

	return nil
}

// changesPerPoint is the number of changes of the agreement in the measurement of one point.
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

			if err := waitUntil(ctx, "propagation of the change to all sidecars", func() bool {
				return s.sidecars.CountReached(position) >= n
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

// EntryLoss measures an entry while a whole fleet connects and registers at once, and then from the moment at which a
// sixth of the sidecars, as many as a failure domain has, stop responding until the entry has declared them all lost.
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

		return waitUntil(ctx, "propagation of the registrations to all sidecars", func() bool {
			return s.sidecars.CountReached(int64(n)) >= n
		})
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
		return waitUntil(ctx, "removal of the lost sidecars", func() bool {
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

// consumption is what a process used in a period: its length in seconds, CPU seconds, and bytes of control traffic.
type consumption struct{ seconds, cpu, bytes float64 }

// beyondIdle returns the consumption beyond that of an idle process in the same time.
func (c consumption) beyondIdle(idle consumption) consumption {
	ratio := c.seconds / idle.seconds

	return consumption{c.seconds, c.cpu - idle.cpu*ratio, c.bytes - idle.bytes*ratio}
}

// measureDuring runs f and returns what the entry used during it.
func (s *setup) measureDuring(ctx context.Context, f func() error) (consumption, error) {
	return measureDuring(ctx, s.usage, f)
}

func measureDuring(
	ctx context.Context, readUsage func(context.Context) (Usage, error), f func() error,
) (consumption, error) {
	first, err := readUsage(ctx)
	if err != nil {
		return consumption{}, err
	}

	if err := f(); err != nil {
		return consumption{}, err
	}

	last, err := readUsage(ctx)

	return consumption{
		last.at.Sub(first.at).Seconds(), (last.cpuTime - first.cpuTime).Seconds(),
		last.receivedBytes + last.sentBytes - first.receivedBytes - first.sentBytes,
	}, err
}
