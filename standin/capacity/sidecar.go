package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// post is a real sidecar with fake entries.
type post struct {
	site    *site
	worker  *cluster.Worker
	entries *Entries
}

// openPost starts a sidecar among all other workers, with n fake entries.
func (b *Bench) openPost(ctx context.Context, n int) (*post, error) {
	s, err := b.openLog(ctx)
	if err != nil {
		return nil, err
	}

	p := &post{site: s, entries: &Entries{keys: s.keys}}

	if err := p.start(ctx, n); err != nil {
		p.close()

		return nil, err
	}

	return p, nil
}

func (p *post) start(ctx context.Context, n int) error {
	b := p.site.bench
	p.site.base = 0

	if err := p.publish(b.Members); err != nil {
		return err
	}

	records := [][]byte{}
	for i := range b.Workers - 1 {
		records = append(records, ledger.WorkerJoinedRecord(fullWorker(i)))
	}

	p.entries.Append(records...)

	addresses, err := p.entries.Open(ctx, n)
	if err != nil {
		return err
	}

	p.worker, err = p.site.cluster.StartWorker(ctx, "worker", cluster.WithSetting("entries", addresses), cluster.WithSetting("slots", workerSlots),
		cluster.WithSetting("memory_mb", workerMemoryMB), cluster.WithSetting("log_level", b.LogLevel))
	if err != nil {
		return err
	}

	if err := wait(ctx, "the sidecar's connections", func() bool { return p.entries.Connected() >= n }); err != nil {
		return err
	}

	return p.site.cluster.WaitReady(ctx)
}

func (p *post) publish(members int) error {
	r, err := publication(p.site.base, members, token)
	if err != nil {
		return err
	}

	p.entries.Append(r)
	p.site.base++

	return nil
}

func (p *post) close() {
	p.site.close()
	p.entries.Close()
}

func (p *post) usage(ctx context.Context) (Usage, error) {
	return Read(ctx, p.worker.Sidecar().ID(), p.worker.AdminURL())
}

// SidecarEntries measures an idle sidecar against the number of entries.
func (b *Bench) SidecarEntries(ctx context.Context, points []int) error {
	t := newTable(b.Out, "entries", usageColumns()...)
	defer t.fits()

	for _, n := range points {
		if err := b.sidecarIdle(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Bench) sidecarIdle(ctx context.Context, t *table, n int) error {
	p, err := b.openPost(ctx, n)
	if err != nil {
		return err
	}
	defer p.close()

	return t.measure(ctx, b, n, p.usage)
}

// fewEntries is the number of fake entries where it is not varied.
const fewEntries = 4

// SidecarStarts measures a sidecar against the rate of starts.
func (b *Bench) SidecarStarts(ctx context.Context, points []int) error {
	p, err := b.openPost(ctx, fewEntries)
	if err != nil {
		return err
	}
	defer p.close()

	t := newTable(b.Out, "starts/s", append(usageColumns(), "starts/s", "failed/s")...)
	defer t.fits()

	for _, n := range points {
		if err := p.starts(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (p *post) starts(ctx context.Context, t *table, n int) error {
	loading, stop := context.WithCancel(ctx)

	var group sync.WaitGroup

	// Each load numbers its submissions from 1, so the sidecar would answer a second one from its table.
	base := int(p.entries.starts.Load())

	group.Go(func() { p.entries.Load(loading, base, n, make([]byte, p.site.bench.Input)) })

	defer group.Wait()
	defer stop()

	return t.measure(ctx, p.site.bench, n, p.usage, rate(p.entries.starts.Load), rate(p.entries.failed.Load))
}

// SidecarMembers measures an idle sidecar against the number of members.
func (b *Bench) SidecarMembers(ctx context.Context, points []int) error {
	p, err := b.openPost(ctx, fewEntries)
	if err != nil {
		return err
	}
	defer p.close()

	t := newTable(b.Out, "members", usageColumns()...)
	defer t.fits()

	for _, n := range points {
		if err := p.publish(n); err != nil {
			return err
		}

		if err := t.measure(ctx, b, n, p.usage); err != nil {
			return err
		}
	}

	return nil
}

// SidecarChange measures the cost of one change at a sidecar, against the number of entries.
func (b *Bench) SidecarChange(ctx context.Context, points []int) error {
	t := newTable(b.Out, "entries", "cpu ms/change", "KB/change", "seconds")
	defer t.fits()

	for _, n := range points {
		if err := b.sidecarChange(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Bench) sidecarChange(ctx context.Context, t *table, n int) error {
	p, err := b.openPost(ctx, n)
	if err != nil {
		return err
	}
	defer p.close()

	if err := sleep(ctx, b.Settle); err != nil {
		return err
	}

	idle, err := window(ctx, p.usage, func() error { return sleep(ctx, b.Window) })
	if err != nil {
		return err
	}

	longest := time.Duration(0)

	busy, err := window(ctx, p.usage, func() error {
		for range changes {
			begin := time.Now()

			if err := p.publish(b.Members); err != nil {
				return err
			}

			position := p.entries.replica.State().Position()
			if err := wait(ctx, "the change at the sidecar", func() bool { return p.entries.position.Load() >= position }); err != nil {
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
