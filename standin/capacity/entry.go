package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// EntryWorkers measures an idle entry against the number of connected sidecars.
func (b *Bench) EntryWorkers(ctx context.Context, points []int) error {
	s, err := b.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "workers", usageColumns()...)
	defer t.fits()

	for _, n := range points {
		begin := time.Now()

		if err := s.sidecars.Grow(ctx, n); err != nil {
			return err
		}

		fmt.Fprintf(b.Out, "connected and registered up to %d workers after %s\n", n, time.Since(begin).Round(time.Millisecond))

		if err := s.row(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryStarts measures an entry against the rate of starts.
func (b *Bench) EntryStarts(ctx context.Context, points []int) error {
	s, err := b.openFleet(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "starts/s", append(usageColumns(), "done/s", "refused/s", "cpu us/start")...)
	defer t.fits()

	for _, n := range points {
		if err := s.starts(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (s *site) starts(ctx context.Context, t *table, n int) error {
	loading, stop := context.WithCancel(ctx)
	j := newJobs(s.entry.URL(), token, s.bench.Tasks, s.bench.Input)

	var group sync.WaitGroup

	group.Go(func() { j.run(loading, n) })

	defer group.Wait()
	defer stop()

	var cpu, done float64

	err := t.measure(ctx, s.bench, n, func(ctx context.Context) (Usage, error) {
		u, err := s.usage(ctx)
		cpu, done = float64(u.cpu)-cpu, float64(j.done.Load())-done

		return u, err
	}, rate(j.done.Load), rate(j.refused.Load), func(window time.Duration) float64 {
		if window == 0 {
			cpu, done = 0, 0

			return 0
		}

		return cpu / done / float64(time.Microsecond)
	})

	if e := j.last.Load(); e != nil {
		fmt.Fprintf(s.bench.Out, "last refusal: %v\n", *e)
	}

	return err
}

// openFleet opens a site with all fake sidecars and an entry that is ready.
func (b *Bench) openFleet(ctx context.Context) (*site, error) {
	s, err := b.open(ctx)
	if err != nil {
		return nil, err
	}

	if err = s.sidecars.Grow(ctx, b.Workers); err == nil {
		err = s.cluster.WaitReady(ctx)
	}

	if err != nil {
		s.close()
	}

	return s, err
}

// EntryMembers measures an idle entry against the number of members.
func (b *Bench) EntryMembers(ctx context.Context, points []int) error {
	s, err := b.openFleet(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "members", usageColumns()...)
	defer t.fits()

	for _, n := range points {
		if _, err := s.publish(ctx, n); err != nil {
			return err
		}

		if err := s.row(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryHeld measures an idle entry against the number of answered submissions that it holds.
func (b *Bench) EntryHeld(ctx context.Context, points []int) error {
	s, err := b.openFleet(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "held", usageColumns()...)
	defer t.fits()

	j := newJobs(s.entry.URL(), token, b.Tasks, b.Input)

	for _, n := range points {
		if err := j.until(ctx, n); err != nil {
			return err
		}

		if err := s.row(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// EntryPeers measures an idle entry against the number of entries.
func (b *Bench) EntryPeers(ctx context.Context, points []int) error {
	s, err := b.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "entries", append(usageColumns(), "log reads/s")...)
	defer t.fits()

	for _, n := range points {
		if err := s.peers(ctx, n); err != nil {
			return err
		}

		reads := rate(func() int64 {
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
func (b *Bench) EntryChange(ctx context.Context, points []int) error {
	s, err := b.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	t := newTable(b.Out, "workers", "cpu ms/change", "KB/change", "seconds")
	defer t.fits()

	for _, n := range points {
		if err := s.sidecars.Grow(ctx, n); err != nil {
			return err
		}

		if err := s.change(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

// peers starts entries until there are n.
func (s *site) peers(ctx context.Context, n int) error {
	for i := len(s.cluster.Entries()); i < n; i++ {
		if _, err := s.cluster.StartEntry(ctx, fmt.Sprintf("entry-%d", i), cluster.WithSetting("log_level", s.bench.LogLevel)); err != nil {
			return err
		}
	}

	return nil
}

// changes is the number of changes in one measurement.
const changes = 5

func (s *site) change(ctx context.Context, t *table, n int) error {
	if err := sleep(ctx, s.bench.Settle); err != nil {
		return err
	}

	idle, err := s.window(ctx, func() error { return sleep(ctx, s.bench.Window) })
	if err != nil {
		return err
	}

	longest := time.Duration(0)

	busy, err := s.window(ctx, func() error {
		for range changes {
			begin := time.Now()

			position, err := s.publish(ctx, s.bench.Members)
			if err != nil {
				return err
			}

			if err := wait(ctx, "the change at all sidecars", func() bool { return s.sidecars.Reached(position) >= n }); err != nil {
				return err
			}

			longest = max(longest, time.Since(begin))
		}

		return nil
	})
	if err != nil {
		return err
	}

	busy = busy.over(idle)
	t.row(n, busy.cpu/changes*1e3, busy.bytes/changes/1e3, longest.Seconds())

	return nil
}

// EntryLoss connects and registers a whole fleet at once, then makes a sixth of the sidecars silent, and reports how the
// entry declares them lost.
func (b *Bench) EntryLoss(ctx context.Context, points []int) error {
	t := newTable(b.Out, "workers", "seconds", "cpu ms", "KB", "appends", "boot s", "boot cpu ms", "boot KB")
	defer t.fits()

	for _, n := range points {
		if err := b.loss(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Bench) loss(ctx context.Context, t *table, n int) error {
	s, err := b.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	if err := s.peers(ctx, b.Entries); err != nil {
		return err
	}

	boot, err := s.window(ctx, func() error {
		if err := s.sidecars.Grow(ctx, n); err != nil {
			return err
		}

		return wait(ctx, "the records at all sidecars", func() bool { return s.sidecars.Reached(int64(n)) >= n })
	})
	if err != nil {
		return err
	}

	if err := sleep(ctx, b.Settle); err != nil {
		return err
	}

	before, err := s.cluster.Log().Counts(ctx)
	if err != nil {
		return err
	}

	begin := time.Now()
	lost := max(1, n/domains)
	s.sidecars.Silence(lost)

	w, err := s.window(ctx, func() error {
		return wait(ctx, "the declarations", func() bool {
			m, err := Metrics(ctx, s.entry.AdminURL())

			return err == nil && int(m["weir_entry_workers_registered"]) == n-lost
		})
	})
	if err != nil {
		return err
	}

	after, err := s.cluster.Log().Counts(ctx)
	t.row(n, time.Since(begin).Seconds(), w.cpu*1e3, w.bytes/1e3, float64(after.Appends()-before.Appends()),
		boot.seconds, boot.cpu*1e3, boot.bytes/1e3)

	return err
}

// spent is what the entry used in a time, in seconds, CPU seconds and bytes.
type spent struct{ seconds, cpu, bytes float64 }

// over returns what was spent beyond what idle costs in the same time.
func (w spent) over(idle spent) spent {
	part := w.seconds / idle.seconds

	return spent{w.seconds, w.cpu - idle.cpu*part, w.bytes - idle.bytes*part}
}

// window runs f and returns what the entry used meanwhile.
func (s *site) window(ctx context.Context, f func() error) (spent, error) {
	return window(ctx, s.usage, f)
}

func window(ctx context.Context, read func(context.Context) (Usage, error), f func() error) (spent, error) {
	first, err := read(ctx)
	if err != nil {
		return spent{}, err
	}

	if err := f(); err != nil {
		return spent{}, err
	}

	last, err := read(ctx)

	return spent{last.at.Sub(first.at).Seconds(), (last.cpu - first.cpu).Seconds(), last.in + last.out - first.in - first.out}, err
}
